package notice

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"quetzalhook"
)

// Guards against a notice that is overlooked, that outlives its upstream, or that
// binds an upstream which has started again. The lines of a script are:
//
//	at OFFSET                  sets the time
//	answer ID STARTED          ID answers that it leaves
//	pause ID STARTED LENGTH    ID answers that it wants nothing for so long
//	take ID STARTED COUNT      prints how many of COUNT requests may be sent
//	barred                     prints the upstreams that must get no request now
//	counts                     prints the numbers of upstreams that leave and pause
//	peer ID STARTED AGE        another host tells that ID leaves
//	list ID:STARTED ...        takes a list of upstreams, and prints those that are marked
//	ask ID STARTED ...         prints whether requests may be sent
//	left [LIMIT]               prints the upstreams that leave
func TestNotices(t *testing.T) {
	datadriven.RunTest(t, "testdata/notices", func(t *testing.T, d *datadriven.TestData) string {
		var out strings.Builder
		start := time.Unix(1000, 0)
		now := start
		n := New(WithReport(func(c Change) {
			fmt.Fprintf(&out, "new: %s %s from %q, age %v, for %v\n", c.Upstream, c.Word, c.From, c.Age, c.For)
		}))
		for line := range strings.Lines(d.Input) {
			f := strings.Fields(line)
			switch f[0] {
			case "at":
				now = start.Add(duration(t, f[1]))
			case "answer":
				n.Observe(now, quetzalhook.UpstreamID(f[1]), number(t, f[2]), quetzalhook.Verdict{Leaving: true})
			case "pause":
				n.Observe(now, quetzalhook.UpstreamID(f[1]), number(t, f[2]), quetzalhook.Verdict{NotRun: true, Pause: duration(t, f[3])})
			case "take":
				taken := 0
				for range number(t, f[3]) {
					if n.Take(now, quetzalhook.UpstreamID(f[1]), number(t, f[2])) {
						taken++
					}
				}
				fmt.Fprintf(&out, "taken: %d\n", taken)
			case "barred":
				var list []string
				for _, b := range n.Barred(now) {
					list = append(list, fmt.Sprintf("%s:%d %v", b.Upstream, b.Started, b.For))
				}
				slices.Sort(list)
				fmt.Fprintf(&out, "barred: %v\n", list)
			case "counts":
				leaving, paused := n.Counts(now)
				fmt.Fprintf(&out, "leaving %d, paused %d\n", leaving, paused)
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

// model is what the hosts of a fleet may know of the notices of one host.
type model struct {
	left   map[quetzalhook.UpstreamID]int64 // last start that has told this host, or another that has told it
	paused map[quetzalhook.UpstreamID][]interval
}

type interval struct {
	started int64
	until   time.Time
}

// Guards against a request that is placed against a notice in force, and against an
// upstream that is kept out after its last notice has ended, whatever the order of
// answers, reports and restarts.
func TestNoticesHoldAndEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := []quetzalhook.UpstreamID{"a", "b", "c"}
		now := time.Unix(1000, 0)
		starts := map[quetzalhook.UpstreamID]int64{"a": 1, "b": 1, "c": 1}
		var hosts []*Notices
		var models []model
		for range 3 {
			hosts = append(hosts, New())
			models = append(models, model{left: make(map[quetzalhook.UpstreamID]int64), paused: make(map[quetzalhook.UpstreamID][]interval)})
		}
		relist := func() {
			list := []quetzalhook.Upstream{{ID: "a", Started: starts["a"]}, {ID: "b", Started: starts["b"]}, {ID: "c", Started: starts["c"]}}
			for _, h := range hosts {
				h.Retain(now, list)
			}
		}
		pick := func(t *rapid.T) (int, quetzalhook.UpstreamID) {
			return rapid.IntRange(0, 2).Draw(t, "host"), rapid.SampledFrom(ids).Draw(t, "upstream")
		}
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"answer": func(t *rapid.T) { // also of an earlier start
				i, id := pick(t)
				started := rapid.Int64Range(1, starts[id]).Draw(t, "start")
				v := quetzalhook.Verdict{Leaving: rapid.Bool().Draw(t, "leaving"), Pause: time.Duration(rapid.IntRange(0, 4000).Draw(t, "pause")) * time.Millisecond}
				hosts[i].Observe(now, id, started, v)
				if v.Leaving {
					models[i].left[id] = max(models[i].left[id], started)
				}
				models[i].paused[id] = append(models[i].paused[id], interval{started, now.Add(v.Pause)})
			},
			"tell": func(t *rapid.T) {
				from, to := rapid.IntRange(0, 2).Draw(t, "from"), rapid.IntRange(0, 2).Draw(t, "to")
				hosts[to].Learn(now, "h", hosts[from].Left(now, 0))
				for id, started := range models[from].left {
					if started == starts[id] {
						models[to].left[id] = started
					}
				}
			},
			"restart": func(t *rapid.T) {
				starts[rapid.SampledFrom(ids).Draw(t, "upstream")]++
				if rapid.Bool().Draw(t, "listed") {
					relist()
				}
			},
			"list": func(*rapid.T) { relist() },
			"": func(t *rapid.T) {
				for i, h := range hosts {
					for _, id := range ids {
						bound, recent := models[i].left[id] == starts[id], false
						for _, p := range models[i].paused[id] {
							if p.started == starts[id] {
								bound = bound || now.Before(p.until)
								recent = recent || now.Before(p.until.Add(returnSteps*maxReturnStep))
							}
						}
						marked := h.Mark([]quetzalhook.Upstream{{ID: id, Started: starts[id]}})[0].State == quetzalhook.UpstreamLeaving
						if want := models[i].left[id] == starts[id]; marked != want {
							t.Fatalf("host %d: %s marked as leaving: got %v, want %v", i, id, marked, want)
						}
						switch got := h.Allows(now, id, starts[id]); {
						case bound && got:
							t.Fatalf("host %d: got a request to %s against a notice in force", i, id)
						case !bound && !recent && !got:
							t.Fatalf("host %d: %s kept out after its notices have ended", i, id)
						}
					}
				}
			},
		})
	})
}

// BenchmarkAsk measures the cost of a request without any notice, and with one.
func BenchmarkAsk(b *testing.B) {
	for _, notices := range []int{0, 1, 30} {
		b.Run(fmt.Sprintf("notices=%d", notices), func(b *testing.B) {
			n, now := New(), time.Unix(1000, 0)
			for i := range notices {
				n.Observe(now, quetzalhook.UpstreamID(strconv.Itoa(i)), 1, quetzalhook.Verdict{Leaving: true})
			}
			b.ReportAllocs()
			for b.Loop() {
				n.Barred(now)
				n.Take(now, "u", 1)
				n.Observe(now, "u", 1, quetzalhook.Verdict{})
			}
		})
	}
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
