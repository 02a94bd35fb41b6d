package journal

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"quetzalhook"
	"quetzalhook/internal/platform/memory"
	"quetzalhook/internal/state/invariant"
)

// maxSteps is more than the number of steps that a claimant takes to claim and
// execute a call and store its outcome.
const maxSteps = 200

// Guards against a second execution of a call if the claimant is killed or
// paused at any of its steps and the caller repeats the call on another host
// while the claimant is stopped and again afterwards.
func TestEveryStep(t *testing.T) {
	for _, kill := range []bool{true, false} {
		for _, lose := range []int{0, 1} {
			steps := 0
			for stopAtStep(t, steps+1, kill, lose) {
				if steps++; steps > maxSteps {
					t.Fatalf("steps: got more than %d", maxSteps)
				}
			}
			if steps < 5 {
				t.Errorf("kill %v, lost answers %d: got %d steps, want at least 5", kill, lose, steps)
			}
		}
	}
}

// stopAtStep runs one call whose claimant is paused at its nth step and then
// killed or resumed. It returns false if the claimant takes fewer than n steps.
func stopAtStep(t *testing.T, n int, kill bool, lose int) (stopped bool) {
	synctest.Test(t, func(t *testing.T) {
		inv, store, net := invariant.New(nil), memory.New(), memory.NewNetwork()
		svc := &callRecorder{runs: make(map[string]int), ended: make(map[string]time.Time), outcomes: make(map[quetzalhook.Outcome]int)}
		host := func(i int) testHost {
			g := &memory.Gate{}
			id := quetzalhook.HostID(fmt.Sprint("host-", i))
			return testHost{g, New(id, 1, g.Store(store), g.Clock(quetzalhook.ClockFunc(time.Now)),
				net.Join(quetzalhook.Member{Host: id}, g), inv, WithShards(1), WithInlineLimit(4))}
		}
		first, second := host(0), host(1)
		store.SetFaults(memory.Faults{LoseAnswers: lose})
		first.gate.PauseAt(n)
		var claimant, repeats sync.WaitGroup
		claimant.Go(func() { first.attempt(svc, "k", "finish") })
		synctest.Wait()
		time.Sleep(time.Second)
		stopped = first.gate.Paused()
		repeats.Go(func() { second.attempt(svc, "k", "finish") })
		time.Sleep(time.Minute)
		if kill {
			first.gate.Kill()
		} else {
			first.gate.Resume()
		}
		claimant.Wait()
		repeats.Wait()
		second.attempt(svc, "k", "finish")
		_ = first.j.Close()
		_ = second.j.Close()
		svc.mu.Lock()
		defer svc.mu.Unlock()
		if got := svc.runs["k"]; got > 1 || len(svc.faults) > 0 {
			t.Errorf("step %d, kill %v, lost answers %d: got %d runs, %v, want at most 1", n, kill, lose, got, svc.faults)
		}
		if got, want := inv.Violations(), int64(0); got != want {
			t.Errorf("step %d, kill %v, lost answers %d: violations: got %d, want %d: %v", n, kill, lose, got, want, inv.Details())
		}
	})
	return stopped
}
