package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// defaultIdleTimeout holds until a table sets another one.
const defaultIdleTimeout = 30 * time.Second

// idleConns closes callers' connections that are idle for too long. The limit
// follows the routing table, while http.Server.IdleTimeout is fixed once the
// server runs.
type idleConns struct {
	limit func() time.Duration

	mu     sync.Mutex
	timers map[net.Conn]*time.Timer
}

func newIdleConns(limit func() time.Duration) *idleConns {
	return &idleConns{limit: limit, timers: make(map[net.Conn]*time.Timer)}
}

// ConnState is the hook of an http.Server.
func (g *Gateway) ConnState(c net.Conn, state http.ConnState) { g.idle.change(c, state) }

func (i *idleConns) change(c net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if t := i.timers[c]; t != nil {
		t.Stop()
		delete(i.timers, c)
	}
	if state == http.StateIdle {
		i.timers[c] = time.AfterFunc(i.limit(), func() { _ = c.Close() })
	}
}

func (g *Gateway) idleTimeout() time.Duration {
	if t, _ := g.deps.Tables.Table(); t != nil && t.Limits.IdleTimeout > 0 {
		return t.Limits.IdleTimeout
	}
	return defaultIdleTimeout
}
