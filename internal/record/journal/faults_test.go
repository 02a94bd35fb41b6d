package journal

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"runtime"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"quetzalhook"
	"quetzalhook/internal/platform/memory"
	"quetzalhook/internal/state/invariant"
)

func TestMain(m *testing.M) {
	// With several threads, timers in a synctest bubble sometimes crash the race
	// detector's own runtime. The command line overrides the flags set here.
	runtime.GOMAXPROCS(1)
	_ = flag.Set("rapid.seed", "7")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.steps", "80")
	_ = flag.Set("rapid.checks", "50")
	os.Exit(m.Run())
}

const retention = 48 * time.Second

// callRecorder stands in for the service that executes the calls. It records
// violations of the rule that a key is executed only once until the retention
// after the end of its call has passed.
type callRecorder struct {
	mu       sync.Mutex
	runs     map[string]int
	ended    map[string]time.Time
	outcomes map[quetzalhook.Outcome]int
	faults   []string
}

func (s *callRecorder) run(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	end, done := s.ended[key]
	if s.runs[key] > 0 && (!done || time.Since(end) < retention) {
		s.faults = append(s.faults, fmt.Sprintf("%s ran again", key))
	}
	s.runs[key]++
	delete(s.ended, key)
}

func (s *callRecorder) check(key string, r Result, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var e *Error
	if errors.As(err, &e) {
		s.outcomes[e.Outcome]++
	}
	if r.Kind == Replay && string(r.Response) != "response to "+key {
		s.faults = append(s.faults, fmt.Sprintf("%s: wrong replay %q", key, r.Response))
	}
	if r.Kind == Mismatch {
		s.faults = append(s.faults, key+": mismatch")
	}
}

type testHost struct {
	gate *memory.Gate
	j    *Journal
}

// attempt claims and executes one call as a host does. The argument end says what
// the host does with the claim: finish, release or abandon it.
func (h testHost) attempt(s *callRecorder, key string, end string) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
	defer cancel()
	r, err := h.j.Claim(ctx, Call{Customer: "c", Route: "r", Key: key})
	s.check(key, r, err)
	if r.Kind != Claimed {
		return
	}
	if end == "release" {
		_ = h.j.Release(ctx, r.Claim)
		return
	}
	if h.gate.Pass() != nil { // a paused claimant may execute the call much later
		return
	}
	s.run(key)
	if end == "abandon" {
		h.j.Abandon(r.Claim)
		return
	}
	s.mu.Lock()
	s.ended[key] = time.Now()
	s.mu.Unlock()
	_ = h.j.Finish(ctx, r.Claim, []byte("response to "+key))
}

// Guards against a second execution of a call under pauses, kills, network
// cuts, store outages and lost, late or stale answers, in any combination.
func TestFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { rapid.SyncTest(t, runFaults) })
}

func runFaults(t *rapid.T) {
	inv, store, net := invariant.New(nil), memory.New(), memory.NewNetwork()
	svc := &callRecorder{runs: make(map[string]int), ended: make(map[string]time.Time), outcomes: make(map[quetzalhook.Outcome]int)}
	running := make([]testHost, 3)
	var all []testHost
	startHost := func(i int) {
		id := quetzalhook.HostID(fmt.Sprint("host-", i))
		g := &memory.Gate{}
		clock := g.Clock(quetzalhook.ClockFunc(time.Now))
		peer := net.Join(quetzalhook.Member{Host: id}, g)
		running[i] = testHost{g, New(id, quetzalhook.Incarnation(len(all)), g.Store(store), clock, peer, inv,
			WithShards(1), WithRetention(retention), WithInlineLimit(12))}
		all = append(all, running[i])
	}
	for i := range running {
		startHost(i)
	}
	var attempts sync.WaitGroup
	pick := rapid.IntRange(0, len(running)-1)
	key := rapid.SampledFrom([]string{"k1", "k2", "k3"})
	sleep := rapid.SampledFrom([]time.Duration{time.Millisecond, 40 * time.Millisecond, time.Second, retention / 4})
	end := rapid.SampledFrom([]string{"finish", "finish", "finish", "abandon", "release"})
	t.Repeat(map[string]func(*rapid.T){
		"attempt": func(t *rapid.T) {
			h, k, e := running[pick.Draw(t, "host")], key.Draw(t, "key"), end.Draw(t, "end")
			attempts.Go(func() { h.attempt(svc, k, e) })
		},
		"attempts": func(t *rapid.T) {
			k := key.Draw(t, "key")
			for _, h := range running {
				attempts.Go(func() { h.attempt(svc, k, "finish") })
			}
		},
		"pause":  func(t *rapid.T) { running[pick.Draw(t, "host")].gate.Pause() },
		"resume": func(t *rapid.T) { running[pick.Draw(t, "host")].gate.Resume() },
		"kill": func(t *rapid.T) {
			i := pick.Draw(t, "host")
			running[i].gate.Kill()
			startHost(i)
		},
		"faults": func(t *rapid.T) {
			store.SetFaults(memory.Faults{
				Outage: rapid.Bool().Draw(t, "outage"), LoseAnswers: rapid.IntRange(0, 3).Draw(t, "lose"),
				LateChanges: rapid.IntRange(0, 2).Draw(t, "late"), LateBy: sleep.Draw(t, "late-by"),
				StaleReads: rapid.Bool().Draw(t, "stale"), Delay: 5 * time.Millisecond,
			})
		},
		"heal": func(*rapid.T) { store.SetFaults(memory.Faults{Delay: 5 * time.Millisecond}) },
		"cut": func(t *rapid.T) {
			net.Cut("host-0", quetzalhook.HostID(fmt.Sprint("host-", pick.Draw(t, "host"))), rapid.Bool().Draw(t, "broken"))
		},
		"lose-calls": func(*rapid.T) { net.LoseAnswers(2) },
		"run":        func(t *rapid.T) { time.Sleep(sleep.Draw(t, "time")) },
		"": func(t *rapid.T) {
			svc.mu.Lock()
			defer svc.mu.Unlock()
			if len(svc.faults) > 0 || inv.Violations() > 0 {
				t.Fatalf("got %v %v, want no second run", svc.faults, inv.Details())
			}
		},
	})
	store.SetFaults(memory.Faults{})
	for _, h := range all {
		h.gate.Resume()
	}
	attempts.Wait()
	for _, h := range all {
		_ = h.j.Close()
	}
	if len(svc.faults) > 0 || inv.Violations() > 0 {
		t.Fatalf("at the end: got %v %v, want no second run", svc.faults, inv.Details())
	}
	time.Sleep(time.Minute) // wait for late changes and calls
}
