package placement

import (
	"math"
	"time"

	"quetzalhook"
	"quetzalhook/internal/traffic/health"
)

const (
	// sampleSize is the number of upstreams drawn from the whole pool and again
	// from the host's region; with the holders of a cached prefix at most 20
	// are costed.
	sampleSize = 6
	// meanOutput is the output in tokens of a request on a busy slot, for the
	// time until the slot is free.
	meanOutput = 300
	// promptTokenBytes and streamTokenBytes are the size of a token in a prompt
	// and of a streamed one, with its framing.
	promptTokenBytes = 4
	streamTokenBytes = 120
	// doubtPerSecond is the fraction of an upstream's slots by which its load
	// may have grown unseen in one second; doubtMax bounds it.
	doubtPerSecond = 0.03
	doubtMax       = 0.25
	// minSpeed bounds the predictions for an upstream that hardly moves.
	minSpeed = 0.02
	// reportSlack is how much older than the newest report of all upstreams a
	// report may be; unheardPenalty is the cost of one that is older, in
	// seconds. An upstream that stopped reporting may have stopped answering.
	reportSlack    = time.Second
	unheardPenalty = 0.5
	// probePenalty keeps urgent requests off upstreams that are being probed as
	// long as another has a slot; in seconds.
	probePenalty = 30
)

// Weights convert the parts of a cost to seconds of waiting.
type Weights struct {
	// CrossRegionByte is the cost of one byte between regions, in seconds, at
	// the price of referencePrice.
	CrossRegionByte float64
	// CheapRiskUrgent and CheapRisk are the cost of a reclaimable upstream for
	// urgent and other requests, in seconds. A negative cost prefers it: work
	// that resumes elsewhere loses little by a reclaim.
	CheapRiskUrgent float64
	CheapRisk       float64
	// Crowding is the cost of a full batch against an empty one, in seconds: a
	// full batch decodes more slowly.
	Crowding float64
}

// DefaultWeights returns the weights that docs/decisions/placement.md
// explains.
func DefaultWeights() Weights {
	return Weights{CrossRegionByte: 1e-6, CheapRiskUrgent: 0.1, CheapRisk: -0.6, Crowding: 0.2}
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

// choice is the cheapest upstream seen so far.
type choice struct {
	best *upstream
	cost float64
}

func (p *Planner) choose(now time.Time, r quetzalhook.Request, pl *pool) *upstream {
	found := p.prefixes.lookup(r.Prefixes, r.PrefixTokens)
	c := choice{cost: math.Inf(1)}
	rng := newSource(p.seed, r.ID, now)
	switch p.strategy {
	case LeastLoaded:
		for _, u := range pl.free {
			c.consider(u, p.load(u)/float64(max(u.Slots, 1)))
		}
		return c.best
	case PowerOfTwo:
		for range min(2, len(pl.free)) {
			u := pl.free[rng.below(len(pl.free))]
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

// sample costs all of a short list, else sampleSize upstreams drawn from it
// with repetition.
func (p *Planner) sample(
	now time.Time, r quetzalhook.Request, list []*upstream, found *matches, rng *source, c *choice,
) {
	if len(list) <= sampleSize {
		for _, u := range list {
			c.consider(u, p.cost(now, r, u, found))
		}
		return
	}
	for range sampleSize {
		u := list[rng.below(len(list))]
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
	return time.Duration(p.firstToken(now, r, u, &found, p.likelyLoad(u)) * float64(time.Second))
}

// firstToken predicts the time to the first token in seconds.
func (p *Planner) firstToken(
	now time.Time, r quetzalhook.Request, u *upstream, found *matches, load float64,
) float64 {
	speed := max(p.speed(now, u), minSpeed)
	t := 2*u.Distance.Seconds() + u.queue(load)/speed
	if u.PrefillRate > 0 {
		t += (u.prefilling + max(float64(r.PromptTokens)-found.on(u), 1)) / (u.PrefillRate * speed)
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

// queue predicts the seconds that a new request waits on the engine.
func (u *upstream) queue(load float64) float64 {
	over := load + 1 - float64(u.Slots)
	if over <= 0 || u.Slots <= 0 || u.TokenRate <= 0 {
		return 0
	}
	return over * meanOutput / (u.TokenRate * float64(u.Slots))
}

// likelyLoad returns a load that is not too high by what the peers ended since
// their last message: about one request. Requests are refused on it.
func (p *Planner) likelyLoad(u *upstream) float64 { return p.load(u) - 1 }

// doubtfulLoad returns the load with what may have come unseen, which grows
// with the age of the last report.
func (p *Planner) doubtfulLoad(now time.Time, u *upstream) float64 {
	doubt := doubtMax
	if u.hasReport {
		doubt = min(doubtPerSecond*now.Sub(u.reportedAt).Seconds(), doubtMax)
	}
	return p.load(u) + doubt*float64(u.Slots)
}

// referencePrice is the price of 10^9 bytes between regions at which weights
// were compared.
const referencePrice = 0.02

// trafficFactor returns the price of traffic to u as a multiple of the
// reference price; an unknown price counts as that.
func trafficFactor(u *upstream) float64 {
	if u.TrafficPrice <= 0 {
		return 1
	}
	return u.TrafficPrice / referencePrice
}

// cost returns the cost of running r on u, in seconds.
func (p *Planner) cost(now time.Time, r quetzalhook.Request, u *upstream, found *matches) float64 {
	t := p.firstToken(now, r, u, found, p.doubtfulLoad(now, u))
	t += p.weights.Crowding * p.load(u) / float64(max(u.Slots, 1))
	if u.Region != r.Region && u.Region != p.region {
		size := r.PromptTokens*promptTokenBytes + meanOutput*streamTokenBytes
		t += p.weights.CrossRegionByte * float64(size) * trafficFactor(u)
	}
	if u.Cheap {
		if r.Class.IsUrgent() {
			t += p.weights.CheapRiskUrgent
		} else {
			t += p.weights.CheapRisk
		}
	}
	if u.hasReport && p.newest.Sub(u.reportedAt) > reportSlack {
		t += unheardPenalty
	}
	if u.target != nil && u.target.State() != health.Healthy && r.Class.IsUrgent() {
		t += probePenalty
	}
	return t
}

// source is a small generator seeded by the decision, so that Place changes
// nothing.
type source struct{ state uint64 }

func newSource(seed uint64, id quetzalhook.RequestID, now time.Time) source {
	return source{state: seed ^ fnv(string(id)) ^ uint64(now.UnixNano())}
}

func fnv(s string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	return h
}

// next is SplitMix64.
func (s *source) next() uint64 {
	s.state += 0x9e3779b97f4a7c15
	z := s.state
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

func (s *source) below(n int) int { return int(s.next() % uint64(n)) }
