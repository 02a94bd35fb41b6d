package configuration

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"quetzalhook"
	"quetzalhook/internal/fleet/peer"
	"quetzalhook/internal/platform/memory"
	"quetzalhook/internal/state/invariant"
)

// TestMain sets the seed and the number of the random test runs. Flags on the
// command line override them.
func TestMain(m *testing.M) {
	// With several threads, timers in a synctest bubble sometimes crash the
	// runtime of the race detector.
	runtime.GOMAXPROCS(1)
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "80", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func discardLogger() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// testFleet runs a Rollout on each of several hosts in two zones.
type testFleet struct {
	t       testing.TB
	clock   quetzalhook.Clock
	store   *memory.Store
	network *peer.Network
	inv     *invariant.Registry
	planner *Planner
	base    *Document
	hosts   map[quetzalhook.HostID]*Rollout
	changes int
	planIDs []string         // plans for which Confirm gave a definite answer
	results map[string]int64 // version number by plan ID, 0 for a conflict
}

func newTestFleet(t testing.TB, base *Document, n int) *testFleet {
	clock := quetzalhook.ClockFunc(time.Now)
	f := &testFleet{
		t: t, clock: clock, store: memory.New(), network: peer.NewNetwork(clock, 1),
		inv: invariant.New(nil), base: base, hosts: make(map[quetzalhook.HostID]*Rollout), results: make(map[string]int64),
	}
	f.planner = NewPlanner(f.store, clock, discardLogger())
	for i := range n {
		f.start(hostName(i))
	}
	return f
}

func hostName(i int) quetzalhook.HostID { return quetzalhook.HostID(fmt.Sprintf("host-%d", i)) }

func (f *testFleet) start(host quetzalhook.HostID) {
	zone := quetzalhook.Zone("zone-" + string(host[len(host)-1]%2+'0'))
	endpoint := f.network.Endpoint(host)
	r := NewRollout(Identity{Host: host, Zone: zone}, f.store, endpoint, f.clock, discardLogger(), f.inv)
	f.network.Join(endpoint, func() quetzalhook.Member {
		return quetzalhook.Member{Zone: zone, ConfigVersion: r.Version()}
	})
	r.Start(f.t.Context())
	f.hosts[host] = r
}

func (f *testFleet) stop(host quetzalhook.HostID) {
	f.network.Leave(host)
	if err := f.hosts[host].Close(); err != nil {
		f.t.Error(err)
	}
	delete(f.hosts, host)
}

// change makes a number of plans, each with another weight of the first customer
// and all based on the same version, and confirms them one after the other.
func (f *testFleet) change(plans int) {
	var planIDs []string
	for range plans {
		f.changes++
		d := *f.base
		d.Customers = append([]Customer(nil), d.Customers...)
		d.Customers[0].Weight = float64(1 + f.changes%3) // repeats the content of earlier versions
		if plan, err := f.planner.Plan(f.t.Context(), &d); err == nil {
			planIDs = append(planIDs, plan.ID)
		}
	}
	if plans > 1 {
		_ = f.planner.Clean(f.t.Context()) // must not delete the plans just made
	}
	if plans > 1 && len(f.planIDs) > 0 { // an operator repeats a confirm
		planIDs = append(planIDs, f.planIDs[0])
	}
	for _, id := range planIDs {
		n, err := f.planner.Confirm(f.t.Context(), id)
		var e *Error
		if err != nil && (!errors.As(err, &e) || e.Kind != ErrorConflict) {
			continue
		}
		if before, ok := f.results[id]; ok && before != n {
			f.t.Errorf("repeated confirm of %s: got %d, want %d", id, n, before)
		}
		f.results[id] = n
		f.planIDs = append(f.planIDs, id)
	}
}

// verify ends all faults, waits until every host should have the newest version,
// and compares the version of every host and the result of every confirm with the
// store. It also stops the hosts.
func (f *testFleet) verify() error {
	f.store.SetFaults(memory.Faults{})
	f.network.SetFaults(peer.NetworkFaults{})
	time.Sleep(8 * time.Second) // virtual; the target time for a change to be in force on all hosts
	head, _, err := readHead(f.t.Context(), f.store)
	if err != nil {
		return err
	}
	for host, r := range f.hosts {
		d, got, _ := r.Document()
		if want := head.Number; got != want {
			return fmt.Errorf("%s: version: got %d, want %d", host, got, want)
		}
		if got, want := len(d.Customers), len(f.base.Customers); head.Number > 0 && got != want {
			return fmt.Errorf("%s: customers: got %d, want %d", host, got, want)
		}
		f.stop(host)
	}
	versions := map[string]int64{head.Plan: head.Number}
	for n := head.Number - 1; n > 0 && n >= head.Number-f.planner.keptVersions; n-- {
		head, err := f.readVersionRecord(n)
		if err != nil {
			return fmt.Errorf("version record %d: %w", n, err)
		}
		versions[head.Plan] = n
	}
	for id, got := range f.results {
		if want := versions[id]; got != want && (got == 0 || got >= head.Number-f.planner.keptVersions) {
			return fmt.Errorf("confirm of %s: got version %d, want %d", id, got, want)
		}
	}
	if f.inv.Violations() > 0 {
		return fmt.Errorf("violations: %v", f.inv.Details())
	}
	return nil
}

// Guards against hosts that return to an older version or never reach the newest,
// against the confirmation of two plans with the same base version, and against
// wrong results of Confirm, with up to three faults at once.
func TestRolloutRandom(t *testing.T) {
	base := example(t, "association")
	base.index = index{}
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(drawStep), 3, 12).Draw(rt, "steps")
		keep := rapid.Int64Range(1, 20).Draw(rt, "kept versions")
		limit := rapid.SampledFrom([]int{0, inlineLimit}).Draw(rt, "inline limit")
		synctest.Test(t, func(t *testing.T) {
			f := newTestFleet(t, base, 6)
			f.planner = NewPlanner(f.store, f.clock, discardLogger(), WithKeptVersions(keep), WithInlineLimit(limit))
			for _, s := range steps {
				f.apply(s)
			}
			if err := f.verify(); err != nil {
				t.Errorf("%v after %+v", err, steps)
			}
		})
		if t.Failed() {
			rt.FailNow()
		}
	})
}

