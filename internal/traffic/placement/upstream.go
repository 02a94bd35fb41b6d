package placement

import (
	"math"
	"sort"
	"time"

	"quetzalhook"
	"quetzalhook/internal/traffic/health"
)

const (
	// historySize samples, one every historyStep, cover 4 s: twice the largest
	// expected lag of a load report.
	historySize = 20
	historyStep = 200 * time.Millisecond
	// externalTimeConstant is the time constant for smoothing
	// upstream.externalRequests, the difference between the requests in load
	// reports and those known by gossip. The two never describe the same moment,
	// so a single difference is mostly noise.
	externalTimeConstant = 2 * time.Second
)

// upstream is the planner's record of one upstream.
type upstream struct {
	quetzalhook.Upstream
	index       int
	target      *health.Target
	memberships []membership

	ownInFlight  int // this host's requests in flight
	peerInFlight int // peers' requests in flight, from gossip
	share        int // this host's slots
	// prefillTokens is the number of prompt tokens still to prefill for this
	// host's requests without output. A new request waits for them, because an
	// engine prefills prompts one after the other.
	prefillTokens float64

	leaving          bool // according to the last load report
	reportedRequests int  // running and waiting in the last load report
	reportedAt       time.Time
	hasReport        bool
	externalRequests float64 // smoothed number of reported requests that no known host sent
	generation       uint8   // number of gaps in the cache events, modulo 256

	history     [historySize]inFlightSample
	historyNext int
}

// inFlightSample is the number of requests in flight at one time.
type inFlightSample struct {
	at                        time.Time
	ownInFlight, peerInFlight int
}

// membership holds an upstream's positions in the lists of one pool and its
// part of the pool's slots.
type membership struct {
	pool      *pool
	local     bool
	inFree    int // position in pool.free, or -1
	inLocal   int // position in pool.local, or -1
	slots     int
	freeSlots int
}

// pool holds the slots and the free upstreams of one model.
type pool struct {
	free      []*upstream // upstreams with a free slot for this host
	local     []*upstream // those of free in the host's region
	slots     int         // this host's slots on all upstreams of the model
	freeSlots int
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
// requested by its own name.
func servedModels(u quetzalhook.Upstream) []quetzalhook.Model {
	if u.Kind == quetzalhook.KindService && len(u.Models) == 0 {
		return []quetzalhook.Model{quetzalhook.Model(u.Service)}
	}
	return u.Models
}

func (u *upstream) isLeaving() bool {
	return u.leaving || u.State != quetzalhook.UpstreamReady
}

// isUsable reports whether the upstream may receive requests.
func (u *upstream) isUsable() bool {
	return !u.isLeaving() && u.target != nil && u.target.State() != health.Ejected
}

// observe records a load report, unless it is older than the last one, and
// updates the estimate of requests that neither this host nor its peers sent.
func (u *upstream) observe(now time.Time, l quetzalhook.Load) {
	at := now.Add(-l.Age)
	if u.hasReport && at.Before(u.reportedAt) {
		return
	}
	gain := 1.0
	if u.hasReport {
		gain = 1 - math.Exp(-at.Sub(u.reportedAt).Seconds()/externalTimeConstant.Seconds())
	}
	u.leaving = l.Leaving
	u.reportedRequests, u.reportedAt, u.hasReport = l.Running+l.Waiting, at, true
	ownInFlight, _ := u.inFlightAt(at)
	_, peerInFlight := u.inFlightAt(at.Add(gossipDelay))
	u.externalRequests += gain * (float64(u.reportedRequests-ownInFlight-peerInFlight) - u.externalRequests)
}

// inFlightAt returns the requests in flight from the sample whose time is
// closest to at, or the current ones if there is no sample.
func (u *upstream) inFlightAt(at time.Time) (ownInFlight, peerInFlight int) {
	ownInFlight, peerInFlight = u.ownInFlight, u.peerInFlight
	best := time.Duration(math.MaxInt64)
	for _, pt := range u.history {
		if pt.at.IsZero() {
			continue
		}
		if d := at.Sub(pt.at).Abs(); d < best {
			best, ownInFlight, peerInFlight = d, pt.ownInFlight, pt.peerInFlight
		}
	}
	return ownInFlight, peerInFlight
}

func (u *upstream) recordInFlight(now time.Time) {
	u.history[u.historyNext%historySize] = inFlightSample{at: now, ownInFlight: u.ownInFlight, peerInFlight: u.peerInFlight}
	u.historyNext++
}

// recordInFlight stores the requests in flight on all upstreams, at most once
// in historyStep.
func (p *Planner) recordInFlight(now time.Time) {
	if now.Sub(p.recordedAt) < historyStep {
		return
	}
	p.recordedAt = now
	for _, u := range p.upstreams {
		u.recordInFlight(now)
	}
}

// load returns the predicted number of requests on the upstream. With
// SlotShares, or before the first load report, these are the requests in flight
// of this host and its peers, known by gossip, and those that load reports show
// beyond them. The other strategies use the last report and the change in this
// host's own requests since then.
func (p *Planner) load(u *upstream) float64 {
	if p.strategy == SlotShares || !u.hasReport {
		return float64(u.ownInFlight+u.peerInFlight) + max(u.externalRequests, 0)
	}
	ownInFlight, _ := u.inFlightAt(u.reportedAt)
	return float64(max(u.reportedRequests+u.ownInFlight-ownInFlight, u.ownInFlight))
}

// slots returns how many requests this host may run on u at once.
func (p *Planner) slots(u *upstream) int {
	if !u.isUsable() {
		return 0
	}
	n := u.share
	if p.strategy != SlotShares {
		n = max(u.Slots-int(p.load(u))+u.ownInFlight, 0)
	}
	return min(n, u.target.Limit())
}

// updatePools updates the slots of u in its pools and the lists of upstreams
// with a free slot.
func (p *Planner) updatePools(u *upstream) {
	slots := p.slots(u)
	freeSlots := max(slots-u.ownInFlight, 0)
	for i := range u.memberships {
		u.memberships[i].set(u, slots, freeSlots)
	}
}

// set updates the slots of u in the pool and adds u to the lists of the pool or
// removes it, depending on whether it has a free slot.
func (m *membership) set(u *upstream, slots, freeSlots int) {
	m.pool.slots += slots - m.slots
	m.pool.freeSlots += freeSlots - m.freeSlots
	m.slots, m.freeSlots = slots, freeSlots
	listed := freeSlots > 0
	m.inFree = setListed(&m.pool.free, u, m.inFree, listed, m.pool, func(o *membership) *int { return &o.inFree })
	if m.local {
		m.inLocal = setListed(&m.pool.local, u, m.inLocal, listed, m.pool, func(o *membership) *int { return &o.inLocal })
	}
}

// setListed adds u to list or removes it, and returns its new position, or -1.
// A removed entry is replaced by the last one of the list; field selects the
// position in this list that a membership keeps.
func setListed(list *[]*upstream, u *upstream, pos int, listed bool, pl *pool, field func(*membership) *int) int {
	if listed == (pos >= 0) {
		return pos
	}
	if listed {
		*list = append(*list, u)
		return len(*list) - 1
	}
	last := len(*list) - 1
	moved := (*list)[last]
	(*list)[pos] = moved
	*list = (*list)[:last]
	if moved != u {
		*field(moved.membership(pl)) = pos
	}
	return -1
}

// membership returns the membership of u in a pool, or nil.
func (u *upstream) membership(pl *pool) *membership {
	for i := range u.memberships {
		if u.memberships[i].pool == pl {
			return &u.memberships[i]
		}
	}
	return nil
}
