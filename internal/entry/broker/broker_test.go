package broker

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"quetzalhook"
	"quetzalhook/internal/state/chart"
	"quetzalhook/internal/state/invariant"
	"quetzalhook/internal/traffic/baseline"
)

func upstreams(slots int) []quetzalhook.Upstream {
	return []quetzalhook.Upstream{{ID: "u", Models: []quetzalhook.Model{"m"}, Slots: slots}}
}

func newBroker(t *testing.T, p quetzalhook.Policy, slots int) *Broker {
	t.Helper()
	b := New(p, quetzalhook.ClockFunc(time.Now))
	b.SetUpstreams(upstreams(slots))
	t.Cleanup(func() { _ = b.Close() })
	return b
}

func submit(ctx context.Context, t *testing.T, b *Broker, id string) *Ticket {
	t.Helper()
	ticket, err := b.Submit(ctx, quetzalhook.Request{ID: quetzalhook.RequestID(id), Customer: "c", Model: "m", Repeatable: true})
	if err != nil {
		t.Fatal(err)
	}
	return ticket
}

func nextAttempt(t *testing.T, ticket *Ticket) *Attempt {
	t.Helper()
	a, err := ticket.Next()
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// Guards against a graceful stop that does not wait for running and queued
// requests, or that goes on waiting after its timeout.
func TestWait(t *testing.T) {
	b := newBroker(t, baseline.New(1), 1)
	running, waiting := submit(t.Context(), t, b, "r1"), submit(t.Context(), t, b, "r2")
	nextAttempt(t, running)
	shortCtx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	if err := b.Wait(shortCtx); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("wait with open requests: got %v, want %v", err, context.DeadlineExceeded)
	}
	b.End(running, quetzalhook.EndFinished)
	nextAttempt(t, waiting)
	done := make(chan error, 1)
	go func() { done <- b.Wait(t.Context()) }()
	if got, want := b.Open(), 1; got != want {
		t.Errorf("open: got %d, want %d", got, want)
	}
	b.End(waiting, quetzalhook.EndFinished)
	if err := <-done; err != nil {
		t.Errorf("wait: got %v, want no error", err)
	}
	_ = b.Close()
	if _, err := b.Submit(t.Context(), quetzalhook.Request{ID: "r3"}); !errors.Is(err, ErrClosed) {
		t.Errorf("submit after close: got %v, want %v", err, ErrClosed)
	}
}

// scriptedPolicy is a policy whose Tick returns the actions that the test has
// enqueued. The embedded policy decides everything else.
type scriptedPolicy struct {
	quetzalhook.Policy
	mu      sync.Mutex
	pending []quetzalhook.Action
}

func (s *scriptedPolicy) enqueue(a ...quetzalhook.Action) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = append(s.pending, a...)
}

func (s *scriptedPolicy) Tick(time.Time) []quetzalhook.Action {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.pending
	s.pending = nil
	return a
}

// Guards against a cancelled attempt whose context does not end or does not have
// the cause of the cancel, a request that is not started again, and a refusal that
// Ticket.Next does not return.
func TestDecisions(t *testing.T) {
	p := &scriptedPolicy{Policy: baseline.New(1)}
	b := newBroker(t, p, 1)
	ticket := submit(t.Context(), t, b, "r1")
	first := nextAttempt(t, ticket)
	p.enqueue(quetzalhook.Action{Kind: quetzalhook.ActionCancel, Request: "r1", Cause: quetzalhook.CausePreempted})
	<-first.Context().Done()
	if cause, ok := first.Cancelled(); !ok || cause != quetzalhook.CausePreempted {
		t.Errorf("cause: got %q (%t), want %q", cause, ok, quetzalhook.CausePreempted)
	}
	p.enqueue(quetzalhook.Action{Kind: quetzalhook.ActionStart, Request: "r1", Upstream: "u", Offset: 7})
	if got, want := nextAttempt(t, ticket).Offset, 7; got != want {
		t.Errorf("offset of the resume: got %d, want %d", got, want)
	}
	p.enqueue(quetzalhook.Action{Kind: quetzalhook.ActionRefuse, Request: "r1", Refusal: quetzalhook.RefuseOverload, Outcome: quetzalhook.OutcomeUnknown})
	var refusal *Refusal
	if _, err := ticket.Next(); !errors.As(err, &refusal) || refusal.Outcome != quetzalhook.OutcomeUnknown {
		t.Errorf("refusal: got %v, want outcome %s", err, quetzalhook.OutcomeUnknown)
	}
	if got, want := b.Open(), 0; got != want {
		t.Errorf("open: got %d, want %d", got, want)
	}
}

// Guards against a policy that starts a running request again without a violation
// being counted.
func TestIllegalTransitionIsCounted(t *testing.T) {
	requests, err := chart.Load(chart.Request)
	if err != nil {
		t.Fatal(err)
	}
	inv, p := invariant.New(nil), &scriptedPolicy{Policy: baseline.New(1)}
	b := New(p, quetzalhook.ClockFunc(time.Now), WithChart(requests, inv))
	t.Cleanup(func() { _ = b.Close() })
	b.SetUpstreams(upstreams(1))
	ticket := submit(t.Context(), t, b, "r1")
	nextAttempt(t, ticket)
	if got, want := inv.Violations(), int64(0); got != want {
		t.Errorf("violations of one start: got %d, want %d: %v", got, want, inv.Details())
	}
	p.enqueue(quetzalhook.Action{Kind: quetzalhook.ActionStart, Request: "r1", Upstream: "u"})
	nextAttempt(t, ticket)
	if got, want := inv.Violations(), int64(1); got != want {
		t.Errorf("violations of a second start: got %d, want %d", got, want)
	}
}

// Guards against requests that are lost or never end when many of them start at the
// same time, and some cannot be sent or have callers that disconnect.
func TestConcurrentRequests(t *testing.T) {
	b := newBroker(t, baseline.New(1), 3)
	var group sync.WaitGroup
	for i := range 200 {
		group.Go(func() {
			rng := rand.New(rand.NewPCG(1, uint64(i)))
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			ticket, err := b.Submit(ctx, quetzalhook.Request{ID: quetzalhook.RequestID(fmt.Sprint(i)), Customer: "c", Model: "m", Repeatable: true})
			if err != nil {
				t.Error(err)
				return
			}
			if rng.IntN(4) == 0 {
				cancel()
			}
			for range 3 {
				if _, err := ticket.Next(); err != nil {
					b.End(ticket, quetzalhook.EndCallerGone)
					return
				}
				b.Progress(ticket, 1)
				if rng.IntN(3) > 0 {
					break
				}
				b.End(ticket, quetzalhook.EndNotSent)
			}
			b.End(ticket, quetzalhook.EndFinished)
		})
	}
	group.Wait()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	if err := b.Wait(ctx); err != nil {
		t.Errorf("open requests: got %d, want 0: %v", b.Open(), err)
	}
}
