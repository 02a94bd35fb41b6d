// Package eventlog writes log lines without ever blocking the code that logs.
//
// Lines go through a buffer of bounded size to a slow or stuck reader. When it
// is full, or when more lines come than the rate allows, lines are dropped and
// their number is written later.
package eventlog

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// bufferLines bounds the lines that wait for the reader; about 1 MB.
	bufferLines = 4096
	// ratePerSecond bounds the lines of one second. A host with 30 requests a
	// second writes about 100.
	ratePerSecond = 2000
)

// Writer is an io.Writer for whole lines. It is safe for concurrent use.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}

	mu     sync.Mutex
	second int64
	count  int
	closed bool
}

// New returns a writer to out.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, bufferLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It never fails and never waits.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return len(line), nil
	}
	if second := time.Now().Unix(); second != w.second {
		w.second, w.count = second, 0
	}
	if w.count++; w.count > ratePerSecond {
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
		_, _ = w.out.Write(line) // a reader that is gone must not stop the host
	}
}

// Close writes what is buffered and waits.
func (w *Writer) Close() {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.mu.Unlock()
	<-w.done
}
