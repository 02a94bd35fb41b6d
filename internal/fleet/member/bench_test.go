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

// BenchmarkDuties counts the hosts that find themselves among the two of their
// zone for a duty, as the watchers of a zone do: by silence alone (as before
// Member.IsAlive) and as members are judged now. Two in each zone are wanted.
func BenchmarkDuties(b *testing.B) {
	for _, n := range []int{64, 300, 1000, 2800} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			w := newWorld(b, n, min(zones, 1+n/20))
			w.list()
			w.run(20 * time.Second)
			var bySilence, byHeard int
			for b.Loop() {
				bySilence, byHeard = 0, 0
				for _, a := range w.order {
					g := w.hosts[a]
					members := g.members(w.now)
					bySilence += chosen(g.self, members, func(m quetzalhook.Member) bool { return m.Silent < goneAfter })
					byHeard += chosen(g.self, members, func(m quetzalhook.Member) bool { return m.IsAlive(goneAfter) })
				}
			}
			b.ReportMetric(float64(bySilence), "chosen-by-silence")
			b.ReportMetric(float64(byHeard), "chosen-by-IsHeard")
			b.ReportMetric(float64(2*min(zones, 1+n/20)), "wanted")
		})
	}
}

// chosen returns 1 for a host with fewer than two members of its zone ahead.
func chosen(self Self, members []quetzalhook.Member, alive func(quetzalhook.Member) bool) int {
	ahead := 0
	for _, m := range members {
		if m.Zone == self.Zone && alive(m) && hostHash(m.Host) > hostHash(self.Host) {
			ahead++
		}
	}
	if ahead < 2 {
		return 1
	}
	return 0
}

// BenchmarkJoin measures the virtual time until a host that starts with one
// seed and a list of hosts without addresses, as the platform's is, has heard
// every host of its cell and knows the addresses of all hosts.
func BenchmarkJoin(b *testing.B) {
	for _, n := range []int{16, 64, 300} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			w := newWorld(b, n, min(zones, 1+n/20))
			w.list()
			w.run(10 * time.Second)
			var list []quetzalhook.HostStatus
			for _, a := range w.order {
				s := w.hosts[a].self
				list = append(list, quetzalhook.HostStatus{Host: s.Host, Incarnation: s.Incarnation, Zone: s.Zone})
			}
			const limit = 10 * time.Minute
			var cell, all time.Duration
			for b.Loop() {
				g := w.join(n, min(zones, 1+n/20), quetzalhook.Incarnation(b.N+1), address(0))
				g.observeList(w.now, list)
				begin := w.now
				for cell, all = 0, 0; all == 0 && w.now.Sub(begin) < limit; {
					w.run(beatInterval)
					if cell == 0 && isComplete(g.near, func(p *peer) bool { return !p.seen.IsZero() }) {
						cell = w.now.Sub(begin)
					}
					if isComplete(g.order, func(p *peer) bool { return p.profile.Heartbeat != "" }) {
						all = w.now.Sub(begin)
					}
				}
			}
			b.ReportMetric(cell.Seconds(), "s-to-cell")
			b.ReportMetric(all.Seconds(), "s-to-all")
		})
	}
}

func isComplete(peers []*peer, ok func(*peer) bool) bool {
	for _, p := range peers {
		if !ok(p) {
			return false
		}
	}
	return len(peers) > 0
}
