package dispatch

import (
	"flag"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"quetzalhook"
	"quetzalhook/internal/state/invariant"

	"pgregory.net/rapid"
)

// TestMain fixes the seed; -rapid.seed and -rapid.checks run others and more.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	flag.Parse()
	os.Exit(m.Run())
}

// TestRandom guards against wrong actions in random runs: every request ends
// exactly once, starts from its resume point, holds one slot, is preempted at
// most twice and is refused with a true outcome.
func TestRandom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.SliceOfN(rapid.IntRange(1, 4), 1, 4).Draw(t, "slots")
		w := newWorld(slots, WithMaxWaiting(rapid.IntRange(5, 100).Draw(t, "room")))
		for range rapid.IntRange(0, 300).Draw(t, "moves") {
			w.random(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") })
			if len(w.errors) > 0 {
				t.Fatal(w.errors[0])
			}
		}
		w.finish()
		if len(w.errors) > 0 {
			t.Fatal(w.errors[0])
		}
	})
}

// TestFaults shows that each invariant check sees a core that breaks its rule.
func TestFaults(t *testing.T) {
	for name, tc := range map[string]struct {
		want string
		opt  Option
	}{
		"urgent refused":       {invariant.UrgentNotShed, func(c *Core) { c.faults.refuseUrgent = true }},
		"untrue not-run":       {invariant.TrueRefusal, func(c *Core) { c.faults.claimNotRun = true }},
		"leaving upstream":     {invariant.LeavingUpstream, func(c *Core) { c.faults.useLeaving = true }},
		"slot kept":            {invariant.LegalTransition, func(c *Core) { c.faults.loseSlot = true }},
		"doomed must finish":   {invariant.NoStarvation, func(c *Core) { c.faults.doomMustFinish = true }},
		"no floor":             {invariant.NoStarvation, WithoutFloors()},
		"started while queued": {invariant.LegalTransition, func(c *Core) { c.faults.runTwice = true }},
	} {
		t.Run(name, func(t *testing.T) {
			got := int64(0)
			for seed := uint64(0); seed < 20 && got == 0; seed++ {
				rng := rand.New(rand.NewPCG(seed, 1))
				w := newWorld([]int{2, 2}, WithMaxWaiting(20), tc.opt)
				w.placer.usesLeaving = name == "leaving upstream"
				for range 600 {
					w.random(rng.IntN)
					// An endless urgent burst starves classes without a floor.
					if name == "no floor" && rng.IntN(2) == 0 {
						w.submit("c3", question, 50, 50)
					}
				}
				for _, n := range w.counts.Counts() {
					if n.Name == tc.want {
						got = n.Violated
					}
				}
			}
			if got == 0 {
				t.Errorf("got no violation of %s: the check is blind", tc.want)
			}
		})
	}
}

// TestPreemptForUrgent guards against an urgent request that waits behind
// lower-tier work and against a lost resume point.
func TestPreemptForUrgent(t *testing.T) {
	w := newWorld([]int{1})
	a := w.submit("a", draft, 100, 100)
	w.step(200 * time.Millisecond)
	b := w.submit("b", question, 100, 10)
	if !a.stopping || b.running {
		t.Fatalf("got a stopping %v, b running %v, want a cancel first", a.stopping, b.running)
	}
	w.end(a, quetzalhook.EndCancelled)
	if !b.running {
		t.Fatal("b does not run on the freed slot")
	}
	w.finish()
	for _, e := range w.errors {
		t.Error(e)
	}
}
