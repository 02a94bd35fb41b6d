package placement

import (
	"math"
	"time"

	"quetzalhook"
	"quetzalhook/internal/traffic/health"
)

const (
	// sampleSize is the number of upstreams drawn at random from the whole pool,
	// and again from the host's region. With those that have a prefix of the
	// prompt cached, the cost of at most 20 upstreams is computed.
	sampleSize = 6
	// meanOutputTokens is the assumed output of a request. It is used to predict
	// the time until a busy slot is free and the size of an answer.
	meanOutputTokens = 300
	// promptTokenBytes is the size of a token in a prompt, streamTokenBytes the
	// size of a streamed token with its framing.
	promptTokenBytes = 4
	streamTokenBytes = 120
	// loadUncertaintyPerSecond is the fraction of an upstream's slots by which
	// its load may have grown in each second since its last report;
	// maxLoadUncertainty bounds the total.
	loadUncertaintyPerSecond = 0.03
	maxLoadUncertainty       = 0.25
	// minSpeed is the lowest relative token rate used in predictions, so that
	// they stay finite for an upstream that produces almost no tokens.
	minSpeed = 0.02
	// maxReportLag is how much older the last report of an upstream may be than
	// the newest report of all upstreams. If it is older, staleReportPenalty, in
	// seconds, is added to the cost, because an upstream that stopped reporting
	// may have stopped answering.
	maxReportLag       = time.Second
	staleReportPenalty = 0.5
	// probePenalty, in seconds, is added to the cost of suspect and probed
	// upstreams for urgent requests, so that these use another upstream as long
	// as one has a slot.
	probePenalty = 30
)

// Weights convert the parts of a cost to seconds of waiting.
type Weights struct {
	// CrossRegionByte is the cost of one byte between regions, in seconds, if
	// the traffic costs referencePrice.
	CrossRegionByte float64
	// CheapRiskUrgent and CheapRisk are the cost of a reclaimable upstream for
	// urgent and other requests, in seconds. A negative cost prefers such an
	// upstream: work that can resume elsewhere loses little when it is
	// reclaimed.
	CheapRiskUrgent float64
	CheapRisk       float64
	// FullBatch is the additional cost in seconds of an upstream whose slots are
	// all in use, compared with an idle one: a full batch decodes more slowly.
	FullBatch float64
}

// DefaultWeights returns the weights that docs/decisions/placement.md
// explains.
func DefaultWeights() Weights {
	return Weights{CrossRegionByte: 1e-6, CheapRiskUrgent: 0.1, CheapRisk: -0.6, FullBatch: 0.2}
}

// Place implements quetzalhook.Placer.
func (p *Planner) Place(now time.Time, r quetzalhook.Request) (quetzalhook.UpstreamID, bool) {
	pl := p.pools[r.Model]
	if pl == nil {
		return "", false
	}
	if u := p.choose(now, r, pl); u != nil {
		return u.ID, true
	}
	return "", false
}

// choice is the upstream of lowest cost among those considered so far.
type choice struct {
	best *upstream
	cost float64
}

// choose returns the upstream that the strategy selects for r, or nil if none
// has a free slot for this host.
func (p *Planner) choose(now time.Time, r quetzalhook.Request, pl *pool) *upstream {
	found := p.prefixes.lookup(r.Prefixes, r.PrefixTokens)
	c := choice{cost: math.Inf(1)}
	rng := newRandSource(p.seed, r.ID, now)
	switch p.strategy {
	case LeastLoaded:
		for _, u := range pl.free {
			c.consider(u, p.load(u)/float64(max(u.Slots, 1)))
		}
		return c.best
	case PowerOfTwo:
		for range min(2, len(pl.free)) {
			u := pl.free[rng.intn(len(pl.free))]
			c.consider(u, p.load(u)/float64(max(u.Slots, 1)))
		}
		return c.best
	}
	for _, m := range found.list[:found.n] {
		if o := m.upstream.membership(pl); o != nil && o.inFree >= 0 {
			c.consider(m.upstream, p.cost(now, r, m.upstream, &found))
		}
	}
	p.sample(now, r, pl.local, &found, &rng, &c)
	p.sample(now, r, pl.free, &found, &rng, &c)
	return c.best
}

// sample considers all upstreams of a short list, and otherwise sampleSize
// upstreams drawn from it at random with replacement.
func (p *Planner) sample(
	now time.Time, r quetzalhook.Request, list []*upstream, found *matches, rng *randSource, c *choice,
) {
	if len(list) <= sampleSize {
		for _, u := range list {
			c.consider(u, p.cost(now, r, u, found))
		}
		return
	}
	for range sampleSize {
		u := list[rng.intn(len(list))]
		c.consider(u, p.cost(now, r, u, found))
	}
}

