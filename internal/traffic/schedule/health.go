package schedule

import "time"

const (
	// fullPause is how long an engine is avoided that refused a request.
	fullPause = 50 * time.Millisecond
	// overdueFactor and overdueSlack say when a first token is overdue: after
	// the factor times the expected time plus the slack.
	overdueFactor = 3
	overdueSlack  = 400 * time.Millisecond
)

// isSuspect reports whether the engine should be avoided: it has failed, or it
// is silent although a first token is overdue.
func (e *engine) isSuspect(now time.Time) bool {
	if e.record.IsAvoided(now) {
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
