package peer

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"quetzalhook/internal/state/timing"

	"github.com/cespare/xxhash/v2"

	"quetzalhook"
)

// Network connects hosts within one process in memory. Tests and simulations can
// inject faults with SetFaults. It uses no sockets, so that it also works in
// virtual time.
type Network struct {
	clock quetzalhook.Clock
	seed  uint64

	mu     sync.Mutex
	faults NetworkFaults
	hosts  map[quetzalhook.HostID]*Endpoint
	joined map[quetzalhook.HostID]struct{} // all hosts that ever joined
}

// NetworkFaults selects the faults of a Network. With the zero value, every
// message is delivered at once.
type NetworkFaults struct {
	// Drop is the probability that a request is lost, and also that an answer is
	// lost. The caller then waits until its deadline.
	Drop float64
	// Delay is the delay of a request, and also of an answer.
	Delay time.Duration
	// Cut reports whether all messages between two hosts are lost. If it is nil,
	// no hosts are cut off.
	Cut func(a, b quetzalhook.HostID) bool
}

// NewNetwork returns a network without hosts; seed determines which messages
// Drop loses.
func NewNetwork(clock quetzalhook.Clock, seed uint64) *Network {
	return &Network{
		clock:  clock,
		seed:   seed,
		hosts:  make(map[quetzalhook.HostID]*Endpoint),
		joined: make(map[quetzalhook.HostID]struct{}),
	}
}

// SetFaults replaces the active faults.
func (n *Network) SetFaults(f NetworkFaults) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults = f
}

// Endpoint returns a new endpoint for a host. Other hosts do not see it until
// Join.
func (n *Network) Endpoint(host quetzalhook.HostID) *Endpoint {
	return &Endpoint{
		network: n, host: host, created: n.clock.Now(),
		handlers: make(map[string]quetzalhook.PeerHandler),
		seen:     make(map[quetzalhook.HostID]observation),
	}
}

// Join makes a host visible to the others. The function state returns the state
// that the heartbeat of the host would report.
func (n *Network) Join(e *Endpoint, state func() quetzalhook.Member) {
	n.mu.Lock()
	defer n.mu.Unlock()
	e.state = state
	n.hosts[e.host] = e
	n.joined[e.host] = struct{}{}
}

// Leave removes a host as a crash does: the others still list it, but receive
// nothing from it.
func (n *Network) Leave(host quetzalhook.HostID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.hosts, host)
}

// reachable returns the endpoint that a message sent now arrives at, or nil if
// the message is lost, and the delay.
func (n *Network) reachable(from, to quetzalhook.HostID) (*Endpoint, time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	e := n.hosts[to]
	if n.faults.Cut != nil && n.faults.Cut(from, to) || n.isLost(from, to) {
		e = nil
	}
	return e, n.faults.Delay
}

// isLost decides by a hash whether a message sent now is lost, so that a run in
// virtual time loses the same messages regardless of goroutine scheduling.
func (n *Network) isLost(from, to quetzalhook.HostID) bool {
	key := fmt.Sprint(n.seed, from, to, n.clock.Now().UnixNano())
	return float64(xxhash.Sum64String(key)>>11)/(1<<53) < n.faults.Drop
}

// others returns the endpoints of the other hosts that are running and not cut
// off from host, and the IDs of all other hosts that ever joined.
func (n *Network) others(host quetzalhook.HostID) (visible []*Endpoint, joined []quetzalhook.HostID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for id := range n.joined {
		if id == host {
			continue
		}
		joined = append(joined, id)
		if e := n.hosts[id]; e != nil && (n.faults.Cut == nil || !n.faults.Cut(host, id)) {
			visible = append(visible, e)
		}
	}
	return visible, joined
}

// observation is the last state of a host that another host has seen.
type observation struct {
	member quetzalhook.Member
	at     time.Time
}

// Endpoint implements quetzalhook.Peers for one host of a Network.
type Endpoint struct {
	network *Network
	host    quetzalhook.HostID
	state   func() quetzalhook.Member
	created time.Time

	mu       sync.Mutex
	handlers map[string]quetzalhook.PeerHandler
	seen     map[quetzalhook.HostID]observation
}

// Members returns all other hosts that ever joined, as if from the platform's
// list, with the last state that this host has seen of each. A host whose state it
// has never seen counts as silent since the endpoint was created.
func (e *Endpoint) Members() []quetzalhook.Member {
	now := e.network.clock.Now()
	visible, listed := e.network.others(e.host)
	states := make(map[quetzalhook.HostID]quetzalhook.Member, len(visible))
	for _, other := range visible {
		m := other.state()
		m.Host = other.host
		states[other.host] = m
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, m := range states {
		e.seen[id] = observation{member: m, at: now}
	}
	list := make([]quetzalhook.Member, 0, len(listed))
	for _, id := range listed {
		s, ok := e.seen[id]
		if !ok {
			s = observation{member: quetzalhook.Member{Host: id}, at: e.created}
		}
		m := s.member
		m.Silent = now.Sub(s.at)
		list = append(list, m)
	}
	slices.SortFunc(list, func(a, b quetzalhook.Member) int { return strings.Compare(string(a.Host), string(b.Host)) })
	return list
}

// Handle registers the handler for calls of a kind.
func (e *Endpoint) Handle(kind string, h quetzalhook.PeerHandler) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.handlers[kind] = h
}

// Call runs the handler of the other host, subject to the faults of the network.
func (e *Endpoint) Call(ctx context.Context, host quetzalhook.HostID, kind string, body []byte) ([]byte, error) {
	target, delay := e.network.reachable(e.host, host)
	if target == nil {
		<-ctx.Done()
		return nil, &Error{Op: "call", Host: host, Kind: ErrorTimeout, Err: ctx.Err()}
	}
	target.mu.Lock()
	h := target.handlers[kind]
	target.mu.Unlock()
	if h == nil {
		return nil, &Error{Op: "call", Host: host, Kind: ErrorNoHandler}
	}
	if !timing.Sleep(ctx, delay) {
		return nil, &Error{Op: "call", Host: host, Kind: ErrorTimeout, Err: ctx.Err()}
	}
	answer, err := h(ctx, e.host, slices.Clone(body))
	back, delay := e.network.reachable(host, e.host)
	if back == nil {
		<-ctx.Done()
	}
	if !timing.Sleep(ctx, delay) {
		return nil, &Error{Op: "call", Host: host, Kind: ErrorTimeout, Err: ctx.Err()}
	}
	if err != nil {
		return nil, &Error{Op: "call", Host: host, Kind: ErrorHandler, Err: err}
	}
	return slices.Clone(answer), nil
}
