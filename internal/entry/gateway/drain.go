package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"
)

const (
	// endTime is the time before the end of a stop at which the remaining requests are
	// ended, so that their callers get an answer.
	endTime = 200 * time.Millisecond
	// stoppingRetryAfter is sent to callers that should use another host at once.
	stoppingRetryAfter = time.Millisecond
)

// errStopping is the cause of a request's context that a stop has ended.
var errStopping = errors.New("the host stops")

// Stop holds the times of a planned stop.
type Stop struct {
	Start time.Time
	// Away is the time from which callers know which other hosts to use.
	Away time.Time
	// End is the time by which all requests must be answered.
	End time.Time
}

// takes reports whether the host still takes a request at the time now. Once callers
// know other hosts, it takes only those that end in time whatever their upstream does:
// a refused caller can ask another host at once, one that is cut may have lost its
// answer.
func (s *Stop) takes(now time.Time, timeout time.Duration) bool {
	return now.Before(s.Away) || !now.Add(timeout+endTime).After(s.End)
}

// Drain makes every later response ask the caller to close the connection, and the
// gateway refuse requests that cannot end in time. Only the first call has an effect.
func (g *Gateway) Drain(s Stop) { g.stop.CompareAndSwap(nil, &s) }

// checkStop returns an error if the host is stopping and does not take the request.
func (x *exchange) checkStop() error {
	if s := x.gateway.stop.Load(); s == nil || s.takes(x.gateway.deps.Clock.Now(), x.timeout) {
		return nil
	}
	return &Error{
		Op: "accept", Kind: ErrorStopping, Status: http.StatusServiceUnavailable, RetryAfter: stoppingRetryAfter,
		Message: "the host is stopping and has no time for the request; other hosts have",
	}
}

// endedByStop returns the error for a request that was in progress at the end of a
// stop.
func (x *exchange) endedByStop() *Error {
	if x.mayHaveRun {
		return &Error{Op: "relay", Kind: ErrorStopping, Status: http.StatusGatewayTimeout, Message: "the host stopped before the answer was complete"}
	}
	return &Error{
		Op: "dispatch", Kind: ErrorStopping, Status: http.StatusServiceUnavailable, RetryAfter: stoppingRetryAfter,
		Message: "the host stopped before an upstream was free",
	}
}

// withLimits returns a context that ends with parent, after the timeout, or at the end
// of a stop.
func (g *Gateway) withLimits(parent context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, end := context.WithCancelCause(parent)
	detach := context.AfterFunc(g.ended, func() { end(errStopping) })
	ctx, cancel := context.WithTimeout(ctx, timeout)
	return ctx, func() {
		cancel()
		detach()
		end(nil)
	}
}

// CloseConns closes the connections of callers once they have no request, and waits
// until all are closed. Shortly before the deadline of ctx it ends the remaining
// requests, so that their callers get an error response unless a response has begun.
// It returns an error if it had to do so. The listener must be closed before.
// CloseConns replaces http.Server.Shutdown, which drops a request that is read after
// its start without an answer.
func (g *Gateway) CloseConns(ctx context.Context) error {
	serve, cancel := ctx, context.CancelFunc(func() {})
	if deadline, ok := ctx.Deadline(); ok {
		serve, cancel = context.WithDeadline(ctx, deadline.Add(-endTime))
	}
	defer cancel()
	if g.awaitNoConns(serve) {
		return nil
	}
	g.end()
	g.awaitNoConns(ctx)
	return serve.Err()
}

// awaitNoConns closes unused connections until none remains or ctx ends, and reports
// whether none remains.
func (g *Gateway) awaitNoConns(ctx context.Context) bool {
	ticker := time.NewTicker(closeInterval)
	defer ticker.Stop()
	for g.callers.closeUnused() > 0 {
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
	return true
}
