package dispatch

import (
	"math"
	"time"

	"quetzalhook"
	"quetzalhook/internal/traffic/queue"
)

const (
	// urgentHold is how long free slots are kept for urgent requests, counted
	// from the earlier of the last two preemptions.
	urgentHold = 2 * time.Second
	// urgentHoldFactor scales the number of slots kept for urgent requests.
	// With larger factors more urgent requests meet their target in bursts that
	// use 0.8 of the capacity, but fewer useful tokens are produced when all
	// classes are overloaded (docs/decisions/many-hosts-one-engine.md).
	urgentHoldFactor = 1.0
)

// startResult is the result of trying to start a request.
type startResult uint8

const (
	resultStarted startResult = iota
	// resultNoSlot: no slot is free; the request stays where it was.
	resultNoSlot
	// resultSkipped: the request was refused or parked; the next one may be
	// tried.
	resultSkipped
)

// scheduleAfter starts the requests that fit after a change to one pool. If
// models share upstreams, the change can affect the other pools as well.
func (c *Core) scheduleAfter(now time.Time, p *pool) {
	if c.sharedUpstreams {
		c.scheduleAll(now)
		return
	}
	c.schedule(now, p)
}

// scheduleAll starts the requests that fit in all pools.
func (c *Core) scheduleAll(now time.Time) []quetzalhook.Action {
	if c.sharedUpstreams {
		c.scheduleShared(now)
		return c.actions
	}
	for _, p := range c.poolList {
		c.schedule(now, p)
	}
	return c.actions
}

// schedule starts waiting requests of a pool while there are free slots, then
// preempts other streams for requests that are entitled to a slot.
func (c *Core) schedule(now time.Time, p *pool) {
	free := c.freeSlots(now, p)
	if free > 0 && c.startReserved(now, p) {
		for c.startNext(now, p) {
		}
	}
	if p.slots > 0 {
		c.preemptForWaiting(now, p, free)
	}
}

// scheduleShared does the same as schedule for pools that share upstreams. The
// pool with the class furthest below its floor goes first, then the pool with
// the most urgent work; among equals, the pool whose latest start is longest
// ago goes first.
func (c *Core) scheduleShared(now time.Time) {
	for _, p := range c.poolList {
		free := c.freeSlots(now, p)
		p.full = free == 0 || !c.startReserved(now, p)
	}
	for p := c.nextPool(now); p != nil; p = c.nextPool(now) {
		if !c.startNext(now, p) {
			p.full = true
		}
	}
	for _, p := range c.poolList {
		if p.slots > 0 {
			c.preemptForWaiting(now, p, c.freeSlots(now, p))
		}
	}
}

// nextPool returns the pool that may start the next request, or nil.
func (c *Core) nextPool(now time.Time) *pool {
	var best *pool
	var maxDeficit float64
	var topTier quetzalhook.Tier
	for _, p := range c.poolList {
		if p.full {
			continue
		}
		deficit, tier := p.queue.FloorDeficit(), quetzalhook.Tier(quetzalhook.TierCount)
		if it := p.queue.NextByTier(now); it != nil {
			tier = it.Request.Class.Tier()
		} else if deficit == 0 {
			continue
		}
		if best == nil || deficit > maxDeficit || deficit == maxDeficit && (tier < topTier || tier == topTier && p.lastStart < best.lastStart) {
			best, maxDeficit, topTier = p, deficit, tier
		}
	}
	return best
}

// freeSlots returns the number of the pool's free slots and records the total.
// Both are 0 if the pool has no waiting or reserved request.
func (c *Core) freeSlots(now time.Time, p *pool) int {
	if p.queue.Waiting() == 0 && len(p.reserved) == 0 {
		p.slots = 0
		return 0
	}
	total, free := c.placer.Slots(now, p.model)
	p.slots = total
	p.queue.SetSlots(total, p.slotFraction)
	return free
}

// startReserved starts the requests with a reserved slot. It returns false if
// one of them found no slot.
func (c *Core) startReserved(now time.Time, p *pool) bool {
	for len(p.reserved) > 0 {
		e := p.reserved[0]
		switch c.start(now, e) {
		case resultNoSlot:
			return false
		case resultStarted:
			p.reserved = p.reserved[1:]
		}
	}
	return true
}

