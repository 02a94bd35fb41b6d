package engine

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// TokenBytes is the assumed length of a prompt token in bytes.
	TokenBytes = 4
	// BlockTokens is the number of prompt tokens in one block of the prefix
	// cache.
	BlockTokens = 128
	blockBytes  = BlockTokens * TokenBytes

	// An answer has minOutputTokens up to, but not including,
	// minOutputTokens+outputTokensRange tokens if the request sets no length.
	minOutputTokens   = 20
	outputTokensRange = 180
)

// Message is one chat message.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// PromptText returns the text that an answer is computed from: for each message,
// the role, a newline, the content and a newline.
func PromptText(messages []Message) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role)
		b.WriteByte('\n')
		b.WriteString(m.Content)
		b.WriteByte('\n')
	}
	return b.String()
}

// Token returns the text of token i (0 is the first) of the answer to prompt.
func Token(prompt string, i int) string { return tokenText(xxhash.Sum64String(prompt), i) }

func tokenText(hash uint64, i int) string { return fmt.Sprintf("k%x-%d ", uint32(hash), i) }

// OutputTokens returns the number of tokens of the answer to prompt if the request
// sets no length.
func OutputTokens(prompt string) int {
	return minOutputTokens + int(xxhash.Sum64String(prompt)>>32%outputTokensRange)
}

// Answer returns the first n tokens of the answer to prompt.
func Answer(prompt string, n int) string {
	hash := xxhash.Sum64String(prompt)
	var b strings.Builder
	for i := range n {
		b.WriteString(tokenText(hash, i))
	}
	return b.String()
}

// PrefixHashes returns the hashes of all prefixes of a prompt that end at a block
// boundary, shortest first. The prompt is the concatenated JSON text of the
// messages. Hash i is the XXH64 of the first (i+1)*BlockTokens*TokenBytes bytes.
func PrefixHashes(prompt []byte) []uint64 {
	d := xxhash.New()
	var hashes []uint64
	for ; len(prompt) >= blockBytes; prompt = prompt[blockBytes:] {
		_, _ = d.Write(prompt[:blockBytes])
		hashes = append(hashes, d.Sum64())
	}
	return hashes
}

// tokenCount returns the number of tokens in a prompt of n bytes, rounded up.
func tokenCount(n int) int { return (n + TokenBytes - 1) / TokenBytes }
