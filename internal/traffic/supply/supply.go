// Package supply decides how many engines of a service to order in each
// availability zone, and of which kind.
//
// It answers a load that multiplies within a second, while an ordered engine
// takes seconds to start, and cheap engines that are reclaimed all together in
// one zone at a few seconds' notice. The engines must carry the peak without
// those of the worst zone; what carries it is bought where it costs least. The
// package is pure: the caller keeps its state.
package supply

import (
	"cmp"
	"math"
	"slices"
	"time"

	"quetzalhook"
)

const (
	// burst is how much the load may grow before ordered engines have started.
	burst = 2.4
	// fill is the part of an engine's time that planned load may use.
	fill = 0.7
	// peakMemory is the time in which a remembered peak halves.
	peakMemory = 60 * time.Second
	// leastEngines is the number of engines that a service keeps at any load.
	leastEngines = 6
	// learning is how long a new planner waits for all engines to be listed and
	// for load.
	learning = 8 * time.Second
	// listing is how long a new planner does not order regular engines: an order
	// states a total, and would give back those that have not registered yet. At
	// a start of a whole deployment they registered within 2.7 s of the first
	// plan.
	listing = 3 * time.Second
	// settling is how long a new planner gives no engines back, so that it knows
	// all of them and the cheap ones that replace them have started.
	settling = 5 * time.Second
	// dryTime is how long a zone is not asked for cheap engines after it
	// reclaimed some or had none.
	dryTime = 12 * time.Second
	// startMargin is added to the time in which an ordered engine must have
	// started before it is ordered again.
	startMargin = 2 * time.Second
	// shrinkAfter is how long less must have been wanted before engines are given
	// back.
	shrinkAfter = 8 * time.Second
)

// Zone is the present supply of one availability zone.
type Zone struct {
	Zone  quetzalhook.Zone
	Price float64 // of a regular engine
	// Regular and Cheap count the engines that are ready.
	Regular int
	Cheap   int
	// Leaving counts the cheap engines that are being reclaimed.
	Leaving int
}

// Input is what a plan is made from.
type Input struct {
	Zones []Zone
	// Min and Max bound the engines of both kinds in a zone.
	Min, Max int
	// CheapPrice is the price of a cheap engine as a part of the regular price;
	// 0 means that there are none.
	CheapPrice float64
	StartTime  time.Duration
	// Busy is the number of engines that the load keeps busy at present.
	Busy float64
}

// Order is the wanted total of one kind of engines in a zone.
type Order struct {
	Zone  quetzalhook.Zone
	Cheap bool
	Count int
	// Have is the number that is ready.
	Have   int
	Reason string
}

// kind names one kind of engine in one zone.
type kind struct {
	zone  quetzalhook.Zone
	cheap bool
}

// ordered is the last order of a kind.
type ordered struct {
	count int
	at    time.Time
	less  time.Time // since when less is wanted, or zero
}

// Planner plans for one service. It is not safe for concurrent use.
type Planner struct {
	peak   float64
	peakAt time.Time
	since  time.Time // of the first plan
	orders map[kind]ordered
	dry    map[quetzalhook.Zone]time.Time // until when a zone has no cheap engines
}

// New returns a planner that has ordered nothing.
func New() *Planner {
	return &Planner{orders: make(map[kind]ordered), dry: make(map[quetzalhook.Zone]time.Time)}
}

// Refused notes that the platform has no engines of a kind in a zone.
func (p *Planner) Refused(now time.Time, o Order) {
	delete(p.orders, kind{o.Zone, o.Cheap})
	if o.Cheap {
		p.dry[o.Zone] = now.Add(dryTime)
	}
}

// Failed notes that an order may not have reached the platform.
func (p *Planner) Failed(o Order) { delete(p.orders, kind{o.Zone, o.Cheap}) }

// Plan returns the orders to send now.
func (p *Planner) Plan(now time.Time, in Input) []Order {
	if len(in.Zones) == 0 || in.Max <= 0 {
		return nil
	}
	p.observe(now, in)
	cheap, regular := p.wanted(now, in)
	var orders []Order
	for i, z := range in.Zones {
		orders = append(orders, p.adjust(now, in, z, true, cheap[i])...)
		orders = append(orders, p.adjust(now, in, z, false, regular[i])...)
	}
	return orders
}

