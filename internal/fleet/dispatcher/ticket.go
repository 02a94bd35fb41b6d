package dispatcher

import (
	"context"
	"math"
	"slices"
	"time"

	"quetzalhook"
	"quetzalhook/internal/state/timing"
	"quetzalhook/internal/traffic/notice"
	"quetzalhook/internal/traffic/throttle"
)

// maxUnusable bounds how often one call of Next accepts an assignment to an
// upstream that this host may no longer send to. Such assignments occur only
// until the leader knows that the upstream is not usable.
const maxUnusable = 4

// maxBarred bounds the assignments to upstreams that this host may not use since they
// pause or leave. A request waits for the end of a pause with the leader, and then may
// have to wait for some steps of the return.
const maxBarred = 16

// maxForbidden bounds the assignments to upstreams outside the newest scope of the request.
// Each later one was made after the host had told the leader the scope; more occur only if
// the leader does not know of regions or builds.
const maxForbidden = 3

// maxLate bounds the assignments to cold upstreams that arrive too late to be sent. Each
// uses one of the few starts of its upstream. From the latePauseAfter-th on, the host waits
// for latePause before it asks again.
const (
	maxLate        = 4
	latePauseAfter = 2
	latePause      = 50 * time.Millisecond
)

// maxPauseRetryAfter bounds the wait that a refusal suggests while all upstreams
// pause.
const maxPauseRetryAfter = 10 * time.Second

// retryAfter is the wait that a refusal suggests to the caller when the request
// was not retried.
const retryAfter = 300 * time.Millisecond

// ticket is a submitted request of this host. It implements quetzalhook.Ticket.
type ticket struct {
	dispatcher    *Dispatcher
	request       quetzalhook.Request
	submittedAt   time.Time
	callerTimeout time.Duration
	attempts      int // so far, but for those that were never sent; a repeated request starts with 1, for that of the original one
	unsent        int // attempts that were never sent
	toldUnreached bool
	possibleRuns  int // broken attempts, whose upstream may have run the request

	takenAt time.Time // when the current attempt was taken from the retry budget; zero if it was not

	// The fields below are guarded by Dispatcher.mu.
	current        quetzalhook.UpstreamID
	started        int64     // start of the current upstream
	tokens         int       // output tokens received
	reportedAt     time.Time // when the last progress event was added
	engineRequests int       // last number that the engine has reported, until sent to the leader; 0 if none
	workPercent    int       // last work time that the engine has told, until sent to the leader; 0 if none
	rateLimit      float64   // last limit that the engine has named, until sent to the leader; 0 if none
}

// Submit implements quetzalhook.Dispatcher.
func (d *Dispatcher) Submit(_ context.Context, r quetzalhook.Request) quetzalhook.Ticket {
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	t := &ticket{dispatcher: d, request: r, submittedAt: now, callerTimeout: r.CallerTimeout}
	if r.Repeat {
		t.attempts = 1
	} else {
		d.budget.Count(now, r.Service)
	}
	return t
}

// Next implements quetzalhook.Ticket.
func (t *ticket) Next(ctx context.Context) (quetzalhook.Attempt, error) {
	takenAt, err := t.takeRetry()
	if err != nil {
		return quetzalhook.Attempt{}, err
	}
	t.takenAt = takenAt
	a, err := t.next(ctx)
	if err != nil {
		t.returnRetry()
	}
	return a, err
}

// returnRetry gives the current attempt back to the retry budget, if it was taken from it.
func (t *ticket) returnRetry() {
	if t.takenAt.IsZero() {
		return
	}
	d := t.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	d.budget.Return(d.clock.Now(), t.takenAt, t.request.Service)
	t.takenAt = time.Time{}
}

