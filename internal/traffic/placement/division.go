package placement

import (
	"math"
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
	// defaultWork is the output of a request in tokens where demand counts only
	// tokens.
	defaultWork = 400
)

// divide computes this host's slots on every upstream from the demand of all
// hosts.
func (p *Planner) divide(now time.Time) {
	needs := append(make([]share.Need, 0, len(p.peers)+1), p.ownNeed(now))
	if len(p.peers) == 0 {
		p.table = share.Equal(p.host, p.hosts)
	} else {
		for _, d := range p.peers {
			needs = append(needs, need(d.Host, d.Demand))
		}
		p.table = share.Divide(p.capacity(), needs)
	}
	p.allocate(needs)
}

func (p *Planner) capacity() float64 {
	capacity := 0
	for _, u := range p.upstreams {
		if u.isUsable() {
			capacity += u.Slots
		}
	}
	return float64(capacity)
}

// holding sums up one host's slots over all usable upstreams.
type holding struct {
	inFlight map[quetzalhook.UpstreamID]int
	urgent   float64 // needed for urgent work
	whole    int     // by its fraction
	held     int
}

// allocate turns the fractions of the table into slots of each upstream.
func (p *Planner) allocate(needs []share.Need) {
	hosts := p.table.Hosts()
	self, _ := slices.BinarySearch(hosts, p.host)
	holdings := make([]holding, len(hosts))
	for _, n := range needs {
		i, _ := slices.BinarySearch(hosts, n.Host)
		holdings[i].urgent = n.Slots[quetzalhook.TierUrgent]
	}
	for _, d := range p.peers {
		i, _ := slices.BinarySearch(hosts, d.Host)
		holdings[i].inFlight = d.Demand.InFlight
	}
	held, got := make([]int, len(hosts)), make([]int, len(hosts))
	idle := 0
	for _, u := range p.upstreams {
		p.table.Whole(u.Slots, u.index, got)
		free := u.Slots
		for i := range holdings {
			held[i] = holdings[i].inFlight[u.ID]
			if i == self {
				held[i] = u.own
			}
			free -= held[i]
			if u.isUsable() {
				holdings[i].whole += got[i]
				holdings[i].held += held[i]
			}
		}
		u.whole = got[self]
		share.Hold(u.Slots, u.index, held, got)
		u.share = got[self]
		p.checkShares(u, held, got)
		if u.isUsable() {
			idle += max(free, 0)
		}
	}
	p.excess = excess(holdings, self, idle)
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

// excess returns how many slots the host at position self holds beyond its
// share and should free, because other hosts are short of slots for urgent
// work by more than are idle.
func excess(holdings []holding, self, idle int) int {
	short, over := -float64(idle), 0
	for _, h := range holdings {
		short += max(min(h.urgent, float64(h.whole))-float64(h.held), 0)
		over += max(h.held-h.whole, 0)
	}
	own := max(holdings[self].held-holdings[self].whole, 0)
	if short <= 0 || own == 0 {
		return 0
	}
	return int(math.Ceil(min(short/float64(over), 1) * float64(own)))
}

// ownNeed returns this host's need as its peers know it: growth counts after
// settleTime, a decrease at once.
func (p *Planner) ownNeed(now time.Time) share.Need {
	current := need(p.host, p.own)
	if now.Sub(p.rotated) >= settleTime {
		p.settled, p.pending, p.rotated = p.pending, current, now
	}
	for tier := range current.Slots {
		current.Slots[tier] = min(current.Slots[tier], max(p.settled.Slots[tier], 0))
	}
	return current
}

// need converts a host's demand to slots by tier: one for each request. A
// host that reports only tokens is taken to need one slot for defaultWork.
func need(h quetzalhook.HostID, d quetzalhook.Demand) share.Need {
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
		n.Slots[tier] = (d.Waiting[tier] + d.Running[tier]) / defaultWork
	}
	return n
}
