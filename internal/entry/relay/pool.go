package relay

import (
	"net"
	"net/http"
	"sync"
	"time"

	"quetzalhook"
)

const (
	dialTimeout = time.Second
	// idleTimeout bounds the reuse of an idle connection, since the network
	// may have forgotten it.
	idleTimeout = 5 * time.Second
	// idleConnections is the number of idle connections kept for an upstream.
	idleConnections = 64
)

// target holds the connections of one upstream. Each upstream has a pool of
// its own, so that silent connections of one can be dropped alone.
type target struct {
	upstream quetzalhook.Upstream
	pooled   *http.Client
	fresh    *http.Client // a new connection for each request
}

// Pool holds the HTTP clients of all upstreams. It is safe for concurrent
// use.
type Pool struct {
	mu      sync.RWMutex
	targets map[quetzalhook.UpstreamID]*target
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{targets: make(map[quetzalhook.UpstreamID]*target)}
}

// Set replaces the list of upstreams. Connections to upstreams that stay are
// kept.
func (p *Pool) Set(upstreams []quetzalhook.Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := make(map[quetzalhook.UpstreamID]*target, len(upstreams))
	for _, u := range upstreams {
		old := p.targets[u.ID]
		if old != nil && old.upstream.Address == u.Address {
			next[u.ID] = &target{upstream: u, pooled: old.pooled, fresh: old.fresh}
			continue
		}
		next[u.ID] = newTarget(u)
	}
	for id, old := range p.targets {
		if t := next[id]; t == nil || t.pooled != old.pooled {
			old.pooled.CloseIdleConnections()
		}
	}
	p.targets = next
}

// Upstreams returns the current list.
func (p *Pool) Upstreams() []quetzalhook.Upstream {
	p.mu.RLock()
	defer p.mu.RUnlock()
	list := make([]quetzalhook.Upstream, 0, len(p.targets))
	for _, t := range p.targets {
		list = append(list, t.upstream)
	}
	return list
}

// Client returns the client with reused connections of an upstream, and its
// base URL, or false if the upstream is not known.
func (p *Pool) Client(id quetzalhook.UpstreamID) (client *http.Client, base string, ok bool) {
	t := p.get(id)
	if t == nil {
		return nil, "", false
	}
	return t.pooled, "http://" + t.upstream.Address, true
}

// Close closes idle connections.
func (p *Pool) Close() error {
	p.Set(nil)
	return nil
}

func (p *Pool) get(id quetzalhook.UpstreamID) *target {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.targets[id]
}

func newTarget(u quetzalhook.Upstream) *target {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &target{
		upstream: u,
		pooled: &http.Client{Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			IdleConnTimeout:     idleTimeout,
			MaxIdleConnsPerHost: idleConnections,
			DisableCompression:  true,
		}},
		fresh: &http.Client{
			Transport: &http.Transport{
				DialContext:        dialer.DialContext,
				DisableKeepAlives:  true,
				DisableCompression: true,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}
