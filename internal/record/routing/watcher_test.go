package routing

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"quetzalhook"
	"quetzalhook/internal/fleet/rendezvous"
	"quetzalhook/internal/platform/memory"
)

// cutStore is a store whose calls fail while its gate is closed. A watch is opened without a
// call, like that of the platform's store, and fails after watchTimeout.
type cutStore struct{ gatedStore }

const watchTimeout = 1600 * time.Millisecond

// Watch implements quetzalhook.Store.
func (s cutStore) Watch(ctx context.Context, prefix string, after quetzalhook.Version) (quetzalhook.Watch, error) {
	if !s.gate.closed.Load() {
		return s.gatedStore.Watch(ctx, prefix, after)
	}
	w := cutWatch{events: make(chan quetzalhook.Object), err: s.gate.unavailable("watch")}
	time.AfterFunc(watchTimeout, func() { close(w.events) })
	return w, nil
}

type cutWatch struct {
	events chan quetzalhook.Object
	err    error
}

func (w cutWatch) Events() <-chan quetzalhook.Object { return w.events }
func (w cutWatch) Err() error                        { return w.err }
func (w cutWatch) Close() error                      { return nil }

// Guards against a host that takes over the watch of its cell from one that gets answers from
// the store, without an answer of its own.
func TestWatchNotTakenOverWithoutAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var cell []quetzalhook.HostID
		for n := range 12 {
			cell = append(cell, quetzalhook.HostID(fmt.Sprintf("z0-%d", n)))
		}
		first := rendezvous.Rank(watcherRankName, cell)[0]
		store, start := memory.New(), time.Now()
		gates := make(map[quetzalhook.HostID]*gate)
		putTable(t, store, wideTable(1, 3))
		f := newLinkedFleet(t, 2, 12, func(host quetzalhook.HostID) (quetzalhook.Store, []Option) {
			gates[host] = &gate{Store: store}
			settled := WithSettled(func() bool { return host != first || time.Since(start) > 5*time.Second })
			return cutStore{gatedStore{gates[host]}}, []Option{settled}
		})
		time.Sleep(4 * time.Second)
		gates[first].closed.Store(true)
		for host, g := range gates {
			if !slices.Contains(cell, host) {
				g.closed.Store(true)
				g.lossy.Store(true) // no help from the other cell
			}
		}
		time.Sleep(2 * time.Second)
		putTable(t, store, wideTable(2, 3))
		f.waitForTable(t, 2, 800*time.Millisecond)
	})
}
