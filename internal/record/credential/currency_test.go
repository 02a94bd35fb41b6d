package credential

import (
	"testing"
	"testing/synctest"
	"time"

	"quetzalhook"
	"quetzalhook/internal/fleet/peer"
	"quetzalhook/internal/platform/memory"
)

func (f *testFleet) isCurrent(host quetzalhook.HostID) bool {
	ok, _ := f.hosts[host].Current(time.Now())
	return ok
}

// Guards against hosts that refuse requests during an outage of the store alone,
// and against a host that keeps accepting keys while it reaches neither the
// store nor peers that may know of withdrawals.
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
				time.Sleep(maxAcceptance)
				f.store.SetFaults(memory.Faults{Outage: c.outage})
				if c.cut {
					f.network.SetFaults(peer.NetworkFaults{Cut: cut})
				}
				if !f.isCurrent("host-0") {
					t.Error("current right after the faults: got false, want true")
				}
				time.Sleep(maxAcceptance)
				for host := range f.hosts {
					if got := f.isCurrent(host); got != c.want {
						t.Errorf("%s current after the limit: got %t, want %t", host, got, c.want)
					}
				}
				if err := f.healAndVerify(); err != nil {
					t.Error(err)
				}
			})
		})
	}
}

// Guards against a host that restarts right after an outage and accepts keys that
// were withdrawn during it, before the withdrawals are in the store.
func TestCurrentAfterRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4)
		f.issue("host-0")
		f.store.SetFaults(memory.Faults{Outage: true})
		f.withdraw("host-0", f.keys[0])
		time.Sleep(maxAcceptance + syncInterval/4) // between two rounds of persistLoop
		f.store.SetFaults(memory.Faults{})
		f.stopHost("host-3")
		f.startHost("host-3")
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			if _, _, ok := f.hosts["host-3"].Lookup(f.keys[0].key); ok && f.isCurrent("host-3") {
				t.Fatal("withdrawn key accepted: got true, want false")
			}
		}
		if err := f.healAndVerify(); err != nil {
			t.Error(err)
		}
	})
}

// Guards against an invariant check that misses a stream which continues more
// than streamGrace after the withdrawal of its key.
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
			time.Sleep(streamGrace + time.Second)
		}
		f.stopHost("host-0")
	})
}
