// Package schedule decides which engine runs a request and when, for all
// requests of a group of engines.
//
// It answers a load of prompts that share long beginnings, on engines that
// batch requests, read prompts in chunks between the tokens of other requests,
// and keep what they have read as long as memory lasts. A request goes where
// reading what is missing, waiting for others, and delaying others cost least.
// When engines are full, requests wait here and not at the engines: the more
// urgent tier goes first, and in a tier those that can still meet their target.
// A request that would wait for too much of its caller's patience is refused at
// once.
//
// The package is pure: no I/O, goroutine or clock. Callers serialise the calls
// and pass a time that never goes back.
package schedule

import (
	"sort"
	"time"

	"quetzalhook"
)

const (
	// holdLimit is the work in ms ahead of a request up to which it is sent to
	// an engine; with more, waiting here leaves the choice of engine open.
	holdLimit = 500.0
	// refuseAfter is the part of the patience that a request may be expected to
	// wait; with more it is refused at once.
	refuseAfter = 0.6
	// giveUpAfter is the part of the patience after which a waiting request is
	// refused: what is left is too short for an answer.
	giveUpAfter = 0.85
	// minRetry and maxRetry bound what refused callers are told to wait.
	minRetry = 200 * time.Millisecond
	maxRetry = 3 * time.Second
	// maxStuck is the number of waiting requests in a row for which no engine has
	// room, after which a round ends: the engines are full.
	maxStuck = 6
	// urgencyPerTier and maxUrgency map tiers to the urgency at an engine.
	urgencyPerTier = 2
	maxUrgency     = 9
)

// Decision is the start or the refusal of a request.
type Decision struct {
	Request quetzalhook.RequestID
	// Upstream runs the request; it is not set in a refusal.
	Upstream quetzalhook.Upstream
	Urgency  int
	Refusal  *quetzalhook.Refusal
	// Unread is the number of prompt tokens to read, First the expected time to
	// the first token, Waiting the number of requests that wait.
	Unread  int
	First   time.Duration
	Waiting int
}

// Scheduler decides for one group of engines. It is not safe for concurrent
// use.
type Scheduler struct {
	engines  map[quetzalhook.UpstreamID]*engine
	pools    map[string][]*engine // ready engines by pool, see pool
	runs     map[quetzalhook.RequestID]*run
	waiting  []*run
	sequence uint64
	dirty    bool // something changed since the last round
	demand   demand
	out      []Decision
}

// New returns a scheduler without engines.
func New() *Scheduler {
	return &Scheduler{
		engines: make(map[quetzalhook.UpstreamID]*engine), pools: make(map[string][]*engine),
		runs: make(map[quetzalhook.RequestID]*run),
	}
}

// pool names the engines that can run a request.
func pool(r quetzalhook.Request) string { return r.Service + "\x00" + string(r.Model) }

// SetUpstreams replaces the engines. What is known of those that stay is kept;
// one that was started again begins with empty memory.
func (s *Scheduler) SetUpstreams(now time.Time, list []quetzalhook.Upstream) []Decision {
	s.begin()
	next := make(map[quetzalhook.UpstreamID]*engine, len(list))
	clear(s.pools)
	for _, info := range list {
		e := s.engines[info.ID]
		if e == nil || e.info.Started != info.Started || e.info.Address != info.Address {
			e = newEngine(info, now)
		}
		e.info = info
		next[info.ID] = e
		if info.State != quetzalhook.UpstreamReady {
			continue
		}
		for _, m := range info.Models {
			name := info.Service + "\x00" + string(m)
			s.pools[name] = append(s.pools[name], e)
		}
	}
	s.engines = next
	s.dirty = true
	return s.drain(now)
}

// Submit adds a request.
func (s *Scheduler) Submit(now time.Time, q quetzalhook.Request) []Decision {
	s.begin()
	s.sequence++
	r := &run{request: q, submitted: now, sequence: s.sequence, memory: q.PromptTokens + predictedOutput(q)}
	s.demand.add(now, r)
	if old := s.runs[q.ID]; old != nil {
		s.forget(old) // the host has given it up; each attempt is submitted anew
	}
	if wait, ok := s.expectedWait(r); !ok || q.Patience > 0 && wait > time.Duration(refuseAfter*float64(q.Patience)) {
		kind := quetzalhook.RefuseOverload
		if !ok {
			kind = quetzalhook.RefuseNoUpstream
		}
		s.refuse(r, kind, wait)
		return s.out
	}
	s.runs[q.ID] = r
	s.waiting = append(s.waiting, r)
	s.dirty = true
	return s.drain(now)
}

// expectedWait returns how long the requests that wait before r keep the
// engines busy, or false if r has no engine.
func (s *Scheduler) expectedWait(r *run) (time.Duration, bool) {
	engines := s.pools[pool(r.request)]
	if len(engines) == 0 {
		return minRetry, false
	}
	sum := 0.0
	for _, o := range s.waiting {
		if o.request.Class.Tier() <= r.request.Class.Tier() && pool(o.request) == pool(r.request) {
			sum += readTime(o.request.PromptTokens, o.request.PromptTokens) * waitingShare
		}
	}
	return time.Duration(sum / float64(len(engines)) * float64(time.Millisecond)), true
}

// waitingShare is the part of a waiting prompt that is expected to be read:
// most of a prompt is shared and held.
const waitingShare = 0.5

// refuse ends a request that has not started.
func (s *Scheduler) refuse(r *run, kind quetzalhook.RefuseKind, wait time.Duration) {
	s.out = append(s.out, Decision{
		Request: r.request.ID, Waiting: len(s.waiting),
		Refusal: &quetzalhook.Refusal{Kind: kind, RetryAfter: min(max(wait/2, minRetry), maxRetry)},
	})
}

