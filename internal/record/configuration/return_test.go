package configuration

import (
	"testing"
	"testing/synctest"
	"time"

	"quetzalhook/internal/platform/memory"
)

// Guards against a confirmed change that is not in force on hosts which know its number from a
// version that the store has lost.
func TestChangeAfterReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, example(t, "association"), 0)
		f.store = memory.New(memory.WithEras())
		f.planner = NewPlanner(f.store, f.clock, discardLogger())
		f.start("host-0")
		f.change(1)
		time.Sleep(8 * time.Second)
		copied := f.store.Copy()
		f.change(1)
		time.Sleep(8 * time.Second)
		f.store.Return(copied)
		f.change(1)
		want := 1 + float64(f.changes%3) // see change
		f.start("host-1")
		time.Sleep(time.Minute)
		for host, r := range f.hosts {
			d, number, _ := r.Document()
			if got := d.Customers[0].Weight; got != want {
				t.Errorf("%s: got weight %v of version %d, want %v", host, got, number, want)
			}
			f.stop(host)
		}
		if n := f.inv.Violations(); n > 0 {
			t.Errorf("violations: got %d, want 0", n)
		}
	})
}
