package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"quetzalhook"
	"quetzalhook/internal/entry/connection"
	"quetzalhook/internal/record/routing"
)

const (
	// maxForwards bounds the hosts to which a request is forwarded.
	maxForwards = 3
	// maxUnreached is the number of upstreams that could not be reached after which a
	// request is forwarded, although its host may reach others.
	maxUnreached = 2
)

// errCutOff is the cause of the end of a wait for an upstream in a host that reaches none.
var errCutOff = errors.New("the host reaches no upstreams")

// Peers chooses the hosts to which this one forwards requests while it does not reach
// upstreams.
type Peers interface {
	// Next returns a host in allowed regions that reaches upstreams and is not among tried,
	// or false if there is none.
	Next(allowed quetzalhook.Regions, tried []quetzalhook.HostID) (Peer, bool)
}

// Peer is a host that takes forwarded requests.
type Peer struct {
	Host   quetzalhook.HostID
	Target connection.Target
	// End must be called at the end of the request; reached reports whether the host has
	// answered.
	End func(reached bool)
}

// isCutOff reports whether the host reaches no upstreams.
func (g *Gateway) isCutOff() bool { return g.deps.Reaching().Err() != nil }

// mayForward reports whether the request may be forwarded to another host. A request that
// was forwarded never is again. A begun stream goes on elsewhere only if that is known to
// fit.
func (x *exchange) mayForward() bool {
	if x.gateway.deps.Peers == nil || x.hop != nil || x.isForwarded || x.kvHandle != "" {
		return false
	}
	if x.mayHaveRun && (!x.mayRepeat() || x.route.Attempts > 0 && x.runs >= x.route.Attempts) {
		return false
	}
	return !x.stream.headerSent || !x.hasBuilds() || x.stream.build != ""
}

// mayReturn reports whether another host can still send a forwarded request elsewhere.
func (x *exchange) mayReturn() bool { return x.hop != nil && !x.mayHaveRun }

// noPath returns the error for a forwarded request that has not run, at a host that reaches
// no upstreams.
func noPath() error {
	return rejection(http.StatusServiceUnavailable, ErrorNoPath, "the host reaches no upstreams")
}

// awaitAttempt waits for the next attempt. It returns errCutOff if the host reaches no
// upstreams, and the request may be forwarded.
func (x *exchange) awaitAttempt(ctx context.Context, ticket quetzalhook.Ticket) (quetzalhook.Attempt, error) {
	if !x.mayForward() && !x.mayReturn() {
		return x.nextAttempt(ctx, ticket)
	}
	waiting, end := context.WithCancelCause(ctx)
	defer end(nil)
	defer context.AfterFunc(x.gateway.deps.Reaching(), func() { end(errCutOff) })()
	a, err := x.nextAttempt(waiting, ticket)
	switch {
	case err != nil && ctx.Err() == nil && context.Cause(waiting) == errCutOff:
		return a, errCutOff
	case err == nil && x.gateway.isCutOff():
		ticket.End(quetzalhook.AttemptEnd{End: quetzalhook.EndCallerGone, Unsent: true, NoPath: true}) // says nothing of the upstream
		return a, errCutOff
	}
	return a, err
}

// forward sends the request to other hosts until one answers it. It returns false if there
// is none, so that this host must serve the request itself.
func (x *exchange) forward(ctx context.Context) (done bool, err error) {
	x.isForwarded = true
	var tried []quetzalhook.HostID
	for len(tried) < maxForwards {
		p, ok := x.gateway.deps.Peers.Next(x.allowed(), tried)
		if !ok {
			break
		}
		tried = append(tried, p.Host)
		var reached bool
		reached, done, err = x.forwardTo(ctx, p)
		p.End(reached)
		if err != nil {
			x.gateway.deps.Log.WithFields(x.failureFields()).WithField("forwarded-to", p.Host).WithError(err).Info("request not served by another host")
		}
		if done || ctx.Err() != nil || isCallerGone(err) {
			x.forwardedTo = p.Host
			return true, err
		}
		if x.mayHaveRun && (!x.mayRepeat() || x.route.Attempts > 0 && x.runs >= x.route.Attempts) {
			return true, err
		}
	}
	return false, err
}

