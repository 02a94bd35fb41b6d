package limit

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"quetzalhook"
)

// ObservePeers takes the latest demand of every other host.
func (l *Limiter) ObservePeers(now time.Time, demands []quetzalhook.PeerDemand) {
	l.last = now
	sorted := slices.Clone(demands)
	slices.SortFunc(sorted, func(a, b quetzalhook.PeerDemand) int { return cmp.Compare(a.Host, b.Host) })
	l.keep(sorted)
	for _, d := range sorted {
		l.observe(now, d)
	}
	heard := 1
	for _, p := range l.peers {
		if !p.silent {
			heard++
		}
	}
	// A host that never appeared counts as silent, because it may be cut off.
	l.setHeard(now, heard)
}

// keep drops peers that are not listed any more.
func (l *Limiter) keep(sorted []quetzalhook.PeerDemand) {
	for id := range l.peers {
		_, ok := slices.BinarySearchFunc(sorted, id, func(d quetzalhook.PeerDemand, id quetzalhook.HostID) int {
			return cmp.Compare(d.Host, id)
		})
		if !ok {
			delete(l.peers, id)
		}
	}
}

func (l *Limiter) setHeard(now time.Time, heard int) {
	if heard == l.heard {
		return
	}
	for _, s := range l.order {
		l.fill(now, s) // at the old share
	}
	l.heard = heard
	for _, s := range l.order {
		s.level = min(s.level, l.burst(s))
	}
}

// observe takes one peer's demand.
func (l *Limiter) observe(now time.Time, d quetzalhook.PeerDemand) {
	p := l.peers[d.Host]
	if p == nil {
		// Use from before the first contact is not debited.
		p = &peer{id: d.Host, seen: maps.Clone(d.Demand.Used)}
		if p.seen == nil {
			p.seen = make(map[quetzalhook.CustomerID]float64)
		}
		l.peers[d.Host] = p
	}
	if d.Age >= l.silent {
		p.mute(now)
		return
	}
	if !p.silent {
		l.debit(now, p, d.Demand.Used)
		return
	}
	if p.back.IsZero() {
		p.back = now
	}
	if now.Sub(p.back) >= heardAfter {
		l.debit(now, p, d.Demand.Used)
		l.repay(now, p)
		p.silent = false
	}
}

// mute counts the peer as silent.
func (p *peer) mute(now time.Time) {
	if !p.silent {
		p.silent, p.since = true, now
	}
	p.back = time.Time{}
}

// repay adds the part of the rate that the buckets did not refill while the
// peer was silent, after debit took off what the peer used in that time. What
// remains is the excess of that time.
func (l *Limiter) repay(now time.Time, p *peer) {
	d := now.Sub(p.since).Seconds() / float64(max(l.hosts, len(l.peers)+1))
	for id := range p.seen {
		if s := l.states[id]; s != nil {
			s.level += d * s.limit.WorkRate
		}
	}
}

// debit takes the work that the peer reports beyond what was seen off the
// buckets. A smaller total than before means that the peer restarted or
// forgot the customer and counts from zero.
func (l *Limiter) debit(now time.Time, p *peer, used map[quetzalhook.CustomerID]float64) {
	for id, u := range used {
		delta := u - p.seen[id]
		if delta < 0 {
			delta = u
		}
		if delta == 0 {
			continue
		}
		p.seen[id] = u
		if limit, ok := l.limits[id]; !ok || limit.WorkRate == 0 && limit.Concurrency == 0 {
			continue
		}
		s := l.state(now, id)
		l.fade(now, s)
		s.level -= delta
		s.all += delta
		s.active = now
	}
	if len(p.seen) > len(used) {
		for id := range p.seen {
			if _, ok := used[id]; !ok {
				delete(p.seen, id)
			}
		}
	}
}
