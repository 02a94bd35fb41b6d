// Package broker connects a Policy, which is not safe for concurrent use, with
// the goroutines that serve requests.
//
// It calls the policy under a mutex. Each ActionStart of the policy becomes an
// Attempt with its own context, and an ActionCancel ends that context. The
// goroutine of a request waits for its next attempt, runs it and reports how it
// ended.
package broker

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"quetzalhook"
	"quetzalhook/internal/state/chart"
)

// tickInterval is the time between two calls of Policy.Tick.
const tickInterval = 10 * time.Millisecond

// decisionBuffer is the capacity of Ticket.decisions. Since at most one start and
// one refusal of a request are pending, sending never blocks.
const decisionBuffer = 4

// ErrClosed is returned for a request that is submitted after Close.
var ErrClosed = errors.New("broker is closed")

// CancelError is the cause with which the context of an attempt ends when the
// policy cancels the attempt.
type CancelError struct {
	Cause quetzalhook.CancelCause
}

// Error implements error.
func (e *CancelError) Error() string { return "attempt cancelled: " + string(e.Cause) }

// Refusal is the error for a request that the policy refused.
type Refusal struct {
	Kind       quetzalhook.RefuseKind
	Outcome    quetzalhook.Outcome
	RetryAfter time.Duration
}

// Error implements error.
func (e *Refusal) Error() string { return "request refused: " + string(e.Kind) }

// Attempt is one run of a request on an upstream.
type Attempt struct {
	Upstream quetzalhook.UpstreamID
	Offset   int // number of tokens that earlier attempts received
	ctx      context.Context
	cancel   context.CancelCauseFunc
}

// Context returns the context of the attempt. It ends when the context passed to
// Submit ends, when the policy cancels the attempt, in which case its cause is a
// *CancelError, or when End reports the end of the attempt.
func (a *Attempt) Context() context.Context { return a.ctx }

// Cancelled returns why the policy cancelled the attempt, or false if it did
// not.
func (a *Attempt) Cancelled() (quetzalhook.CancelCause, bool) {
	var e *CancelError
	if errors.As(context.Cause(a.ctx), &e) {
		return e.Cause, true
	}
	return "", false
}

// decision is what the policy decided for a request: either an attempt to run
// or a refusal.
type decision struct {
	attempt *Attempt
	refusal *Refusal
}

// Ticket is the broker's handle of a submitted request.
type Ticket struct {
	id        quetzalhook.RequestID
	machine   *chart.Machine // nil if no chart was set
	ctx       context.Context
	decisions chan decision
	current   *Attempt
}

// Next waits for the next attempt. It returns a *Refusal if the policy refuses
// the request, or the cause of the context's end if the context passed to Submit
// ends first.
func (t *Ticket) Next() (*Attempt, error) {
	select {
	case d := <-t.decisions:
		if d.refusal != nil {
			return nil, d.refusal
		}
		return d.attempt, nil
	case <-t.ctx.Done():
		return nil, context.Cause(t.ctx)
	}
}

// fire applies an event to the request's state machine. The machine counts an
// illegal transition; it has no other effect.
func (t *Ticket) fire(e chart.Event) {
	if t.machine != nil {
		_ = t.machine.Fire(e)
	}
}

// Broker calls one policy for all requests of a host. It is safe for concurrent
// use.
type Broker struct {
	clock quetzalhook.Clock
	chart *chart.Chart
	inv   quetzalhook.Invariants

	mu       sync.Mutex
	policy   quetzalhook.Policy
	tickets  map[quetzalhook.RequestID]*Ticket
	closed   bool
	lastTime time.Time // latest time passed to the policy

	idle chan struct{} // receives a value when no ticket is left
	stop chan struct{}
	done chan struct{}
}

// Option sets one property of a Broker.
type Option func(*Broker)

// WithChart makes the broker check the transitions of every request with a state
// machine of the chart, which must be the one named chart.Request. Violations are
// counted in inv.
func WithChart(c *chart.Chart, inv quetzalhook.Invariants) Option {
	return func(b *Broker) { b.chart, b.inv = c, inv }
}

// New returns a running Broker. Close stops it.
func New(policy quetzalhook.Policy, clock quetzalhook.Clock, opts ...Option) *Broker {
	b := &Broker{
		clock:   clock,
		policy:  policy,
		tickets: make(map[quetzalhook.RequestID]*Ticket),
		idle:    make(chan struct{}, 1),
		stop:    make(chan struct{}),
		done:    make(chan struct{}),
	}
	for _, opt := range opts {
		opt(b)
	}
	go b.run()
	return b
}

// Submit passes a request to the policy and returns its ticket. The request is
// open until End reports that it finished or that the caller disconnected, or
// until the policy refuses it or cancels it as too late. When ctx ends, End
// must still be called.
func (b *Broker) Submit(ctx context.Context, r quetzalhook.Request) (*Ticket, error) {
	t := &Ticket{id: r.ID, ctx: ctx, decisions: make(chan decision, decisionBuffer)}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return nil, ErrClosed
	}
	if b.chart != nil {
		t.machine = b.chart.NewMachine(string(r.ID), b.inv)
	}
	b.tickets[r.ID] = t
	t.fire(eventSubmit)
	b.apply(b.policy.Submit(b.now(), r))
	return t, nil
}

