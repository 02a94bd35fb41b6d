package balance

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"quetzalhook"
)

// Guards against calls of forwarded requests that are repeats and are not taken from the retry
// budget.
func TestRepeatOfForwardedCallTakesRetry(t *testing.T) {
	b := New("r", rand.New(rand.NewPCG(1, 1)))
	budget := &countingBudget{left: 1}
	d := NewDispatcher(b, budget, quetzalhook.ClockFunc(time.Now))
	d.SetUpstreams([]quetzalhook.Upstream{{ID: "a", Service: "s", Region: "r", Slots: 4}, {ID: "b", Service: "s", Region: "r", Slots: 4}})
	ticket := d.Submit(t.Context(), quetzalhook.Request{ID: "r", Service: "s", Repeat: true})
	defer ticket.Close()
	if _, err := ticket.Next(context.Background()); err != nil {
		t.Fatal(err)
	}
	if budget.left != 0 {
		t.Errorf("left of the budget: got %d, want 0", budget.left)
	}
}
