package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"quetzalhook"
	"quetzalhook/internal/record/routing"
)

// exchange is one request of a caller.
type exchange struct {
	gateway *Gateway
	w       http.ResponseWriter
	r       *http.Request
	start   time.Time

	table    *routing.Table
	route    *routing.Route
	service  *routing.Service
	in       quetzalhook.Inbound
	customer quetzalhook.CustomerID
	class    quetzalhook.Class
	patience time.Duration
	body     []byte
	header   http.Header // forwarded to upstreams

	attempts int
	attempt  quetzalhook.Attempt // the last one
	mayRun   bool                // some upstream may have run the request
	began    bool                // usage is counted
	held     *wholeAnswer        // failure of an upstream, returned if no other attempt follows
	stream   stream

	ctx    context.Context // ends with the request
	memory string          // where the memory of a moved run is
	move   *relocation     // under way; guarded by the mutex of the streams
	moved  *relocation     // done; the stream goes on with it
}

// serve handles the request to its end.
func (x *exchange) serve() {
	err := x.prepare()
	if err == nil {
		ctx, cancel := context.WithTimeout(x.r.Context(), x.patience)
		err = x.relay(ctx)
		cancel()
	}
	x.finish(err)
}

// prepare finds route and customer and reads the body.
func (x *exchange) prepare() error {
	x.table, _ = x.gateway.deps.Tables.Table()
	if x.table == nil {
		return refuse(http.StatusServiceUnavailable, ErrorNoTable, "the host has no configuration yet")
	}
	if x.r.URL.Path == "" || x.r.URL.Path[0] != '/' {
		return refuse(http.StatusBadRequest, ErrorRequest, "the request target is not a path")
	}
	x.route = x.table.Route(x.r.Host, x.r.URL.Path)
	if x.route == nil {
		return refuse(http.StatusNotFound, ErrorNoRoute, "no route has this host and path")
	}
	var err error
	if x.in, err = x.gateway.deps.Protocol.Decode(x.r.Header); err != nil {
		return refuse(http.StatusBadRequest, ErrorRequest, err.Error())
	}
	priority := x.route.Priority
	if x.table.HasCustomers() && !x.route.Public {
		owner := x.table.Customer(x.in.Key)
		if owner == nil {
			return refuse(http.StatusUnauthorized, ErrorKey, "the key is missing or unknown")
		}
		x.customer = owner.ID
		if owner.Priority != nil {
			priority = *owner.Priority
		}
	}
	x.class = quetzalhook.NewClass(quetzalhook.ClassName(x.route.Name), quetzalhook.Tier(min(max(priority, 0), maxTier)),
		quetzalhook.WithTTFTTarget(x.route.LatencyTarget), quetzalhook.WithGapTarget(x.route.GapTarget))
	x.patience = x.route.Timeout
	if x.patience <= 0 || x.in.CallerTimeout > 0 && x.in.CallerTimeout < x.patience {
		x.patience = x.in.CallerTimeout
	}
	if x.patience <= 0 {
		x.patience = defaultPatience
	}
	x.service = x.table.Service(service(x.route))
	if x.service == nil {
		return refuse(http.StatusServiceUnavailable, ErrorNoRoute, "the service of the route is not configured")
	}
	return x.readBody()
}

const (
	// maxTier bounds ranks to what fits quetzalhook.Tier.
	maxTier = 255
	// defaultPatience holds if neither route nor caller set a bound.
	defaultPatience = time.Minute
	// defaultBody bounds a body in bytes if the table does not.
	defaultBody = 4 << 20
)

// readBody reads the request's body within the limit of the table.
func (x *exchange) readBody() error {
	limit := x.table.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBody
	}
	body, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return refuse(http.StatusRequestEntityTooLarge, ErrorTooLarge, "the body is over the limit")
	case err != nil:
		return refuse(http.StatusBadRequest, ErrorRequest, "the body cannot be read: "+err.Error())
	}
	x.body = body
	x.header = x.gateway.deps.Protocol.Forward(x.r.Header)
	return nil
}

