package gateway

import (
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"quetzalhook/internal/entry/connection"
)

const (
	// defaultIdleTimeout applies until a routing table sets an idle timeout.
	defaultIdleTimeout = 30 * time.Second
	// newConnTimeout is how long a stopping host waits for the first request on a
	// connection that it has accepted.
	newConnTimeout = 500 * time.Millisecond
	// closeInterval is the time between two checks for connections to close.
	closeInterval = 5 * time.Millisecond
)

// callerConns holds the connections of callers. It closes those that have been idle
// for too long: the timeout comes from the current routing table and may change,
// while http.Server.IdleTimeout is fixed once the server runs.
type callerConns struct {
	timeout func() time.Duration

	mu    sync.Mutex
	conns map[net.Conn]*callerConn
}

// callerConn is one connection. It is never closed directly, since that could cut a
// request that the server is reading: a deadline in the past makes the server close
// it, unless a request has been read.
type callerConn struct {
	net.Conn
	opened   time.Time
	requests int // used only by the goroutine that serves the connection

	mu      sync.Mutex
	state   http.ConnState
	since   time.Time
	idle    *time.Timer // closes the connection; nil unless it is idle
	expired bool        // the read deadline is in the past
}

// connKey is the key of a connection's *callerConn in the context of its requests.
type connKey struct{}

func newCallerConns(timeout func() time.Duration) *callerConns {
	return &callerConns{timeout: timeout, conns: make(map[net.Conn]*callerConn)}
}

// Attach makes the gateway follow the connections of a server whose handler it is. It
// must be called before the server serves.
func (g *Gateway) Attach(s *http.Server) {
	s.ConnState = g.callers.onStateChange
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, g.callers.add(c))
	}
}

// add starts to follow a connection.
func (cs *callerConns) add(c net.Conn) *callerConn {
	now := time.Now()
	n := &callerConn{Conn: c, opened: now, since: now}
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.conns[c] = n
	return n
}

// onStateChange follows the state of a connection. The server calls it with StateActive
// once it has read the header of a request, and before it handles the request.
func (cs *callerConns) onStateChange(c net.Conn, state http.ConnState) {
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
func (n *callerConn) setState(state http.ConnState, timeout func() time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.idle != nil {
		n.idle.Stop()
		n.idle = nil
	}
	n.state, n.since = state, time.Now()
	switch {
	case state == http.StateIdle:
		since := n.since
		n.idle = time.AfterFunc(timeout(), func() { n.closeIdle(since) })
	case state == http.StateActive && n.expired:
		n.expired = false
		_ = n.SetReadDeadline(time.Time{}) // an error shows when the body is read
	}
}

// closeIdle closes the connection if it has been idle since the given time. It tries
// again until the state has changed.
func (n *callerConn) closeIdle(since time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.state == http.StateIdle && n.since.Equal(since) {
		n.expire()
		n.idle.Reset(closeInterval)
	}
}

// closeUnused closes the connection if it has no request.
func (n *callerConn) closeUnused() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.state == http.StateIdle || n.state == http.StateNew && time.Since(n.since) >= newConnTimeout {
		n.expire()
	}
}

// expire makes the server close the connection, unless a request is there. n.mu must
// be locked.
func (n *callerConn) expire() {
	if connection.HasInput(n.Conn) {
		return
	}
	n.expired = true
	_ = n.SetReadDeadline(time.Unix(0, 0)) // fails only if the connection is closed
}

// closeUnused closes the connections without a request, and returns the number of
// those that remain.
func (cs *callerConns) closeUnused() int {
	cs.mu.Lock()
	conns := slices.Collect(maps.Values(cs.conns))
	cs.mu.Unlock()
	for _, n := range conns {
		n.closeUnused()
	}
	return len(conns)
}

func (g *Gateway) idleTimeout() time.Duration {
	if t, _ := g.deps.Tables.Table(); t != nil && t.Limits.IdleTimeout > 0 {
		return t.Limits.IdleTimeout
	}
	return defaultIdleTimeout
}
