// Package eventlog writes log lines without ever blocking the code that logs.
//
// Lines are buffered in memory until the underlying writer accepts them. If the
// buffer is full, because that writer is slow or blocked, or if the rate limit is
// exceeded, lines are dropped; their number is logged before the next line that is
// written.
package eventlog

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxBufferedLines is the most lines held in the buffer, about 1 MB.
	maxBufferedLines = 4096
	// maxLinesPerSecond is the most lines accepted in one second. A host with 30
	// requests per second writes about 100.
	maxLinesPerSecond = 2000
)

// Writer is an io.Writer that buffers log lines. Each Write must be one whole
// line. It is safe for concurrent use.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}

	mu     sync.Mutex
	second int64 // Unix time of the second to which count applies
	count  int   // lines of that second, dropped ones included
	closed bool
}

// New returns a Writer that writes to out.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, maxBufferedLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It never fails and never blocks; a line that it
// cannot buffer is dropped.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return len(line), nil
	}
	if second := time.Now().Unix(); second != w.second {
		w.second, w.count = second, 0
	}
	if w.count++; w.count > maxLinesPerSecond {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

func (w *Writer) run() {
	defer close(w.done)
	for line := range w.lines {
		if n := w.dropped.Swap(0); n > 0 {
			fmt.Fprintf(w.out, "level=warning msg=\"log lines dropped\" count=%d\n", n)
		}
		_, _ = w.out.Write(line) // a failed write, as to a closed pipe, must not stop the host
	}
}

// Close stops accepting lines and waits until the buffered ones are written.
func (w *Writer) Close() {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.mu.Unlock()
	<-w.done
}
