package notice

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"quetzalhook"
)

// Guards against a notice that is overlooked, that outlives its upstream, or that
// binds an upstream which has started again. The lines of a script are:
//
//	at OFFSET                  sets the time
//	answer ID STARTED          ID answers that it leaves
//	peer ID STARTED AGE        another host tells that ID leaves
//	list ID:STARTED ...        takes a list of upstreams, and prints those that are marked
//	ask ID STARTED ...         prints whether requests may be sent
//	left [LIMIT]               prints the upstreams that leave
func TestNotices(t *testing.T) {
	datadriven.RunTest(t, "testdata/notices", func(t *testing.T, d *datadriven.TestData) string {
		var out strings.Builder
		start := time.Unix(1000, 0)
		now := start
		n := New(WithReport(func(c Change) { fmt.Fprintf(&out, "new: %s from %q, age %v\n", c.Upstream, c.From, c.Age) }))
		for line := range strings.Lines(d.Input) {
			f := strings.Fields(line)
			switch f[0] {
			case "at":
				now = start.Add(duration(t, f[1]))
			case "answer":
				n.Observe(now, quetzalhook.UpstreamID(f[1]), number(t, f[2]), quetzalhook.Verdict{Leaving: true})
			case "peer":
				n.Learn(now, "h", []Left{{Upstream: quetzalhook.UpstreamID(f[1]), Started: number(t, f[2]), Age: duration(t, f[3])}})
			case "list":
				var list []quetzalhook.Upstream
				for _, entry := range f[1:] {
					id, started, _ := strings.Cut(entry, ":")
					list = append(list, quetzalhook.Upstream{ID: quetzalhook.UpstreamID(id), Started: number(t, started)})
				}
				n.Retain(now, list)
				var marked []string
				for _, u := range n.Mark(list) {
					if u.State == quetzalhook.UpstreamLeaving {
						marked = append(marked, string(u.ID))
					}
				}
				fmt.Fprintf(&out, "marked: %v\n", marked)
			case "ask":
				fmt.Fprintf(&out, "%s: %v\n", strings.Join(f[1:], " "), n.Allows(now, quetzalhook.UpstreamID(f[1]), number(t, f[2])))
			case "left":
				var limit time.Duration
				if len(f) > 1 {
					limit = duration(t, f[1])
				}
				var left []string
				for _, l := range n.Left(now, limit) {
					left = append(left, fmt.Sprintf("%s:%d %v", l.Upstream, l.Started, l.Age))
				}
				slices.Sort(left)
				fmt.Fprintf(&out, "left: %v\n", left)
			default:
				t.Fatalf("unknown command %q", line)
			}
		}
		return out.String()
	})
}

func number(t *testing.T, s string) int64 {
	v, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

func duration(t *testing.T, s string) time.Duration {
	d, err := time.ParseDuration(s)
	if err != nil {
		t.Fatal(err)
	}
	return d
}
