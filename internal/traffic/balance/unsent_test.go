package balance

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"quetzalhook"
	"quetzalhook/internal/traffic/reach"
)

// countingBudget allows a number of retries.
type countingBudget struct{ left int }

func (b *countingBudget) Count(time.Time, string) {}

func (b *countingBudget) Take(time.Time, string) bool {
	b.left--
	return b.left >= 0
}

func (b *countingBudget) Return(time.Time, time.Time, string) { b.left++ }

// Guards against calls that were never sent and use up the retry budget, and against sent
// ones that the budget does not count.
func TestRetryBudgetOfUnsentCalls(t *testing.T) {
	unsent := quetzalhook.AttemptEnd{End: quetzalhook.EndNotSent, Unsent: true}
	refused := quetzalhook.AttemptEnd{End: quetzalhook.EndNotSent, Verdict: quetzalhook.Verdict{NotRun: true}}
	for _, c := range []struct {
		name   string
		ends   []quetzalhook.AttemptEnd
		budget int
		want   int // attempts
		left   int // of the budget
	}{
		{"never sent", []quetzalhook.AttemptEnd{unsent, unsent, unsent, unsent}, 0, 4, 0},
		{"refused", []quetzalhook.AttemptEnd{refused, refused, refused, refused}, 1, 2, 0},
		{"refused, then never sent", []quetzalhook.AttemptEnd{refused, unsent, unsent, refused, unsent}, 1, 4, 0},
		{"the last is never sent", []quetzalhook.AttemptEnd{refused, unsent}, 1, 2, 1},
	} {
		b := New("r", rand.New(rand.NewPCG(1, 1)))
		budget := &countingBudget{left: c.budget}
		d := NewDispatcher(b, budget, quetzalhook.ClockFunc(time.Now))
		var list []quetzalhook.Upstream
		for _, id := range []quetzalhook.UpstreamID{"a", "b", "c", "d", "e", "f"} {
			list = append(list, quetzalhook.Upstream{ID: id, Service: "s", Region: "r", Slots: 4})
		}
		d.SetUpstreams(list)
		ticket := d.Submit(t.Context(), quetzalhook.Request{ID: "r", Service: "s"})
		got := 0
		for _, end := range c.ends {
			if _, err := ticket.Next(context.Background()); err != nil {
				break
			}
			got++
			ticket.End(end)
		}
		ticket.Close()
		if got != c.want {
			t.Errorf("%s: got %d attempts, want %d", c.name, got, c.want)
		}
		if left := max(budget.left, 0); left != c.left {
			t.Errorf("%s: left of the budget: got %d, want %d", c.name, left, c.left)
		}
	}
}

// Guards against upstreams that are avoided since this host reaches none.
func TestNoPathIsNoFailure(t *testing.T) {
	now := time.Unix(1000, 0)
	b := New("r", rand.New(rand.NewPCG(1, 1)))
	b.SetUpstreams([]quetzalhook.Upstream{{ID: "a", Service: "s", Slots: 4}})
	for range 4 {
		b.Started(now, "a")
		b.Ended(now, "a", quetzalhook.AttemptEnd{End: quetzalhook.EndBroken, Lost: true, NoPath: true})
	}
	u := b.upstreams["a"]
	if u.record.FailureProbability(now) > 0 || u.inFlight != 0 {
		t.Errorf("got a probability of failures of %v and %d open calls, want none", u.record.FailureProbability(now), u.inFlight)
	}
}

// Guards against calls to an upstream that this host does not reach while another is free,
// and against calls that are refused since it reaches none.
func TestUnreachedUpstreamIsAvoided(t *testing.T) {
	now := time.Unix(1000, 0)
	tracker := reach.New()
	b := New("r", rand.New(rand.NewPCG(1, 1)), WithReach(tracker))
	b.SetUpstreams([]quetzalhook.Upstream{{ID: "a", Service: "s", Region: "r", Slots: 4}, {ID: "b", Service: "s", Region: "other", Slots: 4}})
	tracker.Failed(now, "a", 0)
	for range 8 {
		if u, _ := b.Choose(now, "s", quetzalhook.Scope{}, nil); u.ID != "b" {
			t.Errorf("got %q, want b", u.ID)
		}
	}
	tracker.Failed(now, "b", 0)
	if _, ok := b.Choose(now, "s", quetzalhook.Scope{}, nil); !ok {
		t.Error("no upstream is chosen")
	}
}
