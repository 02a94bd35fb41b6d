package connection

import (
	"bufio"
	"context"
	"crypto/tls"
	"maps"
	"math"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"quetzalhook"
	"quetzalhook/internal/platform/intake"
	"quetzalhook/internal/platform/response"
)

const (
	// maxIdleTime is the longest time for which an idle connection is kept.
	maxIdleTime = 4 * time.Second
	// idleMargin is subtracted from the timeout in the upstream's Keep-Alive header,
	// so that no request is sent while the upstream closes the connection.
	idleMargin = 500 * time.Millisecond
	// sweepInterval is the time between two removals of expired connections.
	sweepInterval = time.Second
	// readBufferSize is the size in bytes of the read buffer of a connection.
	readBufferSize = 4 << 10
)

// Target identifies the upstream to which a request is sent.
type Target struct {
	ID      quetzalhook.UpstreamID
	Address string
	// Started distinguishes an upstream from an earlier one that had the same ID.
	Started int64
	// MaxConnections bounds this host's connections to the upstream; 0 means no
	// limit.
	MaxConnections int
	// TLS is set for a host, to which requests are forwarded, and nil for an upstream.
	TLS *tls.Config
}

// key identifies a group of connections. Connections are not shared between
// upstreams that had the same ID one after the other, or between addresses.
type key struct {
	id      quetzalhook.UpstreamID
	address string
	started int64
}

func (t Target) key() key { return key{t.ID, t.Address, t.Started} }

// conn is a connection to an upstream.
type conn struct {
	net.Conn
	number    int64
	reader    *bufio.Reader // reads from allowance, which reads from checked
	allowance *allowance    // of the bytes of a response header
	checked   *response.Conn
	uses      int       // requests sent
	expiry    time.Time // when the connection is closed if idle
}

// group holds the connections to one upstream.
type group struct {
	idle []*conn // least recently used first
	open int     // number of connections, including those being opened
}

// Pool holds the connections to all upstreams. It is safe for concurrent use.
type Pool struct {
	clock  quetzalhook.Clock
	dialer *net.Dialer
	budget *intake.Budget   // of all open responses
	limit  int              // of the connections to all upstreams; 0 means no limit
	counts *response.Counts // of invalid responses
	dialed func(Target, error)

	mu     sync.Mutex
	groups map[key]*group
	open   int // connections of all groups
	opened int64
	failed map[string]int64 // connections that could not be opened, by cause
	closed bool

	stop chan struct{}
	wg   sync.WaitGroup
}

// Option sets one property of a Pool.
type Option func(*Pool)

// WithBudget bounds the memory that all open responses take together.
func WithBudget(b *intake.Budget) Option {
	return func(p *Pool) { p.budget = b }
}

// WithLimit bounds the number of connections to all upstreams.
func WithLimit(n int) Option {
	return func(p *Pool) { p.limit = n }
}

// WithCounts counts invalid responses.
func WithCounts(c *response.Counts) Option {
	return func(p *Pool) { p.counts = c }
}

// WithDialed sets a function that is called when a connection to an upstream was opened, or
// with an error when it could not be opened. It is not called if this host gave up, or had
// no resources for it.
func WithDialed(f func(Target, error)) Option {
	return func(p *Pool) { p.dialed = f }
}

// NewPool returns an empty pool.
func NewPool(clock quetzalhook.Clock, opts ...Option) *Pool {
	p := &Pool{clock: clock, dialer: NewDialer(), groups: make(map[key]*group), failed: make(map[string]int64), stop: make(chan struct{}), dialed: func(Target, error) {}}
	for _, o := range opts {
		o(p)
	}
	p.wg.Go(p.sweep)
	return p
}

// Opened returns the number of connections opened so far, including failed attempts
// to open one.
func (p *Pool) Opened() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// Failed returns the number of connections that could not be opened, by cause: "timeout",
// "refused" or "other". Those that their requests gave up are not included.
func (p *Pool) Failed() map[string]int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.failed)
}

