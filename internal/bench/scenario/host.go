package scenario

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"quetzalhook"
	"quetzalhook/internal/bench/workload"
	"quetzalhook/internal/entry/node"
	"quetzalhook/internal/entry/setting"
	"quetzalhook/internal/platform/provider"
	"quetzalhook/internal/state/invariant"
	"quetzalhook/platform"
)

const (
	peerSecret  = "demo-peer-secret-0123456789"
	operatorKey = "demo-operator-key-0123456789"
	// stopTimeout bounds a planned stop; a stop that takes longer cuts requests
	// and violates graceful-stop.
	stopTimeout = 60 * time.Second
)

// host is one entry host over all its incarnations.
type host struct {
	name     string
	settings setting.Settings
	system   *system

	mu         sync.Mutex
	node       *node.Node // nil while the host is down
	registries []*invariant.Registry
	kills      int
	last       int64 // highest configuration version seen
}

// newHosts returns the hosts of all zones, not started.
func newHosts(s *system, workloads []workload.Workload) ([]*host, error) {
	var hosts []*host
	var seeds []string
	free := make(ports)
	for i := range zones * hostsPerZone {
		callers, err := free.take("tcp", 1)
		if err != nil {
			return nil, err
		}
		peers, err := free.take("udp", 2)
		if err != nil {
			return nil, err
		}
		seeds = append(seeds, peers)
		name := fmt.Sprintf("host-%d", i+1)
		hosts = append(hosts, &host{name: name, system: s, settings: setting.Settings{
			Host: quetzalhook.HostID(name), Zone: zoneName(workloads[0].Regions[i/hostsPerZone]),
			Listen: callers, PeerListen: peers, Hosts: zones * hostsPerZone, Platform: s.backend.address,
			PeerSecret: peerSecret, OperatorKey: operatorKey, Policy: s.settings.Policy, HostsLifetime: hostsLifetime, BillingWindow: billingWindow,
		}})
	}
	for _, h := range hosts {
		h.settings.Seeds = seeds
	}
	return hosts, nil
}

// start begins a new incarnation.
func (h *host) start(ctx context.Context) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.node != nil {
		return nil
	}
	n, err := node.New(h.settings, platform.NewStore(h.settings.Platform, h.system.hostLog), h.system.hostLog)
	if err != nil {
		return err
	}
	// The ports of the last incarnation may take a moment to become free.
	limited, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	if err := retry(limited, func() error { return n.Start(context.WithoutCancel(ctx)) }); err != nil {
		return errors.Wrap(err, h.name)
	}
	h.node = n
	h.registries = append(h.registries, n.Invariants())
	h.last = 0
	h.system.listHost(h.item(n, false))
	return nil
}

// item returns the host's entry in the platform's list.
func (h *host) item(n *node.Node, leaving bool) provider.HostItem {
	return provider.HostItem{
		Host: h.name, Incarnation: uint64(n.Incarnation()), Zone: string(h.settings.Zone), Leaving: leaving,
	}
}

// listHost changes an entry of the platform's list after its lag.
func (s *system) listHost(item provider.HostItem) {
	time.AfterFunc(listLag, func() { s.backend.cloud.UpdateHost(item) })
}

// kill ends the host as a crash would.
func (h *host) kill() error {
	h.mu.Lock()
	n := h.node
	h.node = nil
	h.kills++
	h.mu.Unlock()
	if n != nil {
		n.Kill()
	}
	return nil
}

// stop shuts the host down gracefully.
func (h *host) stop(ctx context.Context) error {
	h.mu.Lock()
	n := h.node
	h.mu.Unlock()
	if n == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	h.system.listHost(h.item(n, true))
	err := n.Stop(ctx)
	h.mu.Lock()
	h.node = nil
	h.mu.Unlock()
	return err
}

func (h *host) isDown() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.node == nil
}

func (h *host) address() string { return h.settings.Listen }

// version returns the configuration in force, or the last one seen while the
// host is down. A version that goes back is a violation.
func (h *host) version() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.node == nil {
		return h.last
	}
	v := h.node.Version()
	h.system.checks.Check(invariant.ConfigForward, v >= h.last, "host", h.name, "version", v, "before", h.last)
	h.last = max(h.last, v)
	return v
}

// counts returns the invariant counters of all incarnations.
func (h *host) counts() (counts []invariant.Count, details []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range h.registries {
		counts = append(counts, r.Counts()...)
		for _, d := range r.Details() {
			details = append(details, h.name+": "+d)
		}
	}
	return counts, details
}

// live returns the hosts that are up and not stopping.
func (s *system) live() []*host {
	var list []*host
	for i, h := range s.hosts {
		if !h.isDown() && !s.stopping[i].Load() {
			list = append(list, h)
		}
	}
	return list
}

// stopHost stops host number i gracefully. The callers must not notice.
func stopHost(i int) func(context.Context, *system) error {
	return func(ctx context.Context, s *system) error {
		s.stopping[i].Store(true)
		defer s.stopping[i].Store(false)
		return s.hosts[i].stop(ctx)
	}
}

// Ports of hosts are outside the range from which the system takes ports of
// outgoing connections, so that a host that comes back finds its own free.
const (
	firstPort = 12000
	lastPort  = 32000
)

// ports hands out each port at most once in a run.
type ports map[int]bool

// take returns a loopback address with n free ports in a row.
func (p ports) take(network string, n int) (string, error) {
	const attempts = 200
	for range attempts {
		port := firstPort + rand.IntN(lastPort-firstPort)
		if p.unused(port, n) && portsFree(network, port, n) {
			for i := range n {
				p[port+i] = true
			}
			return address(port), nil
		}
	}
	return "", errors.Errorf("no %d free %s ports in a row", n, network)
}

func (p ports) unused(port, n int) bool {
	for i := range n {
		if p[port+i] {
			return false
		}
	}
	return true
}

func address(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

func portsFree(network string, port, n int) bool {
	for i := range n {
		closer, err := bind(network, address(port+i))
		if err != nil {
			return false
		}
		_ = closer.Close()
	}
	return true
}

func bind(network, address string) (io.Closer, error) {
	if network == "udp" {
		return net.ListenPacket(network, address)
	}
	return net.Listen(network, address)
}
