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
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/tmaxmax/go-sse"

	"quetzalhook"
	"quetzalhook/internal/entry/broker"
	"quetzalhook/internal/state/invariant"
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
	wasted     func(Call, int)
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

// WithWasted sets a function that learns of tokens generated in vain.
func WithWasted(f func(call Call, tokens int)) Option {
	return func(r *Relay) { r.wasted = f }
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
		wasted: func(Call, int) {}, waiting: newMailbox(),
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

// Guard carries what is checked right before a request is sent.
type Guard struct {
	// Secret is the caller's key, which must not reach an upstream.
	Secret string
	// Key identifies the secret.
	Key quetzalhook.KeyID
	// Sent is set before the first byte of a request may leave the host.
	Sent *atomic.Bool
	// Written is set when net/http has written the headers of a request. It
	// serves only to check what callers are told by Sent.
	Written *atomic.Bool
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
	if cause, ok := attempt.Cancelled(); ok && cause == quetzalhook.CauseDoomed {
		r.wasted(call, call.Answer.Tokens())
		return false, &Error{Op: "chat", Kind: KindRefused, Outcome: quetzalhook.OutcomeUnknown, Refusal: quetzalhook.RefuseLate, Err: err}
	} else if ok {
		if call.Answer.noResume {
			r.broker.End(t, quetzalhook.EndCallerGone)
			return false, &Error{Op: "chat", Kind: KindBroken, Outcome: quetzalhook.OutcomeUnknown, Err: err}
		}
		r.broker.End(t, quetzalhook.EndCancelled)
		return true, nil
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
	}
	if e.Kind != KindCallerGone {
		r.broker.End(t, quetzalhook.EndFinished)
		return false, e
	}
	r.wasted(call, call.Answer.Tokens())
	r.broker.End(t, quetzalhook.EndCallerGone)
	return false, e
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

// firstTimeout bounds the time to the first token. The first tries of an
// urgent request get half of its target and the time to read the prompt: a
// silent connection or a straggler shows only by its silence, and another
// upstream can then still answer in time.
func (r *Relay) firstTimeout(call Call, id quetzalhook.UpstreamID, tries int) time.Duration {
	tokens := time.Duration(call.Request.PromptTokens)
	timeout := r.firstStall + tokens*time.Second/promptStallRate
	target := call.Request.Class.TTFTTarget()
	if !call.Request.Class.IsUrgent() || target == 0 || tries > urgentTries || call.Answer.tokens > 0 {
		return timeout
	}
	early := target / 2
	if t := r.pool.get(id); t != nil && t.upstream.PrefillRate > 0 {
		early += time.Duration(float64(tokens) / t.upstream.PrefillRate * float64(time.Second))
	}
	return min(early, timeout)
}

// closeSilent closes the idle connections to an upstream that has stalled,
// since they may be silent as well.
func (r *Relay) closeSilent(ctx context.Context, id quetzalhook.UpstreamID) {
	if !errors.Is(context.Cause(ctx), errStalled) {
		return
	}
	if client, _, ok := r.pool.Client(id); ok {
		client.CloseIdleConnections()
	}
}

// namesRequest reports whether a response belongs to the request; an upstream
// that does not name one is believed.
func namesRequest(resp *http.Response, id quetzalhook.RequestID) bool {
	named := resp.Header.Get(HeaderRequestID)
	return named == "" || named == string(id)
}

func errCrossed(id quetzalhook.RequestID, resp *http.Response) error {
	return &Error{
		Op: "answer", Kind: KindBroken, Outcome: quetzalhook.OutcomeUnknown,
		Err: errors.Errorf("the upstream answered request %s with the answer to %q", id, resp.Header.Get(HeaderRequestID)),
	}
}

func (r *Relay) send(ctx context.Context, attempt *broker.Attempt, call Call) (*http.Response, error) {
	client, base, ok := r.pool.Client(attempt.Upstream)
	if !ok {
		return nil, &Error{Op: "send", Kind: KindNotSent, Outcome: quetzalhook.OutcomeNotRun, Err: errors.New("upstream is not configured")}
	}
	body, err := call.Chat.body(call.Request.Class.Tier(), call.Answer.text.String(), call.Answer.tokens)
	if err != nil {
		return nil, err
	}
	r.checkResume(call, attempt.Upstream, body)
	var connected atomic.Bool
	ctx = call.trace(ctx, &connected)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(HeaderRequestID, string(call.Request.ID))
	if err := r.check(call.Guard, call.Request.Customer, req, body); err != nil {
		return nil, err
	}
	resp, err := client.Do(req)
	if err != nil && !connected.Load() {
		return nil, &Error{Op: "send", Kind: KindNotSent, Outcome: quetzalhook.OutcomeNotRun, Err: err}
	}
	if err != nil {
		client.CloseIdleConnections()
	}
	return resp, errors.WithStack(err)
}

// trace notes when a connection is at hand, from where on bytes may leave.
func (g Guard) trace(ctx context.Context, connected *atomic.Bool) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) {
			connected.Store(true)
			if g.Sent != nil {
				g.Sent.Store(true)
			}
		},
		WroteHeaders: func() {
			if g.Written != nil {
				g.Written.Store(true)
			}
		},
	})
}

