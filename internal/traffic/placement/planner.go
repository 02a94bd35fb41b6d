// Package placement chooses the upstream of each request.
//
// The cost of an upstream is the predicted time to the first token (queue on
// the engine, prefill of the prompt tokens that its cache does not hold,
// network distance), plus costs, in seconds, for its load, for bytes between
// regions, for capacity that the platform may reclaim, and for overdue load
// reports or suspected faults. The cost is computed only for a sample of bounded
// size, so that the time of a decision does not grow with the fleet.
//
// Many hosts use the same engines, and each knows their load only with a delay.
// A Strategy limits how many requests a host may send to an upstream.
package placement

import (
	"slices"
	"time"

	"quetzalhook"
	"quetzalhook/internal/state/invariant"
	"quetzalhook/internal/traffic/health"
	"quetzalhook/internal/traffic/share"
)

// Strategy selects how a host decides which upstreams have a slot for it.
type Strategy uint8

const (
	// SlotShares gives every host its own slots on each upstream, computed from
	// the demand that hosts exchange by gossip.
	SlotShares Strategy = iota
	// PowerOfTwo takes the less loaded of two random upstreams according to load
	// reports.
	PowerOfTwo
	// LeastLoaded takes the least loaded upstream according to load reports.
	LeastLoaded
)

// Names of the rules that the planner checks in its own results.
const (
	// RuleSlotShare states that the slots of all hosts on an upstream sum to at
	// most its number of slots, or to the requests in flight if these are more.
	RuleSlotShare = "slot-share"
	// RuleEjectionCap states that the fraction of upstreams that the health
	// monitor takes out of service is at most its cap.
	RuleEjectionCap = "ejection-cap"
)

const (
	// refreshInterval is the shortest time between two recomputations of shares
	// and health for all upstreams.
	refreshInterval = 50 * time.Millisecond
	// peerTimeout is the age after which a peer's demand is dropped: the peer
	// has failed or cannot be reached, and its slots go to the other hosts.
	peerTimeout = 3 * time.Second
)

// Planner implements quetzalhook.Placer.
type Planner struct {
	host       quetzalhook.HostID
	region     quetzalhook.Region
	hostCount  int
	seed       uint64
	strategy   Strategy
	invariants quetzalhook.Invariants
	rules      quetzalhook.Invariants // nil: not counted
	weights    Weights

	monitor    *health.Monitor
	healthOpts []health.Option
	upstreams  []*upstream
	byID       map[quetzalhook.UpstreamID]*upstream
	removed    []*upstream // not in the list any more, but requests still run on them
	pools      map[quetzalhook.Model]*pool
	prefixes   *prefixIndex
	streams    map[quetzalhook.RequestID]*stream

	ownDemand     quetzalhook.Demand
	meanWork      [quetzalhook.TierCount]float64 // mean work of a request in tokens
	announcedNeed share.Need                     // own need that the peers have received
	nextNeed      share.Need                     // replaces announcedNeed after gossipDelay
	needUpdatedAt time.Time
	peers         []quetzalhook.PeerDemand
	table         share.Table
	refreshedAt   time.Time
	recordedAt    time.Time
	newestReport  time.Time // time of the newest load report
}

// Option sets a property of a Planner.
type Option func(*Planner)

// WithHost sets this host's identifier.
func WithHost(id quetzalhook.HostID) Option { return func(p *Planner) { p.host = id } }

// WithRegion sets this host's region.
func WithRegion(r quetzalhook.Region) Option { return func(p *Planner) { p.region = r } }

// WithHosts sets the number of hosts that share the slots equally while the
// demand of no peer is known.
func WithHosts(n int) Option { return func(p *Planner) { p.hostCount = max(n, 1) } }

// WithSeed sets the seed of the random sample of upstreams.
func WithSeed(seed uint64) Option { return func(p *Planner) { p.seed = seed } }

// WithStrategy sets the strategy; the default is SlotShares.
func WithStrategy(s Strategy) Option { return func(p *Planner) { p.strategy = s } }

// WithWeights sets the weights of the cost.
func WithWeights(w Weights) Option { return func(p *Planner) { p.weights = w } }

