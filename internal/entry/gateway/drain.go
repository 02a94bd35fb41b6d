package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"quetzalhook"
	"quetzalhook/internal/entry/caller"
)

// stoppingRetryAfter is sent to callers that should use another host at once.
const stoppingRetryAfter = time.Millisecond

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
	return now.Before(s.Away) || s.completes(now, timeout)
}

// completes reports whether a request ends in time whatever its upstream does.
func (s *Stop) completes(now time.Time, timeout time.Duration) bool {
	return !now.Add(timeout + caller.EndTime).After(s.End)
}

// Drain makes every later response ask the caller to close the connection, and the
// gateway refuse requests that cannot end in time. Only the first call has an effect.
func (g *Gateway) Drain(s Stop) {
	if g.stop.CompareAndSwap(nil, &s) {
		time.AfterFunc(s.Away.Sub(g.deps.Clock.Now()), g.leave)
	}
}

// checkStop returns an error if the host is stopping and does not take the request. A
// forwarded one must end in time, since its caller did not choose this host.
func (x *exchange) checkStop() error {
	s := x.gateway.stop.Load()
	if s == nil {
		return nil
	}
	takes := s.takes
	if x.hop != nil {
		takes = s.completes
	}
	if takes(x.gateway.deps.Clock.Now(), x.timeout-x.elapsed()) {
		return nil
	}
	return &Error{
		Op: "accept", Kind: ErrorStopping, Status: http.StatusServiceUnavailable, RetryAfter: stoppingRetryAfter,
		Message: "the host is stopping and has no time for the request; other hosts have",
	}
}

// nextAttempt waits for the next attempt. If the host is stopping and callers know other
// hosts, a request that has not run ends instead of being passed on so late that it may
// be cut.
func (x *exchange) nextAttempt(ctx context.Context, ticket quetzalhook.Ticket) (quetzalhook.Attempt, error) {
	if x.mayHaveRun {
		return ticket.Next(ctx)
	}
	waiting, end := context.WithCancelCause(ctx)
	defer end(nil)
	detach := context.AfterFunc(x.gateway.away, func() {
		if err := x.checkStop(); err != nil {
			end(err)
		}
	})
	defer detach()
	a, err := ticket.Next(waiting)
	stopping := x.checkStop()
	switch {
	case err == nil && stopping != nil:
		ticket.End(quetzalhook.AttemptEnd{End: quetzalhook.EndCallerGone}) // says nothing of the upstream
		return quetzalhook.Attempt{}, stopping
	case err != nil && stopping != nil && waiting.Err() != nil && ctx.Err() == nil:
		return a, stopping
	}
	return a, err
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
func (g *Gateway) CloseConns(ctx context.Context) error {
	serve, cancel := caller.BeforeEnd(ctx)
	defer cancel()
	err := g.callers.Close(serve)
	if err != nil {
		g.end()
		_ = g.callers.Close(ctx) // the requests have ended; what is left is cut
	}
	return err
}
