package configuration

import (
	"context"
	"fmt"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// withCustomers returns a copy of base with n customers.
func withCustomers(base *Document, n int) *Document {
	d := *base
	d.index = index{}
	d.Customers = nil
	for i := range n {
		c := base.Customers[i%len(base.Customers)]
		c.Name = fmt.Sprintf("customer-%d", i)
		d.Customers = append(d.Customers, c)
	}
	return &d
}

// BenchmarkChange measures the bytes that one host receives for a change of one
// customer, and the time that it takes to apply the change.
func BenchmarkChange(b *testing.B) {
	for _, c := range []struct{ customers, upstreams int }{{10, 21}, {1000, 21}, {17_000, 21}, {17_000, 10_000}} {
		b.Run(fmt.Sprintf("customers=%d/upstreams=%d", c.customers, c.upstreams), func(b *testing.B) {
			f := newTestFleet(b, withCustomers(example(b, "association"), c.customers), 0)
			for i := len(f.base.Upstreams); i < c.upstreams; i++ {
				u := f.base.Upstreams[i%18]
				u.Name = fmt.Sprintf("engine-%d", i)
				f.base.Upstreams = append(f.base.Upstreams, u)
			}
			endpoint := f.network.Endpoint("host")
			r := NewRollout(Identity{Host: "host"}, f.store, endpoint, f.clock, discardLogger(), f.inv)
			var heads [2]Head
			shards := make(map[Hash][]byte)
			for i := range heads {
				f.base.Customers[0].Weight = float64(i + 1)
				m, parts, err := encodeDocument(f.base, inlineLimit)
				if err != nil {
					b.Fatal(err)
				}
				heads[i].Manifest = m
				for h, value := range parts {
					shards[h] = value
				}
			}
			received := 0
			fetch := func(_ context.Context, wanted []Hash) (map[Hash][]byte, error) {
				found := make(map[Hash][]byte)
				for _, h := range wanted {
					found[h] = shards[h]
					received += len(shards[h])
				}
				return found, nil
			}
			b.ResetTimer()
			for i := range b.N {
				if i == 1 {
					received = 0 // for the first version, all shards are fetched
					b.ResetTimer()
				}
				head := heads[i%2]
				head.Number, head.Plan = int64(i+1), "plan"
				value, err := cbor.Marshal(head)
				if err == nil {
					err = r.applyIfNewer(context.Background(), head, fetch)
				}
				if err != nil {
					b.Fatal(err)
				}
				received += len(value)
			}
			b.ReportMetric(float64(received)/float64(max(b.N-1, 1)), "bytes/change")
		})
	}
}

// BenchmarkParse measures the parsing of a document. Only the host that plans a
// change parses it; the other hosts receive the encoded form.
func BenchmarkParse(b *testing.B) {
	head, err := os.ReadFile("../../../examples/association.yaml")
	if err != nil {
		b.Fatal(err)
	}
	for _, n := range []int{10, 1000, 17_000} {
		b.Run(fmt.Sprintf("customers=%d", n), func(b *testing.B) {
			var list strings.Builder
			for i := range n {
				fmt.Fprintf(&list, "  - {name: c-%d, weight: 1, classes: [permit-question], work-rate: 10, work-burst: 100}\n", i)
			}
			text := strings.Replace(string(head), "customers:\n", "customers:\n"+list.String(), 1)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := Parse([]byte(text)); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkFleet measures the rate of calls to the store during a minute with one
// change, and the virtual time until the change is in force on all hosts.
func BenchmarkFleet(b *testing.B) {
	for _, n := range []int{2, 16, 64} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			var calls, delay float64
			test := func(t *testing.T) {
				f := newTestFleet(t, example(t, "association"), n)
				f.change(1)
				time.Sleep(10 * time.Second)
				before := f.store.Counts()
				begin := time.Now()
				f.change(1)
				for isAnyHostBehind(f) {
					time.Sleep(10 * time.Millisecond)
				}
				delay += time.Since(begin).Seconds()
				time.Sleep(time.Minute - time.Since(begin))
				after := f.store.Counts()
				calls += float64(after.Reads + after.Watches - before.Reads - before.Watches)
				for host := range f.hosts {
					f.stop(host)
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
			b.ReportMetric(delay/float64(b.N), "s-to-all")
		})
	}
}

// isAnyHostBehind reports whether a host does not have the newest confirmed version.
func isAnyHostBehind(f *testFleet) bool {
	for _, r := range f.hosts {
		if r.Version() != highestConfirmed(f) {
			return true
		}
	}
	return false
}

func highestConfirmed(f *testFleet) int64 {
	var highest int64
	for _, n := range f.results {
		highest = max(highest, n)
	}
	return highest
}
