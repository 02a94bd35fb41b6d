// Package capacity decides how many upstreams to order in each availability
// zone, and of which price.
//
// Regular capacity is sized so that urgent work survives the loss of the
// cheap upstreams of the worst zone; the rest is bought as cheaply as the
// zones allow. Orders follow demand up at once and down slowly. Plan is pure:
// its state is a value that the caller keeps.
package capacity

import (
	"fmt"
	"math"
	"sort"
	"time"

	"quetzalhook"
)

// Zone is the present capacity of one availability zone.
type Zone struct {
	Zone quetzalhook.Zone
	// Regular and Cheap count the upstreams that are ready.
	Regular int
	Cheap   int
	// Reclaimed reports that cheap upstreams of the zone are leaving.
	Reclaimed bool
	// MaxRegular and MaxCheap bound what may be ordered; 0 means no bound.
	MaxRegular int
	MaxCheap   int
}

// Input is what a plan is made from.
type Input struct {
	Zones []Zone
	// Demand is the number of slots in use and asked for, by tier.
	Demand [quetzalhook.TierCount]float64
	// Slots is the number of slots of one upstream.
	Slots int
	// RegularPrice and CheapPrice are the cost of one upstream for an hour.
	RegularPrice float64
	CheapPrice   float64
}

// Order is the wanted total of one kind in a zone, with its reason.
type Order struct {
	Zone   quetzalhook.Zone
	Cheap  bool
	Count  int
	Reason string
}

const (
	// fillTarget is the part of the slots that planned demand may use. At 0.8
	// of all slots six hosts still met the urgent target in 99 of 100 cases.
	fillTarget = 0.8
	// regularShare is the part of the urgent work that runs on regular upstreams
	// in any case, for a reclaim in more than one zone.
	regularShare = 0.5
	// shrinkMargin is how far demand must be below what a smaller plan allows,
	// as a part of it, before upstreams are given back.
	shrinkMargin = 0.1
	// urgentMemory is the time in which the remembered urgent peak halves:
	// bursts last seconds, an ordered upstream takes minutes to start.
	urgentMemory = 10 * time.Minute
	// smoothing is the time constant of the demand of other tiers.
	smoothing = time.Minute
	// growInterval and shrinkInterval are the least times between two changes
	// of the same zone and kind.
	growInterval   = 15 * time.Second
	shrinkInterval = 5 * time.Minute
	// reclaimMemory is how long a zone is not asked for cheap upstreams after a
	// reclaim.
	reclaimMemory = 10 * time.Minute
)

// key names one kind of upstream in one zone.
type key struct {
	zone  quetzalhook.Zone
	cheap bool
}

// State is what Plan remembers between calls. The zero value is ready.
type State struct {
	since     time.Time // of the first observation
	at        time.Time
	urgent    float64 // remembered peak in slots
	other     float64 // smoothed demand of the other tiers in slots
	changed   map[key]time.Time
	wanted    map[key]int
	reclaimed map[quetzalhook.Zone]time.Time
}

// target is a wanted fleet.
type target struct {
	regular, cheap int
}

// Plan returns the orders that change the wanted totals, and the next state.
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
		at: now, changed: make(map[key]time.Time), wanted: make(map[key]int),
		reclaimed: make(map[quetzalhook.Zone]time.Time),
	}
	next.since = s.since
	if s.since.IsZero() {
		next.since = now
	}
	elapsed := time.Duration(0)
	if !s.at.IsZero() {
		elapsed = max(now.Sub(s.at), 0)
	}
	other := 0.0
	for tier := 1; tier < quetzalhook.TierCount; tier++ {
		other += in.Demand[tier]
	}
	gain := 1.0
	if !s.at.IsZero() {
		gain = 1 - math.Exp(-elapsed.Seconds()/smoothing.Seconds())
	}
	next.other = s.other + gain*(other-s.other)
	next.urgent = max(s.urgent*math.Exp2(-elapsed.Seconds()/urgentMemory.Seconds()), in.Demand[quetzalhook.TierUrgent])
	for _, z := range in.Zones {
		next.copyZone(now, s, z)
	}
	return next
}

func (s *State) copyZone(now time.Time, old State, z Zone) {
	for _, cheap := range []bool{false, true} {
		k := key{z.Zone, cheap}
		s.wanted[k] = z.present(cheap)
		if n, ok := old.wanted[k]; ok {
			s.wanted[k] = n
		}
		if t, ok := old.changed[k]; ok {
			s.changed[k] = t
		}
	}
	if t, ok := old.reclaimed[z.Zone]; ok && now.Sub(t) < reclaimMemory {
		s.reclaimed[z.Zone] = t
	}
	if z.Reclaimed {
		s.reclaimed[z.Zone] = now
	}
}

func (z Zone) present(cheap bool) int {
	if cheap {
		return z.Cheap
	}
	return z.Regular
}