// observe remembers the peak of the load and the zones that reclaim.
func (p *Planner) observe(now time.Time, in Input) {
	if p.peakAt.IsZero() {
		p.since = now
	}
	if now.Sub(p.since) < learning {
		p.peak = max(p.peak, expected(in))
	} else {
		p.peak *= math.Exp2(-float64(now.Sub(p.peakAt)) / float64(peakMemory))
	}
	p.peak, p.peakAt = max(p.peak, in.Busy), now
	for _, z := range in.Zones {
		if z.Leaving > 0 {
			p.dry[z.Zone] = now.Add(dryTime)
		}
	}
}

// expected returns the load that the present engines are meant for: a new
// planner has seen no load, but the operator or its predecessor has.
func expected(in Input) float64 {
	regular, cheap, most := 0, 0, 0
	for _, z := range in.Zones {
		regular += z.Regular
		cheap += z.Cheap
		most = max(most, z.Cheap)
	}
	return float64(max(regular, cheap-most)) * fill / burst
}

// wanted returns the wanted totals of cheap and regular engines by zone.
func (p *Planner) wanted(now time.Time, in Input) (cheap, regular []int) {
	needed := max(int(math.Ceil(p.peak*burst/fill)), leastEngines)
	cheap, regular = make([]int, len(in.Zones)), make([]int, len(in.Zones))
	if in.CheapPrice > 0 && in.CheapPrice < 1 {
		// Without the zone with the most cheap engines, needed must remain.
		for total := needed; ; total++ {
			cheap = p.spread(now, in, total)
			if sum(cheap)-slices.Max(cheap) >= needed || sum(cheap) < total {
				break
			}
		}
	}
	missing := needed - p.present(in, cheap)
	for _, i := range byPrice(in.Zones) {
		room := in.Max - cheap[i]
		regular[i] = min(max(missing, 0), room)
		missing -= regular[i]
		if least := in.Min - cheap[i] - regular[i]; least > 0 {
			regular[i] += least
		}
	}
	return cheap, regular
}

// present returns how many of the wanted cheap engines are ready: regular ones
// stay until the cheap ones have started.
func (p *Planner) present(in Input, cheap []int) int {
	n := 0
	for i, z := range in.Zones {
		n += min(z.Cheap, cheap[i])
	}
	return n
}

// spread divides a number of cheap engines over the zones that have some,
// evenly, the cheapest first.
func (p *Planner) spread(now time.Time, in Input, total int) []int {
	counts := make([]int, len(in.Zones))
	order := byPrice(in.Zones)
	for total > 0 {
		before := total
		for _, i := range order {
			if total == 0 {
				break
			}
			if counts[i] >= p.room(now, in, in.Zones[i]) {
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

// room returns how many cheap engines a zone can have: in one that has no more
// to give, those that it has.
func (p *Planner) room(now time.Time, in Input, z Zone) int {
	if now.Before(p.dry[z.Zone]) {
		return min(z.Cheap, in.Max)
	}
	return in.Max
}

// byPrice returns the zones' indexes, the cheapest first.
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

// adjust returns the order that changes one kind in a zone, if it is due.
func (p *Planner) adjust(now time.Time, in Input, z Zone, cheap bool, count int) []Order {
	k := kind{z.Zone, cheap}
	have := z.Regular
	if cheap {
		have = z.Cheap
	}
	last, known := p.orders[k]
	if !known {
		last = ordered{count: have}
	}
	reason := "load"
	switch {
	case cheap && z.Leaving > 0:
		return nil // those that leave still count towards the last order
	case !cheap && now.Sub(p.since) < listing:
		return nil
	case count == last.count:
		if !known || have >= count || now.Sub(last.at) < in.StartTime+startMargin {
			last.less = time.Time{}
			if known {
				p.orders[k] = last
			}
			return nil
		}
		reason = "did not start"
	case count < last.count:
		if now.Sub(p.since) < settling {
			return nil
		}
		if last.less.IsZero() {
			last.less = now
		}
		p.orders[k] = last
		if now.Sub(last.less) < p.shrinkDelay(cheap) {
			return nil
		}
		reason = "less load"
	}
	p.orders[k] = ordered{count: count, at: now}
	return []Order{{Zone: z.Zone, Cheap: cheap, Count: count, Have: have, Reason: reason}}
}

// shrinkDelay returns how long less must be wanted before engines of a kind are
// given back. Regular ones cost several times as much as the cheap ones that
// have replaced them.
func (p *Planner) shrinkDelay(cheap bool) time.Duration {
	if cheap {
		return shrinkAfter
	}
	return shrinkAfter / 8
}
