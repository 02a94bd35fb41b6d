// Package dispatch is the product's Policy: it joins admission, order,
// preemption and limits with a Placer into one decision core. It is pure: no
// I/O, no goroutine, no clock.
package dispatch

import (
	"time"

	"quetzalhook"
	"quetzalhook/internal/traffic/queue"
)

// state is the life-cycle state of a request.
type state uint8

const (
	stateWaiting state = iota
	stateRunning
	// stateStopping waits for the host to confirm a cancel.
	stateStopping
)

// entry is one request of the core.
type entry struct {
	queue.Item
	pool     *pool
	state    state
	upstream quetzalhook.UpstreamID
	base     int  // tokens received before the present attempt
	sent     bool // a part may have reached an upstream
	cause    quetzalhook.CancelCause
}

// pool is the requests of one model.
type pool struct {
	model quetzalhook.Model
	queue *queue.Queue
	// freeing counts slots that are being freed for urgent requests.
	freeing int
	// preempted is when requests last lost their slots, the earlier first.
	preempted [2]time.Time
}

// Core implements quetzalhook.Policy.
type Core struct {
	placer     quetzalhook.Placer
	invariants quetzalhook.Invariants
	hosts      int
	entries    map[quetzalhook.RequestID]*entry
	pools      map[quetzalhook.Model]*pool
	order      []*pool // in order of creation
	models     map[quetzalhook.Model]bool
	limits     map[quetzalhook.CustomerID]quetzalhook.CustomerLimit
	actions    []quetzalhook.Action
}

// Option configures a Core.
type Option func(*Core)

// WithInvariants counts the checks of the core's rules.
func WithInvariants(inv quetzalhook.Invariants) Option {
	return func(c *Core) { c.invariants = inv }
}

// WithHosts sets the number of hosts that share the customers' limits.
func WithHosts(n int) Option { return func(c *Core) { c.hosts = max(n, 1) } }

