package usage

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"quetzalhook"
	"quetzalhook/internal/fleet/peer"
	"quetzalhook/internal/platform/memory"
)

// BenchmarkReplica measures the time for each of n customers to make one request
// and for the replica of their usage to be encoded, the size of that replica, and
// the number of writes to the store.
func BenchmarkReplica(b *testing.B) {
	for _, n := range []int{10, 1000, 17_000} {
		b.Run(fmt.Sprintf("customers=%d", n), func(b *testing.B) {
			clock := quetzalhook.ClockFunc(time.Now)
			store := memory.New()
			m := New(Source{Host: "a", Incarnation: 1}, "z", store, clock, clock, peer.NewNetwork(clock, 1).Endpoint("a"), NewSchedule(time.Hour))
			to, bytes := Source{Host: "b", Incarnation: 1}, 0
			for b.Loop() {
				for i := range n {
					m.Add(quetzalhook.CustomerID(fmt.Sprint("customer-", i)), "question", Amount{Prompt: 100, Output: 200, Requests: 1})
				}
				bytes = 0
				records, seq := m.changesFor(to)
				for _, r := range records {
					value, err := cbor.Marshal(r)
					if err != nil {
						b.Fatal(err)
					}
					bytes += len(value)
				}
				m.ackedSeq[to] = seq
			}
			b.StopTimer()
			if err := m.Flush(context.Background()); err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(bytes)/float64(n), "bytes/customer")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/customer")
			b.ReportMetric(float64(store.Counts().Writes), "writes/flush")
		})
	}
}
