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

// chatBody is the request of a caller.
type chatBody struct {
	Model     string           `json:"model"`
	Messages  []engine.Message `json:"messages"`
	Stream    bool             `json:"stream"`
	MaxTokens int              `json:"max_tokens,omitempty"`
	Metadata  map[string]int   `json:"metadata"`
}

// event is one event of a streamed answer.
type event struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Error *errorDetail `json:"error"`
}

// cutTokens is how many tokens an engine would go on for beyond the bound
// that a caller sets.
const cutTokens = 50

// newChat returns the body of an arrival and the text of the whole answer to
// it. Callers of classes with an even tier bound the output, so that the
// answer ends at the bound; the others get an answer that ends by itself.
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
		body.Metadata["output_tokens"] = a.OutputTokens + cutTokens
	}
	return body, engine.Answer(engine.PromptText(body.Messages), a.OutputTokens)
}

// chat sends a question and verifies the streamed answer.
func (r *request) chat(ctx context.Context, host string) (ending, *errorDetail) {
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
			return r.whole(want)
		}
		var e event
		if json.Unmarshal([]byte(data), &e) != nil {
			return endBroken, nil
		}
		if e.Error != nil {
			return r.refused(e.Error)
		}
		if end := r.take(ctx, e, &want); end != 0 {
			return end, nil
		}
	}
	return endBroken, nil
}

// take verifies the tokens of one event against the rest of the answer.
func (r *request) take(ctx context.Context, e event, want *string) ending {
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
		r.first = r.elapsed()
	}
	r.tokens += strings.Count(content, " ")
	if r.abandon && r.tokens >= abandonAfter {
		return endAbandoned
	}
	if r.slow {
		_ = timing.Sleep(ctx, slowRead)
	}
	return 0
}

// whole checks that an answer that ended as complete is complete.
func (r *request) whole(rest string) (ending, *errorDetail) {
	r.check(invariant.WholeAnswer, rest == "", "missing", len(rest))
	if rest != "" {
		return endInvalid, nil
	}
	return endServed, nil
}
