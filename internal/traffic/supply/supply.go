// Package supply decides how many engines of a service to order in each
// availability zone, and of which kind.
//
// The load may multiply within a second, while an ordered engine takes seconds to
// start. The cheap engines of a zone may all be reclaimed together at a few
// seconds' notice. The ordered engines must therefore carry the peak load after
// the loss of the cheap engines of any one zone, at the lowest price. The package
// does no I/O and reads no clock; its state is in Planner.
package supply

import (
	"cmp"
	"math"
	"slices"
	"time"

	"quetzalhook"
)

const (
	// burstFactor is the factor by which the load may grow before ordered engines
	// have started.
	burstFactor = 2.4
	// targetUtilization is the share of an engine's time that the planned load
	// may use.
	targetUtilization = 0.7
	// peakHalfLife is the time in which the remembered peak load halves.
	peakHalfLife = 60 * time.Second
	// minEngines is the least number of engines of a service at any load.
	minEngines = 6
	// learningPeriod is how long a new planner also plans for the load that the
	// listed engines are meant for, until all engines are listed and load arrives.
	learningPeriod = 8 * time.Second
	// registrationPeriod is how long a new planner does not order regular engines:
	// an order states a total, and would give back engines that have not
	// registered yet. When a whole deployment starts, they register within 2.7 s
	// of the first plan.
	registrationPeriod = 3 * time.Second
	// settlingPeriod is how long a new planner gives back no engines, so that all
	// are registered and the cheap ones that replace them have started.
	settlingPeriod = 5 * time.Second
	// cheapRetryDelay is how long no more cheap engines are ordered in a zone
	// after it reclaimed some or had none available.
	cheapRetryDelay = 12 * time.Second
	// startMargin is added to the start time of an engine to get the time after
	// which an engine that has not started is ordered again.
	startMargin = 2 * time.Second
	// cheapShrinkDelay is how long fewer cheap engines must be wanted before some
	// are given back.
	cheapShrinkDelay = 8 * time.Second
)

// Zone is the current supply of one availability zone.
type Zone struct {
	Zone   quetzalhook.Zone
	Region quetzalhook.Region
	Price  float64 // of a regular engine
	// Regular and Cheap count the engines that are ready.
	Regular int
	Cheap   int
	// Leaving counts the cheap engines that are being reclaimed.
	Leaving int
	// Evacuated reports that the operator has evacuated the zone. It counts as having no
	// engines, and nothing is ordered or given back there.
	Evacuated bool
}

// Input is the input of a plan.
type Input struct {
	Zones []Zone
	// Min and Max bound the total of cheap and regular engines in a zone.
	Min, Max int
	// CheapPrice is the price of a cheap engine as a fraction of the regular
	// price; 0 means that there are no cheap engines.
	CheapPrice float64
	StartTime  time.Duration
	// Busy is the number of engines that the current load keeps busy.
	Busy float64
	// Regional is the part of Busy of the work that may run in some regions only.
	Regional []quetzalhook.RegionDemand
}

// Order is an order for the total of one kind of engine in a zone.
type Order struct {
	Zone  quetzalhook.Zone
	Cheap bool
	Count int
	// Have is the number of ready engines of the kind.
	Have   int
	Reason string
}

// zoneKind identifies a kind of engine in a zone.
type zoneKind struct {
	zone  quetzalhook.Zone
	cheap bool
}

// lastOrder is the last order for a kind of engine in a zone.
type lastOrder struct {
	count         int
	at            time.Time
	decreaseSince time.Time // when fewer were first wanted; zero if not
}

// Planner plans the engines of one service. It is not safe for concurrent use.
type Planner struct {
	peak         float64
	peakAt       time.Time
	regional     map[string]*regionPeak // by set of regions
	firstPlan    time.Time              // time of the first plan
	orders       map[zoneKind]lastOrder
	noCheapUntil map[quetzalhook.Zone]time.Time // when more cheap engines may be ordered again
}