// countFailed counts a connection that could not be opened.
func (p *Pool) countFailed(err error) {
	cause := "other"
	var timeout net.Error
	switch {
	case errors.As(err, &timeout) && timeout.Timeout():
		cause = "timeout"
	case errors.Is(err, syscall.ECONNREFUSED):
		cause = "refused"
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failed[cause]++
}

// Close closes all idle connections and waits until the background goroutine has
// stopped. Connections in use are closed at the end of their requests.
func (p *Pool) Close() error {
	p.mu.Lock()
	p.closed = true
	for _, g := range p.groups {
		for _, c := range g.idle {
			_ = c.Conn.Close()
		}
		p.open -= len(g.idle)
		g.open -= len(g.idle)
		g.idle = nil
	}
	p.mu.Unlock()
	close(p.stop)
	p.wg.Wait()
	return nil
}

// sweep periodically closes expired idle connections until the pool is closed.
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
				p.open--
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

// get returns an idle connection that the request may use, or opens a new one.
func (p *Pool) get(ctx context.Context, t Target, r *Request) (*conn, error) {
	fresh := r.Fresh || r.isUnnamed()
	for !fresh {
		c := p.takeIdle(t.key(), r.SentOn)
		if c == nil {
			break
		}
		if isIdle(c.Conn) {
			return c, nil
		}
		p.discard(t.key(), c)
	}
	return p.dial(ctx, t)
}

// dial opens a new connection.
func (p *Pool) dial(ctx context.Context, t Target) (*conn, error) {
	number, err := p.reserve(t)
	if err != nil {
		return nil, err
	}
	raw, err := p.connect(ctx, t)
	if t.TLS == nil && (err == nil || ctx.Err() == nil && !lacksResources(err)) {
		p.dialed(t, err)
	}
	if err != nil {
		p.release(t.key())
		if t.TLS == nil && ctx.Err() == nil {
			p.countFailed(err)
		}
		return nil, &Error{Op: "dial", Kind: ErrorNotSent, Upstream: t.ID, Local: ctx.Err() != nil, Err: err}
	}
	checked := response.NewConn(raw, p.counts)
	allowance := &allowance{conn: checked, left: math.MaxInt64, budget: p.budget}
	return &conn{Conn: raw, number: number, checked: checked, allowance: allowance, reader: bufio.NewReaderSize(allowance, readBufferSize)}, nil
}

// connect opens a connection to a target.
func (p *Pool) connect(ctx context.Context, t Target) (net.Conn, error) {
	raw, err := p.dialer.DialContext(ctx, "tcp", t.Address)
	if err != nil || t.TLS == nil {
		return raw, err
	}
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	c := tls.Client(raw, t.TLS)
	if err := c.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		return nil, err
	}
	return c, nil
}

// Open opens a connection to an upstream and keeps it for later requests.
func (p *Pool) Open(ctx context.Context, t Target) error {
	c, err := p.dial(ctx, t)
	if err != nil {
		return err
	}
	p.put(t.key(), c, maxIdleTime)
	return nil
}

// takeIdle removes the most recently used idle connection whose number is not among
// excluded from the pool and returns it, or nil if there is none.
func (p *Pool) takeIdle(k key, excluded []int64) *conn {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.groups[k]
	if g == nil {
		return nil
	}
	for i, c := range slices.Backward(g.idle) {
		if slices.Contains(excluded, c.number) {
			continue
		}
		g.idle = slices.Delete(g.idle, i, i+1)
		if now.Before(c.expiry) {
			return c
		}
		g.open--
		p.open--
		_ = c.Conn.Close()
	}
	return nil
}

// reserve counts a connection that is about to be opened and returns its number. At
// the limit, it closes the least recently used idle connection, or fails if there is
// none.
func (p *Pool) reserve(t Target) (int64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return 0, &Error{Op: "dial", Kind: ErrorNotSent, Upstream: t.ID, Local: true, Err: errors.New("the pool is closed")}
	}
	g := p.groups[t.key()]
	if g == nil {
		g = &group{}
		p.groups[t.key()] = g
	}
	if t.MaxConnections > 0 && g.open >= t.MaxConnections {
		if len(g.idle) == 0 {
			return 0, &Error{Op: "dial", Kind: ErrorLimit, Upstream: t.ID, Err: errors.Errorf("%d connections are open", g.open)}
		}
		p.closeOldest(g)
	}
	if p.limit > 0 && p.open >= p.limit && !p.closeAnyIdle() {
		return 0, &Error{Op: "dial", Kind: ErrorLimit, Upstream: t.ID, Err: errors.Errorf("%d connections to all upstreams are open", p.open)}
	}
	g.open++
	p.open++
	p.opened++
	return p.opened, nil
}

// closeOldest closes the least recently used idle connection of a group. The caller
// holds p.mu.
func (p *Pool) closeOldest(g *group) {
	_ = g.idle[0].Conn.Close()
	g.idle = g.idle[1:]
	g.open--
	p.open--
}

// closeAnyIdle closes the idle connection that expires first. It returns false if there
// is none. The caller holds p.mu.
func (p *Pool) closeAnyIdle() bool {
	var first *group
	for _, g := range p.groups {
		if len(g.idle) > 0 && (first == nil || g.idle[0].expiry.Before(first.idle[0].expiry)) {
			first = g
		}
	}
	if first != nil {
		p.closeOldest(first)
	}
	return first != nil
}

// release subtracts a closed connection, or one that could not be opened, from the
// number of open ones.
func (p *Pool) release(k key) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if g := p.groups[k]; g != nil {
		g.open--
		p.open--
	}
}

// discard closes a connection.
func (p *Pool) discard(k key, c *conn) {
	_ = c.Conn.Close()
	p.release(k)
}

// put returns a connection to the pool, which keeps it idle for at most limit.
func (p *Pool) put(k key, c *conn, limit time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.groups[k]
	if p.closed || g == nil || limit <= 0 {
		_ = c.Conn.Close()
		if g != nil {
			g.open--
			p.open--
		}
		return
	}
	c.expiry = p.clock.Now().Add(limit)
	g.idle = append(g.idle, c)
}

// keepAliveTimeout returns how long a connection may stay idle, from the upstream's
// Keep-Alive header.
func keepAliveTimeout(header string) time.Duration {
	for part := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil || seconds < 0 {
			return maxIdleTime
		}
		return min(time.Duration(seconds)*time.Second-idleMargin, maxIdleTime)
	}
	return maxIdleTime
}
