// Package setting holds the settings of one entry host and checks them
// together, so that an operator sees every mistake at once.
package setting

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"time"

	"quetzalhook"
)

// Policies that a host can run.
const (
	PolicyOwn      = "own"
	PolicyBaseline = "baseline"
)

// Limits of settings.
const (
	minPeerSecret    = 16 // bytes
	minOperatorKey   = 16 // bytes
	maxHosts         = 1 << 16
	minHostsLifetime = 100 * time.Millisecond
	maxHostsLifetime = 10 * time.Minute
	minBillingWindow = time.Second
	day              = 24 * time.Hour
)

// Settings are the settings of one host, from flags and environment
// variables.
type Settings struct {
	// Host names the host; it is unique among all hosts.
	Host quetzalhook.HostID
	// Zone is the host's availability zone.
	Zone quetzalhook.Zone
	// Listen is the address for callers and operators, host:port.
	Listen string
	// Advertise is what callers are told to connect to; empty for Listen.
	Advertise string
	// PeerListen is the UDP address for other hosts, host:port; QUIC uses the
	// next port.
	PeerListen string
	// PeerAdvertise is the address that other hosts use; empty for PeerListen.
	PeerAdvertise string
	// Seeds are peer addresses of some other hosts.
	Seeds []string
	// Hosts is the expected number of hosts, used until members are known.
	Hosts int
	// Platform is the address of the platform's service, host:port.
	Platform string
	// PeerSecret authenticates hosts to each other.
	PeerSecret string
	// OperatorKey authenticates operators.
	OperatorKey string
	// Policy is PolicyOwn or PolicyBaseline.
	Policy string
	// Certificate and PrivateKey are files for TLS towards callers; both empty
	// for plain HTTP.
	Certificate string
	PrivateKey  string
	// HostsLifetime is how long callers may keep the answer of GET /v1/hosts.
	HostsLifetime time.Duration
	// BillingWindow is the length of a billing window; all hosts use the same.
	BillingWindow time.Duration
	// StopTimeout bounds a graceful shutdown; 0 waits for every request.
	StopTimeout time.Duration
}

// Error lists every mistake in the settings; it is the error type of this
// package.
type Error struct {
	Op       string
	Kind     string
	Mistakes []string
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("settings: %s: %s", e.Kind, strings.Join(e.Mistakes, "; "))
}

type checker struct{ mistakes []string }

func (c *checker) add(format string, args ...any) {
	c.mistakes = append(c.mistakes, fmt.Sprintf(format, args...))
}

func (c *checker) required(flag, value string) {
	if value == "" {
		c.add("--%s is missing", flag)
	}
}

func (c *checker) address(flag, value string, wanted bool) {
	if value == "" {
		if wanted {
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

// Validate returns an *Error that lists every mistake, or nil.
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
		c.add("--hosts %d is not from 1 to %d", s.Hosts, maxHosts)
	}
	if (s.Certificate == "") != (s.PrivateKey == "") {
		c.add("--certificate and --private-key are set together or not at all")
	}
	if s.HostsLifetime < minHostsLifetime || s.HostsLifetime > maxHostsLifetime {
		c.add("--hosts-lifetime %s is not from %s to %s", s.HostsLifetime, minHostsLifetime, maxHostsLifetime)
	}
	if s.BillingWindow < minBillingWindow || s.BillingWindow > day || day%s.BillingWindow != 0 {
		c.add("--billing-window %s is not from %s to %s or does not divide a day", s.BillingWindow, minBillingWindow, day)
	}
	if s.StopTimeout < 0 {
		c.add("--stop-timeout %s is negative", s.StopTimeout)
	}
	if len(c.mistakes) > 0 {
		return &Error{Op: "validate", Kind: "invalid", Mistakes: c.mistakes}
	}
	return nil
}
