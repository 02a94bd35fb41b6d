package slope

import (
	"net/http"
	"strings"
	"sync"
	"sync/atomic"

	"quetzalhook/internal/platform/object"
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
	c.mu.Lock()
	c.counts[kindOf(r)]++
	c.mu.Unlock()
	if r.URL.Path == object.PathWatch {
		c.watches.Add(1)
		defer c.watches.Add(-1)
	}
	c.next.ServeHTTP(&counter{ResponseWriter: w, bytes: &c.bytes}, r)
}

// kindOf names a call: the operation and the first part of the key.
func kindOf(r *http.Request) string {
	op := "read"
	if r.Method != http.MethodGet {
		op = "write"
	}
	switch r.URL.Path {
	case object.PathWatch:
		return "watch " + firstPart(r.URL.Query().Get("prefix"))
	case object.PathList:
		return "list " + firstPart(r.URL.Query().Get("prefix"))
	}
	return op + " " + firstPart(strings.TrimPrefix(r.URL.Path, object.PathObjects))
}

func firstPart(key string) string {
	first, _, _ := strings.Cut(strings.Trim(key, "/"), "/")
	return first
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
