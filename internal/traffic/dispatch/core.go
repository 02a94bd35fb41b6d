// Package dispatch implements the production quetzalhook.Policy. It combines
// admission control, queueing, preemption and customer limits, and leaves the
// choice of an upstream to a Placer. The package does no I/O, starts no
// goroutine and reads no clock.
//
// A request waits in the queue of its model, runs on an upstream, and ends. In
// between, a slot may be reserved for it while another stream is cancelled to
// free that slot. A running request whose stream is cancelled keeps its slot
// until the host confirms the cancellation by calling End; only then does it
// return to its queue.
package dispatch

import (
	"time"

	"quetzalhook"
	"quetzalhook/internal/traffic/estimate"
	"quetzalhook/internal/traffic/limit"
	"quetzalhook/internal/traffic/queue"
)

// Core is the production implementation of quetzalhook.Policy.
type Core struct {
	placer     quetzalhook.Placer
	invariants quetzalhook.Invariants
	budget     RetryBudget
	estimator  *estimate.Estimator
	limiter    *limit.Limiter
	hosts      int
	queueOpts  []queue.Option
	maxWaiting int
	noPreempt  bool
	faults     faults

	entries  map[quetzalhook.RequestID]*entry
	pools    map[quetzalhook.Model]*pool
	poolList []*pool // in order of creation
	limits   map[quetzalhook.CustomerID]quetzalhook.CustomerLimit
	// parked holds, by customer, one request of each model and class whose
	// requests wait because the customer has reached its concurrency limit.
	parked          map[quetzalhook.CustomerID][]*entry
	upstreams       map[quetzalhook.UpstreamID]*upstream
	leaving         []*upstream // upstreams that are leaving and are still listed or still have requests
	unfit           []*upstream // upstreams that Placer.Unfit returned last
	sharedUpstreams bool        // at least one upstream serves several models
	starts          int         // number of attempts started so far
	deadlines       timers      // requests that expire at their deadline
	delayed         timers      // requests that wait before their next attempt
	load            load
	stats           Stats
	lastPeriodic    time.Time
	actions         []quetzalhook.Action
}

// New returns a Core that chooses upstreams with placer.
func New(placer quetzalhook.Placer, opts ...Option) *Core {
	c := &Core{
		placer:     placer,
		budget:     &ratioBudget{tokens: maxRetryTokens},
		hosts:      1,
		maxWaiting: DefaultMaxWaiting,
		entries:    make(map[quetzalhook.RequestID]*entry),
		pools:      make(map[quetzalhook.Model]*pool),
		parked:     make(map[quetzalhook.CustomerID][]*entry),
		upstreams:  make(map[quetzalhook.UpstreamID]*upstream),
	}
	for _, opt := range opts {
		opt(c)
	}
	if c.estimator == nil {
		c.estimator = estimate.New()
	}
	c.limiter = limit.New(c.hosts)
	return c
}

var _ quetzalhook.Policy = (*Core)(nil)

// SetUpstreams implements quetzalhook.Policy.
func (c *Core) SetUpstreams(now time.Time, upstreams []quetzalhook.Upstream) []quetzalhook.Action {
	c.resetActions()
	c.placer.SetUpstreams(now, upstreams)
	c.setUpstreams(now, upstreams)
	c.moveStreams(now)
	return c.scheduleAll(now)
}

// SetLimits implements quetzalhook.Policy.
func (c *Core) SetLimits(now time.Time, limits map[quetzalhook.CustomerID]quetzalhook.CustomerLimit) []quetzalhook.Action {
	c.resetActions()
	c.limits = limits
	c.limiter.SetLimits(now, limits)
	c.unparkAll()
	return c.scheduleAll(now)
}

// Submit implements quetzalhook.Policy.
func (c *Core) Submit(now time.Time, r quetzalhook.Request) []quetzalhook.Action {
	c.resetActions()
	if !c.checkNew(r) {
		return nil
	}
	e := c.newEntry(now, r)
	if e.pool == nil {
		return c.reject(e, quetzalhook.RefuseNoUpstream, retryAfter)
	}
	if ok, wait := c.limiter.Admit(now, r.Customer, e.Work); !ok {
		return c.reject(e, quetzalhook.RefuseLimit, max(wait, minRetryAfter))
	}
	if !c.makeRoom(now, e) {
		c.limiter.Correct(now, r.Customer, -e.Work)
		return c.reject(e, quetzalhook.RefuseOverload, retryAfter)
	}
	c.budget.Record(now)
	e.charged = e.Work
	c.entries[r.ID] = e
	if e.expires(c.faults) {
		c.deadlines.add(e, e.Deadline)
	}
	e.pool.queue.Advance(now)
	c.push(e)
	c.scheduleAfter(now, e.pool)
	return c.actions
}

