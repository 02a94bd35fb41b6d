package schedule

import (
	"sort"
	"time"

	"quetzalhook"
	"quetzalhook/internal/traffic/speed"
)

// queue holds the waiting requests of one pool in the order of service.
type queue struct {
	requests []*requestState
	// work is the expected work of all requests, in ms.
	work      float64
	orderedAt time.Time // time of the last reorder
	// spareCapacity reports that the arriving work leaves capacity for late
	// requests; see spareCapacityLoad.
	spareCapacity bool
	scopes        scopeCounts
}

const (
	// reorderInterval is the least time between two reorders, which are needed
	// because requests become late while they wait.
	reorderInterval = 100 * time.Millisecond
	// maxCandidates is the number of requests at the head of a queue that are
	// compared when an engine can accept one.
	maxCandidates = 48
)

// expectedWork returns the expected work of a waiting request in ms. It excludes
// the prefill of shared prompt parts, because most of a prompt is shared and
// cached on some engine. It is the same for the life of a request, since sums of it are
// kept.
func (r *requestState) expectedWork() float64 {
	if r.work == 0 {
		prefill := speed.PrefillWork(r.unsharedTokens(), r.request.PromptTokens)
		r.work = prefill + float64(predictedOutput(r.request))*speed.PriorRequestStepMs
	}
	return r.work
}

// unsharedTokens returns the number of prompt tokens outside the shared parts, at
// least minPrefillTokens.
func (r *requestState) unsharedTokens() int {
	tokens := r.request.PromptTokens
	for _, p := range quetzalhook.SharedParts(r.request.Parts) {
		tokens -= p.Tokens
	}
	return max(tokens, minPrefillTokens)
}

// precedes reports whether a is served before b: first by tier, then by how far its
// customer is over its share, then, if there is spare capacity, requests that have
// waited longer than longWaitShare, then requests that can still meet their target,
// then by start deadline.
//
// Under overload, serving late requests first makes the others late too. With
// late requests first, one request in four of the least urgent class met its
// target at 1.5 times the load that the engines can serve; with this order, two
// in three do.
func (q *queue) precedes(now time.Time, a, b *requestState) bool {
	if ta, tb := a.request.Class.Tier(), b.request.Class.Tier(); ta != tb {
		return ta < tb
	}
	if a.band != b.band {
		return a.band < b.band
	}
	if q.spareCapacity {
		if longA, longB := a.hasWaited(now, longWaitShare), b.hasWaited(now, longWaitShare); longA != longB {
			return longA
		}
	}
	dueA, dueB := a.startDeadline(), b.startDeadline()
	if lateA, lateB := now.After(dueA), now.After(dueB); lateA != lateB {
		return !lateA
	}
	return dueA.Before(dueB)
}

// hasWaited reports whether a request has waited for more than a share of its
// caller's timeout.
func (r *requestState) hasWaited(now time.Time, share float64) bool {
	return r.request.CallerTimeout > 0 && now.Sub(r.submitted) > time.Duration(share*float64(r.request.CallerTimeout))
}

// overdueWaitShare is the share of the caller's timeout after which the first
// request of a queue is overdue: it is served before requests with a lower cost.
const overdueWaitShare = 0.3

// longWaitShare is the share of the caller's timeout after which, with spare
// capacity, a request is served before those of its tier that can still meet
// their target, so that enough time remains for its answer.
const longWaitShare = 0.65

// startDeadline returns when a request has to start to meet its target.
func (r *requestState) startDeadline() time.Time {
	target := r.request.Class.TTFTTarget()
	return r.submitted.Add(target - min(startLead, target/3))
}

// startLead is the assumed time from the start of a waiting request to its first
// token on a busy engine: a round trip between regions, the backlog of the engine
// (maxBacklogMs at most) and the request's own prefill. For short targets, a
// third of the target is used.
const startLead = 300 * time.Millisecond

// push inserts a request in order.
func (q *queue) push(now time.Time, r *requestState) {
	i := sort.Search(len(q.requests), func(i int) bool { return q.precedes(now, r, q.requests[i]) })
	q.requests = append(q.requests, nil)
	copy(q.requests[i+1:], q.requests[i:])
	q.requests[i] = r
	q.work += r.expectedWork()
	q.scopes.add(r.request.Scope(), 1)
	if r.account != nil {
		r.account.Value.work += r.expectedWork()
		r.account.Value.requests++
	}
}

// remove removes a request if it is in the queue.
func (q *queue) remove(r *requestState) {
	for i, o := range q.requests {
		if o == r {
			q.removeAt(i)
			return
		}
	}
}

func (q *queue) removeAt(i int) {
	q.forget(q.requests[i])
	q.requests = append(q.requests[:i], q.requests[i+1:]...)
}

// forget updates the sums for a request that is removed.
func (q *queue) forget(r *requestState) {
	q.work = max(q.work-r.expectedWork(), 0)
	q.scopes.add(r.request.Scope(), -1)
	if r.account != nil {
		r.account.Value.work = max(r.account.Value.work-r.expectedWork(), 0)
		r.account.Value.requests--
		if r.account.Value.requests == 0 {
			r.account.Value.work = 0 // the estimate of the work changes while requests wait
		}
	}
}

// sort sorts the queue again. If update is not nil, it is called for each request in
// the order without regard to shares, and may change the band of the request.
func (q *queue) sort(now time.Time, update func(*requestState)) {
	precedes := func(i, j int) bool { return q.precedes(now, q.requests[i], q.requests[j]) }
	if update != nil {
		for _, r := range q.requests {
			r.band = 0
		}
		sort.SliceStable(q.requests, precedes)
		for _, r := range q.requests {
			update(r)
		}
	}
	sort.SliceStable(q.requests, precedes)
}

// workAhead returns the expected work, in ms, of the requests that are served before
// a new one; see ahead.
func (q *queue) workAhead(now time.Time, r *requestState) float64 {
	sum := 0.0
	q.ahead(now, r, func(o *requestState) bool {
		sum += o.expectedWork()
		return true
	})
	return sum
}
