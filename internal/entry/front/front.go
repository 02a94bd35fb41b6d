// Package front is the HTTP interface of a host to its callers. It
// authenticates each request by its key and finds its route, class and
// customer. Each error response tells the kind of failure, whether the request
// may have run and when to retry.
package front

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"quetzalhook"
	"quetzalhook/internal/entry/broker"
	"quetzalhook/internal/entry/caller"
	"quetzalhook/internal/entry/meter"
	"quetzalhook/internal/entry/relay"
	"quetzalhook/internal/record/configuration"
)

const (
	// HeaderClass is the request header that selects the request class.
	HeaderClass = "Request-Class"
	// HeaderCustomer is an optional request header with the customer, which
	// must be the owner of the key.
	HeaderCustomer = "Customer"
	// HeaderIdempotencyKey is the request header that identifies a call that
	// may not be repeated.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderReplayed is the response header that marks the stored response of
	// an earlier call.
	HeaderReplayed = "Idempotency-Replayed"

	maxChatBody    = 8 << 20 // bytes
	maxServiceBody = 1 << 20 // bytes
)

// HostAddress is one entry of the response to GET /v1/hosts.
type HostAddress struct {
	Address string             `json:"address"`
	Zone    quetzalhook.Zone   `json:"zone"`
	Region  quetzalhook.Region `json:"region"`
	// Free is the fraction of unused slots, from 0 to 1.
	Free float64 `json:"free"`
}

// Usage is the number of tokens that one request used.
type Usage struct {
	Customer     quetzalhook.CustomerID
	Class        quetzalhook.ClassName
	PromptTokens int
	OutputTokens int
	WastedTokens int
}

// Deps holds the dependencies of a Front. All but Journal, Operator
// and Memory are required. Without a Journal, calls that may not be repeated are refused.
type Deps struct {
	Broker  *broker.Broker
	Relay   *relay.Relay
	Keys    quetzalhook.KeyRing
	Journal quetzalhook.CallJournal
	// Document returns the configuration in force, or nil if there is none yet.
	Document func() *configuration.Document
	// Hosts returns the hosts for callers in a region, in order of preference.
	Hosts       func(region quetzalhook.Region) []HostAddress
	RecordUsage func(Usage)
	Meter       *meter.Meter
	Invariants  quetzalhook.Invariants
	Clock       quetzalhook.Clock
	Log         logrus.FieldLogger
	Operator    http.Handler
	// Region returns the region of the host.
	Region func() quetzalhook.Region
	// Memory bounds what is held for callers; without it there is no bound.
	Memory *caller.Memory
	// HostsLifetime is how long callers may cache the response to GET
	// /v1/hosts.
	HostsLifetime time.Duration
}

// Front is the http.Handler for the callers of one host. It is safe for
// concurrent use.
type Front struct {
	deps       Deps
	mux        *http.ServeMux
	idPrefix   string
	lastID     atomic.Uint64
	draining   atomic.Bool
	inProgress sync.WaitGroup
	openCount  atomic.Int64
	ended      context.Context // ends with the time for a stop
	end        context.CancelFunc
}

// New returns a Front with a random prefix for its request IDs.
func New(deps Deps) *Front {
	var prefix [6]byte
	_, _ = rand.Read(prefix[:])
	f := &Front{deps: deps, mux: http.NewServeMux(), idPrefix: hex.EncodeToString(prefix[:])}
	f.mux.HandleFunc("GET /v1/hosts", f.hosts)
	f.mux.HandleFunc("GET /v1/models", f.models)
	f.mux.HandleFunc("/", f.route)
	f.ended, f.end = context.WithCancel(context.Background())
	if deps.Operator != nil {
		f.mux.Handle("/operator/", deps.Operator)
		f.mux.Handle("GET /debug/", deps.Operator)
	}
	return f
}

// ServeHTTP implements http.Handler.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.inProgress.Add(1)
	f.openCount.Add(1)
	defer f.inProgress.Done()
	defer f.openCount.Add(-1)
	if f.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	f.mux.ServeHTTP(w, r)
}

// Drain makes every later response ask the caller to close the connection.
func (f *Front) Drain() { f.draining.Store(true) }

// End ends the requests in progress, whose callers get an error. It is called shortly
// before the end of a stop.
func (f *Front) End() { f.end() }

// Open returns the number of requests in progress.
func (f *Front) Open() int { return int(f.openCount.Load()) }

// requestID returns a new request ID: the random prefix of this process and a
// counter.
func (f *Front) requestID() quetzalhook.RequestID {
	n := f.lastID.Add(1)
	var b [8]byte
	for i := range b {
		b[i] = byte(n >> (8 * (7 - i)))
	}
	return quetzalhook.RequestID(f.idPrefix + hex.EncodeToString(b[2:]))
}

// exchange is the state of one caller's request.
type exchange struct {
	front    *Front
	w        http.ResponseWriter
	r        *http.Request
	id       quetzalhook.RequestID
	start    time.Time
	secret   string
	identity quetzalhook.Identity
	class    quetzalhook.Class
	doc      *configuration.Document
	route    configuration.Route
	sent     atomic.Bool // see relay.Guard.Sent
	written  atomic.Bool // see relay.Guard.Written
	ctx      context.Context
	holding  *caller.Holding // memory for the request; nil without a bound
	// parseMemory is what was reserved for parsing the body, of which keptMemory remains.
	parseMemory, keptMemory int64
}

// route serves every path that has no handler of its own, by the routes of the
// configuration.
func (f *Front) route(w http.ResponseWriter, r *http.Request) {
	x := &exchange{front: f, w: w, r: r, id: f.requestID(), start: f.deps.Clock.Now(), doc: f.deps.Document()}
	w.Header().Set(relay.HeaderRequestID, string(x.id))
	defer func() { x.holding.Close() }()
	if err := x.serve(); err != nil {
		x.fail(err)
	}
}

// serve handles the request. It returns an error if no complete response was
// written.
func (x *exchange) serve() error {
	if x.doc == nil {
		return notRunError(http.StatusServiceUnavailable, "no-configuration", "no configuration is in force yet", defaultRetryAfter)
	}
	if err := x.authenticate(); err != nil {
		return err
	}
	route, ok := x.doc.Route(x.r.URL.Path)
	if !ok {
		return notRunError(http.StatusNotFound, "no-route", "no route for this path", 0)
	}
	x.route = route
	if err := x.findClass(); err != nil {
		return err
	}
	ctx, stop := x.watchKey()
	defer stop()
	x.ctx = ctx
	if route.Kind == configuration.KindChat {
		return x.chat()
	}
	return x.service()
}

// findClass sets the class of the request, which depends on the customer, the
// route and the Request-Class header.
func (x *exchange) findClass() error {
	customer, ok := x.doc.Customer(x.identity.Customer)
	if !ok {
		return notRunError(http.StatusForbidden, "unknown-customer", "the key's customer is not configured", 0)
	}
	class, ok := x.doc.ClassFor(customer, x.route, quetzalhook.ClassName(x.r.Header.Get(HeaderClass)))
	if !ok {
		return notRunError(http.StatusForbidden, "class-not-allowed", "the customer may not use this class on this route", 0)
	}
	x.class = class
	return nil
}
