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

// fakeKeyRing assigns every key to one customer and counts the checks of open
// streams.
type fakeKeyRing struct {
	customer quetzalhook.CustomerID
	checks   atomic.Int64
}

func (r *fakeKeyRing) Lookup(context.Context, string) (quetzalhook.Identity, error) {
	return quetzalhook.Identity{Customer: r.customer}, nil
}

func (*fakeKeyRing) Withdrawn(quetzalhook.KeyID) (<-chan struct{}, func()) { return nil, func() {} }

func (r *fakeKeyRing) CheckOpen(quetzalhook.KeyID) { r.checks.Add(1) }

// Guards against a stream whose key is not checked for withdrawal while tokens
// arrive.
func TestOpenStreamIsChecked(t *testing.T) {
	keys := &fakeKeyRing{customer: "c"}
	h := newHarness(t, []quetzalhook.Upstream{engineUpstream(t, engine.New(engine.WithTokenRate(2000)), "a")}, withRelay(relay.WithKeys(keys)))
	if err := h.chat(chatBody(true, 40), &hookWriter{ResponseRecorder: httptest.NewRecorder()}); err != nil {
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

// Guards against a request that runs for a customer who does not own the key,
// regardless of how the customer was determined before the relay.
func TestOwnerCheckedBeforeSend(t *testing.T) {
	e := engine.New()
	h := newHarness(t, []quetzalhook.Upstream{engineUpstream(t, e, "a")}, withRelay(relay.WithKeys(&fakeKeyRing{customer: "other"})))
	err := h.chat(chatBody(true, 3), httptest.NewRecorder())
	var relayErr *relay.Error
	if !errors.As(err, &relayErr) || relayErr.Kind != relay.KindKeyRefused || relayErr.Outcome != quetzalhook.OutcomeNotRun {
		t.Errorf("error: got %v, want kind %s, not run", err, relay.KindKeyRefused)
	}
	if got, want := e.Stats().Requests, int64(0); got != want {
		t.Errorf("requests at the engine: got %d, want %d", got, want)
	}
	if got, want := h.violations(invariant.KeyOwner), int64(1); got != want {
		t.Errorf("violations of %s: got %d, want %d", invariant.KeyOwner, got, want)
	}
}

// forgetfulPolicy calls onBroken when an attempt breaks, which lets a test drop
// the text received so far.
type forgetfulPolicy struct {
	quetzalhook.Policy
	onBroken func()
}

func (p forgetfulPolicy) End(now time.Time, id quetzalhook.RequestID, end quetzalhook.End) []quetzalhook.Action {
	if end == quetzalhook.EndBroken {
		p.onBroken()
	}
	return p.Policy.End(now, id, end)
}

// Guards against a check of the invariant whole-answer that cannot fail: the
// token counts of two upstreams do not show that the second one started the
// answer over.
func TestResumeIsChecked(t *testing.T) {
	e := engine.New(engine.WithTokenRate(2000))
	var answer *relay.Answer
	h := newHarness(t, []quetzalhook.Upstream{engineUpstream(t, e, "a")},
		withPolicy(forgetfulPolicy{Policy: baseline.New(1), onBroken: func() { relay.DropText(answer) }}))
	if err := e.SetFaults(engine.Faults{Cut: 1, CutAt: 5}); err != nil {
		t.Fatal(err)
	}
	h.onAnswer = func(a *relay.Answer) { answer = a }
	if err := h.chat(chatBody(true, 12), &hookWriter{ResponseRecorder: httptest.NewRecorder()}); err != nil {
		t.Fatal(err)
	}
	if got, want := h.violations(invariant.WholeAnswer), int64(1); got != want {
		t.Errorf("violations of %s: got %d, want %d", invariant.WholeAnswer, got, want)
	}
}
