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

// engines fakes all engines: it records the loaded models and the received
// orders.
type engines struct {
	loaded        map[quetzalhook.UpstreamID][]quetzalhook.Model
	orders        map[quetzalhook.UpstreamID][]string
	fencing       map[quetzalhook.UpstreamID][]uint64
	answersToLose int // number of orders that take effect, but whose answer is lost
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
	if e.answersToLose > 0 {
		e.answersToLose--
		return &quetzalhook.StoreError{Op: "load", Key: string(u), Kind: quetzalhook.StoreUnknown}
	}
	return nil
}

// testEnvironment is a store, fake engines and a clock that tests advance.
type testEnvironment struct {
	t       *testing.T
	store   *memory.Store
	engines *engines
	now     time.Time
	ids     int
	inv     *invariant.Registry
	list    []quetzalhook.Upstream
}

func newTestEnvironment(t *testing.T) *testEnvironment {
	e := &testEnvironment{
		t: t, store: memory.New(), now: time.Unix(1000, 0), inv: invariant.New(nil),
		engines: &engines{
			loaded: make(map[quetzalhook.UpstreamID][]quetzalhook.Model), orders: make(map[quetzalhook.UpstreamID][]string),
			fencing: make(map[quetzalhook.UpstreamID][]uint64),
		},
	}
	for i, checks := range []bool{true, false} {
		e.list = append(e.list, quetzalhook.Upstream{
			ID: quetzalhook.UpstreamID(fmt.Sprint("e", i)), Models: []quetzalhook.Model{"m"}, ChecksFencing: checks,
		})
	}
	return e
}

// Now implements quetzalhook.Clock.
func (e *testEnvironment) Now() time.Time { return e.now }

// Hosts implements quetzalhook.HostLister. Both hosts keep their incarnation, so
// neither counts as dead.
func (e *testEnvironment) Hosts(context.Context) ([]quetzalhook.HostStatus, error) {
	return []quetzalhook.HostStatus{{Host: "a", Incarnation: 1}, {Host: "b", Incarnation: 1}}, nil
}

// host returns a loader and its lease for one host.
func (e *testEnvironment) host(id quetzalhook.HostID) (*Loader, *lease.Lease) {
	e.t.Helper()
	r, err := lease.New(lease.RoleController, id, 1, e.store, e, e.inv)
	if err != nil {
		e.t.Fatal(err)
	}
	l := New(r, e.engines, e, func() []quetzalhook.Upstream { return e.list }, e, WithIDs(func() string {
		e.ids++
		return fmt.Sprint("order-", e.ids)
	}))
	return l, r
}

// acquire steps a lease until it is held.
func (e *testEnvironment) acquire(r *lease.Lease) {
	e.t.Helper()
	for range 100 {
		if err := r.Step(context.Background()); err != nil {
			e.t.Fatal(err)
		}
		if r.Held() {
			return
		}
		e.now = e.now.Add(time.Second)
	}
	e.t.Fatal("lease not acquired within 100 s")
}

func (e *testEnvironment) step(l *Loader) {
	e.t.Helper()
	if err := l.Step(context.Background()); err != nil && !lease.IsKind(err, lease.KindBlocked) && !lease.IsKind(err, lease.KindUnclear) {
		e.t.Fatal(err)
	}
}

func (e *testEnvironment) wantOrders(u quetzalhook.UpstreamID, want ...string) {
	e.t.Helper()
	if got := e.engines.orders[u]; !slices.Equal(got, want) {
		e.t.Errorf("orders of %s: got %v, want %v", u, got, want)
	}
}

// Guards against a model that is ordered twice, or by a host that does not hold
// the lease.
func TestLoadsOnce(t *testing.T) {
	e := newTestEnvironment(t)
	l, r := e.host("a")
	e.step(l)
	e.wantOrders("e0")
	e.acquire(r)
	e.step(l)
	e.step(l)
	e.wantOrders("e0", "order-1")
	e.wantOrders("e1", "order-2")
}

// Guards against a new lease holder that sends orders to an engine without
// fencing checks while an order of its live predecessor has an unknown outcome,
// and against an open intent that blocks an engine with fencing checks.
func TestSuccessorLeavesOpenIntentsAlone(t *testing.T) {
	e := newTestEnvironment(t)
	first, firstLease := e.host("a")
	e.acquire(firstLease)
	e.engines.answersToLose = 2
	e.step(first)
	e.engines.orders = make(map[quetzalhook.UpstreamID][]string) // the engines do not list the orders yet
	e.engines.loaded = make(map[quetzalhook.UpstreamID][]quetzalhook.Model)

	second, secondLease := e.host("b")
	e.acquire(secondLease)
	e.step(second)
	if got, want := len(e.engines.orders["e0"]), 1; got != want {
		t.Errorf("orders to the engine that checks fencing: got %d, want %d", got, want)
	}
	e.wantOrders("e1")

	// The engine lists the predecessor's order: its intent is closed.
	e.engines.orders["e1"] = []string{"order-2"}
	e.step(second)
	if got, want := len(e.engines.orders["e1"]), 2; got != want {
		t.Errorf("orders after the engine listed the first: got %d, want %d", got, want)
	}
	if got, want := e.inv.Violations(), int64(0); got != want {
		t.Errorf("violations: got %d, want %d: %v", got, want, e.inv.Details())
	}
}
