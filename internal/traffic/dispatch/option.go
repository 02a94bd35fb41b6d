package dispatch

import (
	"time"

	"quetzalhook"
	"quetzalhook/internal/traffic/estimate"
	"quetzalhook/internal/traffic/queue"
)

// DefaultMaxWaiting bounds the waiting requests of a host. At about 1 KB each
// they take 10 MB.
const DefaultMaxWaiting = 10000

// Option configures a Core.
type Option func(*Core)

// WithInvariants counts the checks of the core's rules.
func WithInvariants(inv quetzalhook.Invariants) Option {
	return func(c *Core) { c.invariants = inv }
}

// WithHosts sets the number of hosts that share the customers' limits.
func WithHosts(n int) Option { return func(c *Core) { c.hosts = max(n, 1) } }

// WithEstimator sets the predictor of output lengths.
func WithEstimator(e *estimate.Estimator) Option { return func(c *Core) { c.estimator = e } }

// WithRetryBudget sets what allows retries.
func WithRetryBudget(b RetryBudget) Option { return func(c *Core) { c.budget = b } }

// WithMaxWaiting bounds the waiting requests.
func WithMaxWaiting(n int) Option { return func(c *Core) { c.maxWaiting = max(n, 1) } }

// WithRequestCount shares by the number of requests instead of predicted work,
// for comparisons.
func WithRequestCount() Option {
	return func(c *Core) { c.queueOpts = append(c.queueOpts, queue.WithRequestCount()) }
}

// WithArrivalOrder serves each customer's requests in order of arrival even
// if they missed their target, for comparisons.
func WithArrivalOrder() Option {
	return func(c *Core) { c.queueOpts = append(c.queueOpts, queue.WithArrivalOrder()) }
}

// WithoutFloors turns floor shares off, for comparisons.
func WithoutFloors() Option {
	return func(c *Core) { c.queueOpts = append(c.queueOpts, queue.WithoutFloors()) }
}

// WithoutPreemption turns preemption off, for comparisons.
func WithoutPreemption() Option { return func(c *Core) { c.noPreempt = true } }

// RetryBudget bounds retries to a share of the traffic.
type RetryBudget interface {
	// Request counts one new request.
	Request(now time.Time)
	// Retry takes one retry from the budget, or returns false.
	Retry(now time.Time) bool
}

const (
	// retryShare is the part of new requests that may be retried.
	retryShare = 0.1
	// maxRetryTokens is the number of retries that may be used at once. It
	// covers the streams of one lost upstream.
	maxRetryTokens = 32
)

// shareBudget is the default RetryBudget.
type shareBudget struct{ tokens float64 }

// Request implements RetryBudget.
func (b *shareBudget) Request(time.Time) { b.tokens = min(b.tokens+retryShare, maxRetryTokens) }

// Retry implements RetryBudget.
func (b *shareBudget) Retry(time.Time) bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// faults breaks single rules, so that tests can show that the check of each
// rule sees it.
type faults struct {
	refuseUrgent   bool // sheds urgent requests when the queue is full
	claimNotRun    bool // refuses with not-run whatever was sent
	useLeaving     bool // starts requests on leaving upstreams
	loseSlot       bool // keeps ended requests on their upstream
	runTwice       bool // starts a request again while its cancel is open
	doomMustFinish bool // cancels classes that must finish as doomed
}

// Stats counts what a Core did.
type Stats struct {
	Preempted int // streams cancelled for an urgent request or a floor
	Moved     int // streams cancelled because their upstream was unfit
	Doomed    int // streams cancelled because their answer was late
	Refused   map[quetzalhook.RefuseKind]int
	// WastedTokens is the prefill to repeat because of preemptions and moves.
	WastedTokens int
}
