package memory

import (
	"context"
	"errors"
	"slices"
	"sync"

	"quetzalhook"
)

// Network carries calls between simulated hosts of one process.
type Network struct {
	mu    sync.Mutex
	hosts []*Peer
	cut   map[[2]quetzalhook.HostID]bool
	lose  int
}

// Peer is one host's quetzalhook.Peers on a Network.
type Peer struct {
	network  *Network
	member   quetzalhook.Member
	gate     *Gate
	handlers map[string]quetzalhook.PeerHandler
	gone     bool
}

var (
	errNoHost = errors.New("the host is not reachable")
	errLost   = errors.New("the answer was lost")
)

// NewNetwork returns a network without hosts.
func NewNetwork() *Network {
	return &Network{cut: make(map[[2]quetzalhook.HostID]bool)}
}

// Join adds a host. A host of the same name that joined before is gone.
func (n *Network) Join(m quetzalhook.Member, g *Gate) *Peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range n.hosts {
		p.gone = p.gone || p.member.Host == m.Host
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
		p.gone = p.gone || p.member.Host == host
	}
}

// Cut breaks or repairs the connection between two hosts, both ways.
func (n *Network) Cut(a, b quetzalhook.HostID, broken bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]quetzalhook.HostID{min(a, b), max(a, b)}] = broken
}

// LoseAnswers makes the next calls fail after their effect.
func (n *Network) LoseAnswers(calls int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lose = calls
}

// Members returns the other hosts.
func (p *Peer) Members() []quetzalhook.Member {
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	var list []quetzalhook.Member
	for _, o := range p.network.hosts {
		if o != p && !o.gone {
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

// Call runs the handler of the other host. It ends with ctx even if the other
// host is paused; the handler then runs on.
func (p *Peer) Call(ctx context.Context, host quetzalhook.HostID, kind string, body []byte) ([]byte, error) {
	if err := p.gate.Pass(); err != nil {
		return nil, err
	}
	to, lose := p.network.route(p.member.Host, host)
	if to == nil {
		return nil, errNoHost
	}
	handler := to.handler(kind)
	if handler == nil {
		return nil, errNoHost
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

func (n *Network) route(from, host quetzalhook.HostID) (to *Peer, lose bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cut[[2]quetzalhook.HostID{min(from, host), max(from, host)}] {
		return nil, false
	}
	for _, p := range n.hosts {
		if p.member.Host == host && !p.gone {
			to = p
		}
	}
	if to != nil && n.lose > 0 {
		n.lose--
		lose = true
	}
	return to, lose
}
