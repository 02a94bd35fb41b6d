package relay

import (
	"encoding/json"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"quetzalhook"
)

const (
	// bytesPerToken is the average used to estimate the number of prompt tokens
	// from the length of the text.
	bytesPerToken = 4
	// prefixTokens is the block length for prefix hashes: a prompt has one hash
	// for each prefix of a whole number of blocks. Engines identify cached
	// prefixes by the same hashes.
	prefixTokens = 128
	// maxPrefixes limits the number of prefix hashes of one prompt.
	maxPrefixes = 128
)

// message holds the fields of a chat message that the host reads.
type message struct {
	Role string `json:"role"`
}

// ChatRequest is a caller's chat completions request.
type ChatRequest struct {
	fields       map[string]json.RawMessage
	messages     []json.RawMessage
	model        quetzalhook.Model
	stream       bool
	includeUsage bool // the caller asked for a usage event
	passThrough  bool // the answer may be more than a single text; see readPassThrough
	maxTokens    int
	promptLength int // in tokens; in bytes while the messages are read
	prefixes     []uint64
}

// ParseChat parses a request body. The body is decoded completely and encoded
// again, so that escape sequences cannot hide the caller's key from later
// checks.
func ParseChat(body []byte) (*ChatRequest, error) {
	canonical, err := canonicalJSON(body)
	if err != nil {
		return nil, err
	}
	c := &ChatRequest{}
	if err := json.Unmarshal(canonical, &c.fields); err != nil {
		return nil, badRequest(errors.New("the body is not a JSON object"))
	}
	if err := c.readFields(); err != nil {
		return nil, badRequest(err)
	}
	return c, nil
}

// canonicalJSON decodes the single JSON value in body and encodes it again
// without escape sequences that are not needed.
func canonicalJSON(body []byte) ([]byte, error) {
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

// readFields reads the fields that the host itself uses.
func (c *ChatRequest) readFields() error {
	if err := c.decodeField("model", &c.model); err != nil {
		return err
	}
	if c.model == "" {
		return errors.New("model is missing")
	}
	if err := c.decodeField("messages", &c.messages); err != nil {
		return err
	}
	if len(c.messages) == 0 {
		return errors.New("messages is missing or empty")
	}
	if err := c.decodeField("stream", &c.stream); err != nil {
		return err
	}
	var options struct {
		IncludeUsage bool `json:"include_usage"`
	}
	if err := c.decodeField("stream_options", &options); err != nil {
		return err
	}
	c.includeUsage = options.IncludeUsage
	if err := c.readMaxTokens(); err != nil {
		return err
	}
	c.readPassThrough()
	return c.readPrompt()
}

// readMaxTokens reads the caller's limit on the output, which has two possible
// field names.
func (c *ChatRequest) readMaxTokens() error {
	for _, name := range []string{"max_tokens", "max_completion_tokens"} {
		if err := c.decodeField(name, &c.maxTokens); err != nil {
			return err
		}
		if c.maxTokens < 0 {
			return errors.Errorf("%s is negative", name)
		}
	}
	return nil
}

// readPassThrough marks requests whose answer may be more than a single text
// (several choices, tool calls or logprobs). Without a stream, such an answer is
// passed on as the JSON object that the upstream sends.
func (c *ChatRequest) readPassThrough() {
	var n int
	_ = c.decodeField("n", &n)
	_, tools := c.fields["tools"]
	_, logprobs := c.fields["logprobs"]
	c.passThrough = n > 1 || tools || logprobs
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
	c.promptLength = max(c.promptLength/bytesPerToken, 1)
	return nil
}

// hashPrefixes adds a message, encoded as it is sent to the engine, to the
// digest and records the hash after each complete block. It adds the message's
// length in bytes to c.promptLength.
func (c *ChatRequest) hashPrefixes(digest *xxhash.Digest, text []byte) {
	const block = prefixTokens * bytesPerToken
	for len(text) > 0 {
		n := min(block-c.promptLength%block, len(text))
		_, _ = digest.Write(text[:n])
		text = text[n:]
		c.promptLength += n
		if c.promptLength%block == 0 && len(c.prefixes) < maxPrefixes {
			c.prefixes = append(c.prefixes, digest.Sum64())
		}
	}
}

// decodeField decodes the named field into a variable. A missing or null field
// leaves the variable unchanged.
func (c *ChatRequest) decodeField(name string, into any) error {
	raw, ok := c.fields[name]
	if !ok || string(raw) == "null" {
		return nil
	}
	if err := json.Unmarshal(raw, into); err != nil {
		return errors.Errorf("%s has the wrong type", name)
	}
	return nil
}

// Model returns the requested model.
func (c *ChatRequest) Model() quetzalhook.Model { return c.model }

// Stream reports whether the caller wants server-sent events.
func (c *ChatRequest) Stream() bool { return c.stream }

// MaxTokens returns the caller's limit on the output in tokens; 0 means no
// limit.
func (c *ChatRequest) MaxTokens() int { return c.maxTokens }

// PromptTokens returns the estimated length of the prompt in tokens.
func (c *ChatRequest) PromptTokens() int { return c.promptLength }

// Prefixes returns the hashes of the prompt's prefixes, shortest first. Each
// prefix is PrefixTokens tokens longer than the one before.
func (c *ChatRequest) Prefixes() []uint64 { return c.prefixes }

// PrefixTokens returns the difference in length between two consecutive
// prefixes, in tokens.
func (c *ChatRequest) PrefixTokens() int { return prefixTokens }

// body returns the request body for an upstream. It sets the engine's priority
// to the tier and asks for a stream, unless the upstream's JSON object is passed
// on. If part of the answer was already received, it appends that text as an
// assistant message to be continued and reduces the caller's limit on the output
// by the received tokens.
func (c *ChatRequest) body(tier quetzalhook.Tier, partial string, received int) ([]byte, error) {
	out := make(map[string]any, len(c.fields)+4)
	for name, raw := range c.fields {
		out[name] = raw
	}
	out["priority"] = int(tier)
	if !c.passThrough || c.stream {
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
