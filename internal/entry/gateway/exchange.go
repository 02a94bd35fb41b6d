package gateway

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"quetzalhook"
	"quetzalhook/internal/entry/budget"
	"quetzalhook/internal/entry/caller"
	"quetzalhook/internal/platform/response"
	"quetzalhook/internal/record/routing"
)

// exchange is the state of one caller's request.
type exchange struct {
	gateway *Gateway
	w       http.ResponseWriter
	r       *http.Request
	start   time.Time
	conn    *caller.Conn // of the caller; nil if the server is not attached
	hop     *hop         // from the host that has forwarded the request; nil if it came from its caller

	table    *routing.Table
	route    *routing.Route
	service  *routing.Service
	inbound  quetzalhook.Inbound
	customer quetzalhook.CustomerID
	weight   float64 // of the customer's share in a shortage
	class    quetzalhook.Class
	regions  quetzalhook.Regions // in which the request may run, by table
	// startBuild is the only build that may begin the answer; empty for any.
	startBuild quetzalhook.Build
	timeout    time.Duration
	holding    *caller.Holding // memory for the request; nil without a bound
	body       [][]byte
	header     http.Header // request headers that upstreams receive

	isForwarded    bool               // it was sent to other hosts
	forwardedTo    quetzalhook.HostID // that has answered; empty if none has
	attempts       int
	unsent         int                 // of them, those of which no byte was sent
	unreached      int                 // of these, those to upstreams that could not be reached
	runs           int                 // that an upstream may have begun; a moved run counts once
	attempt        quetzalhook.Attempt // the latest one
	eventsBefore   int                 // events that earlier attempts received
	connection     int64               // to the upstream, in its latest attempt; 0 if nothing was sent
	reused         bool                // the connection had been used for other requests
	sentOn         []int64             // connections on which attempts were answered; the others are closed
	rateLimit      float64             // that the upstream has named in its latest answer; 0 for none
	mayHaveRun     bool                // an upstream may have run the request
	usageCounted   bool
	failedResponse *bufferedResponse // error response of an upstream, returned to the caller if no other attempt follows
	stream         stream

	ctx           context.Context // ends with the request
	kvHandle      string          // engine and handle of the KV cache from which the next attempt continues; empty unless the request was moved
	activeMove    *relocation     // in progress; guarded by streams.mu
	moves         int             // started so far; guarded by streams.mu
	completedMove *relocation     // whose attempt continues the stream
	// unknownStops lists engines that may still stop a run of the request, because the
	// outcome of a move is unknown.
	unknownStops []quetzalhook.UpstreamID
}

// serve handles the request and writes the response or an error.
func (x *exchange) serve() {
	err := x.prepare()
	if err == nil {
		ctx, cancel := x.gateway.withLimits(x.r.Context(), x.timeout)
		err = x.relay(ctx)
		cancel()
	}
	x.finish(err)
}

// prepare finds the route, the customer and the service of the request and
// reads the body.
func (x *exchange) prepare() error {
	x.table, _ = x.gateway.deps.Tables.Table()
	if x.table == nil {
		return rejection(http.StatusServiceUnavailable, ErrorNoTable, "the host has no configuration yet")
	}
	if x.hop != nil && int64(x.table.Version) < x.hop.table {
		return rejection(http.StatusServiceUnavailable, ErrorNoTable, "the host has an older configuration than the one that got the request")
	}
	if x.r.URL.Path == "" || x.r.URL.Path[0] != '/' {
		return rejection(http.StatusBadRequest, ErrorRequest, "the request target is not a path")
	}
	x.route = x.table.Route(x.r.Host, x.r.URL.Path)
	if x.route == nil {
		return rejection(http.StatusNotFound, ErrorNoRoute, "no route has this host and path")
	}
	var err error
	if x.inbound, err = x.gateway.deps.Protocol.Decode(x.r.Header); err != nil {
		return rejection(http.StatusBadRequest, ErrorRequest, err.Error())
	}
	var owner *routing.Customer
	if x.table.HasCustomers() && !x.route.Public {
		owner = x.table.Customer(x.inbound.Key)
		if owner == nil {
			return rejection(http.StatusUnauthorized, ErrorKey, "the key is missing or unknown")
		}
		x.customer, x.weight = owner.ID, owner.Weight
	}
	if x.hop != nil {
		x.inbound.CallerTimeout = x.hop.timeout
	}
	x.regions = routing.Regions(x.route, owner)
	x.class = quetzalhook.NewClass(quetzalhook.ClassName(x.route.Name), x.table.Tier(x.route, owner),
		quetzalhook.WithTTFTTarget(x.route.LatencyTarget), quetzalhook.WithGapTarget(x.route.GapTarget))
	x.timeout = x.route.Timeout
	if x.timeout <= 0 || x.inbound.CallerTimeout > 0 && x.inbound.CallerTimeout < x.timeout {
		x.timeout = x.inbound.CallerTimeout
	}
	if x.timeout <= 0 {
		x.timeout = defaultTimeout
	}
	x.service = x.table.Service(pickService(x.route, x.streamID()))
	if x.service == nil {
		return rejection(http.StatusServiceUnavailable, ErrorNoRoute, "the service of the route is not configured")
	}
	if err := x.readBody(); err != nil {
		return err
	}
	return x.checkStop()
}

