package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
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

// callerConn is the state of one connection.
type callerConn struct {
	opened   time.Time
	requests int // used only by the goroutine that serves the connection

	// The following fields are guarded by callerConns.mu.
	state http.ConnState
	since time.Time
	idle  *time.Timer // closes the connection; nil unless it is idle
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
	n := &callerConn{opened: now, since: now}
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.conns[c] = n
	return n
}

// onStateChange starts a timer for a connection that becomes idle and stops it
// on any other change of state.
func (cs *callerConns) onStateChange(c net.Conn, state http.ConnState) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	n := cs.conns[c]
	if n == nil {
		return
	}
	if n.idle != nil {
		n.idle.Stop()
		n.idle = nil
	}
	if state == http.StateClosed || state == http.StateHijacked {
		delete(cs.conns, c)
		return
	}
	n.state, n.since = state, time.Now()
	if state == http.StateIdle {
		n.idle = time.AfterFunc(cs.timeout(), func() { _ = c.Close() })
	}
}

// closeUnused closes the connections without a request, and returns the number of
// those that remain.
func (cs *callerConns) closeUnused() int {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for c, s := range cs.conns {
		if s.state == http.StateIdle || s.state == http.StateNew && time.Since(s.since) >= newConnTimeout {
			_ = c.Close()
		}
	}
	return len(cs.conns)
}

// CloseConns closes the connections of callers once they have no request, and waits
// until all are closed or ctx ends. The listener must be closed before. It replaces
// http.Server.Shutdown, which drops a request that is read after its start without
// an answer.
func (g *Gateway) CloseConns(ctx context.Context) error {
	ticker := time.NewTicker(closeInterval)
	defer ticker.Stop()
	for g.callers.closeUnused() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

func (g *Gateway) idleTimeout() time.Duration {
	if t, _ := g.deps.Tables.Table(); t != nil && t.Limits.IdleTimeout > 0 {
		return t.Limits.IdleTimeout
	}
	return defaultIdleTimeout
}
