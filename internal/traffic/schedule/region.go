package schedule

import (
	"math"
	"slices"
	"strings"
	"time"

	"quetzalhook"
)

// regionalDemand is the smoothed work of the requests that may run in some regions only,
// by their set of regions.
type regionalDemand map[string]*setDemand

type setDemand struct {
	regions   quetzalhook.Regions
	decayedAt time.Time
	rate      float64 // as demand.rate
}

const (
	// maxRegionSets bounds the number of sets that are counted apart. Six regions have 63
	// sets; the work of further sets counts in the total only.
	maxRegionSets = 64
	// minRegionRate is the rate below which a set is forgotten: a hundredth of an engine
	// needs no engine of its own.
	minRegionRate = 0.01
)

// add adds the rate of a request.
func (d *regionalDemand) add(now time.Time, s quetzalhook.Regions, rate float64) {
	if !s.Restricted || len(s.List) == 0 {
		return
	}
	names := slices.Clone(s.List)
	slices.Sort(names)
	names = slices.Compact(names)
	var key strings.Builder
	for _, r := range names {
		key.WriteString(string(r))
		key.WriteByte(0)
	}
	e := (*d)[key.String()]
	if e == nil {
		if len(*d) >= maxRegionSets {
			return
		}
		if *d == nil {
			*d = make(regionalDemand)
		}
		e = &setDemand{regions: quetzalhook.OnlyRegions(names...)}
		(*d)[key.String()] = e
	}
	e.decay(now)
	e.rate += rate
}

func (e *setDemand) decay(now time.Time) {
	if !e.decayedAt.IsZero() {
		e.rate *= math.Exp(-float64(now.Sub(e.decayedAt)) / float64(demandTimeConstant))
	}
	e.decayedAt = now
}

// appendTo appends the demand by set of regions, and forgets sets without any.
func (d regionalDemand) appendTo(now time.Time, list []quetzalhook.RegionDemand) []quetzalhook.RegionDemand {
	for key, e := range d {
		e.decay(now)
		if e.rate < minRegionRate {
			delete(d, key)
			continue
		}
		list = append(list, quetzalhook.RegionDemand{Regions: e.regions, Busy: e.rate})
	}
	return list
}
