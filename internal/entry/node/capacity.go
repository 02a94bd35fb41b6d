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

// capacityPlanner plans capacity from the demand of all hosts. The controller
// calls it from one goroutine.
type capacityPlanner struct {
	node   *Node
	state  capacity.State
	wanted []controller.Need
}

// Plan implements controller.Planner. It returns all wanted totals, so that
// an order that failed is due again.
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
			WithField("reason", o.Reason).Info("capacity wanted")
		p.want(doc, o)
	}
	return p.wanted
}

// want replaces the wanted total of one kind in a zone, within the bounds of
// the configuration.
func (p *capacityPlanner) want(doc *configuration.Document, o capacity.Order) {
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

// engineInput returns the mean size and prices of the configured engines.
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

// slotDemand returns the slots in use and asked for by all hosts, by tier.
func (n *Node) slotDemand() [quetzalhook.TierCount]float64 {
	return sumDemand(n.broker.Demand(), n.fleet.peers.Members(), n.fleet.members.Cells())
}

// oldestSummary is the age up to which the summary of a cell counts. In 180
// cells the oldest were 65 s old.
const oldestSummary = 2 * time.Minute

// sumDemand adds up the requests of this host, of the others of its cell, and
// of the other cells, whose hosts are known by their sum only.
func sumDemand(own quetzalhook.Demand, members []quetzalhook.Member, cells []member.CellSummary) [quetzalhook.TierCount]float64 {
	var sum [quetzalhook.TierCount]float64
	add := func(requests [quetzalhook.TierCount]int) {
		for tier, r := range requests {
			sum[tier] += float64(r)
		}
	}
	add(own.Requests)
	for _, m := range members {
		if !m.Distant && m.Silent < aliveLimit {
			add(m.Demand.Requests)
		}
	}
	for _, c := range cells {
		if c.Age < oldestSummary {
			add(c.Requests)
		}
	}
	return sum
}