const (
	// defaultTimeout applies if neither the route nor the caller sets a
	// timeout.
	defaultTimeout = time.Minute
	// defaultMaxBody limits a request body, in bytes, if the table sets no
	// limit.
	defaultMaxBody = 4 << 20
)

// readBody reads the request body, up to the limit of the table, and selects
// the headers to forward. It waits shortly for memory.
func (x *exchange) readBody() error {
	limit := x.table.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBody
	}
	x.holding = x.gateway.deps.Memory.Open(string(x.customer), x.timeout)
	err := x.holding.Reserve(x.r.Context().Done(), budget.Requests, caller.RequestMemory)
	if err == nil {
		x.body, err = x.holding.ReadBody(x.w, x.r, limit)
	}
	if err != nil {
		return x.bodyError(err)
	}
	x.header = x.gateway.deps.Protocol.Forward(x.r.Header)
	return nil
}

// retryShare is the part of the time that the caller has left, as 1/retryShare, up to
// which it honours Retry-After.
const retryShare = 3

// bodyError returns the error for a request whose body was not read. It has not run.
func (x *exchange) bodyError(err error) error {
	var e *caller.Error
	if !errors.As(err, &e) {
		e = &caller.Error{Kind: caller.ErrorBroken, Err: err}
	}
	switch e.Kind {
	case caller.ErrorNoMemory:
		x.w.Header().Set("Connection", "close") // the rest of the body is not read
		return &Error{
			Op: "accept", Kind: ErrorMemory, Status: http.StatusServiceUnavailable, Message: "the host has no memory for the request",
			RetryAfter: max(min(e.RetryAfter, (x.timeout-x.elapsed())/retryShare), time.Millisecond),
		}
	case caller.ErrorSlow:
		return rejection(http.StatusRequestTimeout, ErrorSlow, "the body did not arrive in time")
	case caller.ErrorTooLarge:
		return rejection(http.StatusRequestEntityTooLarge, ErrorTooLarge, "the body is over the limit")
	}
	return rejection(http.StatusBadRequest, ErrorRequest, "the body cannot be read: "+err.Error())
}

// rejection returns the error for a request that is not passed to the
// dispatcher.
func rejection(status int, kind ErrorKind, message string) error {
	return &Error{Op: "accept", Kind: kind, Status: status, Message: message}
}

// request returns the request as the dispatcher receives it.
func (x *exchange) request() quetzalhook.Request {
	r := quetzalhook.Request{
		ID: x.inbound.ID, Customer: x.customer, Weight: x.weight, Class: x.class, Model: x.inbound.Model, Service: x.service.Name,
		PromptTokens: x.inbound.PromptTokens, MaxTokens: x.inbound.MaxTokens, LengthHint: x.inbound.LengthHint, Parts: x.inbound.Parts,
		Region: x.gateway.deps.Region, Repeatable: x.route.IsRepeatable(), CallerTimeout: x.timeout, Attempts: x.route.Attempts,
		Regions: x.regions, Allowed: x.allowed, Build: x.startBuild, BuildNow: x.build,
	}
	if x.hop != nil {
		r.Repeat = x.hop.repeat
		if x.hop.attempts > 0 {
			r.Attempts = x.hop.attempts
		}
	}
	return r
}

// streamID returns the ID of the request that began, or begins, the stream; empty if the
// caller takes up a stream and does not name it.
func (x *exchange) streamID() quetzalhook.RequestID {
	if x.route.Resumable && x.inbound.LastEvent != "" {
		return x.inbound.Resumes
	}
	return x.inbound.ID
}

// hasBuilds reports whether the stream begins and goes on at one build.
func (x *exchange) hasBuilds() bool {
	return x.gateway.deps.Builds != nil && x.service.Engine != nil && x.route.Resumable
}