// next obtains an attempt that the retry budget allows.
func (t *ticket) next(ctx context.Context) (quetzalhook.Attempt, error) {
	unusable, barred, forbidden, late := 0, 0, 0, 0
	var forbiddenKind quetzalhook.RefuseKind
	for unusable < maxUnusable && barred < maxBarred && forbidden < maxForbidden && late < maxLate {
		t.request.UpdateScope()
		unreached := false
		t.request.Barred, unreached = t.dispatcher.barred()
		if t.callerTimeout > 0 {
			t.request.CallerTimeout = max(t.callerTimeout-t.dispatcher.clock.Now().Sub(t.submittedAt), time.Millisecond)
		}
		c, err := t.dispatcher.assign(ctx, t.request)
		if err != nil {
			t.dispatcher.groups.cancel(t.request.ID)
			return quetzalhook.Attempt{}, err
		}
		if c.refusal != nil && c.refusal.Kind == quetzalhook.RefusePause && unreached && !t.toldUnreached {
			t.toldUnreached = true
			return quetzalhook.Attempt{}, &quetzalhook.Refusal{Kind: quetzalhook.RefuseUnreached, RetryAfter: retryAfter}
		}
		if c.refusal != nil && c.refusal.Kind == quetzalhook.RefusePause && t.maySleep(c.refusal.RetryAfter) {
			if !timing.Sleep(ctx, c.refusal.RetryAfter) {
				return quetzalhook.Attempt{}, context.Cause(ctx)
			}
			barred++
			continue
		}
		if c.refusal != nil {
			return quetzalhook.Attempt{}, t.honourable(c.refusal)
		}
		t.start(c.attempt)
		// From here on a sync may encode the request, so that it is not changed.
		scope := t.request.NewestScope()
		switch t.dispatcher.use(c, scope) {
		case mayUse:
			t.attempts++
			t.charge()
			if c.attempt.Cold {
				c.attempt.SendBy = c.decidedAt.Add(throttle.SendTime)
			}
			return c.attempt, nil
		case isBarred:
			// The engine has not failed, and may be used later.
			t.end(quetzalhook.AttemptEnd{End: quetzalhook.EndCallerGone})
			barred++
		case isLate:
			// The request has not run, and its customer is not charged. Another engine is
			// preferred.
			t.End(quetzalhook.AttemptEnd{End: quetzalhook.EndNotSent, Verdict: quetzalhook.Verdict{NotRun: true}})
			if late++; late >= latePauseAfter && late < maxLate && !timing.Sleep(ctx, latePause) {
				return quetzalhook.Attempt{}, context.Cause(ctx)
			}
		case isEvacuated:
			// Another engine is tried, and this one has not failed.
			t.End(quetzalhook.AttemptEnd{End: quetzalhook.EndNotSent, Verdict: quetzalhook.Verdict{NotRun: true}})
			barred++
		case isForbidden:
			t.end(quetzalhook.AttemptEnd{End: quetzalhook.EndCallerGone})
			forbidden++
			forbiddenKind = quetzalhook.RefuseBuild
			if !scope.Regions.Allows(c.attempt.Upstream.Region) {
				forbiddenKind = quetzalhook.RefuseRegion
			}
		case isUnusable:
			t.End(quetzalhook.AttemptEnd{End: quetzalhook.EndNotSent})
			unusable++
		}
	}
	if forbidden == maxForbidden {
		return quetzalhook.Attempt{}, quetzalhook.ScopeRefusal(forbiddenKind, t.request.CallerTimeout)
	}
	if barred == maxBarred || late == maxLate {
		return quetzalhook.Attempt{}, &quetzalhook.Refusal{Kind: quetzalhook.RefuseOverload, RetryAfter: retryAfter}
	}
	return quetzalhook.Attempt{}, &quetzalhook.Refusal{Kind: quetzalhook.RefuseNoUpstream, RetryAfter: retryAfter}
}

// maxPauseShare is the share of the time left of its caller for which a request waits
// until the pause of all its upstreams ends.
const maxPauseShare = 0.5

// maySleep reports whether a request can wait for d and still be served.
func (t *ticket) maySleep(d time.Duration) bool {
	return d <= maxPauseRetryAfter && (t.callerTimeout == 0 || float64(d) <= maxPauseShare*float64(t.request.CallerTimeout))
}