// startNext starts one waiting request; classes below their floor go first. It
// returns false if no request can start.
func (c *Core) startNext(now time.Time, p *pool) bool {
	if it := p.queue.NextFloor(now); it != nil {
		switch c.tryStart(now, it) {
		case resultStarted:
			p.queue.Protect(it)
			return true
		case resultSkipped:
			return true
		}
	}
	it := p.queue.NextByTier(now)
	if it == nil || !it.Request.Class.IsUrgent() && c.holdsForUrgent(now, p) {
		return false
	}
	return c.tryStart(now, it) != resultNoSlot
}

// holdsForUrgent reports whether the free slots are kept for urgent requests
// because of two recent preemptions. Without this, a request that resumes
// between two urgent ones is preempted again at once, and after MaxPreemptions
// it keeps its slot to the end. The number of slots kept is urgentHoldFactor
// times the square root of the number of urgent requests, which is the expected
// fluctuation of that number.
func (c *Core) holdsForUrgent(now time.Time, p *pool) bool {
	if now.Sub(p.lastPreempted[0]) >= urgentHold {
		return false
	}
	_, free := c.placer.Slots(now, p.model)
	return float64(free) <= urgentHoldFactor*math.Sqrt(float64(c.load.requests()[quetzalhook.TierUrgent]))
}

// tryStart starts a waiting request if the concurrency limit of its customer
// allows it.
func (c *Core) tryStart(now time.Time, it *queue.Item) startResult {
	e := it.Payload.(*entry)
	held := e.acquired
	if !c.acquireConcurrency(now, e) {
		return resultSkipped
	}
	r := c.start(now, e)
	if r == resultNoSlot && !held {
		c.releaseConcurrency(now, e)
	}
	return r
}

// acquireConcurrency counts the request against its customer's concurrency
// limit. If the limit is reached, it parks the customer's requests of the same
// model and class and returns false. A request stays counted until it ends,
// also while it waits to be resumed.
func (c *Core) acquireConcurrency(now time.Time, e *entry) bool {
	if e.acquired {
		return true
	}
	if c.limiter.Acquire(now, e.Request.Customer) {
		e.acquired = true
		return true
	}
	e.pool.queue.Park(&e.Item)
	c.parked[e.Request.Customer] = append(c.parked[e.Request.Customer], e)
	return false
}

// releaseConcurrency reverses acquireConcurrency.
func (c *Core) releaseConcurrency(now time.Time, e *entry) {
	e.acquired = false
	c.limiter.Release(now, e.Request.Customer)
}

// unpark makes the parked requests of a customer eligible again.
func (c *Core) unpark(id quetzalhook.CustomerID) {
	if len(c.parked) == 0 {
		return
	}
	for _, e := range c.parked[id] {
		e.pool.queue.Unpark(&e.Item)
	}
	delete(c.parked, id)
}

// unparkAll makes the parked requests of all customers eligible again, because
// the limits may have grown.
func (c *Core) unparkAll() {
	for _, parked := range c.parked {
		for _, e := range parked {
			e.pool.queue.Unpark(&e.Item)
		}
	}
	clear(c.parked)
}

// start sends a waiting or reserved request to an upstream. It refuses a
// request that would miss its deadline there, unless a running request of a
// lower tier could be preempted for it.
func (c *Core) start(now time.Time, e *entry) startResult {
	id, ok := c.placer.Place(now, e.Request)
	if !ok {
		return resultNoSlot
	}
	u := c.upstreams[id]
	if u == nil || u.leavingFor(now) > leavingGrace && !c.faults.useLeaving {
		return resultNoSlot
	}
	if c.willMissDeadline(now, e, id) && !e.pool.queue.HasVictim(e.Request.Class.Tier()) {
		c.removeWaiting(e)
		c.refuse(now, e, quetzalhook.RefuseLate)
		return resultSkipped
	}
	c.checkStart(now, e, u)
	if e.state == stateWaiting {
		e.pool.queue.Take(&e.Item)
	}
	c.startAttempt(now, e, u)
	return resultStarted
}

// startAttempt records the start of an attempt on u and emits the action for
// it.
func (c *Core) startAttempt(now time.Time, e *entry, u *upstream) {
	e.pool.queue.Run(&e.Item)
	c.starts++
	e.pool.lastStart = c.starts
	c.setState(e, stateRunning)
	e.upstream, e.runningIndex = u, len(u.running)
	e.started, e.tokensAtStart = now, e.Tokens
	u.running = append(u.running, e)
	c.placer.Started(now, e.Request, u.id)
	c.actions = append(c.actions, quetzalhook.Action{
		Kind: quetzalhook.ActionStart, Request: e.Request.ID, Upstream: u.id, Offset: e.Tokens,
	})
}

