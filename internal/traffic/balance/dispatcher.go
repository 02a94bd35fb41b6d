package balance

import (
	"context"
	"slices"
	"sync"
	"time"

	"quetzalhook"
)

const (
	// retryPause is the pause before a call is offered again that every upstream
	// has refused.
	retryPause = 20 * time.Millisecond
	// refuseAfter is the part of a request's target for which a call waits while
	// all upstreams refuse it.
	refuseAfter = 0.5
	// comeBack is what a refused caller is told to wait.
	comeBack = 250 * time.Millisecond
)

// Dispatcher runs a Balancer for concurrent requests. It implements
// quetzalhook.Dispatcher and is safe for concurrent use.
type Dispatcher struct {
	clock  quetzalhook.Clock
	budget Budget

	mu       sync.Mutex
	balancer *Balancer
}

// Budget bounds the calls beyond the first of each request.
type Budget interface {
	// Count records a request.
	Count(now time.Time, service string)
	// Take reports whether one more call may be sent.
	Take(now time.Time, service string) bool
}

// NewDispatcher returns a dispatcher that runs b.
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
	d.budget.Count(now, r.Service)
	return &ticket{dispatcher: d, request: r, since: now}
}

// ticket is one request.
type ticket struct {
	dispatcher *Dispatcher
	request    quetzalhook.Request
	since      time.Time
	sent       int // calls so far
	ran        int // upstreams that may have run the request
	tried      []quetzalhook.UpstreamID
	current    quetzalhook.UpstreamID
}

// Next implements quetzalhook.Ticket.
func (t *ticket) Next(ctx context.Context) (quetzalhook.Attempt, error) {
	for {
		u, ok, err := t.choose()
		if ok || err != nil {
			return quetzalhook.Attempt{Upstream: u}, err
		}
		t.tried = nil // all have refused; offer it again to each
		timer := time.NewTimer(retryPause)
		select {
		case <-ctx.Done():
			timer.Stop()
			return quetzalhook.Attempt{}, context.Cause(ctx)
		case <-timer.C:
		}
	}
}

func (t *ticket) choose() (quetzalhook.Upstream, bool, error) {
	d := t.dispatcher
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if t.request.Attempts > 0 && t.ran >= t.request.Attempts {
		return quetzalhook.Upstream{}, false, &quetzalhook.Refusal{Kind: quetzalhook.RefuseRetryBudget}
	}
	u, ok := d.balancer.Choose(now, t.request.Service, t.tried)
	if !ok {
		limit := time.Duration(refuseAfter * float64(t.request.Class.TTFTTarget()))
		if len(t.tried) == 0 || now.Sub(t.since) >= limit {
			return quetzalhook.Upstream{}, false, &quetzalhook.Refusal{Kind: quetzalhook.RefuseOverload, RetryAfter: comeBack}
		}
		return quetzalhook.Upstream{}, false, nil
	}
	if t.sent > 0 && !d.budget.Take(now, t.request.Service) {
		return quetzalhook.Upstream{}, false, &quetzalhook.Refusal{Kind: quetzalhook.RefuseRetryBudget, RetryAfter: comeBack}
	}
	t.sent++
	t.current = u.ID
	d.balancer.Started(u.ID)
	return u, true, nil
}

// Observe implements quetzalhook.Ticket; loads are taken from ended requests.
func (t *ticket) Observe(quetzalhook.Verdict) {}

// Progress implements quetzalhook.Ticket; plain services have none.
func (t *ticket) Progress(int) {}

// End implements quetzalhook.Ticket.
func (t *ticket) End(e quetzalhook.AttemptEnd) {
	if t.current == "" {
		return
	}
	d := t.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	d.balancer.Ended(d.clock.Now(), t.current, e)
	if e.End == quetzalhook.EndBroken {
		t.ran++
	}
	if !slices.Contains(t.tried, t.current) {
		t.tried = append(t.tried, t.current)
	}
	t.current = ""
}

// Close implements quetzalhook.Ticket.
func (t *ticket) Close() { t.End(quetzalhook.AttemptEnd{End: quetzalhook.EndCallerGone}) }
