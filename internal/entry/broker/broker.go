// Package broker runs a Policy for concurrent requests.
//
// It serialises all calls of the policy, turns each start into an Attempt
// with a context of its own, and each cancel into the end of that context.
// A request's goroutine waits for its next attempt, runs it, and reports how
// it ended.
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

// turnBuffer holds decisions that a request has not taken yet: at most one
// start and one refusal can be pending.
const turnBuffer = 4

// ErrClosed reports a request submitted after Close.
var ErrClosed = errors.New("broker is closed")

// CancelError is the cause of an attempt's context when the policy cancels
// the attempt.
type CancelError struct {
	Cause quetzalhook.CancelCause
}

// Error implements error.
func (e *CancelError) Error() string { return "attempt cancelled: " + string(e.Cause) }

// Refusal is the error of a request that the policy refuses.
type Refusal struct {
	Kind       quetzalhook.RefuseKind
	Outcome    quetzalhook.Outcome
	RetryAfter time.Duration
}

// Error implements error.
func (e *Refusal) Error() string { return "request refused: " + string(e.Kind) }

// Attempt is one start of a request on an upstream.
type Attempt struct {
	Upstream quetzalhook.UpstreamID
	Offset   int // tokens already received
	ctx      context.Context
	cancel   context.CancelCauseFunc
}

// Context ends when the caller goes away or the policy cancels the attempt;
// its cause is then a *CancelError.
func (a *Attempt) Context() context.Context { return a.ctx }

// Cancelled returns why the policy cancelled the attempt, if it did.
func (a *Attempt) Cancelled() (quetzalhook.CancelCause, bool) {
	var e *CancelError
	if errors.As(context.Cause(a.ctx), &e) {
		return e.Cause, true
	}
	return "", false
}

// turn is one decision for a request.
type turn struct {
	attempt *Attempt
	refusal *Refusal
}

// Ticket is a submitted request.
type Ticket struct {
	id      quetzalhook.RequestID
	machine *chart.Machine // nil without a chart
	ctx     context.Context
	turns   chan turn
	current *Attempt
}

// Next waits for the next attempt. It returns a *Refusal if the policy
// refuses the request, or the context's error if the caller goes away first.
func (t *Ticket) Next() (*Attempt, error) {
	select {
	case turn := <-t.turns:
		if turn.refusal != nil {
			return nil, turn.refusal
		}
		return turn.attempt, nil
	case <-t.ctx.Done():
		return nil, context.Cause(t.ctx)
	}
}

// fire moves the request's state chart. An illegal transition is counted by
// the machine and changes nothing else.
func (t *Ticket) fire(e chart.Event) {
	if t.machine != nil {
		_ = t.machine.Fire(e)
	}
}

// Broker runs one policy. It is safe for concurrent use.
type Broker struct {
	clock quetzalhook.Clock
	chart *chart.Chart
	inv   quetzalhook.Invariants

	mu      sync.Mutex
	policy  quetzalhook.Policy
	tickets map[quetzalhook.RequestID]*Ticket
	closed  bool
	last    time.Time

	idle chan struct{} // signalled when the last ticket ends
	stop chan struct{}
	done chan struct{}
}

// Option sets one property of a Broker.
type Option func(*Broker)

// WithChart makes every request follow a state chart, the one named
// chart.Request, and counts its transitions.
func WithChart(c *chart.Chart, inv quetzalhook.Invariants) Option {
	return func(b *Broker) { b.chart, b.inv = c, inv }
}

// New returns a running broker.
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

// Submit hands a request to the policy. The request ends with a call of End,
// a refusal, or the end of ctx followed by Abandon.
func (b *Broker) Submit(ctx context.Context, r quetzalhook.Request) (*Ticket, error) {
	t := &Ticket{id: r.ID, ctx: ctx, turns: make(chan turn, turnBuffer)}
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

// Progress reports the tokens received so far.
func (b *Broker) Progress(t *Ticket, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.apply(b.policy.Progress(b.now(), t.id, n))
}

// End reports the end of the current attempt, or the caller's departure.
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
		b.forget(t.id)
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

// Do runs f between two calls of the policy, to change a part of it.
func (b *Broker) Do(f func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f()
}

// Demand returns the policy's demand.
func (b *Broker) Demand() quetzalhook.Demand {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.policy.Demand(b.now())
}

// Open returns the number of requests that have not ended.
func (b *Broker) Open() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.tickets)
}

// Wait blocks until no request is open or ctx ends.
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

// Close refuses new requests and stops the ticks. It does not end open
// requests; Wait before it for a graceful shutdown.
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

// now returns the clock's time and never goes back. The caller holds b.mu.
func (b *Broker) now() time.Time {
	if now := b.clock.Now(); now.After(b.last) {
		b.last = now
	}
	return b.last
}

// apply carries out actions. The caller holds b.mu.
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
			b.forget(t.id)
			t.turns <- turn{refusal: &Refusal{Kind: a.Refusal, Outcome: a.Outcome, RetryAfter: a.RetryAfter}}
		}
	}
}

func (b *Broker) start(t *Ticket, a quetzalhook.Action) {
	t.fire(eventStart)
	ctx, cancel := context.WithCancelCause(t.ctx)
	t.current = &Attempt{Upstream: a.Upstream, Offset: a.Offset, ctx: ctx, cancel: cancel}
	t.turns <- turn{attempt: t.current}
}

func (b *Broker) cancel(t *Ticket, a quetzalhook.Action) {
	t.fire(cancelEvents[a.Cause])
	if t.current != nil {
		t.current.cancel(&CancelError{Cause: a.Cause})
	}
	if a.Cause == quetzalhook.CauseLate {
		b.forget(t.id)
	}
}

// forget removes a request. The caller holds b.mu.
func (b *Broker) forget(id quetzalhook.RequestID) {
	delete(b.tickets, id)
	if len(b.tickets) == 0 {
		select {
		case b.idle <- struct{}{}:
		default:
		}
	}
}
