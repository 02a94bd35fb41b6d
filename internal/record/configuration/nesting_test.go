package configuration

import (
	"runtime"
	"strings"
	"testing"
)

// Guards against a small document whose parsing takes all memory.
func TestDeepDocumentIsRejected(t *testing.T) {
	const depth = 2000
	for _, part := range []string{"[", "{a: ", "- ", "? ", "a: ", "- a: ", "[{a: ", "!!seq ", "&a ", "*a ", "[]\n- "} {
		text := strings.Repeat(part, depth)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		_, err := Parse([]byte(text))
		runtime.ReadMemStats(&after)
		if err == nil {
			t.Errorf("%q: got no error", part)
		}
		if got, limit := after.TotalAlloc-before.TotalAlloc, uint64(len(text)*2000); got > limit {
			t.Errorf("%q: got %d bytes allocated for %d, want at most %d", part, got, len(text), limit)
		}
	}
	var nested strings.Builder
	for i := range depth {
		nested.WriteString(strings.Repeat(" ", i) + "a:\n")
	}
	if _, err := Parse([]byte(nested.String())); err == nil || !strings.Contains(err.Error(), "nested deeper") {
		t.Errorf("nested by lines: got %v, want an error of the nesting", err)
	}
}
