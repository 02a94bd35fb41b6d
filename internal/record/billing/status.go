package billing

import (
	"slices"

	"quetzalhook/internal/record/usage"
)

// Status is what operators see of a reporter. It is kept by the host that
// holds the role; elsewhere it is out of date.
type Status struct {
	// Reported is the newest window that the platform has accepted.
	Reported usage.Window `json:"reported"`
	// Waiting holds the sources that the next window waits for: they counted
	// in it, have not marked it final and are not known to be gone.
	Waiting []usage.Source `json:"waiting"`
}

// Status returns the result of the last round.
func (r *Reporter) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.status
	s.Waiting = slices.Clone(s.Waiting)
	return s
}

func (r *Reporter) noteReported(w usage.Window) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.status.Reported = w
}

func (r *Reporter) noteWaiting(waiting []usage.Source) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.status.Waiting = waiting
}
