package fair

import (
	"cmp"
	"math"
	"slices"
	"time"

	"quetzalhook"
)

// Usage is the work that one customer got lately.
type Usage struct {
	_        struct{} `cbor:",toarray"`
	Customer quetzalhook.CustomerID
	Work     float64
}

// demand is what one customer would like to have got, per weight.
type demand struct{ level, weight float64 }

// Level returns the work per weight up to which customers are within their share:
// if every customer got its demand, at most up to its weight times the level, all
// together would have got their recent work and the extra work. The demand is the
// recent work and the waiting work. The level is infinite if all demands can be met,
// so that there is no shortage.
func (s *Shares[V]) Level(now time.Time, waiting func(*Account[V]) float64, extra float64) float64 {
	s.demands = s.demands[:0]
	scale, left, weights, wanted := s.scale(now), extra, 0.0, 0.0
	for _, a := range s.accounts {
		service := a.service / scale
		d := demand{level: service + waiting(a)/a.weight, weight: a.weight}
		s.demands = append(s.demands, d)
		left += service * a.weight
		weights += a.weight
		wanted += d.level * d.weight
	}
	if wanted < left {
		return math.Inf(1)
	}
	// Customers whose demand is below the level of the others leave them the rest, and
	// so raise it, until no more of them are. Each pass is linear in the customers that
	// are still above.
	above := s.demands
	for level := left / weights; ; level = left / weights {
		kept := above[:0]
		for _, d := range above {
			if d.level < level {
				left -= d.level * d.weight
				weights -= d.weight
			} else {
				kept = append(kept, d)
			}
		}
		if len(kept) == len(above) || len(kept) == 0 {
			return level
		}
		above = kept
	}
}

// Rate returns the work per weight and time unit with which a customer stays at a
// level, if it is served steadily. It is 0 without a half-life.
func (s *Shares[V]) Rate(level float64) (perMillisecond float64) {
	if s.halfLife == 0 {
		return 0
	}
	return level * math.Ln2 / (float64(s.halfLife) / float64(time.Millisecond))
}

// Top returns the recent work of the n customers that got most, in the order of
// their work.
func (s *Shares[V]) Top(now time.Time, n int) []Usage {
	list := make([]Usage, 0, len(s.accounts))
	for _, a := range s.accounts {
		if work := s.Service(now, a) * a.weight; work > 0 {
			list = append(list, Usage{Customer: a.customer, Work: work})
		}
	}
	slices.SortFunc(list, func(a, b Usage) int {
		return cmp.Or(cmp.Compare(b.Work, a.Work), cmp.Compare(a.Customer, b.Customer))
	})
	return list[:min(n, len(list))]
}

// Sweep deletes the accounts that are not in use and got at most the given work per
// weight lately.
func (s *Shares[V]) Sweep(now time.Time, work float64, inUse func(*Account[V]) bool) {
	for _, a := range s.accounts {
		if a.position < 0 && !inUse(a) && s.IsForgettable(now, a, work) {
			s.Forget(a)
		}
	}
}

// Wait returns how long a customer waits until work of its own has been served that
// precedes a new request, if customers at the level are served steadily: what the
// customer got above the level has to decay first. It is 0 within the share.
func (s *Shares[V]) Wait(now time.Time, a *Account[V], preceding, level float64) time.Duration {
	if s.halfLife == 0 || math.IsInf(level, 1) {
		return 0
	}
	service, own := s.Service(now, a), preceding/a.weight
	if level <= 0 || service+own <= level {
		return 0
	}
	ms := 0.0
	if service > level {
		ms = math.Log2(service/level) * float64(s.halfLife) / float64(time.Millisecond)
	} else {
		own -= level - service
	}
	ms += own / s.Rate(level)
	return time.Duration(min(ms, maxWaitMs) * float64(time.Millisecond))
}

// maxWaitMs bounds Wait: no caller waits for an hour.
const maxWaitMs = 3_600_000
