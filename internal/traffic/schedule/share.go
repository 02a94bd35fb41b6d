package schedule

import (
	"math"
	"time"

	"quetzalhook"
	"quetzalhook/internal/traffic/fair"
	"quetzalhook/internal/traffic/speed"
)

const (
	// shareHalfLife is the half-life of what a customer got. It is about as long as
	// callers wait, so that a burst counts while its requests can still hold up those
	// of others, and not for longer.
	shareHalfLife = 5 * time.Second
	// shortageMs is the waiting work for each engine, in ms, from which customers
	// are held to their shares: as much work may precede a request on an engine.
	shortageMs = maxBacklogMs
	// bandsPerLevel is the number of bands into which the work of one level beyond
	// the share is divided. Within a band, requests keep the order without shares, so
	// that deadlines and cached prompt parts still count.
	bandsPerLevel = 4
	maxBand       = 1 << 20
	// shareTolerance is the multiple of the level up to which a customer counts as
	// within its share. At 1, ten equal customers that differ by chance were held to
	// their shares, and 40% instead of 48% of their requests met their target at 1.5
	// times the load that the engines can serve; at 2, a burst of one customer took
	// 0.47 instead of 0.40 of what it asked for.
	shareTolerance = 1.5
	// maxOverShareWait is the share of the caller's timeout that the expected wait of
	// a request over its customer's share may reach. It is below maxExpectedWaitShare,
	// since the wait grows with every request of customers within their share.
	maxOverShareWait = 0.3
	// maxReturnShare is the share of the time left of a caller that Retry-After may
	// reach: callers return too early if it is longer.
	maxReturnShare = 1.0 / 3
	// minUsedRoom is the share of the engines' room from which requests may be
	// refused for an overload.
	minUsedRoom = 0.5
	// negligibleWork is the work in ms below which an account is deleted.
	negligibleWork = 1.0
	// sweepInterval is the time between two searches for negligible accounts.
	sweepInterval = 10 * time.Second
)

// backlog is the waiting work of one customer in a tier of a pool, and what it runs.
type backlog struct {
	work     float64 // ms, of all its waiting requests
	requests int
	// running is the number of running requests, whose charge is corrected at their end.
	running int
	// nextReturn is when the next refused request of the customer may come back, so
	// that the promised requests do not exceed its share.
	nextReturn time.Time
}

type account = fair.Account[backlog]

// tierShares holds what the customers of one tier of a pool got lately.
type tierShares struct {
	*fair.Shares[backlog]
	// level is the work in ms per weight up to which customers are within their
	// share; it is infinite without a shortage.
	level float64
}

// ShareCounts counts the decisions that were made because of customers' shares.
type ShareCounts struct {
	Refused  int64 `json:"refused"`  // requests over the share of their customer
	Promised int64 `json:"promised"` // refused requests that were promised room
	Returned int64 `json:"returned"` // promised requests that came back
}

// Add adds the counts of another scheduler.
func (c *ShareCounts) Add(o ShareCounts) {
	c.Refused += o.Refused
	c.Promised += o.Promised
	c.Returned += o.Returned
}

// WithShares makes the customers of a tier share the engines by predicted work while
// requests wait, and refuses requests of customers over their share first.
func WithShares() Option { return func(s *Scheduler) { s.promises = newPromises() } }

// Shares returns the counts of decisions because of shares.
func (s *Scheduler) Shares() ShareCounts { return s.shareCounts }

// sharesOf returns the shares of a tier, or nil if customers have none.
func (s *Scheduler) sharesOf(p *pool, tier quetzalhook.Tier) *tierShares {
	if s.promises == nil {
		return nil
	}
	t := p.shares[tier]
	if t == nil {
		if p.shares == nil {
			p.shares = make(map[quetzalhook.Tier]*tierShares)
		}
		t = &tierShares{Shares: fair.New[backlog](shareHalfLife), level: math.Inf(1)}
		p.shares[tier] = t
	}
	return t
}

