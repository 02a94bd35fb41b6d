package supply

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
	"time"

	"quetzalhook"
)

const (
	// minRegionEngines is the least number of engines for work that may run in some
	// regions only, so that the loss of one does not end the service there.
	minRegionEngines = 2
	// minRegionPeak is the remembered load below which no engines are kept for a set of
	// regions: a hundredth of an engine.
	minRegionPeak = 0.01
	// maxNeeds bounds the sets of zones that are compared. Six regions have 63 sets.
	maxNeeds = 64
	// maxZones bounds the zones in a zoneSet.
	maxZones = 64
)

// regionPeak is the remembered peak load of the requests with a set of regions.
type regionPeak struct {
	regions quetzalhook.Regions
	load    float64
}

// zoneSet is a set of zones, with a bit for the index of each.
type zoneSet uint64

func (s zoneSet) has(i int) bool { return i < maxZones && s&(1<<i) != 0 }

// need is the number of engines for work that may run in a set of zones only.
type need struct {
	zones   zoneSet
	engines int
}

// observeRegions updates the remembered peaks by set of regions; elapsed is the time
// since the last plan.
func (p *Planner) observeRegions(elapsed time.Duration, in Input) {
	for key, peak := range p.regional {
		peak.load *= math.Exp2(-float64(elapsed) / float64(peakHalfLife))
		if peak.load < minRegionPeak {
			delete(p.regional, key)
		}
	}
	now := make(map[string]regionPeak) // several groups of engines report each set
	for _, d := range in.Regional {
		key := d.Regions.String()
		now[key] = regionPeak{d.Regions, now[key].load + d.Busy}
	}
	for key, peak := range now {
		if old := p.regional[key]; old == nil || old.load < peak.load {
			p.regional[key] = &peak
		}
	}
}

// needs returns the engines that work with restricted regions needs, for the zones of
// each set of regions and the unions of them: two sets that share a zone may each have
// enough engines and both together not. The set of all zones is left out, because the
// plan for the whole load covers it.
func (p *Planner) needs(in Input) []need {
	loads := make(map[zoneSet]float64)
	for _, peak := range p.regional {
		var zones zoneSet
		for i, z := range in.Zones[:min(len(in.Zones), maxZones)] {
			if peak.regions.Allows(z.Region) {
				zones |= 1 << i
			}
		}
		if zones != 0 {
			loads[zones] += peak.load
		}
	}
	var sets []zoneSet
	for zones := range loads {
		sets = append(sets, zones)
	}
	slices.Sort(sets)
	for i := 0; i < len(sets); i++ {
		for j := 0; j < i && len(sets) < maxNeeds; j++ {
			if union := sets[i] | sets[j]; !slices.Contains(sets, union) {
				sets = append(sets, union)
			}
		}
	}
	var list []need
	for _, zones := range sets {
		if bits.OnesCount64(uint64(zones)) == len(in.Zones) {
			continue
		}
		load := 0.0
		for part, l := range loads {
			if part&^zones == 0 {
				load += l
			}
		}
		list = append(list, need{zones, max(int(math.Ceil(load*burstFactor/targetUtilization)), minRegionEngines)})
	}
	slices.SortFunc(list, func(a, b need) int {
		return cmp.Or(cmp.Compare(bits.OnesCount64(uint64(a.zones)), bits.OnesCount64(uint64(b.zones))), cmp.Compare(a.zones, b.zones))
	})
	return list
}

// survivors returns how many of the engines counted by zone remain in the zones of a need
// after the loss of the zone with the most of them.
func (n need) survivors(counts []int) int {
	total, most := 0, 0
	for i, c := range counts {
		if n.zones.has(i) {
			total += c
			most = max(most, c)
		}
	}
	return total - most
}

// total returns how many engines are in the zones of a need.
func (n need) total(counts []int) int {
	sum := 0
	for i, c := range counts {
		if n.zones.has(i) {
			sum += c
		}
	}
	return sum
}

// addCheap adds cheap engines until enough remain for each need after the loss of the
// cheap ones of any one zone. In a single zone none remain, so that it gets regular ones.
func (p *Planner) addCheap(now time.Time, in Input, needs []need, cheap []int) {
	for _, n := range needs {
		if bits.OnesCount64(uint64(n.zones)) < 2 {
			continue
		}
		for n.survivors(cheap) < n.engines {
			fewest := -1
			for _, i := range byPrice(in.Zones) {
				if n.zones.has(i) && cheap[i] < p.maxCheap(now, in, in.Zones[i]) && (fewest < 0 || cheap[i] < cheap[fewest]) {
					fewest = i
				}
			}
			if fewest < 0 {
				break
			}
			cheap[fewest]++
		}
	}
}

// addRegular adds regular engines until each need is met by them and by the ready cheap
// ones that would remain. In full zones they replace cheap ones if these would never do. It
// then takes away as many as were added where neither the load of all requests, needed,
// nor a need requires them, from the dearest zones first.
func (p *Planner) addRegular(in Input, needs []need, needed int, cheap, regular []int) {
	ready := func() []int {
		counts := make([]int, len(cheap))
		for i, z := range in.Zones {
			counts[i] = min(z.Cheap, cheap[i])
		}
		return counts
	}
	spare := func(n need) int { return n.total(regular) + n.survivors(ready()) - n.engines }
	order := byPrice(in.Zones)
	added := 0
	for _, n := range needs {
		for spare(n) < 0 {
			i := slices.IndexFunc(order, func(i int) bool { return n.zones.has(i) && cheap[i]+regular[i] < in.Max })
			if i < 0 {
				if n.total(regular)+n.survivors(cheap) >= n.engines {
					break // enough once the cheap ones have started
				}
				if i = slices.IndexFunc(order, func(i int) bool { return n.zones.has(i) && cheap[i] > 0 }); i < 0 {
					break
				}
				cheap[order[i]]--
			}
			regular[order[i]]++
			added++
		}
	}
	added = min(added, sum(regular)+p.readyCheap(in, cheap)-needed)
	for _, i := range slices.Backward(order) {
		for added > 0 && regular[i] > 0 && cheap[i]+regular[i] > in.Min &&
			!slices.ContainsFunc(needs, func(n need) bool { return n.zones.has(i) && spare(n) <= 0 }) {
			regular[i]--
			added--
		}
	}
}
