package billing

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"os"
	"runtime"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"quetzalhook"
	"quetzalhook/internal/fleet/lease"
	"quetzalhook/internal/platform/memory"
	"quetzalhook/internal/record/usage"
	"quetzalhook/internal/state/invariant"
)

func TestMain(m *testing.M) {
	// With several threads, timers in a synctest bubble sometimes crash the
	// runtime of the race detector. Flags on the command line override the flags
	// that are set here.
	runtime.GOMAXPROCS(1)
	_ = flag.Set("rapid.seed", "7")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.steps", "60")
	_ = flag.Set("rapid.checks", "50")
	os.Exit(m.Run())
}

var schedule = usage.NewSchedule(time.Minute)

// billed returns the sum of the lines of all reports, by customer and class.
func billed(t testingT, reports map[string]string) map[usage.Key]usage.Amount {
	sum := make(map[usage.Key]usage.Amount)
	for _, body := range reports {
		var r Report
		if err := json.Unmarshal([]byte(body), &r); err != nil {
			t.Fatal(err)
		}
		for _, l := range r.Lines {
			k := usage.Key{Customer: l.Customer, Class: l.Class}
			sum[k] = sum[k].Plus(usage.Amount{Prompt: l.Prompt, Output: l.Output, Wasted: l.Wasted, Requests: l.Requests})
		}
	}
	return sum
}

// testingT has the methods that testing.T and rapid.T share.
type testingT interface {
	Fatal(...any)
	Errorf(string, ...any)
}

// testHost is one host with its usage meter, lease and reporter. Its gate can pause
// or kill it at each call to the store or the platform.
type testHost struct {
	id       quetzalhook.HostStatus
	gate     *memory.Gate
	receiver *memory.Receiver
	meter    *usage.Meter
	lease    *lease.Lease
	reporter *Reporter
}

func (h *testHost) Report(_ context.Context, window string, fencing uint64, body []byte) error {
	if h.gate.Pass() != nil {
		return &quetzalhook.StoreError{Op: "report", Kind: quetzalhook.StoreUnavailable}
	}
	err := h.receiver.Report(h.id.Host, window, fencing, body)
	_ = h.gate.Pass()
	return err
}

func (h *testHost) Hosts(context.Context) ([]quetzalhook.HostStatus, error) {
	err := h.gate.Pass()
	return h.receiver.Hosts(), err
}

// testFleet is a set of hosts with the store, network and platform that they share.
type testFleet struct {
	store       *memory.Store
	net         *memory.Network
	receiver    *memory.Receiver
	inv         *invariant.Registry
	hosts       []*testHost
	killed      []*testHost
	incarnation quetzalhook.Incarnation
}

func newFleet() *testFleet {
	return &testFleet{
		store: memory.New(), net: memory.NewNetwork(), inv: invariant.New(nil),
		receiver: memory.NewReceiver(false), hosts: make([]*testHost, 3),
	}
}

func (f *testFleet) startHost(t testingT, i int) {
	f.addHost(t, i)
	f.hosts[i].meter.Start()
	f.hosts[i].lease.Start()
	f.hosts[i].reporter.Start()
}

// addHost adds a host without starting its background work.
func (f *testFleet) addHost(t testingT, i int) {
	f.incarnation++
	h := &testHost{gate: &memory.Gate{}, receiver: f.receiver}
	h.id = quetzalhook.HostStatus{Host: quetzalhook.HostID(fmt.Sprint("host-", i)), Incarnation: f.incarnation}
	wall := quetzalhook.ClockFunc(time.Now)
	clock, store := h.gate.Clock(wall), h.gate.Store(f.store)
	zone := quetzalhook.Zone(fmt.Sprint("zone-", i))
	peer := f.net.Join(quetzalhook.Member{Host: h.id.Host, Incarnation: f.incarnation, Zone: zone}, h.gate)
	h.meter = usage.New(usage.Source{Host: h.id.Host, Incarnation: f.incarnation}, zone, store, clock, wall, peer, schedule,
		usage.WithIntervals(5*time.Second, 15*time.Second))
	l, err := lease.New(lease.RoleReporter, h.id.Host, f.incarnation, store, clock, f.inv)
	if err != nil {
		t.Fatal(err)
	}
	h.lease = l
	h.reporter = New(l, store, h, h, f.inv, clock, wall, schedule, WithGrace(45*time.Second),
		WithGoneAfter(30*time.Second), WithSettle(20*time.Second), WithLookback(120))
	f.hosts[i] = h
	f.receiver.SetHost(h.id)
}

// restartHost kills host i and starts a new incarnation of it.
func (f *testFleet) restartHost(t testingT, i int) {
	f.hosts[i].gate.Kill()
	f.killed = append(f.killed, f.hosts[i])
	f.startHost(t, i)
}

func (f *testFleet) close() {
	for _, h := range append(f.killed, f.hosts...) {
		_ = h.reporter.Close()
		_ = h.lease.Close()
		_ = h.meter.Close(context.Background())
	}
	time.Sleep(3 * time.Minute) // until delayed writes to the store have taken effect
}

func (f *testFleet) check(t testingT) {
	if got := f.receiver.Violations(); len(got) > 0 || f.inv.Violations() > 0 {
		t.Errorf("got %v %v, want one report of each window by one reporter", got, f.inv.Details())
	}
}

// Guards against repeated reports with different figures, reports of two reporters
// at once, and usage that is billed twice or not at all. The faults are paused and
// killed hosts, outages of the store, lost answers and delayed writes, stale reads,
// and lost or refused reports.
func TestFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { rapid.SyncTest(t, runFaults) })
}

