package slope

import (
	"net/http"
	"strings"
	"sync"
	"sync/atomic"

	"quetzalhook/platform/standin"
)

// calls counts the calls of the platform by kind and passes them on.
type calls struct {
	next    http.Handler
	bytes   atomic.Int64 // of answers
	watches atomic.Int64 // open now

	mu     sync.Mutex
	counts map[string]int64
}

// ServeHTTP implements http.Handler.
func (c *calls) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	op, kind := standin.Operation(r)
	if kind == "" {
		kind, _, _ = strings.Cut(strings.Trim(r.URL.Path, "/"), "/")
	}
	c.mu.Lock()
	c.counts[op+" "+kind]++
	c.mu.Unlock()
	if op == standin.OperationWatch {
		c.watches.Add(1)
		defer c.watches.Add(-1)
	}
	c.next.ServeHTTP(&counter{ResponseWriter: w, bytes: &c.bytes}, r)
}

// counter counts the bytes of an answer.
type counter struct {
	http.ResponseWriter
	bytes *atomic.Int64
}

// Write implements http.ResponseWriter.
func (c *counter) Write(p []byte) (int, error) {
	c.bytes.Add(int64(len(p)))
	return c.ResponseWriter.Write(p)
}

// Unwrap lets a response controller reach the flusher of a watch.
func (c *counter) Unwrap() http.ResponseWriter { return c.ResponseWriter }