// Adopt takes over a request that another scheduler has started.
func (s *Scheduler) Adopt(now time.Time, q quetzalhook.Request, id quetzalhook.UpstreamID, tokens int) {
	e := s.engines[id]
	if e == nil || s.runs[q.ID] != nil {
		return
	}
	s.sequence++
	r := &run{request: q, submitted: now, sequence: s.sequence, memory: q.PromptTokens + predictedOutput(q)}
	s.runs[q.ID] = r
	e.advance(now)
	e.start(now, r)
	if tokens > 0 {
		e.began(now, r)
		r.tokens = tokens
	}
}

// Progress reports output tokens of a running request.
func (s *Scheduler) Progress(now time.Time, id quetzalhook.RequestID, tokens int) []Decision {
	s.begin()
	r := s.runs[id]
	if r == nil || r.engine == nil || tokens <= r.tokens {
		return nil
	}
	e := r.engine
	e.advance(now)
	e.sign = now
	e.health.worked()
	if !r.first {
		e.began(now, r)
		s.dirty = true
	}
	r.tokens = tokens
	return s.drain(now)
}

// End reports the end of a running or waiting request.
func (s *Scheduler) End(now time.Time, id quetzalhook.RequestID, end quetzalhook.AttemptEnd) []Decision {
	s.begin()
	r := s.runs[id]
	if r == nil {
		return nil
	}
	if e := r.engine; e != nil {
		e.advance(now)
		s.judge(now, e, r, end)
	}
	s.forget(r)
	s.dirty = true
	return s.drain(now)
}

// judge notes what the end of a run tells of its engine.
func (s *Scheduler) judge(now time.Time, e *engine, r *run, end quetzalhook.AttemptEnd) {
	switch {
	case end.End == quetzalhook.EndFinished:
		e.sign = now
		e.health.worked()
	case end.End == quetzalhook.EndNotSent && end.Verdict.NotRun:
		e.sign = now
		e.health.refused(now)
	case end.End == quetzalhook.EndBroken || end.End == quetzalhook.EndNotSent:
		e.health.failed(now)
	}
	if !r.first && end.End != quetzalhook.EndFinished {
		e.cache.forget(r.request.Parts)
	}
}

// forget removes a request.
func (s *Scheduler) forget(r *run) {
	delete(s.runs, r.request.ID)
	if r.engine != nil {
		r.engine.remove(r)
		return
	}
	for i, o := range s.waiting {
		if o == r {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			return
		}
	}
}

// Tick does the periodic work; call it every 20 ms or less often.
func (s *Scheduler) Tick(now time.Time) []Decision {
	s.begin()
	s.dirty = s.dirty || len(s.waiting) > 0
	return s.drain(now)
}

func (s *Scheduler) begin() { s.out = nil }

// Waiting returns the number of requests that wait.
func (s *Scheduler) Waiting() int { return len(s.waiting) }

// Running returns the number of requests that run.
func (s *Scheduler) Running() int { return len(s.runs) - len(s.waiting) }

// drain starts and refuses waiting requests.
func (s *Scheduler) drain(now time.Time) []Decision {
	if !s.dirty || len(s.waiting) == 0 {
		s.dirty = false
		return s.out
	}
	s.dirty = false
	s.sort(now)
	kept := s.waiting[:0:0]
	stuck := 0
	for _, r := range s.waiting {
		if stuck >= maxStuck {
			kept = append(kept, r)
			continue
		}
		if s.settle(now, r) {
			stuck = 0
			continue
		}
		stuck++
		kept = append(kept, r)
	}
	s.waiting = kept
	return s.out
}

// settle starts a waiting request or refuses it; it reports whether it did.
func (s *Scheduler) settle(now time.Time, r *run) bool {
	waited, patience := now.Sub(r.submitted), r.request.Patience
	if patience > 0 && waited > time.Duration(giveUpAfter*float64(patience)) {
		delete(s.runs, r.request.ID)
		s.refuse(r, quetzalhook.RefuseLate, 0)
		return true
	}
	c, ok := s.best(now, r)
	if !ok || c.engine.ahead(r)*c.engine.slowness > holdLimit {
		return false
	}
	unread := c.engine.unread(r.request)
	c.engine.start(now, r)
	r.expected = c.first
	s.out = append(s.out, Decision{
		Request: r.request.ID, Upstream: c.engine.info, Urgency: urgency(r.request), Unread: unread,
		First: time.Duration(c.first * float64(time.Millisecond)), Waiting: len(s.waiting),
	})
	return true
}

func urgency(q quetzalhook.Request) int {
	return min(int(q.Class.Tier())*urgencyPerTier, maxUrgency)
}

// sort puts the waiting requests in the order in which they are served.
func (s *Scheduler) sort(now time.Time) {
	type rank struct {
		tier int
		late bool
		due  time.Time
	}
	ranks := make(map[*run]rank, len(s.waiting))
	for _, r := range s.waiting {
		k := rank{tier: int(r.request.Class.Tier()), due: r.submitted.Add(r.request.Class.TTFTTarget())}
		k.late = now.After(k.due)
		ranks[r] = k
	}
	sort.SliceStable(s.waiting, func(i, j int) bool {
		a, b := ranks[s.waiting[i]], ranks[s.waiting[j]]
		switch {
		case a.tier != b.tier:
			return a.tier < b.tier
		case a.late != b.late:
			return !a.late
		}
		return a.due.Before(b.due)
	})
}
