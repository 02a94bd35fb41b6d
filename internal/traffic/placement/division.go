package placement

import (
	"slices"
	"time"

	"quetzalhook"
	"quetzalhook/internal/traffic/share"
)

const (
	// gossipDelay is the longest time until peers know this host's demand: one
	// gossip period and the network delay. Growth of this host's own demand
	// counts only after this time, so that the host does not take slots that
	// peers still use.
	gossipDelay = 200 * time.Millisecond
	// workSmoothing is the weight of a new sample in the smoothed work of a
	// request.
	workSmoothing = 0.1
)

// defaultWork is the assumed work of a request in tokens, by tier, until this
// host has had a request of the tier: short questions in the first two tiers,
// long requests in the others. The prompt is included.
var defaultWork = [quetzalhook.TierCount]float64{500, 500, 4000, 4000}

// computeShares computes this host's slots on every upstream from the demand of
// all hosts.
func (p *Planner) computeShares(now time.Time) {
	own := p.ownNeed(now)
	if len(p.peers) == 0 {
		p.table = share.Equal(p.host, p.hostCount)
	} else {
		needs := append(make([]share.Need, 0, len(p.peers)+1), own)
		for _, d := range p.peers {
			needs = append(needs, p.need(d.Host, d.Demand))
		}
		p.table = share.Divide(p.capacity(), needs)
	}
	p.assignSlots()
}

// capacity returns the number of slots that are divided between hosts: those of
// the engines. Services answer at once, so their slots count only if there is no
// engine.
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

// assignSlots turns the hosts' fractions in the share table into whole slots on
// each upstream and keeps those of this host.
func (p *Planner) assignSlots() {
	hosts := p.table.Hosts()
	self, _ := slices.BinarySearch(hosts, p.host)
	inFlight := make([]map[quetzalhook.UpstreamID]int, len(hosts))
	for _, d := range p.peers {
		if i, ok := slices.BinarySearch(hosts, d.Host); ok {
			inFlight[i] = d.Demand.InFlight
		}
	}
	held, assigned := make([]int, len(hosts)), make([]int, len(hosts))
	for _, u := range p.upstreams {
		for i := range hosts {
			held[i] = inFlight[i][u.ID]
		}
		held[self] = u.ownInFlight
		p.table.WholeSlots(u.Slots, u.index, assigned)
		share.KeepHeld(u.Slots, u.index, held, assigned)
		u.share = assigned[self]
		p.checkShares(u, held, assigned)
	}
}

// checkShares checks RuleSlotShare for u. The slices held and assigned contain
// the requests in flight and the slots of each host.
func (p *Planner) checkShares(u *upstream, held, assigned []int) {
	if p.rules == nil {
		return
	}
	assignedSum, heldSum := 0, 0
	for i := range assigned {
		assignedSum += assigned[i]
		heldSum += held[i]
	}
	p.rules.Check(RuleSlotShare, assignedSum <= max(u.Slots, heldSum), "upstream", u.ID, "sum", assignedSum, "held", heldSum)
}

// ownNeed returns this host's need as its peers know it: an increase counts
// after gossipDelay, a decrease at once.
func (p *Planner) ownNeed(now time.Time) share.Need {
	current := p.need(p.host, p.ownDemand)
	if now.Sub(p.needUpdatedAt) >= gossipDelay {
		p.announcedNeed, p.nextNeed, p.needUpdatedAt = p.nextNeed, current, now
	}
	for tier := range current.Slots {
		current.Slots[tier] = min(current.Slots[tier], max(p.announcedNeed.Slots[tier], 0))
	}
	return current
}

// need converts a host's demand to slots by tier, one for each request. If a
// host reports only tokens, its requests are assumed to have the same mean work
// as those of this host.
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
		n.Slots[tier] = (d.Waiting[tier] + d.Running[tier]) / p.meanWork[tier]
	}
	return n
}

// updateMeanWork smooths the mean work of this host's requests in each tier.
func (p *Planner) updateMeanWork(d quetzalhook.Demand) {
	for tier, n := range d.Requests {
		if n > 0 {
			p.meanWork[tier] += workSmoothing * ((d.Waiting[tier]+d.Running[tier])/float64(n) - p.meanWork[tier])
		}
	}
}
