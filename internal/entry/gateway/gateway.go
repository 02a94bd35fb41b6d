// Package gateway serves callers whose requests are passed on with path, query
// and body unchanged. It finds the route and the customer of each request, asks
// the dispatcher for an upstream, and relays the response.
//
// A request is passed on only after its whole body has arrived. If the gateway
// itself answers with status 503, the request has not run. Once any byte may
// have reached an upstream that did not report the request as not run, the
// gateway reports a failure as 502 or 504. Error responses of upstreams keep
// their status.
package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"quetzalhook"
	"quetzalhook/internal/entry/caller"
	"quetzalhook/internal/entry/connection"
	"quetzalhook/internal/record/routing"
)

// Tables provides the current routing table, which is nil until the first one
// is loaded.
type Tables interface {
	Table() (*routing.Table, <-chan struct{})
}

// UsageFunc is called once for each request of a customer, when an upstream has
// begun to answer it.
type UsageFunc func(customer quetzalhook.CustomerID)

// Observer receives the result of every request. For a served one, first is the
// time until the first event or, without a stream, until the whole response. gap
// is the longest time between two reads of complete events, and tokens is the
// number of events with an ID.
type Observer interface {
	Served(class quetzalhook.Class, customer quetzalhook.CustomerID, first, gap time.Duration, tokens int)
	Failed(class quetzalhook.Class, customer quetzalhook.CustomerID, kind string)
}

// Deps holds the dependencies of a Gateway. All but Mover, Memory and Connections are
// required.
type Deps struct {
	Tables     Tables
	Protocol   quetzalhook.Protocol
	Dispatcher quetzalhook.Dispatcher
	Pool       *connection.Pool
	// HostCount returns the number of hosts among which the connections to an
	// upstream are divided.
	HostCount  func() int
	CountUsage UsageFunc
	Observer   Observer
	// Mover moves streams away from engines that are leaving. If it is nil, no
	// streams are moved.
	Mover quetzalhook.Mover
	// DefaultLeaveTime is how long a leaving engine is assumed to keep serving if it
	// does not announce a time.
	DefaultLeaveTime time.Duration
	// Builds tells at which build of a service a stream begins and goes on; nil if streams
	// may begin anywhere.
	Builds quetzalhook.Builds
	// Usable reports whether this host may still send to an upstream; nil if it always may.
	Usable func(quetzalhook.Upstream) bool
	// Reaching returns a context that ends when the host reaches no upstreams any more; nil
	// if that is not known.
	Reaching func() context.Context
	// Peers chooses the hosts that serve requests while this one reaches no upstreams; nil
	// if requests are not forwarded.
	Peers Peers
	// StallLimit is the shortest time without an event after which a stream is ended,
	// or resumed at another engine; 0 means DefaultStallLimit. Classes with long
	// targets get a longer limit.
	StallLimit time.Duration
	// Memory bounds what the gateway holds for callers, and Connections the number of
	// their connections; without them there is no bound.
	Memory      *caller.Memory
	Connections int
	// Region is the region of the host.
	Region quetzalhook.Region
	Clock  quetzalhook.Clock
	Log    logrus.FieldLogger
}

// Gateway is an http.Handler that relays requests to upstreams. It is safe for
// concurrent use.
type Gateway struct {
	deps    Deps
	stop    atomic.Pointer[Stop] // nil until Drain is called
	ended   context.Context      // ends with the time for a stop
	end     context.CancelFunc
	away    context.Context // ends once callers know other hosts, in a stop
	leave   context.CancelFunc
	open    atomic.Int64
	callers *caller.Conns
	streams *streams
	moves   sync.WaitGroup
}

// New returns a Gateway. Close must be called after its last request.
func New(deps Deps) *Gateway {
	if deps.Usable == nil {
		deps.Usable = func(quetzalhook.Upstream) bool { return true }
	}
	if deps.Reaching == nil {
		deps.Reaching = context.Background
	}
	if deps.StallLimit <= 0 {
		deps.StallLimit = DefaultStallLimit
	}
	g := &Gateway{deps: deps, streams: newStreams()}
	g.callers = caller.NewConns(g.connLimits, caller.WithMemory(deps.Memory, deps.Connections))
	g.ended, g.end = context.WithCancel(context.Background())
	g.away, g.leave = context.WithCancel(context.Background())
	return g
}

// Attach makes the gateway follow the connections of a server whose handler it is. It
// must be called before the server serves.
func (g *Gateway) Attach(s *http.Server) { g.callers.Attach(s) }

// Listen returns a listener for the server, which bounds the callers' connections.
func (g *Gateway) Listen(l net.Listener) net.Listener { return g.callers.Listen(l) }

// connLimits returns the limits of the table for connections.
func (g *Gateway) connLimits() caller.Limits {
	t, _ := g.deps.Tables.Table()
	if t == nil {
		return caller.Limits{}
	}
	return caller.Limits{
		HeaderBytes: max(t.Limits.HeaderBytes, 0), HeaderTime: max(t.Limits.HeaderTimeout, 0), IdleTime: max(t.Limits.IdleTimeout, 0),
	}
}

// Close waits until no stream is being moved. All requests must have ended
// before.
func (g *Gateway) Close() error {
	g.moves.Wait()
	g.end()
	g.leave()
	return nil
}

// Open returns the number of requests in progress.
func (g *Gateway) Open() int { return int(g.open.Load()) }

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) { g.serve(w, r, nil) }

// serve handles a request, which another host has forwarded if p is not nil.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request, p *hop) {
	g.open.Add(1)
	defer g.open.Add(-1)
	x := &exchange{gateway: g, w: w, r: r, hop: p, start: g.deps.Clock.Now()}
	x.conn = caller.FromContext(r.Context())
	if x.conn != nil {
		x.conn.CountRequest()
	}
	if g.stop.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	defer func() { x.holding.Close() }()
	x.serve()
}

// pickService picks a service of the route, in proportion to the weights: at random, or
// by the ID of a stream, which goes on at the service that began it.
func pickService(route *routing.Route, stream quetzalhook.RequestID) string {
	total := 0.0
	for _, s := range route.Split {
		total += s.Weight
	}
	draw := rand.Float64()
	if stream != "" {
		draw = float64(xxhash.Sum64String(string(stream))>>11) / (1 << 53)
	}
	draw *= total
	for _, s := range route.Split {
		if draw -= s.Weight; draw < 0 {
			return s.Service
		}
	}
	return route.Split[len(route.Split)-1].Service
}

// connectionLimit returns the number of connections that this host may open to
// one upstream of a service; 0 means no limit.
func (g *Gateway) connectionLimit(s *routing.Service) int {
	if s == nil || s.MaxConnections == 0 {
		return 0
	}
	return max(s.MaxConnections/max(g.deps.HostCount(), 1), 1)
}

// errTimeout is the cause of a request's context when the timeout of the route
// or of the caller has passed.
var errTimeout = context.DeadlineExceeded
