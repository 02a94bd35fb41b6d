package engine

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// chatRequest is the body of POST /v1/chat/completions.
type chatRequest struct {
	Model     string            `json:"model"`
	Messages  []json.RawMessage `json:"messages"`
	Stream    bool              `json:"stream"`
	Priority  int               `json:"priority"` // lower is more urgent
	MaxTokens int               `json:"max_tokens"`
	Continue  bool              `json:"continue_final_message"`
	Metadata  struct {
		OutputTokens int `json:"output_tokens"`
	} `json:"metadata"`
}

type chatUsage struct {
	PromptTokens     int          `json:"prompt_tokens"`
	CompletionTokens int          `json:"completion_tokens"`
	TotalTokens      int          `json:"total_tokens"`
	Details          usageDetails `json:"prompt_tokens_details"`
}

type usageDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

type chatChoice struct {
	Index   int      `json:"index"`
	Delta   *Message `json:"delta,omitempty"`
	Message *Message `json:"message,omitempty"`
	Finish  *string  `json:"finish_reason"`
}

type chatResponse struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []chatChoice `json:"choices"`
	Usage   *chatUsage   `json:"usage,omitempty"`
}

// answer is a chat request with the properties of the answer to it.
type answer struct {
	request      chatRequest
	stream       *stream
	promptHash   uint64
	finishReason string
	created      time.Time
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	var req chatRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		writeError(w, http.StatusBadRequest, "invalid JSON: "+err.Error())
		return
	}
	if !e.servesModel(req.Model) {
		writeError(w, http.StatusNotFound, fmt.Sprintf("model %q is not loaded", req.Model))
		return
	}
	a, err := newAnswer(req)
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	if !e.recordAndDelay(r) {
		return
	}
	e.submit(a.stream)
	defer e.cancelStream(a.stream)
	if req.Stream {
		e.streamAnswer(w, r, a)
		return
	}
	e.sendAnswer(w, r, a)
}

func (e *Engine) servesModel(model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.models) == 0 || slices.Contains(e.models, model) || slices.Contains(e.loaded, model)
}

// recordAndDelay records the arrival of a chat request at a leaving engine and
// waits for Faults.SlowMS. It returns false if the client disconnected meanwhile.
func (e *Engine) recordAndDelay(r *http.Request) bool {
	e.mu.Lock()
	if e.faults.Leaving {
		e.lateArrivals = append(e.lateArrivals, time.Now())
	}
	delay := milliseconds(e.faults.SlowMS)
	e.mu.Unlock()
	if delay <= 0 {
		return true
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-r.Context().Done():
		return false
	case <-timer.C:
		return true
	}
}

// newAnswer determines the prompt, the first and last token and the finish reason
// of the answer to req. If req sets continue_final_message and its last message
// is from the assistant, the answer continues that message.
func newAnswer(req chatRequest) (*answer, error) {
	messages := make([]Message, len(req.Messages))
	for i, raw := range req.Messages {
		if err := json.Unmarshal(raw, &messages[i]); err != nil {
			return nil, errors.Wrapf(err, "messages[%d]", i)
		}
	}
	if len(messages) == 0 {
		return nil, errors.New("messages is empty")
	}
	n, first, resumedBytes := len(messages), 0, 0
	if last := messages[n-1]; req.Continue && last.Role == "assistant" {
		n--
		first, resumedBytes = len(strings.Fields(last.Content)), len(last.Content)
	}
	prompt := PromptText(messages[:n])
	total, finish := OutputTokens(prompt), "stop"
	if n := req.Metadata.OutputTokens; n > 0 {
		total = n
	}
	if req.MaxTokens > 0 && first+req.MaxTokens < total {
		total, finish = first+req.MaxTokens, "length"
	}
	return &answer{
		request: req, promptHash: xxhash.Sum64String(prompt), finishReason: finish, created: time.Now(),
		stream: &stream{
			priority: req.Priority, promptTokens: tokenCount(len(prompt) + resumedBytes),
			hashes: PrefixHashes(bytes.Join(rawMessages(req.Messages[:n]), nil)), first: first, end: max(total, first),
		},
	}, nil
}

