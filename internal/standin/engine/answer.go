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

	// minOutput and outputRange bound the answer length when the request does
	// not give one.
	minOutput   = 20
	outputRange = 180
)

// Message is one chat message.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// PromptText returns the text that answers are computed from: role, newline,
// content, newline of every message.
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

// Token returns the text of token i, counted from 0, of the answer to prompt.
func Token(prompt string, i int) string { return token(xxhash.Sum64String(prompt), i) }

func token(hash uint64, i int) string { return fmt.Sprintf("k%x-%d ", uint32(hash), i) }

// OutputTokens returns the length of the answer to prompt for a request that
// does not give one.
func OutputTokens(prompt string) int {
	return minOutput + int(xxhash.Sum64String(prompt)>>32%outputRange)
}

// Answer returns the first n tokens of the answer to prompt.
func Answer(prompt string, n int) string {
	hash := xxhash.Sum64String(prompt)
	var b strings.Builder
	for i := range n {
		b.WriteString(token(hash, i))
	}
	return b.String()
}

// Prefixes returns the hashes of the growing prefixes of a prompt, one for
// each full block, shortest first. The prompt is the JSON text of its
// messages, one after the other. Hash i is the XXH64 of the first
// (i+1)*BlockTokens*TokenBytes bytes.
func Prefixes(prompt []byte) []uint64 {
	d := xxhash.New()
	var hashes []uint64
	for ; len(prompt) >= blockBytes; prompt = prompt[blockBytes:] {
		_, _ = d.Write(prompt[:blockBytes])
		hashes = append(hashes, d.Sum64())
	}
	return hashes
}

// tokens returns the number of tokens in n bytes of prompt.
func tokens(n int) int { return (n + TokenBytes - 1) / TokenBytes }
