package credential

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a check of open streams that never fails, and against one that
// counts a violation for a stream within streamGrace of the withdrawal.
func TestOpenStreamIsChecked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1)
		r := f.hosts["host-0"]
		f.issue("host-0")
		k := f.keys[0]
		f.withdraw("host-0", k)
		for i, want := range []int64{0, 1} {
			r.CheckOpen(k.id)
			if got := f.inv.Violations(); got != want {
				t.Errorf("step %d: got %d violations, want %d", i, got, want)
			}
			time.Sleep(streamGrace + time.Second) // virtual
		}
		f.stopHost("host-0")
	})
}
