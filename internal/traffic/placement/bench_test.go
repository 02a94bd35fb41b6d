package placement

import (
	"fmt"
	"testing"
	"time"

	"quetzalhook"
)

// BenchmarkPlace measures one decision with half of the host's slots in use,
// load reports that are half a second old, and a prompt of eight prefixes of
// which most upstreams have some cached.
func BenchmarkPlace(b *testing.B) {
	for _, n := range []int{18, 100, 700} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			p, now := busyPlanner(n)
			r := request(0)
			r.Prefixes = []uint64{1, 2, 3, 4, 5, 6, 7, 8}
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Microsecond)
				if _, ok := p.Place(now, r); !ok {
					b.Fatal("got no upstream")
				}
			}
		})
	}
}

// BenchmarkObservePeers measures the recomputation of all slots after a gossip
// round of 15 peers, the other hosts of a cell of 16 (package member).
func BenchmarkObservePeers(b *testing.B) {
	for _, n := range []int{18, 57, 700} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			p, now := busyPlanner(n)
			peers := demand(15, n)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(250 * time.Millisecond)
				p.ObservePeers(now, peers)
			}
		})
	}
}

// BenchmarkStarted measures the decision, start and end of one request.
func BenchmarkStarted(b *testing.B) {
	p, now := busyPlanner(700)
	r := request(1 << 20)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Microsecond)
		u, _ := p.Place(now, r)
		p.Started(now, r, u)
		p.Ended(now, r.ID, quetzalhook.EndFinished)
	}
}

func demand(hosts, upstreams int) []quetzalhook.PeerDemand {
	var peers []quetzalhook.PeerDemand
	list := engines(upstreams)
	for h := range hosts {
		d := quetzalhook.Demand{InFlight: map[quetzalhook.UpstreamID]int{}}
		for i := h; i < upstreams; i += 2 {
			d.InFlight[list[i].ID] = 1 + i%2
		}
		d.Requests[0], d.Requests[2] = upstreams/hosts, upstreams/2
		peers = append(peers, quetzalhook.PeerDemand{Host: quetzalhook.HostID(fmt.Sprintf("peer-%d", h)), Demand: d})
	}
	return peers
}

func busyPlanner(n int) (*Planner, time.Time) {
	now := start
	p := New(WithHost("a"), WithHosts(4), WithRegion("region-0"), WithSeed(1))
	list := engines(n)
	p.SetUpstreams(now, list)
	for i := range 2 * n {
		if u, ok := p.Place(now, request(i)); ok {
			p.Started(now, request(i), u)
		}
	}
	now = now.Add(time.Second)
	for i, u := range list {
		p.ObserveLoad(now, quetzalhook.Load{
			Upstream: u.ID, Running: 8, Age: 500 * time.Millisecond, Prefixes: []uint64{3, uint64(3 + i%5)},
		})
	}
	return p, now
}
