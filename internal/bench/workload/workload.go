// Package workload defines the two reference workloads and generates request
// arrivals from them. The load is open-loop: the arrival times follow from a
// seed and do not depend on the responses, so that a slow system does not reduce
// its load.
package workload

import (
	"math"
	"math/rand/v2"
	"time"

	"quetzalhook"
)

// Route is the URL path that requests of a class are sent to.
type Route string

// Routes of the reference workloads.
const (
	RouteChat     Route = "/v1/chat/completions"
	RouteBookings Route = "/bookings"
	RouteOrders   Route = "/orders"
)

// Workload describes the traffic of one deployment.
type Workload struct {
	Name      string
	Model     quetzalhook.Model
	Regions   []quetzalhook.Region
	Latency   time.Duration // one-way network delay between caller and host
	Classes   []Class
	Customers []Customer
	Bursts    []Burst
}

// Class describes the traffic of one request class.
type Class struct {
	Name  quetzalhook.ClassName
	Tier  quetzalhook.Tier
	Route Route
	// Rate is the mean arrival rate outside bursts in requests/s.
	Rate float64
	// Target is the service level: the latest time to the first token or, for
	// calls to a service, to the whole response.
	Target        time.Duration
	MustFinish    bool    // accepted requests always finish
	LateWorthless bool    // answers have no value if they miss Target
	FloorShare    float64 // guaranteed fraction of the slots, from 0 to 1
	// StatusQuery marks calls that query the status of an order. They may run more
	// than once.
	StatusQuery bool
	// Prefixes is the number of different system prompts. Each is PrefixTokens
	// long and shared by many requests.
	Prefixes     int
	PrefixTokens int
	Prompt       Lengths // user prompt, without the system prompt
	Output       Lengths
}

// Lengths is a log-normal distribution of token counts. Draws are limited to the
// range from 1 to Max; if Median is 0, they are 0.
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

// Mean returns the mean of the distribution, ignoring Max.
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

// Burst multiplies the arrival rate of a class between two times, which are
// fractions of the run.
type Burst struct {
	Class  quetzalhook.ClassName
	From   float64
	To     float64
	Factor float64
}

// All returns both reference workloads.
func All() []Workload { return []Workload{Association(), Foundry()} }

// Class returns the class with the given name and whether it exists.
func (w Workload) Class(name quetzalhook.ClassName) (Class, bool) {
	for _, c := range w.Classes {
		if c.Name == name {
			return c, true
		}
	}
	return Class{}, false
}

// IsChat reports whether requests of the class are chat completions, which
// engines answer.
func (c Class) IsChat() bool { return c.Route == RouteChat }

// IsRepeatable reports whether a call of the class may run more than once.
func (c Class) IsRepeatable() bool { return c.IsChat() || c.StatusQuery }