func runFaults(t *rapid.T) {
	f := newFleet()
	for i := range f.hosts {
		f.startHost(t, i)
	}
	pick := rapid.IntRange(0, 2)
	sleep := rapid.SampledFrom([]time.Duration{time.Second, 20 * time.Second, time.Minute})
	t.Repeat(map[string]func(*rapid.T){
		"add": func(t *rapid.T) {
			if h := f.hosts[pick.Draw(t, "host")]; !h.gate.Paused() {
				h.meter.Add("customer", "class", usage.Amount{Prompt: 3, Output: 5, Requests: 1})
			}
		},
		"pause":  func(t *rapid.T) { f.hosts[pick.Draw(t, "host")].gate.Pause() },
		"resume": func(t *rapid.T) { f.hosts[pick.Draw(t, "host")].gate.Resume() },
		"kill":   func(t *rapid.T) { f.restartHost(t, pick.Draw(t, "host")) },
		"faults": func(t *rapid.T) {
			f.store.SetFaults(memory.Faults{
				Outage: rapid.Bool().Draw(t, "outage"), LoseAnswers: rapid.IntRange(0, 3).Draw(t, "lose"),
				LateChanges: rapid.IntRange(0, 2).Draw(t, "late"), LateBy: sleep.Draw(t, "late-by"),
				StaleReads: rapid.Bool().Draw(t, "stale"),
			})
		},
		"heal": func(*rapid.T) { f.store.SetFaults(memory.Faults{}) },
		"sink": func(t *rapid.T) {
			f.receiver.SetFaults(rapid.IntRange(0, 3).Draw(t, "lose"), rapid.Bool().Draw(t, "refuse"))
		},
		"run": func(t *rapid.T) { time.Sleep(sleep.Draw(t, "time")) },
		"":    func(t *rapid.T) { f.check(t) },
	})
	f.store.SetFaults(memory.Faults{})
	f.receiver.SetFaults(0, false)
	for _, h := range append(f.killed, f.hosts...) {
		h.gate.Resume()
	}
	time.Sleep(8 * time.Minute)
	f.check(t)
	f.checkBilled(t)
	f.close()
}

// checkBilled compares the reports with the usage and the frozen figures in the
// store, and checks that the newest report is of the last minutes.
func (f *testFleet) checkBilled(t testingT) {
	reports := f.receiver.Reports()
	want := make(map[usage.Key]usage.Amount)
	for w := range reports {
		all, err := usage.Collect(context.Background(), f.store, usage.Window(w))
		if err != nil {
			t.Fatal(err)
		}
		for k, a := range usage.Sum(all) {
			want[k] = want[k].Plus(a)
		}
	}
	f.checkFrozen(t)
	if got := billed(t, reports); fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("billed: got %v, want %v as counted", got, want)
	}
	newest := slices.Max(slices.Collect(maps.Keys(reports)))
	if end, _ := schedule.End(usage.Window(newest)); time.Since(end) > 4*time.Minute {
		t.Errorf("newest report: got %s at %s, want one of the last minutes", newest, time.Now())
	}
}

// checkFrozen checks that each report equals the frozen report in the store.
func (f *testFleet) checkFrozen(t testingT) {
	for w, got := range f.receiver.Reports() {
		r := &Reporter{store: f.store, bodies: make(map[usage.Window][]byte)}
		want, err := r.cachedReport(context.Background(), usage.Window(w))
		if err != nil || got != string(want) {
			t.Errorf("report of %s: got %s, want %s as frozen (%v)", w, got, want, err)
		}
	}
}

// Guards against a reporter that is paused at any call of its round and, when it
// resumes, freezes or reports a window that its successor has already reported
// with more usage.
func TestPausedReporter(t *testing.T) {
	pass := 0
	for reached := true; reached; {
		pass++
		synctest.Test(t, func(t *testing.T) { reached = runPausedReporter(t, pass) })
	}
	if got, want := pass, 30; got < want {
		t.Errorf("passes: got %d, want at least %d", got, want)
	}
}

// runPausedReporter pauses the reporter of host a at the given pass of its gate,
// lets host b take over, and then resumes a. It reports whether a's round reached
// that pass.
func runPausedReporter(t *testing.T, pass int) bool {
	ctx := context.Background()
	f := newFleet()
	for i := range f.hosts {
		f.addHost(t, i)
	}
	a, b, c := f.hosts[0], f.hosts[1], f.hosts[2]
	step := func(h *testHost) {
		_ = h.lease.Step(ctx)
		_ = h.reporter.Step(ctx)
	}
	step(a) // makes the current window the first one to report
	for _, h := range []*testHost{b, c} {
		h.meter.Add("customer", "class", usage.Amount{Requests: 1})
	}
	time.Sleep(2 * time.Minute)
	_ = b.meter.Flush(ctx)
	a.gate.PauseAt(a.gate.Passes() + pass)
	done := make(chan struct{})
	go func() {
		defer close(done)
		step(a)
	}()
	synctest.Wait()
	reached := a.gate.Paused()
	a.gate.PauseAt(0)
	_ = c.meter.Flush(ctx) // too late for a, but in time for its successor
	for range 20 {
		step(b)
		time.Sleep(3 * time.Second)
	}
	a.gate.Resume()
	<-done
	for range 40 {
		step(a)
		step(b)
		time.Sleep(3 * time.Second)
	}
	f.check(t)
	f.checkBilled(t)
	return reached
}
