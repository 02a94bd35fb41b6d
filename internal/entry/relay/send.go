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
