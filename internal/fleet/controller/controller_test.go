package controller

import (
	"context"
	"flag"
	"fmt"
	"os"
	"runtime"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"quetzalhook"
	"quetzalhook/internal/fleet/lease"
	"quetzalhook/internal/platform/memory"
	"quetzalhook/internal/state/invariant"
)

const (
	term   = 10 * time.Second
	margin = 2 * time.Second
)

func TestMain(m *testing.M) {
	// With several threads, timers in a synctest bubble sometimes crash the race
	// detector's own runtime. The command line overrides the flags set here.
	runtime.GOMAXPROCS(1)
	_ = flag.Set("rapid.seed", "7")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// testHost is a host with a lease and a controller. Its gate can pause or kill it
// at every access to the clock, the store or the platform.
type testHost struct {
	host     quetzalhook.HostID
	gate     *memory.Gate
	receiver *memory.Receiver
	lease    *lease.Lease
	ctl      *Controller
	need     int
}

func newTestHost(t interface{ Fatal(...any) }, host quetzalhook.HostID, inc quetzalhook.Incarnation,
	s *memory.Store, receiver *memory.Receiver, checks bool, inv quetzalhook.Invariants,
) *testHost {
	h := &testHost{host: host, gate: &memory.Gate{}, receiver: receiver}
	clock := h.gate.Clock(quetzalhook.ClockFunc(time.Now))
	var n atomic.Int64
	id := func() string { return fmt.Sprint(host, "-", inc, "-", n.Add(1)) }
	l, err := lease.New(lease.RoleController, host, inc, h.gate.Store(s), clock, inv,
		lease.WithTerm(term, margin), lease.WithNonce(id))
	if err != nil {
		t.Fatal(err)
	}
	opts := []Option{WithIDs(id), WithSettle(term), WithResendAfter(term)}
	if checks {
		opts = append(opts, WithFencing())
	}
	h.lease, h.ctl = l, New(l, h, h, h, clock, opts...)
	return h
}

func (h *testHost) Order(_ context.Context, o quetzalhook.UpstreamOrder) error {
	if h.gate.Pass() != nil {
		return &quetzalhook.StoreError{Op: "order", Kind: quetzalhook.StoreUnavailable}
	}
	err := h.receiver.Order(h.host, o)
	_ = h.gate.Pass()
	return err
}

func (h *testHost) Upstreams(context.Context) ([]quetzalhook.Upstream, error) {
	return nil, h.gate.Pass()
}

func (h *testHost) Orders(context.Context) ([]string, error) {
	err := h.gate.Pass()
	return h.receiver.AppliedOrders(), err
}

func (h *testHost) Hosts(context.Context) ([]quetzalhook.HostStatus, error) {
	err := h.gate.Pass()
	return h.receiver.Hosts(), err
}

func (h *testHost) Plan(time.Time, []quetzalhook.Upstream) []Need {
	h.need++
	return []Need{{Zone: "zone", Count: h.need}}
}

// step runs one round of the lease and one of the controller.
func (h *testHost) step(ctx context.Context) {
	_ = h.lease.Step(ctx)
	_ = h.ctl.Step(ctx)
}

// runPaused pauses the first holder at the given pass through its gate, lets a
// second host run, and resumes the first. It reports whether the pass was
// reached.
func runPaused(t *testing.T, pass int, pause time.Duration, checks bool, lose int) bool {
	ctx := context.Background()
	inv := invariant.New(nil)
	s := memory.New()
	receiver := memory.NewReceiver(checks)
	receiver.SetFaults(lose, false)
	a, b := newTestHost(t, "a", 1, s, receiver, checks, inv), newTestHost(t, "b", 1, s, receiver, checks, inv)
	a.gate.PauseAt(pass)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 4 {
			a.step(ctx)
		}
	}()
	synctest.Wait()
	reached := a.gate.Paused()
	a.gate.PauseAt(0)
	for end := time.Now().Add(pause); time.Now().Before(end); time.Sleep(term / 4) {
		b.step(ctx)
	}
	a.gate.Resume()
	<-done
	for range 12 {
		a.step(ctx)
		b.step(ctx)
		time.Sleep(term / 4)
	}
	if got := receiver.Violations(); len(got) > 0 {
		t.Errorf("pass %d, pause %v: got orders of an old holder %v, want none", pass, pause, got)
	}
	if got := inv.Violations(); got > 0 {
		t.Errorf("pass %d, pause %v: got violations %v, want none", pass, pause, inv.Details())
	}
	before := len(receiver.AppliedOrders())
	a.step(ctx)
	b.step(ctx)
	if len(receiver.AppliedOrders()) == before {
		t.Errorf("pass %d, pause %v: got no order after the resume, want some", pass, pause)
	}
	return reached
}