// Progress implements quetzalhook.Policy.
func (c *Core) Progress(now time.Time, id quetzalhook.RequestID, n int) []quetzalhook.Action {
	e := c.entries[id]
	if e == nil || n <= e.Tokens || e.state != stateRunning && e.state != stateStopping {
		return nil
	}
	if e.state == stateStopping {
		e.Tokens = n
	} else {
		if e.Tokens == 0 {
			e.pool.queue.FirstToken(&e.Item, now.Sub(e.started))
		}
		e.pool.queue.Progress(&e.Item, n)
	}
	c.placer.Progress(now, id, n-e.tokensAtStart)
	if work := float64(e.Request.PromptTokens + n); work > e.Work {
		c.updateWork(now, e, c.predict(e.Request, n))
	}
	return nil
}

// End implements quetzalhook.Policy.
func (c *Core) End(now time.Time, id quetzalhook.RequestID, end quetzalhook.End) []quetzalhook.Action {
	c.resetActions()
	e := c.entries[id]
	if e == nil {
		return nil // already refused, or cancelled because its deadline passed
	}
	e.pool.queue.Advance(now)
	if e.state == stateRunning || e.state == stateStopping {
		c.endAttempt(now, e, end)
	} else if c.checkEnd(e, end) {
		c.removeWaiting(e)
		c.endRequest(now, e)
	}
	c.scheduleAfter(now, e.pool)
	return c.actions
}

// ObserveLoad implements quetzalhook.Policy.
func (c *Core) ObserveLoad(now time.Time, l quetzalhook.Load) []quetzalhook.Action {
	c.resetActions()
	c.placer.ObserveLoad(now, l)
	if u := c.upstreams[l.Upstream]; u != nil && u.leaving != (l.Leaving || u.listedLeaving) {
		c.setLeaving(now, u, !u.leaving)
		c.moveStreams(now)
		c.scheduleAll(now)
	}
	return c.actions
}

// ObservePeers implements quetzalhook.Policy.
func (c *Core) ObservePeers(now time.Time, peers []quetzalhook.PeerDemand) []quetzalhook.Action {
	c.resetActions()
	c.placer.ObservePeers(now, peers)
	c.limiter.ObservePeers(now, peers)
	return c.actions
}

// periodicInterval is the time between runs of the periodic work whose cost
// grows with the number of upstreams or customers.
const periodicInterval = 250 * time.Millisecond

// Tick implements quetzalhook.Policy.
func (c *Core) Tick(now time.Time) []quetzalhook.Action {
	c.resetActions()
	c.expireLate(now) // first, because checkLate checks the result of the last scheduling pass
	for _, p := range c.poolList {
		p.queue.Advance(now)
	}
	if now.Sub(c.lastPeriodic) >= periodicInterval {
		c.lastPeriodic = now
		c.placer.ObserveDemand(now, c.demand())
		c.limiter.Tick(now)
		c.moveStreams(now)
		c.unparkAll()
		for _, p := range c.poolList {
			p.queue.Sweep()
		}
		c.checkSlots()
	}
	c.resumeDelayed(now)
	return c.scheduleAll(now)
}

// Demand implements quetzalhook.Policy.
func (c *Core) Demand(time.Time) quetzalhook.Demand {
	d := c.demand()
	d.Used = c.limiter.Used()
	return d
}

// demand returns the current demand without the use of each customer. The
// placer does not need that part, and it is expensive to build for thousands
// of customers.
func (c *Core) demand() quetzalhook.Demand {
	d := quetzalhook.Demand{
		Requests: c.load.requests(),
		Waiting:  c.load.waiting(),
		Running:  c.load.running(),
		InFlight: make(map[quetzalhook.UpstreamID]int),
	}
	for id, u := range c.upstreams {
		if len(u.running) > 0 {
			d.InFlight[id] = len(u.running)
		}
	}
	return d
}

// Stats returns the counts since the core was created.
func (c *Core) Stats() Stats { return c.stats }

// resetActions starts a new list of actions for the current call.
func (c *Core) resetActions() { c.actions = nil }
