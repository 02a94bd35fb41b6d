// Package dispatch is the product's Policy: it joins admission, order,
// preemption and limits with a Placer into one decision core. It is pure: no
// I/O, no goroutine, no clock.
//
// A request waits in the queue of its model, runs on an upstream, and ends.
// It may be claimed in between: a slot is being freed for it. A running
// request whose stream is cancelled keeps its slot until the host confirms
// the cancel with End; only then it goes back to its queue.
package dispatch

import (
	"time"

	"quetzalhook"
	"quetzalhook/internal/traffic/estimate"
	"quetzalhook/internal/traffic/limit"
	"quetzalhook/internal/traffic/queue"
)

// Core implements quetzalhook.Policy.
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

	entries   map[quetzalhook.RequestID]*entry
	pools     map[quetzalhook.Model]*pool
	order     []*pool // in order of creation
	limits    map[quetzalhook.CustomerID]quetzalhook.CustomerLimit
	parked    map[quetzalhook.CustomerID][]*entry // one of each parked flow
	upstreams map[quetzalhook.UpstreamID]*upstream
	leaving   []*upstream // those that leave or left, with requests to move
	unfit     []*upstream // those that the placer ejected
	shared    bool        // some upstream serves several models
	turn      int         // starts so far
	late      timers
	delayed   timers
	load      load
	stats     Stats
	lastSlow  time.Time
	actions   []quetzalhook.Action
}

// New returns a core that places requests with placer.
func New(placer quetzalhook.Placer, opts ...Option) *Core {
	c := &Core{
		placer:     placer,
		budget:     &shareBudget{tokens: maxRetryTokens},
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
	c.begin()
	c.placer.SetUpstreams(now, upstreams)
	c.setUpstreams(now, upstreams)
	c.move(now)
	return c.drainAll(now)
}

// SetLimits implements quetzalhook.Policy.
func (c *Core) SetLimits(now time.Time, limits map[quetzalhook.CustomerID]quetzalhook.CustomerLimit) []quetzalhook.Action {
	c.begin()
	c.limits = limits
	c.limiter.SetLimits(now, limits)
	c.unparkAll()
	return c.drainAll(now)
}

// Submit implements quetzalhook.Policy.
func (c *Core) Submit(now time.Time, r quetzalhook.Request) []quetzalhook.Action {
	c.begin()
	if !c.checkNew(r) {
		return nil
	}
	e := c.newEntry(now, r)
	if e.pool == nil {
		return c.reject(e, quetzalhook.RefuseNoUpstream, retryDelay)
	}
	if ok, wait := c.limiter.Admit(now, r.Customer, e.Work); !ok {
		return c.reject(e, quetzalhook.RefuseLimit, max(wait, minRetryDelay))
	}
	if !c.makeRoom(now, e) {
		c.limiter.Correct(now, r.Customer, -e.Work)
		return c.reject(e, quetzalhook.RefuseOverload, retryDelay)
	}
	c.budget.Record(now)
	e.charged = e.Work
	c.entries[r.ID] = e
	if e.worthlessAfter(c.faults) {
		c.late.add(e, e.Deadline)
	}
	e.pool.queue.Advance(now)
	c.push(e)
	c.drainFrom(now, e.pool)
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
	c.placer.Progress(now, id, n-e.base)
	if work := float64(e.Request.PromptTokens + n); work > e.Work {
		c.correct(now, e, c.predict(e.Request, n))
	}
	return nil
}

// End implements quetzalhook.Policy.
func (c *Core) End(now time.Time, id quetzalhook.RequestID, end quetzalhook.End) []quetzalhook.Action {
	c.begin()
	e := c.entries[id]
	if e == nil {
		return nil // cancelled as doomed or refused before
	}
	e.pool.queue.Advance(now)
	if e.state == stateRunning || e.state == stateStopping {
		c.endAttempt(now, e, end)
	} else if c.checkEnd(e, end) {
		c.withdraw(e)
		c.forget(now, e)
	}
	c.drainFrom(now, e.pool)
	return c.actions
}

// ObserveLoad implements quetzalhook.Policy.
func (c *Core) ObserveLoad(now time.Time, l quetzalhook.Load) []quetzalhook.Action {
	c.begin()
	c.placer.ObserveLoad(now, l)
	if u := c.upstreams[l.Upstream]; u != nil && u.leaving != (l.Leaving || u.listedLeaving) {
		c.setLeaving(now, u, !u.leaving)
		c.move(now)
		c.drainAll(now)
	}
	return c.actions
}

// ObservePeers implements quetzalhook.Policy.
func (c *Core) ObservePeers(now time.Time, peers []quetzalhook.PeerDemand) []quetzalhook.Action {
	c.begin()
	c.placer.ObservePeers(now, peers)
	c.limiter.ObservePeers(now, peers)
	return c.actions
}

// slowInterval is the time between runs of the periodic work whose cost grows
// with the number of upstreams or customers.
const slowInterval = 250 * time.Millisecond

// Tick implements quetzalhook.Policy.
func (c *Core) Tick(now time.Time) []quetzalhook.Action {
	c.begin()
	c.dropLate(now) // first, so that its check sees what the last drain saw
	for _, p := range c.order {
		p.queue.Advance(now)
	}
	if now.Sub(c.lastSlow) >= slowInterval {
		c.lastSlow = now
		c.placer.ObserveDemand(now, c.demand())
		c.limiter.Tick(now)
		c.move(now)
		c.unparkAll()
		for _, p := range c.order {
			p.queue.Sweep()
		}
		c.checkSlots()
	}
	c.resumeDelayed(now)
	return c.drainAll(now)
}

// Demand implements quetzalhook.Policy.
func (c *Core) Demand(time.Time) quetzalhook.Demand {
	d := c.demand()
	d.Used = c.limiter.Used()
	return d
}

// demand returns the demand without the use by customer, which the placer
// does not need and which is the costly part with thousands of customers.
func (c *Core) demand() quetzalhook.Demand {
	d := quetzalhook.Demand{
		Waiting:  c.load.waiting(),
		Running:  c.load.running(),
		Requests: c.load.requests(),
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

func (c *Core) begin() { c.actions = nil }
