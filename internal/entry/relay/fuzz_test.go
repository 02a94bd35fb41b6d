package relay_test

import (
	"strings"
	"testing"

	"quetzalhook/internal/entry/relay"
)

// Guards against bodies that make the parser panic, and against prompts with a
// length of zero.
func FuzzParseChat(f *testing.F) {
	for _, seed := range []string{
		chatBody(true, 3), `{}`, `[]`, `{"model":"m","messages":[null]}`, `{"model":"m","messages":[{"role":"user"}],"n":1e9}`,
		`{"model":"m","messages":[{"role":"user","content":"` + strings.Repeat("x", 2000) + `"}],"max_tokens":null}`,
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, body string) {
		chat, err := relay.ParseChat([]byte(body))
		if err != nil {
			return
		}
		if got := chat.PromptTokens(); got < 1 {
			t.Errorf("prompt tokens of %q: got %d, want at least 1", body, got)
		}
		if got := chat.MaxTokens(); got < 0 {
			t.Errorf("max tokens of %q: got %d, want at least 0", body, got)
		}
	})
}