// New returns a planner without orders.
func New() *Planner {
	return &Planner{orders: make(map[zoneKind]lastOrder), regional: make(map[string]*regionPeak), noCheapUntil: make(map[quetzalhook.Zone]time.Time)}
}

// Refused records that the platform has no engines for an order.
func (p *Planner) Refused(now time.Time, o Order) {
	delete(p.orders, zoneKind{o.Zone, o.Cheap})
	if o.Cheap {
		p.noCheapUntil[o.Zone] = now.Add(cheapRetryDelay)
	}
}

// Failed records that an order may not have reached the platform.
func (p *Planner) Failed(o Order) { delete(p.orders, zoneKind{o.Zone, o.Cheap}) }

// Plan returns the orders to send now.
func (p *Planner) Plan(now time.Time, in Input) []Order {
	if len(in.Zones) == 0 || in.Max <= 0 {
		return nil
	}
	in.Zones = p.withoutEvacuated(in.Zones)
	p.observe(now, in)
	if len(in.Zones) == 0 {
		return nil
	}
	cheap, regular := p.wanted(now, in)
	var orders []Order
	for i, z := range in.Zones {
		orders = append(orders, p.adjust(now, in, z, true, cheap[i])...)
		orders = append(orders, p.adjust(now, in, z, false, regular[i])...)
	}
	return orders
}

// withoutEvacuated returns the zones that are not evacuated. What is wanted in the others
// begins anew when they return, so that no engines are given back at that moment.
func (p *Planner) withoutEvacuated(zones []Zone) []Zone {
	kept := make([]Zone, 0, len(zones))
	for _, z := range zones {
		if !z.Evacuated {
			kept = append(kept, z)
			continue
		}
		for _, cheap := range []bool{false, true} {
			if last, ok := p.orders[zoneKind{z.Zone, cheap}]; ok {
				last.decreaseSince = time.Time{}
				p.orders[zoneKind{z.Zone, cheap}] = last
			}
		}
	}
	return kept
}

// observe updates the remembered peak load and the zones that reclaim engines.
func (p *Planner) observe(now time.Time, in Input) {
	if p.peakAt.IsZero() {
		p.firstPlan = now
	}
	if now.Sub(p.firstPlan) < learningPeriod {
		p.peak = max(p.peak, initialLoad(in))
	} else {
		p.peak *= math.Exp2(-float64(now.Sub(p.peakAt)) / float64(peakHalfLife))
	}
	p.observeRegions(now.Sub(p.peakAt), in)
	p.peak, p.peakAt = max(p.peak, in.Busy), now
	for _, z := range in.Zones {
		if z.Leaving > 0 {
			p.noCheapUntil[z.Zone] = now.Add(cheapRetryDelay)
		}
	}
}

// initialLoad returns the load that the current engines are sized for. A new
// planner has seen no load, but the operator or the previous planner has.
func initialLoad(in Input) float64 {
	regular, cheap, most := 0, 0, 0
	for _, z := range in.Zones {
		regular += z.Regular
		cheap += z.Cheap
		most = max(most, z.Cheap)
	}
	return float64(max(regular, cheap-most)) * targetUtilization / burstFactor
}

// wanted returns the wanted totals of cheap and regular engines by zone.
func (p *Planner) wanted(now time.Time, in Input) (cheap, regular []int) {
	needed := max(int(math.Ceil(p.peak*burstFactor/targetUtilization)), minEngines)
	cheap, regular = make([]int, len(in.Zones)), make([]int, len(in.Zones))
	if in.CheapPrice > 0 && in.CheapPrice < 1 {
		// After the loss of the zone with the most cheap engines, needed must remain.
		for total := needed; ; total++ {
			cheap = p.distributeCheap(now, in, total)
			if sum(cheap)-slices.Max(cheap) >= needed || sum(cheap) < total {
				break
			}
		}
	}
	needs := p.needs(in)
	if in.CheapPrice > 0 && in.CheapPrice < 1 {
		p.addCheap(now, in, needs, cheap)
	}
	missing := needed - p.readyCheap(in, cheap)
	for _, i := range byPrice(in.Zones) {
		room := in.Max - cheap[i]
		regular[i] = min(max(missing, 0), room)
		missing -= regular[i]
		if least := in.Min - cheap[i] - regular[i]; least > 0 {
			regular[i] += least
		}
	}
	p.addRegular(in, needs, needed, cheap, regular)
	return cheap, regular
}

