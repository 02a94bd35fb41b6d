package baseline

import (
	"testing"
	"time"

	"quetzalhook"
)

// Guards against a refusal that says not-run although an earlier attempt may have
// run: the last attempt was provably not sent, but one before it broke.
func TestOutcomeCoversAllAttempts(t *testing.T) {
	now := time.Unix(0, 0)
	p := New(1)
	p.SetUpstreams(now, []quetzalhook.Upstream{{ID: "u", Models: []quetzalhook.Model{"m"}, Slots: 1}})
	p.Submit(now, quetzalhook.Request{ID: "r", Model: "m", Repeatable: true})
	var refused *quetzalhook.Action
	for i := range maxAttempts + 1 {
		end := quetzalhook.EndNotSent
		if i == 0 {
			end = quetzalhook.EndBroken
		}
		for _, a := range p.End(now, "r", end) {
			if a.Kind == quetzalhook.ActionRefuse {
				refused = &a
			}
		}
	}
	if refused == nil {
		t.Fatal("no refusal after all attempts")
	}
	if got, want := refused.Outcome, quetzalhook.OutcomeUnknown; got != want {
		t.Errorf("outcome after a broken attempt: got %v, want %v", got, want)
	}
}
