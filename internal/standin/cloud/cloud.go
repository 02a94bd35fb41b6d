// Package cloud is a stand-in of the platform's service for tests, the demo
// and local trials.
//
// It serves the platform's store of objects, a list of
// upstreams with orders by availability zone, usage reports by window and a
// list of hosts. It records every order and report, so that a test can check
// what the platform received.
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

// Rates of the service in calls a second.
const (
	defaultReads  = 2000
	defaultWrites = 500
)

// Order is an order as it was received.
type Order struct {
	provider.OrderItem
	Fencing uint64
	At      time.Time
}

// Cloud is the stand-in. It is safe for concurrent use.
type Cloud struct {
	store  *memory.Store
	reads  *rate.Limiter
	writes *rate.Limiter
	mux    *http.ServeMux

	mu           sync.Mutex
	upstreams    []quetzalhook.Upstream
	orders       []Order
	fencing      uint64
	checkFencing bool
	staleOrders  int
	reports      map[string][]byte
	reportCount  int
	conflicting  int
	hosts        []provider.HostItem
	loseOrders   int
}

// Option sets one property of a Cloud.
type Option func(*Cloud)

// WithUpstreams sets the platform's list of upstreams.
func WithUpstreams(u []quetzalhook.Upstream) Option {
	return func(c *Cloud) { c.upstreams = append([]quetzalhook.Upstream(nil), u...) }
}

// WithRates bounds reads and writes a second.
func WithRates(reads, writes int) Option {
	return func(c *Cloud) {
		c.reads = rate.NewLimiter(rate.Limit(reads), reads)
		c.writes = rate.NewLimiter(rate.Limit(writes), writes)
	}
}

// WithFencingChecked makes the platform refuse orders with an old fencing
// number; without it they are taken and counted.
func WithFencingChecked() Option {
	return func(c *Cloud) { c.checkFencing = true }
}

// New returns a platform with an empty store.
func New(opts ...Option) *Cloud {
	c := &Cloud{store: memory.New(), reports: make(map[string][]byte), mux: http.NewServeMux()}
	WithRates(defaultReads, defaultWrites)(c)
	for _, opt := range opts {
		opt(c)
	}
	objects := standin.NewStore(c.store)
	c.mux.HandleFunc("GET /", c.read(objects.ServeHTTP))
	c.mux.HandleFunc("/", c.write(objects.ServeHTTP))
	c.mux.HandleFunc("GET "+provider.PathUpstreams, c.read(c.listUpstreams))
	c.mux.HandleFunc("POST "+provider.PathOrders, c.write(c.order))
	c.mux.HandleFunc("POST "+provider.PathUsage+"{window}", c.write(c.report))
	c.mux.HandleFunc("GET "+provider.PathHosts, c.read(c.listHosts))
	c.mux.HandleFunc("GET /records", c.getRecords)
	c.mux.HandleFunc("POST /faults", c.postFaults)
	c.mux.HandleFunc("POST /upstreams/{id}/state", c.postState)
	return c
}

// Handler returns the HTTP interface.
func (c *Cloud) Handler() http.Handler { return c.mux }

// Store returns the store behind the HTTP interface, for faults and checks.
func (c *Cloud) Store() *memory.Store { return c.store }

// SetUpstreamState changes the state of one upstream in the platform's list.
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

// ListHost adds an incarnation of a host to the list, in place of an earlier
// one, or removes the host if it is leaving.
func (c *Cloud) ListHost(item provider.HostItem) {
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

// LoseOrderAnswers loses the answers of the next n orders after their effect.
func (c *Cloud) LoseOrderAnswers(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loseOrders = n
}

// Orders returns all orders received.
func (c *Cloud) Orders() []Order {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Order(nil), c.orders...)
}

// StaleOrders returns the number of orders received with a fencing number
// below that of an earlier order.
func (c *Cloud) StaleOrders() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.staleOrders
}

// Reports returns the number of reports received and of those whose bytes
// differed from an earlier report of the same window.
func (c *Cloud) Reports() (received, conflicting int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reportCount, c.conflicting
}

// ReportBodies returns the first report of each window.
func (c *Cloud) ReportBodies() map[string][]byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.reports)
}

func (c *Cloud) read(h http.HandlerFunc) http.HandlerFunc  { return c.limit(c.reads, h) }
func (c *Cloud) write(h http.HandlerFunc) http.HandlerFunc { return c.limit(c.writes, h) }

// limit refuses calls over the rate or during an outage.
func (c *Cloud) limit(l *rate.Limiter, h http.HandlerFunc) http.HandlerFunc {
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
