// Package routing keeps a host's routing table (routes, services, limits and the
// keys of customers) and its list of upstreams up to date.
//
// A Table is one version of the operator's configuration. It is immutable. A
// Follower updates the table and the upstreams from the platform's store or
// from other hosts, and only ever to newer versions.
package routing

import (
	"cmp"
	"crypto/sha256"
	"net"
	"slices"
	"sort"
	"strings"
	"time"

	"quetzalhook"
)

// Kind is how often a request of a route may be executed, and whether it is
// answered with a stream.
type Kind uint8

const (
	// KindUnsafe requests are executed at most once.
	KindUnsafe Kind = iota
	// KindSafe requests may be executed any number of times.
	KindSafe
	// KindStream requests are answered with a stream of events. They are
	// executed at most once, unless the route is Resumable.
	KindStream
)

// Route maps requests with a host name and a path prefix to services.
type Route struct {
	Name   string `cbor:"1,keyasint"`
	Host   string `cbor:"2,keyasint"` // in lower case
	Prefix string `cbor:"3,keyasint"`
	Kind   Kind   `cbor:"4,keyasint"`
	// Timeout is the maximum time to the complete answer. A caller may set a
	// shorter one.
	Timeout time.Duration `cbor:"5,keyasint"`
	// LatencyTarget is the maximum time to the answer, or to the first event of a
	// stream, that meets the service level.
	LatencyTarget time.Duration `cbor:"6,keyasint"`
	// GapTarget is the maximum pause between the events of a stream that meets
	// the service level.
	GapTarget time.Duration `cbor:"7,keyasint"`
	// Priority is the rank of the route's requests; 0 is the most urgent.
	Priority int `cbor:"8,keyasint"`
	// Attempts is the maximum number of attempts in which an upstream may run a
	// request; 0 means no limit.
	Attempts int `cbor:"9,keyasint"`
	// Public reports whether requests need no key.
	Public bool `cbor:"10,keyasint"`
	// Resumable reports whether a stream can continue on another upstream.
	Resumable bool    `cbor:"11,keyasint"`
	Split     []Share `cbor:"12,keyasint"`
	// Regions are the regions in which the requests of the route may run.
	Regions quetzalhook.Regions `cbor:"13,keyasint"`
}

// Share is a service and its weight in the split of a route's requests.
type Share struct {
	Service string  `cbor:"1,keyasint"`
	Weight  float64 `cbor:"2,keyasint"`
}

// IsRepeatable reports whether a request of the route may be executed more than
// once.
func (r *Route) IsRepeatable() bool { return r.Kind == KindSafe || r.Kind == KindStream && r.Resumable }

// Service is a group of interchangeable upstreams.
type Service struct {
	Name       string `cbor:"1,keyasint"`
	HealthPath string `cbor:"2,keyasint"`
	// MaxConnections is the maximum number of connections from all hosts to one
	// upstream; 0 means no limit.
	MaxConnections int      `cbor:"3,keyasint"`
	Engine         *Engine  `cbor:"4,keyasint"` // nil for a plain service
	Scaling        *Scaling `cbor:"5,keyasint"` // nil if the number of upstreams is fixed
	// ColdTime is how long an upstream is cold after its start, and ColdRate the number
	// of requests per second that it takes then; a ColdRate of 0 means that upstreams
	// need no such care.
	ColdTime time.Duration `cbor:"6,keyasint,omitempty"`
	ColdRate float64       `cbor:"7,keyasint,omitempty"`
}

// Engine is the capacity and the features of the model engines of a service.
type Engine struct {
	// Slots is the maximum number of requests in one batch.
	Slots int `cbor:"1,keyasint"`
	// MemoryTokens is the size of the KV cache in tokens.
	MemoryTokens int `cbor:"2,keyasint"`
	// TokenBytes is the size of one token in the KV cache, in bytes.
	TokenBytes int `cbor:"3,keyasint"`
	// LinkBits is the bandwidth of the link for copies of KV cache, in bit/s.
	LinkBits float64 `cbor:"4,keyasint"`
	// EventTokens is the number of tokens in one event of a stream.
	EventTokens int `cbor:"5,keyasint"`
	// CanMove reports whether a running request can be moved to another engine.
	CanMove bool `cbor:"6,keyasint"`
}

// maxTokenTransfer bounds TokenTransfer: a copy of a few tokens that takes longer
// is never worth it.
const maxTokenTransfer = time.Minute

// TokenTransfer returns the time to copy one token of KV cache to another
// engine; 0 means that the engines cannot copy KV cache.
func (e *Engine) TokenTransfer() time.Duration {
	if e.LinkBits <= 0 {
		return 0
	}
	seconds := min(float64(e.TokenBytes)*8/e.LinkBits, maxTokenTransfer.Seconds())
	return time.Duration(seconds * float64(time.Second))
}

