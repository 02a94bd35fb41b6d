// Package reliability tracks how often an upstream fails its requests.
//
// An upstream can fail some or all of its requests while it is registered,
// reachable and fast. Without a record of its failures it looks idle and
// attracts more requests than the others. The package does no I/O and reads no
// clock; callers pass a time that never decreases.
package reliability

import (
	"math"
	"time"
)

const (
	// An upstream is avoided after avoidAfter failures in a row. The first
	// time it is avoided for minAvoid; the time doubles with each further
	// failure, up to maxAvoid.
	avoidAfter = 2
	minAvoid   = 300 * time.Millisecond
	maxAvoid   = 4 * time.Second
	// maxDoublings prevents the overflow of the shift that doubles the time.
	maxDoublings = 8
	// failureWeight is the weight of the latest request in the moving average
	// that estimates the probability of a failure. Four failures in a row
	// raise the estimate to 0.7.
	failureWeight = 0.25
	// halfLife is the time in which the estimate halves without requests, so
	// that the upstream is tried again. Crashed engines come back after
	// 2 to 5 s.
	halfLife = 3 * time.Second
)

// Record is the failure record of one upstream. The zero value is that of an
// upstream that has not failed.
type Record struct {
	failures     int       // failures in a row
	avoidedUntil time.Time // until when the upstream is avoided
	probability  float64   // of a failure of the next request, as of updatedAt
	updatedAt    time.Time
}

// Failed records a failed request.
func (r *Record) Failed(now time.Time) {
	r.observe(now, 1)
	r.failures++
	if r.failures >= avoidAfter {
		r.avoidedUntil = now.Add(min(minAvoid<<min(r.failures-avoidAfter, maxDoublings), maxAvoid))
	}
}

// ResponseStarted records that the upstream has begun to respond to a request,
// which may still fail. It resets the number of failures in a row.
func (r *Record) ResponseStarted() { r.failures = 0 }

// Succeeded records a request that was served.
func (r *Record) Succeeded(now time.Time) {
	r.observe(now, 0)
	r.failures = 0
}

// Moved records that another upstream now uses the address. The upstream is
// avoided for as long as a lost upstream may stay in the platform's list; a new
// entry of the list gets a new Record.
func (r *Record) Moved(now time.Time) { r.Refused(now, maxAvoid) }

// Refused records that the upstream refused a request. The upstream is avoided
// for at least pause.
func (r *Record) Refused(now time.Time, pause time.Duration) {
	if until := now.Add(pause); until.After(r.avoidedUntil) {
		r.avoidedUntil = until
	}
}

// IsAvoided reports whether the upstream should receive no requests while
// others can take them.
func (r *Record) IsAvoided(now time.Time) bool { return now.Before(r.avoidedUntil) }

// FailureProbability returns the estimated probability, from 0 to 1, that the next
// request fails.
func (r *Record) FailureProbability(now time.Time) float64 {
	if r.probability == 0 {
		return 0
	}
	return r.probability * math.Exp2(-float64(now.Sub(r.updatedAt))/float64(halfLife))
}

// observe adds one request to the moving average; failed is 1 for a failure
// and 0 for a success.
func (r *Record) observe(now time.Time, failed float64) {
	r.probability = r.FailureProbability(now)
	r.probability += failureWeight * (failed - r.probability)
	r.updatedAt = now
}