func (c *choice) consider(u *upstream, cost float64) {
	if cost < c.cost || cost == c.cost && c.best != nil && u.index < c.best.index {
		c.best, c.cost = u, cost
	}
}

// FirstToken implements quetzalhook.Placer.
func (p *Planner) FirstToken(now time.Time, r quetzalhook.Request, id quetzalhook.UpstreamID) time.Duration {
	u := p.byID[id]
	if u == nil {
		return 0
	}
	found := p.prefixes.lookup(r.Prefixes, r.PrefixTokens)
	return time.Duration(p.firstToken(now, r, u, &found, p.optimisticLoad(u)) * float64(time.Second))
}

// firstToken predicts the time to the first token in seconds.
func (p *Planner) firstToken(
	now time.Time, r quetzalhook.Request, u *upstream, found *matches, load float64,
) float64 {
	speed := max(p.speed(now, u), minSpeed)
	t := 2*u.Distance.Seconds() + u.queueDelay(load)/speed
	if u.PrefillRate > 0 {
		t += (u.prefillTokens + max(float64(r.PromptTokens)-found.tokensOn(u), 1)) / (u.PrefillRate * speed)
	}
	if u.TokenRate > 0 {
		t += 1 / (u.TokenRate * speed)
	}
	return t
}

func (p *Planner) speed(now time.Time, u *upstream) float64 {
	if u.target == nil {
		return 1
	}
	return min(u.target.Speed(now), 1)
}

// queueDelay predicts how long a new request waits on the engine for a slot, in
// seconds.
func (u *upstream) queueDelay(load float64) float64 {
	excess := load + 1 - float64(u.Slots)
	if excess <= 0 || u.Slots <= 0 || u.TokenRate <= 0 {
		return 0
	}
	return excess * meanOutputTokens / (u.TokenRate * float64(u.Slots))
}

// optimisticLoad returns the load less one request, because peers have ended
// about one since their last message. Requests are refused on the basis of this
// load, so it must not be too high.
func (p *Planner) optimisticLoad(u *upstream) float64 { return p.load(u) - 1 }

// pessimisticLoad returns the load plus the requests that may have arrived
// since the last report; their number grows with the age of the report.
func (p *Planner) pessimisticLoad(now time.Time, u *upstream) float64 {
	uncertainty := maxLoadUncertainty
	if u.hasReport {
		uncertainty = min(loadUncertaintyPerSecond*now.Sub(u.reportedAt).Seconds(), maxLoadUncertainty)
	}
	return p.load(u) + uncertainty*float64(u.Slots)
}

// referencePrice is the price of 10^9 bytes between regions, in the operator's
// currency, to which Weights.CrossRegionByte refers.
const referencePrice = 0.02

// trafficFactor returns the price of traffic to u as a multiple of
// referencePrice; an unknown price counts as referencePrice.
func trafficFactor(u *upstream) float64 {
	if u.TrafficPrice <= 0 {
		return 1
	}
	return u.TrafficPrice / referencePrice
}

// cost returns the cost of running r on u, in seconds.
func (p *Planner) cost(now time.Time, r quetzalhook.Request, u *upstream, found *matches) float64 {
	t := p.firstToken(now, r, u, found, p.pessimisticLoad(now, u))
	t += p.weights.FullBatch * p.load(u) / float64(max(u.Slots, 1))
	if u.Region != r.Region && u.Region != p.region {
		size := r.PromptTokens*promptTokenBytes + meanOutputTokens*streamTokenBytes
		t += p.weights.CrossRegionByte * float64(size) * trafficFactor(u)
	}
	if u.Cheap {
		if r.Class.IsUrgent() {
			t += p.weights.CheapRiskUrgent
		} else {
			t += p.weights.CheapRisk
		}
	}
	if u.hasReport && p.newestReport.Sub(u.reportedAt) > maxReportLag {
		t += staleReportPenalty
	}
	if u.target != nil && u.target.State() != health.Healthy && r.Class.IsUrgent() {
		t += probePenalty
	}
	return t
}

// randSource is a random number generator that is seeded for each decision, so
// that Place changes no state.
type randSource struct{ state uint64 }

func newRandSource(seed uint64, id quetzalhook.RequestID, now time.Time) randSource {
	return randSource{state: seed ^ fnv1a(string(id)) ^ uint64(now.UnixNano())}
}

func fnv1a(s string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	return h
}

// next returns the next number of the SplitMix64 generator.
func (s *randSource) next() uint64 {
	s.state += 0x9e3779b97f4a7c15
	z := s.state
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

func (s *randSource) intn(n int) int { return int(s.next() % uint64(n)) }
