package caller

import (
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"quetzalhook/internal/entry/budget"
)

const (
	// stepInterval is the time between two looks for callers that make no progress, and
	// logInterval that between two log lines about closed connections.
	stepInterval = 200 * time.Millisecond
	logInterval  = time.Second
	// retryAfter is sent with a refusal for lack of memory. Within it, every claim that
	// makes no progress has given way.
	retryAfter = budget.EvictAfter
	// RequestMemory is what a request takes besides its header section and its body:
	// stacks, buffers, and its connection to an upstream.
	RequestMemory = 24 << 10
	// minChunk and maxChunk are the sizes of the parts in which a body is kept. A part
	// is as large as what has arrived before, so that at most half is unused.
	minChunk = 2 << 10
	maxChunk = 64 << 10
)

// ErrorKind classifies the errors of this package.
type ErrorKind string

// Kinds of errors.
const (
	// ErrorNoMemory reports that memory is short. The request has not run.
	ErrorNoMemory ErrorKind = "no-memory"
	// ErrorSlow reports a body that did not arrive in time.
	ErrorSlow ErrorKind = "body-too-slow"
	// ErrorTooLarge reports a body over the limit.
	ErrorTooLarge ErrorKind = "too-large"
	// ErrorBroken reports a body that cannot be read.
	ErrorBroken ErrorKind = "body-broken"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind ErrorKind
	// RetryAfter is when memory may be free again.
	RetryAfter time.Duration
	Err        error
}

// Error implements error.
func (e *Error) Error() string {
	s := "caller: " + e.Op + ": " + string(e.Kind)
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Memory carries out the decisions of a budget.Ledger for the callers of a process. A
// nil Memory has no bound.
type Memory struct {
	log logrus.FieldLogger

	mu     sync.Mutex
	ledger *budget.Ledger
	closed map[string]int64 // connections by reason
	conns  []*Conns

	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// NewMemory returns a Memory for the plan. Close must be called.
func NewMemory(p budget.Plan, log logrus.FieldLogger) *Memory {
	ctx, cancel := context.WithCancel(context.Background())
	m := &Memory{log: log, ledger: budget.NewLedger(p.Memory), closed: make(map[string]int64), cancel: cancel}
	m.wg.Go(func() { m.run(ctx) })
	return m
}

// Close stops the checks and waits for their goroutine.
func (m *Memory) Close() error {
	m.cancel()
	m.wg.Wait()
	return nil
}

// Limit returns the bytes that may be held in all; 0 means no bound.
func (m *Memory) Limit() int64 {
	if m == nil {
		return 0
	}
	return m.ledger.Limit()
}

func (m *Memory) attach(cs *Conns) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.conns = append(m.conns, cs)
}

// Publish registers the metrics with publish.
func (m *Memory) Publish(publish func(name string, f func() any)) {
	publish("caller-memory-held", func() any { return m.Held() })
	publish("caller-memory-limit", func() any { return m.Limit() })
	publish("caller-memory-waiting", func() any { return m.Waiting() })
	publish("callers-closed", func() any { return m.Counts() })
}

// run ends what makes no progress, until ctx ends.
func (m *Memory) run(ctx context.Context) {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	logged, last := make(map[string]int64), time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		m.mu.Lock()
		m.ledger.Step(now)
		m.apply()
		conns := m.conns
		m.mu.Unlock()
		for _, cs := range conns {
			cs.step(now)
		}
		if now.Sub(last) >= logInterval {
			last = now
			m.logCounts(logged)
		}
	}
}

// logCounts logs what was closed and refused since the last call.
func (m *Memory) logCounts(logged map[string]int64) {
	counts, held := m.Counts(), m.Held()
	for reason, n := range counts {
		if n > logged[reason] {
			m.log.WithField("reason", reason).WithField("count", n-logged[reason]).WithField("held-bytes", held).Info("callers closed or refused")
		}
	}
	maps.Copy(logged, counts)
}

// Counts returns the connections that were closed and the requests that were ended for
// memory or slowness, by reason.
func (m *Memory) Counts() map[string]int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	counts := maps.Clone(m.closed)
	for _, r := range []budget.Reason{budget.NoMemory, budget.Stalled, budget.TooSlow} {
		counts["request-"+string(r)] = m.ledger.Ends(r)
	}
	return counts
}

// Held returns the bytes held, by purpose.
func (m *Memory) Held() map[string]int64 {
	m.mu.Lock()
	conns := m.conns
	held := make(map[string]int64)
	for p := range budget.Purposes {
		held[p.String()] = m.ledger.Used(p)
	}
	m.mu.Unlock()
	for _, cs := range conns {
		held["connections"] += int64(cs.Open()) * budget.ConnectionMemory
	}
	return held
}

// Waiting returns the number of requests that wait for memory.
func (m *Memory) Waiting() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ledger.Waiting()
}

func (m *Memory) count(reason string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closed[reason]++
}

// apply carries out the decisions of the ledger. m.mu must be locked.
func (m *Memory) apply() {
	for _, e := range m.ledger.Effects() {
		h := e.Claim.Holder.(*Holding)
		if e.Reason != "" && h.abort != nil {
			h.abort() // ends a read that waits for the caller
		}
		select {
		case h.decided <- struct{}{}:
		default: // the claim does not wait
		}
	}
}

