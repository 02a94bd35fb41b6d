// Package schedule decides which engine runs a request and when, for all
// requests of a group of engines.
//
// It is designed for prompts with long shared prefixes, on engines with
// continuous batching, chunked prefill and a KV cache. A request is placed on
// the engine with the lowest cost, which counts the prefill of uncached tokens,
// the wait for other requests and the delay caused to them. When the engines
// are full, requests wait in the scheduler and not at the engines: the more
// urgent tier goes first, and within a tier the requests that can still meet
// their target. A request whose expected wait exceeds a share of the caller's
// timeout is refused immediately.
//
// The package does no I/O, starts no goroutine and reads no clock. Callers
// serialise the calls and pass a time that never decreases.
package schedule

import (
	"math"
	"time"

	"quetzalhook"
	"quetzalhook/internal/traffic/speed"
	"quetzalhook/internal/traffic/throttle"
)

const (
	// maxBacklogMs is the most work that may precede a request on the engine to
	// which it is sent. With more, the request waits in the scheduler, so that
	// it can still be sent to another engine. The backlog keeps an engine busy
	// while the next request travels between regions.
	maxBacklogMs = 250.0
	// maxExpectedWaitShare is the share of the caller's timeout above which the
	// expected wait causes a request to be refused on submission.
	maxExpectedWaitShare = 0.6
	// waitTimeoutShare is the share of the caller's timeout after which a waiting
	// request is refused, because the remaining time is too short for an answer.
	waitTimeoutShare = 0.85
	// overloadTimeoutShare replaces waitTimeoutShare while there is no spare
	// capacity: serving a request that is late by then would delay one that is
	// not, and its caller still has time to retry.
	overloadTimeoutShare = 0.7
	// spareCapacityLoad is the share of the engines' time that the arriving work
	// must stay below to leave capacity for late requests. The work excludes
	// shared prompt parts, whose prefill takes about as much time again.
	spareCapacityLoad = 0.55
	// minRetryAfter and maxRetryAfter bound Refusal.RetryAfter.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 3 * time.Second
	// urgencyPerTier and maxUrgency map a tier to Decision.Urgency.
	urgencyPerTier = 2
	maxUrgency     = 9
)

// Decision is the start or the refusal of a request.
type Decision struct {
	Request  quetzalhook.RequestID
	Customer quetzalhook.CustomerID
	// Upstream runs the request; it is not set for a refusal.
	Upstream quetzalhook.Upstream
	// Urgency is the priority of the request at the engine; 0 is served first.
	Urgency int
	Refusal *quetzalhook.Refusal // nil for a start
	// Source is the address of the upstream from which cached parts of the
	// prompt are copied; empty for none.
	Source string
	// SourceID, SourceZone, SourceRegion and SourceStarted describe that upstream.
	SourceID      quetzalhook.UpstreamID
	SourceZone    quetzalhook.Zone
	SourceRegion  quetzalhook.Region
	SourceStarted int64
	// Regions are those in which the request may run, and Build the only build that may run
	// it; empty for any.
	Regions quetzalhook.Regions
	Build   quetzalhook.Build
	// Cold reports that the start was counted against the rate of a cold upstream.
	Cold bool
	// PrefillTokens is the number of prompt tokens that the engine has to process,
	// ExpectedTTFT the expected time from the start to the first token, and
	// Waiting the number of requests waiting in the scheduler.
	PrefillTokens int
	ExpectedTTFT  time.Duration
	Waiting       int
}

// pool holds the engines and the waiting requests of one model of a service.
type pool struct {
	service string
	model   quetzalhook.Model
	engines []*engine // open engines only
	// evacuated is the number of ready engines in evacuated zones.
	evacuated int
	waiting   queue
	demand    demand
	kind      *speed.Kind                      // of its engines
	places    map[place]int                    // number of engines by place
	shares    map[quetzalhook.Tier]*tierShares // empty if customers have no shares
}

