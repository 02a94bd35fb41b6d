package dispatcher

import (
	"context"
	"slices"
	"time"

	"quetzalhook"
)

// maxUnusable bounds the assignments of one attempt to upstreams that this
// host knows to be leaving; the leader learns of them soon after.
const maxUnusable = 4

// comeBack is what callers are told to wait whose request was not repeated.
const comeBack = 300 * time.Millisecond

// ticket is one request of this host.
type ticket struct {
	dispatcher *Dispatcher
	request    quetzalhook.Request
	since      time.Time
	patience   time.Duration
	sent       int // attempts so far
	ran        int // upstreams that may have run the request

	// The following are guarded by the dispatcher's mutex.
	current  quetzalhook.UpstreamID
	tokens   int
	reported time.Time
	seen     int // requests at the engine, not reported yet
}

// Submit implements quetzalhook.Dispatcher.
func (d *Dispatcher) Submit(_ context.Context, r quetzalhook.Request) quetzalhook.Ticket {
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	t := &ticket{dispatcher: d, request: r, since: now, patience: r.Patience}
	if r.Repeat {
		t.sent = 1
	} else {
		d.budget.Count(now, r.Service)
	}
	return t
}

// Next implements quetzalhook.Ticket.
func (t *ticket) Next(ctx context.Context) (quetzalhook.Attempt, error) {
	if err := t.mayTry(); err != nil {
		return quetzalhook.Attempt{}, err
	}
	for range maxUnusable {
		if t.patience > 0 {
			t.request.Patience = max(t.patience-t.dispatcher.clock.Now().Sub(t.since), time.Millisecond)
		}
		c, err := t.dispatcher.assign(ctx, t.request)
		if err != nil {
			t.dispatcher.groups.forget(t.request.ID)
			return quetzalhook.Attempt{}, err
		}
		if c.refusal != nil {
			return quetzalhook.Attempt{}, c.refusal
		}
		t.start(c.attempt)
		if t.dispatcher.settings.Usable(c.attempt.Upstream) {
			t.sent++
			return c.attempt, nil
		}
		t.End(quetzalhook.AttemptEnd{End: quetzalhook.EndNotSent})
	}
	return quetzalhook.Attempt{}, &quetzalhook.Refusal{Kind: quetzalhook.RefuseNoUpstream, RetryAfter: comeBack}
}

// mayTry reports whether one more attempt is allowed.
func (t *ticket) mayTry() error {
	if t.sent == 0 {
		return nil
	}
	if t.request.Attempts > 0 && t.ran >= t.request.Attempts {
		return &quetzalhook.Refusal{Kind: quetzalhook.RefuseRetryBudget}
	}
	d := t.dispatcher
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.budget.Take(now, t.request.Service) {
		return &quetzalhook.Refusal{Kind: quetzalhook.RefuseRetryBudget, RetryAfter: comeBack}
	}
	return nil
}

// start notes that the request runs. The own desk learns of it as well, for
// the case that the leader is lost.
func (t *ticket) start(a quetzalhook.Attempt) {
	d := t.dispatcher
	d.mu.Lock()
	t.current, t.tokens, t.reported = a.Upstream.ID, 0, time.Time{}
	d.tickets[t.request.ID] = t
	d.mu.Unlock()
	d.groups.desk(d.groups.of(a.Upstream.ID)).adopt(d.settings.Host, t.request, a.Upstream.ID, 0)
}

// Observe implements quetzalhook.Ticket. The leader learns of it with the next
// event.
func (t *ticket) Observe(v quetzalhook.Verdict) {
	if !v.HasLoad {
		return
	}
	d := t.dispatcher
	d.mu.Lock()
	t.seen = v.Running + v.Waiting
	current := t.current
	d.mu.Unlock()
	d.groups.desk(d.groups.of(current)).observe(t.request.ID, v.Running+v.Waiting)
}

// Progress implements quetzalhook.Ticket.
func (t *ticket) Progress(tokens int) {
	d := t.dispatcher
	now := d.clock.Now()
	d.mu.Lock()
	first := t.tokens == 0
	t.tokens = tokens
	due := first || now.Sub(t.reported) >= progressInterval
	if !due {
		d.mu.Unlock()
		return
	}
	group := d.groups.of(t.current)
	d.events[group] = append(d.events[group], event{ID: t.request.ID, Tokens: tokens, Seen: t.seen})
	t.reported, t.seen = now, 0
	d.mu.Unlock()
	d.groups.desk(group).progress(t.request.ID, tokens)
}

// End implements quetzalhook.Ticket.
func (t *ticket) End(e quetzalhook.AttemptEnd) {
	d := t.dispatcher
	d.mu.Lock()
	current := t.current
	t.current = ""
	delete(d.tickets, t.request.ID)
	group := d.groups.of(current)
	if current != "" {
		d.events[group] = append(d.events[group], event{
			ID: t.request.ID, Tokens: e.Tokens, End: e.End, NotRun: e.Verdict.NotRun, Failed: e.Verdict.Failed, Moved: e.Verdict.Moved,
		})
	}
	d.mu.Unlock()
	if current == "" {
		return
	}
	d.groups.desk(group).end(t.request.ID, e)
	if e.End == quetzalhook.EndBroken {
		t.ran++
	}
	if !slices.Contains(t.request.Tried, current) {
		t.request.Tried = append(t.request.Tried, current)
	}
}

// Close implements quetzalhook.Ticket.
func (t *ticket) Close() { t.End(quetzalhook.AttemptEnd{End: quetzalhook.EndCallerGone}) }
