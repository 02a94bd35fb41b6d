package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"quetzalhook"
	"quetzalhook/platform/standin"
)

// driver runs the commands of the test data, each of which passes an observation
// of a caller, an upstream or the platform to a Checker.
type driver struct {
	t       *testing.T
	checker *Checker
	start   time.Time
	now     time.Time
	// disturbed holds the hosts for which no bound is checked.
	disturbed map[quetzalhook.HostID]bool
	calm      map[quetzalhook.HostID]time.Time // end of a disturbance
	resumed   map[quetzalhook.HostID]time.Time
	reset     map[quetzalhook.HostID]time.Time
	work      PlannedWork
}

func newDriver(t *testing.T) *driver {
	d := &driver{
		t: t, start: time.Unix(1000, 0), now: time.Unix(1000, 0), disturbed: make(map[quetzalhook.HostID]bool), calm: make(map[quetzalhook.HostID]time.Time),
		resumed: make(map[quetzalhook.HostID]time.Time), reset: make(map[quetzalhook.HostID]time.Time), work: PlannedWork{Undisturbed: true},
	}
	d.checker = NewChecker(func(h quetzalhook.HostID, since time.Time) bool {
		return !d.disturbed[h] && d.calm[h].Add(stableWindow).Before(since)
	}, func(h quetzalhook.HostID) time.Time { return d.resumed[h] })
	d.checker.notices.hasReset = func(h quetzalhook.HostID, since time.Time) bool { return !d.reset[h].Before(since) }
	return d
}

func (d *driver) number(text string) int64 {
	var n int64
	if _, err := fmt.Sscan(text, &n); err != nil {
		d.t.Fatal(err)
	}
	return n
}

func (d *driver) run(line string) {
	f := strings.Fields(line)
	has := func(word string) bool { return slices.Contains(f, word) }
	switch f[0] {
	case "wait": // ms
		d.now = d.now.Add(time.Duration(d.number(f[1])) * time.Millisecond)
	case "reset": // host: it has restarted
		d.reset[quetzalhook.HostID(f[1])] = d.now
	case "reached": // id upstream [pause in ms]
		a := standin.Contact{ID: quetzalhook.RequestID(f[1]), Upstream: quetzalhook.UpstreamID(f[2]), At: d.now}
		if len(f) > 3 {
			a.Pause = time.Duration(d.number(f[3])) * time.Millisecond
		}
		d.checker.RequestReached(a)
	case "link-fault": // upstream
		d.checker.UpstreamCut(quetzalhook.UpstreamID(f[1]))
	case "disturb":
		d.disturbed[quetzalhook.HostID(f[1])] = true
	case "calm":
		d.calm[quetzalhook.HostID(f[1])] = d.now
	case "resume":
		d.resumed[quetzalhook.HostID(f[1])] = d.now
	case "send": // id host customer [repeatable]
		d.checker.RequestSent(d.now, quetzalhook.HostID(f[2]), f[3], has("repeatable"), standin.Call{
			ID: quetzalhook.RequestID(f[1]), Method: "POST", Path: "/p", Body: "b", Timeout: 14 * time.Second,
		})
	case "ran": // id upstream customer [key] [changed] [leaves]
		a := standin.Arrival{
			ID: quetzalhook.RequestID(f[1]), Upstream: quetzalhook.UpstreamID(f[2]), Customer: f[3], Method: "POST", Path: "/p", Body: "b",
			HasKey: has("key"), Leaving: has("leaves"), At: d.now,
		}
		if has("changed") {
			a.Body = "other"
		}
		d.checker.RequestStarted(a)
	case "moved", "resumed", "ended": // id upstream
		a := standin.Arrival{
			ID: quetzalhook.RequestID(f[1]), Upstream: quetzalhook.UpstreamID(f[2]), Customer: "anna", Method: "POST", Path: "/p", Body: "b",
			Moved: f[0] == "moved", Resumed: true, At: d.now,
		}
		if f[0] != "ended" {
			d.checker.RequestStarted(a)
			break
		}
		for _, r := range d.checker.requests[a.ID].runs {
			if r.Upstream == a.Upstream {
				d.checker.RequestEnded(r.Arrival, d.now)
			}
		}
	case "upstream-stops":
		d.checker.UpstreamStopped(quetzalhook.UpstreamID(f[1]))
	case "term":
		d.work.Stop = d.now
	case "hangup":
		d.work.Reload = d.now
	case "answer": // id status [cut] [wrong] [kept]
		a := standin.Result{Status: int(d.number(f[2])), Complete: !has("cut"), Kept: has("kept")}
		if has("wrong") {
			a.Mismatch = "an event is missing"
		}
		d.checker.ResponseReceived(d.now, quetzalhook.RequestID(f[1]), a, d.work)
	case "events": // began id build...
		r := standin.Result{}
		for _, b := range f[3:] {
			r.Builds = append(r.Builds, quetzalhook.Build(b))
		}
		d.checker.EventsReceived(quetzalhook.RequestID(f[1]), quetzalhook.RequestID(f[2]), r)
	case "leaving":
		d.checker.UpstreamLeaving(d.now, quetzalhook.UpstreamID(f[1]))
	case "confirm": // number key
		d.checker.ConfigurationSent(d.number(f[1]))
		d.checker.ConfigurationConfirmed(d.now, d.number(f[1]), f[2])
	case "serves", "lacks": // host boot number
		d.checker.RouteProbed(d.now, d.now, quetzalhook.HostID(f[1]), int(d.number(f[2])), d.number(f[3]), f[0] == "serves")
	case "upstream": // id service
		d.checker.UpstreamAdded(quetzalhook.UpstreamID(f[1]), f[2])
	case "route": // id host path boot status [upstream]
		id := quetzalhook.RequestID(f[1])
		d.checker.RequestSent(d.now, quetzalhook.HostID(f[2]), "", true, standin.Call{ID: id, Method: "GET", Path: f[3]})
		if len(f) > 6 {
			d.checker.RequestStarted(standin.Arrival{ID: id, Upstream: quetzalhook.UpstreamID(f[6]), Method: "GET", Path: f[3], At: d.now})
		}
		d.checker.RouteAnswered(d.now, id, int(d.number(f[4])), int(d.number(f[5])))
	case "key": // host key
		d.checker.KeyAccepted(d.now, quetzalhook.HostID(f[1]), f[2])
	case "report": // holder fencing window counts [disturbed]
		d.checker.DutyCalled(standin.DutyCall{
			Subject: "usage", Holder: f[1], Fencing: uint64(d.number(f[2])), Window: d.number(f[3]), Counts: f[4], At: d.now,
		}, has("disturbed"))
	default:
		if d.runPartition(f) {
			break
		}
		d.t.Fatalf("unknown command %q", line)
	}
}

