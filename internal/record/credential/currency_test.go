package credential

import (
	"testing"
	"testing/synctest"
	"time"

	"quetzalhook"
	"quetzalhook/internal/fleet/peer"
	"quetzalhook/internal/platform/memory"
)

func (f *fleet) current(host quetzalhook.HostID) bool {
	ok, _ := f.hosts[host].Current(time.Now())
	return ok
}

// Guards against refusals during a plain outage, and against a host that
// serves on while peers that may know of withdrawals are missing.
func TestCurrent(t *testing.T) {
	cut := func(a, b quetzalhook.HostID) bool { return (a < "host-2") != (b < "host-2") }
	for _, c := range []struct {
		name   string
		outage bool
		cut    bool
		want   bool
	}{
		{"healthy", false, false, true},
		{"outage", true, false, true},
		{"partition", false, true, true},
		{"outage and partition", true, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 4)
				time.Sleep(bound)
				f.store.SetFaults(memory.Faults{Outage: c.outage})
				if c.cut {
					f.network.SetFaults(peer.NetworkFaults{Cut: cut})
				}
				if !f.current("host-0") {
					t.Error("at once: got false, want true")
				}
				time.Sleep(bound)
				for host := range f.hosts {
					if got := f.current(host); got != c.want {
						t.Errorf("%s after the limit: got %t, want %t", host, got, c.want)
					}
				}
				if err := f.verify(); err != nil {
					t.Error(err)
				}
			})
		})
	}
}

// Guards against a restarted host that accepts keys withdrawn during an
// outage before the withdrawal is in the store.
func TestCurrentAfterRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4)
		f.issue("host-0")
		f.store.SetFaults(memory.Faults{Outage: true})
		f.withdraw("host-0", f.keys[0])
		time.Sleep(bound + interval/4) // between two attempts to persist
		f.store.SetFaults(memory.Faults{})
		f.stop("host-3")
		f.start("host-3")
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			if _, _, ok := f.hosts["host-3"].Lookup(f.keys[0].key); ok && f.current("host-3") {
				t.Fatal("withdrawn key: got true, want false")
			}
		}
		if err := f.verify(); err != nil {
			t.Error(err)
		}
	})
}

// Guards against a check that does not see a stream that goes on after the
// withdrawal of its key.
func TestCheckOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1)
		f.issue("host-0")
		f.withdraw("host-0", f.keys[0])
		for _, want := range []int64{0, 1} {
			f.hosts["host-0"].CheckOpen(f.keys[0].id)
			if got := f.inv.Violations(); got != want {
				t.Errorf("violations after %s: got %d, want %d", time.Since(f.keys[0].withdrawn), got, want)
			}
			time.Sleep(openGrace + time.Second)
		}
		f.stop("host-0")
	})
}
