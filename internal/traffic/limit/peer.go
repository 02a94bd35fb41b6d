package limit

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"quetzalhook"
)

// ObservePeers processes the latest demand of every other host: it debits
// their use and updates which of them are silent.
func (l *Limiter) ObservePeers(now time.Time, demands []quetzalhook.PeerDemand) {
	l.lastObserved = now
	sorted := slices.Clone(demands)
	slices.SortFunc(sorted, func(a, b quetzalhook.PeerDemand) int { return cmp.Compare(a.Host, b.Host) })
	l.dropUnlisted(sorted)
	for _, d := range sorted {
		l.observePeer(now, d)
	}
	heard := 1
	for _, p := range l.peers {
		if !p.silent {
			heard++
		}
	}
	// A host that was never heard counts as silent, because it may be on the other
	// side of a network partition.
	l.setHeard(now, heard)
}

// dropUnlisted removes the peers that are not in sorted.
func (l *Limiter) dropUnlisted(sorted []quetzalhook.PeerDemand) {
	for id := range l.peers {
		_, ok := slices.BinarySearchFunc(sorted, id, func(d quetzalhook.PeerDemand, id quetzalhook.HostID) int {
			return cmp.Compare(d.Host, id)
		})
		if !ok {
			delete(l.peers, id)
		}
	}
}

// setHeard sets the number of hosts heard. Buckets are refilled at the old
// share first and then limited to the new burst.
func (l *Limiter) setHeard(now time.Time, heard int) {
	if heard == l.heardHosts {
		return
	}
	for _, s := range l.stateList {
		l.fill(now, s) // at the old share
	}
	l.heardHosts = heard
	for _, s := range l.stateList {
		s.level = min(s.level, l.burst(s))
	}
}

// observePeer processes one peer's demand.
func (l *Limiter) observePeer(now time.Time, d quetzalhook.PeerDemand) {
	p := l.peers[d.Host]
	if p == nil {
		// Use before the peer's first report is not debited.
		p = &peer{id: d.Host, reported: maps.Clone(d.Demand.Used)}
		if p.reported == nil {
			p.reported = make(map[quetzalhook.CustomerID]float64)
		}
		l.peers[d.Host] = p
	}
	if d.Age >= l.silentAfter {
		p.markSilent(now)
		return
	}
	if !p.silent {
		l.debit(now, p, d.Demand.Used)
		return
	}
	if p.heardAgain.IsZero() {
		p.heardAgain = now
	}
	if now.Sub(p.heardAgain) >= rejoinAfter {
		l.debit(now, p, d.Demand.Used)
		l.refillMissed(now, p)
		p.silent = false
	}
}

// markSilent marks the peer as silent.
func (p *peer) markSilent(now time.Time) {
	if !p.silent {
		p.silent, p.silentSince = true, now
	}
	p.heardAgain = time.Time{}
}

// refillMissed adds the part of the rate that the buckets did not receive
// while the peer was silent. The caller first debits the peer's use in that
// time, so that together only the use beyond the peer's part of the rate is
// taken out of the buckets.
func (l *Limiter) refillMissed(now time.Time, p *peer) {
	d := now.Sub(p.silentSince).Seconds() / float64(max(l.hosts, len(l.peers)+1))
	for id := range p.reported {
		if s := l.states[id]; s != nil {
			s.level += d * s.limit.WorkRate
		}
	}
}

// debit takes the work that the peer has done since its last report out of the
// buckets. A total smaller than the last one means that the peer restarted or
// removed the state of the customer, and counts from zero.
func (l *Limiter) debit(now time.Time, p *peer, used map[quetzalhook.CustomerID]float64) {
	for id, u := range used {
		delta := u - p.reported[id]
		if delta < 0 {
			delta = u
		}
		if delta == 0 {
			continue
		}
		p.reported[id] = u
		if limit, ok := l.limits[id]; !ok || limit.WorkRate == 0 && limit.Concurrency == 0 {
			continue
		}
		s := l.state(now, id)
		l.decay(now, s)
		s.level -= delta
		s.allRecent += delta
		s.lastUsed = now
	}
	if len(p.reported) > len(used) {
		for id := range p.reported {
			if _, ok := used[id]; !ok {
				delete(p.reported, id)
			}
		}
	}
}
