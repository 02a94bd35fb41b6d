package eventlog

import (
	"bytes"
	"strings"
	"sync"
	"testing"
)

// blockedWriter is a writer that blocks until release is closed.
type blockedWriter struct {
	release chan struct{}

	mu  sync.Mutex
	out bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.out.Write(p)
}

// Guards against logging that blocks: while the underlying writer is blocked,
// every Write must return, the buffer must stay bounded, and dropped lines must
// be counted.
func TestBlockedWriter(t *testing.T) {
	s := &blockedWriter{release: make(chan struct{})}
	w := New(s)
	const lines = 3 * maxBufferedLines
	for range lines {
		if n, err := w.Write([]byte("level=info msg=x\n")); n != 17 || err != nil {
			t.Fatalf("write: got %d, %v, want 17 and no error", n, err)
		}
	}
	if got := len(w.lines); got > maxBufferedLines {
		t.Errorf("buffered lines: got %d, want at most %d", got, maxBufferedLines)
	}
	close(s.release)
	w.Close()
	if !strings.Contains(s.out.String(), "log lines dropped") {
		t.Error("log: got no count of dropped lines, want one")
	}
	if _, err := w.Write([]byte("after the close\n")); err != nil {
		t.Errorf("write after Close: got %v, want no error", err)
	}
}

// Guards against lines that are lost although the underlying writer keeps up.
func TestAllLinesArriveBeforeClose(t *testing.T) {
	var out bytes.Buffer
	w := New(&out)
	for range 100 {
		_, _ = w.Write([]byte("line\n"))
	}
	w.Close()
	if got, want := strings.Count(out.String(), "line\n"), 100; got != want {
		t.Errorf("lines: got %d, want %d", got, want)
	}
}
