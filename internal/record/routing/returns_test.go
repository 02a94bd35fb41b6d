package routing

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"quetzalhook"
	"quetzalhook/internal/fleet/peer"
	"quetzalhook/internal/platform/memory"
	"quetzalhook/internal/state/invariant"
)

// Guards against a list or an event that was read before the store came back from an older
// copy, arrives afterwards and undoes what was known since.
func TestLateListOfEarlierEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := testSource
		source.EvacuationPrefix = "evacuations/"
		f := newFleetOf(t, source, memory.WithEras())
		defer f.close()
		f.runCommands("table 1|upstream a ready@1|upstream b ready@1|evacuate z|wait 1s|copy|table 2|upstream c ready@1|evacuate y|wait 1s")
		early := make(map[string]*listing)
		for _, prefix := range []string{"config/", "servers/", "evacuations/"} {
			list, err := f.store.List(t.Context(), prefix)
			if err != nil {
				t.Fatal(err)
			}
			early[prefix] = &listing{Listing: list}
		}
		f.runCommands("restore|wait 3s|table 3|upstream a leaving@1|gone b|return z|wait 70s")
		before := f.state()
		for _, h := range f.hosts {
			h.applyTables(early["config/"], nil)
			h.applyUpstreams(early["servers/"], nil)
			h.applyEvacuations(early["evacuations/"], nil)
			for i := range early["servers/"].Objects {
				h.applyUpstreams(nil, &early["servers/"].Objects[i])
			}
			for i := range early["evacuations/"].Objects {
				h.applyEvacuations(nil, &early["evacuations/"].Objects[i])
			}
			if zones := h.EvacuatedZones(); len(zones) > 0 {
				t.Errorf("evacuated zones: got %v, want none", zones)
			}
		}
		if got := f.state(); got != before {
			t.Errorf("state: got %s, want %s", got, before)
		}
		if want := "h0 h1 h2 h3 h4: table 3, upstreams [a(leaving)@1]\n"; before != want {
			t.Errorf("state before: got %s, want %s", before, want)
		}
	})
}

// Guards against an upstream that is used again, as it has been listed for long, and that a
// host which has not waited as long takes away again.
func TestEndedRemovalIsNotTakenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleetOf(t, testSource, memory.WithEras())
		defer f.close()
		f.runCommands("table 1|upstream a ready@1|wait 1s|copy|gone a|wait 1s|restore|wait 11s")
		h := f.hosts["h0"]
		h.mu.Lock()
		h.takePulled(time.Now(), pulledUpstream{ID: "a", Version: h.entries["a"].version, Removed: true, Kept: true, Started: 1, ReturnsIn: time.Second}, "other")
		h.markOutdated()
		h.mu.Unlock()
		if got, want := f.state(), "h0 h1 h2 h3 h4: table 1, upstreams [a@1]\n"; got != want {
			t.Errorf("state: got %s, want %s", got, want)
		}
	})
}

// Guards against a fleet whose hosts all read the store when it has come back from an older
// copy, or pull from each other without end.
func TestReturnCostsFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const zones, perZone = 6, 10
		store := memory.New(memory.WithEras())
		var lists, staleLists, watches atomic.Int64
		counted := countingStore{store, &lists, &staleLists, &watches}
		putTable(t, store, wideTable(1, 3))
		for i := range 100 {
			if _, err := store.Put(t.Context(), fmt.Sprintf("servers/u%d", i), []byte("ready@1"), 0); err != nil {
				t.Fatal(err)
			}
		}
		f := newLinkedFleet(t, zones, perZone, func(quetzalhook.HostID) (quetzalhook.Store, []Option) { return counted, nil })
		time.Sleep(5 * time.Second)
		early := store.Copy()
		putTable(t, store, wideTable(2, 3))
		for i := range 20 {
			key := fmt.Sprintf("servers/u%d", i)
			o, err := store.Get(t.Context(), key)
			if err == nil {
				_, err = store.Put(t.Context(), key, []byte("leaving@1"), o.Version)
			}
			if err != nil {
				t.Fatal(err)
			}
		}
		if _, err := store.Put(t.Context(), "servers/new", []byte("ready@1"), 0); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Second)
		pulls := func() (n, size int64) {
			for _, h := range f.hosts {
				_, answers, bytes := h.PullCounts()
				n, size = n+answers, size+bytes
			}
			return n, size
		}
		listsBefore := lists.Load()
		pullsBefore, sizeBefore := pulls()
		store.Return(early)
		time.Sleep(10 * time.Second)
		if got, want := lists.Load()-listsBefore, int64(2*2*zones); got > want {
			t.Errorf("lists after the return: got %d, want at most %d", got, want)
		}
		count, size := pulls()
		if got, want := count-pullsBefore, int64(30*zones*perZone); got > want {
			t.Errorf("pulls after the return: got %d, want at most %d", got, want)
		}
		if got, want := (size-sizeBefore)/(zones*perZone), int64(30_000); got > want {
			t.Errorf("answers to pulls after the return: got %d bytes of each host, want at most %d", got, want)
		}
		for name, h := range f.hosts {
			leaving := 0
			for _, u := range h.Upstreams() {
				if u.State == quetzalhook.UpstreamLeaving {
					leaving++
				}
			}
			if h.TableVersion() != 2 || leaving != 20 {
				t.Errorf("%s: got table %d and %d leaving upstreams, want 2 and 20", name, h.TableVersion(), leaving)
			}
		}
		t.Logf("lists %d, pulls %d of %d bytes", lists.Load()-listsBefore, count-pullsBefore, size-sizeBefore)
	})
}

