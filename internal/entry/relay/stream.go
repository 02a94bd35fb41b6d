package relay

import (
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"
	"github.com/tmaxmax/go-sse"

	"quetzalhook"
	"quetzalhook/internal/entry/broker"
	"quetzalhook/internal/platform/intake"
	"quetzalhook/internal/state/invariant"
)

// maxAnswer bounds the answer to one chat request, in bytes.
const maxAnswer = 8 << 20

// copyObject passes on a response that is one JSON object, and records its
// token count.
func (r *Relay) copyObject(resp *http.Response, call Call) error {
	body, err := intake.ReadAll(resp.Body, maxAnswer)
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
	call.Answer.firstToken = call.Answer.now()
	return callerGoneError(call.Answer.writeBody(body))
}

// copyEvents passes on the events of one attempt until the answer is complete,
// and then completes it.
func (r *Relay) copyEvents(t *broker.Ticket, attempt *broker.Attempt, resp *http.Response, call Call, stall *stallTimer) error {
	answer, before, id := call.Answer, call.Answer.tokens, ""
	var usage *Usage
	for event, err := range sse.Read(resp.Body, &sse.ReadConfig{MaxEventSize: maxEventSize}) {
		if err != nil {
			return errors.WithStack(err)
		}
		if event.Data == "[DONE]" {
			return r.completeAnswer(call, attempt, answer.tokens-before, usage)
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
		if answer.text.Len() > maxAnswer {
			answer.noResume = true // another upstream would go on without end, too
			return errors.Errorf("the answer is over %d bytes", maxAnswer)
		}
		// A slow caller must not count as a stall of the upstream.
		stall.pause()
		if err := callerGoneError(answer.addChunk(c)); err != nil {
			return err
		}
		stall.extend(r.nextStallTimeout)
		r.reportProgress(t, call, before)
	}
	return errIncomplete
}

// hasAllTokens reports whether the answer has all its tokens: the upstream has
// sent a finish reason or the caller's limit is reached. A resume would then
// add a token that is not part of the answer.
func (c Call) hasAllTokens() bool {
	if c.Chat.passThrough || c.Answer.tokens == 0 {
		return false
	}
	return c.Answer.finishReason != nil || c.Chat.maxTokens > 0 && c.Answer.tokens >= c.Chat.maxTokens
}

// canResume reports whether another engine may continue a broken answer. Of an
// answer with several choices, tool calls or logprobs, only the text of the first
// choice is recorded, so that it can only be repeated before its first byte.
func (c Call) canResume() bool {
	return !c.Answer.noResume && (!c.Chat.passThrough || !c.Answer.HeaderWritten())
}

// finishAnswer writes the end of an answer that has all its tokens but whose
// stream broke before the end.
func (c Call) finishAnswer() error {
	if c.Answer.finishReason == nil {
		reason := "length"
		if err := c.Answer.addChunk(chunk{Choices: []choice{{FinishReason: &reason}}}); err != nil {
			return err
		}
	}
	return c.Answer.writeEnd(c.Request.PromptTokens)
}

// reportProgress reports the first token of an attempt, and then every
// progressInterval tokens, to the policy. It also checks that the stream does
// not outlive the withdrawal of its key.
func (r *Relay) reportProgress(t *broker.Ticket, call Call, before int) {
	if n := call.Answer.tokens - before; n != 1 && n%progressInterval != 0 {
		return
	}
	r.broker.Progress(t, call.Answer.tokens)
	if r.keys != nil {
		r.keys.CheckOpen(call.Key)
	}
}

// completeAnswer checks that the attempt received no more tokens than the
// upstream reports, and writes the end of the answer.
func (r *Relay) completeAnswer(call Call, attempt *broker.Attempt, received int, usage *Usage) error {
	answer := call.Answer
	if answer.finishReason == nil {
		return errIncomplete
	}
	// Each event counts as one received token but may hold several, so received
	// may be less than the upstream's count but not more.
	whole := usage == nil || received <= usage.CompletionTokens
	r.invariants.Check(invariant.WholeAnswer, whole, "request", call.Request.ID, "upstream", attempt.Upstream, "received", received, "usage", usage)
	return callerGoneError(answer.writeEnd(call.Request.PromptTokens))
}

// callerGoneError wraps an error of writing to the caller.
func callerGoneError(err error) error {
	if err == nil {
		return nil
	}
	return &Error{Op: "answer", Kind: KindCallerGone, Outcome: quetzalhook.OutcomeUnknown, Err: err}
}
