package caller

import (
	"cmp"
	"container/list"
	"context"
	"crypto/tls"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"quetzalhook/internal/entry/connection"
)

const (
	// EndTime is the time before the end of a stop at which the remaining requests are
	// ended, so that their callers get an answer.
	EndTime = 200 * time.Millisecond
	// newConnTimeout is how long a stopping host waits for the first request on a
	// connection that it has accepted.
	newConnTimeout = 500 * time.Millisecond
	// newTLSConnTimeout replaces newConnTimeout for a connection with TLS, whose
	// handshake takes round trips and processor time.
	newTLSConnTimeout = 5 * time.Second
	// closeInterval is the time between two checks for connections to close.
	closeInterval = 5 * time.Millisecond
)

// Limits are those of the connections to a server. Zero values mean the defaults.
type Limits struct {
	// HeaderBytes bounds a header section, and HeaderTime the time from its first byte
	// to its end.
	HeaderBytes int
	HeaderTime  time.Duration
	// IdleTime is how long a connection may have no request.
	IdleTime time.Duration
}

// These limits apply where none is configured.
const (
	DefaultHeaderBytes = 64 << 10
	DefaultHeaderTime  = 10 * time.Second
	DefaultIdleTime    = 30 * time.Second
)

func (l Limits) withDefaults() Limits {
	return Limits{
		HeaderBytes: cmp.Or(l.HeaderBytes, DefaultHeaderBytes), HeaderTime: cmp.Or(l.HeaderTime, DefaultHeaderTime),
		IdleTime: cmp.Or(l.IdleTime, DefaultIdleTime),
	}
}

// Conns holds the connections of callers to one server. It closes those that have been
// idle for too long, those whose header section does not arrive in time and, when there
// are too many, one without a request for each new one; and all unused ones in a stop.
// HTTP/2 connections are left to the server, whose idle timeout and Shutdown tell
// callers which requests have not run.
type Conns struct {
	limits func() Limits // nil if the server has an idle timeout
	memory *Memory       // nil without bounds
	max    int           // connections; 0 means no limit

	mu      sync.Mutex
	conns   map[net.Conn]*Conn // those that the server has
	open    int                // accepted and not closed
	closing int                // of these, told to close because there are too many
	// Connections without a request, the longest first: those without any byte yet,
	// those that have had a request, and those whose header section is arriving.
	fresh, idle, heading *list.List
}

// Conn is one connection. While it may have a request it is never closed directly, since
// that could cut a request that the server is reading: a deadline in the past makes the
// server close it, unless a request has been read.
type Conn struct {
	net.Conn   // without TLS
	conns      *Conns
	opened     time.Time
	requests   int           // used only by the goroutine that serves the connection
	newTimeout time.Duration // for the first request, in a stop
	tls        *tls.Conn     // nil without TLS
	head       head
	closeOnce  sync.Once
	// writeEnd is the deadline that the server has set for writes, in Unix ns; 0 for
	// none.
	writeEnd atomic.Int64
	aborted  atomic.Bool

	// list and element are the place in a list of conns, guarded by conns.mu.
	list    *list.List
	element *list.Element
	queued  time.Time
	evicted bool

	mu      sync.Mutex
	state   http.ConnState
	since   time.Time
	timer   *time.Timer // closes the connection; nil unless it is idle
	expired bool        // the read deadline is in the past
	http2   bool
}

// connKey is the key of a connection's *Conn in the context of its requests.
type connKey struct{}

// Option sets one property of a Conns.
type Option func(*Conns)

// WithMemory bounds the number of connections, and counts their header sections in m.
func WithMemory(m *Memory, connections int) Option {
	return func(cs *Conns) { cs.memory, cs.max = m, connections }
}

// NewConns returns an empty Conns. The limits are looked up for each connection and may
// change, while those of http.Server are fixed once the server runs; with nil, the
// defaults apply, and the idle timeout is left to the server.
func NewConns(limits func() Limits, opts ...Option) *Conns {
	cs := &Conns{limits: limits, conns: make(map[net.Conn]*Conn), fresh: list.New(), idle: list.New(), heading: list.New()}
	for _, o := range opts {
		o(cs)
	}
	if cs.memory != nil {
		cs.memory.attach(cs)
	}
	return cs
}

func (cs *Conns) currentLimits() Limits {
	if cs.limits == nil {
		return Limits{}.withDefaults()
	}
	return cs.limits().withDefaults()
}

// Attach makes cs follow the connections of a server. It must be called before the
// server serves.
func (cs *Conns) Attach(s *http.Server) {
	s.ConnState = cs.onStateChange
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, cs.add(c))
	}
}

// FromContext returns the connection of the request with this context, or nil if the
// server is not attached to a Conns.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// CountRequest counts a request on the connection. It must be called by the goroutine
// that serves the request.
func (c *Conn) CountRequest() { c.requests++ }

// Requests returns the number of requests counted.
func (c *Conn) Requests() int { return c.requests }

