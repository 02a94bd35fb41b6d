package balance

import (
	"context"
	"slices"
	"sync"
	"time"

	"quetzalhook"
	"quetzalhook/internal/traffic/speed"
	"quetzalhook/internal/traffic/throttle"
)

const (
	// retryPause is the pause before a call that every upstream has refused is
	// sent again.
	retryPause = 20 * time.Millisecond
	// maxWaitShare is the share of a request's TTFT target for which a call is
	// retried while all upstreams refuse it.
	maxWaitShare = 0.5
	// refusalRetryAfter is the RetryAfter of refusals.
	refusalRetryAfter = 250 * time.Millisecond
	// evacuatedRetryAfter bounds the RetryAfter while all upstreams are in evacuated zones.
	evacuatedRetryAfter = 3 * time.Second
	// maxUnsent bounds the calls of a request that are never sent. The retry budget does
	// not bound them.
	maxUnsent = 8
	// maxRetryAfter bounds the RetryAfter of a refusal while all upstreams pause, and
	// honouredShare is the part of their time for which callers wait as it tells
	// them: one third.
	maxRetryAfter = 10 * time.Second
	honouredShare = 3
)

// Dispatcher makes a Balancer usable for concurrent requests. It implements
// quetzalhook.Dispatcher and is safe for concurrent use.
type Dispatcher struct {
	clock  quetzalhook.Clock
	budget Budget

	mu       sync.Mutex
	balancer *Balancer
	speeds   []speed.Report // as of speedsAt; see Speeds
	speedsAt time.Time
}

// Budget bounds the retries, which are the calls after the first of each request.
type Budget interface {
	// Count records a request.
	Count(now time.Time, service string)
	// Take reports whether one more retry may be sent, and takes it from the budget.
	Take(now time.Time, service string) bool
	// Return gives back a retry that was taken at the given time and not sent.
	Return(now, takenAt time.Time, service string)
}

// NewDispatcher returns a dispatcher that chooses upstreams with b.
func NewDispatcher(b *Balancer, budget Budget, clock quetzalhook.Clock) *Dispatcher {
	return &Dispatcher{clock: clock, budget: budget, balancer: b}
}

// SetUpstreams replaces the upstreams.
func (d *Dispatcher) SetUpstreams(list []quetzalhook.Upstream) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.balancer.SetUpstreams(list)
}

// Submit implements quetzalhook.Dispatcher.
func (d *Dispatcher) Submit(_ context.Context, r quetzalhook.Request) quetzalhook.Ticket {
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	t := &ticket{dispatcher: d, request: r, submitted: now}
	if r.Repeat {
		t.sent = 1
	} else {
		d.budget.Count(now, r.Service)
	}
	return t
}

// ticket is one submitted request.
type ticket struct {
	dispatcher *Dispatcher
	request    quetzalhook.Request
	submitted  time.Time
	sent       int // calls so far, but for those that were never sent
	unsent     int // calls that were never sent
	mayHaveRun int // attempts that may have run the request
	tried      []quetzalhook.UpstreamID
	current    quetzalhook.Upstream
	call       call      // on current
	takenAt    time.Time // when current was taken from the retry budget; zero if it was not
}

// Next implements quetzalhook.Ticket.
func (t *ticket) Next(ctx context.Context) (quetzalhook.Attempt, error) {
	for {
		a, ok, err := t.choose()
		if ok || err != nil {
			return a, err
		}
		t.tried = nil // all have refused it; try each again
		timer := time.NewTimer(retryPause)
		select {
		case <-ctx.Done():
			timer.Stop()
			return quetzalhook.Attempt{}, context.Cause(ctx)
		case <-timer.C:
		}
	}
}