// honourable returns a refusal whose wait its caller honours: at most a third of the
// time that the caller has left.
func (t *ticket) honourable(r *quetzalhook.Refusal) *quetzalhook.Refusal {
	if r.Kind != quetzalhook.RefusePause {
		return r
	}
	wait := min(r.RetryAfter, maxPauseRetryAfter)
	if t.callerTimeout > 0 {
		wait = min(wait, t.request.CallerTimeout/3)
	}
	return &quetzalhook.Refusal{Kind: quetzalhook.RefuseOverload, RetryAfter: max(wait, retryAfter)}
}

// use is whether a host may use an upstream.
type use int

const (
	mayUse      use = iota
	isBarred        // it leaves or pauses, by its own word, could not be reached, or is cold and the request not counted
	isLate          // it is cold, and the request was counted for an earlier time
	isEvacuated     // its zone is evacuated, which the host that has placed it there does not know
	isForbidden     // the request may not run in its region, or at its build
	isUnusable      // it is gone
)

// use returns whether this host may send a request of a scope to an upstream now, whoever has placed it there. It counts the request if so.
func (d *Dispatcher) use(c decision, scope quetzalhook.Scope) use {
	u, now := c.attempt.Upstream, d.clock.Now()
	switch left := d.settings.Starts.Left(now, u.ID); {
	case d.settings.Evacuated(u.Zone):
		return isEvacuated
	case !scope.Allows(u.Region, u.Build):
		return isForbidden
	case !d.settings.Usable(u):
		return isUnusable
	case c.attempt.Cold && now.Sub(c.decidedAt) >= throttle.SendTime:
		return isLate
	case !c.attempt.Cold && left > 0:
		// The host that has placed it there does not know.
		d.addEvent(d.groups.groupOf(u.ID), event{Cold: []coldNotice{{Upstream: u.ID, Started: u.Started, For: left}}})
		return isBarred
	case d.settings.Reach.Avoids(now, u.ID, u.Started), !d.settings.Notices.Take(now, u.ID, u.Started):
		return isBarred
	}
	return mayUse
}

// maxUnsent bounds the attempts of a request that are never sent. The retry budget does
// not bound them.
const maxUnsent = 8

// barred returns the engines to which this host may or should send no request now, and
// whether it does not reach some of them.
func (d *Dispatcher) barred() (list []quetzalhook.Bar, unreached bool) {
	now := d.clock.Now()
	notReached := d.settings.Reach.Barred(now)
	return append(d.settings.Notices.Barred(now), notReached...), len(notReached) > 0
}

// takeRetry takes an attempt from the retry budget. The first attempt of a request that is
// sent always is allowed and takes nothing; the time is zero then.
func (t *ticket) takeRetry() (takenAt time.Time, err error) {
	if t.unsent >= maxUnsent {
		return takenAt, &quetzalhook.Refusal{Kind: quetzalhook.RefuseNoUpstream, RetryAfter: retryAfter}
	}
	if t.attempts == 0 {
		return takenAt, nil
	}
	if t.request.Attempts > 0 && t.possibleRuns >= t.request.Attempts {
		return takenAt, &quetzalhook.Refusal{Kind: quetzalhook.RefuseRetryBudget}
	}
	d := t.dispatcher
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.budget.Take(now, t.request.Service) {
		return takenAt, &quetzalhook.Refusal{Kind: quetzalhook.RefuseRetryBudget, RetryAfter: retryAfter}
	}
	return now, nil
}

// start records that the request runs on an upstream. The local scheduler
// records it too, so that it knows the request if the leader fails.
func (t *ticket) start(a quetzalhook.Attempt) {
	d := t.dispatcher
	d.mu.Lock()
	t.current, t.started, t.tokens, t.reportedAt = a.Upstream.ID, a.Upstream.Started, 0, time.Time{}
	d.tickets[t.request.ID] = t
	d.mu.Unlock()
	d.groups.scheduler(d.groups.groupOf(a.Upstream.ID)).adopt(d.settings.Host, t.request, a.Upstream.ID, 0)
}

// charge counts the request, which is about to be sent, as usage of its customer.
func (t *ticket) charge() {
	d := t.dispatcher
	if d.settings.Shortage {
		d.groups.scheduler(d.groups.groupOf(t.current)).chargeOwn(t.request)
	}
}

