package dispatch

import (
	"math"
	"time"

	"quetzalhook"
	"quetzalhook/internal/traffic/queue"
)

const (
	// preemptHold is how long free slots are kept for urgent work after repeated
	// preemptions.
	preemptHold = 2 * time.Second
	// holdFactor was chosen from 0, 0.7, 1 and 1.4: larger ones keep urgent work
	// in target in bursts of 0.8 of capacity, and cost useful tokens when all
	// classes are overloaded (docs/decisions/many-hosts-one-engine.md).
	holdFactor = 1.0
)

// result is what became of an attempt to start a request.
type result uint8

const (
	resultStarted result = iota
	// resultNoSlot left the request where it was.
	resultNoSlot
	// resultGone refused or parked the request; the next one may be tried.
	resultGone
)

// drainFrom starts what fits after a change to a pool.
func (c *Core) drainFrom(now time.Time, p *pool) {
	if c.shared {
		c.drainAll(now)
		return
	}
	c.drain(now, p)
}

// drainAll starts what fits in all pools.
func (c *Core) drainAll(now time.Time) []quetzalhook.Action {
	if c.shared {
		c.drainShared(now)
		return c.actions
	}
	for _, p := range c.order {
		c.drain(now, p)
	}
	return c.actions
}

// drain starts waiting requests of a pool while there are slots, then frees
// slots for those that may take one.
func (c *Core) drain(now time.Time, p *pool) {
	free := c.freeSlots(now, p)
	if free > 0 && c.drainClaimed(now, p) {
		for c.startNext(now, p) {
		}
	}
	if p.slots > 0 {
		c.free(now, p, free)
	}
}

// drainShared does the same for pools that share upstreams: the pool with the
// neediest class goes first, else the one with the most urgent work, else
// they take turns.
func (c *Core) drainShared(now time.Time) {
	for _, p := range c.order {
		free := c.freeSlots(now, p)
		p.full = free == 0 || !c.drainClaimed(now, p)
	}
	for p := c.nextPool(now); p != nil; p = c.nextPool(now) {
		if !c.startNext(now, p) {
			p.full = true
		}
	}
	for _, p := range c.order {
		if p.slots > 0 {
			c.free(now, p, c.freeSlots(now, p))
		}
	}
}

// nextPool returns the pool to start from, or nil.
func (c *Core) nextPool(now time.Time) *pool {
	var best *pool
	var most float64
	var top quetzalhook.Tier
	for _, p := range c.order {
		if p.full {
			continue
		}
		need, tier := p.queue.Need(), quetzalhook.Tier(quetzalhook.TierCount)
		if it := p.queue.NextStrict(now); it != nil {
			tier = it.Request.Class.Tier()
		} else if need == 0 {
			continue
		}
		if best == nil || need > most || need == most && (tier < top || tier == top && p.turn < best.turn) {
			best, most, top = p, need, tier
		}
	}
	return best
}

// freeSlots returns the pool's unused slots and records the total; both are 0
// if it has no work.
func (c *Core) freeSlots(now time.Time, p *pool) int {
	if p.queue.Waiting() == 0 && len(p.claimed) == 0 {
		p.slots = 0
		return 0
	}
	total, free := c.placer.Slots(now, p.model)
	p.slots = total
	p.queue.SetSlots(total, p.part)
	return free
}

// drainClaimed starts the claimed requests; it returns false if one found no
// slot.
func (c *Core) drainClaimed(now time.Time, p *pool) bool {
	for len(p.claimed) > 0 {
		e := p.claimed[0]
		switch c.start(now, e) {
		case resultNoSlot:
			return false
		case resultStarted:
			p.claimed = p.claimed[1:]
		}
	}
	return true
}

// startNext starts one waiting request; it returns false if none fits.
func (c *Core) startNext(now time.Time, p *pool) bool {
	if it := p.queue.NextFloor(now); it != nil {
		switch c.try(now, it) {
		case resultStarted:
			p.queue.Protect(it)
			return true
		case resultGone:
			return true
		}
	}
	it := p.queue.NextStrict(now)
	if it == nil || !it.Request.Class.IsUrgent() && c.isHeld(now, p) {
		return false
	}
	return c.try(now, it) != resultNoSlot
}

// isHeld reports whether the free slots are kept for urgent work, because
// requests lost their slots to it lately. A request that resumes between two
// urgent ones is preempted again at once, and after MaxPreemptions it holds
// its slot to the end. As many slots are kept as the number of running urgent
// requests varies by.
func (c *Core) isHeld(now time.Time, p *pool) bool {
	if now.Sub(p.preempted[0]) >= preemptHold {
		return false
	}
	_, free := c.placer.Slots(now, p.model)
	return float64(free) <= holdFactor*math.Sqrt(float64(c.load.requests()[quetzalhook.TierUrgent]))
}

// try starts a waiting request if its customer may run one more.
func (c *Core) try(now time.Time, it *queue.Item) result {
	e := it.Payload.(*entry)
	held := e.acquired
	if !c.acquire(now, e) {
		return resultGone
	}
	r := c.start(now, e)
	if r == resultNoSlot && !held {
		c.unacquire(now, e)
	}
	return r
}

