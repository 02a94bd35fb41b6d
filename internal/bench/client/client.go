// Package client plays the callers of a run over HTTP: open loop, with the
// host directory cached, every answer verified, and calls that may not be
// repeated sent again with the same Idempotency-Key after a broken
// connection.
package client

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"quetzalhook"
	"quetzalhook/internal/bench/measure"
	"quetzalhook/internal/bench/workload"
	"quetzalhook/internal/state/invariant"
	"quetzalhook/internal/state/timing"
)

const (
	// maxAttempts bounds the sends of one request after broken connections.
	maxAttempts = 6
	// minRetry and maxRetry bound the wait after a refusal.
	minRetry = 100 * time.Millisecond
	maxRetry = 2 * time.Second
	// callersPerCustomer is the number of separate callers, each with its own
	// answer of GET /v1/hosts, that a customer has in a region.
	callersPerCustomer = 4
	// orderPatience is how long a caller repeats a refused order.
	orderPatience = 10 * time.Second
	// slowRead is what a slow reader waits after each event.
	slowRead = 30 * time.Millisecond
	// abandonAfter is the number of tokens after which a caller disconnects
	// that does so on purpose.
	abandonAfter = 5

	idleConnections = 512
)

// Settings configure a Client.
type Settings struct {
	// Hosts are addresses to ask for hosts first.
	Hosts []string
	// Keys holds the key of each customer.
	Keys func(quetzalhook.CustomerID) string
	// Region returns the region to ask hosts for.
	Region func(workload.Arrival) string
	// SlowShare is the fraction of streams that are read slowly.
	SlowShare float64
	// AbandonShare is the fraction of streams whose caller disconnects early.
	AbandonShare float64
	// Invariants counts the outside checks.
	Invariants quetzalhook.Invariants
	Collector  *measure.Collector
}

// Client plays all callers. It is safe for concurrent use.
type Client struct {
	settings  Settings
	http      *http.Client
	directory *directory

	mu       sync.Mutex
	orders   []order
	refusals []string // request ids refused as not run
	errors   map[string]int
	broken   map[string]int // by host
}

// order is what the caller knows of one call that may not be repeated.
type order struct {
	id     string
	status measure.Status
	broken bool // a connection broke, so that the call may have run
}

// New returns a client.
func New(s Settings) *Client {
	c := &http.Client{
		Transport: &http.Transport{
			MaxIdleConns: idleConnections, MaxIdleConnsPerHost: idleConnections, DisableCompression: true,
		},
	}
	return &Client{
		settings: s, http: c, directory: newDirectory(c, s.Hosts), errors: make(map[string]int),
		broken: make(map[string]int),
	}
}

// Close closes idle connections.
func (c *Client) Close() error {
	c.http.CloseIdleConnections()
	return nil
}

// Run sends all arrivals at their times and waits for their ends. Requests
// still open when ctx ends count as refused.
func (c *Client) Run(ctx context.Context, arrivals []workload.Arrival) {
	var group sync.WaitGroup
	begin := time.Now()
	for i, a := range arrivals {
		if !timing.Sleep(ctx, time.Until(begin.Add(a.At))) {
			break
		}
		group.Go(func() { c.settings.Collector.Add(c.Do(ctx, a, i)) })
	}
	group.Wait()
}

// Do sends one arrival, again if need be, and returns its result. The number
// n decides whether the caller is slow or leaves early.
func (c *Client) Do(ctx context.Context, a workload.Arrival, n int) measure.Result {
	r := &request{
		client: c, arrival: a, start: time.Now(), caller: callerOf(a),
		slow:    share(n, 0, c.settings.SlowShare),
		abandon: share(n, 1, c.settings.AbandonShare),
	}
	var status measure.Status
	if a.Class.IsChat() {
		status = r.run(ctx, r.chat)
	} else {
		status = r.run(ctx, r.order)
	}
	result := measure.Result{
		Class: a.Class.Name, Customer: a.Customer, Status: status, FirstToken: r.first, Tokens: r.tokens,
		InTarget: status == measure.Served && (a.Class.Target == 0 || r.first <= a.Class.Target),
		Order:    !a.Class.IsRepeatable(),
	}
	if a.Class.MustFinish && status != measure.Abandoned && !r.invalid {
		r.check(invariant.NoStarvation, status == measure.Served, "class", a.Class.Name, "after", time.Since(r.start))
	}
	if result.Order {
		c.mu.Lock()
		c.orders = append(c.orders, order{id: a.ID, status: status, broken: r.broken})
		c.mu.Unlock()
	}
	return result
}

// share selects a fraction f of the numbers n, the same in every run.
func share(n, salt int, f float64) bool {
	return f > 0 && rand.New(rand.NewPCG(uint64(n), uint64(salt))).Float64() < f
}

func callerOf(a workload.Arrival) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(a.ID))
	return string(a.Customer) + "/" + string(a.Region) + "/" + strconv.Itoa(int(h.Sum32()%callersPerCustomer))
}

// Errors returns the number of error answers by kind and outcome.
func (c *Client) Errors() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := make(map[string]int, len(c.errors))
	for k, n := range c.errors {
		counts[k] = n
	}
	return counts
}

// Broken returns the number of requests that got no answer or a part of one
// from each host address.
func (c *Client) Broken() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := make(map[string]int, len(c.broken))
	for k, n := range c.broken {
		counts[k] = n
	}
	return counts
}

func (c *Client) countBroken(host string) {
	c.directory.fail(host)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken[host]++
}

func (c *Client) countError(kind string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.errors[kind]++
}

// Report returns the measures so far.
func (c *Client) Report() measure.Report { return c.settings.Collector.Report() }