// Holding is the memory that is held for one request or header section. A nil Holding
// has no bound.
type Holding struct {
	memory  *Memory
	claim   budget.Claim
	decided chan struct{}
	abort   func() // nil while nothing arrives; guarded by memory.mu
}

// Open returns a Holding for a customer whose caller waits for patience.
func (m *Memory) Open(owner string, patience time.Duration) *Holding {
	if m == nil {
		return nil
	}
	h := &Holding{memory: m, decided: make(chan struct{}, 1)}
	h.claim.Holder = h
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ledger.Open(&h.claim, owner, patience)
	return h
}

// Close returns everything that is held.
func (h *Holding) Close() {
	if h == nil {
		return
	}
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	h.abort = nil
	h.memory.ledger.Close(&h.claim, time.Now())
	h.memory.apply()
}

// Reserve reserves n bytes. It waits shortly for them, until done is closed.
func (h *Holding) Reserve(done <-chan struct{}, p budget.Purpose, n int64) error {
	if h == nil {
		return nil
	}
	m := h.memory
	m.mu.Lock()
	select {
	case <-h.decided: // of an earlier wait
	default:
	}
	verdict := m.ledger.Reserve(&h.claim, p, n, time.Now())
	m.apply()
	m.mu.Unlock()
	if verdict == budget.Wait {
		select {
		case <-h.decided:
		case <-done:
			return &Error{Op: "reserve", Kind: ErrorBroken, Err: context.Canceled}
		}
	}
	return h.ended(verdict)
}

// ended returns the error of a claim that was ended or refused.
func (h *Holding) ended(verdict budget.Verdict) error {
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	switch reason := h.claim.Ended(); {
	case reason == budget.NoMemory || reason == "" && verdict == budget.Refused:
		return &Error{Op: "reserve", Kind: ErrorNoMemory, RetryAfter: retryAfter}
	case reason != "":
		return &Error{Op: "read", Kind: ErrorSlow}
	}
	return nil
}

// Release returns n bytes before the end.
func (h *Holding) Release(p budget.Purpose, n int64) {
	if h == nil {
		return
	}
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	h.memory.ledger.Release(&h.claim, p, n, time.Now())
	h.memory.apply()
}

// arrive says that a body or header section begins to arrive; abort ends its read.
func (h *Holding) arrive(abort func()) {
	if h == nil {
		return
	}
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	h.abort = abort
	h.memory.ledger.Arrive(&h.claim, time.Now())
}

// received says that n bytes have arrived.
func (h *Holding) received(n int) {
	if h == nil {
		return
	}
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	h.memory.ledger.Received(&h.claim, int64(n), time.Now())
}

// complete says that everything has arrived. After it, abort is not called.
func (h *Holding) complete() {
	if h == nil {
		return
	}
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	h.abort = nil
	h.memory.ledger.Complete(&h.claim)
}

// ReadBody reads the body of a request in parts, of limit bytes at most, and reserves
// memory for it as it arrives. After an error the connection is closed.
func (h *Holding) ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([][]byte, error) {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return nil, nil
	}
	control := http.NewResponseController(w)
	stop := func() { _ = control.SetReadDeadline(time.Unix(0, 0)) } // an error shows in the read
	h.arrive(stop)
	parts, err := h.readParts(r, http.MaxBytesReader(w, r.Body, limit))
	h.complete()
	if err == nil && h != nil {
		// The claim may have been ended after the last byte: its connection cannot be
		// read any more, which would look like a caller that has gone.
		err = h.ended(budget.Granted)
	}
	if err == nil {
		return parts, nil
	}
	w.Header().Set("Connection", "close")
	var own *Error
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &own):
		stop() // the server must not wait for the rest
		return nil, own
	case errors.As(err, &tooLarge):
		return nil, &Error{Op: "read", Kind: ErrorTooLarge, Err: err}
	case h != nil:
		if ended := h.ended(budget.Granted); ended != nil {
			return nil, ended
		}
	}
	return nil, &Error{Op: "read", Kind: ErrorBroken, Err: err}
}

// readParts reads body to its end.
func (h *Holding) readParts(r *http.Request, body io.Reader) ([][]byte, error) {
	var parts [][]byte
	var part []byte
	total, declared := 0, int(max(r.ContentLength, -1))
	for {
		if len(part) == cap(part) {
			if len(part) > 0 {
				parts = append(parts, part)
			}
			size := min(max(total, minChunk), maxChunk)
			if left := declared - total; declared >= 0 {
				size = max(min(size, left), 1)
			}
			if err := h.Reserve(r.Context().Done(), budget.Bodies, int64(size)); err != nil {
				return nil, err
			}
			part = make([]byte, 0, size)
		}
		n, err := body.Read(part[len(part):cap(part)])
		part = part[:len(part)+n]
		total += n
		if n > 0 {
			h.received(n)
		}
		if err == io.EOF {
			if len(part) > 0 {
				parts = append(parts, part)
			}
			return parts, nil
		}
		if err != nil {
			return nil, err
		}
	}
}
