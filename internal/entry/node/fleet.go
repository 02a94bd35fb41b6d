package node

import (
	"context"
	"math"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"quetzalhook"
	"quetzalhook/internal/fleet/member"
	"quetzalhook/internal/fleet/peer"
)

// fleet joins the parts of a host that talk to other hosts.
type fleet struct {
	node        *Node
	incarnation quetzalhook.Incarnation
	members     *member.Service
	peers       *peer.Service
	closed      sync.Once
}

// newFleet returns the fleet of a host. A restarted host, which may run on
// another machine, needs a larger incarnation, which only wall-clock time
// gives without a place to keep the last one.
func (n *Node) newFleet() (*fleet, error) {
	f := &fleet{node: n, incarnation: quetzalhook.Incarnation(time.Now().UnixNano())}
	s := n.settings
	calls, err := nextPort(s.PeerListen)
	if err != nil {
		return nil, err
	}
	self := member.Self{
		Host: s.Host, Incarnation: f.incarnation, Zone: s.Zone, Address: n.advertised(), Heartbeat: s.PeerAdvertise,
	}
	if s.PeerAdvertise != "" {
		if self.Peer, err = nextPort(s.PeerAdvertise); err != nil {
			return nil, err
		}
	}
	f.members = member.NewService(member.Settings{
		Self: self, Listen: s.PeerListen, Secret: []byte(s.PeerSecret), Seeds: s.Seeds, Report: f.report, Hosts: n.provider,
	}, n.clock, n.log)
	f.peers, err = peer.NewService(peer.Settings{
		Host: s.Host, Listen: calls, Secret: []byte(s.PeerSecret), Directory: f.members,
	}, n.clock, n.log)
	return f, err
}

// advertised returns the address for callers as far as it is known before the
// listener is open.
func (n *Node) advertised() string {
	if n.settings.Advertise != "" {
		return n.settings.Advertise
	}
	return n.settings.Listen
}

// nextPort returns the address with the next port, which carries calls beside
// the heartbeats; port 0 stays.
func nextPort(address string) (string, error) {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return "", errors.WithStack(err)
	}
	n, err := strconv.ParseUint(port, 10, 16)
	if err != nil || n == math.MaxUint16 {
		return "", errors.Errorf("port of %q is not a number below %d", address, math.MaxUint16)
	}
	if n > 0 {
		n++
	}
	return net.JoinHostPort(host, strconv.FormatUint(n, 10)), nil
}

func (f *fleet) start(ctx context.Context) error {
	if err := f.peers.Start(ctx); err != nil {
		return err
	}
	if f.node.settings.PeerAdvertise == "" {
		f.members.SetPeerAddress(f.peers.Address())
	}
	if err := f.members.Start(ctx); err != nil {
		_ = f.peers.Close()
		return err
	}
	return nil
}

// report returns what the heartbeats tell of this host.
func (f *fleet) report() member.Report {
	n := f.node
	count, hash := n.records.keys.registry.Digest()
	return member.Report{
		// A host that cannot serve yet, or no longer, is avoided like one that
		// stops.
		Draining: n.draining.Load(), Unready: !n.serves(), FreeCapacity: math.Float64frombits(n.free.Load()),
		ConfigVersion: n.Version(), StoreAge: n.records.storeAge(),
		WithdrawnCount: count, WithdrawnHash: hash, Demand: n.broker.Demand(),
	}
}

// leave tells the other hosts of a planned stop.
func (f *fleet) leave() { f.members.Leave() }

// Close ends all traffic with other hosts.
func (f *fleet) Close() error {
	f.closed.Do(func() {
		_ = f.members.Close()
		_ = f.peers.Close()
	})
	return nil
}

// live returns the other hosts that were heard from lately.
func (f *fleet) live() []quetzalhook.HostID {
	var hosts []quetzalhook.HostID
	for _, m := range f.peers.Members() {
		if m.IsAlive(aliveLimit) && !m.Draining {
			hosts = append(hosts, m.Host)
		}
	}
	return hosts
}
