package placement

import (
	"slices"
	"time"

	"quetzalhook"
	"quetzalhook/internal/traffic/share"
)

const (
	// settleTime is how long peers may not know this host's demand: one gossip
	// period and the delay. Growth of the own demand counts after this time,
	// so that a host does not take slots that peers still use.
	settleTime = 200 * time.Millisecond
	// workGain weighs a new mean of the work of a request.
	workGain = 0.1
)

// defaultWork is the work of a request in tokens, by tier, until this host has
// had one: short questions, and long work with its prompt.
var defaultWork = [quetzalhook.TierCount]float64{500, 500, 4000, 4000}

// divide computes this host's slots on every upstream from the demand of all
// hosts.
func (p *Planner) divide(now time.Time) {
	own := p.ownNeed(now)
	if len(p.peers) == 0 {
		p.table = share.Equal(p.host, p.hosts)
	} else {
		needs := append(make([]share.Need, 0, len(p.peers)+1), own)
		for _, d := range p.peers {
			needs = append(needs, p.need(d.Host, d.Demand))
		}
		p.table = share.Divide(p.capacity(), needs)
	}
	p.allocate()
}

// capacity returns the slots that requests compete for: those of the engines.
// Services answer at once; theirs count only if there is no engine.
func (p *Planner) capacity() float64 {
	engines, services := 0, 0
	for _, u := range p.upstreams {
		switch {
		case !u.isUsable():
		case u.Kind == quetzalhook.KindService:
			services += u.Slots
		default:
			engines += u.Slots
		}
	}
	if engines == 0 {
		return float64(services)
	}
	return float64(engines)
}

// allocate turns the fractions of the table into slots of each upstream.
func (p *Planner) allocate() {
	hosts := p.table.Hosts()
	self, _ := slices.BinarySearch(hosts, p.host)
	inFlight := make([]map[quetzalhook.UpstreamID]int, len(hosts))
	for _, d := range p.peers {
		if i, ok := slices.BinarySearch(hosts, d.Host); ok {
			inFlight[i] = d.Demand.InFlight
		}
	}
	held, got := make([]int, len(hosts)), make([]int, len(hosts))
	for _, u := range p.upstreams {
		for i := range hosts {
			held[i] = inFlight[i][u.ID]
		}
		held[self] = u.own
		p.table.WholeSlots(u.Slots, u.index, got)
		share.KeepHeld(u.Slots, u.index, held, got)
		u.share = got[self]
		p.checkShares(u, held, got)
	}
}

// checkShares checks that the hosts' slots on u are no more than it has, or
// than are held.
func (p *Planner) checkShares(u *upstream, held, got []int) {
	if p.rules == nil {
		return
	}
	sum, holds := 0, 0
	for i := range got {
		sum += got[i]
		holds += held[i]
	}
	p.rules.Check(RuleSlotShare, sum <= max(u.Slots, holds), "upstream", u.ID, "sum", sum, "held", holds)
}

// ownNeed returns this host's need as its peers know it: growth counts after
// settleTime, a decrease at once.
func (p *Planner) ownNeed(now time.Time) share.Need {
	current := p.need(p.host, p.own)
	if now.Sub(p.rotated) >= settleTime {
		p.settled, p.pending, p.rotated = p.pending, current, now
	}
	for tier := range current.Slots {
		current.Slots[tier] = min(current.Slots[tier], max(p.settled.Slots[tier], 0))
	}
	return current
}

// need converts a host's demand to slots by tier: one for each request. A
// host that reports only tokens is taken to have requests of the size of this
// host's.
func (p *Planner) need(h quetzalhook.HostID, d quetzalhook.Demand) share.Need {
	n := share.Need{Host: h}
	counted := false
	for tier, requests := range d.Requests {
		n.Slots[tier] = float64(requests)
		counted = counted || requests > 0
	}
	if counted {
		return n
	}
	for tier := range n.Slots {
		n.Slots[tier] = (d.Waiting[tier] + d.Running[tier]) / p.work[tier]
	}
	return n
}

// learnWork smooths the mean work of this host's requests in each tier.
func (p *Planner) learnWork(d quetzalhook.Demand) {
	for tier, n := range d.Requests {
		if n > 0 {
			p.work[tier] += workGain * ((d.Waiting[tier]+d.Running[tier])/float64(n) - p.work[tier])
		}
	}
}
