package caller

import (
	"context"
	"crypto/tls"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
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

// Conns holds the connections of callers to one server. It closes those that have been
// idle for too long, if it has a timeout, and all unused ones in a stop. HTTP/2
// connections are left to the server, whose idle timeout and Shutdown tell callers
// which requests have not run.
type Conns struct {
	timeout func() time.Duration // nil if the server has a timeout

	mu    sync.Mutex
	conns map[net.Conn]*Conn
}

// Conn is one connection. It is never closed directly, since that could cut a request
// that the server is reading: a deadline in the past makes the server close it, unless
// a request has been read.
type Conn struct {
	net.Conn
	raw        net.Conn // without TLS
	opened     time.Time
	requests   int           // used only by the goroutine that serves the connection
	newTimeout time.Duration // for the first request, in a stop

	mu      sync.Mutex
	state   http.ConnState
	since   time.Time
	idle    *time.Timer // closes the connection; nil unless it is idle
	expired bool        // the read deadline is in the past
	http2   bool
}

// connKey is the key of a connection's *Conn in the context of its requests.
type connKey struct{}

// NewConns returns an empty Conns. The timeout of idle connections is looked up for each
// of them and may change, while http.Server.IdleTimeout is fixed once the server runs;
// with nil, only the timeout of the server applies.
func NewConns(timeout func() time.Duration) *Conns {
	return &Conns{timeout: timeout, conns: make(map[net.Conn]*Conn)}
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

// add starts to follow a connection.
func (cs *Conns) add(c net.Conn) *Conn {
	now := time.Now()
	n := &Conn{Conn: c, raw: c, opened: now, since: now, newTimeout: newConnTimeout}
	if t, ok := c.(*tls.Conn); ok {
		n.raw, n.newTimeout = t.NetConn(), newTLSConnTimeout
	}
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.conns[c] = n
	return n
}

// onStateChange follows the state of a connection. The server calls it with StateActive
// once it has read the header of a request, and before it handles the request.
func (cs *Conns) onStateChange(c net.Conn, state http.ConnState) {
	cs.mu.Lock()
	n := cs.conns[c]
	if state == http.StateClosed || state == http.StateHijacked {
		delete(cs.conns, c)
	}
	cs.mu.Unlock()
	if n != nil {
		n.setState(state, cs.timeout)
	}
}

// setState starts a timer for a connection that becomes idle and stops it on any other
// change of state.
func (c *Conn) setState(state http.ConnState, timeout func() time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle != nil {
		c.idle.Stop()
		c.idle = nil
	}
	if t, ok := c.Conn.(*tls.Conn); ok && state == http.StateActive { // after the handshake
		c.http2 = t.ConnectionState().NegotiatedProtocol == "h2"
	}
	c.state, c.since = state, time.Now()
	switch {
	case state == http.StateIdle && timeout != nil && !c.http2:
		since := c.since
		c.idle = time.AfterFunc(timeout(), func() { c.closeIdle(since) })
	case state == http.StateActive && c.expired:
		c.expired = false
		_ = c.SetReadDeadline(time.Time{}) // an error shows when the body is read
	}
}

// closeIdle closes the connection if it has been idle since the given time. It tries
// again until the state has changed.
func (c *Conn) closeIdle(since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == http.StateIdle && c.since.Equal(since) {
		c.expire()
		c.idle.Reset(closeInterval)
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

// expire makes the server close the connection, unless a request is there. c.mu must
// be locked.
func (c *Conn) expire() {
	if connection.HasInput(c.raw) {
		return
	}
	c.expired = true
	_ = c.SetReadDeadline(time.Unix(0, 0)) // fails only if the connection is closed
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
