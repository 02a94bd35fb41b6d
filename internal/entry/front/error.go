package front

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"quetzalhook"
	"quetzalhook/internal/entry/relay"
	"quetzalhook/internal/state/invariant"
)

// shortRetry is what callers are told to wait after a passing condition.
const shortRetry = time.Second

// Error is the error type of this package: what a caller is told.
type Error struct {
	Op         string
	Kind       string
	Status     int
	Message    string
	Outcome    quetzalhook.Outcome
	RetryAfter time.Duration
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s", e.Kind, e.Message) }

func notRun(status int, kind, message string, retry time.Duration) error {
	return &Error{Op: "serve", Kind: kind, Status: status, Message: message, Outcome: quetzalhook.OutcomeNotRun, RetryAfter: retry}
}

func unknown(status int, kind, message string) error {
	return &Error{Op: "serve", Kind: kind, Status: status, Message: message, Outcome: quetzalhook.OutcomeUnknown}
}

// ErrorBody is the JSON body of a failure.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes a failure to a caller.
type ErrorDetail struct {
	Kind         string                `json:"kind"`
	Message      string                `json:"message"`
	Outcome      quetzalhook.Outcome   `json:"outcome"`
	RetryAfterMS int64                 `json:"retry-after-ms,omitempty"`
	RequestID    quetzalhook.RequestID `json:"request-id"`
}

var refusalStatus = map[quetzalhook.RefuseKind]int{
	quetzalhook.RefuseLimit:       http.StatusTooManyRequests,
	quetzalhook.RefuseOverload:    http.StatusServiceUnavailable,
	quetzalhook.RefuseNoUpstream:  http.StatusNotFound,
	quetzalhook.RefuseLate:        http.StatusServiceUnavailable,
	quetzalhook.RefuseRetryBudget: http.StatusBadGateway,
}

// describe turns any failure into what the caller is told.
func (x *exchange) describe(err error) *Error {
	var own *Error
	var relayed *relay.Error
	switch {
	case x.ctx != nil && errors.Is(context.Cause(x.ctx), errWithdrawn):
		own = &Error{Kind: string(quetzalhook.KeyWithdrawn), Status: http.StatusUnauthorized, Message: errWithdrawn.Error()}
	case errors.As(err, &own):
		copied := *own
		own = &copied
	case errors.As(err, &relayed):
		own = fromRelay(relayed)
	default:
		own = &Error{Kind: "internal", Status: http.StatusInternalServerError, Message: err.Error()}
	}
	if x.sent.Load() {
		own.Outcome = quetzalhook.OutcomeUnknown
	} else if own.Outcome == "" {
		own.Outcome = quetzalhook.OutcomeNotRun
	}
	return own
}

func fromRelay(e *relay.Error) *Error {
	out := &Error{Op: e.Op, Kind: string(e.Kind), Status: http.StatusBadGateway, Message: e.Error(), Outcome: e.Outcome, RetryAfter: e.RetryAfter}
	switch e.Kind {
	case relay.KindRefused:
		out.Kind, out.Status = string(e.Refusal), refusalStatus[e.Refusal]
	case relay.KindBadRequest:
		out.Status = http.StatusBadRequest
	case relay.KindSecret:
		out.Status = http.StatusBadRequest
	case relay.KindKey:
		out.Kind, out.Status = keyKind(e), http.StatusUnauthorized
	case relay.KindUpstream:
		out.Status = e.Status
	}
	return out
}

// keyKind returns why a key was refused right before a send.
func keyKind(err error) string {
	var e *quetzalhook.KeyError
	if errors.As(err, &e) {
		return string(e.Kind)
	}
	return "wrong-customer"
}

// fail tells the caller of a failure, in the response or as the last event of
// a stream that has begun.
func (x *exchange) fail(err error) {
	e := x.describe(err)
	f := x.front
	f.deps.Invariants.Check(invariant.TrueRefusal, e.Outcome != quetzalhook.OutcomeNotRun || !x.written.Load(), "request", x.id, "kind", e.Kind)
	body := ErrorBody{Error: ErrorDetail{
		Kind: e.Kind, Message: e.Message, Outcome: e.Outcome, RetryAfterMS: e.RetryAfter.Milliseconds(), RequestID: x.id,
	}}
	f.deps.Meter.Refused(x.owner.Customer, x.class.Name())
	f.deps.Meter.Add("errors-"+e.Kind, 1)
	x.log().WithFields(logrus.Fields{"kind": e.Kind, "outcome": e.Outcome, "status": e.Status, "error": err}).Info("request failed")
	if answer, ok := x.w.(interface{ opened() bool }); ok && answer.opened() {
		x.failStream(body)
		return
	}
	writeError(x.w, e, body)
}

// failStream ends a streamed answer with an error event and closes the
// connection without the event that marks a complete answer.
func (x *exchange) failStream(body ErrorBody) {
	data, _ := json.Marshal(body)
	control := http.NewResponseController(x.w)
	_ = control.SetWriteDeadline(time.Now().Add(time.Second))
	_, _ = x.w.Write(append(append([]byte("data: "), data...), "\n\n"...))
	_ = control.Flush()
	panic(http.ErrAbortHandler)
}

func writeError(w http.ResponseWriter, e *Error, body ErrorBody) {
	w.Header().Set("Content-Type", "application/json")
	if e.RetryAfter > 0 {
		seconds := int64((e.RetryAfter + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	w.WriteHeader(e.Status)
	_ = json.NewEncoder(w).Encode(body)
}

func (x *exchange) log() logrus.FieldLogger {
	return x.front.deps.Log.WithFields(logrus.Fields{
		"request": x.id, "customer": x.owner.Customer, "class": x.class.Name(),
		"ms": x.front.deps.Clock.Now().Sub(x.start).Milliseconds(),
	})
}
