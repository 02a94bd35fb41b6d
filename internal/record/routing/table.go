// Package routing keeps the routing table in force on a host: routes,
// services, limits and the keys of customers, and the list of upstreams.
//
// A Table is one version of what the operator declares. It is immutable. A
// Follower keeps table and upstreams current, from the platform's store or
// from other hosts, and moves only to newer versions.
package routing

import (
	"crypto/sha256"
	"net"
	"sort"
	"strings"
	"time"

	"quetzalhook"
)

// Kind says how often a request of a route may run.
type Kind uint8

const (
	// KindUnsafe requests run at most once.
	KindUnsafe Kind = iota
	// KindSafe requests may run any number of times.
	KindSafe
	// KindStream requests are answered with a stream of events. They run at
	// most once, unless the route says that a stream can be resumed.
	KindStream
)

// Route maps requests of a host name and a path prefix to services.
type Route struct {
	Name   string `cbor:"1,keyasint"`
	Host   string `cbor:"2,keyasint"` // in lower case
	Prefix string `cbor:"3,keyasint"`
	Kind   Kind   `cbor:"4,keyasint"`
	// Timeout is the longest time that the operator wants a caller to wait.
	Timeout time.Duration `cbor:"5,keyasint"`
	// Target is the time to the answer, or to the first event of a stream, that
	// meets the service level.
	Target time.Duration `cbor:"6,keyasint"`
	// GapTarget is the longest pause between events that meets it.
	GapTarget time.Duration `cbor:"7,keyasint"`
	// Priority is the rank of the route, 0 is the most urgent.
	Priority int `cbor:"8,keyasint"`
	// Attempts is the largest number of upstreams that may get one request.
	Attempts int `cbor:"9,keyasint"`
	// Public routes need no key.
	Public bool `cbor:"10,keyasint"`
	// Resumable streams can continue on another upstream.
	Resumable bool    `cbor:"11,keyasint"`
	Split     []Share `cbor:"12,keyasint"`
}

// Share is a service with its part of a route's requests.
type Share struct {
	Service string  `cbor:"1,keyasint"`
	Weight  float64 `cbor:"2,keyasint"`
}

// IsRepeatable reports whether a request of the route may run again.
func (r *Route) IsRepeatable() bool { return r.Kind == KindSafe || r.Kind == KindStream && r.Resumable }

// Service is a group of interchangeable upstreams.
type Service struct {
	Name       string `cbor:"1,keyasint"`
	HealthPath string `cbor:"2,keyasint"`
	// MaxConnections bounds the connections to one upstream from all hosts; 0
	// means no bound.
	MaxConnections int      `cbor:"3,keyasint"`
	Engine         *Engine  `cbor:"4,keyasint"` // nil for a plain service
	Scaling        *Scaling `cbor:"5,keyasint"` // nil if the number of upstreams is fixed
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests in one batch.
	Slots int `cbor:"1,keyasint"`
	// MemoryTokens is the size of the KV cache in tokens.
	MemoryTokens int `cbor:"2,keyasint"`
	// TokenBytes is the size of one token of KV cache.
	TokenBytes int `cbor:"3,keyasint"`
	// LinkBits is the speed of the link for copies of KV cache, in bit/s.
	LinkBits float64 `cbor:"4,keyasint"`
	// EventTokens is the number of tokens in one event of a stream.
	EventTokens int `cbor:"5,keyasint"`
	// CanMove reports whether running requests can move between engines.
	CanMove bool `cbor:"6,keyasint"`
}

// TokenTransfer returns the time to copy one token of KV cache between engines;
// 0 means that they cannot.
func (e *Engine) TokenTransfer() time.Duration {
	if e.LinkBits <= 0 {
		return 0
	}
	return time.Duration(float64(e.TokenBytes) * 8 / e.LinkBits * float64(time.Second))
}

// Scaling bounds the upstreams of a service that may be ordered in each zone.
type Scaling struct {
	Min int `cbor:"1,keyasint"`
	Max int `cbor:"2,keyasint"`
	// StartTime is how long an ordered upstream takes to start.
	StartTime time.Duration `cbor:"3,keyasint"`
	// CheapPrice is the price of an upstream that may be reclaimed, as a part
	// of the regular price; 0 means that there are none.
	CheapPrice float64 `cbor:"4,keyasint"`
	// ZonePrices holds the price of an upstream in each zone.
	ZonePrices map[quetzalhook.Zone]float64 `cbor:"5,keyasint"`
}

// Limits bound what callers may send. Zero means no limit.
type Limits struct {
	HeaderBytes   int           `cbor:"1,keyasint"`
	BodyBytes     int64         `cbor:"2,keyasint"`
	HeaderTimeout time.Duration `cbor:"3,keyasint"`
	IdleTimeout   time.Duration `cbor:"4,keyasint"`
}

// KeyHash identifies a customer's key without revealing it.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a key.
func HashKey(secret string) KeyHash { return sha256.Sum256([]byte(secret)) }

// Customer is a customer with its keys.
type Customer struct {
	ID   quetzalhook.CustomerID `cbor:"1,keyasint"`
	Keys []KeyHash              `cbor:"2,keyasint"`
	// Priority takes precedence over that of the route if it is not nil.
	Priority *int `cbor:"3,keyasint"`
}

// Table is one version of the configuration.
type Table struct {
	Version   int64      `cbor:"1,keyasint"`
	Routes    []Route    `cbor:"2,keyasint"`
	Services  []Service  `cbor:"3,keyasint"`
	Limits    Limits     `cbor:"4,keyasint"`
	Customers []Customer `cbor:"5,keyasint"`

	hosts    map[string][]*Route // by host name, longest prefix first
	services map[string]*Service
	keys     map[KeyHash]*Customer
}

// Index prepares the table for lookups. Call it once, before it is shared.
func (t *Table) Index() {
	t.hosts = make(map[string][]*Route)
	for i := range t.Routes {
		r := &t.Routes[i]
		t.hosts[r.Host] = append(t.hosts[r.Host], r)
	}
	for _, routes := range t.hosts {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	t.services = make(map[string]*Service, len(t.Services))
	for i := range t.Services {
		t.services[t.Services[i].Name] = &t.Services[i]
	}
	t.keys = make(map[KeyHash]*Customer)
	for i := range t.Customers {
		for _, k := range t.Customers[i].Keys {
			t.keys[k] = &t.Customers[i]
		}
	}
}

// Route returns the route of a request: of those with its host name, the one
// with the longest prefix that begins the path. It returns nil without one.
func (t *Table) Route(host, path string) *Route {
	for _, r := range t.hosts[hostName(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// hostName returns the name in a Host header, without port and in lower case.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// Service returns a service by name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Customer returns the owner of a key, or nil.
func (t *Table) Customer(secret string) *Customer { return t.keys[HashKey(secret)] }

// HasCustomers reports whether requests need a key at all.
func (t *Table) HasCustomers() bool { return len(t.Customers) > 0 }