func refuse(status int, kind ErrorKind, message string) error {
	return &Error{Op: "accept", Kind: kind, Status: status, Message: message}
}

// request describes the request to the dispatcher.
func (x *exchange) request() quetzalhook.Request {
	return quetzalhook.Request{
		ID: x.in.ID, Customer: x.customer, Class: x.class, Model: x.in.Model, Service: x.service.Name,
		PromptTokens: x.in.PromptTokens, MaxTokens: x.in.MaxTokens, LengthHint: x.in.LengthHint, Parts: x.in.Parts,
		Region: x.gateway.deps.Region, Repeatable: x.route.IsRepeatable(), CallerTimeout: x.patience, Attempts: x.route.Attempts,
	}
}

// elapsed returns the time since the request arrived.
func (x *exchange) elapsed() time.Duration { return x.gateway.deps.Clock.Now().Sub(x.start) }

// finish tells the caller of a failure and writes the request's line of the
// log.
func (x *exchange) finish(err error) {
	deps := x.gateway.deps
	fields := logrus.Fields{
		"request": x.in.ID, "customer": x.customer, "class": x.class.Name(), "ms": x.elapsed().Milliseconds(),
		"attempts": x.attempts, "upstream": x.attempt.Upstream.ID,
	}
	if x.table != nil {
		fields["table"] = x.table.Version
	}
	if err == nil {
		first := x.elapsed()
		if !x.stream.first.IsZero() {
			first = x.stream.first.Sub(x.start)
		}
		fields["first-ms"], fields["tokens"], fields["gap-ms"] = first.Milliseconds(), x.stream.events, x.stream.gap.Milliseconds()
		deps.Observer.Served(x.class, x.customer, first, x.stream.gap, x.stream.events)
		deps.Log.WithFields(fields).Info("request served")
		return
	}
	e := x.describe(err)
	fields["kind"], fields["status"], fields["error"], fields["may-run"] = e.Kind, e.Status, e.Error(), x.mayRun
	if e.RetryAfter > 0 {
		fields["retry-after-ms"] = e.RetryAfter.Milliseconds()
	}
	deps.Observer.Failed(x.class, x.customer, string(e.Kind))
	deps.Log.WithFields(fields).Info("request failed")
	if x.stream.opened || e.Kind == ErrorCallerGone {
		// An answer that has begun must not look complete.
		panic(http.ErrAbortHandler)
	}
	writeError(x.w, e, x.in.ID)
}

// describe turns any failure into what the caller is told.
func (x *exchange) describe(err error) *Error {
	var own *Error
	var refusal *quetzalhook.Refusal
	switch {
	case errors.As(err, &own):
		return own
	case x.r.Context().Err() != nil:
		return &Error{Op: "relay", Kind: ErrorCallerGone, Status: statusCallerGone, Message: "the caller left"}
	case x.mayRun && errors.Is(err, errTimeout):
		return &Error{Op: "relay", Kind: ErrorTimeout, Status: http.StatusGatewayTimeout, Message: "no complete answer in time"}
	case x.mayRun:
		return &Error{Op: "relay", Kind: ErrorBroken, Status: http.StatusBadGateway, Message: "the upstream failed after the request was sent", Err: err}
	case errors.As(err, &refusal):
		return &Error{Op: "dispatch", Kind: ErrorRefused, Status: http.StatusServiceUnavailable, Message: refusal.Error(), RetryAfter: refusal.RetryAfter}
	case errors.Is(err, errTimeout):
		return &Error{Op: "dispatch", Kind: ErrorTimeout, Status: http.StatusServiceUnavailable, Message: "no upstream was free in time"}
	}
	return &Error{Op: "relay", Kind: ErrorRefused, Status: http.StatusServiceUnavailable, Message: "no upstream took the request", Err: err}
}

// statusCallerGone stands for a caller that left, in the log only.
const statusCallerGone = 499
