package relay

import (
	"context"
	"time"
)

// stall ends a context when nothing arrives for some time.
type stall struct {
	timer  *time.Timer
	cancel context.CancelCauseFunc
}

// withStall returns a context that ends with errStalled after timeout unless
// extended.
func withStall(parent context.Context, timeout time.Duration) (context.Context, *stall) {
	ctx, cancel := context.WithCancelCause(parent)
	s := &stall{cancel: cancel}
	s.timer = time.AfterFunc(timeout, func() { cancel(errStalled) })
	return ctx, s
}

// extend restarts the timeout.
func (s *stall) extend(timeout time.Duration) { s.timer.Reset(timeout) }

// pause stops the timeout until it is extended.
func (s *stall) pause() { s.timer.Stop() }

func (s *stall) stop() {
	s.timer.Stop()
	s.cancel(nil)
}
