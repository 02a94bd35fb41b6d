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

// fleet holds the components of a host that communicate with other hosts.
type fleet struct {
	node        *Node
	incarnation quetzalhook.Incarnation
	members     *member.Service
	peers       *peer.Service
	closeOnce   sync.Once
}

// newFleet creates the components that communicate with other hosts. A restarted
// host needs a larger incarnation than before, even on another machine. Since no host
// stores its incarnation, it is taken from the wall clock.
func (n *Node) newFleet() (*fleet, error) {
	f := &fleet{node: n, incarnation: quetzalhook.Incarnation(time.Now().UnixNano())}
	s := n.settings
	callAddress, err := nextPort(s.PeerListen)
	if err != nil {
		return nil, err
	}
	self := member.Self{
		Host: s.Host, Incarnation: f.incarnation, Zone: s.Zone, Address: n.advertisedAddress(), Heartbeat: s.PeerAdvertise,
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
		Host: s.Host, Listen: callAddress, Secret: []byte(s.PeerSecret), Directory: f.members,
	}, n.clock, n.log)
	return f, err
}

// advertisedAddress returns the address for callers, as far as it is known before the
// listener is open: if the settings leave the port to the system, the port is 0.
func (n *Node) advertisedAddress() string {
	if n.settings.Advertise != "" {
		return n.settings.Advertise
	}
	return n.settings.Listen
}

// nextPort returns an address with its port increased by 1, or unchanged if the port
// is 0. The port for calls between hosts is the one after the port for heartbeats.
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

// report returns the state of this host that it sends in heartbeats.
func (f *fleet) report() member.Report {
	n := f.node
	count, hash := n.records.keys.registry.Digest()
	return member.Report{
		// Callers are not sent to a host that is stopping or cannot serve.
		Draining: n.draining.Load(), Unready: !n.canServe(), FreeCapacity: math.Float64frombits(n.free.Load()),
		ConfigVersion: n.Version(), StoreAge: n.records.storeAge(),
		WithdrawnCount: count, WithdrawnHash: hash, Demand: n.broker.Demand(),
	}
}

// leave tells the other hosts that this host stops gracefully.
func (f *fleet) leave() { f.members.Leave() }

// Close ends all communication with other hosts.
func (f *fleet) Close() error {
	f.closeOnce.Do(func() {
		_ = f.members.Close()
		_ = f.peers.Close()
	})
	return nil
}

// liveHosts returns the other hosts that are alive and not draining.
func (f *fleet) liveHosts() []quetzalhook.HostID {
	var hosts []quetzalhook.HostID
	for _, m := range f.peers.Members() {
		if m.IsAlive(maxSilence) && !m.Draining {
			hosts = append(hosts, m.Host)
		}
	}
	return hosts
}
