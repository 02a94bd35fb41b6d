// Package capacity decides how many regular and cheap upstreams to order in each
// availability zone.
//
// Regular capacity is sized so that urgent work still fits after the loss of the
// cheap upstreams of any one zone; the rest is bought as cheaply as the zones'
// limits allow. Orders follow rising demand immediately and falling demand slowly.
// Plan does no I/O and reads no clock; the caller keeps its state.
package capacity

import (
	"fmt"
	"math"
	"sort"
	"time"

	"quetzalhook"
)

// Zone is the current capacity of one availability zone.
type Zone struct {
	Zone quetzalhook.Zone
	// Regular and Cheap count the upstreams that are ready.
	Regular int
	Cheap   int
	// Reclaimed reports that cheap upstreams of the zone are being reclaimed.
	Reclaimed bool
	// MaxRegular and MaxCheap bound the ordered totals; 0 means no bound.
	MaxRegular int
	MaxCheap   int
}

// Input is the input of a plan.
type Input struct {
	Zones []Zone
	// Demand is the number of slots in use and requested, by tier.
	Demand [quetzalhook.TierCount]float64
	// Slots is the number of slots of one upstream.
	Slots int
	// RegularPrice and CheapPrice are the prices of one upstream per hour.
	RegularPrice float64
	CheapPrice   float64
}

// Order is an order for the total of one kind of upstream in a zone, with its
// reason.
type Order struct {
	Zone   quetzalhook.Zone
	Cheap  bool
	Count  int
	Reason string
}

const (
	// targetUtilization is the share of the slots that planned demand may use. At
	// 0.8, six hosts still met the urgent target in 99 of 100 cases.
	targetUtilization = 0.8
	// minRegularShare is the least share of the urgent work that regular upstreams
	// can carry, in case several zones reclaim cheap upstreams.
	minRegularShare = 0.5
	// shrinkMargin is the margin by which planned demand is raised when deciding
	// whether to give back upstreams.
	shrinkMargin = 0.1
	// urgentPeakHalfLife is the time in which the remembered urgent peak halves. A
	// burst lasts seconds, but an ordered upstream takes minutes to start.
	urgentPeakHalfLife = 10 * time.Minute
	// smoothingTimeConstant applies to the smoothed demand of the other tiers.
	smoothingTimeConstant = time.Minute
	// growInterval and shrinkInterval are the least times from the last order for
	// a kind in a zone to an order that raises or lowers its total.
	growInterval   = 15 * time.Second
	shrinkInterval = 5 * time.Minute
	// reclaimBackoff is how long no cheap upstreams are ordered in a zone after a
	// reclaim.
	reclaimBackoff = 10 * time.Minute
)

// zoneKind identifies a kind of upstream in a zone.
type zoneKind struct {
	zone  quetzalhook.Zone
	cheap bool
}

// State is the state of Plan between calls. The zero value is ready to use.
type State struct {
	firstObserved time.Time // time of the first plan
	observedAt    time.Time
	urgent        float64 // decaying peak of the urgent demand in slots
	other         float64 // smoothed demand of the other tiers in slots
	changedAt     map[zoneKind]time.Time
	wanted        map[zoneKind]int
	reclaimedAt   map[quetzalhook.Zone]time.Time
}

// fleet is a number of upstreams of each kind.
type fleet struct {
	regular, cheap int
}

// Plan returns the orders for the totals that have to change, and the next state.
func Plan(now time.Time, s State, in Input) ([]Order, State) {
	next := s.observe(now, in)
	if len(in.Zones) == 0 || in.Slots <= 0 {
		return nil, next
	}
	grow := next.wantedFleet(in, 1)
	keep := next.wantedFleet(in, 1+shrinkMargin)
	var orders []Order
	for _, cheap := range []bool{false, true} {
		orders = append(orders, next.adjust(now, in, cheap, grow, keep)...)
	}
	return orders, next
}

// observe updates the remembered demand and returns a copy of the state.
func (s State) observe(now time.Time, in Input) State {
	next := State{
		observedAt: now, changedAt: make(map[zoneKind]time.Time), wanted: make(map[zoneKind]int),
		reclaimedAt: make(map[quetzalhook.Zone]time.Time),
	}
	next.firstObserved = s.firstObserved
	if s.firstObserved.IsZero() {
		next.firstObserved = now
	}
	elapsed := time.Duration(0)
	if !s.observedAt.IsZero() {
		elapsed = max(now.Sub(s.observedAt), 0)
	}
	other := 0.0
	for tier := 1; tier < quetzalhook.TierCount; tier++ {
		other += in.Demand[tier]
	}
	gain := 1.0
	if !s.observedAt.IsZero() {
		gain = 1 - math.Exp(-elapsed.Seconds()/smoothingTimeConstant.Seconds())
	}
	next.other = s.other + gain*(other-s.other)
	next.urgent = max(s.urgent*math.Exp2(-elapsed.Seconds()/urgentPeakHalfLife.Seconds()), in.Demand[quetzalhook.TierUrgent])
	for _, z := range in.Zones {
		next.copyZone(now, s, z)
	}
	return next
}

func (s *State) copyZone(now time.Time, old State, z Zone) {
	for _, cheap := range []bool{false, true} {
		k := zoneKind{z.Zone, cheap}
		s.wanted[k] = z.ready(cheap)
		if n, ok := old.wanted[k]; ok {
			s.wanted[k] = n
		}
		if t, ok := old.changedAt[k]; ok {
			s.changedAt[k] = t
		}
	}
	if t, ok := old.reclaimedAt[z.Zone]; ok && now.Sub(t) < reclaimBackoff {
		s.reclaimedAt[z.Zone] = t
	}
	if z.Reclaimed {
		s.reclaimedAt[z.Zone] = now
	}
}

