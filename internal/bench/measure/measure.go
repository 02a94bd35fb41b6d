// Package measure collects the results of requests and computes the measures of
// a run: attainment by class and customer, goodput, wasted tokens and spending.
// Attainment is the fraction of requests that were served within their target.
package measure

import (
	"sort"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"quetzalhook"
)

// Status tells how a request ended for its caller.
type Status uint8

const (
	// Served is a request with a complete response.
	Served Status = iota + 1
	// Refused is a request with an error response of a host, or with no response
	// by its deadline.
	Refused
	// Unknown is a request that was not served but may have run.
	Unknown
	// Abandoned is a request that the caller gave up on purpose; it does not
	// count towards attainment.
	Abandoned
)

// Result is the outcome of one request.
type Result struct {
	Class    quetzalhook.ClassName
	Customer quetzalhook.CustomerID
	Status   Status
	// FirstToken is the time from the first send to the first token, or to the
	// complete response of a service.
	FirstToken time.Duration
	Tokens     int  // tokens of the response
	InTarget   bool // served within the target of its class
	Order      bool // a call that must not run twice
}

// Histograms record microseconds up to 10 minutes with 3 significant digits.
const (
	maxLatencyUs      = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

type counters struct {
	sent, served, inTarget, refused int
	tokens                          int64 // of served requests
	firstToken                      *hdrhistogram.Histogram
}

func newCounters() *counters {
	return &counters{firstToken: hdrhistogram.New(1, maxLatencyUs, significantDigits)}
}

func (c *counters) attainment() float64 {
	if c.sent == 0 {
		return 1
	}
	return float64(c.inTarget) / float64(c.sent)
}

// Collector gathers results. It is safe for concurrent use.
type Collector struct {
	mu             sync.Mutex
	classes        map[quetzalhook.ClassName]*counters
	customers      map[quetzalhook.CustomerID]*counters
	classCustomers map[classCustomer]*counters
	goodput        int64
	served         int64
	orders         Orders
}

type classCustomer struct {
	class    quetzalhook.ClassName
	customer quetzalhook.CustomerID
}

// Orders counts the calls that must not run twice.
type Orders struct {
	Sent     int `json:"sent"`
	Run      int `json:"run"`
	RunTwice int `json:"run-twice"`
	Unknown  int `json:"unknown"`
}

// New returns an empty collector.
func New() *Collector {
	return &Collector{
		classes:        make(map[quetzalhook.ClassName]*counters),
		customers:      make(map[quetzalhook.CustomerID]*counters),
		classCustomers: make(map[classCustomer]*counters),
	}
}

// Add adds the result of one request. Abandoned requests are ignored.
func (c *Collector) Add(r Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.Status == Abandoned {
		return
	}
	getCounters(c.classes, r.Class).add(r)
	getCounters(c.customers, r.Customer).add(r)
	getCounters(c.classCustomers, classCustomer{r.Class, r.Customer}).add(r)
	if r.Status == Served {
		c.served += int64(r.Tokens)
		if r.InTarget {
			c.goodput += int64(r.Tokens)
		}
	}
	if r.Order {
		c.orders.Sent++
		if r.Status == Unknown {
			c.orders.Unknown++
		}
	}
}

func getCounters[K comparable](m map[K]*counters, k K) *counters {
	c := m[k]
	if c == nil {
		c = newCounters()
		m[k] = c
	}
	return c
}

func (c *counters) add(r Result) {
	c.sent++
	switch r.Status {
	case Served:
		c.served++
		c.tokens += int64(r.Tokens)
		_ = c.firstToken.RecordValue(min(max(r.FirstToken.Microseconds(), 1), maxLatencyUs))
	case Refused:
		c.refused++
	}
	if r.InTarget {
		c.inTarget++
	}
}

// ClassReport holds the measures of one class.
type ClassReport struct {
	Sent       int     `json:"sent"`
	Served     int     `json:"served"`
	InTarget   int     `json:"in-target"`
	Attainment float64 `json:"attainment"`
	Refused    int     `json:"refused"`
	P50        float64 `json:"ttft-p50-ms"`
	P95        float64 `json:"ttft-p95-ms"`
}

// CustomerReport holds the measures of one customer.
type CustomerReport struct {
	Sent       int     `json:"sent"`
	Attainment float64 `json:"attainment"`
	// Tokens are the tokens of served requests.
	Tokens int64 `json:"tokens"`
	// Gap is the largest amount by which the customer's attainment in a class is
	// below the attainment of the class, over all classes with at least
	// minCustomerRequests of its requests.
	Gap float64 `json:"class-gap"`
}

// minCustomerRequests is the minimum number of requests of a customer in a class
// for which its attainment is compared with that of the class. With fewer, a
// single request changes the attainment by more than the target of 5 percentage
// points.
const minCustomerRequests = 20

// Report holds all measures of a run.
type Report struct {
	Classes         map[string]ClassReport    `json:"classes"`
	Customers       map[string]CustomerReport `json:"customers"`
	WorstAttainment float64                   `json:"worst-customer-attainment"`
	// GoodputTokens are the tokens of requests that met their target.
	GoodputTokens int64 `json:"goodput-tokens"`
	ServedTokens  int64 `json:"served-tokens"`
	// WastedTokens were generated but are in no complete response.
	WastedTokens int64   `json:"wasted-tokens"`
	Spending     float64 `json:"spending"`
	CheapShare   float64 `json:"cheap-share"`
	// BilledTokens are the output tokens in the usage reports of all reported
	// windows. OverbilledTokens are those that exceed what the callers of a
	// customer received in complete responses.
	BilledTokens     int64  `json:"billed-tokens"`
	OverbilledTokens int64  `json:"overbilled-tokens"`
	Orders           Orders `json:"orders"`
	// Violations and Checks are counts by invariant name.
	Violations map[string]int64 `json:"violations"`
	Checks     map[string]int64 `json:"checks"`
}

// Report computes the measures of the results so far. The caller has to add
// spending, wasted and billed tokens, and the counts of invariants.
func (c *Collector) Report() Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := Report{
		Classes: make(map[string]ClassReport), Customers: make(map[string]CustomerReport),
		WorstAttainment: 1, GoodputTokens: c.goodput, ServedTokens: c.served, Orders: c.orders,
		Violations: make(map[string]int64), Checks: make(map[string]int64),
	}
	for name, n := range c.classes {
		r.Classes[string(name)] = ClassReport{
			Sent: n.sent, Served: n.served, InTarget: n.inTarget, Attainment: n.attainment(), Refused: n.refused,
			P50: quantileMs(n, 50), P95: quantileMs(n, 95),
		}
	}
	for name, n := range c.customers {
		r.Customers[string(name)] = CustomerReport{
			Sent: n.sent, Attainment: n.attainment(), Tokens: n.tokens, Gap: c.largestGap(name),
		}
		r.WorstAttainment = min(r.WorstAttainment, n.attainment())
	}
	return r
}

func quantileMs(c *counters, q float64) float64 {
	return float64(c.firstToken.ValueAtQuantile(q)) / 1000
}

func (c *Collector) largestGap(customer quetzalhook.CustomerID) float64 {
	worst := 0.0
	for key, n := range c.classCustomers {
		if key.customer == customer && n.sent >= minCustomerRequests {
			worst = max(worst, c.classes[key.class].attainment()-n.attainment())
		}
	}
	return worst
}

// AddBilled adds the output tokens billed to each customer, and compares them
// with what its callers received.
func (r *Report) AddBilled(billed map[string]int64) {
	for name, n := range billed {
		c, ok := r.Customers[name]
		if !ok {
			continue // not a customer of the workloads
		}
		r.BilledTokens += n
		r.OverbilledTokens += max(n-c.Tokens, 0)
	}
}

// sortedKeys returns the keys of m in ascending order.
func sortedKeys[V any](m map[string]V) []string {
	list := make([]string, 0, len(m))
	for k := range m {
		list = append(list, k)
	}
	sort.Strings(list)
	return list
}