// openAccount sets the account of a new request.
func (s *Scheduler) openAccount(r *requestState) {
	if r.shares = s.sharesOf(r.pool, r.request.Class.Tier()); r.shares != nil {
		r.account = r.shares.Open(r.request.Customer)
		r.account.SetWeight(r.request.Weight)
	}
}

// waitingWork returns the waiting work of the request's customer.
func (r *requestState) waitingWork() float64 {
	if r.account == nil {
		return 0
	}
	return r.account.Value.work
}

// recallPromise sets whether a submitted request was promised room. A stream that is
// moved has room already, at the engine that it leaves.
func (s *Scheduler) recallPromise(now time.Time, r *requestState) {
	if s.promises == nil {
		return
	}
	if r.request.Moving {
		r.isPromised, r.band = true, 0
	} else if s.promises.take(now, promiseKey(r.request)) {
		r.isPromised, r.band = true, 0
		s.shareCounts.Returned++
	}
}

// charge adds the expected work of a started request to the account of its customer.
func (r *requestState) charge(now time.Time) {
	if r.account != nil {
		r.charged = r.expectedWork()
		r.shares.Charge(now, r.account, r.charged)
	}
}

// settle corrects the charge at the end of an attempt to the work that it caused.
func (r *requestState) settle(now time.Time, end quetzalhook.AttemptEnd) {
	if r.account == nil {
		return
	}
	work := r.charged + float64(max(end.Tokens, r.outputTokens)-predictedOutput(r.request))*speed.PriorRequestStepMs
	if end.Verdict.NotRun {
		work = 0
	}
	r.shares.Charge(now, r.account, max(work, 0)-r.charged)
}

// bandAfter returns how far a customer is over its share with a request that follows
// the given work of its own; 0 means that it is within its share.
func (r *requestState) bandAfter(now time.Time, preceding float64) int {
	if r.account == nil || r.isPromised || math.IsInf(r.shares.level, 1) {
		return 0
	}
	own := r.shares.Service(now, r.account) + preceding/r.account.Weight()
	if own <= shareTolerance*r.shares.level {
		return 0
	}
	return 1 + int(min((own/r.shares.level-shareTolerance)*bandsPerLevel, maxBand))
}

// updateShares computes the levels of a pool's tiers and the bands of its waiting
// requests.
func (p *pool) updateShares(now time.Time) {
	for _, t := range p.shares {
		t.level = math.Inf(1)
		if len(p.waiting.requests) > 0 {
			t.level = t.Level(now, func(a *account) float64 { return a.Value.work }, shortageMs*float64(len(p.engines)))
		}
	}
	preceding := make(map[*account]float64)
	p.waiting.sort(now, func(r *requestState) {
		r.band = r.bandAfter(now, preceding[r.account])
		preceding[r.account] += r.expectedWork()
	})
}

// sweepShares deletes the accounts of customers that use nothing.
func (p *pool) sweepShares(now time.Time) {
	for _, t := range p.shares {
		t.Sweep(now, negligibleWork, func(a *account) bool {
			return a.Value.requests > 0 || a.Value.running > 0 || now.Before(a.Value.nextReturn)
		})
	}
}

// isShort reports whether requests may be refused for an overload: others wait, and
// the engines in a scope use at least half of their slots or of the memory for
// requests.
func (p *pool) isShort(now time.Time, scope quetzalhook.Scope) bool {
	if len(p.waiting.requests) == 0 {
		return false
	}
	used, engines := 0.0, 0
	for _, e := range p.engines {
		if scope.Allows(e.info.Region, e.info.Build) {
			e.advance(now)
			used += e.usedRoom()
			engines++
		}
	}
	return used >= minUsedRoom*float64(engines)
}

