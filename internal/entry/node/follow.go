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
	// peersInterval is how often the policy learns of the other hosts.
	peersInterval = 100 * time.Millisecond
	// The platform's list of upstreams is read every platformPerHost for each
	// known host, so that all hosts together make at most 200 reads/s, but not
	// more often than every platformMin. With an upper bound of 5 s, 2,800 hosts
	// made 560 reads/s. An upstream takes about 74 bytes of the list, which
	// took 52 KB/s of a host with 700 upstreams at one read a second; every
	// platformPerUpstream for each of them is 7.4 KB/s. Engines announce in their
	// load reports that they leave, which hosts poll more often.
	platformPerHost     = 5 * time.Millisecond
	platformPerUpstream = 10 * time.Millisecond
	platformMin         = time.Second
	platformTimeout     = 2 * time.Second
	// aliveLimit is the longest silence of a host that callers are still sent to.
	aliveLimit = 2 * time.Second
)

// followConfiguration puts every new configuration in force on this host.
func (n *Node) followConfiguration(ctx context.Context) {
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

func (n *Node) apply(doc *configuration.Document) {
	n.setRegion(doc.Region(n.settings.Zone))
	n.broker.SetLimits(doc.Limits())
	n.records.keys.registry.SetLimits(doc.Keys.CurrencyLimit, doc.Keys.UnknownRetention)
	n.records.journal.journal.SetRetention(doc.Retention.Journal)
	n.applyUpstreams(doc)
}

// applyUpstreams joins the configured upstreams with the states that the
// platform lists. An upstream that the platform does not list, such as a
// service, keeps the state ready.
func (n *Node) applyUpstreams(doc *configuration.Document) {
	n.applying.Lock()
	defer n.applying.Unlock()
	upstreams := inView(doc.UpstreamsFrom(n.settings.Zone), n.fleet.members.Owns)
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

// viewLimit is the number of engines up to which a host uses all of them; it is
// the size up to which the cost of a decision is measured. With 10,000 engines
// in view a host would have to poll 10,000 load reports.
const viewLimit = 700

// inView returns the upstreams that a host uses: all services and, of more than
// viewLimit engines, those that its cell owns.
func inView(upstreams []quetzalhook.Upstream, owns func(quetzalhook.UpstreamID, quetzalhook.Zone) bool) []quetzalhook.Upstream {
	engines := 0
	for _, u := range upstreams {
		if u.Kind == quetzalhook.KindEngine {
			engines++
		}
	}
	if engines <= viewLimit {
		return upstreams
	}
	return slices.DeleteFunc(upstreams, func(u quetzalhook.Upstream) bool {
		return u.Kind == quetzalhook.KindEngine && !owns(u.ID, u.Zone)
	})
}

// followPlatform reads the platform's list of upstreams. While the platform
// does not answer, the last list stays in use.
func (n *Node) followPlatform(ctx context.Context) {
	for {
		n.readPlatform(ctx)
		upstreams := 0
		if listed := n.listed.Load(); listed != nil {
			upstreams = len(*listed)
		}
		select {
		case <-time.After(platformWait(len(n.fleet.peers.Members())+1, upstreams)):
		case <-ctx.Done():
			return
		}
	}
}

// platformWait returns the time between two reads of the list of upstreams in
// a fleet of hosts.
func platformWait(hosts, upstreams int) time.Duration {
	return max(time.Duration(hosts)*platformPerHost, time.Duration(upstreams)*platformPerUpstream, platformMin)
}

func (n *Node) readPlatform(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	upstreams, err := n.provider.Upstreams(ctx)
	if err != nil {
		n.log.WithError(err).Debug("upstream list not read")
		return
	}
	old := n.listed.Swap(&upstreams)
	if old != nil && sameStates(*old, upstreams) && len(upstreams) <= viewLimit {
		return
	}
	// In a large fleet the cells may have changed since the last read.
	if doc := n.document(); doc != nil {
		n.applyUpstreams(doc)
	}
}

func sameStates(a, b []quetzalhook.Upstream) bool {
	return slices.EqualFunc(a, b, func(x, y quetzalhook.Upstream) bool { return x.ID == y.ID && x.State == y.State })
}

// followPeers passes the demand of the other hosts to the policy and this
// host's to them.
func (n *Node) followPeers(ctx context.Context) {
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
		// One list passed on again would tell the policy nothing, but takes 5 ms
		// with 17,000 active customers.
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

// freeCapacity returns the fraction of this host's share of all slots that is
// unused.
func (n *Node) freeCapacity() float64 {
	slots := 0
	for _, u := range n.pool.Upstreams() {
		if u.State == quetzalhook.UpstreamReady {
			slots += u.Slots
		}
	}
	own := float64(slots) / float64(len(n.fleet.peers.Members())+1)
	if own <= 0 {
		return 0
	}
	return max(0, 1-float64(n.broker.Open())/own)
}

// serves reports whether this host can serve callers: it has a configuration
// and can show that its keys are current.
func (n *Node) serves() bool {
	current, _ := n.records.keys.registry.Current(n.clock.Now())
	return current && n.Version() > 0
}

// hosts returns the hosts that callers in a region should use, the best
// first: in the region, then by free capacity. Without any other, a host
// that is stopping still names itself; one that cannot serve never does.
func (n *Node) hosts(region quetzalhook.Region) []front.HostAddress {
	var list []front.HostAddress
	self := front.HostAddress{
		Address: n.Address(), Zone: n.settings.Zone, Region: n.callerRegion(), Free: math.Float64frombits(n.free.Load()),
	}
	if !n.draining.Load() && n.serves() {
		list = append(list, self)
	}
	for _, m := range n.fleet.peers.Members() {
		if m.Draining || m.Unready || m.Silent > aliveLimit || m.Address == "" {
			continue
		}
		list = append(list, front.HostAddress{Address: m.Address, Zone: m.Zone, Region: n.regionOf(m), Free: m.FreeCapacity})
	}
	if len(list) == 0 && n.serves() {
		list = append(list, self)
	}
	slices.SortStableFunc(list, func(a, b front.HostAddress) int { return compareHosts(region, a, b) })
	return list
}

func (n *Node) regionOf(m quetzalhook.Member) quetzalhook.Region {
	if doc := n.document(); doc != nil && m.Region == "" {
		return doc.Region(m.Zone)
	}
	return m.Region
}

// freeStep is the difference in free capacity that matters for the order, so
// that callers do not all move to one host for a small difference.
const freeStep = 0.25

func compareHosts(region quetzalhook.Region, a, b front.HostAddress) int {
	if near, far := a.Region == region, b.Region == region; near != far {
		if near {
			return -1
		}
		return 1
	}
	return int(b.Free/freeStep) - int(a.Free/freeStep)
}
