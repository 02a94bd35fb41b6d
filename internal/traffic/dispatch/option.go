package dispatch

import (
	"time"

	"quetzalhook"
	"quetzalhook/internal/traffic/estimate"
	"quetzalhook/internal/traffic/queue"
)

// DefaultMaxWaiting is the default bound on the waiting requests of a host. At
// about 1 KB each they take 10 MB.
const DefaultMaxWaiting = 10000

// Option configures a Core.
type Option func(*Core)

// WithInvariants makes the core count checks of its invariants in inv.
func WithInvariants(inv quetzalhook.Invariants) Option {
	return func(c *Core) { c.invariants = inv }
}

// WithHosts sets the number of hosts that share the limits of customers.
func WithHosts(n int) Option { return func(c *Core) { c.hosts = max(n, 1) } }

// WithEstimator sets the predictor of output lengths.
func WithEstimator(e *estimate.Estimator) Option { return func(c *Core) { c.estimator = e } }

// WithRetryBudget replaces the default retry budget.
func WithRetryBudget(b RetryBudget) Option { return func(c *Core) { c.budget = b } }

// WithMaxWaiting bounds the number of waiting requests.
func WithMaxWaiting(n int) Option { return func(c *Core) { c.maxWaiting = max(n, 1) } }

// WithRequestCount divides slots between customers by number of requests
// instead of predicted work. It is meant for comparisons.
func WithRequestCount() Option {
	return func(c *Core) { c.queueOpts = append(c.queueOpts, queue.WithRequestCount()) }
}

// WithArrivalOrder serves each customer's requests in order of arrival, also
// those that have missed their target. It is meant for comparisons.
func WithArrivalOrder() Option {
	return func(c *Core) { c.queueOpts = append(c.queueOpts, queue.WithArrivalOrder()) }
}

// WithoutFloors disables floor shares. It is meant for comparisons.
func WithoutFloors() Option {
	return func(c *Core) { c.queueOpts = append(c.queueOpts, queue.WithoutFloors()) }
}

// WithoutPreemption disables preemption. It is meant for comparisons.
func WithoutPreemption() Option { return func(c *Core) { c.noPreempt = true } }

// RetryBudget limits retries to a fraction of the requests.
type RetryBudget interface {
	// Record counts one new request.
	Record(now time.Time)
	// Allow takes one retry from the budget; it returns false if none is left.
	Allow(now time.Time) bool
}

const (
	// retryRatio is the number of retries allowed for each new request.
	retryRatio = 0.1
	// maxRetryTokens is the largest number of unused retries that accumulate.
	// It covers the streams of one failed upstream.
	maxRetryTokens = 32
)

// ratioBudget is the default RetryBudget. It is a token bucket that new
// requests refill.
type ratioBudget struct{ tokens float64 }

// Record implements RetryBudget.
func (b *ratioBudget) Record(time.Time) { b.tokens = min(b.tokens+retryRatio, maxRetryTokens) }

// Allow implements RetryBudget.
func (b *ratioBudget) Allow(time.Time) bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// faults disables single rules of the core, so that tests can show that the
// invariant check of each rule detects a violation.
type faults struct {
	refuseUrgent     bool // refuses urgent requests when the queue is full
	alwaysNotRun     bool // reports every refused request as not run, even if it was sent
	useLeaving       bool // starts requests on leaving upstreams
	leakSlot         bool // leaves ended requests on their upstream
	runTwice         bool // starts a request again before its cancellation is confirmed
	expireMustFinish bool // lets must-finish requests expire at their deadline
}

// Stats counts the actions of a Core.
type Stats struct {
	Preempted int // streams cancelled for an urgent request or a class below its floor
	Moved     int // streams cancelled because their upstream was leaving, gone or ejected
	Expired   int // streams cancelled because their deadline passed
	Refused   map[quetzalhook.RefuseKind]int
	// WastedTokens estimates the tokens to prefill again because of
	// preemptions and moves.
	WastedTokens int
}
