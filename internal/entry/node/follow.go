package node

import (
	"context"
	"math"
	"reflect"
	"slices"
	"time"

	"quetzalhook"
	"quetzalhook/internal/entry/front"
	"quetzalhook/internal/fleet/member"
	"quetzalhook/internal/record/configuration"
)

const (
	// peersInterval is the time between two updates by syncPeers.
	peersInterval = 100 * time.Millisecond
	// The interval between two reads of the platform's list of upstreams is the
	// largest of three values; see platformInterval.
	//
	// platformIntervalPerHost times the number of hosts limits all hosts together to
	// 200 reads/s. There is no upper bound: with one of 5 s, 2,800 hosts made 560
	// reads/s.
	//
	// platformIntervalPerUpstream times the number of upstreams limits the traffic of
	// a host to 7.4 KB/s, since each upstream takes about 74 bytes of the list. With
	// one read per second, a host with 700 upstreams used 52 KB/s.
	//
	// The third value is minPlatformInterval. Long intervals do not delay the
	// information that an engine is leaving: it is also in the engine's load reports,
	// which hosts poll more often.
	platformIntervalPerHost     = 5 * time.Millisecond
	platformIntervalPerUpstream = 10 * time.Millisecond
	minPlatformInterval         = time.Second
	platformTimeout             = 2 * time.Second
	// maxSilence is how long a host may be silent and still be listed for callers. It
	// also applies to the choice of hosts for roles, but not to hosts of other cells;
	// see quetzalhook.Member.IsAlive.
	maxSilence = 2 * time.Second
)