// Age returns the time since the connection was accepted.
func (c *Conn) Age() time.Duration { return time.Since(c.opened) }

// newConn returns a Conn of an accepted connection.
func (cs *Conns) newConn(raw net.Conn) *Conn {
	now := time.Now()
	c := &Conn{Conn: raw, conns: cs, opened: now, since: now, newTimeout: newConnTimeout}
	c.head.reading.Store(true)
	return c
}

// add starts to follow a connection that the server has.
func (cs *Conns) add(outer net.Conn) *Conn {
	raw := outer
	t, isTLS := outer.(*tls.Conn)
	if isTLS {
		raw = t.NetConn()
	}
	c, ok := raw.(*Conn)
	if !ok { // the listener is not that of Listen
		c = cs.newConn(raw)
	}
	if isTLS {
		c.tls, c.newTimeout = t, newTLSConnTimeout
	}
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.conns[outer] = c
	return c
}

// onStateChange follows the state of a connection. The server calls it with StateActive
// once it has read the header of a request, and before it handles the request.
func (cs *Conns) onStateChange(outer net.Conn, state http.ConnState) {
	cs.mu.Lock()
	c := cs.conns[outer]
	if c != nil {
		switch state {
		case http.StateNew:
			cs.enqueue(c, cs.fresh)
		case http.StateIdle:
			cs.enqueue(c, cs.idle)
		case http.StateActive:
			cs.enqueue(c, nil)
			if c.evicted { // a request has come first
				c.evicted = false
				cs.closing--
			}
		case http.StateClosed, http.StateHijacked:
			cs.enqueue(c, nil)
			delete(cs.conns, outer)
		}
	}
	cs.mu.Unlock()
	if c != nil {
		c.setState(state)
	}
}

// enqueue moves a connection to the end of a list, or removes it from its list. cs.mu
// must be locked.
func (cs *Conns) enqueue(c *Conn, to *list.List) {
	if c.list != nil {
		c.list.Remove(c.element)
	}
	if c.list = to; to != nil {
		c.queued, c.element = time.Now(), to.PushBack(c)
	}
}

// setState starts a timer for a connection that becomes idle and stops it on any other
// change of state.
func (c *Conn) setState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.timer != nil {
		c.timer.Stop()
		c.timer = nil
	}
	if c.tls != nil && state == http.StateActive { // after the handshake
		c.http2 = c.tls.ConnectionState().NegotiatedProtocol == "h2"
	}
	c.state, c.since = state, time.Now()
	switch {
	case state == http.StateIdle && !c.http2:
		c.head.restart()
		if c.conns.limits != nil {
			since := c.since
			c.timer = time.AfterFunc(c.conns.currentLimits().IdleTime, func() { c.closeIdle(since) })
		}
	case state == http.StateActive:
		c.head.complete()
		if c.expired {
			c.expired = false
			_ = c.SetReadDeadline(time.Time{}) // an error shows when the body is read
		}
	case state == http.StateClosed:
		c.head.release()
	}
}

// closeIdle closes the connection if it has been idle since the given time. It tries
// again until the state has changed.
func (c *Conn) closeIdle(since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == http.StateIdle && c.since.Equal(since) {
		c.expire()
		c.timer.Reset(closeInterval)
	}
}

// closeUnused closes the connection if it has no request. It reports whether the
// server closes the connection itself, as it does those of HTTP/2.
func (c *Conn) closeUnused() (left bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.http2 && (c.state == http.StateIdle || c.state == http.StateNew && time.Since(c.since) >= c.newTimeout) {
		c.expire()
	}
	return c.http2
}

// expire makes the server close the connection, unless a request is there. It reports
// whether it does. c.mu must be locked.
func (c *Conn) expire() bool {
	if connection.HasInput(c.Conn) {
		return false
	}
	c.expired = true
	_ = c.SetReadDeadline(time.Unix(0, 0)) // fails only if the connection is closed
	return true
}

// CloseUnused closes the connections without a request, and returns the number of
// those that remain, without those of HTTP/2.
func (cs *Conns) CloseUnused() int {
	cs.mu.Lock()
	conns := slices.Collect(maps.Values(cs.conns))
	cs.mu.Unlock()
	n := 0
	for _, c := range conns {
		if !c.closeUnused() {
			n++
		}
	}
	return n
}

// Close closes the connections once they have no request, except those of HTTP/2, and
// waits until all are closed. It returns the error of ctx if that ends first. The
// listener must be closed before.
func (cs *Conns) Close(ctx context.Context) error {
	ticker := time.NewTicker(closeInterval)
	defer ticker.Stop()
	for cs.CloseUnused() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// BeforeEnd returns a context that ends EndTime before the deadline of ctx, or with ctx.
func BeforeEnd(ctx context.Context) (context.Context, context.CancelFunc) {
	if deadline, ok := ctx.Deadline(); ok {
		return context.WithDeadline(ctx, deadline.Add(-EndTime))
	}
	return context.WithCancel(ctx)
}
