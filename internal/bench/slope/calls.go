package slope

import (
	"net/http"
	"strings"
	"sync"
	"sync/atomic"

	"quetzalhook/platform/standin"
)

// platformCalls counts the calls to the platform by kind and forwards them.
type platformCalls struct {
	next    http.Handler
	bytes   atomic.Int64 // bytes of all response bodies
	watches atomic.Int64 // currently open watches

	mu     sync.Mutex
	counts map[string]int64
}

// ServeHTTP implements http.Handler.
func (c *platformCalls) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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
	c.next.ServeHTTP(&byteCounter{ResponseWriter: w, bytes: &c.bytes}, r)
}

// byteCounter counts the bytes of a response body.
type byteCounter struct {
	http.ResponseWriter
	bytes *atomic.Int64
}

// Write implements http.ResponseWriter.
func (c *byteCounter) Write(p []byte) (int, error) {
	c.bytes.Add(int64(len(p)))
	return c.ResponseWriter.Write(p)
}

// Unwrap gives http.ResponseController access to the wrapped writer, so that
// watches can flush.
func (c *byteCounter) Unwrap() http.ResponseWriter { return c.ResponseWriter }