// WithInvariants sets where invariant checks are counted.
func WithInvariants(i quetzalhook.Invariants) Option { return func(p *Planner) { p.invariants = i } }

// WithRules sets where checks of RuleSlotShare and RuleEjectionCap are counted.
// These rules are not among the named invariants.
func WithRules(i quetzalhook.Invariants) Option { return func(p *Planner) { p.rules = i } }

// WithHealth passes options to the health monitor.
func WithHealth(opts ...health.Option) Option { return func(p *Planner) { p.healthOpts = opts } }

// stream is one running request.
type stream struct {
	upstream       *upstream
	health         *health.Stream
	uncachedTokens float64 // prompt tokens to prefill before the first token
}

// endPrefill subtracts the prompt from the upstream's prefillTokens after the
// first token or the end of the request.
func (s *stream) endPrefill() {
	s.upstream.prefillTokens -= s.uncachedTokens
	s.uncachedTokens = 0
}

// New returns a planner without upstreams.
func New(opts ...Option) *Planner {
	p := &Planner{
		host:       "host",
		hostCount:  1,
		weights:    DefaultWeights(),
		invariants: invariant.New(nil),
		byID:       make(map[quetzalhook.UpstreamID]*upstream),
		pools:      make(map[quetzalhook.Model]*pool),
		prefixes:   newPrefixIndex(maxPrefixes),
		streams:    make(map[quetzalhook.RequestID]*stream),
		meanWork:   defaultWork,
	}
	for _, opt := range opts {
		opt(p)
	}
	p.monitor = health.New(append([]health.Option{health.WithInvariants(p.invariants)}, p.healthOpts...)...)
	p.table = share.Equal(p.host, p.hostCount)
	return p
}

var _ quetzalhook.Placer = (*Planner)(nil)

// SetRegion sets this host's region; it takes effect with the next
// SetUpstreams.
func (p *Planner) SetRegion(r quetzalhook.Region) { p.region = r }

// SetUpstreams implements quetzalhook.Placer.
func (p *Planner) SetUpstreams(now time.Time, upstreams []quetzalhook.Upstream) {
	p.monitor.SetUpstreams(upstreams)
	old := p.byID
	p.byID = make(map[quetzalhook.UpstreamID]*upstream, len(upstreams))
	p.upstreams = p.upstreams[:0]
	p.pools = make(map[quetzalhook.Model]*pool)
	for _, d := range sortedUpstreams(upstreams) {
		u := old[d.ID]
		if u == nil {
			u = &upstream{}
		}
		u.Upstream, u.index = d, len(p.upstreams)
		u.target = p.monitor.Target(d.ID)
		u.memberships = u.memberships[:0]
		p.byID[d.ID] = u
		p.upstreams = append(p.upstreams, u)
		for _, m := range servedModels(d) {
			pl := p.pools[m]
			if pl == nil {
				pl = &pool{}
				p.pools[m] = pl
			}
			u.memberships = append(u.memberships, newMembership(pl, d.Region == p.region))
		}
	}
	for id, u := range old {
		if p.byID[id] == nil {
			u.State = quetzalhook.UpstreamGone
			p.removed = append(p.removed, u)
		}
	}
	p.prefixes.reset(p.upstreams)
	p.refresh(now, true)
}

// ObserveLoad implements quetzalhook.Placer.
func (p *Planner) ObserveLoad(now time.Time, l quetzalhook.Load) {
	u := p.byID[l.Upstream]
	if u == nil {
		return
	}
	u.observe(now, l)
	if u.reportedAt.After(p.newestReport) {
		p.newestReport = u.reportedAt
	}
	if l.PrefixGap {
		u.generation++
	}
	for _, h := range l.Evicted {
		p.prefixes.remove(h, u)
	}
	for _, h := range l.Prefixes {
		p.prefixes.add(h, u)
	}
	p.updatePools(u)
}

// ObservePeers implements quetzalhook.Placer.
func (p *Planner) ObservePeers(now time.Time, peers []quetzalhook.PeerDemand) {
	p.peers = p.peers[:0]
	for _, d := range peers {
		if d.Age <= peerTimeout && d.Host != p.host {
			p.peers = append(p.peers, d)
		}
	}
	for _, u := range p.upstreams {
		u.peerInFlight = 0
	}
	for _, d := range p.peers {
		for id, n := range d.Demand.InFlight {
			if u := p.byID[id]; u != nil {
				u.peerInFlight += n
			}
		}
	}
	p.refresh(now, true)
}

