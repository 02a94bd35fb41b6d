package member

import (
	"fmt"
	"testing"
	"time"

	"quetzalhook"
)

// BenchmarkVersion measures the virtual time from when two hosts of each zone
// have a new configuration version until gossip has spread it to every host.
func BenchmarkVersion(b *testing.B) {
	for _, n := range []int{64, 300, 1000, 2800} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			zoneCount := min(zones, 1+n/20)
			version := make([]int64, n)
			sim := newSimulation(b, n, zoneCount)
			sim.report = func(i int) Report {
				for _, p := range sim.hosts[address(i)].peers {
					version[i] = max(version[i], p.hostState.ConfigVersion)
				}
				return Report{ConfigVersion: version[i]}
			}
			sim.list()
			sim.run(10 * time.Second)
			next, longest := int64(0), time.Duration(0)
			for b.Loop() {
				next++
				for i := range 2 * zoneCount {
					version[i] = next
				}
				begin := sim.now
				for behind(version, next) {
					sim.run(heartbeatInterval)
				}
				longest = max(longest, sim.now.Sub(begin))
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

// BenchmarkDuties counts the hosts that choose themselves as one of the two
// hosts of their zone for a duty, as the watchers of a zone do. It compares
// choosing by silence alone with choosing by Member.IsAlive. The wanted count is
// two per zone.
func BenchmarkDuties(b *testing.B) {
	for _, n := range []int{64, 300, 1000, 2800} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			sim := newSimulation(b, n, min(zones, 1+n/20))
			sim.list()
			sim.run(20 * time.Second)
			var bySilence, byIsAlive int
			for b.Loop() {
				bySilence, byIsAlive = 0, 0
				for _, a := range sim.order {
					g := sim.hosts[a]
					members := g.members(sim.now)
					bySilence += chosen(g.self, members, func(m quetzalhook.Member) bool { return m.Silent < goneAfter })
					byIsAlive += chosen(g.self, members, func(m quetzalhook.Member) bool { return m.IsAlive(goneAfter) })
				}
			}
			b.ReportMetric(float64(bySilence), "chosen-by-silence")
			b.ReportMetric(float64(byIsAlive), "chosen-by-IsAlive")
			b.ReportMetric(float64(2*min(zones, 1+n/20)), "wanted")
		})
	}
}

// chosen returns 1 if the host chooses itself, that is, if fewer than two
// live members of its zone have a higher hash, and 0 otherwise.
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

// BenchmarkJoin measures the virtual time until a new host has heard every host
// of its cell, and until it knows the addresses of all hosts. It starts with one
// seed and, as from the platform, a list of hosts without addresses.
func BenchmarkJoin(b *testing.B) {
	for _, n := range []int{16, 64, 300} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			sim := newSimulation(b, n, min(zones, 1+n/20))
			sim.list()
			sim.run(10 * time.Second)
			var list []quetzalhook.HostStatus
			for _, a := range sim.order {
				s := sim.hosts[a].self
				list = append(list, quetzalhook.HostStatus{Host: s.Host, Incarnation: s.Incarnation, Zone: s.Zone})
			}
			const limit = 10 * time.Minute
			var cell, all time.Duration
			for b.Loop() {
				g := sim.join(n, min(zones, 1+n/20), quetzalhook.Incarnation(b.N+1), address(0))
				g.applyHostList(sim.now, list)
				begin := sim.now
				for cell, all = 0, 0; all == 0 && sim.now.Sub(begin) < limit; {
					sim.run(heartbeatInterval)
					if cell == 0 && isComplete(g.cellPeers, func(p *peer) bool { return !p.lastHeard.IsZero() }) {
						cell = sim.now.Sub(begin)
					}
					if isComplete(g.order, func(p *peer) bool { return p.profile.Heartbeat != "" }) {
						all = sim.now.Sub(begin)
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
