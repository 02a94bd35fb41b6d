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
	"math"
	"time"

	"quetzalhook"
)

const (
	// holdLimit is the work in ms ahead of a request up to which it is sent to
	// an engine; with more, waiting here leaves the choice of engine open. It
	// covers the way of the next request between regions.
	holdLimit = 250.0
	// refuseAfter is the part of the patience that a request may be expected to
	// wait; with more it is refused at once.
	refuseAfter = 0.6
	// giveUpAfter is the part of the patience after which a waiting request is
	// refused: what is left is too short for an answer.
	giveUpAfter = 0.85
	// hopelessAfter takes its place while more work arrives than the engines can
	// do: a request that is late by then would be served at the cost of one that
	// is not, and its caller can still come back.
	hopelessAfter = 0.7
	// spareLoad is the part of the engines' time up to which arriving work leaves
	// them time for requests that are late. Work is counted without shared parts
	// of prompts, which take about as much again.
	spareLoad = 0.55
	// minRetry and maxRetry bound what refused callers are told to wait.
	minRetry = 200 * time.Millisecond
	maxRetry = 3 * time.Second
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
	// Source is the address of the upstream from which held parts of the prompt
	// are fetched; empty for none.
	Source string
	// Unread is the number of prompt tokens to read, First the expected time to
	// the first token, Waiting the number of requests that wait.
	Unread  int
	First   time.Duration
	Waiting int
}

// pool is a group of engines that can run the same requests.
type pool struct {
	engines []*engine // that are ready
	waiting queue
	demand  demand
}

// Scheduler decides for one group of engines. It is not safe for concurrent
// use.
type Scheduler struct {
	engines  map[quetzalhook.UpstreamID]*engine
	pools    map[string]*pool
	runs     map[quetzalhook.RequestID]*run
	waiting  int
	sequence uint64
	// holders lists the engines that hold a part of a prompt.
	holders map[uint64]map[*engine]struct{}
	out     []Decision
}

// New returns a scheduler without engines.
func New() *Scheduler {
	return &Scheduler{
		engines: make(map[quetzalhook.UpstreamID]*engine), pools: make(map[string]*pool),
		runs: make(map[quetzalhook.RequestID]*run), holders: make(map[uint64]map[*engine]struct{}),
	}
}

// hold notes that an engine holds a part, or no longer.
func (s *Scheduler) hold(e *engine, hash uint64, held bool) {
	if held {
		if s.holders[hash] == nil {
			s.holders[hash] = make(map[*engine]struct{})
		}
		s.holders[hash][e] = struct{}{}
		return
	}
	delete(s.holders[hash], e)
	if len(s.holders[hash]) == 0 {
		delete(s.holders, hash)
	}
}

// poolName names the engines that run a model of a service.
func poolName(service string, m quetzalhook.Model) string { return service + "\x00" + string(m) }

func (s *Scheduler) pool(name string) *pool {
	p := s.pools[name]
	if p == nil {
		p = &pool{}
		s.pools[name] = p
	}
	return p
}

// SetUpstreams replaces the engines. What is known of those that stay is kept;
// one that was started again begins with empty memory.
func (s *Scheduler) SetUpstreams(now time.Time, list []quetzalhook.Upstream) []Decision {
	s.begin()
	next := make(map[quetzalhook.UpstreamID]*engine, len(list))
	for _, p := range s.pools {
		p.engines = nil
	}
	for _, info := range list {
		e := s.engines[info.ID]
		if e == nil || e.info.Started != info.Started || e.info.Address != info.Address {
			if e != nil {
				e.cache.shrink(0)
			}
			e = newEngine(info, now)
			e.cache.changed = func(hash uint64, held bool) { s.hold(e, hash, held) }
		}
		e.info = info
		next[info.ID] = e
		if info.State != quetzalhook.UpstreamReady {
			continue
		}
		for _, m := range info.Models {
			p := s.pool(poolName(info.Service, m))
			p.engines = append(p.engines, e)
		}
	}
	for id, e := range s.engines {
		if next[id] == nil {
			e.cache.shrink(0)
		}
	}
	s.engines = next
	s.drainAll(now)
	return s.out
}

// Offer starts a request if an engine can take it at once, and reports whether
// it did. A request that would wait, or be refused, is not kept.
func (s *Scheduler) Offer(now time.Time, q quetzalhook.Request) ([]Decision, bool) {
	s.begin()
	r := s.admit(now, q)
	if r.pool.waiting.ahead(now, q.Class.Tier()) > 0 || !s.start(now, r) {
		return nil, false
	}
	r.pool.demand.add(now, r)
	return s.out, true
}

// admit makes the run of a request that was submitted or offered.
func (s *Scheduler) admit(now time.Time, q quetzalhook.Request) *run {
	if old := s.runs[q.ID]; old != nil {
		s.forget(old) // the host has given it up; each attempt is submitted anew
	}
	r := s.newRun(now, q)
	if r.pool.allTried(q) {
		r.request.Tried = nil // each may have room by now
	}
	return r
}

