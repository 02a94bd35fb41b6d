package node

import (
	"context"

	"quetzalhook"
	"quetzalhook/internal/fleet/peer"
)

// fleet joins the parts of a host that talk to other hosts.
type fleet struct {
	node        *Node
	incarnation quetzalhook.Incarnation
	peers       quetzalhook.Peers
}

func (n *Node) newFleet() (*fleet, error) {
	network := peer.NewNetwork(n.clock, 0)
	f := &fleet{node: n, incarnation: quetzalhook.Incarnation(n.clock.Now().UnixNano())}
	f.peers = network.Endpoint(n.settings.Host)
	return f, nil
}

func (f *fleet) start(context.Context) error { return nil }
func (f *fleet) announce()                   {}
func (f *fleet) setDraining()                {}
func (f *fleet) kill()                       {}

// Close ends all connections to other hosts.
func (f *fleet) Close() error { return nil }

// live returns the other hosts that were heard from lately.
func (f *fleet) live() []quetzalhook.HostID {
	var hosts []quetzalhook.HostID
	for _, m := range f.peers.Members() {
		if m.Silent < aliveLimit && !m.Draining {
			hosts = append(hosts, m.Host)
		}
	}
	return hosts
}
