package memory

import (
	"context"
	"errors"
	"slices"
	"sync"

	"quetzalhook"
)

// Network simulates the network between hosts that run in one process.
type Network struct {
	mu            sync.Mutex
	hosts         []*Peer
	cutLinks      map[[2]quetzalhook.HostID]bool // by pair of hosts, the smaller ID first
	answersToLose int                            // number of next calls whose response is lost
}

// Peer is the connection of one host to a Network. It implements
// quetzalhook.Peers.
type Peer struct {
	network   *Network
	member    quetzalhook.Member
	gate      *Gate
	handlers  map[string]quetzalhook.PeerHandler
	isRemoved bool
}

var (
	errUnreachable = errors.New("host is unreachable")
	errLost        = errors.New("response was lost")
)

// NewNetwork returns a network without hosts.
func NewNetwork() *Network {
	return &Network{cutLinks: make(map[[2]quetzalhook.HostID]bool)}
}

// Join adds a host and removes an earlier one with the same ID. Calls from and to
// the host pass through g.
func (n *Network) Join(m quetzalhook.Member, g *Gate) *Peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range n.hosts {
		p.isRemoved = p.isRemoved || p.member.Host == m.Host
	}
	p := &Peer{network: n, member: m, gate: g, handlers: make(map[string]quetzalhook.PeerHandler)}
	n.hosts = append(n.hosts, p)
	return p
}

// Leave removes a host.
func (n *Network) Leave(host quetzalhook.HostID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range n.hosts {
		p.isRemoved = p.isRemoved || p.member.Host == host
	}
}

// Cut breaks or repairs the connection between two hosts in both directions.
func (n *Network) Cut(a, b quetzalhook.HostID, broken bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cutLinks[[2]quetzalhook.HostID{min(a, b), max(a, b)}] = broken
}

// LoseAnswers makes the given number of next calls fail after their handler has
// run, so that only the response is lost.
func (n *Network) LoseAnswers(calls int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.answersToLose = calls
}

// Members returns the other hosts.
func (p *Peer) Members() []quetzalhook.Member {
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	var list []quetzalhook.Member
	for _, o := range p.network.hosts {
		if o != p && !o.isRemoved {
			list = append(list, o.member)
		}
	}
	return list
}

// Handle registers the handler of a kind.
func (p *Peer) Handle(kind string, h quetzalhook.PeerHandler) {
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	p.handlers[kind] = h
}

func (p *Peer) handler(kind string) quetzalhook.PeerHandler {
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	return p.handlers[kind]
}

// Call runs the handler of another host and returns its response. If ctx ends
// first, for example because the other host is paused, Call returns without
// waiting for the handler.
func (p *Peer) Call(ctx context.Context, host quetzalhook.HostID, kind string, body []byte) ([]byte, error) {
	if err := p.gate.Pass(); err != nil {
		return nil, err
	}
	to, lose := p.network.route(p.member.Host, host)
	if to == nil {
		return nil, errUnreachable
	}
	handler := to.handler(kind)
	if handler == nil {
		return nil, errUnreachable
	}
	type result struct {
		body []byte
		err  error
	}
	done := make(chan result, 1)
	go func() {
		if err := to.gate.Pass(); err != nil {
			done <- result{nil, err}
			return
		}
		answer, err := handler(ctx, p.member.Host, slices.Clone(body))
		done <- result{answer, err}
	}()
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case r := <-done:
		if err := p.gate.Pass(); err != nil {
			return nil, err
		}
		if lose {
			return nil, errLost
		}
		return r.body, r.err
	}
}

// route returns the host that a call reaches, nil if there is none, and whether
// the response is to be lost.
func (n *Network) route(from, host quetzalhook.HostID) (to *Peer, lose bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cutLinks[[2]quetzalhook.HostID{min(from, host), max(from, host)}] {
		return nil, false
	}
	for _, p := range n.hosts {
		if p.member.Host == host && !p.isRemoved {
			to = p
		}
	}
	if to != nil && n.answersToLose > 0 {
		n.answersToLose--
		lose = true
	}
	return to, lose
}
