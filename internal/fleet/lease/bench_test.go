package lease

import (
	"context"
	"fmt"
	"testing"
	"time"

	"quetzalhook"
	"quetzalhook/internal/platform/memory"
	"quetzalhook/internal/state/invariant"
)

// BenchmarkRole measures, for fleets of several sizes, the store reads and
// writes per second that one role causes and the duration of one Step.
func BenchmarkRole(b *testing.B) {
	for _, n := range []int{8, 280, 2800} {
		b.Run(fmt.Sprint("hosts=", n), func(b *testing.B) { benchRole(b, n) })
	}
}

func benchRole(b *testing.B, n int) {
	ctx := context.Background()
	now := time.Unix(1000, 0)
	clock := quetzalhook.ClockFunc(func() time.Time { return now })
	store := memory.New()
	hosts := make([]quetzalhook.HostID, n)
	for i := range hosts {
		hosts[i] = quetzalhook.HostID(fmt.Sprint("host-", i))
	}
	leases := make([]*Lease, n)
	for i, h := range hosts {
		candidate := IsCandidate(RoleController, h, hosts)
		l, err := New(RoleController, h, 1, store, clock, invariant.New(nil), WithCandidate(func() bool { return candidate }))
		if err != nil {
			b.Fatal(err)
		}
		leases[i] = l
	}
	start := now
	for b.Loop() {
		for _, l := range leases {
			if err := l.Step(ctx); err != nil {
				b.Fatal(err)
			}
		}
		now = now.Add(defaultTerm / renewalsPerTerm)
	}
	c := store.Counts()
	b.ReportMetric(float64(c.Reads)/now.Sub(start).Seconds(), "reads/s")
	b.ReportMetric(float64(c.Writes)/now.Sub(start).Seconds(), "writes/s")
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/step")
}
