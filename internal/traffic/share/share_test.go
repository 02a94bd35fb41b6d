package share

import (
	"flag"
	"fmt"
	"math"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"quetzalhook"
)

// TestMain fixes the seed of rapid. The flags -rapid.seed and -rapid.checks
// override the seed and the number of runs.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

// TestScripts guards against unintended changes of the division by tier. The
// input of each "divide" command has one line "HOST T0 T1 T2 T3" for each
// host, with its needs by tier.
func TestScripts(t *testing.T) {
	datadriven.RunTest(t, "testdata/divide", func(t *testing.T, d *datadriven.TestData) string {
		var capacity float64
		d.ScanArgs(t, "capacity", &capacity)
		var needs []Need
		for line := range strings.Lines(d.Input) {
			n := Need{}
			if _, err := fmt.Sscan(line, &n.Host, &n.Slots[0], &n.Slots[1], &n.Slots[2], &n.Slots[3]); err != nil {
				t.Fatalf("line %q: %v", line, err)
			}
			needs = append(needs, n)
		}
		table := Divide(capacity, needs)
		var b strings.Builder
		for _, h := range table.Hosts() {
			fmt.Fprintf(&b, "%s %.2f\n", h, capacity*table.Fraction(h))
		}
		return b.String()
	})
}

func drawNeeds(t *rapid.T) []Need {
	needs := make([]Need, rapid.IntRange(1, 20).Draw(t, "hosts"))
	for i := range needs {
		needs[i].Host = quetzalhook.HostID(fmt.Sprintf("host-%02d", i))
		for tier := range needs[i].Slots {
			needs[i].Slots[tier] = float64(rapid.IntRange(0, 100).Draw(t, "need"))
		}
	}
	return needs
}

// TestSharesSumToSlots guards against hosts that together take more slots than
// an upstream has, and against slots that no host may use.
func TestSharesSumToSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		needs := drawNeeds(t)
		table := Divide(float64(rapid.IntRange(0, 500).Draw(t, "capacity")), needs)
		slots, index := rapid.IntRange(0, 64).Draw(t, "slots"), rapid.IntRange(0, 1000).Draw(t, "index")
		held, got := make([]int, len(needs)), make([]int, len(needs))
		heldSum := 0
		for i := range held {
			held[i] = rapid.IntRange(0, 3).Draw(t, "held")
			heldSum += held[i]
		}
		table.WholeSlots(slots, index, got)
		if sum := sumOf(got); sum != slots {
			t.Fatalf("sum of whole slots: got %d, want %d", sum, slots)
		}
		KeepHeld(slots, index, held, got)
		for i := range got {
			if got[i] < held[i] {
				t.Fatalf("host %d: got %d slots, want at least the %d it holds", i, got[i], held[i])
			}
		}
		if sum, want := sumOf(got), max(slots, heldSum); sum > want || sum < slots {
			t.Fatalf("sum of slots: got %d, want %d to %d", sum, slots, want)
		}
	})
}

func sumOf(list []int) int {
	sum := 0
	for _, n := range list {
		sum += n
	}
	return sum
}

// TestDivisionIsTheSameEverywhere guards against a division that depends on
// the order of needs, which differs between hosts.
func TestDivisionIsTheSameEverywhere(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		needs := drawNeeds(t)
		want := Divide(100, needs)
		got := Divide(100, rapid.Permutation(needs).Draw(t, "order"))
		if !slices.Equal(got.Hosts(), want.Hosts()) || !slices.Equal(got.bounds, want.bounds) {
			t.Fatalf("other order: got %v, want %v", got, want)
		}
	})
}

// TestUrgentFirst guards against a division that gives slots to lower tiers
// while urgent requests of another host have none, and against slots that are
// not divided.
func TestUrgentFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		needs := drawNeeds(t)
		capacity := float64(rapid.IntRange(1, 500).Draw(t, "capacity"))
		table := Divide(capacity, needs)
		urgent, sum := 0.0, 0.0
		for _, n := range needs {
			urgent += n.Slots[0]
		}
		for _, n := range needs {
			got := capacity * table.Fraction(n.Host)
			sum += got
			if urgent <= capacity && got < n.Slots[0]-1e-6 {
				t.Fatalf("%s: got %.2f slots, want %v for its urgent work", n.Host, got, n.Slots[0])
			}
		}
		if math.Abs(sum-capacity) > 1e-6 {
			t.Fatalf("sum: got %v, want %v", sum, capacity)
		}
	})
}
