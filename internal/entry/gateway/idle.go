package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// defaultIdleTimeout applies until a routing table sets an idle timeout.
const defaultIdleTimeout = 30 * time.Second

// idleConns closes callers' connections that have been idle for too long. The
// timeout comes from the current routing table and may change, while
// http.Server.IdleTimeout is fixed once the server runs.
type idleConns struct {
	timeout func() time.Duration

	mu     sync.Mutex
	timers map[net.Conn]*time.Timer
}

func newIdleConns(timeout func() time.Duration) *idleConns {
	return &idleConns{timeout: timeout, timers: make(map[net.Conn]*time.Timer)}
}

// ConnState closes idle connections of callers. It must be set as the ConnState
// hook of the http.Server.
func (g *Gateway) ConnState(c net.Conn, state http.ConnState) { g.idle.onStateChange(c, state) }

// onStateChange starts a timer for a connection that becomes idle and stops it
// on any other change of state.
func (i *idleConns) onStateChange(c net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if t := i.timers[c]; t != nil {
		t.Stop()
		delete(i.timers, c)
	}
	if state == http.StateIdle {
		i.timers[c] = time.AfterFunc(i.timeout(), func() { _ = c.Close() })
	}
}

func (g *Gateway) idleTimeout() time.Duration {
	if t, _ := g.deps.Tables.Table(); t != nil && t.Limits.IdleTimeout > 0 {
		return t.Limits.IdleTimeout
	}
	return defaultIdleTimeout
}
