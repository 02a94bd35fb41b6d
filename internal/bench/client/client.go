// Package client generates the load of a run over HTTP. It is an open-loop load
// generator: requests are sent at given times. Each caller caches the list of
// hosts, every response is verified, and calls that must not run twice are sent
// again with the same Idempotency-Key after a broken connection.
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
	// maxAttempts bounds the attempts of a request that get no response, part of
	// one, or an error after which the request may have run.
	maxAttempts = 6
	// minRetryAfter and maxRetryAfter bound the wait after a refused request.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// callersPerCustomer is the number of callers of a customer in a region. Each
	// has its own cached response of GET /v1/hosts.
	callersPerCustomer = 4
	// orderRetryTime is the time for which a caller retries a refused order.
	orderRetryTime = 10 * time.Second
	// slowReadDelay is the wait of a slow reader after each event.
	slowReadDelay = 30 * time.Millisecond
	// abandonAfterTokens is the number of tokens after which a caller that
	// abandons its request disconnects.
	abandonAfterTokens = 5

	idleConnections = 512
)

// Settings configure a Client.
type Settings struct {
	// Hosts are the addresses of hosts that serve the list of hosts.
	Hosts []string
	// Keys returns the key of a customer.
	Keys func(quetzalhook.CustomerID) string
	// Region returns the region for which the list of hosts is requested.
	Region func(workload.Arrival) string
	// SlowShare is the fraction of streams that are read slowly.
	SlowShare float64
	// AbandonShare is the fraction of streams whose caller disconnects early.
	AbandonShare float64
	// Invariants counts the checks of the client.
	Invariants quetzalhook.Invariants
	Collector  *measure.Collector
}

// Client sends the requests of all callers. It is safe for concurrent use.
type Client struct {
	settings  Settings
	http      *http.Client
	directory *directory

	mu       sync.Mutex
	orders   []order
	refusals []string // IDs of requests whose error response says not-run
	errors   map[string]int
	broken   map[string]int // attempts with no or a partial response, by address of host
}

// order records how a call that must not run twice ended for its caller.
type order struct {
	id     string
	status measure.Status
	broken bool // a connection broke, so the call may have run
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

// Run sends all arrivals at their times and waits until all have ended. Requests
// that are open when ctx ends are cancelled and count as refused, or as unknown
// if an attempt was under way.
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

// Do sends one arrival, with retries, and returns its result. The number n of the
// arrival determines whether its caller reads slowly or disconnects early.
func (c *Client) Do(ctx context.Context, a workload.Arrival, n int) measure.Result {
	r := &request{
		client: c, arrival: a, start: time.Now(), caller: callerID(a),
		slow:    isSelected(n, 0, c.settings.SlowShare),
		abandon: isSelected(n, 1, c.settings.AbandonShare),
	}
	var status measure.Status
	if a.Class.IsChat() {
		status = r.run(ctx, r.sendChat)
	} else {
		status = r.run(ctx, r.sendOrder)
	}
	result := measure.Result{
		Class: a.Class.Name, Customer: a.Customer, Status: status, FirstToken: r.firstToken, Tokens: r.tokens,
		InTarget: status == measure.Served && (a.Class.Target == 0 || r.firstToken <= a.Class.Target),
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

// isSelected reports whether n is in a pseudo-random fraction f of all numbers.
// The result depends on the arguments only.
func isSelected(n, salt int, f float64) bool {
	return f > 0 && rand.New(rand.NewPCG(uint64(n), uint64(salt))).Float64() < f
}

// callerID returns the caller of an arrival: one of callersPerCustomer callers of
// its customer in its region.
func callerID(a workload.Arrival) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(a.ID))
	return string(a.Customer) + "/" + string(a.Region) + "/" + strconv.Itoa(int(h.Sum32()%callersPerCustomer))
}

// Errors returns the number of error responses by kind and outcome.
func (c *Client) Errors() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := make(map[string]int, len(c.errors))
	for k, n := range c.errors {
		counts[k] = n
	}
	return counts
}

// BrokenByHost returns, by address of host, the number of attempts that received no
// response or only part of one.
func (c *Client) BrokenByHost() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := make(map[string]int, len(c.broken))
	for k, n := range c.broken {
		counts[k] = n
	}
	return counts
}

func (c *Client) countBroken(host string) {
	c.directory.markFailed(host)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken[host]++
}

func (c *Client) countError(kind string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.errors[kind]++
}

// Report returns the measures of the requests that have ended so far.
func (c *Client) Report() measure.Report { return c.settings.Collector.Report() }
