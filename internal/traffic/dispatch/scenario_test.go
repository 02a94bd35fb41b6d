package dispatch

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"quetzalhook"
	"quetzalhook/internal/state/invariant"

	"github.com/cockroachdb/datadriven"
)

// TestScripts guards against unintended changes of decisions in the cases of
// testdata/scripts.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		var sim *simulation
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if sim == nil {
				sim = newSimulation([]int{1, 1}, WithMaxWaiting(4))
			}
			sim.log = nil
			for line := range strings.Lines(d.Input) {
				sim.command(t, strings.Fields(line))
			}
			return strings.Join(append(append(sim.log, sim.errors...), ""), "\n")
		})
	})
}

// command executes one line of a script.
func (sim *simulation) command(t *testing.T, f []string) {
	number := func(s string) int {
		n, err := strconv.Atoi(s)
		if err != nil {
			t.Fatal(err)
		}
		return n
	}
	switch f[0] {
	case "submit": // class customer length
		for _, class := range classes {
			if string(class.Name()) == f[1] {
				sim.submit(f[2], class, 100, number(f[3]))
			}
		}
	case "step": // milliseconds
		sim.step(time.Duration(number(f[1])) * time.Millisecond)
	case "end": // request, end
		ends := map[string]quetzalhook.End{
			"finished": quetzalhook.EndFinished, "not-sent": quetzalhook.EndNotSent, "broken": quetzalhook.EndBroken,
			"caller-gone": quetzalhook.EndCallerGone, "cancelled": quetzalhook.EndCancelled,
		}
		sim.end(sim.calls[quetzalhook.RequestID(f[1])], ends[f[2]])
	case "state": // upstream, state
		sim.setState(number(f[1]), quetzalhook.UpstreamState(number(f[2])))
		sim.deliverStates()
	default:
		t.Fatalf("unknown command %q", f[0])
	}
}

// source describes the requests that one customer sends in one class.
type source struct {
	customer       string
	class          quetzalhook.Class
	prompt, length int
	every          time.Duration
}

// customerStats counts the requests of one customer and sums up their results.
type customerStats struct {
	sent, inTarget int
	tokens         int
	wait           time.Duration // sum of times to first token
	answered       int
}

func (o *customerStats) String() string {
	wait := o.wait / time.Duration(max(o.answered, 1))
	return fmt.Sprintf("%d/%d in target, %d tokens, mean wait %.2fs", o.inTarget, o.sent, o.tokens, wait.Seconds())
}

// run submits the requests of the sources for d and returns the statistics
// of each customer.
func (sim *simulation) run(d time.Duration, sources ...source) map[string]*customerStats {
	const tick = 50 * time.Millisecond
	out := make(map[string]*customerStats)
	for _, s := range sources {
		out[s.customer] = &customerStats{}
	}
	next := make([]time.Duration, len(sources))
	sim.ended = func(c *call, _ string) {
		o := out[string(c.Customer)]
		if o == nil || c.firstToken.IsZero() {
			return
		}
		wait := c.firstToken.Sub(c.arrived)
		o.answered, o.wait, o.tokens = o.answered+1, o.wait+wait, o.tokens+c.tokens
		if target := c.Class.TTFTTarget(); target == 0 || wait <= target {
			o.inTarget++
		}
	}
	for t := time.Duration(0); t < d; t += tick {
		for i, s := range sources {
			for ; next[i] <= t; next[i] += s.every {
				sim.submit(s.customer, s.class, s.prompt, s.length)
				out[s.customer].sent++
			}
		}
		sim.step(tick)
	}
	return out
}

