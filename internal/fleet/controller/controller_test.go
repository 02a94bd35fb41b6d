package controller

import (
	"context"
	"flag"
	"fmt"
	"os"
	"slices"
	"sync"
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
	_ = flag.Set("rapid.seed", "7")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// receiver is the platform. It checks that fencing numbers never decrease in
// the orders that it takes, which is what two commanders would look like.
type receiver struct {
	mu       sync.Mutex
	checks   bool // refuses old fencing numbers
	lose     int  // answers to lose
	hosts    []quetzalhook.HostStatus
	effects  []string
	fencing  uint64
	byHost   map[quetzalhook.HostID]int
	backward []string
}

func (r *receiver) take(host quetzalhook.HostID, o quetzalhook.UpstreamOrder) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if o.Fencing < r.fencing {
		if r.checks {
			return &quetzalhook.StoreError{Op: "order", Kind: quetzalhook.StoreConflict}
		}
		r.backward = append(r.backward, fmt.Sprintf("%s: %d after %d", host, o.Fencing, r.fencing))
	}
	r.fencing = max(r.fencing, o.Fencing)
	r.effects = append(r.effects, o.ID)
	r.byHost[host]++
	if r.lose > 0 {
		r.lose--
		return &quetzalhook.StoreError{Op: "order", Kind: quetzalhook.StoreUnknown}
	}
	return nil
}

// testHost is one host's lease and controller behind a gate.
type testHost struct {
	host  quetzalhook.HostID
	gate  *memory.Gate
	to    *receiver
	lease *lease.Lease
	ctl   *Controller
	need  int
}

func start(t interface{ Fatal(...any) }, host quetzalhook.HostID, inc quetzalhook.Incarnation,
	s *memory.Store, to *receiver, inv quetzalhook.Invariants,
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
	if to.checks {
		opts = append(opts, WithFencing())
	}
	p.lease, p.ctl = l, New(l, p, p, p, clock, opts...)
	return p
}

func (p *testHost) Order(_ context.Context, o quetzalhook.UpstreamOrder) error {
	if p.gate.Pass() != nil {
		return &quetzalhook.StoreError{Op: "order", Kind: quetzalhook.StoreUnavailable}
	}
	err := p.to.take(p.host, o)
	_ = p.gate.Pass()
	return err
}

func (p *testHost) Upstreams(context.Context) ([]quetzalhook.Upstream, error) {
	return nil, p.gate.Pass()
}

func (p *testHost) Orders(context.Context) ([]string, error) {
	err := p.gate.Pass()
	p.to.mu.Lock()
	defer p.to.mu.Unlock()
	return slices.Clone(p.to.effects), err
}

func (p *testHost) Hosts(context.Context) ([]quetzalhook.HostStatus, error) {
	err := p.gate.Pass()
	p.to.mu.Lock()
	defer p.to.mu.Unlock()
	return slices.Clone(p.to.hosts), err
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
	to := &receiver{checks: checks, lose: lose, byHost: make(map[quetzalhook.HostID]int)}
	a, b := start(t, "a", 1, s, to, inv), start(t, "b", 1, s, to, inv)
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
	if got := to.backward; len(got) > 0 {
		t.Errorf("pass %d, pause %v: got old commander %v, want none", pass, pause, got)
	}
	if got := inv.Violations(); got > 0 {
		t.Errorf("pass %d, pause %v: got violations %v, want none", pass, pause, inv.Details())
	}
	before := to.byHost["a"] + to.byHost["b"]
	a.step(ctx)
	b.step(ctx)
	if got := to.byHost["a"] + to.byHost["b"]; got == before {
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
// and lost receiver answers that let two commanders through.
func TestControllersUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { rapid.SyncTest(t, runFaults) })
}

func runFaults(t *rapid.T) {
	inv := invariant.New(nil)
	s := memory.New()
	to := &receiver{byHost: make(map[quetzalhook.HostID]int)}
	live := make([]*testHost, 3)
	inc := quetzalhook.Incarnation(0)
	launch := func(i int) {
		inc++
		host := quetzalhook.HostID(fmt.Sprint("host-", i))
		to.mu.Lock()
		to.hosts = append(to.hosts, quetzalhook.HostStatus{Host: host, Incarnation: inc})
		to.mu.Unlock()
		live[i] = start(t, host, inc, s, to, inv)
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
		"lose-orders": func(t *rapid.T) { to.mu.Lock(); to.lose = 2; to.mu.Unlock() },
		"run":         func(t *rapid.T) { time.Sleep(sleep.Draw(t, "time")) },
		"": func(t *rapid.T) {
			to.mu.Lock()
			defer to.mu.Unlock()
			if len(to.backward) > 0 || inv.Violations() > 0 {
				t.Fatalf("got %v %v, want no second commander", to.backward, inv.Details())
			}
		},
	})
	s.SetFaults(memory.Faults{})
	for _, p := range append(ended, live...) {
		p.gate.Resume()
		_ = p.ctl.Close()
		_ = p.lease.Close()
	}
	time.Sleep(4 * term) // late changes end
}
