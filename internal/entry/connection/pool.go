package connection

import (
	"bufio"
	"context"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"quetzalhook"
)

const (
	// idleLimit is how long an unused connection is kept if the upstream does
	// not say how long it waits.
	idleLimit = 4 * time.Second
	// idleMargin is taken off the time that an upstream says, so that a request
	// does not meet its close on the way.
	idleMargin = 500 * time.Millisecond
	// sweepInterval is the time between two searches for expired connections.
	sweepInterval = time.Second
	// bufferSize is that of the reader of a connection.
	bufferSize = 4 << 10
)

// Target names where to send a request.
type Target struct {
	ID      quetzalhook.UpstreamID
	Address string
	// Started tells two lives of an upstream with one ID apart.
	Started int64
	// MaxConnections bounds this host's connections to the upstream; 0 means no
	// bound.
	MaxConnections int
}

// key names a pool: connections are never shared between two lives of an
// upstream or two addresses.
type key struct {
	id      quetzalhook.UpstreamID
	address string
	started int64
}

func (t Target) key() key { return key{t.ID, t.Address, t.Started} }

// conn is one connection.
type conn struct {
	net.Conn
	reader *bufio.Reader
	uses   int
	expiry time.Time // when an idle connection is closed
}

// group holds the connections to one upstream.
type group struct {
	idle []*conn // oldest first
	open int
}

// Pool holds the connections to all upstreams. It is safe for concurrent use.
type Pool struct {
	clock  quetzalhook.Clock
	dialer *net.Dialer

	mu     sync.Mutex
	groups map[key]*group
	opened int64
	closed bool

	stop chan struct{}
	wg   sync.WaitGroup
}

// NewPool returns a pool without connections.
func NewPool(clock quetzalhook.Clock) *Pool {
	p := &Pool{clock: clock, dialer: Dialer(), groups: make(map[key]*group), stop: make(chan struct{})}
	p.wg.Go(p.sweep)
	return p
}

// Opened returns the number of connections opened so far.
func (p *Pool) Opened() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// Close closes all idle connections and waits for the background work. Those
// in use end with their requests.
func (p *Pool) Close() error {
	p.mu.Lock()
	p.closed = true
	for _, g := range p.groups {
		for _, c := range g.idle {
			_ = c.Conn.Close()
		}
		g.open -= len(g.idle)
		g.idle = nil
	}
	p.mu.Unlock()
	close(p.stop)
	p.wg.Wait()
	return nil
}

// sweep closes expired idle connections.
func (p *Pool) sweep() {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-p.stop:
			return
		case <-ticker.C:
		}
		now := p.clock.Now()
		p.mu.Lock()
		for k, g := range p.groups {
			kept := g.idle[:0]
			for _, c := range g.idle {
				if now.Before(c.expiry) {
					kept = append(kept, c)
					continue
				}
				g.open--
				_ = c.Conn.Close()
			}
			g.idle = kept
			if g.open == 0 {
				delete(p.groups, k)
			}
		}
		p.mu.Unlock()
	}
}

// get returns an idle connection or opens one. With fresh it always opens one.
func (p *Pool) get(ctx context.Context, t Target, fresh bool) (*conn, error) {
	for !fresh {
		c := p.takeIdle(t.key())
		if c == nil {
			break
		}
		if isIdle(c.Conn) {
			return c, nil
		}
		p.discard(t.key(), c)
	}
	if err := p.reserve(t); err != nil {
		return nil, err
	}
	raw, err := p.dialer.DialContext(ctx, "tcp", t.Address)
	if err != nil {
		p.release(t.key())
		return nil, &Error{Op: "dial", Kind: ErrorNotSent, Upstream: t.ID, Err: err}
	}
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, bufferSize)}, nil
}

// takeIdle returns the connection that was used last, or nil.
func (p *Pool) takeIdle(k key) *conn {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.groups[k]
	for g != nil && len(g.idle) > 0 {
		last := len(g.idle) - 1
		c := g.idle[last]
		g.idle = g.idle[:last]
		if now.Before(c.expiry) {
			return c
		}
		g.open--
		_ = c.Conn.Close()
	}
	return nil
}

// reserve counts a connection that is about to be opened. At the limit an idle
// connection makes room.
func (p *Pool) reserve(t Target) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return &Error{Op: "dial", Kind: ErrorNotSent, Upstream: t.ID, Err: errors.New("the pool is closed")}
	}
	g := p.groups[t.key()]
	if g == nil {
		g = &group{}
		p.groups[t.key()] = g
	}
	if t.MaxConnections > 0 && g.open >= t.MaxConnections {
		if len(g.idle) == 0 {
			return &Error{Op: "dial", Kind: ErrorLimit, Upstream: t.ID, Err: errors.Errorf("%d connections are open", g.open)}
		}
		_ = g.idle[0].Conn.Close()
		g.idle = g.idle[1:]
		g.open--
	}
	g.open++
	p.opened++
	return nil
}

// release counts a connection as closed.
func (p *Pool) release(k key) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if g := p.groups[k]; g != nil {
		g.open--
	}
}

// discard closes a connection.
func (p *Pool) discard(k key, c *conn) {
	_ = c.Conn.Close()
	p.release(k)
}

// put keeps a connection for another request.
func (p *Pool) put(k key, c *conn, limit time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.groups[k]
	if p.closed || g == nil || limit <= 0 {
		_ = c.Conn.Close()
		if g != nil {
			g.open--
		}
		return
	}
	c.expiry = p.clock.Now().Add(limit)
	g.idle = append(g.idle, c)
}

// keepAliveLimit returns how long a connection may stay idle by the value of
// a Keep-Alive header.
func keepAliveLimit(header string) time.Duration {
	for part := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil || seconds < 0 {
			return idleLimit
		}
		return min(time.Duration(seconds)*time.Second-idleMargin, idleLimit)
	}
	return idleLimit
}
