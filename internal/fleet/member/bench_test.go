package member

import (
	"fmt"
	"testing"
	"time"

	"quetzalhook"
)

// BenchmarkVersion measures the virtual time until a configuration version that
// two hosts of each zone put in force is known to every host, by gossip alone.
func BenchmarkVersion(b *testing.B) {
	for _, n := range []int{64, 300, 1000, 2800} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			zoneCount := min(zones, 1+n/20)
			version := make([]int64, n)
			w := newWorld(b, n, zoneCount)
			w.report = func(i int) Report {
				for _, p := range w.hosts[address(i)].peers {
					version[i] = max(version[i], p.beat.ConfigVersion)
				}
				return Report{ConfigVersion: version[i]}
			}
			w.list()
			w.run(10 * time.Second)
			next, longest := int64(0), time.Duration(0)
			for b.Loop() {
				next++
				for i := range 2 * zoneCount {
					version[i] = next
				}
				begin := w.now
				for behind(version, next) {
					w.run(beatInterval)
				}
				longest = max(longest, w.now.Sub(begin))
			}
			b.ReportMetric(longest.Seconds(), "s-to-all-worst")
		})
	}
}

func behind(versions []int64, want int64) bool {
	for _, v := range versions {
		if v < want {
			return true
		}
	}
	return false
}

// BenchmarkMembers measures the list of members, which is made again every
// 250 ms.
func BenchmarkMembers(b *testing.B) {
	for _, n := range []int{16, 300, 2800} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			var list []quetzalhook.HostStatus
			for i := range n {
				list = append(list, quetzalhook.HostStatus{
					Host: quetzalhook.HostID(fmt.Sprintf("host-%04d", i)), Incarnation: 1,
					Zone: quetzalhook.Zone(fmt.Sprint("zone-", i%zones)), HeartbeatAddress: address(i), PeerAddress: address(i),
				})
			}
			now := time.Unix(1, 0)
			g := newGossip(Self{Host: "self", Incarnation: 1, Zone: "zone-1"}, nil, nil)
			g.observeList(now, list)
			b.ReportAllocs()
			for b.Loop() {
				if got := len(g.members(now)); got != n {
					b.Fatalf("got %d members, want %d", got, n)
				}
			}
		})
	}
}
