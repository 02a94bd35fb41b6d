// Package relay sends a request to its upstream and returns the response to the
// caller.
//
// A chat answer whose stream breaks is resumed on another upstream from the
// text received so far, so that the caller gets the complete answer and each
// token once. A service call that may not be repeated is sent at most once. It
// uses a new connection, without the Idempotency-Key header and the GetBody that
// make net/http retry on its own.
package relay

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"quetzalhook"
	"quetzalhook/internal/entry/broker"
)

const (
	// HeaderRequestID is the header that carries the request ID to callers and
	// upstreams.
	HeaderRequestID = "X-Request-Id"

	// progressInterval is the number of tokens between two progress reports to
	// the policy.
	progressInterval = 8
	// maxEventSize limits one server-sent event of an upstream, in bytes.
	maxEventSize = 1 << 20
	// earlyTimeoutAttempts is the number of attempts of an urgent request that
	// get a shorter timeout for the first token, so that another upstream can
	// still meet the target.
	earlyTimeoutAttempts = 2
	// maxErrorBody limits how much of an upstream's error response is read, in
	// bytes.
	maxErrorBody = 16 << 10
)

// ErrStopped is the cause of a request's context that the end of a stop has ended.
var ErrStopped = errors.New("the host stopped before the answer was complete")

var (
	errStalled    = errors.New("the upstream sent nothing within the stall timeout")
	errIncomplete = errors.New("the upstream's stream ended before the answer was complete")
)

// Relay sends the requests of one host to upstreams. It is safe for concurrent
// use.
type Relay struct {
	broker            *broker.Broker
	pool              *Pool
	invariants        quetzalhook.Invariants
	firstStallTimeout time.Duration
	nextStallTimeout  time.Duration
	keys              quetzalhook.KeyRing
	pending           *pendingCalls
}

// Option sets one property of a Relay.
type Option func(*Relay)

// WithStallTimeouts sets how long an upstream may take until the first token,
// in addition to the time to process the prompt, and between two tokens.
func WithStallTimeouts(first, next time.Duration) Option {
	return func(r *Relay) { r.firstStallTimeout, r.nextStallTimeout = first, next }
}

// WithKeys sets the key ring in which the owner of a key is looked up right
// before each send.
func WithKeys(k quetzalhook.KeyRing) Option {
	return func(r *Relay) { r.keys = k }
}

const (
	defaultFirstStallTimeout = 3 * time.Second
	// defaultNextStallTimeout is about 20 times the gap between two tokens that
	// callers expect. With 2 s, answers cut off by silent connections wasted up
	// to 2.7% of the tokens in a run of the demo; the target is 2%.
	defaultNextStallTimeout = time.Second
	// minPrefillRate is the slowest prompt processing, in tokens/s, that the
	// timeout for the first token allows for.
	minPrefillRate = 2000
)

