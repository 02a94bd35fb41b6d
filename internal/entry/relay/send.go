package relay

import (
	"bytes"
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"quetzalhook"
	"quetzalhook/internal/entry/broker"
)

// firstTokenTimeout returns the timeout for the first token. The first attempts
// of an urgent request get only half of the time-to-first-token target plus the
// time to process the prompt: a silent connection or a slow upstream can be
// recognised only by its silence, and another upstream can then still answer in
// time.
func (r *Relay) firstTokenTimeout(call Call, id quetzalhook.UpstreamID, tries int) time.Duration {
	tokens := time.Duration(call.Request.PromptTokens)
	timeout := r.firstStallTimeout + tokens*time.Second/minPrefillRate
	target := call.Request.Class.TTFTTarget()
	if !call.Request.Class.IsUrgent() || target == 0 || tries > earlyTimeoutAttempts || call.Answer.tokens > 0 {
		return timeout
	}
	early := target / 2
	if c := r.pool.get(id); c != nil && c.upstream.PrefillRate > 0 {
		early += time.Duration(float64(tokens) / c.upstream.PrefillRate * float64(time.Second))
	}
	return min(early, timeout)
}

// closeIdleAfterStall closes the idle connections to an upstream after a stall,
// since they may be silent as well.
func (r *Relay) closeIdleAfterStall(ctx context.Context, id quetzalhook.UpstreamID) {
	if !errors.Is(context.Cause(ctx), errStalled) {
		return
	}
	if client, _, ok := r.pool.Client(id); ok {
		client.CloseIdleConnections()
	}
}

// answersRequest reports whether a response belongs to the request. A response
// without the request ID header counts as belonging to it.
func answersRequest(resp *http.Response, id quetzalhook.RequestID) bool {
	named := resp.Header.Get(HeaderRequestID)
	return named == "" || named == string(id)
}

// wrongRequestError returns the error for a response that belongs to another
// request.
func wrongRequestError(id quetzalhook.RequestID, resp *http.Response) error {
	return &Error{
		Op: "answer", Kind: KindBroken, Outcome: quetzalhook.OutcomeUnknown,
		Err: errors.Errorf("the upstream answered request %s with the answer to %q", id, resp.Header.Get(HeaderRequestID)),
	}
}

// send sends a chat request to the upstream of the attempt and returns the
// response. The error has KindNotSent if no connection was obtained.
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
	ctx = call.traceSend(ctx, &connected)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(HeaderRequestID, string(call.Request.ID))
	if err := r.checkSend(call.Guard, call.Request.Customer, req, body); err != nil {
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
