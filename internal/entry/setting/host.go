package setting

import (
	"fmt"
	"maps"
	"net"
	"net/netip"
	"os"
	"slices"
	"time"

	"github.com/goccy/go-yaml"

	"quetzalhook"
	"quetzalhook/internal/traffic/quarantine"
)

// Host holds the settings of a host on the users' platform. They are read from a
// YAML file, which the platform generates from deploy/host.yaml.
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
	// InnerPorts holds the first and last port for traffic between hosts. It must be
	// the same on all hosts. The first is used for heartbeats, the second for calls (UDP)
	// and forwarded requests (TCP).
	InnerPorts []int `yaml:"inner-ports"`
	// PeerAdvertise is the address for calls and forwarded requests that other hosts are told
	// to use, if other than the one on which the host listens; empty otherwise.
	PeerAdvertise string `yaml:"peer-advertise"`
	// MetricsPort is the port for metrics; 0 means the third of InnerPorts.
	MetricsPort int `yaml:"metrics-port"`
	// Seeds holds the addresses of some hosts, which this host contacts first. Their
	// ports are ignored.
	Seeds []string `yaml:"seeds"`
	// Store is the address of the store. Platform is the address to which usage
	// reports and orders of upstreams are sent; it is empty in a deployment without
	// them.
	Store    string `yaml:"store"`
	Platform string `yaml:"platform"`
	// ProcessorShare times Processors is the processor time that the host may use,
	// in cores.
	ProcessorShare float64 `yaml:"processor-share"`
	Processors     float64 `yaml:"processors"`
	// MemoryMB is the memory in MB above which the platform kills the host; 0 means that
	// it is not known.
	MemoryMB int `yaml:"memory-mb"`
	// StopS is the time in seconds after which the platform kills a host that was
	// told to stop.
	StopS float64 `yaml:"stop-s"`
	// AnswerLifeS is the longest time in seconds for which callers may cache the
	// list of hosts to use.
	AnswerLifeS float64 `yaml:"answer-life-s"`
	// LeaseMS is the term of the lease on a duty, a task that only one host at a time
	// may perform, in milliseconds.
	LeaseMS float64 `yaml:"lease-ms"`
	// LeaveMS is the shortest time in milliseconds from an upstream's announcement
	// that it is leaving until it stops.
	LeaveMS float64 `yaml:"leave-ms"`
	// StallS is the shortest time in seconds without an event after which a stream
	// counts as stalled; 0 means the default. Classes with long targets have a longer
	// limit.
	StallS float64 `yaml:"stall-s"`
	// ApplyMS is the time in milliseconds within which a change of the configuration
	// must be in force on all hosts.
	ApplyMS float64 `yaml:"apply-ms"`
	// UsageWindowS is the length of a usage window in seconds.
	UsageWindowS float64 `yaml:"usage-window-s"`
	// UsageDueS is the time in seconds after the end of a window at which its usage
	// must be reported.
	UsageDueS float64 `yaml:"usage-due-s"`
	// In RetryWindowS seconds, all hosts together may retry RetryRatio times the
	// number of requests plus RetrySlack, for each service.
	RetryRatio   float64 `yaml:"retry-ratio"`
	RetrySlack   float64 `yaml:"retry-slack"`
	RetryWindowS float64 `yaml:"retry-window-s"`
	// QuarantineS is how long in seconds requests are refused after parts of their
	// prompts have crashed engines; 0 means the default. Repeated crashes double it.
	QuarantineS float64 `yaml:"quarantine-s"`
	// EvacuateMS is the time in milliseconds within which no host may send requests to
	// an evacuated zone; 0 means that zones are not evacuated.
	EvacuateMS float64 `yaml:"evacuate-ms"`
	// In one second, all hosts together may send ColdOver times the rate of the
	// service plus ColdSlack requests to a cold upstream; 0 means that no bound is set.
	ColdOver  float64 `yaml:"cold-over"`
	ColdSlack float64 `yaml:"cold-slack"`
	// MaxFDs is the number of file descriptors that the process may open; 0 means that
	// it is not known.
	MaxFDs int `yaml:"max-fds"`
	// Contracts lists the rules that the platform and its users have agreed on.
	Contracts []string `yaml:"contracts"`
}

// Memory returns the memory of the host in bytes; 0 means that it is not known.
func (h Host) Memory() int64 { return int64(h.MemoryMB) << 20 }

// LoadHost reads and validates the settings in a file.
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