// TestFloor guards against a class that gets less than its floor during a
// continuous load of urgent requests that begins when the class holds all
// slots. Without floors, the test checks that the no-starvation check reports
// a violation.
func TestFloor(t *testing.T) {
	for name, tc := range map[string]struct {
		opts     []Option
		least    float64 // slot-seconds in every window of 30 s
		violated bool
	}{
		// The class may get nothing for 10 s, while its credit is used up; 1 s
		// is for slots to become free.
		"floors":         {nil, 0.2 * 10 * (30 - 10 - 1), false},
		"without floors": {[]Option{WithoutFloors()}, 0, true},
	} {
		sim := newSimulation([]int{10}, tc.opts...)
		long := source{"long", rulebook, 100, 500, 700 * time.Millisecond}
		sim.run(time.Minute, long)
		var held []float64
		for range 120 {
			sim.run(time.Second, long, source{"burst", question, 20, 50, 100 * time.Millisecond / 2})
			n := 0
			for _, c := range sim.active {
				if c.running && c.Class == rulebook {
					n++
				}
			}
			held = append(held, float64(n))
		}
		least := 1e9
		for i := 30; i <= len(held); i++ {
			sum := 0.0
			for _, n := range held[i-30 : i] {
				sum += n
			}
			least = min(least, sum)
		}
		violated := false
		for _, n := range sim.invariants.Counts() {
			violated = violated || n.Name == invariant.NoStarvation && n.Violated > 0
		}
		t.Logf("%s: at least %.0f slot-seconds in 30 s", name, least)
		if least < tc.least || violated != tc.violated || len(sim.errors) > 0 {
			t.Errorf("%s: got %.0f, violated %v, errors %v, want %.0f, %v", name, least, violated, sim.errors, tc.least, tc.violated)
		}
	}
}

// TestFairness compares sharing by predicted work with sharing by number of
// requests. It guards against customers with little load that wait for one
// with 50 times as much, and against a customer with long requests that takes
// the slots of others.
func TestFairness(t *testing.T) {
	wait := map[string]time.Duration{}
	for _, sharing := range []string{"work", "count"} {
		opts := map[string][]Option{"count": {WithRequestCount()}}[sharing]
		out := newSimulation([]int{8}, opts...).run(5*time.Minute,
			source{"small-a", draft, 200, 100, 5 * time.Second},
			source{"small-b", draft, 200, 100, 5 * time.Second},
			source{"long", draft, 1000, 1000, 2 * time.Second},
			source{"flood", draft, 200, 100, 100 * time.Millisecond})
		for _, c := range []string{"small-a", "small-b", "long", "flood"} {
			t.Logf("by %s: %s: %v", sharing, c, out[c])
		}
		for _, c := range []string{"small-a", "small-b"} {
			o := out[c]
			wait[sharing] = max(wait[sharing], o.wait/time.Duration(max(o.answered, 1)))
			if o.answered < o.sent-3 {
				t.Errorf("by %s: %s got %d of %d answers", sharing, c, o.answered, o.sent)
			}
		}
	}
	if wait["work"] > 5*time.Second || wait["work"] > wait["count"]*11/10 {
		t.Errorf("got %v, want small customers' wait by work below 5 s and not above that by count", wait)
	}
}

// TestOrderAndPreemption compares the core with and without two of its rules:
// requests that can still meet their target go before late ones, and urgent
// requests preempt others.
func TestOrderAndPreemption(t *testing.T) {
	runOverload := func(opts ...Option) *customerStats {
		return newSimulation([]int{4}, opts...).run(5*time.Minute, source{"a", rulebook, 100, 200, 700 * time.Millisecond})["a"]
	}
	runUrgent := func(opts ...Option) *customerStats {
		return newSimulation([]int{4}, opts...).run(5*time.Minute, source{"a", question, 50, 50, 2 * time.Second},
			source{"b", summary, 1000, 1000, 3 * time.Second})["a"]
	}
	got, without := runOverload(), runOverload(WithArrivalOrder())
	t.Logf("overload: %v; in order of arrival: %v", got, without)
	if got.inTarget <= without.inTarget {
		t.Errorf("got %d in target, want more than the %d in order of arrival", got.inTarget, without.inTarget)
	}
	got, without = runUrgent(), runUrgent(WithoutPreemption())
	t.Logf("urgent: %v; without preemption: %v", got, without)
	if got.inTarget*100 < got.sent*99 || got.inTarget <= without.inTarget {
		t.Errorf("got %d of %d in target, want 99%% and more than the %d without", got.inTarget, got.sent, without.inTarget)
	}
}
