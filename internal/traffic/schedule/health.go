package schedule

import "time"

const (
	// avoidFirst and avoidLast bound how long an engine is avoided after
	// failures in a row; the time doubles with each.
	avoidFirst = 300 * time.Millisecond
	avoidLast  = 4 * time.Second
	// avoidAfter is the number of failures in a row from which on an engine is
	// avoided.
	avoidAfter = 2
	// fullPause is how long an engine is avoided that refused a request.
	fullPause = 50 * time.Millisecond
	// overdueFactor and overdueSlack say when a first token is overdue: after
	// the factor times the expected time plus the slack.
	overdueFactor = 3
	overdueSlack  = 400 * time.Millisecond
)

// health says whether an engine should get requests.
type health struct {
	failures int // in a row
	until    time.Time
}

func (h *health) failed(now time.Time) {
	h.failures++
	if h.failures >= avoidAfter {
		h.until = now.Add(min(avoidFirst<<min(h.failures-avoidAfter, maxDoublings), avoidLast))
	}
}

// maxDoublings keeps the shift within the type.
const maxDoublings = 8

func (h *health) refused(now time.Time) {
	if until := now.Add(fullPause); until.After(h.until) {
		h.until = until
	}
}

func (h *health) worked() { h.failures = 0 }

// isSuspect reports whether the engine should be avoided: it has failed, or it
// is silent although a first token is overdue.
func (e *engine) isSuspect(now time.Time) bool {
	if now.Before(e.health.until) {
		return true
	}
	for _, r := range e.reads {
		limit := time.Duration(overdueFactor*r.expected*float64(time.Millisecond)) + overdueSlack
		if now.Sub(r.started) > limit && e.sign.Before(r.started.Add(limit/2)) {
			return true
		}
	}
	return false
}
