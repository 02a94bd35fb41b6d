// Package front serves callers over HTTP: it authenticates each request by
// its key, finds its route, class and customer, and answers every failure
// with a kind, an outcome and when to try again.
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
	"quetzalhook/internal/entry/meter"
	"quetzalhook/internal/entry/relay"
	"quetzalhook/internal/record/configuration"
)

const (
	// HeaderClass names the request class that a caller asks for.
	HeaderClass = "Request-Class"
	// HeaderCustomer may name the customer; it must be the key's owner.
	HeaderCustomer = "Customer"
	// HeaderIdempotencyKey identifies a call that may not be repeated.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderReplayed marks the stored response of an earlier call.
	HeaderReplayed = "Idempotency-Replayed"

	defaultChatBody    = 8 << 20 // bytes
	defaultServiceBody = 1 << 20 // bytes
)

// HostAddress is one entry of GET /v1/hosts.
type HostAddress struct {
	Address string             `json:"address"`
	Zone    quetzalhook.Zone   `json:"zone"`
	Region  quetzalhook.Region `json:"region"`
	// Free is the fraction of unused slots, from 0 to 1.
	Free float64 `json:"free"`
}

// Usage is what one request used.
type Usage struct {
	Customer     quetzalhook.CustomerID
	Class        quetzalhook.ClassName
	PromptTokens int
	OutputTokens int
	WastedTokens int
}

// Deps are what a Front needs. All fields are required but Journal, without
// which calls that may not be repeated are refused, and Operator.
type Deps struct {
	Broker     *broker.Broker
	Relay      *relay.Relay
	Keys       quetzalhook.KeyRing
	Journal    quetzalhook.CallJournal
	Document   func() *configuration.Document
	Hosts      func(region quetzalhook.Region) []HostAddress
	Usage      func(Usage)
	Meter      *meter.Meter
	Invariants quetzalhook.Invariants
	Clock      quetzalhook.Clock
	Log        logrus.FieldLogger
	Operator   http.Handler
	// Region returns where the host is.
	Region func() quetzalhook.Region
	// HostsLifetime is how long callers may keep the answer of GET /v1/hosts.
	HostsLifetime time.Duration
}

// Front is the HTTP interface of one host to its callers.
type Front struct {
	deps     Deps
	mux      *http.ServeMux
	prefix   string
	sequence atomic.Uint64
	draining atomic.Bool
	open     sync.WaitGroup
	count    atomic.Int64
}

// New returns a front.
func New(deps Deps) *Front {
	var prefix [6]byte
	_, _ = rand.Read(prefix[:])
	f := &Front{deps: deps, mux: http.NewServeMux(), prefix: hex.EncodeToString(prefix[:])}
	f.mux.HandleFunc("GET /v1/hosts", f.hosts)
	f.mux.HandleFunc("GET /v1/models", f.models)
	f.mux.HandleFunc("/", f.route)
	if deps.Operator != nil {
		f.mux.Handle("/operator/", deps.Operator)
		f.mux.Handle("GET /debug/", deps.Operator)
	}
	return f
}

// ServeHTTP implements http.Handler.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.open.Add(1)
	f.count.Add(1)
	defer f.open.Done()
	defer f.count.Add(-1)
	if f.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	f.mux.ServeHTTP(w, r)
}

// Drain makes every further response close its connection.
func (f *Front) Drain() { f.draining.Store(true) }

// Open returns the number of requests being served.
func (f *Front) Open() int { return int(f.count.Load()) }

// requestID returns a new identifier, unique to this process's lifetime.
func (f *Front) requestID() quetzalhook.RequestID {
	n := f.sequence.Add(1)
	var b [8]byte
	for i := range b {
		b[i] = byte(n >> (8 * (7 - i)))
	}
	return quetzalhook.RequestID(f.prefix + hex.EncodeToString(b[2:]))
}

// exchange is one request of a caller.
type exchange struct {
	front  *Front
	w      http.ResponseWriter
	r      *http.Request
	id     quetzalhook.RequestID
	start  time.Time
	secret string
	owner  quetzalhook.Identity
	class  quetzalhook.Class
	doc    *configuration.Document
	route  configuration.Route
	sent   atomic.Bool
	// written is set on the way of the first byte, later than sent.
	written atomic.Bool
	ctx     context.Context
}

// route serves every path that the configuration names.
func (f *Front) route(w http.ResponseWriter, r *http.Request) {
	x := &exchange{front: f, w: w, r: r, id: f.requestID(), start: f.deps.Clock.Now(), doc: f.deps.Document()}
	w.Header().Set(relay.HeaderRequestID, string(x.id))
	if err := x.serve(); err != nil {
		x.fail(err)
	}
}

func (x *exchange) serve() error {
	if x.doc == nil {
		return notRun(http.StatusServiceUnavailable, "no-configuration", "no configuration is in force yet", shortRetry)
	}
	if err := x.authenticate(); err != nil {
		return err
	}
	route, ok := x.doc.Route(x.r.URL.Path)
	if !ok {
		return notRun(http.StatusNotFound, "no-route", "no route for this path", 0)
	}
	x.route = route
	if err := x.classify(); err != nil {
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

// classify finds the customer and the class of the request.
func (x *exchange) classify() error {
	customer, ok := x.doc.Customer(x.owner.Customer)
	if !ok {
		return notRun(http.StatusForbidden, "unknown-customer", "the key's customer is not configured", 0)
	}
	class, ok := x.doc.ClassFor(customer, x.route, quetzalhook.ClassName(x.r.Header.Get(HeaderClass)))
	if !ok {
		return notRun(http.StatusForbidden, "class-not-allowed", "the customer may not use this class on this route", 0)
	}
	x.class = class
	return nil
}
