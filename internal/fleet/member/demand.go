package member

import (
	"maps"
	"slices"
	"strings"
	"time"

	"quetzalhook"
)

// forgetAfter is how long the requests on an upstream count without being
// repeated. Senders repeat all of them in a few seconds; one whose end was
// lost must not count for ever.
const forgetAfter = 10 * time.Second

// demandQueue chooses the parts of the own demand that fit the next
// heartbeats: first what has changed, then the rest in turn.
type demandQueue struct {
	sentInFlight map[quetzalhook.UpstreamID]int
	sentUsed     map[quetzalhook.CustomerID]uint64
	inFlight     []inFlight
	used         []used
}

// update fills the queues from the current demand; it is called once a round.
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

// take moves entries that fit into a packet. Requests in flight and customers
// alternate, so that neither waits for all of the other.
func (q *demandQueue) take(f *filler) {
	for progress := true; progress; {
		progress = false
		if len(q.inFlight) > 0 && f.fits(q.inFlight[0]) {
			e := q.inFlight[0]
			q.inFlight, progress = q.inFlight[1:], true
			f.body.InFlight = append(f.body.InFlight, e)
			if q.sentInFlight[e.Upstream] = e.Count; e.Count == 0 {
				delete(q.sentInFlight, e.Upstream)
			}
		}
		if len(q.used) > 0 && f.fits(q.used[0]) {
			e := q.used[0]
			q.used, progress = q.used[1:], true
			f.body.Used = append(f.body.Used, e)
			q.sentUsed[e.Customer] = e.Work
		}
	}
}

// demandView collects another host's demand from its parts.
type demandView struct {
	counts map[quetzalhook.UpstreamID]countAt
	used   map[quetzalhook.CustomerID]float64
	shared bool // used is part of a snapshot and must not be changed
}

type countAt struct {
	n  int
	at time.Time
}

func (v *demandView) merge(now time.Time, requests []inFlight, work []used) {
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
		// Work only grows, so that the larger value is the later one.
		v.used[e.Customer] = max(v.used[e.Customer], float64(e.Work))
	}
}

// snapshot returns the demand without work by tier.
func (v *demandView) snapshot(now time.Time) quetzalhook.Demand {
	d := quetzalhook.Demand{Used: v.used}
	v.shared = true
	if len(v.counts) > 0 {
		d.InFlight = make(map[quetzalhook.UpstreamID]int, len(v.counts))
	}
	for u, c := range v.counts {
		if now.Sub(c.at) > forgetAfter {
			delete(v.counts, u)
			continue
		}
		d.InFlight[u] = c.n
	}
	return d
}
