// Package cloud simulates the platform's HTTP service for tests, the demo and local
// runs.
//
// It serves the platform's object store, the list of upstreams, orders for
// upstreams by availability zone, usage reports by window and the list of hosts.
// It records orders and reports, so that a test can check what the platform
// received.
package cloud

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"quetzalhook"
	"quetzalhook/internal/platform/memory"
	"quetzalhook/internal/platform/provider"
	"quetzalhook/platform/standin"
)

// Default limits of the platform in calls/s.
const (
	defaultReads  = 2000
	defaultWrites = 500
)

// Order is an order for upstreams that was received and applied.
type Order struct {
	provider.OrderItem
	Fencing uint64
	At      time.Time
}

// Cloud is a simulated platform. It is safe for concurrent use.
type Cloud struct {
	store  *memory.Store
	reads  *rate.Limiter
	writes *rate.Limiter
	mux    *http.ServeMux

	mu                 sync.Mutex
	upstreams          []quetzalhook.Upstream
	orders             []Order
	maxFencing         uint64
	checksFencing      bool
	staleOrders        int
	reports            map[string][]byte
	reportCount        int
	conflictingReports int
	hosts              []provider.HostItem
	answersToLose      int
}

// Option sets one property of a Cloud.
type Option func(*Cloud)

// WithUpstreams sets the platform's list of upstreams.
func WithUpstreams(u []quetzalhook.Upstream) Option {
	return func(c *Cloud) { c.upstreams = append([]quetzalhook.Upstream(nil), u...) }
}

// WithRates sets the limits of reads/s and writes/s.
func WithRates(reads, writes int) Option {
	return func(c *Cloud) {
		c.reads = rate.NewLimiter(rate.Limit(reads), reads)
		c.writes = rate.NewLimiter(rate.Limit(writes), writes)
	}
}

// WithFencing makes the platform refuse orders whose fencing token is below
// the highest one received. Without it, such orders are applied and counted as
// stale.
func WithFencing() Option {
	return func(c *Cloud) { c.checksFencing = true }
}

// New returns a simulated platform with an empty store.
func New(opts ...Option) *Cloud {
	c := &Cloud{store: memory.New(), reports: make(map[string][]byte), mux: http.NewServeMux()}
	WithRates(defaultReads, defaultWrites)(c)
	for _, opt := range opts {
		opt(c)
	}
	objects := standin.NewStore(c.store)
	c.mux.HandleFunc("GET /", c.limitReads(objects.ServeHTTP))
	c.mux.HandleFunc("/", c.limitWrites(objects.ServeHTTP))
	c.mux.HandleFunc("GET "+provider.PathUpstreams, c.limitReads(c.listUpstreams))
	c.mux.HandleFunc("POST "+provider.PathOrders, c.limitWrites(c.postOrder))
	c.mux.HandleFunc("POST "+provider.PathUsage+"{window}", c.limitWrites(c.postReport))
	c.mux.HandleFunc("GET "+provider.PathHosts, c.limitReads(c.listHosts))
	c.mux.HandleFunc("GET /records", c.getRecords)
	c.mux.HandleFunc("POST /faults", c.postFaults)
	c.mux.HandleFunc("POST /upstreams/{id}/state", c.postState)
	return c
}

// Handler returns the HTTP handler of the platform.
func (c *Cloud) Handler() http.Handler { return c.mux }

// Store returns the object store that the HTTP handler serves, so that callers can
// inject faults and check its content.
func (c *Cloud) Store() *memory.Store { return c.store }

// SetUpstreamState changes the state of an upstream in the platform's list. It
// returns false if the list has no such upstream.
func (c *Cloud) SetUpstreamState(id quetzalhook.UpstreamID, s quetzalhook.UpstreamState) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.upstreams {
		if c.upstreams[i].ID == id {
			c.upstreams[i].State = s
			return true
		}
	}
	return false
}

// Upstreams returns the platform's list of upstreams.
func (c *Cloud) Upstreams() []quetzalhook.Upstream {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]quetzalhook.Upstream(nil), c.upstreams...)
}

// UpdateHost adds a host to the list or replaces its entry if the new incarnation is
// higher. If item is leaving, it removes the host's entry of the same incarnation.
func (c *Cloud) UpdateHost(item provider.HostItem) {
	c.mu.Lock()
	defer c.mu.Unlock()
	i := slices.IndexFunc(c.hosts, func(h provider.HostItem) bool { return h.Host == item.Host })
	switch {
	case i < 0 && !item.Leaving:
		c.hosts = append(c.hosts, item)
	case i >= 0 && !item.Leaving && c.hosts[i].Incarnation < item.Incarnation:
		c.hosts[i] = item
	case i >= 0 && item.Leaving && c.hosts[i].Incarnation == item.Incarnation:
		c.hosts = slices.Delete(c.hosts, i, i+1)
	}
}

// LoseOrderAnswers makes the platform close the connection without a response for
// the next n orders, after applying them.
func (c *Cloud) LoseOrderAnswers(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answersToLose = n
}

// Orders returns all applied orders, oldest first.
func (c *Cloud) Orders() []Order {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Order(nil), c.orders...)
}

// StaleOrders returns the number of applied orders whose fencing token was below
// that of an earlier order.
func (c *Cloud) StaleOrders() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.staleOrders
}

// Reports returns the number of usage reports received, and the number of those
// that differed from the first report of the same window.
func (c *Cloud) Reports() (received, conflictingReports int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reportCount, c.conflictingReports
}

// ReportBodies returns the body of the first report of each window.
func (c *Cloud) ReportBodies() map[string][]byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.reports)
}

// limitReads and limitWrites wrap h to enforce the limits of WithRates.
func (c *Cloud) limitReads(h http.HandlerFunc) http.HandlerFunc  { return c.limitRate(c.reads, h) }
func (c *Cloud) limitWrites(h http.HandlerFunc) http.HandlerFunc { return c.limitRate(c.writes, h) }

// limitRate wraps h to refuse calls above the rate of l with 429, and all calls
// during an outage with 503.
func (c *Cloud) limitRate(l *rate.Limiter, h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		f := c.store.Faults()
		switch {
		case f.Outage:
			http.Error(w, "outage", http.StatusServiceUnavailable)
		case !l.Allow():
			http.Error(w, "too many calls", http.StatusTooManyRequests)
		default:
			h(w, r)
		}
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
