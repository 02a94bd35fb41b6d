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
	// detector's own runtime. Flags set here give way to the command line.
	runtime.GOMAXPROCS(1)
	_ = flag.Set("rapid.seed", "7")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// testHost is one host's lease and controller behind a gate.
type testHost struct {
	host  quetzalhook.HostID
	gate  *memory.Gate
	to    *memory.Receiver
	lease *lease.Lease
	ctl   *Controller
	need  int
}

func start(t interface{ Fatal(...any) }, host quetzalhook.HostID, inc quetzalhook.Incarnation,
	s *memory.Store, to *memory.Receiver, checks bool, inv quetzalhook.Invariants,
) *testHost {
	p := &testHost{host: host, gate: &memory.Gate{}, to: to}
	clock := p.gate.Clock(quetzalhook.ClockFunc(time.Now))
	var n atomic.Int64
	id := func() string { return fmt.Sprint(host, "-", inc, "-", n.Add(1)) }
	l, err := lease.New(lease.RoleController, host, inc, p.gate.Store(s), clock, inv,
		lease.WithTerm(term, margin), lease.WithNonce(id))
	if err != nil {
		t.Fatal(err)
	}
	opts := []Option{WithIDs(id), WithSettle(term), WithPatience(term)}
	if checks {
		opts = append(opts, WithFencing())
	}
	p.lease, p.ctl = l, New(l, p, p, p, clock, opts...)
	return p
}

func (p *testHost) Order(_ context.Context, o quetzalhook.UpstreamOrder) error {
	if p.gate.Pass() != nil {
		return &quetzalhook.StoreError{Op: "order", Kind: quetzalhook.StoreUnavailable}
	}
	err := p.to.Order(p.host, o)
	_ = p.gate.Pass()
	return err
}

func (p *testHost) Upstreams(context.Context) ([]quetzalhook.Upstream, error) {
	return nil, p.gate.Pass()
}

func (p *testHost) Orders(context.Context) ([]string, error) {
	err := p.gate.Pass()
	return p.to.Effects(), err
}

func (p *testHost) Hosts(context.Context) ([]quetzalhook.HostStatus, error) {
	err := p.gate.Pass()
	return p.to.Hosts(), err
}

func (p *testHost) Plan(time.Time, []quetzalhook.Upstream) []Need {
	p.need++
	return []Need{{Zone: "zone", Count: p.need}}
}

// step does what the loops of lease and controller do in one interval.
func (p *testHost) step(ctx context.Context) {
	_ = p.lease.Step(ctx)
	_ = p.ctl.Step(ctx)
}

// scenario pauses the first holder at one pass, lets a second host run, and
// resumes the first. It reports whether the pass was reached.
func scenario(t *testing.T, pass int, pause time.Duration, checks bool, lose int) bool {
	ctx := context.Background()
	inv := invariant.New(nil)
	s := memory.New()
	to := memory.NewReceiver(checks)
	to.SetFaults(lose, false)
	a, b := start(t, "a", 1, s, to, checks, inv), start(t, "b", 1, s, to, checks, inv)
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
	if got := to.Findings(); len(got) > 0 {
		t.Errorf("pass %d, pause %v: got old commander %v, want none", pass, pause, got)
	}
	if got := inv.Violations(); got > 0 {
		t.Errorf("pass %d, pause %v: got violations %v, want none", pass, pause, inv.Details())
	}
	before := len(to.Effects())
	a.step(ctx)
	b.step(ctx)
	if len(to.Effects()) == before {
		t.Errorf("pass %d, pause %v: got no order after the resume, want some", pass, pause)
	}
	return reached
}

// Guards against a holder that is paused anywhere between two steps and
// commands after its successor has commanded.
func TestPausedHolder(t *testing.T) {
	for _, checks := range []bool{false, true} {
		for _, pause := range []time.Duration{term / 2, term + margin/2, 2 * (term + margin), 10 * term} {
			for _, lose := range []int{0, 1} {
				pass := 0
				for reached := true; reached; {
					pass++
					synctest.Test(t, func(t *testing.T) { reached = scenario(t, pass, pause, checks, lose) })
				}
				if got, want := pass, 40; got < want {
					t.Errorf("passes: got %d, want at least %d", got, want)
				}
			}
		}
	}
}

// Guards against combinations of pauses, kills, outages, lost and late writes
// and lost receiver answers that let two commanders through, and against orders
// that stay blocked when the faults have ended.
func TestControllersUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { rapid.SyncTest(t, runFaults) })
}

func runFaults(t *rapid.T) {
	inv := invariant.New(nil)
	s := memory.New()
	to := memory.NewReceiver(false)
	live := make([]*testHost, 3)
	inc := quetzalhook.Incarnation(0)
	launch := func(i int) {
		inc++
		host := quetzalhook.HostID(fmt.Sprint("host-", i))
		to.SetHost(quetzalhook.HostStatus{Host: host, Incarnation: inc})
		live[i] = start(t, host, inc, s, to, false, inv)
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
		"lose-orders": func(*rapid.T) { to.SetFaults(2, false) },
		"run":         func(t *rapid.T) { time.Sleep(sleep.Draw(t, "time")) },
		"": func(t *rapid.T) {
			if got := to.Findings(); len(got) > 0 || inv.Violations() > 0 {
				t.Fatalf("got %v %v, want no second commander", got, inv.Details())
			}
		},
	})
	s.SetFaults(memory.Faults{})
	for _, p := range append(ended, live...) {
		p.gate.Resume()
	}
	time.Sleep(10 * term)
	before := len(to.Effects())
	time.Sleep(term)
	if len(to.Effects()) == before {
		t.Errorf("orders after all faults ended: got none in %v, want some; open intents %v", term, live[0].lease.Open())
	}
	for _, p := range append(ended, live...) {
		_ = p.ctl.Close()
		_ = p.lease.Close()
	}
	time.Sleep(4 * term) // late changes end
}
