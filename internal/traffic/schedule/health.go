package schedule

import "time"

const (
	// refusalPause is how long an engine is avoided after it refused a request.
	refusalPause = 50 * time.Millisecond
	// A first token is overdue after overdueFactor times its expected time plus
	// overdueSlack.
	overdueFactor = 3
	overdueSlack  = 400 * time.Millisecond
)

// isSuspect reports whether the engine should be avoided: it has recently failed
// or refused a request, or it is silent while a first token is overdue.
func (e *engine) isSuspect(now time.Time) bool {
	if e.record.IsAvoided(now) {
		return true
	}
	for _, r := range e.prefilling {
		limit := time.Duration(overdueFactor*r.expectedTTFT*float64(time.Millisecond)) + overdueSlack
		if now.Sub(r.started) > limit && e.lastResponse.Before(r.started.Add(limit/2)) {
			return true
		}
	}
	return false
}