func (z Zone) ready(cheap bool) int {
	if cheap {
		return z.Cheap
	}
	return z.Regular
}

// maxUpstreams returns how many upstreams of a kind a zone may have: no cheap ones
// within reclaimBackoff of a reclaim.
func (s State) maxUpstreams(z Zone, cheap bool) int {
	limit := z.MaxRegular
	if cheap {
		limit = z.MaxCheap
		if _, ok := s.reclaimedAt[z.Zone]; ok {
			return 0
		}
	}
	if limit == 0 {
		return math.MaxInt32
	}
	return limit
}

// wantedFleet returns the fleet with the fewest regular upstreams that can carry
// the remembered demand times factor.
func (s State) wantedFleet(in Input, factor float64) fleet {
	perUpstream := float64(in.Slots) * targetUtilization
	all := int(math.Ceil(factor * (s.urgent + s.other) / perUpstream))
	urgent := int(math.Ceil(factor * s.urgent / perUpstream))
	least := int(math.Ceil(float64(urgent) * minRegularShare))
	if in.CheapPrice >= in.RegularPrice {
		least = all
	}
	regular := least + sort.Search(max(all-least, 0), func(n int) bool {
		return s.survivesReclaim(in, least+n, all-least-n, urgent)
	})
	// Upstreams of one kind that exceed the zones' limits are replaced by the other.
	regular = s.placeable(in, false, regular)
	cheap := s.placeable(in, true, max(all-regular, 0))
	return fleet{regular: s.placeable(in, false, max(all-cheap, regular)), cheap: cheap}
}

// survivesReclaim reports whether the zones' limits allow the given number of
// cheap upstreams, and urgent work fits after the loss of all cheap upstreams in
// the zone with the most of them.
func (s State) survivesReclaim(in Input, regular, cheap, urgent int) bool {
	most, sum := 0, 0
	for _, n := range s.distribute(in, true, cheap) {
		most = max(most, n)
		sum += n
	}
	return sum == cheap && regular+cheap-most >= urgent
}

// placeable returns how many of n upstreams of a kind the zones' limits allow.
func (s State) placeable(in Input, cheap bool, n int) int {
	sum := 0
	for _, have := range s.distribute(in, cheap, n) {
		sum += have
	}
	return sum
}

// distribute divides n upstreams of a kind evenly over the zones, within their
// limits; the first zones get the remainder.
func (s State) distribute(in Input, cheap bool, n int) []int {
	counts := make([]int, len(in.Zones))
	for n > 0 {
		open := 0
		for i, z := range in.Zones {
			if counts[i] < s.maxUpstreams(z, cheap) {
				open++
			}
		}
		if open == 0 {
			break
		}
		each := max(n/open, 1)
		for i, z := range in.Zones {
			add := min(each, s.maxUpstreams(z, cheap)-counts[i], n)
			counts[i] += add
			n -= add
		}
	}
	return counts
}

// adjust returns the orders for one kind and records them. A zone's total rises to
// its part of grow. It falls only to its part of keep, the fleet for a larger
// demand, and only while no zone waits for ordered upstreams of the kind.
func (s State) adjust(now time.Time, in Input, cheap bool, grow, keep fleet) []Order {
	var orders []Order
	up := s.distribute(in, cheap, grow.count(cheap))
	down := s.distribute(in, cheap, keep.count(cheap))
	growing := s.growing(in, cheap, up)
	for i, z := range in.Zones {
		k := zoneKind{z.Zone, cheap}
		have, count, wait := s.wanted[k], up[i], growInterval
		reclaimed := cheap && s.maxUpstreams(z, true) == 0 && have > 0
		if count < have && !reclaimed {
			count, wait = min(max(down[i], count), have), shrinkInterval
			// A host that has just taken over the planning does not know of earlier
			// bursts.
			if growing || now.Sub(s.firstObserved) < shrinkInterval {
				continue
			}
		}
		if last, ok := s.changedAt[k]; count == have || ok && !reclaimed && now.Sub(last) < wait {
			continue
		}
		s.wanted[k], s.changedAt[k] = count, now
		orders = append(orders, Order{Zone: z.Zone, Cheap: cheap, Count: count, Reason: s.reason(in, k, have, count, reclaimed)})
	}
	return orders
}

// growing reports whether a zone needs more upstreams of a kind than are ready.
func (s State) growing(in Input, cheap bool, up []int) bool {
	for i, z := range in.Zones {
		if max(up[i], s.wanted[zoneKind{z.Zone, cheap}]) > z.ready(cheap) && s.maxUpstreams(z, cheap) > 0 {
			return true
		}
	}
	return false
}

func (f fleet) count(cheap bool) int {
	if cheap {
		return f.cheap
	}
	return f.regular
}

// reason returns a one-line explanation of an order.
func (s State) reason(in Input, k zoneKind, have, count int, reclaimed bool) string {
	kind, price := "regular", in.RegularPrice
	if k.cheap {
		kind, price = "cheap", in.CheapPrice
	}
	why := "demand"
	switch {
	case reclaimed:
		why = "reclaimed, ordered in other zones instead"
	case count > have && !k.cheap:
		why = "urgent work must fit after the loss of any one zone's cheap upstreams"
	case count > have:
		why = "cheapest capacity for other work"
	case count < have:
		why = "demand stayed below the capacity of the smaller fleet"
	}
	return fmt.Sprintf("%s %s %d -> %d (%+.2f an hour): %s; urgent peak %.1f slots, other %.1f, %d slots each",
		k.zone, kind, have, count, float64(count-have)*price, why, s.urgent, s.other, in.Slots)
}
