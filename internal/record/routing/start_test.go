package routing

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"quetzalhook"
	"quetzalhook/internal/fleet/peer"
)

// countingStore counts the calls that a follower makes.
type countingStore struct {
	quetzalhook.Store
	lists, staleLists, watches *atomic.Int64
}

func (s countingStore) List(ctx context.Context, prefix string) (quetzalhook.Listing, error) {
	s.lists.Add(1)
	return s.Store.List(ctx, prefix)
}

func (s countingStore) ListStale(ctx context.Context, prefix string) (quetzalhook.Listing, error) {
	s.staleLists.Add(1)
	return s.Store.ListStale(ctx, prefix)
}

func (s countingStore) Watch(ctx context.Context, prefix string, after quetzalhook.Version) (quetzalhook.Watch, error) {
	s.watches.Add(1)
	return s.Store.Watch(ctx, prefix, after)
}

// Guards against a fleet in which every host that starts watches the store until
// it has heard the others: when all hosts start at once, that is several calls a
// host. A host alone must still watch once it has settled, and see changes that
// were made before.
func TestStartingHostDoesNotWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.close()
		f.runCommand("table 7")
		f.runCommand("wait 1s")
		var lists, staleLists, watches atomic.Int64
		settledAt := time.Now().Add(2 * time.Second)
		store := countingStore{f.store, &lists, &staleLists, &watches}
		// The new host is on a network of its own: it hears nobody.
		h := New("alone", store, peer.NewNetwork(f.clock, 1).Endpoint("alone"), testSource, f.clock, discardLogger(), f.inv,
			WithSettled(func() bool { return !time.Now().Before(settledAt) }))
		f.hosts["alone"] = h
		h.Start()
		f.runCommand("wait 1500ms")
		if got, want := [3]int64{lists.Load(), staleLists.Load(), watches.Load()}, [3]int64{1, 1, 0}; got != want {
			t.Errorf("lists, stale lists and watches before the host has settled: got %v, want %v", got, want)
		}
		if table, _ := h.Table(); table == nil || table.Version != 7 {
			t.Errorf("table of the starting host: got %v, want version 7", table)
		}
		f.runCommand("table 8")
		f.runCommand("wait 1500ms")
		if got := watches.Load(); got != 2 {
			t.Errorf("watches of a settled host that hears nobody: got %d, want 2", got)
		}
		if table, _ := h.Table(); table == nil || table.Version != 8 {
			t.Errorf("table after settling: got %v, want version 8", table)
		}
	})
}
