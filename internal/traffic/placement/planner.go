// Package placement chooses the upstream of each request.
//
// The cost of an upstream is the predicted time to the first token (queue on
// the engine, prefill of the prompt tokens that its cache does not hold,
// network distance), plus the price of cross-region bytes, plus the risk of
// capacity that the platform may reclaim. Only a bounded sample of upstreams
// is costed, so a decision does not grow with the fleet.
//
// Many hosts use the same engines with knowledge that lags. Three strategies
// bound what a host may send; see Strategy.
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
	// gossiped demand.
	SlotShares Strategy = iota
	// PowerOfTwo takes the less loaded of two random upstreams by report.
	PowerOfTwo
	// LeastLoaded takes the least loaded upstream by report.
	LeastLoaded
)

// Names of the rules that the planner checks on itself.
const (
	// RuleSlotShare states that the shares of an upstream's slots sum to at
	// most its slots, or to those that are held.
	RuleSlotShare = "slot-share"
	// RuleEjectionCap states that the ejected fraction is under its cap.
	RuleEjectionCap = "ejection-cap"
)

const (
	// refreshInterval is the least time between two recomputations of shares
	// and health for all upstreams.
	refreshInterval = 50 * time.Millisecond
	// peerTimeout is the age after which a silent peer's demand is dropped: it
	// is dead or cut off, and its slots return to the others.
	peerTimeout = 3 * time.Second
)

// Planner implements quetzalhook.Placer.
type Planner struct {
	host     quetzalhook.HostID
	region   quetzalhook.Region
	hosts    int
	seed     uint64
	strategy Strategy
	checks   quetzalhook.Invariants
	rules    quetzalhook.Invariants // nil counts nothing
	weights  Weights

	monitor   *health.Monitor
	healthOpt []health.Option
	upstreams []*upstream
	byID      map[quetzalhook.UpstreamID]*upstream
	gone      []*upstream // removed while requests ran on them
	pools     map[quetzalhook.Model]*pool
	prefixes  *prefixIndex
	streams   map[quetzalhook.RequestID]*stream

	own       quetzalhook.Demand
	work      [quetzalhook.TierCount]float64 // mean work of a request in tokens
	settled   share.Need                     // own need that the peers know
	pending   share.Need
	rotated   time.Time
	peers     []quetzalhook.PeerDemand
	table     share.Table
	refreshed time.Time
	sampled   time.Time
	newest    time.Time // when the newest load report was taken
}

// Option sets a property of a Planner.
type Option func(*Planner)

// WithHost sets this host's identifier.
func WithHost(id quetzalhook.HostID) Option { return func(p *Planner) { p.host = id } }

// WithRegion sets this host's region.
func WithRegion(r quetzalhook.Region) Option { return func(p *Planner) { p.region = r } }

// WithHosts sets the number of hosts, used until peers are heard from.
func WithHosts(n int) Option { return func(p *Planner) { p.hosts = max(n, 1) } }

// WithSeed sets the seed of the sampled choice.
func WithSeed(seed uint64) Option { return func(p *Planner) { p.seed = seed } }

// WithStrategy sets the strategy; the default is SlotShares.
func WithStrategy(s Strategy) Option { return func(p *Planner) { p.strategy = s } }

// WithWeights sets the weights of the cost.
func WithWeights(w Weights) Option { return func(p *Planner) { p.weights = w } }

// WithInvariants sets where invariant checks are counted.
func WithInvariants(i quetzalhook.Invariants) Option { return func(p *Planner) { p.checks = i } }

// WithRules sets where the planner's own rules RuleSlotShare and
// RuleEjectionCap are counted. They are not among the named invariants.
func WithRules(i quetzalhook.Invariants) Option { return func(p *Planner) { p.rules = i } }

// WithHealth passes options to the health monitor.
func WithHealth(opts ...health.Option) Option { return func(p *Planner) { p.healthOpt = opts } }

// stream is one running request.
type stream struct {
	upstream *upstream
	health   *health.Stream
	fresh    float64 // prompt tokens to compute before the first token
}

// prefilled records that the prompt is computed, or not needed any more.
func (s *stream) prefilled() {
	s.upstream.prefilling -= s.fresh
	s.fresh = 0
}