// preemptForWaiting reserves slots by cancelling running streams: first
// streams of lower tiers for urgent requests, then streams of classes above
// their floor for classes far below theirs.
func (c *Core) preemptForWaiting(now time.Time, p *pool, free int) {
	if c.noPreempt {
		return
	}
	// If the upstream of a slot that was being freed goes away, the request for
	// which the slot was reserved needs another one.
	for free == 0 && len(p.reserved) > p.pendingCancels && c.preempt(now, p, &p.reserved[p.pendingCancels].Item) {
	}
	for c.reserveSlot(now, p, p.queue.NextUrgent(now)) {
	}
	for it := p.queue.NextOverdue(now); c.reserveSlot(now, p, it); it = p.queue.NextOverdue(now) {
		p.queue.Protect(it)
	}
}

// reserveSlot reserves a slot for the waiting item it. It cancels a running
// stream unless a pending cancellation already frees an unreserved slot. It
// returns false if there is no item or no stream can be cancelled.
func (c *Core) reserveSlot(now time.Time, p *pool, it *queue.Item) bool {
	if it == nil {
		return false
	}
	e := it.Payload.(*entry)
	held := e.acquired
	if !c.acquireConcurrency(now, e) {
		return true // parked; a request of another customer may be tried
	}
	if len(p.reserved) >= p.pendingCancels && !c.preempt(now, p, it) {
		if !held {
			c.releaseConcurrency(now, e)
		}
		return false
	}
	p.queue.Take(it)
	c.setState(e, stateReserved)
	p.reserved = append(p.reserved, e)
	return true
}

// preempt cancels a running stream, so that its slot goes to the item it. It
// returns false if no stream can be cancelled.
func (c *Core) preempt(now time.Time, p *pool, it *queue.Item) bool {
	v := p.queue.Victim(it)
	if v == nil && c.sharedUpstreams {
		v = c.sharedVictim(p, it)
	}
	if v == nil {
		return false
	}
	e := v.Payload.(*entry)
	c.checkPreempt(it, e)
	e.Preemptions++
	e.freesFor = p
	p.pendingCancels++
	p.lastPreempted[0], p.lastPreempted[1] = p.lastPreempted[1], now
	c.stats.Preempted++
	c.cancel(e, quetzalhook.CausePreempted)
	return true
}

// maxScan bounds the number of upstreams that one search for a victim
// examines.
const maxScan = 64

// sharedVictim returns the request of another model to preempt on an upstream
// that serves both models, or nil. It prefers the lowest tier, then the fewest
// tokens to compute again.
func (c *Core) sharedVictim(p *pool, it *queue.Item) *queue.Item {
	urgent := it.Request.Class.IsUrgent()
	var best *entry
	for range min(maxScan, len(p.upstreams)) {
		p.scanPos++
		u := p.upstreams[p.scanPos%len(p.upstreams)]
		if u.leaving {
			continue
		}
		for _, e := range u.running {
			if e.pool == p || e.state != stateRunning || !e.pool.queue.MayPreempt(&e.Item, urgent) {
				continue
			}
			tier := e.Request.Class.Tier()
			if best == nil || tier > best.Request.Class.Tier() ||
				tier == best.Request.Class.Tier() && e.RecomputeTokens() < best.RecomputeTokens() {
				best = e
			}
		}
	}
	if best == nil {
		return nil
	}
	return &best.Item
}

// cancel asks the host to stop the stream of a request. The request keeps its
// slot until the host confirms.
func (c *Core) cancel(e *entry, cause quetzalhook.CancelCause) {
	c.stats.WastedTokens += e.RecomputeTokens()
	e.pool.queue.Stop(&e.Item)
	c.setState(e, stateStopping)
	c.actions = append(c.actions, quetzalhook.Action{
		Kind: quetzalhook.ActionCancel, Request: e.Request.ID, Upstream: e.upstream.id, Cause: cause,
	})
	if c.faults.runTwice {
		c.startAttempt(time.Time{}, e, e.upstream)
	}
}