// New returns a Relay with the default stall timeouts and no key ring.
func New(b *broker.Broker, pool *Pool, inv quetzalhook.Invariants, opts ...Option) *Relay {
	r := &Relay{
		broker: b, pool: pool, invariants: inv, firstStallTimeout: defaultFirstStallTimeout, nextStallTimeout: defaultNextStallTimeout,
		pending: newPendingCalls(),
	}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// Call is one chat request to send, with the Answer that writes its response.
type Call struct {
	Request quetzalhook.Request
	Chat    *ChatRequest
	Answer  *Answer
	Guard
}

// Chat runs a submitted chat request until it is answered, refused or failed.
// After a failed attempt that may be repeated it waits for the policy to start
// another one.
func (r *Relay) Chat(t *broker.Ticket, call Call) error {
	for tries := 1; ; tries++ {
		attempt, err := t.Next()
		if err != nil {
			return r.endWaiting(t, err)
		}
		err = r.runAttempt(t, attempt, call, tries)
		if err == nil {
			// The policy learns answer lengths from the last progress report.
			r.broker.Progress(t, call.Answer.tokens)
			r.broker.End(t, quetzalhook.EndFinished)
			return nil
		}
		if retry, final := r.endAttempt(t, attempt, call, err); !retry {
			return final
		}
	}
}

// endWaiting handles an error of Ticket.Next: it ends the request and returns
// the error for the caller.
func (r *Relay) endWaiting(t *broker.Ticket, err error) error {
	var refusal *broker.Refusal
	if errors.As(err, &refusal) {
		return &Error{
			Op: "queue", Kind: KindRefused, Outcome: refusal.Outcome, Refusal: refusal.Kind, RetryAfter: refusal.RetryAfter, Err: err,
		}
	}
	r.broker.End(t, quetzalhook.EndCallerGone)
	return &Error{Op: "queue", Kind: KindCallerGone, Outcome: quetzalhook.OutcomeUnknown, Err: err}
}

// endAttempt reports a failed attempt to the broker. It returns whether to wait
// for another attempt, and otherwise the error for the caller.
func (r *Relay) endAttempt(t *broker.Ticket, attempt *broker.Attempt, call Call, err error) (retry bool, final error) {
	if cause, ok := attempt.Cancelled(); ok {
		return r.endCancelled(t, call, cause, err)
	}
	var e *Error
	if !errors.As(err, &e) {
		e = &Error{Op: "chat", Kind: KindBroken, Outcome: quetzalhook.OutcomeUnknown, Err: err}
	}
	switch {
	case e.Kind == KindNotSent:
		r.broker.End(t, quetzalhook.EndNotSent)
		return true, nil
	case e.Kind == KindBroken && call.canResume():
		r.broker.End(t, quetzalhook.EndBroken)
		return true, nil
	case e.Kind == KindBroken, e.Kind == KindCallerGone:
		r.broker.End(t, quetzalhook.EndCallerGone)
	default:
		r.broker.End(t, quetzalhook.EndFinished) // the upstream answered
	}
	return false, e
}

// endCancelled handles an attempt that the policy cancelled. Its results are
// those of endAttempt.
func (r *Relay) endCancelled(t *broker.Ticket, call Call, cause quetzalhook.CancelCause, err error) (retry bool, final error) {
	switch {
	case cause == quetzalhook.CauseLate:
		return false, &Error{
			Op: "chat", Kind: KindRefused, Outcome: quetzalhook.OutcomeUnknown, Refusal: quetzalhook.RefuseLate, Err: err,
		}
	case !call.canResume():
		r.broker.End(t, quetzalhook.EndCallerGone)
		return false, &Error{Op: "chat", Kind: KindBroken, Outcome: quetzalhook.OutcomeUnknown, Err: err}
	}
	r.broker.End(t, quetzalhook.EndCancelled)
	return true, nil
}

// runAttempt sends the request to one upstream and passes its response on to
// the caller.
func (r *Relay) runAttempt(t *broker.Ticket, attempt *broker.Attempt, call Call, tries int) error {
	ctx, stall := withStallTimeout(attempt.Context(), r.firstTokenTimeout(call, attempt.Upstream, tries))
	defer stall.stop()
	defer r.closeIdleAfterStall(ctx, attempt.Upstream)
	resp, err := r.send(ctx, attempt, call)
	if err != nil {
		return r.classify(ctx, attempt, err)
	}
	defer resp.Body.Close()
	if !answersRequest(resp, call.Request.ID) {
		return wrongRequestError(call.Request.ID, resp)
	}
	if resp.StatusCode != http.StatusOK {
		return upstreamError(resp)
	}
	if call.Chat.passThrough && !call.Chat.stream {
		err = r.copyObject(resp, call)
	} else {
		err = r.copyEvents(t, attempt, resp, call, stall)
		if err != nil && call.hasAllTokens() {
			err = callerGoneError(call.finishAnswer())
		}
	}
	return r.classify(ctx, attempt, err)
}

// classify converts a transport error to an *Error. It returns nil and errors
// that already are an *Error unchanged.
func (r *Relay) classify(ctx context.Context, attempt *broker.Attempt, err error) error {
	var e *Error
	if err == nil || errors.As(err, &e) {
		return err
	}
	kind := KindBroken
	if attempt.Context().Err() != nil {
		kind = KindCallerGone
	}
	if errors.Is(context.Cause(ctx), errStalled) {
		err = errStalled
	}
	return &Error{Op: "stream", Kind: kind, Outcome: quetzalhook.OutcomeUnknown, Err: err}
}

// upstreamError returns the error for a response with a status other than 200.
// Statuses 429 and 5xx count as broken, so that the request may be tried
// elsewhere.
func upstreamError(resp *http.Response) error {
	body, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBody))
	kind := KindUpstream
	if resp.StatusCode >= http.StatusInternalServerError || resp.StatusCode == http.StatusTooManyRequests {
		kind = KindBroken
	}
	return &Error{
		Op: "stream", Kind: kind, Outcome: quetzalhook.OutcomeUnknown, Status: resp.StatusCode,
		Err: errors.Errorf("upstream status %d: %s", resp.StatusCode, bytes.TrimSpace(body)),
	}
}
