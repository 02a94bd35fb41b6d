package health

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

// TestMain fixes the seed; the flags -rapid.seed and -rapid.checks set another
// seed and number of cases.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

// harness drives a monitor over engines in one zone.
type harness struct {
	m       *Monitor
	now     time.Time
	streams map[string]*Stream
	tokens  map[string]float64
	silent  map[string]bool
	list    []quetzalhook.Upstream
}

func newHarness(n int) *harness {
	b := &harness{m: New(), now: epoch, streams: map[string]*Stream{}, tokens: map[string]float64{}, silent: map[string]bool{}}
	for i := range n {
		b.list = append(b.list, quetzalhook.Upstream{
			ID: quetzalhook.UpstreamID(fmt.Sprintf("e%d", i)), Zone: "z", Models: []quetzalhook.Model{"m"}, TokenRate: 50,
		})
	}
	b.m.SetUpstreams(b.list)
	return b
}

// run advances the time by 50 ms steps; rate returns the tokens/s of each
// stream on an engine.
func (b *harness) run(d time.Duration, rate func(engine string) float64) {
	for end := b.now.Add(d); b.now.Before(end); {
		b.now = b.now.Add(50 * time.Millisecond)
		for name, s := range b.streams {
			if b.silent[name] {
				continue
			}
			b.tokens[name] += 0.05 * rate(string(s.target.id))
			b.m.Progress(b.now, s, int(b.tokens[name]))
		}
		b.m.Check(b.now)
	}
}

func (b *harness) start(name, engine string) {
	b.streams[name] = b.m.Started(b.now, b.m.Target(quetzalhook.UpstreamID(engine)), 100*time.Millisecond)
	b.tokens[name] = 0
}

func (b *harness) end(name string, end quetzalhook.End) {
	b.m.Ended(b.now, b.streams[name], end)
	delete(b.streams, name)
}

func (b *harness) states() string {
	names := map[State]string{Healthy: "healthy", Suspect: "suspect", Ejected: "ejected", Probing: "probing"}
	var out strings.Builder
	for _, t := range b.m.order {
		fmt.Fprintf(&out, "%s %s limit=%d\n", t.id, names[t.State()], min(t.Limit(), 99))
	}
	return out.String()
}

// TestScripts guards ejection and return to service; the comments in the
// scripts describe the cases.
func TestScripts(t *testing.T) {
	ends := map[string]quetzalhook.End{
		"finished": quetzalhook.EndFinished, "broken": quetzalhook.EndBroken, "not-sent": quetzalhook.EndNotSent,
		"cancelled": quetzalhook.EndCancelled,
	}
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		var b *harness
		slow := map[string]float64{}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "engines":
				var n int
				d.ScanArgs(t, "n", &n)
				b = newHarness(n)
			case "start", "end":
				var name, on, how string
				d.ScanArgs(t, "stream", &name)
				if d.Cmd == "start" {
					d.ScanArgs(t, "on", &on)
					b.start(name, on)
				} else {
					d.ScanArgs(t, "how", &how)
					b.end(name, ends[how])
				}
			case "mute":
				var name string
				d.ScanArgs(t, "stream", &name)
				b.silent[name] = true
			case "pause":
				var ms int
				d.ScanArgs(t, "ms", &ms)
				b.now = b.now.Add(time.Duration(ms) * time.Millisecond)
				b.m.Check(b.now)
				return b.states()
			case "rate":
				var on string
				var tokens int
				d.ScanArgs(t, "on", &on)
				d.ScanArgs(t, "tokens", &tokens)
				slow[on] = float64(tokens)
			case "run":
				var ms int
				d.ScanArgs(t, "ms", &ms)
				b.run(time.Duration(ms)*time.Millisecond, func(e string) float64 {
					if r, ok := slow[e]; ok {
						return r
					}
					return 50
				})
				return b.states()
			default:
				t.Fatalf("command %q does not exist", d.Cmd)
			}
			return ""
		})
	})
}

// TestEjectedUnderCap guards against a monitor that ejects more upstreams than
// the cap allows, whatever happens to them. It starts requests only up to each
// upstream's limit.
func TestEjectedUnderCap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(t, "engines")
		b := newHarness(n)
		for i := range b.list {
			if i%2 == 0 {
				b.list[i].Models = append(b.list[i].Models, "n")
			}
		}
		b.m.SetUpstreams(b.list)
		rates := map[string]float64{}
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			e := fmt.Sprintf("e%d", rapid.IntRange(0, n-1).Draw(t, "engine"))
			target := b.m.Target(quetzalhook.UpstreamID(e))
			if target.Running() < target.Limit() {
				b.start(fmt.Sprint("s", step), e)
			}
			if name := fmt.Sprint("s", rapid.IntRange(0, step).Draw(t, "ends")); b.streams[name] != nil {
				b.end(name, quetzalhook.End(rapid.IntRange(1, 5).Draw(t, "end")))
			}
			rates[e] = rapid.SampledFrom([]float64{0, 5, 50}).Draw(t, "rate")
			b.run(time.Duration(rapid.IntRange(50, 4000).Draw(t, "ms"))*time.Millisecond, func(e string) float64 { return rates[e] })
			out, shared := 0, 0
			for i, o := range b.m.order {
				if o.isOutOfService() {
					out++
					shared += (i + 1) % 2
				}
			}
			// Every other engine serves model n, too. Half may be out of service,
			// at least one of two, never the only one.
			most := func(size int) int { return max(size/2, min(size-1, 1)) }
			if out > most(n) {
				t.Fatalf("ejected: got %d of %d, want at most %d", out, n, most(n))
			}
			if size := (n + 1) / 2; shared > most(size) {
				t.Fatalf("ejected of those that serve n: got %d of %d, want at most %d", shared, size, most(size))
			}
			if !b.m.UnderCap() {
				t.Fatal("got over the cap by the monitor's own check")
			}
		}
	})
}

// TestBudget guards against retries that multiply the load of a failing
// fleet.
func TestBudget(t *testing.T) {
	b := NewBudget(0.1, 2)
	for i := range 100 {
		b.Record(epoch.Add(time.Duration(i) * 50 * time.Millisecond))
	}
	now := epoch.Add(5 * time.Second)
	got := 0
	for range 100 {
		if b.Allow(now) {
			got++
		}
	}
	if got != 12 {
		t.Errorf("retries for 100 requests: got %d, want 12", got)
	}
	got = 0
	for range 10 {
		if b.Allow(now.Add(20 * time.Second)) {
			got++
		}
	}
	if got != 2 {
		t.Errorf("retries after a quiet time: got %d, want the minimum of 2", got)
	}
}
