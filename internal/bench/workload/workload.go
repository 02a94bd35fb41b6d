// Package workload holds the two reference workloads as data and generates
// arrivals from them: open loop, from a seed, so that a slow system does not
// slow down its callers.
package workload

import (
	"math"
	"math/rand/v2"
	"time"

	"quetzalhook"
)

// Route is the path that a class calls.
type Route string

// Routes of callers.
const (
	RouteChat     Route = "/v1/chat/completions"
	RouteBookings Route = "/bookings"
	RouteOrders   Route = "/orders"
)

// Workload is one deployment's traffic.
type Workload struct {
	Name      string
	Model     quetzalhook.Model
	Regions   []quetzalhook.Region
	Latency   time.Duration // one way, between caller and host
	Classes   []Class
	Customers []Customer
	Bursts    []Burst
}

// Class is the traffic of one request class.
type Class struct {
	Name  quetzalhook.ClassName
	Tier  quetzalhook.Tier
	Route Route
	// Rate is the mean number of requests/s outside bursts.
	Rate float64
	// Target is the service level: time to the first token, or the whole
	// response of a service.
	Target        time.Duration
	MustFinish    bool
	LateWorthless bool
	FloorShare    float64
	// Status marks calls that ask for the status of an order; they may be
	// repeated.
	Status bool
	// Prefixes is the number of prompt beginnings that requests share, each
	// PrefixTokens long.
	Prefixes     int
	PrefixTokens int
	Prompt       Lengths // after the prefix
	Output       Lengths
}

// Lengths is a log-normal distribution of token counts, cut off at Max.
type Lengths struct {
	Median int
	P95    int
	Max    int
}

// p95Sigma is the 95th percentile of the standard normal distribution.
const p95Sigma = 1.645

func (l Lengths) draw(r *rand.Rand) int {
	if l.Median == 0 {
		return 0
	}
	sigma := math.Log(float64(l.P95)/float64(l.Median)) / p95Sigma
	n := int(float64(l.Median) * math.Exp(sigma*r.NormFloat64()))
	return min(max(n, 1), l.Max)
}

// Mean returns the mean length without the cut-off.
func (l Lengths) Mean() float64 {
	if l.Median == 0 {
		return 0
	}
	sigma := math.Log(float64(l.P95)/float64(l.Median)) / p95Sigma
	return float64(l.Median) * math.Exp(sigma*sigma/2)
}

// Customer is one customer and its share of the requests.
type Customer struct {
	Name  quetzalhook.CustomerID
	Share float64 // relative to the other customers of the workload
}

// Burst multiplies the rate of a class for a while. Times are fractions of
// the run.
type Burst struct {
	Class  quetzalhook.ClassName
	From   float64
	To     float64
	Factor float64
}

// All returns both workloads.
func All() []Workload { return []Workload{Association(), Foundry()} }

// Class returns the class of a name.
func (w Workload) Class(name quetzalhook.ClassName) (Class, bool) {
	for _, c := range w.Classes {
		if c.Name == name {
			return c, true
		}
	}
	return Class{}, false
}

// IsChat reports whether the class calls an engine.
func (c Class) IsChat() bool { return c.Route == RouteChat }

// IsRepeatable reports whether a call of the class may run more than once.
func (c Class) IsRepeatable() bool { return c.IsChat() || c.Status }
