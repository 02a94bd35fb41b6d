package client

import (
	"bufio"
	"context"
	"encoding/json"
	"net/http"
	"strings"

	"quetzalhook/internal/bench/workload"
	"quetzalhook/internal/standin/engine"
	"quetzalhook/internal/state/invariant"
	"quetzalhook/internal/state/timing"
)

// chatBody is the body of a chat request.
type chatBody struct {
	Model     string           `json:"model"`
	Messages  []engine.Message `json:"messages"`
	Stream    bool             `json:"stream"`
	MaxTokens int              `json:"max_tokens,omitempty"`
	Metadata  map[string]int   `json:"metadata"`
}

// event is one event of a streamed response.
type event struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Error *errorDetail `json:"error"`
}

// extraTokens is the number of tokens that the engine would generate beyond the
// max_tokens of a request.
const extraTokens = 50

// newChat returns the request body of an arrival and the complete text of the
// expected response. Requests of classes with an even tier set max_tokens to the
// length of that response, which the engine would exceed by extraTokens; requests
// of other classes set no limit.
func newChat(a workload.Arrival) (body chatBody, want string) {
	body = chatBody{
		Model: string(a.Model), Stream: true,
		Messages: []engine.Message{
			{Role: "system", Content: a.SystemPrompt()},
			{Role: "user", Content: a.UserPrompt()},
		},
		Metadata: map[string]int{"output_tokens": a.OutputTokens},
	}
	if a.Class.Tier%2 == 0 {
		body.MaxTokens = a.OutputTokens
		body.Metadata["output_tokens"] = a.OutputTokens + extraTokens
	}
	return body, engine.Answer(engine.PromptText(body.Messages), a.OutputTokens)
}

// sendChat sends a chat request and verifies the streamed response.
func (r *request) sendChat(ctx context.Context, host string) (ending, *errorDetail) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	body, want := newChat(r.arrival)
	res, end, detail := r.post(ctx, http.MethodPost, "http://"+host+string(workload.RouteChat), body, make(http.Header))
	if end != 0 {
		return end, detail
	}
	defer func() { _ = res.Body.Close() }()
	r.tokens = 0
	lines := bufio.NewScanner(res.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return r.verifyEnd(want)
		}
		var e event
		if json.Unmarshal([]byte(data), &e) != nil {
			return endBroken, nil
		}
		if e.Error != nil {
			return r.classifyError(e.Error)
		}
		if end := r.verifyEvent(ctx, e, &want); end != 0 {
			return end, nil
		}
	}
	return endBroken, nil
}

// verifyEvent checks that the content of an event is the next part of want, the
// rest of the expected response, and removes it from want.
func (r *request) verifyEvent(ctx context.Context, e event, want *string) ending {
	if len(e.Choices) == 0 || e.Choices[0].Delta.Content == "" {
		return 0
	}
	content := e.Choices[0].Delta.Content
	rest, ok := strings.CutPrefix(*want, content)
	if !ok {
		r.check(invariant.WholeAnswer, false, "got", content, "want", (*want)[:min(len(*want), 2*len(content))])
		return endInvalid
	}
	*want = rest
	if r.tokens == 0 {
		r.firstToken = r.elapsed()
	}
	r.tokens += strings.Count(content, " ")
	if r.abandon && r.tokens >= abandonAfterTokens {
		return endAbandoned
	}
	if r.slow {
		_ = timing.Sleep(ctx, slowReadDelay)
	}
	return 0
}

// verifyEnd checks that a response that has ended normally is complete; rest is
// the part of the expected response that was not received.
func (r *request) verifyEnd(rest string) (ending, *errorDetail) {
	r.check(invariant.WholeAnswer, rest == "", "missing", len(rest))
	if rest != "" {
		return endInvalid, nil
	}
	return endServed, nil
}