// New returns a planner without upstreams.
func New(opts ...Option) *Planner {
	p := &Planner{
		host:     "host",
		hosts:    1,
		weights:  DefaultWeights(),
		checks:   invariant.New(nil),
		byID:     make(map[quetzalhook.UpstreamID]*upstream),
		pools:    make(map[quetzalhook.Model]*pool),
		prefixes: newPrefixIndex(maxPrefixes),
		streams:  make(map[quetzalhook.RequestID]*stream),
		work:     defaultWork,
	}
	for _, opt := range opts {
		opt(p)
	}
	p.monitor = health.New(append([]health.Option{health.WithInvariants(p.checks)}, p.healthOpt...)...)
	p.table = share.Equal(p.host, p.hosts)
	return p
}

var _ quetzalhook.Placer = (*Planner)(nil)

// SetRegion sets this host's region; it holds from the next SetUpstreams on.
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
			p.gone = append(p.gone, u)
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
	if u.reportedAt.After(p.newest) {
		p.newest = u.reportedAt
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
	p.update(u)
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
		u.peers = 0
	}
	for _, d := range p.peers {
		for id, n := range d.Demand.InFlight {
			if u := p.byID[id]; u != nil {
				u.peers += n
			}
		}
	}
	p.refresh(now, true)
}

// ObserveDemand implements quetzalhook.Placer.
func (p *Planner) ObserveDemand(now time.Time, d quetzalhook.Demand) {
	p.own = d
	p.learnWork(d)
	p.refresh(now, false)
}

// Started implements quetzalhook.Placer.
func (p *Planner) Started(now time.Time, r quetzalhook.Request, id quetzalhook.UpstreamID) {
	u := p.byID[id]
	if u == nil {
		return
	}
	p.checks.Check(invariant.LeavingUpstream, !u.isLeaving(), "request", r.ID, "upstream", id)
	if old := p.streams[r.ID]; old != nil {
		p.finish(now, r.ID, old, quetzalhook.EndCancelled)
	}
	found := p.prefixes.lookup(r.Prefixes, r.PrefixTokens)
	s := &stream{upstream: u, fresh: max(float64(r.PromptTokens)-found.on(u), 0)}
	if u.target != nil {
		expect := p.firstToken(now, r, u, &found, p.likelyLoad(u))
		s.health = p.monitor.Started(now, u.target, time.Duration(expect*float64(time.Second)))
	}
	u.own++
	u.prefilling += s.fresh
	p.streams[r.ID] = s
	for _, h := range r.Prefixes {
		p.prefixes.add(h, u)
	}
	p.update(u)
}

// Progress implements quetzalhook.Placer.
func (p *Planner) Progress(now time.Time, id quetzalhook.RequestID, n int) {
	s := p.streams[id]
	if s == nil || n <= 0 {
		return
	}
	s.prefilled()
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

func (p *Planner) finish(now time.Time, id quetzalhook.RequestID, s *stream, end quetzalhook.End) {
	delete(p.streams, id)
	s.prefilled()
	u := s.upstream
	u.own--
	if s.health != nil {
		p.monitor.Ended(now, s.health, end)
	}
	p.update(u)
}

// Slots implements quetzalhook.Placer.
func (p *Planner) Slots(now time.Time, m quetzalhook.Model) (total, free int) {
	p.refresh(now, false)
	pl := p.pools[m]
	if pl == nil {
		return 0, 0
	}
	return pl.slots, pl.unused
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
	p.gone = slices.DeleteFunc(p.gone, func(u *upstream) bool { return u.own == 0 })
	for _, u := range p.gone {
		unfit = append(unfit, u.ID)
	}
	slices.Sort(unfit)
	return unfit
}

// refresh judges the health of all upstreams and divides their slots again.
// Unless forced it does nothing when the last call is recent.
func (p *Planner) refresh(now time.Time, force bool) {
	if !force && now.Sub(p.refreshed) < refreshInterval {
		return
	}
	p.refreshed = now
	p.monitor.Check(now)
	if p.rules != nil {
		p.rules.Check(RuleEjectionCap, p.monitor.UnderCap())
	}
	p.record(now)
	p.divide(now)
	for _, u := range p.upstreams {
		p.update(u)
	}
}
