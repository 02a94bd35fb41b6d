package usage

import (
	"context"
	"flag"
	"fmt"
	"os"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"quetzalhook"
	"quetzalhook/internal/platform/memory"
)

func TestMain(m *testing.M) {
	// With several threads, timers in a synctest bubble sometimes crash the race
	// detector's own runtime. The command line overrides the flags set here.
	runtime.GOMAXPROCS(1)
	_ = flag.Set("rapid.seed", "7")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.steps", "60")
	os.Exit(m.Run())
}

// testFleet is a set of hosts in three zones. It records how many requests each
// host has counted.
type testFleet struct {
	store       *memory.Store
	net         *memory.Network
	hosts       []*testHost
	incarnation quetzalhook.Incarnation
	added       map[Source]int64
	windows     map[Window]bool
	opts        []Option
}

type testHost struct {
	gate  *memory.Gate
	meter *Meter
	dead  bool
}

var schedule = NewSchedule(10 * time.Minute)

func newTestFleet(n int, opts ...Option) *testFleet {
	f := &testFleet{opts: opts, store: memory.New(), net: memory.NewNetwork(), added: make(map[Source]int64), windows: make(map[Window]bool)}
	for i := range n {
		f.hosts = append(f.hosts, nil)
		f.startHost(i)
	}
	return f
}

func (f *testFleet) startHost(i int) {
	f.incarnation++
	s := Source{Host: quetzalhook.HostID(fmt.Sprint("host-", i)), Incarnation: f.incarnation}
	zone := quetzalhook.Zone(fmt.Sprint("zone-", i%3))
	h := &testHost{gate: &memory.Gate{}}
	peer := f.net.Join(quetzalhook.Member{Host: s.Host, Incarnation: s.Incarnation, Zone: zone}, h.gate)
	wall := quetzalhook.ClockFunc(time.Now)
	h.meter = New(s, zone, h.gate.Store(f.store), h.gate.Clock(wall), wall, peer, schedule, f.opts...)
	h.meter.Start()
	f.hosts[i] = h
}

func (f *testFleet) add(i int, class quetzalhook.ClassName) {
	h := f.hosts[i]
	if h.gate.Paused() {
		return // a paused process counts nothing
	}
	h.meter.Add("customer", class, Amount{Prompt: 3, Requests: 1})
	f.added[h.meter.self]++
	f.windows[schedule.At(time.Now())] = true
}

func (f *testFleet) kill(i int) {
	f.hosts[i].gate.Kill()
	f.net.Leave(f.hosts[i].meter.self.Host)
	f.hosts[i].dead = true
}

// stored returns the number of requests of each source that the store has.
func (f *testFleet) stored(t interface{ Fatal(...any) }) map[Source]int64 {
	sum := make(map[Source]int64)
	for w := range f.windows {
		all, err := Collect(context.Background(), f.store, w)
		if err != nil {
			t.Fatal(err)
		}
		for s, totals := range all {
			for _, a := range totals.Used {
				sum[s] += a.Requests
			}
		}
	}
	return sum
}

func (f *testFleet) close() {
	for _, h := range f.hosts {
		h.gate.Resume()
		_ = h.meter.Close(context.Background())
	}
}

// Guards against the loss of more usage than that of one replication interval when
// a host is killed: alone, together with one of its two peers, or some time after
// both peers were cut off from it for a while.
func TestLossOfKilledHost(t *testing.T) {
	for _, fault := range []string{"nothing", "peer-dead", "cut-before"} {
		var maxLost int64
		for k := range 20 {
			synctest.Test(t, func(t *testing.T) { maxLost = max(maxLost, lossOfKilledHost(t, fault, k)) })
		}
		if got, want := maxLost, int64(101); got > want {
			t.Errorf("lost requests at 100/s, fault %s: got %d, want at most %d", fault, got, want)
		}
		t.Logf("lost requests at 100/s, fault %s: at most %d", fault, maxLost)
	}
}

