package relay

import (
	"context"
	"time"
)

// stallTimer cancels a context when no data arrives within a timeout.
type stallTimer struct {
	timer  *time.Timer
	cancel context.CancelCauseFunc
}

// withStallTimeout returns a context that ends with errStalled after the
// timeout, unless the timer is extended or paused before.
func withStallTimeout(parent context.Context, timeout time.Duration) (context.Context, *stallTimer) {
	ctx, cancel := context.WithCancelCause(parent)
	s := &stallTimer{cancel: cancel}
	s.timer = time.AfterFunc(timeout, func() { cancel(errStalled) })
	return ctx, s
}

// extend restarts the timeout.
func (s *stallTimer) extend(timeout time.Duration) { s.timer.Reset(timeout) }

// pause stops the timer until the next call of extend.
func (s *stallTimer) pause() { s.timer.Stop() }

// stop releases the timer and the context.
func (s *stallTimer) stop() {
	s.timer.Stop()
	s.cancel(nil)
}
