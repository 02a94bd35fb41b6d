package warmup

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"quetzalhook"
)

// Guards against an upstream that counts as warm although it may have started again: one
// that is new, has a new start, returns, names the time left, was lost, or whose zone
// returns; and against one that counts as cold although it has not ended.
func TestTracker(t *testing.T) {
	datadriven.RunTest(t, "testdata/tracker", func(t *testing.T, d *datadriven.TestData) string {
		start := time.Unix(1000, 0)
		now := start
		var out strings.Builder
		tracker := New(WithReport(func(c Change) { fmt.Fprintf(&out, "%s: %s %v\n", c.Upstream, c.Cause, c.For) }))
		var list []quetzalhook.Upstream
		update := func() {
			tracker.Update(now, list, func(string) Setting { return Setting{Time: 3 * time.Second, Bound: 12.5} })
		}
		duration := func(text string) time.Duration {
			n, err := time.ParseDuration(text)
			if err != nil {
				t.Fatal(err)
			}
			return n
		}
		for line := range strings.Lines(d.Input) {
			f := strings.Fields(line)
			switch f[0] {
			case "at":
				now = start.Add(duration(f[1]))
			case "record": // start, revision with the era after an @ if there is one, time left
				started, _ := strconv.Atoi(f[1])
				var revision, era int64
				_, _ = fmt.Sscanf(f[2], "%d@%d", &revision, &era)
				list = []quetzalhook.Upstream{{ID: "u", Started: int64(started), Record: quetzalhook.NewVersion(era, revision), ColdFor: duration(f[3])}}
				update()
			case "removed":
				list = nil
				update()
			case "evacuated":
				list[0].Evacuated = f[1] == "yes"
				update()
			case "lost":
				tracker.Lost(now, "u")
			case "answered": // a request that was placed at a time
				tracker.Answered(now, "u", start.Add(duration(f[1])))
			case "says": // start, time left
				started, _ := strconv.Atoi(f[1])
				tracker.Observe(now, "u", int64(started), duration(f[2]))
			case "left":
				_, until := tracker.Bound("u")
				fmt.Fprintf(&out, "left %v, for others too %v\n", max(until.Sub(now), 0), tracker.Left(now, "u"))
			default:
				t.Fatalf("unknown command %q", line)
			}
		}
		return out.String()
	})
}

// Guards against a restarted host that takes all upstreams for cold, and against one that
// takes an upstream for warm that may be cold.
func TestFirstLists(t *testing.T) {
	booted := time.Unix(1000, 0) // the clock of the host is not the wall clock
	started := time.Unix(1_000_000, 0)
	old := started.Add(-time.Minute).UnixMilli()
	const cold = 3 * time.Second
	for _, c := range []struct {
		name  string
		after time.Duration // from the start of the host to the list
		u     quetzalhook.Upstream
		want  bool
	}{
		{"started long before the host", time.Second, quetzalhook.Upstream{Started: old}, true},
		{"has told that it is cold", time.Second, quetzalhook.Upstream{Started: old, ColdFor: time.Second}, false},
		{"start not told", time.Second, quetzalhook.Upstream{}, false},
		{"start in the future", time.Second, quetzalhook.Upstream{Started: started.Add(time.Minute).UnixMilli()}, false},
		{"started lately", time.Second, quetzalhook.Upstream{Started: started.Add(-3 * time.Second).UnixMilli()}, false},
		{"started just long enough before", time.Second, quetzalhook.Upstream{Started: started.Add(-4001 * time.Millisecond).UnixMilli()}, true},
		{"listed late", firstListsTime, quetzalhook.Upstream{Started: old}, false},
	} {
		c.u.ID, c.u.Record = "u", 1
		tracker := New(WithStarted(booted, started))
		setting := func(string) Setting { return Setting{Time: cold, Bound: 12.5} }
		now := booted.Add(c.after)
		tracker.Update(now, []quetzalhook.Upstream{c.u}, setting)
		_, until := tracker.Bound("u")
		if got := !now.Before(until); got != c.want {
			t.Errorf("%s: warm: got %v, want %v", c.name, got, c.want)
		}
		if c.want && now.Sub(until) < time.Minute {
			t.Errorf("%s: cold until %v before the list, want no ramp", c.name, now.Sub(until))
		}
		// It was removed meanwhile, and may have ended.
		tracker.Update(now, nil, setting)
		tracker.Update(now.Add(time.Second), []quetzalhook.Upstream{c.u}, setting)
		if _, until := tracker.Bound("u"); !now.Add(time.Second).Before(until) {
			t.Errorf("%s: after a removal: got warm, want cold", c.name)
		}
	}
}

// BenchmarkUpdate measures a new list of the target size.
func BenchmarkUpdate(b *testing.B) {
	list := make([]quetzalhook.Upstream, 10_000)
	for i := range list {
		list[i] = quetzalhook.Upstream{ID: quetzalhook.UpstreamID(fmt.Sprintf("i-%010x", i)), Service: "s", Record: 1}
	}
	tracker := New()
	now := time.Unix(1000, 0)
	b.ReportAllocs()
	for b.Loop() {
		tracker.Update(now, list, func(string) Setting { return Setting{Time: 3 * time.Second, Bound: 12.5} })
	}
}
