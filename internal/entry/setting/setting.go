// Package setting holds the settings of an entry host. Validation reports all
// mistakes at once.
package setting

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"time"

	"quetzalhook"
)

// Scheduling policies of a host.
const (
	// PolicyOwn is the policy of the product.
	PolicyOwn = "own"
	// PolicyBaseline is a simple policy for comparison.
	PolicyBaseline = "baseline"
)

// Limits that Validate checks.
const (
	minPeerSecret    = 16 // bytes
	minOperatorKey   = 16 // bytes
	maxHosts         = 1 << 16
	minHostsLifetime = 100 * time.Millisecond
	maxHostsLifetime = 10 * time.Minute
	minBillingWindow = time.Second
	day              = 24 * time.Hour
)

// Settings holds the settings of a host that are set by flags and environment
// variables.
type Settings struct {
	// Host is the ID of the host, unique among all hosts.
	Host quetzalhook.HostID
	// Zone is the host's availability zone.
	Zone quetzalhook.Zone
	// Listen is the address for callers and operators, host:port.
	Listen string
	// Advertise is the address that callers are told to connect to; if empty,
	// Listen is used.
	Advertise string
	// PeerListen is the UDP address for heartbeats of other hosts, host:port. QUIC
	// calls between hosts use the next port.
	PeerListen string
	// PeerAdvertise is the address that other hosts are told to use; if empty, the
	// address that PeerListen opens is used.
	PeerAdvertise string
	// Seeds holds the peer addresses of some other hosts, which this host contacts
	// first.
	Seeds []string
	// Hosts is the expected number of hosts, used until the other hosts are known.
	Hosts int
	// Platform is the address of the platform's HTTP service, host:port.
	Platform string
	// PeerSecret authenticates hosts to each other.
	PeerSecret string
	// OperatorKey authenticates operators.
	OperatorKey string
	// Policy is PolicyOwn or PolicyBaseline.
	Policy string
	// Certificate and PrivateKey are the files for TLS connections from callers. If
	// both are empty, callers use plain HTTP.
	Certificate string
	PrivateKey  string
	// HostsLifetime is how long callers may cache the response of GET /v1/hosts.
	HostsLifetime time.Duration
	// BillingWindow is the length of a billing window. It must be the same on all
	// hosts.
	BillingWindow time.Duration
	// StopTimeout bounds a graceful shutdown; 0 means no limit.
	StopTimeout time.Duration
	// MemoryMB is the memory in MB that the process may take, and MaxFDs the number of
	// descriptors; 0 means that it is not known.
	MemoryMB int
	MaxFDs   int
}

// Memory returns the memory of the process in bytes; 0 means that it is not known.
func (s Settings) Memory() int64 { return int64(s.MemoryMB) << 20 }

// Error is the error type of this package. It lists all mistakes in the settings.
type Error struct {
	Op       string
	Kind     string
	Mistakes []string
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("settings: %s: %s", e.Kind, strings.Join(e.Mistakes, "; "))
}

// checker collects mistakes in settings.
type checker struct{ mistakes []string }

func (c *checker) add(format string, args ...any) {
	c.mistakes = append(c.mistakes, fmt.Sprintf(format, args...))
}

// required checks that a flag is set.
func (c *checker) required(flag, value string) {
	if value == "" {
		c.add("--%s is missing", flag)
	}
}

// address checks that a flag is an IP address with a port. A flag that is not
// mandatory may be empty.
func (c *checker) address(flag, value string, mandatory bool) {
	if value == "" {
		if mandatory {
			c.required(flag, value)
		}
		return
	}
	host, _, err := net.SplitHostPort(value)
	if err != nil {
		c.add("--%s %q is not host:port", flag, value)
		return
	}
	if net.ParseIP(host) == nil {
		c.add("--%s %q does not start with an IP address", flag, value)
	}
}

// Validate returns an *Error that lists all mistakes, or nil.
func (s Settings) Validate() error {
	c := &checker{}
	c.required("host", string(s.Host))
	c.required("zone", string(s.Zone))
	c.address("listen", s.Listen, true)
	c.address("advertise", s.Advertise, false)
	c.address("peer-listen", s.PeerListen, true)
	c.address("peer-advertise", s.PeerAdvertise, false)
	c.address("platform", s.Platform, true)
	for _, seed := range s.Seeds {
		c.address("seed", seed, true)
	}
	if len(s.PeerSecret) < minPeerSecret {
		c.add("--peer-secret is shorter than %d bytes", minPeerSecret)
	}
	if len(s.OperatorKey) < minOperatorKey {
		c.add("--operator-key is shorter than %d bytes", minOperatorKey)
	}
	if !slices.Contains([]string{PolicyOwn, PolicyBaseline}, s.Policy) {
		c.add("--policy %q is not %s or %s", s.Policy, PolicyOwn, PolicyBaseline)
	}
	if s.Hosts < 1 || s.Hosts > maxHosts {
		c.add("--hosts %d is not in the range 1 to %d", s.Hosts, maxHosts)
	}
	if (s.Certificate == "") != (s.PrivateKey == "") {
		c.add("--certificate and --private-key must be set together")
	}
	if s.HostsLifetime < minHostsLifetime || s.HostsLifetime > maxHostsLifetime {
		c.add("--hosts-lifetime %s is not in the range %s to %s", s.HostsLifetime, minHostsLifetime, maxHostsLifetime)
	}
	if s.BillingWindow < minBillingWindow || s.BillingWindow > day || day%s.BillingWindow != 0 {
		c.add("--billing-window %s is not in the range %s to %s or does not divide a day", s.BillingWindow, minBillingWindow, day)
	}
	if s.MemoryMB < 0 {
		c.add("--memory-mb %d is negative", s.MemoryMB)
	}
	if s.MaxFDs < 0 {
		c.add("--max-fds %d is negative", s.MaxFDs)
	}
	if s.StopTimeout < 0 {
		c.add("--stop-timeout %s is negative", s.StopTimeout)
	}
	if len(c.mistakes) > 0 {
		return &Error{Op: "validate", Kind: "invalid", Mistakes: c.mistakes}
	}
	return nil
}
