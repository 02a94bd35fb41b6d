package journal

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	"quetzalhook"
	"quetzalhook/internal/platform/memory"
	"quetzalhook/internal/state/invariant"
)

// BenchmarkClaims compares group commit with one write for each claim, with 4
// hosts, 128 callers and a store latency of 5 ms.
func BenchmarkClaims(b *testing.B) {
	for _, mode := range []struct {
		name string
		opts []Option
	}{
		{"one-write-per-claim", []Option{WithMaxBatch(1), WithInterval(0), WithTimeout(time.Minute)}},
		{"group-commit", []Option{WithInterval(0), WithTimeout(time.Minute)}},
		{"group-commit-50ms", []Option{WithTimeout(time.Minute)}},
	} {
		b.Run(mode.name, func(b *testing.B) { benchClaims(b, mode.name != "one-write-per-claim", mode.opts) })
	}
}

func benchClaims(b *testing.B, group bool, opts []Option) {
	store, net := memory.New(), memory.NewNetwork()
	store.SetFaults(memory.Faults{Delay: 5 * time.Millisecond})
	hosts := make([]*Journal, 4)
	for i := range hosts {
		id := quetzalhook.HostID(fmt.Sprint("host-", i))
		var peers quetzalhook.Peers
		if group {
			peers = net.Join(quetzalhook.Member{Host: id}, &memory.Gate{})
		}
		hosts[i] = New(id, 1, store, quetzalhook.ClockFunc(time.Now), peers, invariant.New(nil), opts...)
		defer func() { _ = hosts[i].Close() }()
	}
	work := make(chan int)
	latencies := make([]time.Duration, b.N)
	var callers sync.WaitGroup
	for c := range 128 {
		callers.Go(func() {
			for n := range work {
				start := time.Now()
				r, err := hosts[c%len(hosts)].Claim(context.Background(), Call{Key: fmt.Sprint("key-", n)})
				if err != nil || r.Kind != Claimed {
					b.Errorf("claim: got %v %v, want claimed", r.Kind, err)
				}
				latencies[n] = time.Since(start)
			}
		})
	}
	b.ResetTimer()
	for n := range b.N {
		work <- n
	}
	close(work)
	callers.Wait()
	slices.Sort(latencies)
	seconds := b.Elapsed().Seconds()
	b.ReportMetric(float64(b.N)/seconds, "claims/s")
	b.ReportMetric(float64(store.Counts().Writes)/seconds, "writes/s")
	b.ReportMetric(float64(store.Counts().Writes)/float64(b.N), "writes/claim")
	b.ReportMetric(latencies[len(latencies)/2].Seconds()*1000, "p50-ms")
	b.ReportMetric(latencies[len(latencies)*99/100].Seconds()*1000, "p99-ms")
}

// BenchmarkShard measures one commit of 10 claims into a shard that already
// holds n entries with responses of 200 bytes, and the size of an entry in the
// store and in memory. A full shard holds about 2,800 such entries.
func BenchmarkShard(b *testing.B) {
	for _, n := range []int{10, 1000, 2800} {
		b.Run(fmt.Sprint("entries=", n), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			base := newShard()
			for i := range n {
				key := shorten(Fingerprint([]byte(fmt.Sprint(i))))
				base.add(entry{Key: key, Nonce: key, Done: true, Response: make([]byte, 200)})
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			value, err := base.encode()
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				for i := range 10 {
					base.apply(&operation{Action: actionClaim, Key: shorten(Fingerprint([]byte(fmt.Sprint("new", i)))), Host: "host-0"})
				}
				if _, err := base.encode(); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(value))/float64(n), "bytes/entry")
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "heap-B/entry")
		})
	}
}
