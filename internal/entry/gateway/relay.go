package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"

	"quetzalhook"
	"quetzalhook/internal/entry/connection"
	"quetzalhook/internal/record/routing"
)

// maxHeldAnswer bounds the body of an answer that is read whole before any of
// it is passed on, in bytes; a longer one is passed on as it arrives.
const maxHeldAnswer = 1 << 20

// relay runs the request on one upstream after the other until there is an
// answer or the dispatcher refuses it.
func (x *exchange) relay(ctx context.Context) error {
	x.ctx = ctx
	ticket := x.gateway.deps.Dispatcher.Submit(ctx, x.request())
	defer func() { ticket.Close() }()
	var last error
	for {
		attempt, err := ticket.Next(ctx)
		if err != nil {
			return x.noAttempt(err, last)
		}
		end, err := x.try(ctx, ticket, attempt)
		for errors.Is(err, errMoved) {
			end, err = x.goOn(ctx, &ticket)
		}
		if err != nil && x.r.Context().Err() != nil {
			end.End = quetzalhook.EndCallerGone
		}
		ticket.End(end)
		if err == nil || end.End == quetzalhook.EndCallerGone || ctx.Err() != nil {
			return err
		}
		if end.End == quetzalhook.EndBroken && !x.mayRepeat() {
			return err
		}
		last = err
		x.gateway.deps.Log.WithField("request", x.in.ID).WithField("upstream", x.attempt.Upstream.ID).WithField("end", end.End).
			WithField("not-run", end.Verdict.NotRun).WithError(err).Info("attempt failed")
	}
}

// noAttempt returns the failure, or passes on the held failure, of a request
// that gets no other upstream.
func (x *exchange) noAttempt(err, last error) error {
	if x.held != nil && x.r.Context().Err() == nil {
		return x.held.writeTo(x)
	}
	if x.mayRun && last != nil && !errors.Is(err, errTimeout) {
		return last
	}
	return err
}

// mayRepeat reports whether the request may run again after it may have run.
func (x *exchange) mayRepeat() bool {
	if x.route.Kind == routing.KindStream && x.stream.opened && x.stream.lastEvent == "" {
		return false // nothing says where another upstream would go on
	}
	return x.route.IsRepeatable()
}

// try sends the request to one upstream and passes its answer on.
func (x *exchange) try(ctx context.Context, ticket quetzalhook.Ticket, a quetzalhook.Attempt) (quetzalhook.AttemptEnd, error) {
	x.attempts++
	x.attempt = a
	resp, err := x.send(ctx, a)
	if err != nil {
		var e *connection.Error
		if errors.As(err, &e) && e.Kind != connection.ErrorBroken {
			return quetzalhook.AttemptEnd{End: quetzalhook.EndNotSent}, err
		}
		x.mayRun = true
		return quetzalhook.AttemptEnd{End: quetzalhook.EndBroken}, err
	}
	defer resp.Body.Close()
	end := quetzalhook.AttemptEnd{End: quetzalhook.EndFinished, Verdict: x.gateway.deps.Protocol.Judge(resp.Status, resp.Header)}
	if end.Verdict.NotRun {
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxHeldAnswer)) // lets the connection be reused
		end.End = quetzalhook.EndNotSent
		return end, &Error{
			Op: "relay", Kind: ErrorRefused, Status: http.StatusServiceUnavailable,
			Message: "the upstream refused with status " + strconv.Itoa(resp.Status),
		}
	}
	x.mayRun = true
	ticket.Observe(end.Verdict)
	switch {
	case x.route.Kind == routing.KindStream && resp.Status == http.StatusOK:
		x.gateway.streams.add(a.Upstream.ID, x)
		err = x.endMove(x.copyStream(ticket, resp))
		end.Tokens = x.stream.events
	case x.stream.opened:
		err = &Error{
			Op: "relay", Kind: ErrorBroken, Status: http.StatusBadGateway,
			Message: "the upstream answered " + strconv.Itoa(resp.Status) + " to a stream that had begun",
		}
	default:
		err = x.copyWhole(resp)
	}
	if err != nil && !errors.Is(err, errMoved) {
		end.End = quetzalhook.EndBroken
	}
	return end, err
}

// send sends the request to one upstream.
func (x *exchange) send(ctx context.Context, a quetzalhook.Attempt) (*connection.Response, error) {
	deps := x.gateway.deps
	h := x.header.Clone()
	deps.Protocol.Encode(h, quetzalhook.Outbound{
		Customer: x.customer, Upstream: a.Upstream.ID, CallerTimeout: x.patience - x.elapsed(), Urgency: a.Urgency,
		HasUrgency: x.service.Engine != nil, LastEvent: x.stream.lastEvent, Source: a.Source, KVHandle: x.memory,
	})
	target := connection.Target{
		ID: a.Upstream.ID, Address: a.Upstream.Address, Started: a.Upstream.Started, MaxConnections: x.gateway.connections(x.service),
	}
	return deps.Pool.Do(ctx, target, &connection.Request{
		Method: x.r.Method, URI: x.r.RequestURI, Host: x.r.Host, Header: h, Body: x.body,
		Answers: func(h http.Header) bool { return deps.Protocol.Answers(h, x.in.ID) },
	})
}

// countRun counts the usage of a request that has begun to run.
func (x *exchange) countRun() {
	if !x.began && x.customer != "" {
		x.gateway.deps.Began(x.customer)
	}
	x.began = true
}

// wholeAnswer is an answer that was read to its end.
type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
}

func (a *wholeAnswer) writeTo(x *exchange) error {
	copyHeader(x.w.Header(), x.gateway.deps.Protocol.Return(a.header))
	x.w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	x.w.WriteHeader(a.status)
	_, err := x.w.Write(a.body)
	return err
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
}

// copyWhole passes an answer on that is no stream. A short one is read to its
// end first, so that a broken one can be replaced.
func (x *exchange) copyWhole(resp *connection.Response) error {
	x.countRun()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxHeldAnswer))
	if err != nil {
		return err
	}
	answer := &wholeAnswer{status: resp.Status, header: resp.Header, body: body}
	if resp.Status >= http.StatusInternalServerError && x.route.IsRepeatable() {
		x.held = answer
		return &Error{Op: "relay", Kind: ErrorBroken, Status: http.StatusBadGateway, Message: "the upstream answered " + strconv.Itoa(resp.Status)}
	}
	if len(body) < maxHeldAnswer {
		return answer.writeTo(x)
	}
	return x.copyLong(resp, body)
}

// copyLong passes on an answer that is longer than what is held.
func (x *exchange) copyLong(resp *connection.Response, begin []byte) error {
	copyHeader(x.w.Header(), x.gateway.deps.Protocol.Return(resp.Header))
	if resp.Length >= 0 {
		x.w.Header().Set("Content-Length", strconv.FormatInt(resp.Length, 10))
	}
	x.stream.opened = true // from here on a failure breaks the answer off
	x.w.WriteHeader(resp.Status)
	if _, err := x.w.Write(begin); err != nil {
		return err
	}
	_, err := io.Copy(x.w, resp.Body)
	return err
}