// Guards against a check that passes although its guarantee is violated, and
// against one that fails although the guarantee holds. Each block of the test
// data violates one guarantee, or nearly does.
func TestChecker(t *testing.T) {
	datadriven.Walk(t, "testdata/checker", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			s := newDriver(t)
			for line := range strings.Lines(d.Input) {
				s.run(strings.TrimSpace(line))
			}
			_, violations := s.checker.Results()
			var out strings.Builder
			for _, v := range violations {
				fmt.Fprintln(&out, v)
			}
			if len(violations) == 0 {
				return "no violations\n"
			}
			return out.String()
		})
	})
}

// Guards against scripts that differ between two runs with the same seed, and
// against seeds that never give overlapping faults, or planned faults only.
func TestGenerateScript(t *testing.T) {
	duration := 20 * time.Second
	kindsSeen, onlyPlanned, overlapping := make(map[string]int), 0, 0
	for seed := range uint64(60) {
		a := generateScript(rand.New(rand.NewPCG(seed, 1)), duration, nil)
		b := generateScript(rand.New(rand.NewPCG(seed, 1)), duration, nil)
		if c := addNotices(slices.Clone(a), seed, duration, nil); len(c) <= len(a) || fmt.Sprint(c) != fmt.Sprint(addNotices(slices.Clone(b), seed, duration, nil)) {
			t.Fatalf("seed %d: got %v with notices, want the same again, and more than %v", seed, c, a)
		}
		if got, want := fmt.Sprint(a), fmt.Sprint(b); got != want {
			t.Fatalf("seed %d: got %v, want %v", seed, got, want)
		}
		planned := true
		for i, f := range a {
			kindsSeen[f.kind]++
			for _, k := range kinds() {
				planned = planned && (k.name != f.kind || k.planned)
			}
			if i > 0 && a[i-1].at+a[i-1].duration > f.at {
				overlapping++
			}
		}
		if planned {
			onlyPlanned++
		}
	}
	if got, want := len(kindsSeen), len(kinds()); got != want {
		t.Errorf("kinds of faults in 60 seeds: got %d, want %d", got, want)
	}
	if onlyPlanned == 0 || overlapping == 0 {
		t.Errorf("got %d scripts of planned faults only and %d overlaps, want some of both", onlyPlanned, overlapping)
	}
}
