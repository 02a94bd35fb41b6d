package relay

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/pkg/errors"
	"github.com/tmaxmax/go-sse"

	"quetzalhook"
	"quetzalhook/internal/entry/broker"
	"quetzalhook/internal/state/invariant"
)

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
