package credential

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"quetzalhook"
	"quetzalhook/internal/fleet/peer"
	"quetzalhook/internal/platform/memory"
	"quetzalhook/internal/state/invariant"
)

// BenchmarkLookup measures the lookup of a key on a host that knows n keys, a
// tenth of them withdrawn.
func BenchmarkLookup(b *testing.B) {
	for _, n := range []int{30, 3000, 51_000} {
		b.Run(fmt.Sprintf("keys=%d", n), func(b *testing.B) {
			clock := quetzalhook.ClockFunc(time.Now)
			r := NewRegistry(Identity{Host: "a"}, memory.New(), peer.NewNetwork(clock, 1).Endpoint("a"), clock, logrus.New(), invariant.New(nil))
			var keys []string
			var withdrawn []ID
			for i := range n {
				key, hash := newKey()
				rec := record{Hash: hash, Customer: "customer"}
				r.table.merge(clock.Now(), shard{Records: []record{rec}})
				if i%10 == 0 {
					withdrawn = append(withdrawn, rec.id())
				} else {
					keys = append(keys, key)
				}
			}
			r.table.withdraw(clock.Now(), withdrawn, true, false)
			b.ResetTimer()
			for i := range b.N {
				if _, _, ok := r.Lookup(keys[i%len(keys)]); !ok {
					b.Fatal("key not found")
				}
			}
		})
	}
}

// BenchmarkDigestPull measures the number of bytes that two hosts exchange, and
// the time to build them, when one host lacks one of n withdrawals.
func BenchmarkDigestPull(b *testing.B) {
	for _, n := range []int{100, 1700, 17_000} {
		b.Run(fmt.Sprintf("withdrawn=%d", n), func(b *testing.B) {
			var ids []ID
			for range n {
				_, hash := newKey()
				ids = append(ids, ID(hash[:len(ID{})]))
			}
			x, y := newTable(), newTable()
			x.withdraw(time.Unix(1, 0), ids, true, false)
			y.withdraw(time.Unix(1, 0), ids[1:], true, false)
			size := 0
			for b.Loop() {
				request, err := cbor.Marshal(withdrawalMessage{Buckets: y.bucketHashes()})
				if err != nil {
					b.Fatal(err)
				}
				var answer withdrawalAnswer
				answer.Persisted, answer.Pending = x.differingWithdrawals(y.bucketHashes())
				reply, err := cbor.Marshal(answer)
				if err != nil {
					b.Fatal(err)
				}
				size = len(request) + len(reply)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}

// BenchmarkWithdrawal measures the store calls per second in an idle minute, and
// the virtual time until a withdrawal is known on all hosts.
func BenchmarkWithdrawal(b *testing.B) {
	for _, n := range []int{2, 16, 64} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			var calls, delay float64
			test := func(t *testing.T) {
				f := newFleet(t, n)
				f.issue("host-0")
				f.network.SetFaults(peer.NetworkFaults{Delay: 12 * time.Millisecond})
				time.Sleep(syncInterval / 4) // between two rounds of persistLoop
				begin := time.Now()
				go f.withdraw("host-0", f.keys[0])
				for _, r := range f.hosts {
					<-f.keys[0].streams[r]
				}
				delay += time.Since(begin).Seconds()
				time.Sleep(10 * time.Second)
				before := f.store.Counts()
				time.Sleep(time.Minute)
				after := f.store.Counts()
				calls += float64(after.Reads + after.Writes + after.Watches - before.Reads - before.Writes - before.Watches)
				for host := range f.hosts {
					f.stopHost(host)
				}
			}
			for b.Loop() {
				ok := testing.RunTests(func(_, _ string) (bool, error) { return true, nil },
					[]testing.InternalTest{{Name: "fleet", F: func(t *testing.T) { synctest.Test(t, test) }}})
				if !ok {
					b.Fatal("run failed")
				}
			}
			b.ReportMetric(calls/float64(b.N)/60, "store-calls/s")
			b.ReportMetric(delay/float64(b.N)*1000, "ms-to-all")
		})
	}
}
