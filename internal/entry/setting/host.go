package setting

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"time"

	"github.com/goccy/go-yaml"

	"quetzalhook"
)

// Host holds the settings of a host on the users' platform, from a file in
// YAML that the platform renders from deploy/host.yaml.
type Host struct {
	Host   quetzalhook.HostID                      `yaml:"host"`
	Zone   quetzalhook.Zone                        `yaml:"zone"`
	Region quetzalhook.Region                      `yaml:"region"`
	Zones  map[quetzalhook.Zone]quetzalhook.Region `yaml:"zones"`
	Listen struct {
		Callers   string `yaml:"callers"`
		Ready     string `yaml:"ready"`
		Directory string `yaml:"directory"`
	} `yaml:"listen"`
	// InnerPorts are the first and last port for traffic between hosts; they are
	// the same on all hosts.
	InnerPorts []int `yaml:"inner-ports"`
	// MetricsPort is the port for metrics; 0 stands for the third inner port.
	MetricsPort int `yaml:"metrics-port"`
	// Seeds are addresses of some hosts; the port is of no use here.
	Seeds []string `yaml:"seeds"`
	// Store and Platform are the addresses of the store and of the duties.
	Store    string `yaml:"store"`
	Platform string `yaml:"platform"`
	// ProcessorShare times Processors is what the host may use of a processor.
	ProcessorShare float64 `yaml:"processor-share"`
	Processors     float64 `yaml:"processors"`
	MemoryMB       int     `yaml:"memory-mb"`
	// StopS is how long a planned stop may take, in seconds.
	StopS float64 `yaml:"stop-s"`
	// AnswerLifeS is how long callers may keep the answer which hosts to use.
	AnswerLifeS float64 `yaml:"answer-life-s"`
	LeaseMS     float64 `yaml:"lease-ms"`
	// LeaveMS is how long an upstream at least serves after it has announced to
	// leave.
	LeaveMS      float64 `yaml:"leave-ms"`
	UsageWindowS float64 `yaml:"usage-window-s"`
	// UsageDueS is how long after the end of a window its usage is due.
	UsageDueS    float64 `yaml:"usage-due-s"`
	RetryRatio   float64 `yaml:"retry-ratio"`
	RetrySlack   float64 `yaml:"retry-slack"`
	RetryWindowS float64 `yaml:"retry-window-s"`
}

// LoadHost reads and checks the settings in a file.
func LoadHost(path string) (Host, error) {
	var h Host
	data, err := os.ReadFile(path)
	if err != nil {
		return h, &Error{Op: "load", Kind: "unreadable", Mistakes: []string{err.Error()}}
	}
	if err := yaml.Unmarshal(data, &h); err != nil {
		return h, &Error{Op: "load", Kind: "invalid", Mistakes: []string{err.Error()}}
	}
	return h, h.Validate()
}

// Validate returns an *Error that lists every mistake, or nil.
func (h Host) Validate() error {
	c := &fileChecker{}
	c.filled("host", string(h.Host))
	c.filled("zone", string(h.Zone))
	c.address("listen.callers", h.Listen.Callers)
	c.address("listen.ready", h.Listen.Ready)
	c.address("listen.directory", h.Listen.Directory)
	c.address("store", h.Store)
	if h.Platform != "" { // a deployment without duties has none
		c.address("platform", h.Platform)
	}
	if len(h.InnerPorts) != 2 || h.InnerPorts[0] <= 0 || h.InnerPorts[1]-h.InnerPorts[0] < 2 || h.InnerPorts[1] > maxPort {
		c.add("inner-ports %v is not a range of three ports or more", h.InnerPorts)
	}
	if h.MetricsPort < 0 || h.MetricsPort > maxPort {
		c.add("metrics-port %d is not a port", h.MetricsPort)
	}
	for _, s := range []struct {
		name  string
		value float64
	}{
		{"stop-s", h.StopS},
		{"answer-life-s", h.AnswerLifeS},
		{"lease-ms", h.LeaseMS},
		{"leave-ms", h.LeaveMS},
		{"usage-window-s", h.UsageWindowS},
		{"usage-due-s", h.UsageDueS},
		{"retry-window-s", h.RetryWindowS},
	} {
		if s.value <= 0 {
			c.add("%s %g is not positive", s.name, s.value)
		}
	}
	if len(c.mistakes) > 0 {
		return &Error{Op: "validate", Kind: "invalid", Mistakes: c.mistakes}
	}
	return nil
}

const maxPort = 65535

type fileChecker struct{ checker }

func (c *fileChecker) filled(name, value string) {
	if value == "" {
		c.add("%s is missing", name)
	}
}

func (c *fileChecker) address(name, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.add("%s %q is not an IP address with a port", name, value)
	}
}

// IP returns the address on which other hosts reach this one.
func (h Host) IP() string {
	host, _, _ := net.SplitHostPort(h.Listen.Callers) // checked by Validate
	return host
}

// Heartbeat returns the address for heartbeats of the host with an IP address.
func (h Host) Heartbeat(ip string) string { return net.JoinHostPort(ip, fmt.Sprint(h.InnerPorts[0])) }

// Peer returns the address for calls of other hosts.
func (h Host) Peer(ip string) string { return net.JoinHostPort(ip, fmt.Sprint(h.InnerPorts[0]+1)) }

// Metrics returns the address for metrics.
func (h Host) Metrics(ip string) string {
	port := h.MetricsPort
	if port == 0 {
		port = h.InnerPorts[0] + 2
	}
	return net.JoinHostPort(ip, fmt.Sprint(port))
}

// SeedHeartbeats returns the heartbeat addresses of the seeds, without this
// host's.
func (h Host) SeedHeartbeats() []string {
	var list []string
	for _, s := range h.Seeds {
		if ip, _, err := net.SplitHostPort(s); err == nil && ip != h.IP() {
			list = append(list, h.Heartbeat(ip))
		}
	}
	return list
}

// Seconds converts a setting in seconds.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