// step is one step of a random test run: it sets the faults, makes and confirms
// some plans, and then waits.
type step struct {
	Store   memory.Faults
	Drop    float64 // peer.NetworkFaults.Drop
	Cut     bool    // cuts the network between the two halves of the fleet
	Restart int     // number of the host to restart, -1 for none
	Plans   int
	Pause   time.Duration
}

func drawStep(t *rapid.T) step {
	s := step{Restart: -1, Plans: rapid.IntRange(0, 3).Draw(t, "plans")}
	for _, fault := range rapid.SliceOfN(rapid.IntRange(0, 7), 0, 3).Draw(t, "faults") {
		switch fault {
		case 0:
			s.Store.Outage = true
		case 1:
			s.Store.SilentWatches = true
		case 2:
			s.Store.StaleReads = true
		case 3:
			s.Store.LoseAnswers = rapid.IntRange(1, 4).Draw(t, "lost")
			s.Store.LosePrefix = rapid.SampledFrom([]string{"", headKey}).Draw(t, "lost-prefix")
		case 4:
			s.Store.Delay = 300 * time.Millisecond
		case 5:
			s.Drop = 0.3
		case 6:
			s.Cut = true
		case 7:
			s.Restart = rapid.IntRange(0, 5).Draw(t, "host")
		}
	}
	s.Pause = time.Duration(rapid.IntRange(0, 6000).Draw(t, "pause")) * time.Millisecond
	return s
}

// apply carries out a step.
func (f *testFleet) apply(s step) {
	f.store.SetFaults(s.Store)
	faults := peer.NetworkFaults{Drop: s.Drop, Delay: 12 * time.Millisecond}
	if s.Cut {
		faults.Cut = func(a, b quetzalhook.HostID) bool { return (a < "host-3") != (b < "host-3") }
	}
	f.network.SetFaults(faults)
	if s.Restart >= 0 {
		f.stop(hostName(s.Restart))
		f.start(hostName(s.Restart))
	}
	if s.Plans > 0 {
		f.change(s.Plans)
	}
	time.Sleep(s.Pause) // virtual
}

// Guards against a host that gets no configuration if it starts while the store is
// down, and against hosts that fetch all shards after a change of one entry.
func TestRolloutLargeDocumentDuringOutage(t *testing.T) {
	base := example(t, "association")
	large := *base
	large.index = index{}
	for i := range 17_000 {
		c := base.Customers[0]
		c.Name = fmt.Sprintf("customer-%d", i)
		large.Customers = append(large.Customers, c)
	}
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, &large, 3)
		f.change(1)
		f.change(1) // fills the cache of the planner
		time.Sleep(8 * time.Second)
		before := f.store.Counts().Reads
		f.change(1)
		time.Sleep(time.Second)
		// All three hosts are watchers; each reads the one shard that changed.
		if got, limit := f.store.Counts().Reads-before, int64(12); got > limit {
			t.Errorf("reads after a change: got %d, want at most %d", got, limit)
		}
		f.store.SetFaults(memory.Faults{Outage: true})
		f.start("host-9")
		time.Sleep(4 * time.Second)
		d, got, _ := f.hosts["host-9"].Document()
		if want := int64(3); got != want || len(d.Customers) != len(large.Customers) {
			t.Errorf("new host: got version %d with %d customers, want %d with %d", got, len(d.Customers), want, len(large.Customers))
		}
		if err := f.verify(); err != nil {
			t.Error(err)
		}
	})
}

// Guards against a host that never gets a large document from a slow store because
// each attempt fetches all shards again.
func TestRolloutSlowStore(t *testing.T) {
	base := example(t, "association")
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, base, 0)
		f.planner = NewPlanner(f.store, f.clock, discardLogger(), WithInlineLimit(0))
		f.change(1)
		f.store.SetFaults(memory.Faults{Delay: 900 * time.Millisecond})
		f.start("host-0")
		time.Sleep(time.Minute) // virtual; one attempt fetches 16 shards at most
		if got, want := f.hosts["host-0"].Version(), int64(1); got != want {
			t.Errorf("version: got %d, want %d", got, want)
		}
		f.stop("host-0")
	})
}

// Guards against a Confirm that took effect but returns an error because the
// store's answer to its write was lost.
func TestConfirmLostAnswer(t *testing.T) {
	f := newTestFleet(t, example(t, "foundry"), 0)
	plan, err := f.planner.Plan(t.Context(), f.base)
	if err != nil {
		t.Fatal(err)
	}
	f.store.SetFaults(memory.Faults{LoseAnswers: 1, LosePrefix: headKey})
	got, err := f.planner.Confirm(t.Context(), plan.ID)
	if want := int64(1); got != want || err != nil {
		t.Errorf("confirm: got %d, %v, want %d", got, err, want)
	}
}

// readVersionRecord reads the record of version n from the store.
func (f *testFleet) readVersionRecord(n int64) (Head, error) {
	var head Head
	o, err := f.store.Get(context.Background(), versionKey(n))
	if err == nil {
		err = cbor.Unmarshal(o.Value, &head)
	}
	return head, err
}