// boundedStore counts lists and rejects those above a limit.
type boundedStore struct {
	quetzalhook.Store
	lists atomic.Int64
	limit int64
}

func (s *boundedStore) List(ctx context.Context, prefix string) (quetzalhook.Listing, error) {
	if s.lists.Add(1) > s.limit {
		return quetzalhook.Listing{}, &quetzalhook.StoreError{Op: "list", Kind: quetzalhook.StoreRateLimited}
	}
	return s.Store.List(ctx, prefix)
}

// Guards against a host that lists without pause, as another host has told it a version that
// the store has not reached.
func TestVersionAheadOfStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &boundedStore{Store: memory.New(memory.WithEras()), limit: 50}
		clock := quetzalhook.ClockFunc(time.Now)
		f := New("h", store, peer.NewNetwork(clock, 1).Endpoint("h"), testSource, clock, discardLogger(), invariant.New(nil))
		f.merge(pullAnswer{Complete: quetzalhook.NewVersion(1, 1000)})
		f.Start()
		time.Sleep(5 * time.Second)
		if _, err := store.Put(t.Context(), "servers/a", []byte("ready"), 0); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		if got, want := store.lists.Load(), int64(5); got > want {
			t.Errorf("lists: got %d, want at most %d", got, want)
		}
		if got := len(f.Upstreams()); got != 1 {
			t.Errorf("upstreams: got %d, want 1", got)
		}
		if err := f.Close(); err != nil {
			t.Error(err)
		}
	})
}

// slowStore is a store whose lists take some time.
type slowStore struct {
	*memory.Store
	lists *atomic.Int64
}

// List implements quetzalhook.Store.
func (s slowStore) List(ctx context.Context, prefix string) (quetzalhook.Listing, error) {
	s.lists.Add(1)
	time.Sleep(10 * time.Millisecond)
	return s.Store.List(ctx, prefix)
}

// Guards against a host that lists without end and sees no event, since a host of an older build
// has told it a revision that the store has lost.
func TestPositionAboveStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleetOf(t, testSource, memory.WithEras())
		defer f.close()
		for _, h := range f.hosts {
			f.network.Leave(h.host) // the host under test is the only one
		}
		f.runCommands("table 1|upstream a ready@1|copy|restore")
		var lists atomic.Int64
		f.startHost("new", discardLogger(), func(h *Follower) { h.store = slowStore{f.store, &lists} })
		f.runCommands("wait 1s")
		h := f.hosts["new"]
		answer := pullAnswer{Complete: 900}
		answer.addEras(&h.era)
		h.merge(answer)
		f.store.EndWatches()
		before := lists.Load()
		f.runCommands("wait 5s|upstream a leaving@1|wait 1s")
		if got, want := lists.Load()-before, int64(4); got > want {
			t.Errorf("lists: got %d, want at most %d", got, want)
		}
		if got, want := f.stateOf(h), "table 1, upstreams [a(leaving)@1]"; got != want {
			t.Errorf("state: got %s, want %s", got, want)
		}
	})
}
