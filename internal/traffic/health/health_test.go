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
	h := &harness{m: New(), now: epoch, streams: map[string]*Stream{}, tokens: map[string]float64{}, silent: map[string]bool{}}
	for i := range n {
		h.list = append(h.list, quetzalhook.Upstream{
			ID: quetzalhook.UpstreamID(fmt.Sprintf("e%d", i)), Zone: "z", Models: []quetzalhook.Model{"m"}, TokenRate: 50,
		})
	}
	h.m.SetUpstreams(h.list)
	return h
}

// run advances the time by 50 ms steps; rate returns the tokens/s of each
// stream on an engine.
func (h *harness) run(d time.Duration, rate func(engine string) float64) {
	for end := h.now.Add(d); h.now.Before(end); {
		h.now = h.now.Add(50 * time.Millisecond)
		for name, s := range h.streams {
			if h.silent[name] {
				continue
			}
			h.tokens[name] += 0.05 * rate(string(s.target.id))
			h.m.Progress(h.now, s, int(h.tokens[name]))
		}
		h.m.Check(h.now)
	}
}

func (h *harness) start(name, engine string) {
	h.streams[name] = h.m.Started(h.now, h.m.Target(quetzalhook.UpstreamID(engine)), 100*time.Millisecond)
	h.tokens[name] = 0
}

func (h *harness) end(name string, end quetzalhook.End) {
	h.m.Ended(h.now, h.streams[name], end)
	delete(h.streams, name)
}

func (h *harness) states() string {
	names := map[State]string{Healthy: "healthy", Suspect: "suspect", Ejected: "ejected", Probing: "probing"}
	var out strings.Builder
	for _, t := range h.m.order {
		fmt.Fprintf(&out, "%s %s limit=%d\n", t.id, names[t.State()], min(t.Limit(), 99))
	}
	return out.String()
}

// TestScripts guards against unintended changes of when upstreams are ejected
// and return to service; the comments in the scripts describe the cases.
func TestScripts(t *testing.T) {
	ends := map[string]quetzalhook.End{
		"finished": quetzalhook.EndFinished, "broken": quetzalhook.EndBroken, "not-sent": quetzalhook.EndNotSent,
		"cancelled": quetzalhook.EndCancelled,
	}
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		var h *harness
		rates := map[string]float64{}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "engines":
				var n int
				d.ScanArgs(t, "n", &n)
				h = newHarness(n)
			case "start", "end":
				var name, on, how string
				d.ScanArgs(t, "stream", &name)
				if d.Cmd == "start" {
					d.ScanArgs(t, "on", &on)
					h.start(name, on)
				} else {
					d.ScanArgs(t, "how", &how)
					h.end(name, ends[how])
				}
			case "mute":
				var name string
				d.ScanArgs(t, "stream", &name)
				h.silent[name] = true
			case "pause":
				var ms int
				d.ScanArgs(t, "ms", &ms)
				h.now = h.now.Add(time.Duration(ms) * time.Millisecond)
				h.m.Check(h.now)
				return h.states()
			case "rate":
				var on string
				var tokens int
				d.ScanArgs(t, "on", &on)
				d.ScanArgs(t, "tokens", &tokens)
				rates[on] = float64(tokens)
			case "run":
				var ms int
				d.ScanArgs(t, "ms", &ms)
				h.run(time.Duration(ms)*time.Millisecond, func(e string) float64 {
					if r, ok := rates[e]; ok {
						return r
					}
					return 50
				})
				return h.states()
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
		h := newHarness(n)
		for i := range h.list {
			if i%2 == 0 {
				h.list[i].Models = append(h.list[i].Models, "n")
			}
		}
		h.m.SetUpstreams(h.list)
		rates := map[string]float64{}
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			e := fmt.Sprintf("e%d", rapid.IntRange(0, n-1).Draw(t, "engine"))
			target := h.m.Target(quetzalhook.UpstreamID(e))
			if target.Running() < target.Limit() {
				h.start(fmt.Sprint("s", step), e)
			}
			if name := fmt.Sprint("s", rapid.IntRange(0, step).Draw(t, "ends")); h.streams[name] != nil {
				h.end(name, quetzalhook.End(rapid.IntRange(1, 5).Draw(t, "end")))
			}
			rates[e] = rapid.SampledFrom([]float64{0, 5, 50}).Draw(t, "rate")
			h.run(time.Duration(rapid.IntRange(50, 4000).Draw(t, "ms"))*time.Millisecond, func(e string) float64 { return rates[e] })
			out, shared := 0, 0
			for i, o := range h.m.order {
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
			if !h.m.UnderCap() {
				t.Fatal("UnderCap: got false, want true")
			}
		}
	})
}

// TestBudget guards against retries that multiply the load on failing
// upstreams.
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
		t.Errorf("retries after 20 s without requests: got %d, want the minimum of 2", got)
	}
}