// check runs right before a send: the key must still belong to the customer,
// and must be in no part of the request. A request that fails is not sent.
func (r *Relay) check(g Guard, customer quetzalhook.CustomerID, req *http.Request, body []byte) error {
	if err := r.checkOwner(req.Context(), g, customer); err != nil {
		return err
	}
	found := ContainsSecret(g.Secret, req.URL.String(), string(body))
	for _, values := range req.Header {
		found = found || ContainsSecret(g.Secret, values...)
	}
	r.invariants.Check(invariant.KeyNotForwarded, !found, "path", req.URL.Path)
	if found {
		return &Error{Op: "send", Kind: KindSecret, Outcome: quetzalhook.OutcomeNotRun}
	}
	return nil
}

func (r *Relay) checkOwner(ctx context.Context, g Guard, customer quetzalhook.CustomerID) error {
	if r.keys == nil {
		return nil
	}
	owner, err := r.keys.Lookup(ctx, g.Secret)
	if err != nil {
		return &Error{Op: "send", Kind: KindKey, Outcome: quetzalhook.OutcomeNotRun, Err: err}
	}
	same := owner.Customer == customer
	r.invariants.Check(invariant.KeyOwner, same, "customer", customer, "owner", owner.Customer)
	if !same {
		return &Error{Op: "send", Kind: KindKey, Outcome: quetzalhook.OutcomeNotRun, Err: errors.New("the key belongs to another customer")}
	}
	return nil
}

// ContainsSecret reports whether any text holds the secret.
func ContainsSecret(secret string, texts ...string) bool {
	if secret == "" {
		return false
	}
	for _, text := range texts {
		if strings.Contains(text, secret) {
			return true
		}
	}
	return false
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

func (r *Relay) copyWhole(resp *http.Response, call Call) error {
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return errors.WithStack(err)
	}
	var parsed struct {
		Usage Usage `json:"usage"`
	}
	if err := json.Unmarshal(body, &parsed); err != nil {
		return errors.WithStack(err)
	}
	call.Answer.tokens = parsed.Usage.CompletionTokens
	call.Answer.first = call.Answer.now()
	return callerGone(call.Answer.whole(body))
}

// copyEvents passes the events of one attempt on until the answer is
// complete.
func (r *Relay) copyEvents(t *broker.Ticket, attempt *broker.Attempt, resp *http.Response, call Call, stall *stall) error {
	answer, before, id := call.Answer, call.Answer.tokens, ""
	var usage *Usage
	for event, err := range sse.Read(resp.Body, &sse.ReadConfig{MaxEventSize: maxEvent}) {
		if err != nil {
			return errors.WithStack(err)
		}
		if event.Data == "[DONE]" {
			return r.complete(call, attempt, answer.tokens-before, usage)
		}
		var c chunk
		if err := json.Unmarshal([]byte(event.Data), &c); err != nil {
			return errors.Wrap(err, "event of the upstream")
		}
		if c.Error != nil {
			return errors.Errorf("the upstream reports an error: %s", c.Error)
		}
		if id == "" {
			id = c.ID
		}
		if c.ID != id {
			return errors.Errorf("the upstream mixed answers %q and %q", id, c.ID)
		}
		if c.Usage != nil {
			usage = c.Usage
		}
		// The time that a slow reader takes is not the upstream's.
		stall.pause()
		if err := callerGone(answer.take(c)); err != nil {
			return err
		}
		stall.extend(r.nextStall)
		r.report(t, call, before)
	}
	return errIncomplete
}

// hasAllTokens reports whether the answer cannot grow, since the upstream
// gave the reason of its end or the caller's bound is reached. A resume would
// then add a token that is not part of the answer.
func (c Call) hasAllTokens() bool {
	if c.Chat.opaque || c.Answer.tokens == 0 {
		return false
	}
	return c.Answer.finish != nil || c.Chat.maxTokens > 0 && c.Answer.tokens >= c.Chat.maxTokens
}

// finish ends an answer that has all tokens in place of its upstream.
func (c Call) finish() error {
	if c.Answer.finish == nil {
		reason := "length"
		if err := c.Answer.take(chunk{Choices: []choice{{FinishReason: &reason}}}); err != nil {
			return err
		}
	}
	return c.Answer.finished(c.Request.PromptTokens)
}

// report tells the policy of the first token and then of every few.
func (r *Relay) report(t *broker.Ticket, call Call, before int) {
	if n := call.Answer.tokens - before; n != 1 && n%progressTokens != 0 {
		return
	}
	r.broker.Progress(t, call.Answer.tokens)
	if r.keys != nil {
		r.keys.CheckOpen(call.Key)
	}
}

// complete checks that every token that the upstream counted has arrived and
// writes the end of the answer.
func (r *Relay) complete(call Call, attempt *broker.Attempt, received int, usage *Usage) error {
	answer := call.Answer
	if answer.finish == nil {
		return errIncomplete
	}
	// An event may hold several tokens, but never less than one.
	whole := usage == nil || received <= usage.CompletionTokens
	r.invariants.Check(invariant.WholeAnswer, whole, "request", call.Request.ID, "upstream", attempt.Upstream, "received", received, "usage", usage)
	return callerGone(answer.finished(call.Request.PromptTokens))
}

func callerGone(err error) error {
	if err == nil {
		return nil
	}
	return &Error{Op: "answer", Kind: KindCallerGone, Outcome: quetzalhook.OutcomeUnknown, Err: err}
}