// forwardTo sends the request to another host and passes its response on. It returns
// whether the host has answered, and whether the request is done; if not, another host may
// get it.
func (x *exchange) forwardTo(ctx context.Context, p Peer) (reached, done bool, err error) {
	x.connection, x.reused, x.rateLimit = 0, false, 0
	x.attempt, x.eventsBefore = quetzalhook.Attempt{}, x.stream.events.count
	resp, err := x.gateway.deps.Pool.Do(ctx, p.Target, &connection.Request{
		Method: x.r.Method, URI: x.r.RequestURI, Host: x.r.Host, Header: x.forwardedHeader(), Body: x.body,
	})
	if err != nil {
		var e *connection.Error
		if !errors.As(err, &e) || e.Kind == connection.ErrorBroken {
			x.countRun()
		}
		// What this host has ended, or has no place for, tells nothing of the other one.
		return e != nil && (e.Local || e.Kind == connection.ErrorLimit), false, err
	}
	defer resp.Body.Close()
	end := takeHopEnd(resp.Header)
	switch end.outcome {
	case quetzalhook.OutcomeNotRun:
		done, err = x.endNotRun(resp, end)
		return true, done, err
	case outcomeAnswer:
	default:
		x.countRuns(end.runs)
		return true, true, forwardError(resp.Status, end.kind, "the host that got the request failed")
	}
	x.countRuns(end.runs)
	if x.stream.headerSent && end.build != x.stream.build {
		return true, true, forwardError(http.StatusBadGateway, ErrorBuild, "the stream began at another build than that of the upstream")
	}
	x.usageCounted = true // where it has run
	x.attempt.Upstream.Build = end.build
	err = x.copyForwarded(resp)
	return true, err == nil, err
}

// forwardedHeader returns the header of the request for another host.
func (x *exchange) forwardedHeader() http.Header {
	left := x.timeout - x.elapsed()
	p := hop{
		table:   int64(x.table.Version),
		timeout: left - min(hopMargin, time.Duration(hopShare*float64(left))), repeat: x.attempts > x.unsent || x.mayHaveRun, counted: x.usageCounted, build: x.build(),
	}
	if x.route.Attempts > 0 {
		p.attempts = max(x.route.Attempts-x.runs, 1)
	}
	if x.stream.headerSent {
		p.lastEvent = string(x.stream.events.lastID)
	}
	h := x.gateway.deps.Protocol.PeerHeaders(x.r.Header)
	p.write(h)
	return h
}

// endNotRun handles the error of a host that has not run the request. A request is refused
// as the other host has refused it, unless the reason is one of that host alone.
func (x *exchange) endNotRun(resp *connection.Response, end hopEnd) (done bool, err error) {
	resp.Discard()
	e := forwardError(resp.Status, end.kind, "the host that got the request refused it")
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil && seconds > 0 {
		e.RetryAfter = time.Duration(seconds * float64(time.Second))
	}
	if x.mayHaveRun && !impliesNotRun(e.Status) {
		e.Status = http.StatusBadGateway
	}
	return !slices.Contains([]ErrorKind{ErrorNoTable, ErrorMemory, ErrorStopping, ErrorNoPath, ErrorBuild, ErrorRequest}, end.kind), e
}

func forwardError(status int, kind ErrorKind, message string) *Error {
	return &Error{Op: "forward", Kind: kind, Status: status, Message: message}
}

// copyForwarded passes on the response of an upstream that another host has got.
func (x *exchange) copyForwarded(resp *connection.Response) error {
	if isSuccess(resp.Status) && !x.gateway.deps.Protocol.ParseAnswer(resp.Status, resp.Header).Sealed {
		return forwardError(http.StatusBadGateway, ErrorBroken, "the host that got the request answered without the seal of an upstream")
	}
	switch {
	case x.route.Kind == routing.KindStream && resp.Status == http.StatusOK:
		return x.copyStream(forwardedTicket{}, resp)
	case x.stream.headerSent:
		return forwardError(http.StatusBadGateway, ErrorBroken, "the host that got the request answered "+strconv.Itoa(resp.Status)+" to a stream that had begun")
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, smallBody))
	if err != nil {
		return err
	}
	if len(body) < smallBody {
		return (&bufferedResponse{status: resp.Status, header: resp.Header, body: body}).writeTo(x)
	}
	return x.copyLongBody(resp, body)
}

// forwardedTicket is the ticket of a request that another host dispatches.
type forwardedTicket struct{}

func (forwardedTicket) Next(context.Context) (quetzalhook.Attempt, error) {
	return quetzalhook.Attempt{}, errCutOff
}
func (forwardedTicket) Observe(quetzalhook.Verdict) {}
func (forwardedTicket) Progress(int)                {}
func (forwardedTicket) End(quetzalhook.AttemptEnd)  {}
func (forwardedTicket) Close()                      {}
