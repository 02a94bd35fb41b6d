package relay

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// writeTimeout bounds one write to a caller, so that a reader that stopped
// does not hold a slot for ever.
const writeTimeout = 15 * time.Second

// chunk is one event of a streamed answer.
type chunk struct {
	ID      string          `json:"id"`
	Object  string          `json:"object"`
	Created int64           `json:"created"`
	Model   string          `json:"model"`
	Choices []choice        `json:"choices"`
	Usage   *Usage          `json:"usage,omitempty"`
	Error   json.RawMessage `json:"error,omitempty"`
}

type choice struct {
	Index        int     `json:"index"`
	Delta        delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

type delta struct {
	Role      string          `json:"role,omitempty"`
	Content   string          `json:"content,omitempty"`
	ToolCalls json.RawMessage `json:"tool_calls,omitempty"`
}

// Usage counts the tokens of an answer.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Answer writes one request's answer to its caller, as events or as one JSON
// object, and keeps the text for a resume. It is used by one goroutine.
type Answer struct {
	w       http.ResponseWriter
	control *http.ResponseController
	id      string
	stream  bool
	usage   bool // whether the caller wants an event with the usage
	now     func() time.Time

	created  int64
	model    string
	opened   bool
	text     strings.Builder
	passed   xxhash.Digest // of the text, kept apart from it to check resumes
	tokens   int
	finish   *string
	first    time.Time
	last     time.Time
	noResume bool
	buffer   bytes.Buffer
}

// NewAnswer returns the answer to a request with an identifier.
func NewAnswer(w http.ResponseWriter, id string, chat *ChatRequest, now func() time.Time) *Answer {
	a := &Answer{w: w, control: http.NewResponseController(w), id: id, stream: chat.stream, usage: chat.usage, now: now, created: time.Now().Unix()}
	a.passed.Reset()
	return a
}

// Tokens returns the number of tokens received.
func (a *Answer) Tokens() int { return a.tokens }

// Opened reports whether any part of the answer was written to the caller.
func (a *Answer) Opened() bool { return a.opened }

// FirstToken returns when the first token arrived, and the zero time before.
func (a *Answer) FirstToken() time.Time { return a.first }

// LastToken returns when the latest token arrived.
func (a *Answer) LastToken() time.Time { return a.last }

// take passes one event of an upstream on.
func (a *Answer) take(c chunk) error {
	if len(c.Choices) == 0 {
		return nil
	}
	if a.model == "" {
		a.model = c.Model
	}
	first := c.Choices[0]
	if first.FinishReason != nil {
		a.finish = first.FinishReason
	}
	if first.Delta.Content == "" && first.Delta.ToolCalls == nil && first.FinishReason == nil {
		return nil
	}
	if first.Delta.ToolCalls != nil {
		a.noResume = true
	}
	if first.Delta.Content != "" || first.Delta.ToolCalls != nil {
		a.count(first.Delta.Content)
	}
	if !a.stream {
		return nil
	}
	c.ID, c.Object, c.Created, c.Model, c.Usage = a.id, "chat.completion.chunk", a.created, a.model, nil
	return a.event(c)
}

func (a *Answer) count(content string) {
	a.last = a.now()
	if a.tokens == 0 {
		a.first = a.last
	}
	a.tokens++
	a.text.WriteString(content)
	_, _ = a.passed.WriteString(content)
}

// event writes one server-sent event.
func (a *Answer) event(v any) error {
	a.open("text/event-stream")
	a.buffer.Reset()
	a.buffer.WriteString("data: ")
	if err := json.NewEncoder(&a.buffer).Encode(v); err != nil {
		return errors.WithStack(err)
	}
	a.buffer.WriteString("\n")
	return a.flush()
}

func (a *Answer) flush() error {
	_ = a.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := a.w.Write(a.buffer.Bytes()); err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(a.control.Flush())
}

func (a *Answer) open(contentType string) {
	if a.opened {
		return
	}
	a.opened = true
	a.w.Header().Set("Content-Type", contentType)
	a.w.Header().Set("Cache-Control", "no-store")
	a.w.WriteHeader(http.StatusOK)
}

// finished writes the end of the answer.
func (a *Answer) finished(promptTokens int) error {
	usage := Usage{PromptTokens: promptTokens, CompletionTokens: a.tokens, TotalTokens: promptTokens + a.tokens}
	if !a.stream {
		return a.object(usage)
	}
	if a.usage {
		err := a.event(chunk{
			ID: a.id, Object: "chat.completion.chunk", Created: a.created, Model: a.model, Choices: []choice{}, Usage: &usage,
		})
		if err != nil {
			return err
		}
	}
	a.buffer.Reset()
	a.buffer.WriteString("data: [DONE]\n\n")
	return a.flush()
}

// completion is an answer as one JSON object.
type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   Usage              `json:"usage"`
}

type completionChoice struct {
	Index        int               `json:"index"`
	Message      completionMessage `json:"message"`
	FinishReason *string           `json:"finish_reason"`
}

type completionMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (a *Answer) object(usage Usage) error {
	body, err := json.Marshal(completion{
		ID: a.id, Object: "chat.completion", Created: a.created, Model: a.model, Usage: usage,
		Choices: []completionChoice{{
			Message:      completionMessage{Role: "assistant", Content: a.text.String()},
			FinishReason: a.finish,
		}},
	})
	if err != nil {
		return errors.WithStack(err)
	}
	return a.whole(body)
}

// whole writes a complete body.
func (a *Answer) whole(body []byte) error {
	a.open("application/json")
	a.buffer.Reset()
	a.buffer.Write(body)
	return a.flush()
}
