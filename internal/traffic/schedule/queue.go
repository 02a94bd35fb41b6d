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
	// spare reports that the engines can do more than what arrives.
	spare bool
}

const (
	// reorderInterval is how often the order is made anew, since requests become
	// late while they wait.
	reorderInterval = 100 * time.Millisecond
	// choices is the number of requests at the head of a queue of which the one
	// goes to an engine that suits it best.
	choices = 48
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
// then, if there is time to spare, those that have waited for long, then those
// that can still meet their target, then the one that is due first.
//
// It answers overload: engines that serve long waiters late while others become
// late served one digest in four in target at 1.5 times the load that they can
// do, and serve two in three with this order.
func (q *queue) precedes(now time.Time, a, b *run) bool {
	if ta, tb := a.request.Class.Tier(), b.request.Class.Tier(); ta != tb {
		return ta < tb
	}
	if q.spare {
		if longA, longB := a.hasWaited(now, longWait), b.hasWaited(now, longWait); longA != longB {
			return longA
		}
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
	return r.request.CallerTimeout > 0 && now.Sub(r.submitted) > time.Duration(part*float64(r.request.CallerTimeout))
}

// overdueWait is the part of the patience after which a request goes before
// those that suit an engine better.
const overdueWait = 0.3

// longWait is the part of the patience after which a request goes before those
// of its tier that can still meet their target: what is left has to suffice
// for its answer.
const longWait = 0.65

// due returns when a request has to start to meet its target.
func (r *run) due() time.Time {
	target := r.request.Class.TTFTTarget()
	return r.submitted.Add(target - min(startLead, target/3))
}

// startLead is the time from the start of a waiting request to its first token
// on a busy engine: two ways between regions, what the engine still reads
// (holdLimit at most), and its own reading. Short targets leave a third.
const startLead = 300 * time.Millisecond

// push adds a request in its place.
func (q *queue) push(now time.Time, r *run) {
	i := sort.Search(len(q.runs), func(i int) bool { return q.precedes(now, r, q.runs[i]) })
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
	sort.SliceStable(q.runs, func(i, j int) bool { return q.precedes(now, q.runs[i], q.runs[j]) })
}

// ahead returns the expected reading of the requests that are served before
// a new one of a tier, in ms: those of its tier that are late are not, unless
// there is time to spare.
func (q *queue) ahead(now time.Time, tier quetzalhook.Tier) float64 {
	sum := 0.0
	for _, r := range q.runs {
		t := r.request.Class.Tier()
		if t > tier {
			break
		}
		if t == tier && !q.spare && now.After(r.due()) {
			continue
		}
		sum += r.waitingWork()
	}
	return sum
}