// watchConfiguration applies each new configuration until ctx ends.
func (n *Node) watchConfiguration(ctx context.Context) {
	for {
		doc, version, changed := n.records.rollout.Document()
		if version > 0 {
			n.apply(doc)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// apply passes a configuration to the components of this host.
func (n *Node) apply(doc *configuration.Document) {
	n.setRegion(doc.Region(n.settings.Zone))
	n.broker.SetLimits(doc.Limits())
	n.records.keys.registry.SetLimits(doc.Keys.CurrencyLimit, doc.Keys.UnknownRetention)
	n.records.journal.journal.SetRetention(doc.Retention.Journal)
	n.applyUpstreams(doc)
}

// applyUpstreams combines the configured upstreams with the states in the platform's
// list and passes the result to the policy, the connection pool and the prober. An
// upstream that the list does not contain, such as a service, is ready.
func (n *Node) applyUpstreams(doc *configuration.Document) {
	n.applyMu.Lock()
	defer n.applyMu.Unlock()
	upstreams := selectUpstreams(doc.UpstreamsFrom(n.settings.Zone), n.fleet.members.Owns)
	states := make(map[quetzalhook.UpstreamID]quetzalhook.UpstreamState)
	if listed := n.listed.Load(); listed != nil {
		for _, u := range *listed {
			states[u.ID] = u.State
		}
	}
	for i := range upstreams {
		u := &upstreams[i]
		u.State = states[u.ID]
		if u.Kind == quetzalhook.KindService {
			u.Models = []quetzalhook.Model{front.ServiceModel(u.Service)}
		}
	}
	if reflect.DeepEqual(upstreams, n.applied) {
		return
	}
	n.applied = upstreams
	n.pool.Set(upstreams)
	n.prober.Set(upstreams)
	n.broker.SetUpstreams(upstreams)
}

// allEnginesLimit is the number of engines up to which a host uses all of them. Up to
// this number, the cost of a scheduling decision is known. With 10,000 engines, a host
// would have to poll 10,000 load reports.
const allEnginesLimit = 700

// selectUpstreams returns the upstreams that a host uses: all services and all engines
// or, if there are more than allEnginesLimit engines, only those that its cell owns.
func selectUpstreams(upstreams []quetzalhook.Upstream, owns func(quetzalhook.UpstreamID, quetzalhook.Zone) bool) []quetzalhook.Upstream {
	engines := 0
	for _, u := range upstreams {
		if u.Kind == quetzalhook.KindEngine {
			engines++
		}
	}
	if engines <= allEnginesLimit {
		return upstreams
	}
	return slices.DeleteFunc(upstreams, func(u quetzalhook.Upstream) bool {
		return u.Kind == quetzalhook.KindEngine && !owns(u.ID, u.Zone)
	})
}

// pollPlatform periodically reads the platform's list of upstreams until ctx ends.
// While reads fail, the last list stays in use.
func (n *Node) pollPlatform(ctx context.Context) {
	for {
		n.readPlatform(ctx)
		upstreams := 0
		if listed := n.listed.Load(); listed != nil {
			upstreams = len(*listed)
		}
		select {
		case <-time.After(platformInterval(len(n.fleet.peers.Members())+1, upstreams)):
		case <-ctx.Done():
			return
		}
	}
}

// platformInterval returns the time between two reads of the platform's list of
// upstreams by one host.
func platformInterval(hosts, upstreams int) time.Duration {
	return max(time.Duration(hosts)*platformIntervalPerHost, time.Duration(upstreams)*platformIntervalPerUpstream, minPlatformInterval)
}

// readPlatform reads the platform's list of upstreams once and applies it.
func (n *Node) readPlatform(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	upstreams, err := n.provider.Upstreams(ctx)
	if err != nil {
		n.log.WithError(err).Debug("list of upstreams not read")
		return
	}
	old := n.listed.Swap(&upstreams)
	if old != nil && sameStates(*old, upstreams) && len(upstreams) <= allEnginesLimit {
		return
	}
	// With more engines, the upstreams that this host uses depend on the cells, which
	// may have changed even if the list has not.
	if doc := n.document(); doc != nil {
		n.applyUpstreams(doc)
	}
}

// sameStates reports whether two lists have the same upstreams in the same states.
func sameStates(a, b []quetzalhook.Upstream) bool {
	return slices.EqualFunc(a, b, func(x, y quetzalhook.Upstream) bool { return x.ID == y.ID && x.State == y.State })
}

// syncPeers periodically updates this host's free capacity, which heartbeats carry,
// and passes the demand of the other hosts to the policy, until ctx ends.
func (n *Node) syncPeers(ctx context.Context) {
	ticker := time.NewTicker(peersInterval)
	defer ticker.Stop()
	var last []quetzalhook.Member
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		n.free.Store(math.Float64bits(n.freeCapacity()))
		members := n.fleet.peers.Members()
		// Passing an unchanged list again has no effect, but takes 5 ms with 17,000
		// active customers.
		if member.IsSameList(last, members) {
			continue
		}
		last = members
		peers := make([]quetzalhook.PeerDemand, 0, len(members))
		for _, m := range members {
			peers = append(peers, quetzalhook.PeerDemand{Host: m.Host, Age: m.Silent, Demand: m.Demand})
		}
		n.broker.ObservePeers(peers)
	}
}

// freeCapacity returns the unused fraction, from 0 to 1, of this host's share of all
// slots. All hosts have equal shares.
func (n *Node) freeCapacity() float64 {
	slots := 0
	for _, u := range n.pool.Upstreams() {
		if u.State == quetzalhook.UpstreamReady {
			slots += u.Slots
		}
	}
	ownSlots := float64(slots) / float64(len(n.fleet.peers.Members())+1)
	if ownSlots <= 0 {
		return 0
	}
	return max(0, 1-float64(n.broker.Open())/ownSlots)
}

// canServe reports whether this host can serve callers: it has a configuration and
// its keys are known to be up to date.
func (n *Node) canServe() bool {
	current, _ := n.records.keys.registry.Current(n.clock.Now())
	return current && n.Version() > 0
}

// hosts returns the hosts that callers in a region should use, in the order of
// compareHosts. A stopping host lists itself only if it knows no other host. A host
// that cannot serve never lists itself.
func (n *Node) hosts(region quetzalhook.Region) []front.HostAddress {
	var list []front.HostAddress
	self := front.HostAddress{
		Address: n.Address(), Zone: n.settings.Zone, Region: n.hostRegion(), Free: math.Float64frombits(n.free.Load()),
	}
	if !n.draining.Load() && n.canServe() {
		list = append(list, self)
	}
	for _, m := range n.fleet.peers.Members() {
		if m.Draining || m.Unready || m.Silent > maxSilence || m.Address == "" {
			continue
		}
		list = append(list, front.HostAddress{Address: m.Address, Zone: m.Zone, Region: n.regionOf(m), Free: m.FreeCapacity})
	}
	if len(list) == 0 && n.canServe() {
		list = append(list, self)
	}
	slices.SortStableFunc(list, func(a, b front.HostAddress) int { return compareHosts(region, a, b) })
	return list
}

// regionOf returns the region of another host. If the host does not report it, the
// region of its zone in the configuration is used.
func (n *Node) regionOf(m quetzalhook.Member) quetzalhook.Region {
	if doc := n.document(); doc != nil && m.Region == "" {
		return doc.Region(m.Zone)
	}
	return m.Region
}

// freeCapacityStep is the granularity with which compareHosts compares free capacity.
// It is coarse so that callers do not all move to one host because of a small
// difference.
const freeCapacityStep = 0.25

// compareHosts orders hosts for callers in a region: hosts in the region come first,
// and within and outside it those with more free capacity, in steps of
// freeCapacityStep.
func compareHosts(region quetzalhook.Region, a, b front.HostAddress) int {
	if near, far := a.Region == region, b.Region == region; near != far {
		if near {
			return -1
		}
		return 1
	}
	return int(b.Free/freeCapacityStep) - int(a.Free/freeCapacityStep)
}