// readyCheap returns how many of the wanted cheap engines are ready. Regular ones
// are kept until the cheap ones have started.
func (p *Planner) readyCheap(in Input, cheap []int) int {
	n := 0
	for i, z := range in.Zones {
		n += min(z.Cheap, cheap[i])
	}
	return n
}

// distributeCheap divides a number of cheap engines evenly over the zones, within
// their limits; the cheapest zones get the remainder.
func (p *Planner) distributeCheap(now time.Time, in Input, total int) []int {
	counts := make([]int, len(in.Zones))
	order := byPrice(in.Zones)
	for total > 0 {
		before := total
		for _, i := range order {
			if total == 0 {
				break
			}
			if counts[i] >= p.maxCheap(now, in, in.Zones[i]) {
				continue
			}
			counts[i]++
			total--
		}
		if total == before {
			break
		}
	}
	return counts
}

// maxCheap returns how many cheap engines a zone can have. A zone without further
// cheap engines keeps those that are ready.
func (p *Planner) maxCheap(now time.Time, in Input, z Zone) int {
	if now.Before(p.noCheapUntil[z.Zone]) {
		return min(z.Cheap, in.Max)
	}
	return in.Max
}

// byPrice returns the indexes of the zones, the cheapest first.
func byPrice(zones []Zone) []int {
	order := make([]int, len(zones))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(zones[a].Price, zones[b].Price) })
	return order
}

func sum(counts []int) int {
	n := 0
	for _, c := range counts {
		n += c
	}
	return n
}

// adjust returns the order that changes the number of engines of a kind in a zone
// to count, or none if no order is due.
func (p *Planner) adjust(now time.Time, in Input, z Zone, cheap bool, count int) []Order {
	k := zoneKind{z.Zone, cheap}
	have := z.Regular
	if cheap {
		have = z.Cheap
	}
	last, known := p.orders[k]
	if !known {
		last = lastOrder{count: have}
	}
	reason := "load"
	switch {
	case cheap && z.Leaving > 0:
		return nil // leaving engines still count towards the last order
	case !cheap && now.Sub(p.firstPlan) < registrationPeriod:
		return nil
	case count == last.count:
		if !known || have >= count || now.Sub(last.at) < in.StartTime+startMargin {
			last.decreaseSince = time.Time{}
			if known {
				p.orders[k] = last
			}
			return nil
		}
		reason = "did not start"
	case count < last.count:
		if now.Sub(p.firstPlan) < settlingPeriod {
			return nil
		}
		if last.decreaseSince.IsZero() {
			last.decreaseSince = now
		}
		p.orders[k] = last
		if now.Sub(last.decreaseSince) < p.shrinkDelay(cheap) {
			return nil
		}
		reason = "load decreased"
	}
	p.orders[k] = lastOrder{count: count, at: now}
	return []Order{{Zone: z.Zone, Cheap: cheap, Count: count, Have: have, Reason: reason}}
}

// shrinkDelay returns how long fewer engines of a kind must be wanted before some
// are given back. It is shorter for regular engines, which cost several times as
// much as the cheap ones that have replaced them.
func (p *Planner) shrinkDelay(cheap bool) time.Duration {
	if cheap {
		return cheapShrinkDelay
	}
	return cheapShrinkDelay / 8
}
