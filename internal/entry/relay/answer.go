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

// writeTimeout limits one write to a caller, so that a caller that stops
// reading does not occupy a slot indefinitely.
const writeTimeout = 15 * time.Second

// chunk is one event of a streamed chat completion.
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

// Usage holds the token counts of a chat completion.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Answer writes the response to one chat request to its caller, as server-sent
// events or as one JSON object. It keeps the text received so far, from which
// another upstream can resume. It is not safe for concurrent use.
type Answer struct {
	w            http.ResponseWriter
	control      *http.ResponseController
	id           string
	stream       bool
	includeUsage bool // write an event with the usage at the end of the stream
	now          func() time.Time

	created       int64
	model         string
	headerWritten bool
	text          strings.Builder
	textDigest    xxhash.Digest // hash of the received text; kept in addition to text, to verify resumes
	tokens        int           // number of events with content, each counted as one token
	finishReason  *string       // nil until the upstream has sent it
	firstToken    time.Time
	lastToken     time.Time
	noResume      bool // the answer cannot be continued: it has tool calls, or is too long
	buffer        bytes.Buffer
}

// NewAnswer returns an Answer that writes to w. The id becomes the ID of the
// completion.
func NewAnswer(w http.ResponseWriter, id string, chat *ChatRequest, now func() time.Time) *Answer {
	a := &Answer{w: w, control: http.NewResponseController(w), id: id, stream: chat.stream, includeUsage: chat.includeUsage, now: now, created: time.Now().Unix()}
	a.textDigest.Reset()
	return a
}

// Tokens returns the number of tokens received. An event of a stream counts as
// one token.
func (a *Answer) Tokens() int { return a.tokens }

// HeaderWritten reports whether any part of the answer was written to the caller.
func (a *Answer) HeaderWritten() bool { return a.headerWritten }

// FirstToken returns when the first token arrived, or the zero time if none
// has.
func (a *Answer) FirstToken() time.Time { return a.firstToken }

// LastToken returns when the latest token arrived, or the zero time if none
// has.
func (a *Answer) LastToken() time.Time { return a.lastToken }

// addChunk records one event of an upstream and, for a streamed answer, passes
// it on to the caller.
func (a *Answer) addChunk(c chunk) error {
	if len(c.Choices) == 0 {
		return nil
	}
	if a.model == "" {
		a.model = c.Model
	}
	first := c.Choices[0]
	if first.FinishReason != nil {
		a.finishReason = first.FinishReason
	}
	if first.Delta.Content == "" && first.Delta.ToolCalls == nil && first.FinishReason == nil {
		return nil
	}
	if first.Delta.ToolCalls != nil {
		a.noResume = true
	}
	if first.Delta.Content != "" || first.Delta.ToolCalls != nil {
		a.addContent(first.Delta.Content)
	}
	if !a.stream {
		return nil
	}
	c.ID, c.Object, c.Created, c.Model, c.Usage = a.id, "chat.completion.chunk", a.created, a.model, nil
	return a.writeEvent(c)
}

// addContent records the text and the arrival time of one event, which counts as
// one token.
func (a *Answer) addContent(content string) {
	a.lastToken = a.now()
	if a.tokens == 0 {
		a.firstToken = a.lastToken
	}
	a.tokens++
	a.text.WriteString(content)
	_, _ = a.textDigest.WriteString(content)
}

// writeEvent writes one server-sent event.
func (a *Answer) writeEvent(v any) error {
	a.writeHeader("text/event-stream")
	a.buffer.Reset()
	a.buffer.WriteString("data: ")
	if err := json.NewEncoder(&a.buffer).Encode(v); err != nil {
		return errors.WithStack(err)
	}
	a.buffer.WriteString("\n")
	return a.flush()
}

// flush writes the buffer to the caller.
func (a *Answer) flush() error {
	_ = a.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := a.w.Write(a.buffer.Bytes()); err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(a.control.Flush())
}

// writeHeader writes the status and the headers of the response unless they were
// written before.
func (a *Answer) writeHeader(contentType string) {
	if a.headerWritten {
		return
	}
	a.headerWritten = true
	a.w.Header().Set("Content-Type", contentType)
	a.w.Header().Set("Cache-Control", "no-store")
	a.w.WriteHeader(http.StatusOK)
}

// writeEnd completes the response: with the usage and the final event of a
// stream, or with the whole JSON object.
func (a *Answer) writeEnd(promptTokens int) error {
	usage := Usage{PromptTokens: promptTokens, CompletionTokens: a.tokens, TotalTokens: promptTokens + a.tokens}
	if !a.stream {
		return a.writeCompletion(usage)
	}
	if a.includeUsage {
		err := a.writeEvent(chunk{
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

// completion is a chat completion that is not streamed.
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

// writeCompletion writes the recorded text as one JSON object.
func (a *Answer) writeCompletion(usage Usage) error {
	body, err := json.Marshal(completion{
		ID: a.id, Object: "chat.completion", Created: a.created, Model: a.model, Usage: usage,
		Choices: []completionChoice{{
			Message:      completionMessage{Role: "assistant", Content: a.text.String()},
			FinishReason: a.finishReason,
		}},
	})
	if err != nil {
		return errors.WithStack(err)
	}
	return a.writeBody(body)
}

// writeBody writes a complete JSON body.
func (a *Answer) writeBody(body []byte) error {
	a.writeHeader("application/json")
	a.buffer.Reset()
	a.buffer.Write(body)
	return a.flush()
}
