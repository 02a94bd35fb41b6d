package capacity

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"quetzalhook"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestMain sets a fixed default seed; -rapid.seed and -rapid.checks override the
// seed and the number of checks.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

// TestScripts checks the orders and their reasons; comments in the scripts
// describe each case.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		var state State
		now := epoch
		in := Input{Slots: 8, RegularPrice: 4, CheapPrice: 1.2}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "zone":
				var z Zone
				var name string
				d.ScanArgs(t, "name", &name)
				z.Zone = quetzalhook.Zone(name)
				d.MaybeScanArgs(t, "max-cheap", &z.MaxCheap)
				d.MaybeScanArgs(t, "max-regular", &z.MaxRegular)
				d.MaybeScanArgs(t, "regular", &z.Regular)
				d.MaybeScanArgs(t, "cheap", &z.Cheap)
				in.Zones = append(in.Zones, z)
				return ""
			case "reclaim":
				var i int
				d.ScanArgs(t, "zone", &i)
				in.Zones[i].Reclaimed = !in.Zones[i].Reclaimed
				return ""
			case "plan":
				return plan(t, d, &now, &state, &in)
			}
			t.Fatalf("command %q does not exist", d.Cmd)
			return ""
		})
	})
}

// plan advances the time, plans, and makes the ordered upstreams ready immediately.
func plan(t *testing.T, d *datadriven.TestData, now *time.Time, state *State, in *Input) string {
	var seconds, urgent, other int
	d.ScanArgs(t, "after", &seconds)
	d.ScanArgs(t, "urgent", &urgent)
	d.ScanArgs(t, "other", &other)
	*now = now.Add(time.Duration(seconds) * time.Second)
	in.Demand[0], in.Demand[2] = float64(urgent), float64(other)
	orders, next := Plan(*now, *state, *in)
	*state = next
	apply(in, orders)
	var b strings.Builder
	for _, o := range orders {
		fmt.Fprintln(&b, o.Reason)
	}
	if b.Len() == 0 {
		return "no orders\n"
	}
	return b.String()
}

func apply(in *Input, orders []Order) {
	for _, o := range orders {
		for i := range in.Zones {
			if z := &in.Zones[i]; z.Zone == o.Zone && o.Cheap {
				z.Cheap = o.Count
			} else if z.Zone == o.Zone {
				z.Regular = o.Count
			}
		}
	}
}

// TestUrgentSurvivesReclaim guards against a plan that has too few upstreams for
// urgent work after a zone loses its cheap ones, and against orders for the same
// kind and zone within growInterval.
func TestUrgentSurvivesReclaim(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := Input{
			Zones: []Zone{{Zone: "a"}, {Zone: "b"}, {Zone: "c"}}, Slots: 8, RegularPrice: 4, CheapPrice: 1.2,
		}
		var state State
		now := epoch
		last := map[string]time.Time{}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(16, 200).Draw(t, "seconds")) * time.Second)
			in.Demand[0] = float64(rapid.IntRange(0, 200).Draw(t, "urgent"))
			in.Demand[3] = float64(rapid.IntRange(0, 200).Draw(t, "other"))
			orders, next := Plan(now, state, in)
			state = next
			apply(&in, orders)
			for _, o := range orders {
				k := fmt.Sprint(o.Zone, o.Cheap)
				if d := now.Sub(last[k]); d < growInterval {
					t.Fatalf("%s: got two orders within %v, want %v between them", k, d, growInterval)
				}
				last[k] = now
			}
			all, most := 0, 0
			for _, z := range in.Zones {
				all += z.Regular + z.Cheap
				most = max(most, z.Cheap)
			}
			if got, want := float64(all-most)*float64(in.Slots)*targetUtilization, in.Demand[0]; got < want {
				t.Fatalf("after the loss of a zone's cheap upstreams: got %v slots, want %v for urgent work", got, want)
			}
		}
	})
}
