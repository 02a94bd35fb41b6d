package relay

import (
	"encoding/json"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"quetzalhook"
)

const (
	// bytesPerToken estimates the prompt length from its text.
	bytesPerToken = 4
	// prefixTokens is the length of the prompt pieces whose hashes identify
	// cached prefixes.
	prefixTokens = 128
	// maxPrefixes bounds the prefix hashes of one prompt.
	maxPrefixes = 128
)

// message is what is read of one entry of a chat's messages.
type message struct {
	Role string `json:"role"`
}

// ChatRequest is a caller's chat-completions request.
type ChatRequest struct {
	fields    map[string]json.RawMessage
	messages  []json.RawMessage
	model     quetzalhook.Model
	stream    bool
	usage     bool // the caller wants the usage as an event
	opaque    bool
	maxTokens int
	prompt    int
	prefixes  []uint64
}

// ParseChat reads a request body. The body is decoded in full and encoded
// again, so that nothing can be hidden in escape sequences.
func ParseChat(body []byte) (*ChatRequest, error) {
	canonical, err := normalise(body)
	if err != nil {
		return nil, err
	}
	c := &ChatRequest{}
	if err := json.Unmarshal(canonical, &c.fields); err != nil {
		return nil, badRequest(errors.New("the body is not a JSON object"))
	}
	if err := c.read(); err != nil {
		return nil, badRequest(err)
	}
	return c, nil
}

func normalise(body []byte) ([]byte, error) {
	var v any
	decoder := json.NewDecoder(strings.NewReader(string(body)))
	decoder.UseNumber()
	if err := decoder.Decode(&v); err != nil {
		return nil, badRequest(errors.Wrap(err, "the body is not JSON"))
	}
	if decoder.More() {
		return nil, badRequest(errors.New("the body has data after the JSON object"))
	}
	canonical, err := json.Marshal(v)
	return canonical, errors.WithStack(err)
}

func badRequest(err error) error {
	return &Error{Op: "parse", Kind: KindBadRequest, Outcome: quetzalhook.OutcomeNotRun, Err: err}
}

// read takes the fields that the host itself needs.
func (c *ChatRequest) read() error {
	if err := c.field("model", &c.model); err != nil {
		return err
	}
	if c.model == "" {
		return errors.New("model is missing")
	}
	if err := c.field("messages", &c.messages); err != nil {
		return err
	}
	if len(c.messages) == 0 {
		return errors.New("messages is missing or empty")
	}
	if err := c.field("stream", &c.stream); err != nil {
		return err
	}
	var options struct {
		IncludeUsage bool `json:"include_usage"`
	}
	if err := c.field("stream_options", &options); err != nil {
		return err
	}
	c.usage = options.IncludeUsage
	if err := c.readBound(); err != nil {
		return err
	}
	c.readOpaque()
	return c.readPrompt()
}

func (c *ChatRequest) readBound() error {
	for _, name := range []string{"max_tokens", "max_completion_tokens"} {
		if err := c.field(name, &c.maxTokens); err != nil {
			return err
		}
		if c.maxTokens < 0 {
			return errors.Errorf("%s is negative", name)
		}
	}
	return nil
}

// readOpaque marks requests whose answer is more than one text: they are
// passed on as they are and cannot be resumed.
func (c *ChatRequest) readOpaque() {
	var n int
	_ = c.field("n", &n)
	_, tools := c.fields["tools"]
	_, logprobs := c.fields["logprobs"]
	c.opaque = n > 1 || tools || logprobs
}

// readPrompt estimates the prompt's length and hashes its prefixes.
func (c *ChatRequest) readPrompt() error {
	digest := xxhash.New()
	for i, raw := range c.messages {
		var m message
		if err := json.Unmarshal(raw, &m); err != nil || m.Role == "" {
			return errors.Errorf("messages[%d] is not a message with a role", i)
		}
		c.hashPrefixes(digest, raw)
	}
	c.prompt = max(c.prompt/bytesPerToken, 1)
	return nil
}

// hashPrefixes adds a message as it goes to the engine to the digest and takes
// a hash after every full piece; c.prompt counts the bytes so far.
func (c *ChatRequest) hashPrefixes(digest *xxhash.Digest, text []byte) {
	const piece = prefixTokens * bytesPerToken
	for len(text) > 0 {
		n := min(piece-c.prompt%piece, len(text))
		_, _ = digest.Write(text[:n])
		text = text[n:]
		c.prompt += n
		if c.prompt%piece == 0 && len(c.prefixes) < maxPrefixes {
			c.prefixes = append(c.prefixes, digest.Sum64())
		}
	}
}

func (c *ChatRequest) field(name string, into any) error {
	raw, ok := c.fields[name]
	if !ok || string(raw) == "null" {
		return nil
	}
	if err := json.Unmarshal(raw, into); err != nil {
		return errors.Errorf("%s has the wrong type", name)
	}
	return nil
}

// Model returns the model asked for.
func (c *ChatRequest) Model() quetzalhook.Model { return c.model }

// Stream reports whether the caller wants server-sent events.
func (c *ChatRequest) Stream() bool { return c.stream }

// MaxTokens returns the caller's bound on the output; 0 means none.
func (c *ChatRequest) MaxTokens() int { return c.maxTokens }

// PromptTokens returns the estimated length of the prompt.
func (c *ChatRequest) PromptTokens() int { return c.prompt }

// Prefixes returns hashes of growing prefixes of the prompt, each longer than
// the one before by PrefixTokens tokens.
func (c *ChatRequest) Prefixes() []uint64 { return c.prefixes }

// PrefixTokens returns the number of tokens between two prefixes.
func (c *ChatRequest) PrefixTokens() int { return prefixTokens }

// body returns the request for an upstream: streamed, with the priority of
// the tier, continuing after the partial answer if there is one.
func (c *ChatRequest) body(tier quetzalhook.Tier, partial string, received int) ([]byte, error) {
	out := make(map[string]any, len(c.fields)+4)
	for name, raw := range c.fields {
		out[name] = raw
	}
	out["priority"] = int(tier)
	if !c.opaque || c.stream {
		out["stream"] = true
		out["stream_options"] = map[string]bool{"include_usage": true}
	}
	if partial != "" {
		resumed := append([]json.RawMessage(nil), c.messages...)
		last, err := json.Marshal(map[string]string{"role": "assistant", "content": partial})
		if err != nil {
			return nil, errors.WithStack(err)
		}
		out["messages"] = append(resumed, last)
		out["continue_final_message"] = true
		out["add_generation_prompt"] = false
		if c.maxTokens > 0 {
			out["max_tokens"] = max(c.maxTokens-received, 1)
			delete(out, "max_completion_tokens")
		}
	}
	body, err := json.Marshal(out)
	return body, errors.WithStack(err)
}