// ObserveDemand implements quetzalhook.Placer.
func (p *Planner) ObserveDemand(now time.Time, d quetzalhook.Demand) {
	p.ownDemand = d
	p.updateMeanWork(d)
	p.refresh(now, false)
}

// Started implements quetzalhook.Placer.
func (p *Planner) Started(now time.Time, r quetzalhook.Request, id quetzalhook.UpstreamID) {
	u := p.byID[id]
	if u == nil {
		return
	}
	p.invariants.Check(invariant.LeavingUpstream, !u.isLeaving(), "request", r.ID, "upstream", id)
	if old := p.streams[r.ID]; old != nil {
		p.finish(now, r.ID, old, quetzalhook.EndCancelled)
	}
	found := p.prefixes.lookup(r.Prefixes, r.PrefixTokens)
	s := &stream{upstream: u, uncachedTokens: max(float64(r.PromptTokens)-found.tokensOn(u), 0)}
	if u.target != nil {
		ttft := p.firstToken(now, r, u, &found, p.optimisticLoad(u))
		s.health = p.monitor.Started(now, u.target, time.Duration(ttft*float64(time.Second)))
	}
	u.ownInFlight++
	u.prefillTokens += s.uncachedTokens
	p.streams[r.ID] = s
	for _, h := range r.Prefixes {
		p.prefixes.add(h, u)
	}
	p.updatePools(u)
}

// Progress implements quetzalhook.Placer.
func (p *Planner) Progress(now time.Time, id quetzalhook.RequestID, n int) {
	s := p.streams[id]
	if s == nil || n <= 0 {
		return
	}
	s.endPrefill()
	if s.health != nil {
		p.monitor.Progress(now, s.health, n)
	}
}

// Ended implements quetzalhook.Placer.
func (p *Planner) Ended(now time.Time, id quetzalhook.RequestID, end quetzalhook.End) {
	if s := p.streams[id]; s != nil {
		p.finish(now, id, s, end)
	}
}

// finish removes a stream, frees its slot and reports its end to the health
// monitor.
func (p *Planner) finish(now time.Time, id quetzalhook.RequestID, s *stream, end quetzalhook.End) {
	delete(p.streams, id)
	s.endPrefill()
	u := s.upstream
	u.ownInFlight--
	if s.health != nil {
		p.monitor.Ended(now, s.health, end)
	}
	p.updatePools(u)
}

// Slots implements quetzalhook.Placer.
func (p *Planner) Slots(now time.Time, m quetzalhook.Model) (total, free int) {
	p.refresh(now, false)
	pl := p.pools[m]
	if pl == nil {
		return 0, 0
	}
	return pl.slots, pl.freeSlots
}

// Unfit implements quetzalhook.Placer.
func (p *Planner) Unfit(now time.Time) []quetzalhook.UpstreamID {
	p.refresh(now, false)
	var unfit []quetzalhook.UpstreamID
	for _, u := range p.upstreams {
		if u.isLeaving() || u.target == nil || u.target.State() == health.Ejected {
			unfit = append(unfit, u.ID)
		}
	}
	p.removed = slices.DeleteFunc(p.removed, func(u *upstream) bool { return u.ownInFlight == 0 })
	for _, u := range p.removed {
		unfit = append(unfit, u.ID)
	}
	slices.Sort(unfit)
	return unfit
}

// refresh evaluates the health of all upstreams and recomputes this host's
// slots on them. Unless forced, it does nothing within refreshInterval of the
// last refresh.
func (p *Planner) refresh(now time.Time, force bool) {
	if !force && now.Sub(p.refreshedAt) < refreshInterval {
		return
	}
	p.refreshedAt = now
	p.monitor.Check(now)
	if p.rules != nil {
		p.rules.Check(RuleEjectionCap, p.monitor.UnderCap())
	}
	p.recordInFlight(now)
	p.computeShares(now)
	for _, u := range p.upstreams {
		p.updatePools(u)
	}
}
