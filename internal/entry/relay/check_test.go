package relay_test

import (
	"context"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"quetzalhook"
	"quetzalhook/internal/entry/relay"
	"quetzalhook/internal/standin/engine"
	"quetzalhook/internal/state/invariant"
	"quetzalhook/internal/traffic/baseline"
)

// ring gives every key to one customer and counts the checks of open streams.
type ring struct {
	customer quetzalhook.CustomerID
	checks   atomic.Int64
}

func (r *ring) Lookup(context.Context, string) (quetzalhook.Identity, error) {
	return quetzalhook.Identity{Customer: r.customer}, nil
}

func (*ring) Withdrawn(quetzalhook.KeyID) (<-chan struct{}, func()) { return nil, func() {} }

func (r *ring) CheckOpen(quetzalhook.KeyID) { r.checks.Add(1) }

// Guards against a stream that is not checked against withdrawals while its
// tokens arrive.
func TestOpenStreamIsChecked(t *testing.T) {
	keys := &ring{customer: "c"}
	h := newHarness(t, []quetzalhook.Upstream{engineUpstream(t, engine.New(engine.WithTokenRate(2000)), "a")}, withRelay(relay.WithKeys(keys)))
	if err := h.chat(chatBody(true, 40), &onToken{ResponseRecorder: httptest.NewRecorder()}); err != nil {
		t.Fatal(err)
	}
	if got, want := keys.checks.Load(), int64(5); got < want {
		t.Errorf("checks during 40 tokens: got %d, want at least %d", got, want)
	}
}

func (h *harness) violations(name string) int64 {
	for _, c := range h.inv.Counts() {
		if c.Name == name {
			return c.Violated
		}
	}
	return 0
}

// Guards against a request that runs for a customer to whom the key does not
// belong, whatever the parts before the relay took the customer from.
func TestOwnerCheckedBeforeSend(t *testing.T) {
	e := engine.New()
	h := newHarness(t, []quetzalhook.Upstream{engineUpstream(t, e, "a")}, withRelay(relay.WithKeys(&ring{customer: "other"})))
	err := h.chat(chatBody(true, 3), httptest.NewRecorder())
	var e2 *relay.Error
	if !errors.As(err, &e2) || e2.Kind != relay.KindKey || e2.Outcome != quetzalhook.OutcomeNotRun {
		t.Errorf("error: got %v, want kind %s, not run", err, relay.KindKey)
	}
	if got, want := e.Stats().Requests, int64(0); got != want {
		t.Errorf("requests at the engine: got %d, want %d", got, want)
	}
	if got, want := h.violations(invariant.KeyOwner), int64(1); got != want {
		t.Errorf("violations of %s: got %d, want %d", invariant.KeyOwner, got, want)
	}
}

// amnesia is a policy whose requests lose what they received before a break.
type amnesia struct {
	quetzalhook.Policy
	forget func()
}

func (a amnesia) End(now time.Time, id quetzalhook.RequestID, end quetzalhook.End) []quetzalhook.Action {
	if end == quetzalhook.EndBroken {
		a.forget()
	}
	return a.Policy.End(now, id, end)
}

// Guards against a check of whole-answer that cannot fail: the counts of
// tokens of two upstreams do not show that the second began anew.
func TestResumeIsChecked(t *testing.T) {
	e := engine.New(engine.WithTokenRate(2000))
	var answer *relay.Answer
	h := newHarness(t, []quetzalhook.Upstream{engineUpstream(t, e, "a")},
		withPolicy(amnesia{Policy: baseline.New(1), forget: func() { relay.Forget(answer) }}))
	if err := e.SetFaults(engine.Faults{Cut: 1, CutAt: 5}); err != nil {
		t.Fatal(err)
	}
	h.onAnswer = func(a *relay.Answer) { answer = a }
	if err := h.chat(chatBody(true, 12), &onToken{ResponseRecorder: httptest.NewRecorder()}); err != nil {
		t.Fatal(err)
	}
	if got, want := h.violations(invariant.WholeAnswer), int64(1); got != want {
		t.Errorf("violations of %s: got %d, want %d", invariant.WholeAnswer, got, want)
	}
}