// New returns a core that places requests with placer.
func New(placer quetzalhook.Placer, opts ...Option) *Core {
	c := &Core{
		placer:  placer,
		hosts:   1,
		entries: make(map[quetzalhook.RequestID]*entry),
		pools:   make(map[quetzalhook.Model]*pool),
		models:  make(map[quetzalhook.Model]bool),
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

var _ quetzalhook.Policy = (*Core)(nil)

// SetUpstreams implements quetzalhook.Policy.
func (c *Core) SetUpstreams(now time.Time, upstreams []quetzalhook.Upstream) []quetzalhook.Action {
	c.begin()
	clear(c.models)
	for _, u := range upstreams {
		for _, m := range u.Models {
			c.models[m] = true
		}
		if u.Service != "" {
			c.models[quetzalhook.Model(u.Service)] = true
		}
	}
	c.placer.SetUpstreams(now, upstreams)
	return c.drainAll(now)
}

// SetLimits implements quetzalhook.Policy.
func (c *Core) SetLimits(now time.Time, limits map[quetzalhook.CustomerID]quetzalhook.CustomerLimit) []quetzalhook.Action {
	c.begin()
	c.limits = limits
	return c.drainAll(now)
}

// Submit implements quetzalhook.Policy.
func (c *Core) Submit(now time.Time, r quetzalhook.Request) []quetzalhook.Action {
	c.begin()
	if !c.models[r.Model] {
		return append(c.actions, refusal(r.ID, quetzalhook.RefuseNoUpstream, quetzalhook.OutcomeNotRun))
	}
	p := c.pool(r.Model)
	e := &entry{pool: p}
	e.Request, e.Arrived, e.Payload = r, now, e
	e.Work = float64(r.PromptTokens + 256)
	c.entries[r.ID] = e
	p.queue.Push(&e.Item, c.weight(r.Customer))
	c.drain(now, p)
	return c.actions
}

// Progress implements quetzalhook.Policy.
func (c *Core) Progress(now time.Time, id quetzalhook.RequestID, n int) []quetzalhook.Action {
	c.begin()
	if e := c.entries[id]; e != nil && e.state == stateRunning && n > e.Tokens {
		e.pool.queue.Progress(&e.Item, n, e.Work)
		c.placer.Progress(now, id, n-e.base)
	}
	return c.actions
}

// End implements quetzalhook.Policy.
func (c *Core) End(now time.Time, id quetzalhook.RequestID, end quetzalhook.End) []quetzalhook.Action {
	c.begin()
	e := c.entries[id]
	if e == nil {
		return c.actions
	}
	if e.state == stateWaiting {
		if end == quetzalhook.EndCallerGone {
			e.pool.queue.Remove(&e.Item)
			delete(c.entries, id)
		}
		return c.actions
	}
	c.release(now, e, end)
	switch end {
	case quetzalhook.EndFinished, quetzalhook.EndCallerGone:
		delete(c.entries, id)
	case quetzalhook.EndBroken:
		if !e.Request.Repeatable {
			delete(c.entries, id)
			c.actions = append(c.actions, refusal(id, quetzalhook.RefuseRetryBudget, quetzalhook.OutcomeUnknown))
			break
		}
		e.pool.queue.Return(&e.Item)
	default:
		e.pool.queue.Return(&e.Item)
	}
	c.drain(now, e.pool)
	return c.actions
}

// ObserveLoad implements quetzalhook.Policy.
func (c *Core) ObserveLoad(now time.Time, l quetzalhook.Load) []quetzalhook.Action {
	c.begin()
	c.placer.ObserveLoad(now, l)
	return c.actions
}

// ObservePeers implements quetzalhook.Policy.
func (c *Core) ObservePeers(now time.Time, peers []quetzalhook.PeerDemand) []quetzalhook.Action {
	c.begin()
	c.placer.ObservePeers(now, peers)
	return c.actions
}

// Tick implements quetzalhook.Policy.
func (c *Core) Tick(now time.Time) []quetzalhook.Action {
	c.begin()
	c.placer.ObserveDemand(now, c.Demand(now))
	return c.drainAll(now)
}

// Demand implements quetzalhook.Policy.
func (c *Core) Demand(time.Time) quetzalhook.Demand {
	d := quetzalhook.Demand{InFlight: make(map[quetzalhook.UpstreamID]int)}
	for _, e := range c.entries {
		d.Requests[e.Request.Class.Tier()]++
		if e.state == stateWaiting {
			d.Waiting[e.Request.Class.Tier()] += e.Work
		} else {
			d.Running[e.Request.Class.Tier()] += e.Work
			d.InFlight[e.upstream]++
		}
	}
	return d
}

func (c *Core) begin() { c.actions = nil }

func (c *Core) pool(m quetzalhook.Model) *pool {
	p := c.pools[m]
	if p == nil {
		p = &pool{model: m, queue: queue.New()}
		c.pools[m] = p
		c.order = append(c.order, p)
	}
	return p
}

func (c *Core) weight(id quetzalhook.CustomerID) float64 {
	if l, ok := c.limits[id]; ok && l.Weight > 0 {
		return l.Weight
	}
	return 1
}

func (c *Core) drainAll(now time.Time) []quetzalhook.Action {
	for _, p := range c.order {
		c.drain(now, p)
	}
	return c.actions
}

// drain starts waiting requests of a pool while there are slots, then frees
// slots for urgent ones.
func (c *Core) drain(now time.Time, p *pool) {
	total, _ := c.placer.Slots(now, p.model)
	p.queue.Advance(now, total)
	for {
		it := p.next(now)
		if it == nil || !c.start(now, it) {
			break
		}
	}
	c.preempt(now, p)
}

// next returns the item to start next, or nil. For a while after repeated
// preemptions free slots are kept for urgent work: a request that resumes
// between two urgent ones is preempted again at once, and after
// MaxPreemptions it holds its slot to the end.
func (p *pool) next(now time.Time) *queue.Item {
	if it := p.queue.NextFloor(); it != nil {
		return it
	}
	it := p.queue.NextStrict()
	if it != nil && !it.Request.Class.IsUrgent() && now.Sub(p.preempted[0]) < preemptHold {
		return nil
	}
	return it
}

// start places one item; it returns false if there is no slot.
func (c *Core) start(now time.Time, it *queue.Item) bool {
	u, ok := c.placer.Place(now, it.Request)
	if !ok {
		return false
	}
	e := it.Payload.(*entry)
	e.pool.queue.Start(it)
	e.state, e.upstream, e.base, e.sent = stateRunning, u, it.Tokens, true
	c.placer.Started(now, it.Request, u)
	c.actions = append(c.actions, quetzalhook.Action{
		Kind: quetzalhook.ActionStart, Request: it.Request.ID, Upstream: u, Offset: it.Tokens,
	})
	return true
}

// preemptHold was the shortest of 1, 1.5, 2 and 3 s that kept urgent work in
// target in most bursts of 0.8 of capacity; longer holds leave slots idle.
const preemptHold = 2 * time.Second

// preempt frees a slot for every urgent request that waits.
func (c *Core) preempt(now time.Time, p *pool) {
	for p.queue.WaitingIn(quetzalhook.TierUrgent) > p.freeing {
		it := p.queue.Victim(quetzalhook.TierUrgent)
		if it == nil {
			return
		}
		it.Preemptions++
		p.preempted[0], p.preempted[1] = p.preempted[1], now
		p.freeing++
		c.cancel(it.Payload.(*entry), quetzalhook.CausePreempted)
	}
}

// cancel asks the host to stop the stream; the request waits for the
// confirmation before it returns to its queue.
func (c *Core) cancel(e *entry, cause quetzalhook.CancelCause) {
	e.pool.queue.Stop(&e.Item)
	e.state, e.cause = stateStopping, cause
	c.actions = append(c.actions, quetzalhook.Action{
		Kind: quetzalhook.ActionCancel, Request: e.Request.ID, Upstream: e.upstream, Cause: cause,
	})
}

// release takes an entry off its upstream.
func (c *Core) release(now time.Time, e *entry, end quetzalhook.End) {
	if e.state == stateRunning {
		e.pool.queue.Stop(&e.Item)
	} else if e.cause == quetzalhook.CausePreempted {
		e.pool.freeing--
	}
	e.state = stateWaiting
	c.placer.Ended(now, e.Request.ID, end)
}

// retryDelay is what refused callers are told to wait.
const retryDelay = time.Second

func refusal(id quetzalhook.RequestID, kind quetzalhook.RefuseKind, outcome quetzalhook.Outcome) quetzalhook.Action {
	return quetzalhook.Action{
		Kind: quetzalhook.ActionRefuse, Request: id, Refusal: kind, Outcome: outcome, RetryAfter: retryDelay,
	}
}
