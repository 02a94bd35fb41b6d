// Package intake bounds the memory that the responses of other programs take: of one
// response, and of all that are open at the same time. A faulty program may send bytes
// without end, in a header or in a body, on every connection at once.
package intake

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"

	"golang.org/x/sync/semaphore"

	"quetzalhook/internal/platform/response"
)

const (
	// MaxHeader bounds the header of a response to an own call, in bytes.
	MaxHeader = 8 << 10
	// HeaderFactor is the memory that a header takes once it is parsed, in the worst
	// case, as a multiple of its bytes: a line of a few bytes becomes an entry of a map.
	HeaderFactor = 40
	// stepSize is the number of bytes that are reserved at a time for a body.
	stepSize = 16 << 10
	// DefaultMemory is assumed for a process whose memory is not limited, in bytes.
	DefaultMemory = 1 << 30
)

// minBudget allows for a few responses also if the memory is set far too small.
const minBudget = 4 << 20

// ErrorKind classifies the errors of this package.
type ErrorKind string

const (
	// ErrorTooLong reports a response over the bound for one response.
	ErrorTooLong ErrorKind = "too-long"
	// ErrorNoMemory reports that the open responses take all memory that they may.
	ErrorNoMemory ErrorKind = "no-memory"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind ErrorKind
	// Bytes is the bound, or what could not be reserved.
	Bytes int64
}

// Error implements error.
func (e *Error) Error() string {
	return "intake: " + e.Op + ": " + string(e.Kind) + ": " + strconv.FormatInt(e.Bytes, 10) + " bytes"
}

// The shares of the memory of a process, by who makes it hold data. A faulty upstream
// must not keep the host from its platform, nor must callers. They add up to less than
// the share at which the garbage collector works harder.
const (
	CallerShare   = 0.25 // requests and connections of callers; see internal/entry/budget
	AnswerShare   = 0.15 // answers of upstreams to callers' requests
	EngineShare   = 0.08 // responses of engines to own calls
	PlatformShare = 0.1
)

// Budget is the memory that all open responses of some senders may take together. It is
// safe for concurrent use. A nil Budget has no bound.
type Budget struct {
	free   *semaphore.Weighted
	counts *response.Counts
}

// Option sets one property of a Budget.
type Option func(*Budget)

// WithCounts counts the invalid responses that clients of the budget receive.
func WithCounts(c *response.Counts) Option {
	return func(b *Budget) { b.counts = c }
}

// NewBudget returns the budget for a share of the memory of a process, in bytes; 0 means
// DefaultMemory.
func NewBudget(memory int64, share float64, opts ...Option) *Budget {
	if memory <= 0 {
		memory = DefaultMemory
	}
	b := &Budget{free: semaphore.NewWeighted(max(int64(share*float64(memory)), minBudget))}
	for _, o := range opts {
		o(b)
	}
	return b
}

// TryReserve reserves n bytes, unless they are not free now.
func (b *Budget) TryReserve(n int64) bool { return b == nil || b.free.TryAcquire(n) }

// Reserve reserves n bytes. It waits for them until ctx ends.
func (b *Budget) Reserve(ctx context.Context, n int64) error {
	if b == nil {
		return nil
	}
	return b.free.Acquire(ctx, n)
}

// Release returns n reserved bytes.
func (b *Budget) Release(n int64) {
	if b != nil {
		b.free.Release(n)
	}
}

// Client returns a client for own calls to other programs. It bounds the headers of
// responses, rejects invalid responses, and reserves memory for each response from the
// call until the body is closed. It changes t.
func (b *Budget) Client(t *http.Transport) *http.Client {
	t.MaxResponseHeaderBytes = MaxHeader
	var counts *response.Counts
	if b != nil {
		counts = b.counts
	}
	return &http.Client{Transport: &transport{Transport: response.NewTransport(t, counts), budget: b}}
}

// transport reserves memory for the responses of a response.Transport.
type transport struct {
	*response.Transport
	budget *Budget
}

// RoundTrip implements http.RoundTripper.
func (t *transport) RoundTrip(r *http.Request) (*http.Response, error) {
	const base = HeaderFactor*MaxHeader + stepSize
	if err := t.budget.Reserve(r.Context(), base); err != nil {
		return nil, err
	}
	resp, err := t.Transport.RoundTrip(r)
	if err != nil {
		t.budget.Release(base)
		return nil, err
	}
	resp.Body = &body{ReadCloser: resp.Body, budget: t.budget, reserved: base, left: stepSize}
	return resp, nil
}

// body is the body of a response. It reserves memory for the bytes that are read.
type body struct {
	io.ReadCloser
	budget *Budget
	left   int64 // bytes for which memory is reserved

	mu       sync.Mutex
	reserved int64
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if b.left <= 0 {
		if !b.budget.TryReserve(stepSize) {
			return 0, &Error{Op: "read", Kind: ErrorNoMemory, Bytes: stepSize}
		}
		b.mu.Lock()
		b.reserved += stepSize
		b.mu.Unlock()
		b.left += stepSize
	}
	n, err := b.ReadCloser.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	return n, err
}

// Close implements io.Closer.
func (b *body) Close() error {
	b.mu.Lock()
	reserved := b.reserved
	b.reserved = 0
	b.mu.Unlock()
	b.budget.Release(reserved)
	return b.ReadCloser.Close()
}

// ReadAll reads a body of at most limit bytes. A longer one is an error.
func ReadAll(r io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err == nil && int64(len(data)) > limit {
		return nil, &Error{Op: "read", Kind: ErrorTooLong, Bytes: limit}
	}
	return data, err
}
