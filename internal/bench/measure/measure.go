// Package measure collects the results of requests and computes the measures
// of a run: attainment by class and customer, goodput, wasted work and
// spending.
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
	// Served is a whole answer.
	Served Status = iota + 1
	// Refused is an error answer of a host, or no answer by the deadline.
	Refused
	// Unknown is a call that may have run.
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
	// whole response of a service.
	FirstToken time.Duration
	Tokens     int // tokens of the answer
	InTarget   bool
	Order      bool // a call that may not be repeated
}

// Histograms record microseconds up to 10 minutes with 3 significant digits.
const (
	maxLatency = int64(10 * time.Minute / time.Microsecond)
	digits     = 3
)

type tally struct {
	sent, served, inTarget, refused int
	tokens                          int64 // of whole answers
	firstToken                      *hdrhistogram.Histogram
}

func newTally() *tally {
	return &tally{firstToken: hdrhistogram.New(1, maxLatency, digits)}
}

func (t *tally) attainment() float64 {
	if t.sent == 0 {
		return 1
	}
	return float64(t.inTarget) / float64(t.sent)
}

// Collector gathers results. It is safe for concurrent use.
type Collector struct {
	mu        sync.Mutex
	classes   map[quetzalhook.ClassName]*tally
	customers map[quetzalhook.CustomerID]*tally
	pairs     map[pair]*tally
	goodput   int64
	served    int64
	orders    Orders
}

type pair struct {
	class    quetzalhook.ClassName
	customer quetzalhook.CustomerID
}

// Orders counts the calls that may not be repeated.
type Orders struct {
	Sent     int `json:"sent"`
	Run      int `json:"run"`
	RunTwice int `json:"run-twice"`
	Unknown  int `json:"unknown"`
}

// New returns an empty collector.
func New() *Collector {
	return &Collector{
		classes:   make(map[quetzalhook.ClassName]*tally),
		customers: make(map[quetzalhook.CustomerID]*tally),
		pairs:     make(map[pair]*tally),
	}
}

// Add takes one result.
func (c *Collector) Add(r Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.Status == Abandoned {
		return
	}
	get(c.classes, r.Class).add(r)
	get(c.customers, r.Customer).add(r)
	get(c.pairs, pair{r.Class, r.Customer}).add(r)
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

func get[K comparable](m map[K]*tally, k K) *tally {
	t := m[k]
	if t == nil {
		t = newTally()
		m[k] = t
	}
	return t
}

func (t *tally) add(r Result) {
	t.sent++
	switch r.Status {
	case Served:
		t.served++
		t.tokens += int64(r.Tokens)
		_ = t.firstToken.RecordValue(min(max(r.FirstToken.Microseconds(), 1), maxLatency))
	case Refused:
		t.refused++
	}
	if r.InTarget {
		t.inTarget++
	}
}

// ClassReport is the row of one class.
type ClassReport struct {
	Sent       int     `json:"sent"`
	Served     int     `json:"served"`
	InTarget   int     `json:"in-target"`
	Attainment float64 `json:"attainment"`
	Refused    int     `json:"refused"`
	P50        float64 `json:"ttft-p50-ms"`
	P95        float64 `json:"ttft-p95-ms"`
}

// CustomerReport is the row of one customer.
type CustomerReport struct {
	Sent       int     `json:"sent"`
	Attainment float64 `json:"attainment"`
	// Tokens are those of whole answers.
	Tokens int64 `json:"tokens"`
	// Gap is the largest shortfall of the customer's attainment in a class
	// from the mean of that class, over classes with enough requests.
	Gap float64 `json:"class-gap"`
}

// minSample is the number of requests of a customer in a class from which its
// attainment is compared with the mean of the class; below it, one request is
// worth more than the 5 points of the target.
const minSample = 20

// Report holds all measures of a run.
type Report struct {
	Classes       map[string]ClassReport    `json:"classes"`
	Customers     map[string]CustomerReport `json:"customers"`
	WorstCustomer float64                   `json:"worst-customer-attainment"`
	// GoodputTokens are the tokens of answers that met their target.
	GoodputTokens int64 `json:"goodput-tokens"`
	ServedTokens  int64 `json:"served-tokens"`
	// WastedTokens were generated but are in no answer.
	WastedTokens int64   `json:"wasted-tokens"`
	Spending     float64 `json:"spending"`
	CheapShare   float64 `json:"cheap-share"`
	// BilledTokens are the output tokens in the usage reports of all windows
	// that were reported; OverbilledTokens those of them beyond what the
	// callers of a customer received in whole answers.
	BilledTokens     int64  `json:"billed-tokens"`
	OverbilledTokens int64  `json:"overbilled-tokens"`
	Orders           Orders `json:"orders"`
	// Violations and Checks are counts by invariant name.
	Violations map[string]int64 `json:"violations"`
	Checks     map[string]int64 `json:"checks"`
}

// Report returns the measures that the results give.
func (c *Collector) Report() Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := Report{
		Classes: make(map[string]ClassReport), Customers: make(map[string]CustomerReport),
		WorstCustomer: 1, GoodputTokens: c.goodput, ServedTokens: c.served, Orders: c.orders,
		Violations: make(map[string]int64), Checks: make(map[string]int64),
	}
	for name, t := range c.classes {
		r.Classes[string(name)] = ClassReport{
			Sent: t.sent, Served: t.served, InTarget: t.inTarget, Attainment: t.attainment(), Refused: t.refused,
			P50: quantile(t, 50), P95: quantile(t, 95),
		}
	}
	for name, t := range c.customers {
		r.Customers[string(name)] = CustomerReport{
			Sent: t.sent, Attainment: t.attainment(), Tokens: t.tokens, Gap: c.gap(name),
		}
		r.WorstCustomer = min(r.WorstCustomer, t.attainment())
	}
	return r
}

func quantile(t *tally, q float64) float64 {
	return float64(t.firstToken.ValueAtQuantile(q)) / 1000
}

func (c *Collector) gap(customer quetzalhook.CustomerID) float64 {
	worst := 0.0
	for p, t := range c.pairs {
		if p.customer == customer && t.sent >= minSample {
			worst = max(worst, c.classes[p.class].attainment()-t.attainment())
		}
	}
	return worst
}

// AddBilled compares the output tokens billed to each customer with what its
// callers received.
func (r *Report) AddBilled(billed map[string]int64) {
	for name, n := range billed {
		c, ok := r.Customers[name]
		if !ok {
			continue // no customer of the workloads
		}
		r.BilledTokens += n
		r.OverbilledTokens += max(n-c.Tokens, 0)
	}
}

// keys returns the keys of m in order.
func keys[V any](m map[string]V) []string {
	list := make([]string, 0, len(m))
	for k := range m {
		list = append(list, k)
	}
	sort.Strings(list)
	return list
}
