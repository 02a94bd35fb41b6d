package placement

import (
	"math"
	"sort"
	"time"

	"quetzalhook"
	"quetzalhook/internal/traffic/health"
)

const (
	// historySize and historyStep span 4 s, twice the largest expected lag of a
	// load report.
	historySize = 20
	historyStep = 200 * time.Millisecond
	// externalMemory smooths the difference between reports and gossip. They
	// are never of the same moment, so that a single difference is mostly
	// noise.
	externalMemory = 2 * time.Second
)

// upstream is the planner's record of one upstream.
type upstream struct {
	quetzalhook.Upstream
	index       int
	target      *health.Target
	memberships []membership

	own   int // this host's requests in flight
	peers int // requests in flight by gossip
	share int // this host's slots
	// prefilling counts the prompt tokens of this host's requests that have no
	// token yet; an engine computes prompts one after the other.
	prefilling float64

	leaving    bool // by load report
	reported   int  // running and waiting by the last report
	reportedAt time.Time
	hasReport  bool
	external   float64 // smoothed number of reported requests that no known host sent
	generation uint8   // counts gaps in the cache events

	history [historySize]point
	next    int
}

// point is what was in flight at some time.
type point struct {
	at         time.Time
	own, peers int
}

// membership is an upstream's place in the lists of one pool.
type membership struct {
	pool    *pool
	local   bool
	inFree  int // position in pool.free, or -1
	inLocal int // position in pool.local, or -1
	slots   int
	unused  int
}

// pool holds the upstreams of one model that have a slot for this host.
type pool struct {
	free   []*upstream
	local  []*upstream // those of free in the host's region
	slots  int         // this host's, on all upstreams of the model
	unused int
}

func newMembership(pl *pool, local bool) membership {
	return membership{pool: pl, local: local, inFree: -1, inLocal: -1}
}

func sortedUpstreams(list []quetzalhook.Upstream) []quetzalhook.Upstream {
	sorted := append([]quetzalhook.Upstream(nil), list...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].ID < sorted[j].ID })
	return sorted
}

// servedModels returns the models of an upstream; a service without models is
// reached under its own name.
func servedModels(u quetzalhook.Upstream) []quetzalhook.Model {
	if u.Kind == quetzalhook.KindService && len(u.Models) == 0 {
		return []quetzalhook.Model{quetzalhook.Model(u.Service)}
	}
	return u.Models
}

func (u *upstream) isLeaving() bool {
	return u.leaving || u.State != quetzalhook.UpstreamReady
}

// isUsable reports whether the upstream takes any work.
func (u *upstream) isUsable() bool {
	return !u.isLeaving() && u.target != nil && u.target.State() != health.Ejected
}

// observe takes a load report and derives from it the requests that neither
// this host nor its peers sent.
func (u *upstream) observe(now time.Time, l quetzalhook.Load) {
	at := now.Add(-l.Age)
	if u.hasReport && at.Before(u.reportedAt) {
		return
	}
	gain := 1.0
	if u.hasReport {
		gain = 1 - math.Exp(-at.Sub(u.reportedAt).Seconds()/externalMemory.Seconds())
	}
	u.leaving = l.Leaving
	u.reported, u.reportedAt, u.hasReport = l.Running+l.Waiting, at, true
	own, _ := u.inFlightAt(at)
	_, peers := u.inFlightAt(at.Add(settleTime))
	u.external += gain * (float64(u.reported-own-peers) - u.external)
}

// inFlightAt returns what was in flight closest to a time in the past.
func (u *upstream) inFlightAt(at time.Time) (own, peers int) {
	own, peers = u.own, u.peers
	best := time.Duration(math.MaxInt64)
	for _, pt := range u.history {
		if pt.at.IsZero() {
			continue
		}
		if d := at.Sub(pt.at).Abs(); d < best {
			best, own, peers = d, pt.own, pt.peers
		}
	}
	return own, peers
}

func (u *upstream) record(now time.Time) {
	u.history[u.next%historySize] = point{at: now, own: u.own, peers: u.peers}
	u.next++
}

// record stores what is in flight, at most once in historyStep.
func (p *Planner) record(now time.Time) {
	if now.Sub(p.sampled) < historyStep {
		return
	}
	p.sampled = now
	for _, u := range p.upstreams {
		u.record(now)
	}
}

// load returns the predicted number of requests on the upstream. With
// SlotShares it is what all hosts have in flight by gossip and what the
// report shows beyond that; the other strategies know the report and the
// host's own requests since then.
func (p *Planner) load(u *upstream) float64 {
	if p.strategy == SlotShares || !u.hasReport {
		return float64(u.own+u.peers) + max(u.external, 0)
	}
	own, _ := u.inFlightAt(u.reportedAt)
	return float64(max(u.reported+u.own-own, u.own))
}

// slots returns how many requests this host may have on u.
func (p *Planner) slots(u *upstream) int {
	if !u.isUsable() {
		return 0
	}
	n := u.share
	if p.strategy != SlotShares {
		n = max(u.Slots-int(p.load(u))+u.own, 0)
	}
	return min(n, u.target.Limit())
}

// update brings the place of u in the pools up to date.
func (p *Planner) update(u *upstream) {
	slots := p.slots(u)
	unused := max(slots-u.own, 0)
	for i := range u.memberships {
		u.memberships[i].set(u, slots, unused)
	}
}

// set moves the upstream into or out of the lists of the pool.
func (m *membership) set(u *upstream, slots, unused int) {
	m.pool.slots += slots - m.slots
	m.pool.unused += unused - m.unused
	m.slots, m.unused = slots, unused
	wanted := unused > 0
	m.inFree = place(&m.pool.free, u, m.inFree, wanted, m.pool, func(o *membership) *int { return &o.inFree })
	if m.local {
		m.inLocal = place(&m.pool.local, u, m.inLocal, wanted, m.pool, func(o *membership) *int { return &o.inLocal })
	}
}

// place adds u to list or removes it by swapping in the last entry, and
// returns its new position; field selects the position kept by a membership.
func place(list *[]*upstream, u *upstream, at int, wanted bool, pl *pool, field func(*membership) *int) int {
	if wanted == (at >= 0) {
		return at
	}
	if wanted {
		*list = append(*list, u)
		return len(*list) - 1
	}
	last := len(*list) - 1
	moved := (*list)[last]
	(*list)[at] = moved
	*list = (*list)[:last]
	if moved != u {
		*field(moved.membership(pl)) = at
	}
	return -1
}

func (u *upstream) membership(pl *pool) *membership {
	for i := range u.memberships {
		if u.memberships[i].pool == pl {
			return &u.memberships[i]
		}
	}
	return nil
}
