package throttle

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"quetzalhook"
)

// Guards against a limit that is forgotten or kept after its end, answers out of
// order, and an unused limit whose end nobody notices.
func TestLimits(t *testing.T) {
	datadriven.RunTest(t, "testdata/limits", func(t *testing.T, d *datadriven.TestData) string {
		rank, hosts := 0, 1
		start := time.Unix(1000, 0)
		now := start
		l := New(WithRank(func(quetzalhook.UpstreamID) (int, int) { return rank, hosts }))
		var out strings.Builder
		for line := range strings.Lines(d.Input) {
			f := strings.Fields(line)
			switch f[0] {
			case "rank":
				rank, _ = strconv.Atoi(f[1])
				hosts, _ = strconv.Atoi(f[2])
			case "at":
				offset, err := time.ParseDuration(f[1])
				if err != nil {
					t.Fatal(err)
				}
				now = start.Add(offset)
			case "answer": // limit, and how long ago
				limit, err := strconv.ParseFloat(f[1], 64)
				if err != nil {
					t.Fatal(err)
				}
				at := now
				if len(f) > 2 {
					age, _ := time.ParseDuration(f[2])
					at = now.Add(-age)
				}
				fmt.Fprintf(&out, "changed: %v\n", l.Observe(at, "u", limit))
			case "send": // as many of a number of requests as the limit allows now
				n, _ := strconv.Atoi(f[1])
				sent := 0
				for range n {
					if l.Allows(now, "u") {
						l.Start(now, "u")
						sent++
					}
				}
				fmt.Fprintf(&out, "sent: %d\n", sent)
			case "restart":
				l.Retain(func(quetzalhook.UpstreamID) bool { return false })
			case "named":
				fmt.Fprintf(&out, "named: %v\n", l.Since(now, 3*time.Second)["u"])
			}
		}
		return out.String()
	})
}

// Guards against hosts that exceed the limit of an upstream together, and against a
// limit of which little is used.
func TestHostsShareLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		perSecond := rapid.Float64Range(0.2, 40).Draw(rt, "limit")
		hosts := rapid.IntRange(1, 300).Draw(rt, "hosts")
		now := time.Unix(1000, 0)
		var all []*Limits
		for i := range hosts {
			l := New(WithRank(func(quetzalhook.UpstreamID) (int, int) { return i, hosts }))
			l.Observe(now, "u", perSecond)
			all = append(all, l)
		}
		const step, steps, window = 20 * time.Millisecond, 2000, 200
		sent := make([]int, steps)
		total, inWindow, most := 0, 0, 0
		for n := range steps {
			now = now.Add(step)
			for _, l := range all {
				if l.Allows(now, "u") {
					l.Start(now, "u")
					sent[n]++
					l.Observe(now, "u", perSecond)
				}
			}
			total += sent[n]
			inWindow += sent[n]
			if n >= window {
				inWindow -= sent[n-window]
			}
			most = max(most, inWindow)
		}
		if got, want := float64(most), 1.5*4*perSecond+5; got > want {
			rt.Errorf("requests in 4 s with a limit of %.2f a second and %d hosts: got %.0f, want at most %.1f", perSecond, hosts, got, want)
		}
		if got, want := float64(total), 0.5*perSecond*(steps*step).Seconds(); got < want {
			rt.Errorf("requests in 40 s with a limit of %.2f a second and %d hosts: got %.0f, want at least %.1f", perSecond, hosts, got, want)
		}
	})
}
