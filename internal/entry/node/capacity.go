package node

import (
	"slices"
	"time"

	"quetzalhook"
	"quetzalhook/internal/fleet/controller"
	"quetzalhook/internal/fleet/member"
	"quetzalhook/internal/record/configuration"
	"quetzalhook/internal/traffic/capacity"
)

// capacityPlanner plans the number of upstreams from the demand of all hosts. It is
// not safe for concurrent use; the controller calls it from one goroutine.
type capacityPlanner struct {
	node   *Node
	state  capacity.State
	wanted []controller.Need
}

// Plan implements controller.Planner. It returns the wanted totals of all zones, not
// only changed ones, so that a failed order is sent again.
func (p *capacityPlanner) Plan(now time.Time, upstreams []quetzalhook.Upstream) []controller.Need {
	doc := p.node.document()
	if doc == nil || len(doc.Capacity) == 0 {
		return nil
	}
	in := engineInput(doc)
	in.Demand = p.node.slotDemand()
	in.Zones = zoneInput(doc, upstreams)
	var orders []capacity.Order
	orders, p.state = capacity.Plan(now, p.state, in)
	for _, o := range orders {
		p.node.log.WithField("zone", o.Zone).WithField("cheap", o.Cheap).WithField("count", o.Count).
			WithField("reason", o.Reason).Info("capacity planned")
		p.setWanted(doc, o)
	}
	return p.wanted
}

// setWanted replaces the wanted total of the regular or of the cheap upstreams in a
// zone. That of the regular ones is at least the minimum in the configuration.
func (p *capacityPlanner) setWanted(doc *configuration.Document, o capacity.Order) {
	need := controller.Need{Zone: o.Zone, Cheap: o.Cheap, Count: o.Count}
	for _, b := range doc.Capacity {
		if b.Zone == string(o.Zone) && !o.Cheap {
			need.Count = max(need.Count, b.Min)
		}
	}
	i := slices.IndexFunc(p.wanted, func(n controller.Need) bool { return n.Zone == o.Zone && n.Cheap == o.Cheap })
	if i < 0 {
		p.wanted = append(p.wanted, need)
		return
	}
	p.wanted[i] = need
}

// engineInput returns a capacity.Input with the mean slots and the mean prices of the
// configured engines.
func engineInput(doc *configuration.Document) capacity.Input {
	var in capacity.Input
	slots, regular, cheap, engines := 0, 0, 0, 0
	for _, u := range doc.Upstreams {
		if u.Kind != configuration.KindEngine {
			continue
		}
		engines++
		slots += u.Slots
		if u.Cheap {
			cheap++
			in.CheapPrice += u.Price
		} else {
			regular++
			in.RegularPrice += u.Price
		}
	}
	in.Slots = max(slots/max(engines, 1), 1)
	in.RegularPrice /= float64(max(regular, 1))
	in.CheapPrice /= float64(max(cheap, 1))
	return in
}

// zoneInput returns, for each zone with a CapacityBound, its limits and the numbers of
// its upstreams.
func zoneInput(doc *configuration.Document, upstreams []quetzalhook.Upstream) []capacity.Zone {
	zones := make([]capacity.Zone, 0, len(doc.Capacity))
	for _, b := range doc.Capacity {
		z := capacity.Zone{Zone: quetzalhook.Zone(b.Zone), MaxRegular: max(b.Max-b.CheapMax, b.Min), MaxCheap: b.CheapMax}
		for _, u := range upstreams {
			if u.Zone == z.Zone {
				countUpstream(&z, u)
			}
		}
		zones = append(zones, z)
	}
	return zones
}

// countUpstream counts an upstream of the zone by its state and price. A cheap one
// that is leaving marks the zone as reclaimed.
func countUpstream(z *capacity.Zone, u quetzalhook.Upstream) {
	switch {
	case u.State == quetzalhook.UpstreamReady && u.Cheap:
		z.Cheap++
	case u.State == quetzalhook.UpstreamReady:
		z.Regular++
	case u.State == quetzalhook.UpstreamLeaving && u.Cheap:
		z.Reclaimed = true
	}
}

// slotDemand returns the number of slots that the requests of all hosts use or wait
// for, by tier. Each request needs one slot.
func (n *Node) slotDemand() [quetzalhook.TierCount]float64 {
	return sumDemand(n.broker.Demand(), n.fleet.peers.Members(), n.fleet.members.Cells())
}

// maxSummaryAge limits the age of the summaries of cells: an older summary is ignored.
// In a fleet of 180 cells, the oldest summaries were 65 s old.
const maxSummaryAge = 2 * time.Minute

// sumDemand returns the number of requests of all hosts, by tier. It adds those of this
// host, of the other hosts of its cell, and of the other cells. Of other cells only the
// total of each cell is known.
func sumDemand(own quetzalhook.Demand, members []quetzalhook.Member, cells []member.CellSummary) [quetzalhook.TierCount]float64 {
	var sum [quetzalhook.TierCount]float64
	add := func(requests [quetzalhook.TierCount]int) {
		for tier, r := range requests {
			sum[tier] += float64(r)
		}
	}
	add(own.Requests)
	for _, m := range members {
		if !m.Distant && m.Silent < maxSilence {
			add(m.Demand.Requests)
		}
	}
	for _, c := range cells {
		if c.Age < maxSummaryAge {
			add(c.Requests)
		}
	}
	return sum
}
