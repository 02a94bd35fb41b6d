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

// Network joins hosts of one process in memory, with faults that tests and
// simulations switch on and off. It uses no sockets, so that it also runs in
// virtual time.
type Network struct {
	clock quetzalhook.Clock
	seed  uint64

	mu     sync.Mutex
	faults NetworkFaults
	hosts  map[quetzalhook.HostID]*Endpoint
	listed map[quetzalhook.HostID]struct{} // all that ever joined
}

// NetworkFaults selects how a Network misbehaves. The zero value delivers
// everything at once.
type NetworkFaults struct {
	// Drop is the probability that a request is lost, and again for its
	// answer. The caller notices at its deadline only.
	Drop float64
	// Delay is added to each direction.
	Delay time.Duration
	// Cut reports whether nothing passes between two hosts; nil cuts nothing.
	Cut func(a, b quetzalhook.HostID) bool
}

// NewNetwork returns a network without hosts; seed determines its losses.
func NewNetwork(clock quetzalhook.Clock, seed uint64) *Network {
	return &Network{
		clock:  clock,
		seed:   seed,
		hosts:  make(map[quetzalhook.HostID]*Endpoint),
		listed: make(map[quetzalhook.HostID]struct{}),
	}
}

// SetFaults replaces the active faults.
func (n *Network) SetFaults(f NetworkFaults) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults = f
}

// Endpoint returns the peers of a host that others do not see yet.
func (n *Network) Endpoint(host quetzalhook.HostID) *Endpoint {
	return &Endpoint{
		network: n, host: host, created: n.clock.Now(),
		handlers: make(map[string]quetzalhook.PeerHandler),
		seen:     make(map[quetzalhook.HostID]sighting),
	}
}

// Join makes a host visible to the others. State returns what the host's
// heartbeat would show.
func (n *Network) Join(e *Endpoint, state func() quetzalhook.Member) {
	n.mu.Lock()
	defer n.mu.Unlock()
	e.state = state
	n.hosts[e.host] = e
	n.listed[e.host] = struct{}{}
}

// Leave removes a host as a crash does: others keep it as not heard from.
func (n *Network) Leave(host quetzalhook.HostID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.hosts, host)
}

// reach returns the endpoint of a host if it can be reached, and the delay.
func (n *Network) reach(from, to quetzalhook.HostID) (*Endpoint, time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	e := n.hosts[to]
	if n.faults.Cut != nil && n.faults.Cut(from, to) || n.lost(from, to) {
		e = nil
	}
	return e, n.faults.Delay
}

// lost decides by hash whether a message sent now is lost, so that a run in
// virtual time loses the same messages whatever the order of its goroutines.
func (n *Network) lost(from, to quetzalhook.HostID) bool {
	key := fmt.Sprint(n.seed, from, to, n.clock.Now().UnixNano())
	return float64(xxhash.Sum64String(key)>>11)/(1<<53) < n.faults.Drop
}

// others returns the endpoints that host can hear, and all that are listed.
func (n *Network) others(host quetzalhook.HostID) (heard []*Endpoint, listed []quetzalhook.HostID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for id := range n.listed {
		if id == host {
			continue
		}
		listed = append(listed, id)
		if e := n.hosts[id]; e != nil && (n.faults.Cut == nil || !n.faults.Cut(host, id)) {
			heard = append(heard, e)
		}
	}
	return heard, listed
}

// sighting is the last state of a host that another one has seen.
type sighting struct {
	member quetzalhook.Member
	at     time.Time
}

// Endpoint is one host's quetzalhook.Peers on a Network.
type Endpoint struct {
	network *Network
	host    quetzalhook.HostID
	state   func() quetzalhook.Member
	created time.Time

	mu       sync.Mutex
	handlers map[string]quetzalhook.PeerHandler
	seen     map[quetzalhook.HostID]sighting
}

// Members returns all hosts that ever joined, as if from the platform's list,
// with their last state if this host has heard them.
func (e *Endpoint) Members() []quetzalhook.Member {
	now := e.network.clock.Now()
	heard, listed := e.network.others(e.host)
	states := make(map[quetzalhook.HostID]quetzalhook.Member, len(heard))
	for _, other := range heard {
		m := other.state()
		m.Host = other.host
		states[other.host] = m
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, m := range states {
		e.seen[id] = sighting{member: m, at: now}
	}
	list := make([]quetzalhook.Member, 0, len(listed))
	for _, id := range listed {
		s, ok := e.seen[id]
		if !ok {
			s = sighting{member: quetzalhook.Member{Host: id}, at: e.created}
		}
		m := s.member
		m.Silent = now.Sub(s.at)
		list = append(list, m)
	}
	slices.SortFunc(list, func(a, b quetzalhook.Member) int { return strings.Compare(string(a.Host), string(b.Host)) })
	return list
}

// Handle registers the handler of a kind.
func (e *Endpoint) Handle(kind string, h quetzalhook.PeerHandler) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.handlers[kind] = h
}

// Call runs the handler of the other host.
func (e *Endpoint) Call(ctx context.Context, host quetzalhook.HostID, kind string, body []byte) ([]byte, error) {
	target, delay := e.network.reach(e.host, host)
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
	back, delay := e.network.reach(host, e.host)
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
