package member

import (
	"maps"
	"slices"
	"strings"
	"time"

	"quetzalhook"
)

// inFlightRetention is how long a reported number of requests on an upstream
// is used unless it is reported again. Senders repeat all numbers every few
// seconds; without expiry, requests whose end was lost would count for ever.
const inFlightRetention = 10 * time.Second

// demandQueue selects the parts of this host's demand for the next heartbeats:
// first the values that have changed, then the others in turn.
type demandQueue struct {
	sentInFlight map[quetzalhook.UpstreamID]int
	sentUsed     map[quetzalhook.CustomerID]uint64
	inFlight     []inFlight
	used         []used
}

// update refills the queues from the current demand. It is called once per round.
func (q *demandQueue) update(d quetzalhook.Demand) {
	if q.sentInFlight == nil {
		q.sentInFlight = make(map[quetzalhook.UpstreamID]int)
		q.sentUsed = make(map[quetzalhook.CustomerID]uint64)
	}
	q.updateInFlight(d)
	q.updateUsed(d)
}

func (q *demandQueue) updateInFlight(d quetzalhook.Demand) {
	queued := make(map[quetzalhook.UpstreamID]bool, len(q.inFlight))
	for i, e := range q.inFlight {
		q.inFlight[i].Count = d.InFlight[e.Upstream]
		queued[e.Upstream] = true
	}
	var changed, same []inFlight
	for u, n := range d.InFlight {
		if queued[u] {
			continue
		}
		if e := (inFlight{Upstream: u, Count: n}); q.sentInFlight[u] != n {
			changed = append(changed, e)
		} else if n > 0 && len(q.inFlight) == 0 {
			same = append(same, e)
		}
	}
	for u := range q.sentInFlight {
		if _, ok := d.InFlight[u]; !ok && !queued[u] {
			changed = append(changed, inFlight{Upstream: u})
		}
	}
	byName := func(a, b inFlight) int { return strings.Compare(string(a.Upstream), string(b.Upstream)) }
	slices.SortFunc(changed, byName)
	slices.SortFunc(same, byName)
	q.inFlight = slices.Concat(changed, q.inFlight, same)
}

func (q *demandQueue) updateUsed(d quetzalhook.Demand) {
	queued := make(map[quetzalhook.CustomerID]bool, len(q.used))
	for i, e := range q.used {
		q.used[i].Work = uint64(d.Used[e.Customer])
		queued[e.Customer] = true
	}
	empty := len(q.used) == 0
	for c, work := range d.Used {
		if !queued[c] && (empty || q.sentUsed[c] != uint64(work)) {
			q.used = append(q.used, used{Customer: c, Work: uint64(work)})
		}
	}
	if empty {
		slices.SortFunc(q.used, func(a, b used) int { return strings.Compare(string(a.Customer), string(b.Customer)) })
	}
}

// fill moves queued entries into a packet while they fit. It alternates between
// requests in flight and work by customer, so that neither takes all the space.
func (q *demandQueue) fill(b *packetBuilder) {
	for progress := true; progress; {
		progress = false
		if len(q.inFlight) > 0 && b.reserve(q.inFlight[0]) {
			e := q.inFlight[0]
			q.inFlight, progress = q.inFlight[1:], true
			b.body.InFlight = append(b.body.InFlight, e)
			if q.sentInFlight[e.Upstream] = e.Count; e.Count == 0 {
				delete(q.sentInFlight, e.Upstream)
			}
		}
		if len(q.used) > 0 && b.reserve(q.used[0]) {
			e := q.used[0]
			q.used, progress = q.used[1:], true
			b.body.Used = append(b.body.Used, e)
			q.sentUsed[e.Customer] = e.Work
		}
	}
}

// remoteDemand assembles another host's demand from the parts in its heartbeats.
type remoteDemand struct {
	counts map[quetzalhook.UpstreamID]countAt
	used   map[quetzalhook.CustomerID]float64
	shared bool // a snapshot shares used, so it must be copied before a change
}

// countAt is a number of requests and the time when it was received.
type countAt struct {
	n  int
	at time.Time
}

// merge applies the numbers of requests and the work of customers that one
// heartbeat contains.
func (v *remoteDemand) merge(now time.Time, requests []inFlight, work []used) {
	if v.counts == nil && len(requests) > 0 {
		v.counts = make(map[quetzalhook.UpstreamID]countAt)
	}
	for _, e := range requests {
		if e.Count <= 0 {
			delete(v.counts, e.Upstream)
		} else {
			v.counts[e.Upstream] = countAt{n: e.Count, at: now}
		}
	}
	if len(work) == 0 {
		return
	}
	if v.shared || v.used == nil {
		used := make(map[quetzalhook.CustomerID]float64, len(v.used)+len(work))
		maps.Copy(used, v.used)
		v.used, v.shared = used, false
	}
	for _, e := range work {
		// Work never decreases, so the larger value is the later one.
		v.used[e.Customer] = max(v.used[e.Customer], float64(e.Work))
	}
}

// snapshot returns the demand by upstream and customer, without the values by
// tier, and drops expired requests in flight.
func (v *remoteDemand) snapshot(now time.Time) quetzalhook.Demand {
	d := quetzalhook.Demand{Used: v.used}
	v.shared = true
	if len(v.counts) > 0 {
		d.InFlight = make(map[quetzalhook.UpstreamID]int, len(v.counts))
	}
	for u, c := range v.counts {
		if now.Sub(c.at) > inFlightRetention {
			delete(v.counts, u)
			continue
		}
		d.InFlight[u] = c.n
	}
	return d
}