// Submit adds a request.
func (s *Scheduler) Submit(now time.Time, q quetzalhook.Request) []Decision {
	s.begin()
	r := s.admit(now, q)
	p := r.pool
	p.demand.add(now, r)
	if len(p.engines) == 0 {
		s.refuse(r, quetzalhook.RefuseNoUpstream, minRetry)
		return s.out
	}
	// A request waits behind those that go before it, without a look at the
	// engines: they are full.
	if p.waiting.ahead(now, q.Class.Tier()) == 0 && s.start(now, r) {
		return s.out
	}
	wait := p.wait(now, q.Class.Tier())
	if q.CallerTimeout > 0 && wait > time.Duration(refuseAfter*float64(q.CallerTimeout)) {
		s.refuse(r, quetzalhook.RefuseOverload, wait)
		return s.out
	}
	s.runs[q.ID] = r
	p.waiting.push(now, r)
	s.waiting++
	return s.out
}

func (s *Scheduler) newRun(now time.Time, q quetzalhook.Request) *run {
	s.sequence++
	return &run{
		request: q, pool: s.pool(poolName(q.Service, q.Model)), submitted: now, sequence: s.sequence,
		memory: q.PromptTokens + predictedOutput(q),
	}
}

// refuse ends a request that has not started.
func (s *Scheduler) refuse(r *run, kind quetzalhook.RefuseKind, wait time.Duration) {
	s.out = append(s.out, Decision{
		Request: r.request.ID, Waiting: s.waiting,
		Refusal: &quetzalhook.Refusal{Kind: kind, RetryAfter: min(max(wait/2, minRetry), maxRetry)},
	})
}

// start sends a request to the engine that suits it best, if one is open.
func (s *Scheduler) start(now time.Time, r *run) bool {
	c, ok := s.best(now, r)
	if ok {
		s.startOn(now, r, c)
	}
	return ok
}

func (s *Scheduler) startOn(now time.Time, r *run, c choice) {
	s.runs[r.request.ID] = r
	c.engine.start(now, r, c.unread, c.fetch)
	r.expected = c.first
	d := Decision{
		Request: r.request.ID, Upstream: c.engine.info, Urgency: urgency(r.request), Unread: c.unread,
		First: time.Duration(c.first * float64(time.Millisecond)), Waiting: s.waiting,
	}
	if c.source != nil {
		d.Source = c.source.info.Address
	}
	s.out = append(s.out, d)
}

// Adopt takes over a request that another scheduler has started.
func (s *Scheduler) Adopt(now time.Time, q quetzalhook.Request, id quetzalhook.UpstreamID, tokens int) {
	e := s.engines[id]
	if e == nil || s.runs[q.ID] != nil {
		return
	}
	r := s.newRun(now, q)
	s.runs[q.ID] = r
	e.advance(now)
	e.start(now, r, e.unread(q), 0)
	if tokens > 0 {
		e.began(now, r)
		r.tokens = tokens
	}
}

// Hold replaces what an engine is believed to hold by what it was found to hold
// a moment before now.
func (s *Scheduler) Hold(now time.Time, id quetzalhook.UpstreamID, parts []quetzalhook.PromptPart) {
	e := s.engines[id]
	if e == nil {
		return
	}
	recent := make(map[uint64]bool)
	for _, r := range e.runs {
		for _, p := range r.request.Parts {
			recent[p.Hash] = true // it may have been read since
		}
	}
	e.cache.replace(parts, recent)
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
	if !r.first {
		e.record.ResponseStarted()
		e.began(now, r)
		s.feed(now, r.pool, e)
	}
	r.tokens = tokens
	return s.out
}

// Observe reports how many requests the engine of a running request was seen
// to have, this one included.
func (s *Scheduler) Observe(now time.Time, id quetzalhook.RequestID, requests int) {
	if r := s.runs[id]; r != nil && r.engine != nil {
		r.engine.advance(now)
		r.engine.observe(now, requests)
	}
}

// End reports the end of a running or waiting request.
func (s *Scheduler) End(now time.Time, id quetzalhook.RequestID, end quetzalhook.AttemptEnd) []Decision {
	s.begin()
	r := s.runs[id]
	if r == nil {
		return nil
	}
	e := r.engine
	if e != nil {
		e.advance(now)
		s.judge(now, e, r, end)
	}
	s.forget(r)
	if e != nil {
		s.feed(now, r.pool, e)
	}
	return s.out
}