// chooseBuild sets the build that begins the answer. A stream that its caller takes up must
// go on at the build that began it, which may have been at any host.
func (x *exchange) chooseBuild() error {
	if !x.hasBuilds() || x.startBuild != "" {
		return nil
	}
	builds, id := x.gateway.deps.Builds, x.streamID()
	if x.inbound.LastEvent == "" {
		if x.regions.Restricted { // the split does not tell which builds have engines in some regions
			return nil
		}
		var ok bool
		if x.startBuild, ok = builds.Assign(x.service.Name, id); ok {
			return nil
		}
		return x.unknownBuild("this host does not know at which build a stream may begin")
	}
	life := x.route.Timeout
	if life <= 0 {
		life = defaultTimeout
	}
	var ok bool
	if x.startBuild, ok = builds.Recall(x.service.Name, id); !ok {
		if x.regions.Restricted {
			id = ""
		}
		x.startBuild, ok = builds.Origin(x.service.Name, id, life)
	}
	if ok {
		return nil
	}
	return x.unknownBuild("the build that began the stream is not known")
}

// unknownBuild returns the error of a stream that has no build. Another host may know it.
func (x *exchange) unknownBuild(message string) error {
	return &Error{
		Op: "accept", Kind: ErrorBuild, Status: http.StatusServiceUnavailable, Message: message,
		RetryAfter: quetzalhook.ScopeRefusal(quetzalhook.RefuseBuild, x.timeout-x.elapsed()).RetryAfter,
	}
}

// recordBuild records at which build the stream began. It is called with its first event.
func (x *exchange) recordBuild() {
	if x.hasBuilds() {
		x.gateway.deps.Builds.Began(x.service.Name, x.streamID(), x.stream.build)
	}
}

// build returns the only build that may run the next attempt; empty for any. It is called
// by the goroutine that relays the answer only.
func (x *exchange) build() quetzalhook.Build {
	if x.stream.headerSent {
		return x.stream.build
	}
	return x.startBuild
}

// allowed returns the regions that both the table under which the request was accepted
// and the newest one allow. It changes no state, because moves call it as well.
func (x *exchange) allowed() quetzalhook.Regions {
	t, _ := x.gateway.deps.Tables.Table()
	if t == nil || t == x.table {
		return x.regions
	}
	r := t.Route(x.r.Host, x.r.URL.Path)
	return x.regions.Intersect(routing.Regions(r, t.Owner(r, x.inbound.Key)))
}

// elapsed returns the time since the request arrived.
func (x *exchange) elapsed() time.Duration { return x.gateway.deps.Clock.Now().Sub(x.start) }

// finish logs the result and reports it to the observer. If err is not nil, it
// writes the error response, or aborts the connection if the response has begun
// or the caller has disconnected.
func (x *exchange) finish(err error) {
	deps := x.gateway.deps
	fields := logrus.Fields{
		"request": x.inbound.ID, "customer": x.customer, "class": x.class.Name(), "ms": x.elapsed().Milliseconds(),
		"attempts": x.attempts, "attempts-not-sent": x.unsent, "upstream": x.attempt.Upstream.ID,
	}
	if x.table != nil {
		fields["table"] = x.table.Version
	}
	if x.regions.Restricted {
		fields["regions"], fields["upstream-region"] = x.regions, x.attempt.Upstream.Region
	}
	if x.rateLimit > 0 {
		fields["upstream-limit"] = x.rateLimit
	}
	if x.forwardedTo != "" {
		fields["forwarded-to"] = x.forwardedTo
	}
	if x.hop != nil {
		fields["forwarded"] = true
	}
	addBuild(fields, x.attempt.Upstream)
	x.addConnFields(fields)
	if err == nil {
		first := x.elapsed()
		if !x.stream.firstEventTime.IsZero() {
			first = x.stream.firstEventTime.Sub(x.start)
		}
		fields["first-ms"], fields["tokens"], fields["gap-ms"] = first.Milliseconds(), x.stream.events.count, x.stream.maxGap.Milliseconds()
		deps.Observer.Served(x.class, x.customer, first, x.stream.maxGap, x.stream.events.count)
		deps.Log.WithFields(fields).Info("request served")
		return
	}
	e := x.callerError(err)
	maps.Copy(fields, x.failureFields())
	fields["kind"], fields["status"], fields["error"], fields["may-run"] = e.Kind, e.Status, e.Error(), x.mayHaveRun
	if e.RetryAfter > 0 {
		fields["retry-after-ms"] = e.RetryAfter.Milliseconds()
	}
	deps.Observer.Failed(x.class, x.customer, string(e.Kind))
	deps.Log.WithFields(fields).Info("request failed")
	if x.stream.headerSent || e.Kind == ErrorCallerGone {
		// A response that was begun must not look complete.
		panic(http.ErrAbortHandler)
	}
	if x.hop != nil {
		hopEnd{outcome: outcomeOf(e.Status), kind: e.Kind, runs: x.runs}.write(x.w.Header())
	}
	writeError(x.w, e, x.inbound.ID)
}