// room returns how many upstreams of a kind a zone may have.
func (s State) room(z Zone, cheap bool) int {
	limit := z.MaxRegular
	if cheap {
		limit = z.MaxCheap
		if _, ok := s.reclaimed[z.Zone]; ok {
			return 0
		}
	}
	if limit == 0 {
		return math.MaxInt32
	}
	return limit
}

// wantedFleet returns the fleet with the fewest regular upstreams for the
// remembered demand times factor.
func (s State) wantedFleet(in Input, factor float64) target {
	perUpstream := float64(in.Slots) * fillTarget
	all := int(math.Ceil(factor * (s.urgent + s.other) / perUpstream))
	urgent := int(math.Ceil(factor * s.urgent / perUpstream))
	least := int(math.Ceil(float64(urgent) * regularShare))
	if in.CheapPrice >= in.RegularPrice {
		least = all
	}
	regular := least + sort.Search(max(all-least, 0), func(n int) bool {
		return s.survives(in, least+n, all-least-n, urgent)
	})
	// What the zones' bounds take away from one kind is asked of the other.
	regular = s.total(in, false, regular)
	cheap := s.total(in, true, max(all-regular, 0))
	return target{regular: s.total(in, false, max(all-cheap, regular)), cheap: cheap}
}

// survives reports whether urgent work fits after the loss of all cheap
// upstreams of the zone with the most of them, and whether the zones have
// room for so many cheap ones.
func (s State) survives(in Input, regular, cheap, urgent int) bool {
	most, sum := 0, 0
	for _, n := range s.spread(in, true, cheap) {
		most = max(most, n)
		sum += n
	}
	return sum == cheap && regular+cheap-most >= urgent
}

func (s State) total(in Input, cheap bool, n int) int {
	sum := 0
	for _, have := range s.spread(in, cheap, n) {
		sum += have
	}
	return sum
}

// spread divides n upstreams of a kind evenly over the zones, within their
// bounds; the first zones get the remainder.
func (s State) spread(in Input, cheap bool, n int) []int {
	counts := make([]int, len(in.Zones))
	for n > 0 {
		open := 0
		for i, z := range in.Zones {
			if counts[i] < s.room(z, cheap) {
				open++
			}
		}
		if open == 0 {
			break
		}
		each := max(n/open, 1)
		for i, z := range in.Zones {
			add := min(each, s.room(z, cheap)-counts[i], n)
			counts[i] += add
			n -= add
		}
	}
	return counts
}

// adjust returns the orders for one kind and records them. A zone grows to
// grow; it shrinks only to keep, the fleet for a larger demand, and only when
// no other zone waits for upstreams that replace it.
func (s State) adjust(now time.Time, in Input, cheap bool, grow, keep target) []Order {
	var orders []Order
	up := s.spread(in, cheap, grow.count(cheap))
	down := s.spread(in, cheap, keep.count(cheap))
	growing := s.growing(in, cheap, up)
	for i, z := range in.Zones {
		k := key{z.Zone, cheap}
		have, count, wait := s.wanted[k], up[i], growInterval
		gone := cheap && s.room(z, true) == 0 && have > 0
		if count < have && !gone {
			count, wait = min(max(down[i], count), have), shrinkInterval
			// A new holder of the role has not seen the bursts of the past.
			if growing || now.Sub(s.since) < shrinkInterval {
				continue
			}
		}
		if last, ok := s.changed[k]; count == have || ok && !gone && now.Sub(last) < wait {
			continue
		}
		s.wanted[k], s.changed[k] = count, now
		orders = append(orders, Order{Zone: z.Zone, Cheap: cheap, Count: count, Reason: s.reason(in, k, have, count, gone)})
	}
	return orders
}

// growing reports whether a zone wants more upstreams of a kind than it has.
func (s State) growing(in Input, cheap bool, up []int) bool {
	for i, z := range in.Zones {
		if max(up[i], s.wanted[key{z.Zone, cheap}]) > z.present(cheap) && s.room(z, cheap) > 0 {
			return true
		}
	}
	return false
}

func (t target) count(cheap bool) int {
	if cheap {
		return t.cheap
	}
	return t.regular
}

// reason explains an order in one line.
func (s State) reason(in Input, k key, have, count int, gone bool) string {
	kind, price := "regular", in.RegularPrice
	if k.cheap {
		kind, price = "cheap", in.CheapPrice
	}
	why := "demand"
	switch {
	case gone:
		why = "reclaimed, ordered in other zones instead"
	case count > have && !k.cheap:
		why = "urgent work must survive the loss of the worst zone's cheap upstreams"
	case count > have:
		why = "least costly for other work"
	case count < have:
		why = "demand stayed below the smaller fleet"
	}
	return fmt.Sprintf("%s %s %d -> %d (%+.2f an hour): %s; urgent peak %.1f slots, other %.1f, %d slots each",
		k.zone, kind, have, count, float64(count-have)*price, why, s.urgent, s.other, in.Slots)
}
