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
	// stopTimeout bounds a planned stop. A stop that takes longer cuts off requests,
	// which violates the invariant graceful-stop.
	stopTimeout = 60 * time.Second
)

// host is an entry host that can be killed, stopped and started again. Each start
// is a new incarnation.
type host struct {
	name     string
	settings setting.Settings
	system   *system

	mu          sync.Mutex
	node        *node.Node // nil while the host is down
	registries  []*invariant.Registry
	kills       int
	lastVersion int64 // highest configuration version of this incarnation
}

// newHosts returns the hosts of all zones without starting them.
func newHosts(s *system, workloads []workload.Workload) ([]*host, error) {
	var hosts []*host
	var seeds []string
	free := make(ports)
	for i := range zones * hostsPerZone {
		callerAddress, err := free.reserve("tcp", 1)
		if err != nil {
			return nil, err
		}
		peerAddress, err := free.reserve("udp", 2)
		if err != nil {
			return nil, err
		}
		seeds = append(seeds, peerAddress)
		name := fmt.Sprintf("host-%d", i+1)
		hosts = append(hosts, &host{name: name, system: s, settings: setting.Settings{
			Host: quetzalhook.HostID(name), Zone: zoneName(workloads[0].Regions[i/hostsPerZone]),
			Listen: callerAddress, PeerListen: peerAddress, Hosts: zones * hostsPerZone, Platform: s.backend.address,
			PeerSecret: peerSecret, OperatorKey: operatorKey, Policy: s.settings.Policy, HostsLifetime: hostsLifetime, BillingWindow: billingWindow,
		}})
	}
	for _, h := range hosts {
		h.settings.Seeds = seeds
	}
	return hosts, nil
}

// start starts a new incarnation if the host is down.
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
	// The ports of the previous incarnation may not be free yet.
	limited, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	if err := retry(limited, func() error { return n.Start(context.WithoutCancel(ctx)) }); err != nil {
		return errors.Wrap(err, h.name)
	}
	h.node = n
	h.registries = append(h.registries, n.Invariants())
	h.lastVersion = 0
	h.system.updateHostList(h.listItem(n, false))
	return nil
}

// listItem returns the host's entry in the platform's list of hosts.
func (h *host) listItem(n *node.Node, leaving bool) provider.HostItem {
	return provider.HostItem{
		Host: h.name, Incarnation: uint64(n.Incarnation()), Zone: string(h.settings.Zone), Leaving: leaving,
	}
}

// updateHostList changes an entry of the platform's list of hosts after
// listDelay.
func (s *system) updateHostList(item provider.HostItem) {
	time.AfterFunc(listDelay, func() { s.backend.cloud.UpdateHost(item) })
}

// kill ends the host without a graceful stop, as a crash does.
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

// stop marks the host as leaving in the platform's list and stops it gracefully.
func (h *host) stop(ctx context.Context) error {
	h.mu.Lock()
	n := h.node
	h.mu.Unlock()
	if n == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	h.system.updateHostList(h.listItem(n, true))
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

// version returns the configuration version in force, or the last one known while
// the host is down. It counts a version lower than the last one as a violation.
func (h *host) version() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.node == nil {
		return h.lastVersion
	}
	v := h.node.Version()
	h.system.checks.Check(invariant.ConfigForward, v >= h.lastVersion, "host", h.name, "version", v, "before", h.lastVersion)
	h.lastVersion = max(h.lastVersion, v)
	return v
}

// counts returns the invariant counters and violation details of all
// incarnations.
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

// liveHosts returns the hosts that are up and not stopping.
func (s *system) liveHosts() []*host {
	var list []*host
	for i, h := range s.hosts {
		if !h.isDown() && !s.stopping[i].Load() {
			list = append(list, h)
		}
	}
	return list
}

// stopHost returns a fault step that stops host number i gracefully, which must
// not break any request.
func stopHost(i int) func(context.Context, *system) error {
	return func(ctx context.Context, s *system) error {
		s.stopping[i].Store(true)
		defer s.stopping[i].Store(false)
		return s.hosts[i].stop(ctx)
	}
}

// Ports of hosts are outside the operating system's range of ephemeral ports, so
// that they are still free when a host restarts.
const (
	firstPort = 12000
	lastPort  = 32000
)

// ports is the set of reserved ports, each of which is used once in a run.
type ports map[int]bool

// reserve reserves n consecutive free ports and returns the loopback address with
// the first of them.
func (p ports) reserve(network string, n int) (string, error) {
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
	return "", errors.Errorf("no %d consecutive free %s ports", n, network)
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
