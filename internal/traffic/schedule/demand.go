package schedule

import (
	"math"
	"time"

	"quetzalhook"
)

// demandMemory is the time constant of the smoothed demand.
const demandMemory = 3 * time.Second

// demand is the offered load of one pool, as engines that are busy at the same time.
type demand struct {
	at   time.Time
	rate float64 // ms of reading for each ms
}

// add counts a request.
func (d *demand) add(now time.Time, r *run) {
	d.decay(now)
	d.rate += r.waitingWork() / milliseconds(demandMemory)
}

func (d *demand) decay(now time.Time) {
	if !d.at.IsZero() {
		d.rate *= math.Exp(-float64(now.Sub(d.at)) / float64(demandMemory))
	}
	d.at = now
}

// Load describes the demand on the engines and what there is of them.
type Load struct {
	// Busy is the number of engines that the offered work keeps busy.
	Busy float64
	// Waiting is the number of requests that wait.
	Waiting int
	// Memory is the part of the engines' memory that running requests use; of
	// several groups, that of the fullest.
	Memory float64
	// Foreign is the number of running requests that this scheduler does not
	// know, as far as it was seen.
	Foreign float64
}

// Add adds the load of other engines.
func (l *Load) Add(o Load) {
	l.Busy += o.Busy
	l.Waiting += o.Waiting
	l.Memory = max(l.Memory, o.Memory)
	l.Foreign += o.Foreign
}

// Load returns the present load.
func (s *Scheduler) Load(now time.Time) Load {
	l := Load{Waiting: s.waiting}
	for _, p := range s.pools {
		p.demand.decay(now)
		l.Busy += p.demand.rate
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
