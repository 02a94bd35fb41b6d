package usage

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"quetzalhook"
	"quetzalhook/internal/platform/memory"
)

// BenchmarkCustomers measures, for several numbers of customers with one class
// each, the time of an Add, the memory and the size in a replica of a total, and
// the time and the number of writes of a full flush.
func BenchmarkCustomers(b *testing.B) {
	for _, n := range []int{10, 1000, 17000} {
		b.Run(fmt.Sprint("customers=", n), func(b *testing.B) { benchCustomers(b, n) })
	}
}

func benchCustomers(b *testing.B, n int) {
	store, net := memory.New(), memory.NewNetwork()
	clock := quetzalhook.ClockFunc(time.Now)
	names := make([]quetzalhook.CustomerID, n)
	for i := range names {
		names[i] = quetzalhook.CustomerID(fmt.Sprintf("customer-%05d", i))
	}
	peer := net.Join(quetzalhook.Member{Host: "a"}, &memory.Gate{})
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	m := New(Source{Host: "a", Incarnation: 1}, "zone", store, clock, clock, peer, NewSchedule(24*time.Hour))
	for _, c := range names {
		m.Add(c, "class", Amount{Prompt: 1000, Output: 300, Requests: 1})
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	records, _ := m.changesFor(Source{Host: "b"})
	bytes := 0
	for _, r := range records {
		body, err := cbor.Marshal(r)
		if err != nil {
			b.Fatal(err)
		}
		bytes += len(body)
	}
	start := time.Now()
	if err := m.Flush(context.Background()); err != nil {
		b.Fatal(err)
	}
	flush := time.Since(start)
	i := 0
	for b.Loop() {
		m.Add(names[i%n], "class", Amount{Prompt: 1000, Output: 300, Requests: 1})
		i++
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "heap-B/entry")
	b.ReportMetric(float64(bytes)/float64(n), "wire-B/entry")
	b.ReportMetric(float64(store.Counts().Writes), "writes/flush")
	b.ReportMetric(float64(flush.Nanoseconds())/float64(n), "flush-ns/entry")
	runtime.KeepAlive(m)
}