func (t *ticket) choose() (quetzalhook.Attempt, bool, error) {
	d := t.dispatcher
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if t.request.Attempts > 0 && t.mayHaveRun >= t.request.Attempts {
		return quetzalhook.Attempt{}, false, &quetzalhook.Refusal{Kind: quetzalhook.RefuseRetryBudget}
	}
	t.request.UpdateScope()
	u, ok := d.balancer.Choose(now, t.request.Service, t.request.Scope(), t.tried)
	if !ok {
		return quetzalhook.Attempt{}, false, t.refusal(now)
	}
	if t.unsent >= maxUnsent {
		return quetzalhook.Attempt{}, false, &quetzalhook.Refusal{Kind: quetzalhook.RefuseNoUpstream, RetryAfter: refusalRetryAfter}
	}
	t.takenAt = time.Time{}
	if t.sent > 0 {
		if !d.budget.Take(now, t.request.Service) {
			return quetzalhook.Attempt{}, false, &quetzalhook.Refusal{Kind: quetzalhook.RefuseRetryBudget, RetryAfter: refusalRetryAfter}
		}
		t.takenAt = now
	}
	t.sent++
	t.current = u
	t.call = call{upstream: u, at: now, load: d.balancer.Started(now, u.ID)}
	a := quetzalhook.Attempt{Upstream: u, Cold: d.balancer.limits.IsCold(now, u.ID)}
	if a.Cold {
		a.SendBy = now.Add(throttle.SendTime)
	}
	return a, true, nil
}

// refusal returns the refusal of a call that no upstream can take now, or nil if it
// waits: for a place, or for the end of a pause as long as its caller would after a
// refusal.
func (t *ticket) refusal(now time.Time) error {
	waited := now.Sub(t.submitted)
	if scope := t.request.Scope(); scope.IsRestricted() && !t.dispatcher.balancer.Serves(t.request.Service, scope) {
		kind := quetzalhook.RefuseRegion
		if t.dispatcher.balancer.Serves(t.request.Service, quetzalhook.Scope{Regions: scope.Regions}) {
			kind = quetzalhook.RefuseBuild
		}
		return quetzalhook.ScopeRefusal(kind, max(t.request.CallerTimeout-waited, 0))
	}
	left := time.Duration(maxWaitShare*float64(t.request.Class.TTFTTarget())) - waited
	if t.dispatcher.balancer.IsEvacuated(t.request.Service, t.request.Scope()) {
		return &quetzalhook.Refusal{Kind: quetzalhook.RefuseEvacuated, RetryAfter: max(refusalRetryAfter, min(evacuatedRetryAfter, (t.request.CallerTimeout-waited)/honouredShare))}
	}
	pause := t.dispatcher.balancer.Wait(now, t.request.Service, t.request.Scope())
	longest := maxRetryAfter
	if t.request.CallerTimeout > 0 {
		longest = min(longest, (t.request.CallerTimeout-waited)/honouredShare)
	}
	if pause > 0 && pause <= longest || pause == 0 && len(t.tried) > 0 && left > 0 {
		return nil
	}
	return &quetzalhook.Refusal{Kind: quetzalhook.RefuseOverload, RetryAfter: max(refusalRetryAfter, min(pause, longest))}
}

// Observe implements quetzalhook.Ticket. End takes the load from the verdict of the
// ended attempt.
func (t *ticket) Observe(v quetzalhook.Verdict) {
	if t.current.ID != "" {
		d := t.dispatcher
		d.mu.Lock()
		defer d.mu.Unlock()
		now := d.clock.Now()
		d.balancer.Answered(now, t.current, v)
		d.balancer.observe(now, &t.call, v)
	}
}

// Progress implements quetzalhook.Ticket; it does nothing, because calls to plain
// services stream no tokens.
func (t *ticket) Progress(int) {}

// End implements quetzalhook.Ticket.
func (t *ticket) End(e quetzalhook.AttemptEnd) {
	if t.current.ID == "" {
		return
	}
	d := t.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	d.balancer.Answered(now, t.current, e.Verdict)
	d.balancer.observeEnd(now, &t.call, e)
	d.balancer.Ended(now, t.current.ID, e)
	if e.End == quetzalhook.EndFinished {
		d.balancer.limits.Answered(now, t.current.ID, t.call.at)
	}
	if e.End == quetzalhook.EndBroken {
		t.mayHaveRun++
	}
	if e.Unsent {
		t.sent--
		t.unsent++
		if !t.takenAt.IsZero() {
			d.budget.Return(now, t.takenAt, t.request.Service)
		}
	}
	if !slices.Contains(t.tried, t.current.ID) {
		t.tried = append(t.tried, t.current.ID)
	}
	t.current = quetzalhook.Upstream{}
}

// Close implements quetzalhook.Ticket.
func (t *ticket) Close() { t.End(quetzalhook.AttemptEnd{End: quetzalhook.EndCallerGone}) }