// judge notes what the end of a run tells of its engine.
func (s *Scheduler) judge(now time.Time, e *engine, r *run, end quetzalhook.AttemptEnd) {
	served := end.End == quetzalhook.EndFinished && !end.Verdict.Failed
	switch {
	case served:
		e.sign = now
		e.record.Succeeded(now)
	case end.End == quetzalhook.EndFinished:
		e.sign = now
		e.record.Failed(now)
	case end.Verdict.Moved:
		e.record.Moved(now)
	case end.End == quetzalhook.EndNotSent && end.Verdict.NotRun:
		e.sign = now
		e.record.Refused(now, fullPause)
	case end.End == quetzalhook.EndBroken || end.End == quetzalhook.EndNotSent:
		e.record.Failed(now)
	}
	if !r.first && !served {
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
	r.pool.waiting.remove(r)
	s.waiting--
}

// Tick does the periodic work; call it every 20 ms or less often.
func (s *Scheduler) Tick(now time.Time) []Decision {
	s.begin()
	s.drainAll(now)
	return s.out
}

func (s *Scheduler) begin() { s.out = nil }

// Waiting returns the number of requests that wait.
func (s *Scheduler) Waiting() int { return s.waiting }

// Running returns the number of requests that run.
func (s *Scheduler) Running() int { return len(s.runs) - s.waiting }

// drainAll lets all engines that are open take waiting requests.
func (s *Scheduler) drainAll(now time.Time) {
	if s.waiting == 0 {
		return
	}
	for _, p := range s.pools {
		p.demand.decay(now)
		p.waiting.spare = p.demand.rate < spareLoad*float64(len(p.engines))
		s.giveUp(now, p)
		p.waiting.reorder(now)
		for _, e := range p.engines {
			if len(p.waiting.runs) == 0 {
				break
			}
			s.feed(now, p, e)
		}
	}
}

// giveUp refuses the requests that have waited for too long.
func (s *Scheduler) giveUp(now time.Time, p *pool) {
	limit := giveUpAfter
	if !p.waiting.spare {
		limit = hopelessAfter
	}
	for i := len(p.waiting.runs) - 1; i >= 0; i-- {
		r := p.waiting.runs[i]
		if r.hasWaited(now, limit) {
			p.waiting.removeAt(i)
			s.waiting--
			delete(s.runs, r.request.ID)
			s.refuse(r, quetzalhook.RefuseLate, p.wait(now, r.request.Class.Tier()))
		}
	}
}

// feed lets one engine take waiting requests while it is open: of the first few
// of the same tier the one that costs least there beyond what it costs anywhere.
func (s *Scheduler) feed(now time.Time, p *pool, e *engine) {
	if e.info.State != quetzalhook.UpstreamReady || e.isSuspect(now) {
		return
	}
	for len(p.waiting.runs) > 0 {
		best, at, least := choice{}, -1, math.Inf(1)
		first := p.waiting.runs[0]
		if first.hasWaited(now, overdueWait) {
			if c, ok := s.best(now, first); ok {
				s.takeWaiting(now, p, 0, c)
				continue
			}
			// Without a place kept for it, a large request would wait for ever
			// while smaller ones take what becomes free.
			if first.reserved == nil || first.reserved.info.State != quetzalhook.UpstreamReady {
				first.reserved = p.emptiest()
			}
			if first.reserved == e {
				return
			}
		}
		for i, r := range p.waiting.runs[:min(choices, len(p.waiting.runs))] {
			if r.request.Class.Tier() != first.request.Class.Tier() {
				break
			}
			if isTried(r.request, e.info.ID) || !e.isOpen(r) {
				continue
			}
			c := s.evaluate(now, r, e, s.richest(now, r.request))
			if excess := c.cost - r.ownCost(e); excess < least {
				best, at, least = c, i, excess
			}
		}
		if at < 0 {
			return
		}
		s.takeWaiting(now, p, at, best)
	}
}

// wait returns how long a new request of a tier would wait.
func (p *pool) wait(now time.Time, tier quetzalhook.Tier) time.Duration {
	return time.Duration(p.waiting.ahead(now, tier) / float64(max(len(p.engines), 1)) * float64(time.Millisecond))
}

// takeWaiting starts a waiting request.
func (s *Scheduler) takeWaiting(now time.Time, p *pool, at int, c choice) {
	r := p.waiting.runs[at]
	p.waiting.removeAt(at)
	s.waiting--
	s.startOn(now, r, c)
}

// allTried reports whether a request was sent to every engine.
func (p *pool) allTried(q quetzalhook.Request) bool {
	for _, e := range p.engines {
		if !isTried(q, e.info.ID) {
			return false
		}
	}
	return true
}

// emptiest returns the engine with the least memory in use.
func (p *pool) emptiest() *engine {
	best := p.engines[0]
	for _, e := range p.engines {
		if e.memory < best.memory {
			best = e
		}
	}
	return best
}

func urgency(q quetzalhook.Request) int {
	return min(int(q.Class.Tier())*urgencyPerTier, maxUrgency)
}
