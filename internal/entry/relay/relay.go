// Package relay carries one request to its upstream and the answer back.
//
// A chat answer that breaks off is resumed on another upstream from the text
// received so far, so that the caller gets the whole answer and each token
// once. A call to a service that may not be repeated is sent at most once, on
// a fresh connection and without anything that makes net/http repeat it.
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
	// HeaderRequestID carries the request's identifier to callers and
	// upstreams.
	HeaderRequestID = "X-Request-Id"

	// progressTokens is the number of tokens between two progress reports.
	progressTokens = 8
	// maxEvent bounds one event of an upstream in bytes.
	maxEvent = 1 << 20
	// urgentTries is the number of attempts of an urgent request that are given
	// up early for another one.
	urgentTries = 2
	// maxErrorBody bounds what is read of an upstream's error response.
	maxErrorBody = 16 << 10
)

var (
	errStalled    = errors.New("the upstream sent nothing within the stall timeout")
	errIncomplete = errors.New("the upstream's stream ended before the answer was complete")
)

// Relay sends requests of one host. It is safe for concurrent use.
type Relay struct {
	broker     *broker.Broker
	pool       *Pool
	invariants quetzalhook.Invariants
	firstStall time.Duration
	nextStall  time.Duration
	keys       quetzalhook.KeyRing
	waiting    *mailbox
}

// Option sets one property of a Relay.
type Option func(*Relay)

// WithStallTimeouts sets how long an upstream may take to the first token,
// beyond the time to read the prompt, and between two tokens.
func WithStallTimeouts(first, next time.Duration) Option {
	return func(r *Relay) { r.firstStall, r.nextStall = first, next }
}

// WithKeys sets where a key's owner is looked up right before each send.
func WithKeys(k quetzalhook.KeyRing) Option {
	return func(r *Relay) { r.keys = k }
}

const (
	defaultFirstStall = 3 * time.Second
	// defaultNextStall is about 20 times the gap between two tokens that callers
	// expect. At 2 s the answers cut off by silent connections wasted up to
	// 2.7% of the tokens of a run of the demo; the target is 2%.
	defaultNextStall = time.Second
	// promptStallRate is the prompt tokens/s that the stall timeout allows for.
	promptStallRate = 2000
)

// New returns a relay.
func New(b *broker.Broker, pool *Pool, inv quetzalhook.Invariants, opts ...Option) *Relay {
	r := &Relay{
		broker: b, pool: pool, invariants: inv, firstStall: defaultFirstStall, nextStall: defaultNextStall,
		waiting: newMailbox(),
	}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// Call describes one chat request to be relayed.
type Call struct {
	Request quetzalhook.Request
	Chat    *ChatRequest
	Answer  *Answer
	Guard
}

// Chat runs a submitted chat request to its end.
func (r *Relay) Chat(t *broker.Ticket, call Call) error {
	for tries := 1; ; tries++ {
		attempt, err := t.Next()
		if err != nil {
			return r.notStarted(t, err)
		}
		err = r.attempt(t, attempt, call, tries)
		if err == nil {
			// The policy learns the length of answers from the last progress.
			r.broker.Progress(t, call.Answer.tokens)
			r.broker.End(t, quetzalhook.EndFinished)
			return nil
		}
		if retry, final := r.ended(t, attempt, call, err); !retry {
			return final
		}
	}
}

// notStarted handles the end of a request that waits for an attempt.
func (r *Relay) notStarted(t *broker.Ticket, err error) error {
	var refusal *broker.Refusal
	if errors.As(err, &refusal) {
		return &Error{
			Op: "queue", Kind: KindRefused, Outcome: refusal.Outcome, Refusal: refusal.Kind, RetryAfter: refusal.RetryAfter, Err: err,
		}
	}
	r.broker.End(t, quetzalhook.EndCallerGone)
	return &Error{Op: "queue", Kind: KindCallerGone, Outcome: quetzalhook.OutcomeUnknown, Err: err}
}

// ended reports the end of a failed attempt and whether to wait for another.
func (r *Relay) ended(t *broker.Ticket, attempt *broker.Attempt, call Call, err error) (retry bool, final error) {
	if cause, ok := attempt.Cancelled(); ok {
		return r.cancelled(t, call, cause, err)
	}
	var e *Error
	if !errors.As(err, &e) {
		e = &Error{Op: "chat", Kind: KindBroken, Outcome: quetzalhook.OutcomeUnknown, Err: err}
	}
	switch {
	case e.Kind == KindNotSent:
		r.broker.End(t, quetzalhook.EndNotSent)
		return true, nil
	case e.Kind == KindBroken && !call.Answer.noResume:
		r.broker.End(t, quetzalhook.EndBroken)
		return true, nil
	case e.Kind == KindBroken, e.Kind == KindCallerGone:
		r.broker.End(t, quetzalhook.EndCallerGone)
	default:
		r.broker.End(t, quetzalhook.EndFinished) // the upstream answered
	}
	return false, e
}

// cancelled handles the end of an attempt that the policy cancelled.
func (r *Relay) cancelled(t *broker.Ticket, call Call, cause quetzalhook.CancelCause, err error) (retry bool, final error) {
	switch {
	case cause == quetzalhook.CauseLate:
		return false, &Error{
			Op: "chat", Kind: KindRefused, Outcome: quetzalhook.OutcomeUnknown, Refusal: quetzalhook.RefuseLate, Err: err,
		}
	case call.Answer.noResume:
		r.broker.End(t, quetzalhook.EndCallerGone)
		return false, &Error{Op: "chat", Kind: KindBroken, Outcome: quetzalhook.OutcomeUnknown, Err: err}
	}
	r.broker.End(t, quetzalhook.EndCancelled)
	return true, nil
}

// attempt sends the request to one upstream and passes its answer on.
func (r *Relay) attempt(t *broker.Ticket, attempt *broker.Attempt, call Call, tries int) error {
	ctx, stall := withStall(attempt.Context(), r.firstTimeout(call, attempt.Upstream, tries))
	defer stall.stop()
	defer r.closeSilent(ctx, attempt.Upstream)
	resp, err := r.send(ctx, attempt, call)
	if err != nil {
		return r.classify(ctx, attempt, err)
	}
	defer resp.Body.Close()
	if !namesRequest(resp, call.Request.ID) {
		return errCrossed(call.Request.ID, resp)
	}
	if resp.StatusCode != http.StatusOK {
		return upstreamError(resp)
	}
	if call.Chat.opaque && !call.Chat.stream {
		err = r.copyWhole(resp, call)
	} else {
		err = r.copyEvents(t, attempt, resp, call, stall)
		if err != nil && call.hasAllTokens() {
			err = callerGone(call.finish())
		}
	}
	return r.classify(ctx, attempt, err)
}

// classify turns a transport error into an Error; errors that already are
// one, and nil, stay.
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
