// Package reliability keeps how often an upstream fails the requests that it
// gets.
//
// It answers upstreams that fail all or some of their requests while they are
// registered, reachable and fast: without a record of failures they look idle
// and attract more requests than the others. The package is pure: callers pass
// a time that never goes back.
package reliability

import (
	"math"
	"time"
)

const (
	// avoidAfter is the number of failures in a row from which on an upstream is
	// avoided, avoidFirst and avoidLast bound for how long; the time doubles with
	// each failure.
	avoidAfter = 2
	avoidFirst = 300 * time.Millisecond
	avoidLast  = 4 * time.Second
	// maxDoublings keeps the shift within the type.
	maxDoublings = 8
	// gain is the weight of one request in the probability of a failure. Four
	// failures in a row bring it to 0.7.
	gain = 0.25
	// memory is the time in which the probability halves without requests, so
	// that an upstream is tried again. Crashed engines are back after 2 to 5 s.
	memory = 3 * time.Second
)

// Record is what is known of one upstream. The zero value is that of an
// upstream that has not failed.
type Record struct {
	failures    int // in a row
	until       time.Time
	probability float64 // that a request fails, as of at
	at          time.Time
}

// Failed notes a request that failed.
func (r *Record) Failed(now time.Time) {
	r.count(now, 1)
	r.failures++
	if r.failures >= avoidAfter {
		r.until = now.Add(min(avoidFirst<<min(r.failures-avoidAfter, maxDoublings), avoidLast))
	}
}

// Answers notes that the upstream has begun to answer a request, which may
// still fail.
func (r *Record) Answers() { r.failures = 0 }

// Worked notes a request that was served.
func (r *Record) Worked(now time.Time) {
	r.count(now, 0)
	r.failures = 0
}

// Moved notes that another upstream has the address. It is avoided for as long as
// an entry of a lost upstream may stay listed; a new entry gets a new record.
func (r *Record) Moved(now time.Time) { r.Refused(now, avoidLast) }

// Refused notes that the upstream refused a request; it is avoided for pause.
func (r *Record) Refused(now time.Time, pause time.Duration) {
	if until := now.Add(pause); until.After(r.until) {
		r.until = until
	}
}

// IsAvoided reports whether the upstream should get no requests as long as
// others can take them.
func (r *Record) IsAvoided(now time.Time) bool { return now.Before(r.until) }

// Probability returns how likely the next request is to fail, from 0 to 1.
func (r *Record) Probability(now time.Time) float64 {
	if r.probability == 0 {
		return 0
	}
	return r.probability * math.Exp2(-float64(now.Sub(r.at))/float64(memory))
}

func (r *Record) count(now time.Time, failed float64) {
	r.probability = r.Probability(now)
	r.probability += gain * (failed - r.probability)
	r.at = now
}