func rawMessages(messages []json.RawMessage) [][]byte {
	list := make([][]byte, len(messages))
	for i, m := range messages {
		list[i] = m
	}
	return list
}

// waitTokens waits until the stream has generated tokens from index i on, or has
// ended. It returns the index after the last generated token, and false if the
// client disconnected.
func (e *Engine) waitTokens(r *http.Request, s *stream, i int) (int, bool) {
	for {
		e.mu.Lock()
		n := s.produced
		e.mu.Unlock()
		if n > i || n >= s.end {
			return n, true
		}
		select {
		case <-r.Context().Done():
			return i, false
		case <-s.signal:
		}
	}
}

// streamAnswer sends the answer as server-sent events while it is generated. It
// closes the connection early if Faults.Cut applies.
func (e *Engine) streamAnswer(w http.ResponseWriter, r *http.Request, a *answer) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-cache")
	echoRequestID(w, r)
	rc := http.NewResponseController(w)
	for i := a.stream.first; i < a.stream.end; {
		n, ok := e.waitTokens(r, a.stream, i)
		if !ok {
			return
		}
		for ; i < n; i++ {
			if !writeChunk(w, a.chunk(&Message{Role: "assistant", Content: tokenText(a.promptHash, i)}, nil)) {
				return
			}
		}
		if rc.Flush() != nil {
			return
		}
		if e.takeCut(i) {
			panic(http.ErrAbortHandler)
		}
	}
	last := a.chunk(&Message{}, &a.finishReason)
	last.Usage = e.usage(a)
	if writeChunk(w, last) {
		_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
	}
}

// sendAnswer sends the complete answer in one response once it is generated.
func (e *Engine) sendAnswer(w http.ResponseWriter, r *http.Request, a *answer) {
	var b strings.Builder
	for i := a.stream.first; i < a.stream.end; {
		n, ok := e.waitTokens(r, a.stream, i)
		if !ok {
			return
		}
		for ; i < n; i++ {
			b.WriteString(tokenText(a.promptHash, i))
		}
	}
	res := a.response("chat.completion")
	res.Choices[0].Message = &Message{Role: "assistant", Content: b.String()}
	res.Choices[0].Finish = &a.finishReason
	res.Usage = e.usage(a)
	echoRequestID(w, r)
	writeJSON(w, http.StatusOK, res)
}

func (a *answer) response(object string) chatResponse {
	return chatResponse{
		ID: fmt.Sprintf("chatcmpl-%x", a.promptHash), Object: object, Created: a.created.Unix(),
		Model: a.request.Model, Choices: make([]chatChoice, 1),
	}
}

func (a *answer) chunk(delta *Message, finish *string) chatResponse {
	res := a.response("chat.completion.chunk")
	res.Choices[0] = chatChoice{Delta: delta, Finish: finish}
	return res
}

// usage returns the token counts of an answer. Completion tokens of a resumed
// answer count from the point of resumption; the earlier ones are prompt tokens.
func (e *Engine) usage(a *answer) *chatUsage {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := a.stream.end - a.stream.first
	return &chatUsage{
		PromptTokens: a.stream.promptTokens, CompletionTokens: n, TotalTokens: a.stream.promptTokens + n,
		Details: usageDetails{CachedTokens: min(a.stream.cachedTokens, a.stream.promptTokens)},
	}
}

func writeChunk(w http.ResponseWriter, c chatResponse) bool {
	b, err := json.Marshal(c)
	if err != nil {
		return false
	}
	b = append(append([]byte("data: "), b...), "\n\n"...)
	_, err = w.Write(b)
	return err == nil
}

// echoRequestID copies the X-Request-Id header of the request to the response, as
// the protocol between hosts and upstreams requires.
func echoRequestID(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get("X-Request-Id"); id != "" {
		w.Header().Set("X-Request-Id", id)
	}
}