// acquire takes one of the customer's running requests for e, or parks the
// customer's requests of the class. A request keeps it until it ends, also
// while it waits to be resumed.
func (c *Core) acquire(now time.Time, e *entry) bool {
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

// unacquire reverses acquire.
func (c *Core) unacquire(now time.Time, e *entry) {
	e.acquired = false
	c.limiter.Release(now, e.Request.Customer)
}

// unpark lets the customer's requests be tried again.
func (c *Core) unpark(id quetzalhook.CustomerID) {
	if len(c.parked) == 0 {
		return
	}
	for _, e := range c.parked[id] {
		e.pool.queue.Unpark(&e.Item)
	}
	delete(c.parked, id)
}

// unparkAll lets all customers' requests be tried again, because their limits
// may have grown.
func (c *Core) unparkAll() {
	for _, parked := range c.parked {
		for _, e := range parked {
			e.pool.queue.Unpark(&e.Item)
		}
	}
	clear(c.parked)
}

// start sends a waiting or claimed request to an upstream.
func (c *Core) start(now time.Time, e *entry) result {
	id, ok := c.placer.Place(now, e.Request)
	if !ok {
		return resultNoSlot
	}
	u := c.upstreams[id]
	if u == nil || u.leavingFor(now) > leavingGrace && !c.faults.useLeaving {
		return resultNoSlot
	}
	if c.outOfReach(now, e, id) && !e.pool.queue.Freeable(e.Request.Class.Tier()) {
		c.withdraw(e)
		c.refuse(now, e, quetzalhook.RefuseLate)
		return resultGone
	}
	c.checkStart(now, e, u)
	if e.state == stateWaiting {
		e.pool.queue.Take(&e.Item)
	}
	c.run(now, e, u)
	return resultStarted
}

func (c *Core) run(now time.Time, e *entry, u *upstream) {
	e.pool.queue.Run(&e.Item)
	c.turn++
	e.pool.turn = c.turn
	c.setState(e, stateRunning)
	e.upstream, e.place = u, len(u.running)
	e.started, e.base = now, e.Tokens
	u.running = append(u.running, e)
	c.placer.Started(now, e.Request, u.id)
	c.actions = append(c.actions, quetzalhook.Action{
		Kind: quetzalhook.ActionStart, Request: e.Request.ID, Upstream: u.id, Offset: e.Tokens,
	})
}

// free cancels lower-tier streams for urgent requests without a slot, then
// streams of classes above their floor for classes far below theirs.
func (c *Core) free(now time.Time, p *pool, free int) {
	if c.noPreempt {
		return
	}
	// A freed slot can be lost with its upstream.
	for free == 0 && len(p.claimed) > p.freeing && c.preempt(now, p, &p.claimed[p.freeing].Item) {
	}
	for c.claim(now, p, p.queue.NextUrgent(now)) {
	}
	for it := p.queue.NextOverdue(now); c.claim(now, p, it); it = p.queue.NextOverdue(now) {
		p.queue.Protect(it)
	}
}

// claim frees a slot for a waiting request; it returns false if there is none
// to free.
func (c *Core) claim(now time.Time, p *pool, it *queue.Item) bool {
	if it == nil {
		return false
	}
	e := it.Payload.(*entry)
	held := e.acquired
	if !c.acquire(now, e) {
		return true // the next customer's request may be tried
	}
	if len(p.claimed) >= p.freeing && !c.preempt(now, p, it) {
		if !held {
			c.unacquire(now, e)
		}
		return false
	}
	p.queue.Take(it)
	c.setState(e, stateClaimed)
	p.claimed = append(p.claimed, e)
	return true
}

// preempt cancels the stream that gives up its slot for it.
func (c *Core) preempt(now time.Time, p *pool, it *queue.Item) bool {
	v := p.queue.Victim(it)
	if v == nil && c.shared {
		v = c.sharedVictim(p, it)
	}
	if v == nil {
		return false
	}
	e := v.Payload.(*entry)
	c.checkPreempt(it, e)
	e.Preemptions++
	e.freeing = p
	p.freeing++
	p.preempted[0], p.preempted[1] = p.preempted[1], now
	c.stats.Preempted++
	c.cancel(e, quetzalhook.CausePreempted)
	return true
}

// maxScan bounds the upstreams that one search for a victim looks at.
const maxScan = 64

// sharedVictim returns the request of another model that gives up its slot on
// an upstream that serves both, or nil: the lowest tier first, then the least
// loss.
func (c *Core) sharedVictim(p *pool, it *queue.Item) *queue.Item {
	urgent := it.Request.Class.IsUrgent()
	var best *entry
	for range min(maxScan, len(p.upstreams)) {
		p.scan++
		u := p.upstreams[p.scan%len(p.upstreams)]
		if u.leaving {
			continue
		}
		for _, e := range u.running {
			if e.pool == p || e.state != stateRunning || !e.pool.queue.MayLose(&e.Item, urgent) {
				continue
			}
			tier := e.Request.Class.Tier()
			if best == nil || tier > best.Request.Class.Tier() ||
				tier == best.Request.Class.Tier() && e.Loss() < best.Loss() {
				best = e
			}
		}
	}
	if best == nil {
		return nil
	}
	return &best.Item
}

// cancel asks the host to stop the stream. The request keeps its slot until
// the host confirms.
func (c *Core) cancel(e *entry, cause quetzalhook.CancelCause) {
	c.stats.WastedTokens += e.Loss()
	e.pool.queue.Stop(&e.Item)
	c.setState(e, stateStopping)
	c.actions = append(c.actions, quetzalhook.Action{
		Kind: quetzalhook.ActionCancel, Request: e.Request.ID, Upstream: e.upstream.id, Cause: cause,
	})
	if c.faults.runTwice {
		c.run(time.Time{}, e, e.upstream)
	}
}