// Scheduler places the requests for one group of engines. It is not safe for
// concurrent use.
type Scheduler struct {
	engines  map[quetzalhook.UpstreamID]*engine
	pools    map[string]*pool
	requests map[quetzalhook.RequestID]*requestState
	waiting  int
	sequence uint64
	// holders maps the hash of a prompt part to the engines that have it cached.
	holders   map[uint64]map[*engine]struct{}
	limits    *throttle.Limits
	kinds     map[string]*speed.Kind // by service
	decisions []Decision
	// promises is nil if customers have no shares.
	promises    *promises
	shareCounts ShareCounts
	sweptAt     time.Time
	// memoryView returns what this host knows of its place for an engine; nil if the
	// memory of engines is not bounded.
	memoryView func(id quetzalhook.UpstreamID) MemoryView
	reliefs    int64
}

// Option sets one property of a Scheduler.
type Option func(*Scheduler)

// WithLimits sets how the scheduler keeps to the limits that engines name.
func WithLimits(l *throttle.Limits) Option { return func(s *Scheduler) { s.limits = l } }

// New returns a scheduler without engines.
func New(opts ...Option) *Scheduler {
	s := &Scheduler{
		engines: make(map[quetzalhook.UpstreamID]*engine), pools: make(map[string]*pool),
		requests: make(map[quetzalhook.RequestID]*requestState), holders: make(map[uint64]map[*engine]struct{}),
		limits: throttle.New(), kinds: make(map[string]*speed.Kind),
	}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// isOpen reports whether a request may use an engine at all: the engine is ready and in
// the scope of the request, has not failed or refused it, and wants requests
// from its host.
func isOpen(now time.Time, e *engine, r *requestState) bool {
	return e.info.IsOpen() && r.allows(e) && !isTried(r.request, e.info.ID) && r.barredFor(now, e) == 0
}

// canAccept reports whether a request may be sent to an engine now: it may use the
// engine, the limit that the engine names allows it, and the engine has room.
func (s *Scheduler) canAccept(now time.Time, e *engine, r *requestState) bool {
	return isOpen(now, e, r) && e.canAccept(now, r) && s.fitsMemory(now, e, r) && s.limits.Allows(now, e.info.ID) &&
		!(r.request.Moving && s.limits.IsCold(now, e.info.ID))
}

// setHolder records whether an engine has a prompt part cached.
func (s *Scheduler) setHolder(e *engine, hash uint64, cached bool) {
	if cached {
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

// poolName returns the key of the pool for a model of a service.
func poolName(service string, m quetzalhook.Model) string { return service + "\x00" + string(m) }

func (s *Scheduler) pool(service string, m quetzalhook.Model) *pool {
	name := poolName(service, m)
	p := s.pools[name]
	if p == nil {
		p = &pool{service: service, model: m, kind: s.kind(service), places: make(map[place]int)}
		s.pools[name] = p
	}
	return p
}

// SetUpstreams replaces the engines. The state of engines that remain is kept;
// a restarted engine begins with an empty cache.
func (s *Scheduler) SetUpstreams(now time.Time, list []quetzalhook.Upstream) []Decision {
	s.resetDecisions()
	next := make(map[quetzalhook.UpstreamID]*engine, len(list))
	for _, p := range s.pools {
		p.engines, p.evacuated, p.places = nil, 0, make(map[place]int)
	}
	for _, info := range list {
		e := s.engines[info.ID]
		if e == nil || e.info.Started != info.Started || e.info.Address != info.Address {
			if e != nil {
				e.cache.evict(0)
				s.limits.Retain(func(id quetzalhook.UpstreamID) bool { return id != info.ID })
			}
			e = newEngine(info, s.kind(info.Service), now)
			e.cache.onChange = func(hash uint64, cached bool) { s.setHolder(e, hash, cached) }
		}
		e.info = info
		next[info.ID] = e
		if info.State != quetzalhook.UpstreamReady {
			continue
		}
		for _, m := range info.Models {
			p := s.pool(info.Service, m)
			if info.Evacuated {
				p.evacuated++
				continue
			}
			p.engines = append(p.engines, e)
			p.places[e.place()]++
		}
	}
	for id, e := range s.engines {
		if next[id] == nil {
			e.cache.evict(0)
		}
	}
	s.engines = next
	s.limits.Retain(func(id quetzalhook.UpstreamID) bool { return next[id] != nil })
	s.dispatchAll(now)
	return s.decisions
}

// TryStart starts a request if an engine can accept it immediately, and reports
// whether it did. A request that would wait or be refused is not stored.
func (s *Scheduler) TryStart(now time.Time, q quetzalhook.Request) ([]Decision, bool) {
	s.resetDecisions()
	r := s.register(now, q)
	if !s.startAhead(now, r) {
		return nil, false
	}
	r.pool.demand.add(now, r)
	return s.decisions, true
}

// register returns the state of a new request, not yet stored in s.requests. An
// earlier attempt of the same request is removed.
func (s *Scheduler) register(now time.Time, q quetzalhook.Request) *requestState {
	if old := s.requests[q.ID]; old != nil {
		s.unregister(old) // the host submits a request again only after it gave up the last attempt
	}
	r := s.newRequestState(now, q)
	if !q.Moving && r.pool.allTried(now, r) {
		r.isExhausted = q.Build != "" && len(q.Tried) > 0
		r.request.Tried = nil // engines that refused it may have room by now
	}
	r.band = r.bandAfter(now, r.waitingWork())
	return r
}

// Submit adds a request: it is started, queued or refused.
func (s *Scheduler) Submit(now time.Time, q quetzalhook.Request) []Decision {
	s.resetDecisions()
	r := s.register(now, q)
	s.recallPromise(now, r)
	p := r.pool
	p.demand.add(now, r)
	if p.isEvacuated() {
		s.refuseEvacuated(r)
		return s.decisions
	}
	if len(p.engines) == 0 {
		s.refuse(now, r, quetzalhook.RefuseNoUpstream, minRetryAfter)
		return s.decisions
	}
	if s.isTooLarge(r) {
		s.refuseFor(r, quetzalhook.RefuseMemory, 0)
		return s.decisions
	}
	if p.engineCount(q.Scope()) == 0 {
		s.refuseScope(now, r)
		return s.decisions
	}
	// The request waits at its host, so that it does not hold up those of others.
	if wait := p.barredFor(now, r); wait > 0 {
		s.refuseFor(r, quetzalhook.RefusePause, wait)
		return s.decisions
	}
	if q.Moving && p.allTried(now, r) {
		s.refuse(now, r, quetzalhook.RefuseOverload, minRetryAfter) // its source is the only engine
		return s.decisions
	}
	// If queued requests precede this one, the engines are full, so placement is
	// not attempted.
	if s.startAhead(now, r) {
		return s.decisions
	}
	if s.refuseEarly(now, r) || s.refuseCold(now, r) {
		return s.decisions
	}
	s.requests[q.ID] = r
	p.waiting.push(now, r)
	s.waiting++
	return s.decisions
}

// refuseEarly refuses a request that would wait for too long, and reports whether it
// did.
func (s *Scheduler) refuseEarly(now time.Time, r *requestState) bool {
	if s.promises != nil {
		if !r.pool.isShort(now, r.request.Scope()) || r.isPromised {
			return false
		}
		if wait := r.overShareWait(now, r.waitingWork(), r.pool.expectedWait(now, r)); r.mayNotWait(now, wait, maxOverShareWait) {
			s.refuseShare(now, r, wait)
			return true
		}
	}
	expectedWait := r.pool.expectedWait(now, r)
	if r.request.CallerTimeout <= 0 || expectedWait <= time.Duration(maxExpectedWaitShare*float64(r.request.CallerTimeout)) {
		return false
	}
	s.refuse(now, r, quetzalhook.RefuseOverload, expectedWait)
	return true
}

func (s *Scheduler) newRequestState(now time.Time, q quetzalhook.Request) *requestState {
	s.sequence++
	r := &requestState{
		request: q, pool: s.pool(q.Service, q.Model), submitted: now, sequence: s.sequence,
		memory: q.PromptTokens + predictedOutput(q),
	}
	s.openAccount(r)
	return r
}

// refuse adds the refusal of a request that has not started. RetryAfter is half
// of the expected wait, from minRetryAfter to maxRetryAfter. Where customers have
// shares, it is at most what the caller honours.
func (s *Scheduler) refuse(now time.Time, r *requestState, kind quetzalhook.RefuseKind, wait time.Duration) {
	retryAfter := min(max(wait/2, minRetryAfter), maxRetryAfter)
	if s.promises != nil {
		retryAfter = min(retryAfter, r.maxReturn(now))
	}
	s.refuseFor(r, kind, retryAfter)
}

func (s *Scheduler) refuseFor(r *requestState, kind quetzalhook.RefuseKind, retryAfter time.Duration) {
	s.decisions = append(s.decisions, Decision{
		Request: r.request.ID, Customer: r.request.Customer, Waiting: s.waiting, Regions: r.request.Regions, Build: r.request.Build,
		Refusal: &quetzalhook.Refusal{Kind: kind, RetryAfter: retryAfter},
	})
}

// isEvacuated reports whether all ready engines of the pool are in evacuated zones.
func (p *pool) isEvacuated() bool { return len(p.engines) == 0 && p.evacuated > 0 }

// refuseEvacuated refuses a request since all engines are in evacuated zones. Evacuations
// last for long, but a caller honours only a third of its time.
func (s *Scheduler) refuseEvacuated(r *requestState) {
	wait := maxRetryAfter
	if r.request.CallerTimeout > 0 {
		wait = min(wait, r.request.CallerTimeout/3)
	}
	s.refuseFor(r, quetzalhook.RefuseEvacuated, max(wait, minRetryAfter))
}

// start places a request on the engine with the lowest cost, and reports whether
// an engine could accept it.
func (s *Scheduler) start(now time.Time, r *requestState) bool {
	c, ok := s.best(now, r)
	if ok {
		s.startOn(now, r, c)
	}
	return ok
}

// startOn starts a request on the engine of a placement.
func (s *Scheduler) startOn(now time.Time, r *requestState, c placement) {
	s.requests[r.request.ID] = r
	s.notePart(now, c.engine)
	c.engine.start(now, r, c.prefillTokens, c.fetchMs)
	s.limits.Start(now, c.engine.info.ID)
	r.charge(now)
	r.expectedTTFT = c.ttft
	r.sample.linkMs, r.sample.isKnown, r.sample.isOwn = s.roundTrip(r.request.Region, c.engine), c.fetchMs == 0, true
	d := Decision{
		Request: r.request.ID, Customer: r.request.Customer, Upstream: c.engine.info, Urgency: urgency(r.request), PrefillTokens: c.prefillTokens,
		ExpectedTTFT: time.Duration(c.ttft * float64(time.Millisecond)), Waiting: s.waiting,
		Cold: s.limits.IsCold(now, c.engine.info.ID), Regions: r.request.Regions, Build: r.request.Build,
	}
	if c.source != nil {
		from := c.source.info
		d.Source, d.SourceID, d.SourceZone, d.SourceRegion, d.SourceStarted = from.Address, from.ID, from.Zone, from.Region, from.Started
	}
	s.decisions = append(s.decisions, d)
}

// Adopt adds a running request that another scheduler has started and for which
// outputTokens have been received so far.
func (s *Scheduler) Adopt(now time.Time, q quetzalhook.Request, id quetzalhook.UpstreamID, outputTokens int) {
	e := s.engines[id]
	if e == nil || s.requests[q.ID] != nil {
		return
	}
	r := s.newRequestState(now, q)
	s.requests[q.ID] = r
	r.isAdopted = true
	e.advance(now)
	s.notePart(now, e)
	e.start(now, r, e.prefillTokens(q), 0)
	s.limits.Start(now, id)
	r.charge(now)
	if outputTokens > 0 {
		e.recordFirstToken(now, r, outputTokens)
		s.followOutput(r, outputTokens)
	}
}

// SetCachedParts replaces the modelled cache of an engine by the parts that it
// reported shortly before now. Parts of running requests are kept.
func (s *Scheduler) SetCachedParts(now time.Time, id quetzalhook.UpstreamID, parts []quetzalhook.PromptPart) {
	e := s.engines[id]
	if e == nil {
		return
	}
	recent := make(map[uint64]bool)
	for _, r := range e.running {
		for _, p := range r.request.Parts {
			recent[p.Hash] = true // may have been cached since the report
		}
	}
	e.cache.replace(parts, recent)
}

// Progress reports the total output tokens of a running request.
func (s *Scheduler) Progress(now time.Time, id quetzalhook.RequestID, outputTokens int) []Decision {
	s.resetDecisions()
	r := s.requests[id]
	if r == nil || r.engine == nil || outputTokens <= r.outputTokens {
		return nil
	}
	e := r.engine
	e.advance(now)
	e.lastResponse = now
	s.limits.Answered(now, e.info.ID, r.started)
	if !r.hasFirstToken {
		e.record.ResponseStarted()
		e.recordFirstToken(now, r, outputTokens)
		s.dispatchTo(now, r.pool, e)
	} else {
		e.recordTokens(now, r, outputTokens)
	}
	s.followOutput(r, outputTokens)
	return s.decisions
}

// Observe reports the number of requests on the engine of a running request, as
// shown by the engine's answer; it includes this request.
func (s *Scheduler) Observe(now time.Time, id quetzalhook.RequestID, running int) {
	if r := s.requests[id]; r != nil && r.engine != nil {
		r.engine.advance(now)
		r.engine.observe(now, running)
	}
}

// ObserveLimit records that the answer to a running request names a limit of its
// engine, in requests a second, or none if it is 0. It returns the engine, and whether
// its limit has changed.
func (s *Scheduler) ObserveLimit(now time.Time, id quetzalhook.RequestID, perSecond float64) (quetzalhook.UpstreamID, bool) {
	r := s.requests[id]
	if r == nil || r.engine == nil {
		return "", false
	}
	engine := r.engine.info.ID
	return engine, s.limits.Observe(now, engine, perSecond)
}

// Limits returns the limits that engines have named within the last d.
func (s *Scheduler) Limits(now time.Time, d time.Duration) map[quetzalhook.UpstreamID]throttle.Named {
	return s.limits.Since(now, d)
}

// AddLimits records limits that engines have named to another host.
func (s *Scheduler) AddLimits(now time.Time, named map[quetzalhook.UpstreamID]throttle.Named) {
	for id, n := range named {
		if s.engines[id] != nil {
			s.limits.Observe(now.Add(-n.Age), id, n.PerSecond)
		}
	}
}

// End reports the end of a running or waiting request.
func (s *Scheduler) End(now time.Time, id quetzalhook.RequestID, end quetzalhook.AttemptEnd) []Decision {
	s.resetDecisions()
	r := s.requests[id]
	if r == nil {
		return nil
	}
	e := r.engine
	if e != nil {
		e.advance(now)
		s.recordOutcome(now, e, r, end)
		r.settle(now, end)
	}
	s.unregister(r)
	if e != nil {
		s.dispatchTo(now, r.pool, e)
	}
	return s.decisions
}

// recordOutcome updates the failure record of an engine after an attempt, and
// the modelled cache if the prompt may not have been processed.
func (s *Scheduler) recordOutcome(now time.Time, e *engine, r *requestState, end quetzalhook.AttemptEnd) {
	served := end.End == quetzalhook.EndFinished && !end.Verdict.Failed
	if isPathFault(e, r, end) {
		if !r.hasFirstToken {
			e.cache.invalidate(r.request.Parts)
		}
		return
	}
	if end.Lost {
		s.limits.Lost(now, e.info.ID)
	} else if end.End == quetzalhook.EndFinished {
		s.limits.Answered(now, e.info.ID, r.started)
	}
	switch {
	case end.Relieved:
		return
	case served:
		e.lastResponse = now
		e.record.Succeeded(now)
	case end.End == quetzalhook.EndFinished:
		e.lastResponse = now
		e.record.Failed(now)
	case end.Verdict.Moved:
		e.record.Moved(now)
	case end.End == quetzalhook.EndNotSent && end.Verdict.NotRun:
		e.lastResponse = now
		e.record.Refused(now, refusalPause)
	case end.End == quetzalhook.EndBroken || end.End == quetzalhook.EndNotSent:
		e.record.Failed(now)
	}
	if !served && (end.End == quetzalhook.EndCallerGone || end.End == quetzalhook.EndBroken) {
		e.recordUnanswered(now, r)
	}
	if !r.hasFirstToken && !served {
		e.cache.invalidate(r.request.Parts)
	}
}

// isPathFault reports whether an attempt failed since its host did not reach the engine,
// which has not failed: the host reaches none, or another request got an answer meanwhile.
func isPathFault(e *engine, r *requestState, end quetzalhook.AttemptEnd) bool {
	return end.NoPath || end.Unsent && end.Lost && e.lastResponse.After(r.started)
}

// unregister removes a request from the scheduler and its engine or queue.
func (s *Scheduler) unregister(r *requestState) {
	delete(s.requests, r.request.ID)
	if r.engine != nil {
		r.engine.remove(r)
		return
	}
	r.pool.waiting.remove(r)
	s.waiting--
}

// Tick starts and refuses waiting requests. Call it every 20 ms or less often.
func (s *Scheduler) Tick(now time.Time) []Decision {
	s.resetDecisions()
	s.dispatchAll(now)
	return s.decisions
}

func (s *Scheduler) resetDecisions() { s.decisions = nil }

// Waiting returns the number of waiting requests.
func (s *Scheduler) Waiting() int { return s.waiting }

// Running returns the number of running requests.
func (s *Scheduler) Running() int { return len(s.requests) - s.waiting }

// dispatchAll refuses the requests whose wait has timed out, reorders the queues
// and starts waiting requests on all engines that can accept them.
func (s *Scheduler) dispatchAll(now time.Time) {
	s.sweepShares(now)
	if s.waiting == 0 {
		return
	}
	for _, p := range s.pools {
		p.demand.decay(now)
		p.waiting.spareCapacity = p.demand.rate < spareCapacityLoad*float64(len(p.engines))
		s.refuseExpired(now, p)
		s.reorder(now, p)
		for _, e := range p.engines {
			if len(p.waiting.requests) == 0 {
				break
			}
			s.dispatchTo(now, p, e)
		}
	}
}

// reorder sorts a queue again, at most once per reorderInterval. Where customers have
// shares, it computes them before, and refuses what is over them.
func (s *Scheduler) reorder(now time.Time, p *pool) {
	if now.Sub(p.waiting.orderedAt) < reorderInterval {
		return
	}
	p.waiting.orderedAt = now
	if s.promises != nil {
		p.updateShares(now)
		s.refuseOverShare(now, p)
		return
	}
	p.waiting.sort(now, nil)
}

// sweepShares deletes what is not needed any more of shares and promises.
func (s *Scheduler) sweepShares(now time.Time) {
	if s.promises == nil {
		return
	}
	s.promises.expire(now)
	if now.Sub(s.sweptAt) < sweepInterval {
		return
	}
	s.sweptAt = now
	for _, p := range s.pools {
		p.sweepShares(now)
	}
}

// refuseExpired refuses the requests of a pool whose wait has timed out.
func (s *Scheduler) refuseExpired(now time.Time, p *pool) {
	limit := waitTimeoutShare
	if !p.waiting.spareCapacity || s.promises != nil {
		limit = overloadTimeoutShare
	}
	for i := len(p.waiting.requests) - 1; i >= 0; i-- {
		r := p.waiting.requests[i]
		if p.isEvacuated() {
			p.waiting.removeAt(i)
			s.waiting--
			delete(s.requests, r.request.ID)
			s.refuseEvacuated(r)
			continue
		}
		missing := p.isMissing(now, r)
		if !missing && !r.hasWaited(now, limit) {
			continue
		}
		p.waiting.removeAt(i)
		s.waiting--
		delete(s.requests, r.request.ID)
		if missing {
			s.refuseScope(now, r)
			continue
		}
		s.refuse(now, r, quetzalhook.RefuseLate, p.expectedWait(now, r))
	}
}

// dispatchTo starts waiting requests on one engine while it can accept them. Requests
// that may not use it are passed over. Among the first maxCandidates of the
// same tier it picks the one whose cost on this
// engine exceeds its minCost least. If the first request of the queue is overdue,
// it is placed on its best engine before others, or an engine is reserved for it.
func (s *Scheduler) dispatchTo(now time.Time, p *pool, e *engine) {
	if !e.info.IsOpen() || e.isSuspect(now) {
		return
	}
	for len(p.waiting.requests) > 0 {
		best, at, least := placement{}, -1, math.Inf(1)
		head := p.waiting.firstFor(e)
		for head >= 0 && !p.waiting.requests[head].mayUse(now, e) {
			if head++; head == len(p.waiting.requests) {
				return
			}
		}
		if head < 0 {
			return
		}
		first := p.waiting.requests[head]
		if first.hasWaited(now, overdueWaitShare) {
			if c, ok := s.best(now, first); ok {
				s.startWaiting(now, p, head, c)
				continue
			}
			// Reserve an engine: otherwise a large request would wait for ever while
			// smaller ones take all memory that becomes free.
			if first.reserved == nil || !first.reserved.info.IsOpen() || !first.allows(first.reserved) || first.barredFor(now, first.reserved) > 0 {
				first.reserved = s.leastMemoryUsed(now, p, first)
			}
			if first.reserved == e {
				return
			}
		}
		candidates := 0
		for i := head; i < len(p.waiting.requests) && candidates < maxCandidates; i++ {
			r := p.waiting.requests[i]
			if r.request.Class.Tier() != first.request.Class.Tier() || r.band != first.band {
				break
			}
			if !r.mayUse(now, e) {
				continue
			}
			candidates++
			if !s.canAccept(now, e, r) {
				continue
			}
			c := s.evaluate(now, r, e, s.longestHolder(now, r.request))
			if excess := c.cost - r.minCost(now, e); excess < least {
				best, at, least = c, i, excess
			}
		}
		if at < 0 {
			return
		}
		s.startWaiting(now, p, at, best)
	}
}

// expectedWait returns how long a new request would wait.
func (p *pool) expectedWait(now time.Time, r *requestState) time.Duration {
	if scope := r.request.Scope(); p.waiting.scopes.restricted > 0 || scope.IsRestricted() {
		return p.scopedWait(now, r)
	}
	return p.waitFor(p.waiting.workAhead(now, r))
}

// waitFor returns the time in which the engines of a pool do the given work.
func (p *pool) waitFor(work float64) time.Duration {
	return time.Duration(work / float64(max(len(p.engines), 1)) * float64(time.Millisecond))
}

// startWait returns how long a new request would wait while all engines of a pool are cold:
// until the requests before it have been sent at the rate that this host may use, or until
// the first engine is warm. It is 0 if an engine is warm.
func (s *Scheduler) startWait(now time.Time, p *pool) time.Duration {
	rate, first := 0.0, time.Duration(math.MaxInt64)
	for _, e := range p.engines {
		perSecond, left := s.limits.ColdRate(now, e.info.ID)
		if left <= 0 {
			return 0
		}
		rate, first = rate+perSecond, min(first, left)
	}
	if rate <= 0 {
		return first
	}
	return min(first, time.Duration(float64(len(p.waiting.requests)+1)/rate*float64(time.Second)))
}

// refuseCold refuses a request that would wait for too long since all engines are cold, and
// reports whether it did.
func (s *Scheduler) refuseCold(now time.Time, r *requestState) bool {
	wait := s.startWait(now, r.pool)
	if r.isPromised || r.request.CallerTimeout <= 0 || wait <= time.Duration(maxExpectedWaitShare*float64(r.request.CallerTimeout)) {
		return false
	}
	s.refuse(now, r, quetzalhook.RefuseOverload, wait)
	return true
}

// startWaiting starts the waiting request at an index of the queue.
func (s *Scheduler) startWaiting(now time.Time, p *pool, at int, c placement) {
	r := p.waiting.requests[at]
	p.waiting.removeAt(at)
	s.waiting--
	s.startOn(now, r, c)
}

// barredFor returns the time until a request may use an engine of the pool, as far as
// the engines' words to its host go.
func (p *pool) barredFor(now time.Time, r *requestState) time.Duration {
	if len(r.request.Barred) == 0 {
		return 0
	}
	least := time.Duration(math.MaxInt64)
	for _, e := range p.engines {
		if r.allows(e) {
			least = min(least, r.barredFor(now, e))
		}
	}
	return least
}

// allTried reports whether every engine in the scope of a request that wants requests from
// its host has failed or refused it.
func (p *pool) allTried(now time.Time, r *requestState) bool {
	for _, e := range p.engines {
		if r.allows(e) && !isTried(r.request, e.info.ID) && r.barredFor(now, e) == 0 {
			return false
		}
	}
	return true
}

// leastMemoryUsed returns the engine of a pool with the least memory in use, among
// those whose limits allow a request unless there are none, or nil if the request may
// use none.
func (s *Scheduler) leastMemoryUsed(now time.Time, p *pool, r *requestState) *engine {
	var best *engine
	bestAllowed := false
	for _, e := range p.engines {
		if !r.allows(e) || r.barredFor(now, e) > 0 {
			continue
		}
		allowed := s.limits.Allows(now, e.info.ID)
		if best == nil || allowed && !bestAllowed || allowed == bestAllowed && e.memory < best.memory {
			best, bestAllowed = e, allowed
		}
	}
	return best
}

func urgency(q quetzalhook.Request) int {
	return min(int(q.Class.Tier())*urgencyPerTier, maxUrgency)
}
