// Package gateway serves callers whose requests are passed on as they are: it
// finds route and customer of each request, asks the dispatcher for an
// upstream, and relays the answer.
//
// A request is passed on only after its body has arrived whole. The status
// codes 429 and 503 state that it has not run; after any byte may have reached
// an upstream that did not deny having run it, a failure is a 502 or 504.
package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"quetzalhook"
	"quetzalhook/internal/entry/connection"
	"quetzalhook/internal/record/routing"
)

// Tables returns the routing table in force; nil before the first.
type Tables interface {
	Table() (*routing.Table, <-chan struct{})
}

// Began is called when a request of a customer begins to run.
type Began func(customer quetzalhook.CustomerID)

// Observer receives the result of every request.
type Observer interface {
	Served(class quetzalhook.Class, customer quetzalhook.CustomerID, first, gap time.Duration, tokens int)
	Failed(class quetzalhook.Class, customer quetzalhook.CustomerID, kind string)
}

// Deps are what a Gateway needs; all are required.
type Deps struct {
	Tables     Tables
	Protocol   quetzalhook.Protocol
	Dispatcher quetzalhook.Dispatcher
	Pool       *connection.Pool
	// Hosts returns the number of hosts that share the connections to an
	// upstream.
	Hosts    func() int
	Began    Began
	Observer Observer
	// Mover moves streams off engines that leave; nil moves none.
	Mover quetzalhook.Mover
	// LeaveTime is how long an engine at least serves that leaves without saying
	// when.
	LeaveTime time.Duration
	// Region is where the host is.
	Region quetzalhook.Region
	Clock  quetzalhook.Clock
	Log    logrus.FieldLogger
}

// Gateway is an http.Handler. It is safe for concurrent use.
type Gateway struct {
	deps     Deps
	draining atomic.Bool
	open     atomic.Int64
	idle     *idleConns
	streams  *streams
	moves    sync.WaitGroup
}

// New returns a gateway.
func New(deps Deps) *Gateway {
	g := &Gateway{deps: deps, streams: newStreams()}
	g.idle = newIdleConns(g.idleTimeout)
	return g
}

// Close waits for the moves of streams; the requests must have ended.
func (g *Gateway) Close() error {
	g.moves.Wait()
	return nil
}

// Drain makes every later answer ask its caller to close the connection.
func (g *Gateway) Drain() { g.draining.Store(true) }

// Open returns the number of requests in progress.
func (g *Gateway) Open() int { return int(g.open.Load()) }

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.open.Add(1)
	defer g.open.Add(-1)
	x := &exchange{gateway: g, w: w, r: r, start: g.deps.Clock.Now()}
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	x.serve()
}

// service chooses a service of a route by weight.
func service(route *routing.Route) string {
	total := 0.0
	for _, s := range route.Split {
		total += s.Weight
	}
	draw := rand.Float64() * total
	for _, s := range route.Split {
		if draw -= s.Weight; draw < 0 {
			return s.Service
		}
	}
	return route.Split[len(route.Split)-1].Service
}

// connections returns the number of connections that this host may open to
// one upstream of a service.
func (g *Gateway) connections(s *routing.Service) int {
	if s == nil || s.MaxConnections == 0 {
		return 0
	}
	return max(s.MaxConnections/max(g.deps.Hosts(), 1), 1)
}

// errTimeout is the cause of a request's context at the timeout of its route
// or the end of its caller's patience.
var errTimeout = context.DeadlineExceeded
