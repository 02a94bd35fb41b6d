package relay_test

import (
	"net/http/httptest"
	"strings"
	"testing"

	"quetzalhook"
	"quetzalhook/internal/standin/engine"
)

// Guards against an answer that is resumed and gets one token more than the
// caller's limit, because its stream breaks between the last token and the end
// of the answer.
func TestChatBoundKeptAfterBreak(t *testing.T) {
	const maxTokens = 12
	e := engine.New(engine.WithTokenRate(2000))
	h := newHarness(t, []quetzalhook.Upstream{engineUpstream(t, e, "a")})
	if err := e.SetFaults(engine.Faults{Cut: 1, CutAt: maxTokens}); err != nil {
		t.Fatal(err)
	}
	body := strings.Replace(chatBody(true, 60), `"stream"`, `"max_tokens":12,"stream"`, 1)
	w := httptest.NewRecorder()
	if err := h.chat(body, &hookWriter{ResponseRecorder: w}); err != nil {
		t.Fatal(err)
	}
	text, done := streamText(w.Body)
	if got, want := text, wantAnswer(maxTokens); got != want || !done {
		t.Errorf("answer: got %q (done %v), want %q", got, done, want)
	}
}