// Guards against a lease holder that is paused at any point and, once resumed,
// sends orders after its successor has sent some.
func TestPausedHolder(t *testing.T) {
	for _, checks := range []bool{false, true} {
		for _, pause := range []time.Duration{term / 2, term + margin/2, 2 * (term + margin), 10 * term} {
			for _, lose := range []int{0, 1} {
				pass := 0
				for reached := true; reached; {
					pass++
					synctest.Test(t, func(t *testing.T) { reached = runPaused(t, pass, pause, checks, lose) })
				}
				if got, want := pass, 40; got < want {
					t.Errorf("passes: got %d, want at least %d", got, want)
				}
			}
		}
	}
}

// Guards against combinations of pauses, kills, outages, lost and late writes and
// lost answers to orders after which two hosts send orders, and against orders
// that stay blocked when the faults have ended.
func TestControllersUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { rapid.SyncTest(t, runFaults) })
}

func runFaults(t *rapid.T) {
	inv := invariant.New(nil)
	s := memory.New()
	receiver := memory.NewReceiver(false)
	live := make([]*testHost, 3)
	inc := quetzalhook.Incarnation(0)
	launch := func(i int) {
		inc++
		host := quetzalhook.HostID(fmt.Sprint("host-", i))
		receiver.SetHost(quetzalhook.HostStatus{Host: host, Incarnation: inc})
		live[i] = newTestHost(t, host, inc, s, receiver, false, inv)
		live[i].lease.Start()
		live[i].ctl.Start()
	}
	var ended []*testHost
	for i := range live {
		launch(i)
	}
	pick := rapid.IntRange(0, len(live)-1)
	sleep := rapid.SampledFrom([]time.Duration{time.Second, 3 * time.Second, term, 3 * term})
	t.Repeat(map[string]func(*rapid.T){
		"pause":  func(t *rapid.T) { live[pick.Draw(t, "host")].gate.Pause() },
		"resume": func(t *rapid.T) { live[pick.Draw(t, "host")].gate.Resume() },
		"kill": func(t *rapid.T) {
			i := pick.Draw(t, "host")
			live[i].gate.Kill()
			ended = append(ended, live[i])
			launch(i)
		},
		"faults": func(t *rapid.T) {
			s.SetFaults(memory.Faults{
				Outage: rapid.Bool().Draw(t, "outage"), LoseAnswers: rapid.IntRange(0, 3).Draw(t, "lose"),
				LateChanges: rapid.IntRange(0, 2).Draw(t, "late"), LateBy: sleep.Draw(t, "late-by"),
				StaleReads: rapid.Bool().Draw(t, "stale"),
			})
		},
		"heal":        func(*rapid.T) { s.SetFaults(memory.Faults{}) },
		"lose-orders": func(*rapid.T) { receiver.SetFaults(2, false) },
		"run":         func(t *rapid.T) { time.Sleep(sleep.Draw(t, "time")) },
		"": func(t *rapid.T) {
			if got := receiver.Violations(); len(got) > 0 || inv.Violations() > 0 {
				t.Fatalf("got %v %v, want no orders of a second host", got, inv.Details())
			}
		},
	})
	s.SetFaults(memory.Faults{})
	for _, h := range append(ended, live...) {
		h.gate.Resume()
	}
	time.Sleep(10 * term)
	before := len(receiver.AppliedOrders())
	time.Sleep(term)
	if len(receiver.AppliedOrders()) == before {
		t.Errorf("orders after all faults ended: got none in %v, want some; open intents %v", term, live[0].lease.OpenIntents())
	}
	for _, h := range append(ended, live...) {
		_ = h.ctl.Close()
		_ = h.lease.Close()
	}
	time.Sleep(4 * term) // until delayed writes have been applied
}
