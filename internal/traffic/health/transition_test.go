package health

import (
	"testing"

	"quetzalhook"
	"quetzalhook/internal/state/invariant"
)

// Guards against a transition that the chart does not allow when streams of an
// upstream fail after the upstream was removed from the list.
func TestFailuresAfterGone(t *testing.T) {
	h, inv := newHarness(3), invariant.New(nil)
	WithInvariants(inv)(&h.m.settings)
	for _, name := range []string{"s1", "s2", "s3", "s4"} {
		h.start(name, "e0")
	}
	target := h.m.Target("e0")
	h.m.SetUpstreams(h.list[1:])
	for _, name := range []string{"s1", "s2", "s3", "s4"} {
		h.end(name, quetzalhook.EndBroken)
	}
	if got, want := target.State(), Gone; got != want {
		t.Errorf("state: got %v, want %v", got, want)
	}
	if got, want := inv.Violations(), int64(0); got != want {
		t.Errorf("violations: got %d, want %d: %v", got, want, inv.Details())
	}
	if !h.m.UnderCap() {
		t.Error("UnderCap: got false, want true")
	}
}
