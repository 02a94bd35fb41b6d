package schedule

import (
	"math"
	"time"

	"quetzalhook"
)

// demandTimeConstant is the time constant with which demand.rate decays.
const demandTimeConstant = 3 * time.Second

// demand is the smoothed work that arrives for one pool, as the number of engines
// that it keeps busy.
type demand struct {
	decayedAt time.Time
	rate      float64 // ms of work arriving per ms
	regional  regionalDemand
}

// add adds the expected work of a request.
func (d *demand) add(now time.Time, r *requestState) {
	d.decay(now)
	rate := r.expectedWork() / milliseconds(demandTimeConstant)
	d.rate += rate
	d.regional.add(now, r.request.Regions, rate)
}

// decay reduces the rate by the time that has passed since the last call.
func (d *demand) decay(now time.Time) {
	if !d.decayedAt.IsZero() {
		d.rate *= math.Exp(-float64(now.Sub(d.decayedAt)) / float64(demandTimeConstant))
	}
	d.decayedAt = now
}

// Load describes the demand on the engines and their use.
type Load struct {
	// Busy is the number of engines that the arriving work keeps busy.
	Busy float64
	// Waiting is the number of waiting requests.
	Waiting int
	// Memory is the share of the engines' memory that running requests use; for
	// several groups, the largest share.
	Memory float64
	// Foreign is the estimated number of running requests that this scheduler
	// does not know.
	Foreign float64
	// Regional is the part of Busy of the requests that may run in some regions only,
	// by their set of regions.
	Regional []quetzalhook.RegionDemand
}

// Add adds the load of other engines.
func (l *Load) Add(o Load) {
	l.Busy += o.Busy
	l.Waiting += o.Waiting
	l.Memory = max(l.Memory, o.Memory)
	l.Foreign += o.Foreign
	l.Regional = append(l.Regional, o.Regional...)
}

// Load returns the current load.
func (s *Scheduler) Load(now time.Time) Load {
	l := Load{Waiting: s.waiting}
	for _, p := range s.pools {
		p.demand.decay(now)
		l.Busy += p.demand.rate
		l.Regional = p.demand.regional.appendTo(now, l.Regional)
	}
	used, have := 0, 0
	for _, e := range s.engines {
		if e.info.State == quetzalhook.UpstreamReady {
			e.advance(now)
			l.Foreign += e.foreign
			used += e.memory
			have += e.info.MemoryTokens
		}
	}
	if have > 0 {
		l.Memory = float64(used) / float64(have)
	}
	return l
}
