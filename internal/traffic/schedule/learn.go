package schedule

import (
	"slices"
	"strings"
	"time"

	"quetzalhook"
	"quetzalhook/internal/traffic/speed"
)

// Speeds is what hosts tell each other about the speed of engines.
type Speeds struct {
	Kinds   []speed.KindReport `cbor:"1,keyasint,omitempty"`
	Engines []speed.Report     `cbor:"2,keyasint,omitempty"`
}

// kind returns the estimate for the engines of a service.
func (s *Scheduler) kind(service string) *speed.Kind {
	k := s.kinds[service]
	if k == nil {
		k = speed.NewKind()
		s.kinds[service] = k
	}
	return k
}

// Work returns the expected work of a request in ms, on an average engine.
func (s *Scheduler) Work(q quetzalhook.Request) float64 {
	r := requestState{request: q, pool: &pool{kind: s.kind(q.Service)}}
	return r.expectedWork()
}

// ObserveWorkTime records what the engine of a running request tells about its
// machine; see quetzalhook.Verdict.
func (s *Scheduler) ObserveWorkTime(now time.Time, id quetzalhook.RequestID, workTime float64) {
	if r := s.requests[id]; r != nil && r.engine != nil {
		r.engine.advance(now)
		r.engine.speed.ObserveWorkTime(now, workTime)
	}
}

// Speeds returns what other hosts need to know about the speed of the engines: the
// estimate of each kind, and the engines that differ from it.
func (s *Scheduler) Speeds(now time.Time) Speeds {
	var list Speeds
	for service, k := range s.kinds {
		if r, ok := k.Report(service); ok {
			list.Kinds = append(list.Kinds, r)
		}
	}
	for id, e := range s.engines {
		if ratio, weight, ok := e.speed.Report(now); ok {
			list.Engines = append(list.Engines, speed.Report{Upstream: id, Started: e.info.Started, Ratio: ratio, Weight: weight})
		}
	}
	slices.SortFunc(list.Kinds, func(a, b speed.KindReport) int { return strings.Compare(a.Service, b.Service) })
	list.Engines = speed.Largest(list.Engines)
	return list
}

// AddSpeeds takes over what another host tells.
func (s *Scheduler) AddSpeeds(now time.Time, list Speeds) {
	for _, r := range list.Kinds {
		if k := s.kinds[r.Service]; k != nil {
			k.Learn(r)
		}
	}
	for _, r := range list.Engines {
		if e := s.engines[r.Upstream]; e != nil && e.info.Started == r.Started {
			e.speed.Learn(now, r)
		}
	}
}

// Factor returns how much longer work takes on an engine than on an average one of its
// kind; 0 if it is not known.
func (s *Scheduler) Factor(now time.Time, id quetzalhook.UpstreamID) float64 {
	if e := s.engines[id]; e != nil {
		return e.speed.Factor(now)
	}
	return 0
}
