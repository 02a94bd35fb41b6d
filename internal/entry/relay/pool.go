package relay

import (
	"net"
	"net/http"
	"sync"
	"time"

	"quetzalhook"
	"quetzalhook/internal/platform/response"
)

const (
	dialTimeout = time.Second
	// idleTimeout limits how long an idle connection is kept for reuse, since
	// devices in the network may have dropped its state.
	idleTimeout = 5 * time.Second
	// maxIdleConnections is the number of idle connections kept for each
	// upstream.
	maxIdleConnections = 64
	// maxHeader bounds the header of a response, in bytes.
	maxHeader = 64 << 10
)

// upstreamClients holds the HTTP clients of one upstream. Each upstream has
// connection pools of its own, so that its connections can be closed without
// affecting other upstreams.
type upstreamClients struct {
	upstream quetzalhook.Upstream
	pooled   *http.Client
	fresh    *http.Client // opens a new connection for each request
}

// Pool holds the HTTP clients of all upstreams. It is safe for concurrent
// use.
type Pool struct {
	counts *response.Counts // of invalid responses

	mu      sync.RWMutex
	clients map[quetzalhook.UpstreamID]*upstreamClients
}

// PoolOption sets one property of a Pool.
type PoolOption func(*Pool)

// WithCounts counts invalid responses.
func WithCounts(c *response.Counts) PoolOption {
	return func(p *Pool) { p.counts = c }
}

// NewPool returns an empty pool.
func NewPool(opts ...PoolOption) *Pool {
	p := &Pool{clients: make(map[quetzalhook.UpstreamID]*upstreamClients)}
	for _, o := range opts {
		o(p)
	}
	return p
}

// Set replaces the list of upstreams. It keeps the connections to upstreams whose
// address is unchanged, and closes the idle connections to all others.
func (p *Pool) Set(upstreams []quetzalhook.Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := make(map[quetzalhook.UpstreamID]*upstreamClients, len(upstreams))
	for _, u := range upstreams {
		old := p.clients[u.ID]
		if old != nil && old.upstream.Address == u.Address {
			next[u.ID] = &upstreamClients{upstream: u, pooled: old.pooled, fresh: old.fresh}
			continue
		}
		next[u.ID] = newUpstreamClients(u, p.counts)
	}
	for id, old := range p.clients {
		if c := next[id]; c == nil || c.pooled != old.pooled {
			old.pooled.CloseIdleConnections()
		}
	}
	p.clients = next
}

// Upstreams returns the current list of upstreams, in no particular order.
func (p *Pool) Upstreams() []quetzalhook.Upstream {
	p.mu.RLock()
	defer p.mu.RUnlock()
	list := make([]quetzalhook.Upstream, 0, len(p.clients))
	for _, c := range p.clients {
		list = append(list, c.upstream)
	}
	return list
}

// Client returns the client that reuses connections to an upstream, and the
// upstream's base URL. ok is false if the upstream is not in the list.
func (p *Pool) Client(id quetzalhook.UpstreamID) (client *http.Client, base string, ok bool) {
	c := p.get(id)
	if c == nil {
		return nil, "", false
	}
	return c.pooled, "http://" + c.upstream.Address, true
}

// Close removes all upstreams and closes their idle connections.
func (p *Pool) Close() error {
	p.Set(nil)
	return nil
}

func (p *Pool) get(id quetzalhook.UpstreamID) *upstreamClients {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.clients[id]
}

func newUpstreamClients(u quetzalhook.Upstream, counts *response.Counts) *upstreamClients {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &upstreamClients{
		upstream: u,
		pooled: &http.Client{Transport: response.NewTransport(&http.Transport{
			DialContext:         dialer.DialContext,
			IdleConnTimeout:     idleTimeout,
			MaxIdleConnsPerHost: maxIdleConnections,
			DisableCompression:  true,

			MaxResponseHeaderBytes: maxHeader,
		}, counts)},
		fresh: &http.Client{
			Transport: response.NewTransport(&http.Transport{
				DialContext:        dialer.DialContext,
				DisableKeepAlives:  true,
				DisableCompression: true,

				MaxResponseHeaderBytes: maxHeader,
			}, counts),
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}