// Validate returns an *Error that lists all mistakes, or nil.
func (h Host) Validate() error {
	c := &fileChecker{}
	c.nonEmpty("host", string(h.Host))
	c.nonEmpty("zone", string(h.Zone))
	c.address("listen.callers", h.Listen.Callers)
	c.address("listen.ready", h.Listen.Ready)
	c.address("listen.directory", h.Listen.Directory)
	c.address("store", h.Store)
	if h.PeerAdvertise != "" {
		c.address("peer-advertise", h.PeerAdvertise)
	}
	if h.Platform != "" { // empty in a deployment without usage reports and orders
		c.address("platform", h.Platform)
	}
	if len(h.InnerPorts) != 2 || h.InnerPorts[0] <= 0 || h.InnerPorts[1]-h.InnerPorts[0] < 2 || h.InnerPorts[1] > maxPort {
		c.add("inner-ports %v is not a range of three ports or more", h.InnerPorts)
	}
	if h.MetricsPort < 0 || h.MetricsPort > maxPort {
		c.add("metrics-port %d is not a port", h.MetricsPort)
	}
	c.distinct(map[string]string{
		"listen.callers": h.Listen.Callers, "listen.ready": h.Listen.Ready, "listen.directory": h.Listen.Directory,
		"the address of the metrics": h.metricsAddress(),
	})
	for _, s := range []struct {
		name  string
		value float64
	}{
		{"stop-s", h.StopS},
		{"answer-life-s", h.AnswerLifeS},
		{"lease-ms", h.LeaseMS},
		{"leave-ms", h.LeaveMS},
		{"apply-ms", h.ApplyMS},
		{"usage-window-s", h.UsageWindowS},
		{"usage-due-s", h.UsageDueS},
		{"retry-window-s", h.RetryWindowS},
	} {
		if s.value <= 0 {
			c.add("%s %g is not positive", s.name, s.value)
		}
	}
	for _, s := range []struct {
		name  string
		value float64
	}{
		{"evacuate-ms", h.EvacuateMS},
		{"cold-over", h.ColdOver},
		{"cold-slack", h.ColdSlack},
		{"max-fds", float64(h.MaxFDs)},
	} {
		if s.value < 0 {
			c.add("%s %g is negative", s.name, s.value)
		}
	}
	if h.MemoryMB < 0 {
		c.add("memory-mb %d is negative", h.MemoryMB)
	}
	if h.StallS < 0 {
		c.add("stall-s %g is negative", h.StallS)
	}
	if h.QuarantineS < 0 || h.QuarantineS > quarantine.MaxDuration.Seconds() {
		c.add("quarantine-s %g is not between 0 and %g", h.QuarantineS, quarantine.MaxDuration.Seconds())
	}
	if len(c.mistakes) > 0 {
		return &Error{Op: "validate", Kind: "invalid", Mistakes: c.mistakes}
	}
	return nil
}

const maxPort = 65535

// fileChecker collects mistakes in a file.
type fileChecker struct{ checker }

// nonEmpty checks that a setting is not empty.
func (c *fileChecker) nonEmpty(name, value string) {
	if value == "" {
		c.add("%s is missing", name)
	}
}

// address checks that a setting is an IP address with a port.
func (c *fileChecker) address(name, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.add("%s %q is not an IP address with a port", name, value)
	}
}

// distinct checks that the addresses on which a host listens differ.
func (c *fileChecker) distinct(addresses map[string]string) {
	users := make(map[string]string)
	for _, name := range slices.Sorted(maps.Keys(addresses)) {
		address := addresses[name]
		if other, ok := users[address]; ok && address != "" {
			c.add("%s %q is also that of %s", name, address, other)
		}
		users[address] = name
	}
}

// metricsAddress returns the address of the metrics, or "" if the settings that it
// follows from are invalid.
func (h Host) metricsAddress() string {
	if len(h.InnerPorts) == 0 || h.IP() == "" {
		return ""
	}
	return h.Metrics(h.IP())
}

// IP returns the IP address of this host.
func (h Host) IP() string {
	host, _, _ := net.SplitHostPort(h.Listen.Callers) // checked by Validate
	return host
}

// Heartbeat returns the address to which heartbeats for the host with the given IP
// address are sent.
func (h Host) Heartbeat(ip string) string { return net.JoinHostPort(ip, fmt.Sprint(h.InnerPorts[0])) }

// Peer returns the address for calls to the host with the given IP address.
func (h Host) Peer(ip string) string { return net.JoinHostPort(ip, fmt.Sprint(h.InnerPorts[0]+1)) }

// Metrics returns the address at which the host with the given IP address serves
// metrics.
func (h Host) Metrics(ip string) string {
	port := h.MetricsPort
	if port == 0 {
		port = h.InnerPorts[0] + 2
	}
	return net.JoinHostPort(ip, fmt.Sprint(port))
}

// SeedHeartbeats returns the heartbeat addresses of the seeds other than this host.
func (h Host) SeedHeartbeats() []string {
	var list []string
	for _, s := range h.Seeds {
		if ip, _, err := net.SplitHostPort(s); err == nil && ip != h.IP() {
			list = append(list, h.Heartbeat(ip))
		}
	}
	return list
}

// Seconds converts a setting in seconds to a time.Duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
