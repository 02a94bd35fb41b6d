package dispatch

import (
	"flag"
	"math/rand/v2"
	"os"
	"testing"

	"quetzalhook/internal/state/invariant"

	"pgregory.net/rapid"
)

var (
	runs = flag.Int("runs", 100, "random runs of TestRandomLong")
	seed = flag.Uint64("seed", 1, "first seed of TestRandomLong")
)

// TestMain fixes the seed of rapid. The flags -rapid.seed and -rapid.checks
// override the seed and the number of runs.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}

// TestRandom guards against wrong actions in random runs: every request must
// end exactly once, resume after the tokens already received, hold at most one
// slot, be preempted at most twice, and be refused with a correct outcome.
func TestRandom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.SliceOfN(rapid.IntRange(1, 4), 1, 4).Draw(t, "slots")
		sim := newSimulation(slots, WithMaxWaiting(rapid.IntRange(5, 100).Draw(t, "room")))
		for range rapid.IntRange(0, 300).Draw(t, "moves") {
			sim.random(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") })
			if len(sim.errors) > 0 {
				t.Fatal(sim.errors[0])
			}
		}
		sim.finish()
		if len(sim.errors) > 0 {
			t.Fatal(sim.errors[0])
		}
	})
}

// TestRandomLong guards against the same faults as TestRandom in longer runs,
// which reach full queues and starved classes.
func TestRandomLong(t *testing.T) {
	for i := range *runs {
		rng := rand.New(rand.NewPCG(*seed+uint64(i), 9))
		slots := make([]int, 1+rng.IntN(4))
		for j := range slots {
			slots[j] = 1 + rng.IntN(4)
		}
		sim := newSimulation(slots, WithMaxWaiting(5+rng.IntN(60)))
		for range 1000 {
			sim.random(rng.IntN)
		}
		if sim.finish(); len(sim.errors) > 0 {
			t.Fatalf("seed %d: %s", *seed+uint64(i), sim.errors[0])
		}
	}
}

// TestFaults checks that each invariant check detects a core that violates its
// rule.
func TestFaults(t *testing.T) {
	for name, tc := range map[string]struct {
		want string
		opt  Option
	}{
		"urgent refused":              {invariant.UrgentNotShed, func(c *Core) { c.faults.refuseUrgent = true }},
		"no preemption":               {invariant.UrgentNotShed, WithoutPreemption()},
		"sent reported as not run":    {invariant.TrueRefusal, func(c *Core) { c.faults.alwaysNotRun = true }},
		"leaving upstream":            {invariant.LeavingUpstream, func(c *Core) { c.faults.useLeaving = true }},
		"slot not released":           {invariant.LegalTransition, func(c *Core) { c.faults.leakSlot = true }},
		"must-finish request expired": {invariant.NoStarvation, func(c *Core) { c.faults.expireMustFinish = true }},
		"started while stopping":      {invariant.LegalTransition, func(c *Core) { c.faults.runTwice = true }},
	} {
		t.Run(name, func(t *testing.T) {
			got := int64(0)
			for seed := uint64(0); seed < 20 && got == 0; seed++ {
				rng := rand.New(rand.NewPCG(seed, 1))
				sim := newSimulation([]int{2, 1, 1}, WithMaxWaiting(20), tc.opt)
				sim.placer.usesLeaving = name == "leaving upstream"
				for range 1000 {
					sim.random(rng.IntN)
				}
				for _, n := range sim.invariants.Counts() {
					if n.Name == tc.want {
						got = n.Violated
					}
				}
			}
			if got == 0 {
				t.Errorf("got no violation of %s, want at least one", tc.want)
			}
		})
	}
}
