package schedule

import (
	"sort"
	"time"

	"quetzalhook"
)

// queue holds the waiting requests of one pool in the order in which they are
// served.
type queue struct {
	runs []*run
	// work is the expected reading of all of them, in ms.
	work float64
	at   time.Time // when the order was last made
}

const (
	// reorderInterval is how often the order is made anew, since requests become
	// late while they wait.
	reorderInterval = 100 * time.Millisecond
	// choices is the number of requests at the head of a queue of which the one
	// goes to an engine that suits it best.
	choices = 24
)

// waitingWork is the expected reading of a waiting request: most of a prompt
// is shared and held somewhere.
func (r *run) waitingWork() float64 {
	return readTime(r.unshared(), r.request.PromptTokens) + float64(predictedOutput(r.request))*slotTime
}

// unshared returns the prompt tokens of a request that no other one shares.
func (r *run) unshared() int {
	tokens := r.request.PromptTokens
	for i, p := range r.request.Parts {
		if i < len(r.request.Parts)-1 {
			tokens -= p.Tokens
		}
	}
	return max(tokens, minRead)
}

// precedes reports whether a is served before b: the more urgent tier first,
// then those that have waited for long, then those that can still meet their
// target, then the one that is due first.
func precedes(now time.Time, a, b *run) bool {
	if ta, tb := a.request.Class.Tier(), b.request.Class.Tier(); ta != tb {
		return ta < tb
	}
	if longA, longB := a.hasWaited(now, longWait), b.hasWaited(now, longWait); longA != longB {
		return longA
	}
	dueA, dueB := a.due(), b.due()
	if lateA, lateB := now.After(dueA), now.After(dueB); lateA != lateB {
		return !lateA
	}
	return dueA.Before(dueB)
}

// hasWaited reports whether a request has waited for a part of its caller's
// patience.
func (r *run) hasWaited(now time.Time, part float64) bool {
	return r.request.Patience > 0 && now.Sub(r.submitted) > time.Duration(part*float64(r.request.Patience))
}

// overdueWait is the part of the patience after which a request goes before
// those that suit an engine better.
const overdueWait = 0.3

// longWait is the part of the patience after which a request goes before those
// of its tier that can still meet their target: what is left has to suffice
// for its answer.
const longWait = 0.65

// due returns when a request misses its target.
func (r *run) due() time.Time { return r.submitted.Add(r.request.Class.TTFTTarget()) }

// push adds a request in its place.
func (q *queue) push(now time.Time, r *run) {
	i := sort.Search(len(q.runs), func(i int) bool { return precedes(now, r, q.runs[i]) })
	q.runs = append(q.runs, nil)
	copy(q.runs[i+1:], q.runs[i:])
	q.runs[i] = r
	q.work += r.waitingWork()
}

// remove takes a request out.
func (q *queue) remove(r *run) {
	for i, o := range q.runs {
		if o == r {
			q.removeAt(i)
			return
		}
	}
}

func (q *queue) removeAt(i int) {
	q.work = max(q.work-q.runs[i].waitingWork(), 0)
	q.runs = append(q.runs[:i], q.runs[i+1:]...)
}

// reorder makes the order anew.
func (q *queue) reorder(now time.Time) {
	if now.Sub(q.at) < reorderInterval {
		return
	}
	q.at = now
	sort.SliceStable(q.runs, func(i, j int) bool { return precedes(now, q.runs[i], q.runs[j]) })
}

// ahead returns the expected reading of the requests that are served before
// one of a tier, in ms.
func (q *queue) ahead(tier quetzalhook.Tier) float64 {
	sum := 0.0
	for _, r := range q.runs {
		if r.request.Class.Tier() > tier {
			break
		}
		sum += r.waitingWork()
	}
	return sum
}
