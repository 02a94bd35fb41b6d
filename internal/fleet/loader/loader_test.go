package loader

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"quetzalhook"
	"quetzalhook/internal/fleet/lease"
	"quetzalhook/internal/platform/memory"
	"quetzalhook/internal/state/invariant"
)

// engines is a fake of all engines: what they loaded and which orders reached
// them.
type engines struct {
	loaded  map[quetzalhook.UpstreamID][]quetzalhook.Model
	orders  map[quetzalhook.UpstreamID][]string
	fencing map[quetzalhook.UpstreamID][]uint64
	lose    int // answers to lose after the effect
}

func (e *engines) Models(_ context.Context, u quetzalhook.UpstreamID) ([]quetzalhook.Model, error) {
	return e.loaded[u], nil
}

func (e *engines) Orders(_ context.Context, u quetzalhook.UpstreamID) ([]string, error) {
	return e.orders[u], nil
}

func (e *engines) Load(_ context.Context, u quetzalhook.UpstreamID, o quetzalhook.ModelOrder) error {
	e.orders[u] = append(e.orders[u], o.ID)
	e.fencing[u] = append(e.fencing[u], o.Fencing)
	e.loaded[u] = append(e.loaded[u], o.Model)
	if e.lose > 0 {
		e.lose--
		return &quetzalhook.StoreError{Op: "load", Key: string(u), Kind: quetzalhook.StoreUnknown}
	}
	return nil
}

// world is a store, engines and a clock that tests advance.
type world struct {
	t       *testing.T
	store   *memory.Store
	engines *engines
	now     time.Time
	ids     int
	inv     *invariant.Registry
	list    []quetzalhook.Upstream
}

func newWorld(t *testing.T) *world {
	w := &world{
		t: t, store: memory.New(), now: time.Unix(1000, 0), inv: invariant.New(nil),
		engines: &engines{
			loaded: make(map[quetzalhook.UpstreamID][]quetzalhook.Model), orders: make(map[quetzalhook.UpstreamID][]string),
			fencing: make(map[quetzalhook.UpstreamID][]uint64),
		},
	}
	for i, checks := range []bool{true, false} {
		w.list = append(w.list, quetzalhook.Upstream{
			ID: quetzalhook.UpstreamID(fmt.Sprint("e", i)), Models: []quetzalhook.Model{"m"}, ChecksFencing: checks,
		})
	}
	return w
}

// Now implements quetzalhook.Clock.
func (w *world) Now() time.Time { return w.now }

// Hosts implements quetzalhook.HostLister; both hosts stay alive.
func (w *world) Hosts(context.Context) ([]quetzalhook.HostStatus, error) {
	return []quetzalhook.HostStatus{{Host: "a", Incarnation: 1}, {Host: "b", Incarnation: 1}}, nil
}

// host returns a loader and its lease on one host.
func (w *world) host(id quetzalhook.HostID) (*Loader, *lease.Lease) {
	w.t.Helper()
	r, err := lease.New(lease.RoleController, id, 1, w.store, w, w.inv)
	if err != nil {
		w.t.Fatal(err)
	}
	l := New(r, w.engines, w, func() []quetzalhook.Upstream { return w.list }, w, WithIDs(func() string {
		w.ids++
		return fmt.Sprint("order-", w.ids)
	}))
	return l, r
}

// take lets a lease win its role.
func (w *world) take(r *lease.Lease) {
	w.t.Helper()
	for range 100 {
		if err := r.Step(context.Background()); err != nil {
			w.t.Fatal(err)
		}
		if r.Held() {
			return
		}
		w.now = w.now.Add(time.Second)
	}
	w.t.Fatal("the role was not taken in 100 s")
}

func (w *world) step(l *Loader) {
	w.t.Helper()
	if err := l.Step(context.Background()); err != nil && !lease.IsKind(err, lease.KindBlocked) && !lease.IsKind(err, lease.KindUnclear) {
		w.t.Fatal(err)
	}
}

func (w *world) wantOrders(u quetzalhook.UpstreamID, want ...string) {
	w.t.Helper()
	if got := w.engines.orders[u]; !slices.Equal(got, want) {
		w.t.Errorf("orders of %s: got %v, want %v", u, got, want)
	}
}

// Guards against a model that is ordered twice, or by a host without the
// role.
func TestLoadsOnce(t *testing.T) {
	w := newWorld(t)
	l, r := w.host("a")
	w.step(l)
	w.wantOrders("e0")
	w.take(r)
	w.step(l)
	w.step(l)
	w.wantOrders("e0", "order-1")
	w.wantOrders("e1", "order-2")
}

// Guards against a successor that commands an engine which ignores fencing
// numbers while an order of a live predecessor has no known outcome, and
// against an open intent that blocks an engine which checks them.
func TestSuccessorLeavesOpenIntentsAlone(t *testing.T) {
	w := newWorld(t)
	first, firstLease := w.host("a")
	w.take(firstLease)
	w.engines.lose = 2
	w.step(first)
	w.engines.orders = make(map[quetzalhook.UpstreamID][]string) // not yet shown
	w.engines.loaded = make(map[quetzalhook.UpstreamID][]quetzalhook.Model)

	second, secondLease := w.host("b")
	w.take(secondLease)
	w.step(second)
	if got, want := len(w.engines.orders["e0"]), 1; got != want {
		t.Errorf("orders to the engine that checks fencing: got %d, want %d", got, want)
	}
	w.wantOrders("e1")

	// The effect of the predecessor's order shows: its intent is closed.
	w.engines.orders["e1"] = []string{"order-2"}
	w.step(second)
	if got, want := len(w.engines.orders["e1"]), 2; got != want {
		t.Errorf("orders after the effect showed: got %d, want %d", got, want)
	}
	if got, want := w.inv.Violations(), int64(0); got != want {
		t.Errorf("violations: got %d, want %d: %v", got, want, w.inv.Details())
	}
}