// failureFields returns the log fields of a failed attempt. Requests that failed on
// the same upstream before their first event can be compared by their shared
// prompt parts.
func (x *exchange) failureFields() logrus.Fields {
	fields := logrus.Fields{
		"request": x.inbound.ID, "upstream": x.attempt.Upstream.ID, "attempt-events": x.stream.events.count - x.eventsBefore,
		"connection": x.connection, "connection-reused": x.reused,
		"shared-parts": formatParts(quetzalhook.SharedParts(x.inbound.Parts)),
	}
	addBuild(fields, x.attempt.Upstream)
	return fields
}

// addBuild adds the build of an upstream to the log fields, if it is known.
func addBuild(fields logrus.Fields, u quetzalhook.Upstream) {
	if u.Build != "" {
		fields["upstream-build"] = u.Build
	}
}

// addConnFields adds the use of the caller's connection to the log fields and, during
// a stop, how long before the request the stop began.
func (x *exchange) addConnFields(fields logrus.Fields) {
	if x.conn != nil {
		fields["conn-requests"], fields["conn-age-ms"] = x.conn.Requests(), x.conn.Age().Milliseconds()
	}
	if s := x.gateway.stop.Load(); s != nil {
		fields["stopping-ms"] = x.start.Sub(s.Start).Milliseconds()
	}
}

// formatParts returns the hashes of prompt parts in hexadecimal, as callers send
// them, separated by commas.
func formatParts(parts []quetzalhook.PromptPart) string {
	hashes := make([]string, len(parts))
	for i, p := range parts {
		hashes[i] = strconv.FormatUint(p.Hash, 16)
	}
	return strings.Join(hashes, ",")
}

// callerError returns the error to send to the caller for any failure. A refusal
// tells the outcome of the latest attempt only, not that of earlier ones.
func (x *exchange) callerError(err error) *Error {
	var own *Error
	var refusal *quetzalhook.Refusal
	switch {
	case errors.As(err, &own) && !(x.mayHaveRun && impliesNotRun(own.Status)):
		return own
	case x.r.Context().Err() != nil:
		return &Error{Op: "relay", Kind: ErrorCallerGone, Status: statusCallerGone, Message: "the caller disconnected"}
	case x.ctx != nil && context.Cause(x.ctx) == errStopping:
		return x.endedByStop()
	case x.mayHaveRun && errors.Is(err, errTimeout):
		return &Error{Op: "relay", Kind: ErrorTimeout, Status: http.StatusGatewayTimeout, Message: "no complete answer in time"}
	case x.mayHaveRun:
		return &Error{Op: "relay", Kind: ErrorBroken, Status: http.StatusBadGateway, Message: cmp.Or(response.Explain(err), "the upstream failed after the request was sent"), Err: err}
	case errors.As(err, &refusal) && refusal.Kind == quetzalhook.RefuseRegion:
		return &Error{Op: "dispatch", Kind: ErrorRegion, Status: http.StatusServiceUnavailable, Message: refusal.Error(), RetryAfter: refusal.RetryAfter}
	case errors.As(err, &refusal) && refusal.Kind == quetzalhook.RefuseBuild:
		return &Error{Op: "dispatch", Kind: ErrorBuild, Status: http.StatusServiceUnavailable, Message: refusal.Error(), RetryAfter: refusal.RetryAfter}
	case errors.As(err, &refusal):
		return &Error{Op: "dispatch", Kind: ErrorRefused, Status: http.StatusServiceUnavailable, Message: refusal.Error(), RetryAfter: refusal.RetryAfter}
	case errors.Is(err, errTimeout):
		return &Error{Op: "dispatch", Kind: ErrorTimeout, Status: http.StatusServiceUnavailable, Message: "no upstream was free in time"}
	}
	return &Error{Op: "relay", Kind: ErrorRefused, Status: http.StatusServiceUnavailable, Message: "no upstream took the request", Err: err}
}

// statusCallerGone is logged as the status if the caller disconnected. It is
// never sent.
const statusCallerGone = 499
