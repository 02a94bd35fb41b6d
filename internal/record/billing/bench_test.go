package billing

import (
	"context"
	"fmt"
	"testing"
	"time"

	"quetzalhook"
	"quetzalhook/internal/fleet/lease"
	"quetzalhook/internal/platform/memory"
	"quetzalhook/internal/record/usage"
	"quetzalhook/internal/state/invariant"
)

// BenchmarkWindow measures the work for one closed window, from collecting its
// usage to sending the report, with 10 hosts that each have usage of all customers.
func BenchmarkWindow(b *testing.B) {
	for _, n := range []int{10, 1000, 17000} {
		b.Run(fmt.Sprint("customers=", n), func(b *testing.B) { benchWindow(b, n) })
	}
}

func benchWindow(b *testing.B, customers int) {
	ctx := context.Background()
	now := time.Unix(1e9, 0)
	clock := quetzalhook.ClockFunc(func() time.Time { return now })
	store, net := memory.New(), memory.NewNetwork()
	h := &testHost{gate: &memory.Gate{}, receiver: memory.NewReceiver(false)}
	inv := invariant.New(nil)
	l, err := lease.New(lease.RoleReporter, "host", 1, store, clock, inv)
	if err != nil {
		b.Fatal(err)
	}
	r := New(l, store, h, h, inv, clock, clock, schedule, WithGrace(0), WithLookback(2))
	meters := make([]*usage.Meter, 10)
	for i := range meters {
		id := quetzalhook.HostID(fmt.Sprint("host-", i))
		peer := net.Join(quetzalhook.Member{Host: id}, &memory.Gate{})
		meters[i] = usage.New(usage.Source{Host: id, Incarnation: 1}, "zone", store, clock, clock, peer, schedule)
	}
	round := func() {
		if err := l.Step(ctx); err != nil {
			b.Fatal(err)
		}
		if err := r.Step(ctx); err != nil {
			b.Fatal(err)
		}
	}
	round()
	var calls int64
	for b.Loop() {
		b.StopTimer()
		for _, m := range meters {
			for c := range customers {
				m.Add(quetzalhook.CustomerID(fmt.Sprintf("customer-%05d", c)), "class", usage.Amount{Requests: 1})
			}
		}
		now = now.Add(schedule.Length())
		for _, m := range meters {
			if err := m.Flush(ctx); err != nil {
				b.Fatal(err)
			}
		}
		before := store.Counts()
		b.StartTimer()
		round()
		after := store.Counts()
		calls += after.Reads + after.Writes - before.Reads - before.Writes
	}
	b.ReportMetric(float64(calls)/float64(b.N), "store-calls/window")
}