// usedRoom returns the share of an engine's slots, or of its memory for requests,
// that is in use, whichever is larger.
func (e *engine) usedRoom() float64 {
	if e.info.Slots <= 0 && e.info.MemoryTokens <= 0 {
		return 1 // not known
	}
	used := 0.0
	if e.info.Slots > 0 {
		used = (float64(len(e.running)) + e.foreign) / float64(e.info.Slots)
	}
	if e.info.MemoryTokens > 0 {
		used = max(used, float64(e.memory)/(maxMemoryShare*float64(e.info.MemoryTokens)))
	}
	return min(used, 1)
}

// overShareWait returns the expected wait of a request that follows the given work of
// its customer, if the customer is over its share, or 0. It waits no longer than for
// the work ahead of it in the queue: engines are not left idle to hold a customer to
// its share.
func (r *requestState) overShareWait(now time.Time, preceding float64, ahead time.Duration) time.Duration {
	if r.account == nil || r.isPromised {
		return 0
	}
	return min(r.shares.Wait(now, r.account, preceding, shareTolerance*r.shares.level), ahead)
}

// refuseOverShare refuses the waiting requests of a pool that are over their
// customer's share and cannot start in time any more. They are told before most of
// their time has passed.
func (s *Scheduler) refuseOverShare(now time.Time, p *pool) {
	if !p.isShort(now, quetzalhook.Scope{}) {
		return
	}
	preceding := make(map[*account]float64)
	ahead := 0.0 // work of all requests that are served before
	kept := p.waiting.requests[:0:0]
	for _, r := range p.waiting.requests {
		wait := r.overShareWait(now, preceding[r.account], p.waitFor(ahead))
		if r.band > 0 && r.mayNotWait(now, wait, maxExpectedWaitShare) {
			s.waiting--
			delete(s.requests, r.request.ID)
			p.waiting.forget(r)
			s.refuseShare(now, r, wait)
			continue
		}
		kept = append(kept, r)
		preceding[r.account] += r.expectedWork()
		ahead += r.expectedWork()
	}
	p.waiting.requests = kept
}

// mayNotWait reports whether a request would have waited for more than a share of its
// caller's timeout after a further wait.
func (r *requestState) mayNotWait(now time.Time, wait time.Duration, share float64) bool {
	return r.request.CallerTimeout > 0 && now.Add(wait).Sub(r.submitted) > time.Duration(share*float64(r.request.CallerTimeout))
}

// refuseShare refuses a request that is over its customer's share. It is promised
// room if it may come back before its caller gives up.
func (s *Scheduler) refuseShare(now time.Time, r *requestState, wait time.Duration) {
	due := now.Add(max(wait, minRetryAfter))
	if due.Before(r.account.Value.nextReturn) {
		due = r.account.Value.nextReturn
	}
	retryAfter, limit := due.Sub(now), r.maxReturn(now)
	if retryAfter <= limit {
		if s.promises.add(promiseKey(r.request), due) {
			perMs := r.shares.Rate(r.shares.level) * r.account.Weight()
			gap := min(r.expectedWork()/perMs, milliseconds(maxRetryAfter))
			r.account.Value.nextReturn = due.Add(time.Duration(gap * float64(time.Millisecond)))
			s.shareCounts.Promised++
		}
	} else {
		// The later there will be room, the closer to the limit, so that those that
		// used less come back first.
		retryAfter = limit - time.Duration(float64(limit)*float64(limit)/(4*float64(retryAfter)))
	}
	s.shareCounts.Refused++
	s.refuseFor(r, quetzalhook.RefuseShare, retryAfter)
}

// maxReturn returns the longest Retry-After that the caller of a request honours.
func (r *requestState) maxReturn(now time.Time) time.Duration {
	if r.request.CallerTimeout <= 0 {
		return maxRetryAfter
	}
	left := max(r.request.CallerTimeout-now.Sub(r.submitted), time.Millisecond)
	return min(time.Duration(maxReturnShare*float64(left)), maxRetryAfter)
}