// notice records what the answer of the current upstream asks of this host, and
// reports that it leaves to the leader.
func (t *ticket) notice(v quetzalhook.Verdict) {
	d := t.dispatcher
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if t.current == "" {
		return
	}
	group := d.groups.groupOf(t.current)
	if v.ColdFor > 0 {
		d.settings.Starts.Observe(now, t.current, t.started, v.ColdFor)
		d.events[group] = append(d.events[group], event{Cold: []coldNotice{{Upstream: t.current, Started: t.started, For: v.ColdFor}}})
	}
	if !d.settings.Notices.Observe(now, t.current, t.started, v) {
		return
	}
	d.events[group] = append(d.events[group], event{Left: []notice.Left{{Upstream: t.current, Started: t.started}}})
}

// Observe implements quetzalhook.Ticket. The next event reports the observed load
// and limit to the leader.
func (t *ticket) Observe(v quetzalhook.Verdict) {
	t.notice(v)
	requests := 0
	if v.HasLoad {
		requests = max(v.Running+v.Waiting, 1) // including this one
	}
	d := t.dispatcher
	d.mu.Lock()
	t.engineRequests, t.rateLimit, t.workPercent = requests, v.RateLimit, int(math.Round(100*v.WorkTime))
	current := t.current
	d.mu.Unlock()
	d.groups.scheduler(d.groups.groupOf(current)).observe(t.request.ID, requests, v.RateLimit, v.WorkTime)
}

// addObserved adds the observed load, limit and work time that were not sent to the
// leader yet to an event. The caller holds Dispatcher.mu.
func (t *ticket) addObserved(e event) event {
	e.EngineRequests, e.RateLimit, e.WorkPercent = t.engineRequests, t.rateLimit, t.workPercent
	t.engineRequests, t.rateLimit, t.workPercent = 0, 0, 0
	return e
}

// Progress implements quetzalhook.Ticket.
func (t *ticket) Progress(tokens int) {
	d := t.dispatcher
	now := d.clock.Now()
	d.mu.Lock()
	first := t.tokens == 0
	t.tokens = tokens
	due := first || now.Sub(t.reportedAt) >= progressInterval
	if !due {
		d.mu.Unlock()
		return
	}
	group := d.groups.groupOf(t.current)
	d.events[group] = append(d.events[group], t.addObserved(event{ID: t.request.ID, Tokens: tokens}))
	t.reportedAt = now
	d.mu.Unlock()
	d.groups.scheduler(group).progress(t.request.ID, tokens)
}

// End implements quetzalhook.Ticket.
func (t *ticket) End(e quetzalhook.AttemptEnd) {
	current := t.end(e)
	if current == "" {
		return
	}
	if e.End == quetzalhook.EndBroken {
		t.possibleRuns++
	}
	if e.Unsent {
		t.attempts--
		t.unsent++
		t.returnRetry()
	}
	if !slices.Contains(t.request.Tried, current) {
		t.request.Tried = append(t.request.Tried, current)
	}
}

// end ends the current attempt and returns its upstream, or "" if there is none.
func (t *ticket) end(e quetzalhook.AttemptEnd) quetzalhook.UpstreamID {
	d := t.dispatcher
	if e.Verdict.NotRun && e.Verdict.RateLimit > 0 {
		t.Observe(e.Verdict)
	} else {
		t.notice(e.Verdict)
	}
	d.mu.Lock()
	current := t.current
	t.current = ""
	delete(d.tickets, t.request.ID)
	group := d.groups.groupOf(current)
	if current != "" {
		d.events[group] = append(d.events[group], t.addObserved(event{
			ID: t.request.ID, Tokens: e.Tokens, End: e.End, NotRun: e.Verdict.NotRun, Failed: e.Verdict.Failed, Moved: e.Verdict.Moved, Lost: e.Lost, Unsent: e.Unsent, NoPath: e.NoPath, Relieved: e.Relieved,
		}))
	}
	d.mu.Unlock()
	if current != "" {
		d.groups.scheduler(group).end(t.request.ID, e)
	}
	return current
}

// Close implements quetzalhook.Ticket.
func (t *ticket) Close() { t.End(quetzalhook.AttemptEnd{End: quetzalhook.EndCallerGone}) }
