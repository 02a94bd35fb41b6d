package billing

import (
	"slices"

	"quetzalhook/internal/record/usage"
)

// Status is the state of a reporter as shown to operators. Only the host that
// holds the reporter role updates it; on other hosts it is out of date.
type Status struct {
	// Reported is the newest window whose report the platform has accepted.
	Reported usage.Window `json:"reported"`
	// Waiting lists the sources that keep the next window from being closed: they
	// have usage in it, have not marked it final, and have not been missing for
	// long enough to count as gone.
	Waiting []usage.Source `json:"waiting"`
}

// Status returns the status after the last round.
func (r *Reporter) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.status
	s.Waiting = slices.Clone(s.Waiting)
	return s
}

func (r *Reporter) setReported(w usage.Window) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.status.Reported = w
}

func (r *Reporter) setWaiting(waiting []usage.Source) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.status.Waiting = waiting
}