// Scaling holds the limits and prices for ordering upstreams of a service. Min
// and Max apply to each zone.
type Scaling struct {
	Min int `cbor:"1,keyasint"`
	Max int `cbor:"2,keyasint"`
	// StartTime is how long an ordered upstream takes to start.
	StartTime time.Duration `cbor:"3,keyasint"`
	// CheapPrice is the price of an upstream that the platform may reclaim, as a
	// fraction of the regular price; 0 means that there are no such upstreams.
	CheapPrice float64 `cbor:"4,keyasint"`
	// ZonePrices holds the price of an upstream in each zone.
	ZonePrices map[quetzalhook.Zone]float64 `cbor:"5,keyasint"`
}

// Limits are the limits on callers' requests and connections. Zero means no
// limit.
type Limits struct {
	HeaderBytes   int           `cbor:"1,keyasint"`
	BodyBytes     int64         `cbor:"2,keyasint"`
	HeaderTimeout time.Duration `cbor:"3,keyasint"`
	IdleTimeout   time.Duration `cbor:"4,keyasint"`
}

// KeyHash is the SHA-256 hash of a customer's key. It identifies the key without
// revealing it.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a key.
func HashKey(secret string) KeyHash { return sha256.Sum256([]byte(secret)) }

// Customer is a customer with its keys.
type Customer struct {
	ID   quetzalhook.CustomerID `cbor:"1,keyasint"`
	Keys []KeyHash              `cbor:"2,keyasint"`
	// Priority ranks the customer's requests before the priority of the route if it
	// is not nil; see Table.Tier.
	Priority *int `cbor:"3,keyasint"`
	// Weight is the weight of the customer's share in a shortage; 0 counts as 1.
	Weight float64 `cbor:"6,keyasint,omitempty"`
	// Regions are the regions in which the customer's requests may run.
	Regions quetzalhook.Regions `cbor:"4,keyasint"`
}

// Table is one version of the configuration. Call Index before lookups.
type Table struct {
	Version   int64      `cbor:"1,keyasint"`
	Routes    []Route    `cbor:"2,keyasint"`
	Services  []Service  `cbor:"3,keyasint"`
	Limits    Limits     `cbor:"4,keyasint"`
	Customers []Customer `cbor:"5,keyasint"`

	hosts    map[string][]*Route // by host name, longest prefix first
	services map[string]*Service
	keys     map[KeyHash]*Customer
	ranks    []rank // of all requests, the most urgent first
}

// rank orders requests: by the priority of the customer, or of the route if the
// customer has none, and then by that of the route.
type rank struct{ first, route int }

func rankOf(r *Route, customerPriority *int) rank {
	if customerPriority == nil {
		return rank{r.Priority, r.Priority}
	}
	return rank{*customerPriority, r.Priority}
}

func (a rank) compare(b rank) int {
	return cmp.Or(cmp.Compare(a.first, b.first), cmp.Compare(a.route, b.route))
}

// maxTier is the highest quetzalhook.Tier.
const maxTier = 255

// Index builds the maps for lookups. Call it once, before the table is shared
// between goroutines.
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
	t.ranks = t.allRanks()
}

// allRanks returns the ranks that requests can have, in order.
func (t *Table) allRanks() []rank {
	customers := make(map[int]*int) // by priority
	hasOwn := true                  // all customers have a priority
	for i := range t.Customers {
		if p := t.Customers[i].Priority; p != nil {
			customers[*p] = p
		} else {
			hasOwn = false
		}
	}
	var ranks []rank
	for i := range t.Routes {
		r := &t.Routes[i]
		if r.Public || !t.HasCustomers() || !hasOwn {
			ranks = append(ranks, rankOf(r, nil))
		}
		if r.Public {
			continue
		}
		for _, p := range customers {
			ranks = append(ranks, rankOf(r, p))
		}
	}
	slices.SortFunc(ranks, rank.compare)
	return slices.Compact(ranks)
}

// Tier returns the tier of a request on a route, from a customer or nil. Requests of
// customers with the same priority keep the order of their routes, so that those of
// a patient route do not delay those of an urgent one. Tiers have no gaps, because
// engines distinguish only a few of them.
func (t *Table) Tier(r *Route, c *Customer) quetzalhook.Tier {
	var own *int
	if c != nil {
		own = c.Priority
	}
	i, _ := slices.BinarySearchFunc(t.ranks, rankOf(r, own), rank.compare)
	return quetzalhook.Tier(min(i, maxTier))
}

// Route returns the route of a request: among the routes with its host name, the
// one with the longest prefix of the path. It returns nil if no route matches.
func (t *Table) Route(host, path string) *Route {
	for _, r := range t.hosts[hostName(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// hostName returns the name in a Host header in lower case, without the port.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// Service returns a service by name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Customer returns the customer to whom a key belongs, or nil.
func (t *Table) Customer(secret string) *Customer { return t.keys[HashKey(secret)] }

// HasCustomers reports whether the table lists customers. If not, no request
// needs a key.
func (t *Table) HasCustomers() bool { return len(t.Customers) > 0 }