// lossOfKilledHost returns the number of requests that are lost if host-0 is
// killed after 30 s plus 50 ms times offset.
func lossOfKilledHost(t *testing.T, fault string, offset int) int64 {
	f := newTestFleet(5)
	peers := f.hosts[0].meter.choosePeers()
	for n := range 30*100 + offset*5 { // 100 a second
		for _, p := range peers {
			f.net.Cut("host-0", p.Host, fault == "cut-before" && n < 2000)
		}
		f.add(0, quetzalhook.ClassName(fmt.Sprint("class-", n/500)))
		time.Sleep(10 * time.Millisecond)
	}
	source := f.hosts[0].meter.self
	f.kill(0)
	for i, h := range f.hosts {
		if fault == "peer-dead" && h.meter.self.Host == peers[0].Host {
			f.kill(i)
		}
	}
	time.Sleep(3 * time.Minute)
	defer f.close()
	return f.added[source] - f.stored(t)[source]
}

// Guards against usage, and a final mark, that the store lost when it came back from an older
// copy and that its source does not write again.
func TestReturnOfStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(0)
		f.store = memory.New(memory.WithEras())
		f.hosts = append(f.hosts, nil)
		f.startHost(0)
		defer f.close()
		time.Sleep(time.Minute)
		f.add(0, "class")
		copied := f.store.Copy()
		end, err := schedule.End(schedule.At(time.Now()))
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Until(end) + time.Minute + time.Second)
		f.store.Return(copied)
		time.Sleep(2 * time.Minute)
		for w := range f.windows {
			all, err := Collect(t.Context(), f.store, w)
			if totals := all[f.hosts[0].meter.self]; err != nil || totals == nil || !totals.Final || len(totals.Used) != 1 {
				t.Errorf("stored: got %v, %v, want one final total", totals, err)
			}
		}
	})
}

// Guards against replicas in the same zone as their source or as each other.
func TestZonesOfPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(9)
		defer f.close()
		for _, h := range f.hosts {
			p := h.meter.choosePeers()
			zones := map[quetzalhook.Zone]bool{h.meter.zone: true, p[0].Zone: true, p[1].Zone: true}
			if got, want := len(zones), 3; got != want {
				t.Errorf("zones of %s and its peers: got %v, want %d", h.meter.self.Host, zones, want)
			}
		}
	})
}

// Guards against usage that is lost or counted twice under pauses, network
// cuts, store outages and lost or late answers. A killed host may lose usage,
// but no source may gain any.
func TestFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { rapid.SyncTest(t, runFaults) })
}

func runFaults(t *rapid.T) {
	f := newTestFleet(4, WithIntervals(5*time.Second, 30*time.Second))
	pick := rapid.IntRange(0, 3)
	sleep := rapid.SampledFrom([]time.Duration{100 * time.Millisecond, time.Second, 20 * time.Second, time.Minute})
	killed := make(map[Source]bool)
	t.Repeat(map[string]func(*rapid.T){
		"add": func(t *rapid.T) {
			i := pick.Draw(t, "host")
			for range 5 {
				f.add(i, "class")
			}
		},
		"kill": func(t *rapid.T) {
			i := pick.Draw(t, "host")
			killed[f.hosts[i].meter.self] = true
			f.kill(i)
			_ = f.hosts[i].meter.Close(context.Background())
			f.startHost(i)
		},
		"pause":  func(t *rapid.T) { f.hosts[pick.Draw(t, "host")].gate.Pause() },
		"resume": func(t *rapid.T) { f.hosts[pick.Draw(t, "host")].gate.Resume() },
		"faults": func(t *rapid.T) {
			f.store.SetFaults(memory.Faults{
				Outage: rapid.Bool().Draw(t, "outage"), LoseAnswers: rapid.IntRange(0, 3).Draw(t, "lose"),
				LateChanges: rapid.IntRange(0, 2).Draw(t, "late"), LateBy: sleep.Draw(t, "late-by"),
			})
		},
		"heal": func(*rapid.T) { f.store.SetFaults(memory.Faults{}) },
		"cut": func(t *rapid.T) {
			f.net.Cut("host-0", quetzalhook.HostID(fmt.Sprint("host-", pick.Draw(t, "host"))), rapid.Bool().Draw(t, "broken"))
		},
		"run": func(t *rapid.T) { time.Sleep(sleep.Draw(t, "time")) },
	})
	f.store.SetFaults(memory.Faults{})
	for _, h := range f.hosts {
		h.gate.Resume()
	}
	time.Sleep(2 * time.Minute)
	f.close()
	time.Sleep(5 * time.Minute) // wait for late changes
	stored := f.stored(t)
	for s, want := range f.added {
		if got := stored[s]; got > want || got < want && !killed[s] {
			t.Errorf("requests of %v: got %d, want %d (killed %t)", s, got, want, killed[s])
		}
	}
}