// Progress reports the number of tokens received so far to the policy.
func (b *Broker) Progress(t *Ticket, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.apply(b.policy.Progress(b.now(), t.id, n))
}

// End reports how the current attempt ended, or that the caller disconnected.
// It does nothing if the request is no longer open.
func (b *Broker) End(t *Ticket, end quetzalhook.End) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := b.tickets[t.id]; !ok {
		return
	}
	if t.current != nil {
		t.current.cancel(nil)
		t.current = nil
	}
	t.fire(endEvents[end])
	if end == quetzalhook.EndFinished || end == quetzalhook.EndCallerGone {
		b.remove(t.id)
	}
	b.apply(b.policy.End(b.now(), t.id, end))
}

// ObserveLoad passes a load report to the policy.
func (b *Broker) ObserveLoad(l quetzalhook.Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.apply(b.policy.ObserveLoad(b.now(), l))
}

// ObservePeers passes the demand of the other hosts to the policy.
func (b *Broker) ObservePeers(peers []quetzalhook.PeerDemand) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.apply(b.policy.ObservePeers(b.now(), peers))
}

// SetUpstreams passes the list of upstreams to the policy.
func (b *Broker) SetUpstreams(upstreams []quetzalhook.Upstream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.apply(b.policy.SetUpstreams(b.now(), upstreams))
}

// SetLimits passes the customers' limits to the policy.
func (b *Broker) SetLimits(limits map[quetzalhook.CustomerID]quetzalhook.CustomerLimit) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.apply(b.policy.SetLimits(b.now(), limits))
}

// Do calls f while no call of the policy is running, so that f can change
// objects that the policy uses.
func (b *Broker) Do(f func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f()
}

// Demand returns the demand of this host as the policy reports it.
func (b *Broker) Demand() quetzalhook.Demand {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.policy.Demand(b.now())
}

// Open returns the number of open requests.
func (b *Broker) Open() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.tickets)
}

// Wait blocks until no request is open or ctx ends. It returns the error of ctx
// in the second case.
func (b *Broker) Wait(ctx context.Context) error {
	for b.Open() > 0 {
		select {
		case <-b.idle:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// Close makes Submit fail and stops the periodic calls of Policy.Tick. It does not
// end open requests; for a graceful shutdown call Wait first.
func (b *Broker) Close() error {
	b.mu.Lock()
	if b.closed {
		b.mu.Unlock()
		return nil
	}
	b.closed = true
	b.mu.Unlock()
	close(b.stop)
	<-b.done
	return nil
}

// run calls Policy.Tick periodically until Close.
func (b *Broker) run() {
	defer close(b.done)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			b.mu.Lock()
			b.apply(b.policy.Tick(b.now()))
			b.mu.Unlock()
		case <-b.stop:
			return
		}
	}
}

// now returns the time of the clock, or the latest returned time if the clock
// has gone back. The caller holds b.mu.
func (b *Broker) now() time.Time {
	if now := b.clock.Now(); now.After(b.lastTime) {
		b.lastTime = now
	}
	return b.lastTime
}

// apply carries out the actions that the policy returned. It ignores actions for
// requests that are no longer open. The caller holds b.mu.
func (b *Broker) apply(actions []quetzalhook.Action) {
	for _, a := range actions {
		t := b.tickets[a.Request]
		if t == nil {
			continue
		}
		switch a.Kind {
		case quetzalhook.ActionStart:
			b.start(t, a)
		case quetzalhook.ActionCancel:
			b.cancel(t, a)
		case quetzalhook.ActionRefuse:
			t.fire(eventRefuse)
			b.remove(t.id)
			t.decisions <- decision{refusal: &Refusal{Kind: a.Refusal, Outcome: a.Outcome, RetryAfter: a.RetryAfter}}
		}
	}
}

// start creates an attempt and passes it to the request's goroutine. The caller
// holds b.mu.
func (b *Broker) start(t *Ticket, a quetzalhook.Action) {
	t.fire(eventStart)
	ctx, cancel := context.WithCancelCause(t.ctx)
	t.current = &Attempt{Upstream: a.Upstream, Offset: a.Offset, ctx: ctx, cancel: cancel}
	t.decisions <- decision{attempt: t.current}
}

// cancel ends the context of the current attempt, and the request itself if it was
// cancelled as too late. The caller holds b.mu.
func (b *Broker) cancel(t *Ticket, a quetzalhook.Action) {
	t.fire(cancelEvents[a.Cause])
	if t.current != nil {
		t.current.cancel(&CancelError{Cause: a.Cause})
	}
	if a.Cause == quetzalhook.CauseLate {
		b.remove(t.id)
	}
}

// remove removes a request from the open requests and wakes Wait if none is left.
// The caller holds b.mu.
func (b *Broker) remove(id quetzalhook.RequestID) {
	delete(b.tickets, id)
	if len(b.tickets) == 0 {
		select {
		case b.idle <- struct{}{}:
		default:
		}
	}
}
