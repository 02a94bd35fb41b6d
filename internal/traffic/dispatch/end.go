package dispatch

import (
	"time"

	"quetzalhook"
	"quetzalhook/internal/traffic/queue"
)

const (
	// retryDelay is what refused callers are told to wait.
	retryDelay = time.Second
	// minRetryDelay keeps callers over their limit from asking again at once.
	minRetryDelay = 100 * time.Millisecond
	// maxFailures bounds the attempts without a new token.
	maxFailures = 8
	// finishFailures is the same for requests that must finish, regardless of
	// the retry budget. Their delays add up to about 25 s, several times the
	// lag of load reports. Without a bound a request that breaks every engine
	// would run for ever.
	finishFailures = 30
	// urgentFailures is how many failures of an urgent request are retried
	// regardless of the retry budget.
	urgentFailures = 2
	// firstDelay is the delay of the second retry; it doubles with each.
	firstDelay = 20 * time.Millisecond
	// maxDelay bounds the delay between attempts.
	maxDelay = time.Second
)

// endAttempt handles the end of an attempt on an upstream.
func (c *Core) endAttempt(now time.Time, e *entry, end quetzalhook.End) {
	progress := e.Tokens > e.base
	switch {
	case e.state == stateStopping && (end == quetzalhook.EndBroken || end == quetzalhook.EndNotSent):
		end = quetzalhook.EndCancelled // the stream broke before the cancel reached it
	case end == quetzalhook.EndCancelled && !e.Request.Repeatable:
		end = quetzalhook.EndBroken // the core does not cancel such a stream
	}
	c.release(now, e, end)
	switch end {
	case quetzalhook.EndFinished:
		e.sent = true
		c.estimator.Observe(e.Request.Customer, e.Request.Class.Name(), e.Tokens)
		c.forget(now, e)
	case quetzalhook.EndCallerGone:
		e.sent = true
		c.forget(now, e)
	case quetzalhook.EndCancelled:
		e.sent = true
		c.requeue(e)
	default:
		e.sent = e.sent || end == quetzalhook.EndBroken
		if progress {
			e.failures = 0
		}
		c.retry(now, e, end)
	}
}

// release takes an entry off its upstream.
func (c *Core) release(now time.Time, e *entry, end quetzalhook.End) {
	if e.state == stateRunning {
		e.pool.queue.Stop(&e.Item)
	}
	if e.freeing != nil {
		e.freeing.freeing--
		e.freeing = nil
	}
	u := e.upstream
	if !c.faults.loseSlot {
		last := len(u.running) - 1
		u.running[e.place] = u.running[last]
		u.running[e.place].place = e.place
		u.running[last] = nil
		u.running = u.running[:last]
	}
	if !u.listed && len(u.running) == 0 {
		delete(c.upstreams, u.id)
	}
	e.upstream = nil
	c.placer.Ended(now, e.Request.ID, end)
}

// requeue puts a request that lost its slot at the head of its class.
func (c *Core) requeue(e *entry) {
	e.pool.queue.Return(&e.Item)
	c.setState(e, stateWaiting)
}

// retry queues a failed request again, or refuses it. Only requests that are
// repeatable or were not sent are retried.
func (c *Core) retry(now time.Time, e *entry, end quetzalhook.End) {
	e.failures++
	allowed := end == quetzalhook.EndNotSent || e.Request.Repeatable
	class := e.Request.Class
	budget := c.budget.Allow(now)
	switch {
	case class.MustFinish():
		budget = e.failures < finishFailures
	case class.IsUrgent() && e.failures <= urgentFailures:
		budget = true
	default:
		budget = budget && e.failures < maxFailures
	}
	if !allowed || !budget {
		c.refuse(now, e, quetzalhook.RefuseRetryBudget)
		return
	}
	if e.failures == 1 {
		c.requeue(e)
		return
	}
	c.setState(e, stateDelayed)
	c.delayed.add(e, now.Add(min(firstDelay<<min(e.failures-2, maxFailures), maxDelay)))
}

// resumeDelayed queues the delayed requests whose time has come.
func (c *Core) resumeDelayed(now time.Time) {
	for e := c.delayed.due(now); e != nil; e = c.delayed.due(now) {
		c.delayed.remove(e)
		c.requeue(e)
	}
}

// reject refuses a request that was not accepted.
func (c *Core) reject(e *entry, kind quetzalhook.RefuseKind, wait time.Duration) []quetzalhook.Action {
	c.emitRefusal(e, kind, wait)
	return c.actions
}

// refuse ends a request that holds no slot and is in no queue.
func (c *Core) refuse(now time.Time, e *entry, kind quetzalhook.RefuseKind) {
	c.checkDropped(e, kind)
	c.emitRefusal(e, kind, retryDelay)
	c.forget(now, e)
}

func (c *Core) emitRefusal(e *entry, kind quetzalhook.RefuseKind, wait time.Duration) {
	outcome := quetzalhook.OutcomeNotRun
	if e.sent && !c.faults.claimNotRun {
		outcome = quetzalhook.OutcomeUnknown
	}
	c.checkRefusal(e, kind, outcome)
	if c.stats.Refused == nil {
		c.stats.Refused = make(map[quetzalhook.RefuseKind]int)
	}
	c.stats.Refused[kind]++
	c.actions = append(c.actions, quetzalhook.Action{
		Kind: quetzalhook.ActionRefuse, Request: e.Request.ID, Refusal: kind, Outcome: outcome, RetryAfter: wait,
	})
}

// makeRoom reports whether a new request may wait. A full queue drops the
// lowest tier first, never work that must finish. A customer may fill at
// most the room that is left, so that one customer cannot take all of it.
func (c *Core) makeRoom(now time.Time, e *entry) bool {
	class := e.Request.Class
	waiting, urgent := c.load.queued()
	room := c.maxWaiting - waiting
	if e.pool.queue.Backlog(e.Request) < room {
		return true
	}
	if class.IsUrgent() && c.faults.refuseUrgent {
		return false
	}
	if room <= 0 || class.IsUrgent() {
		if it := c.sheddable(class.Tier()); it != nil {
			victim := it.Payload.(*entry)
			c.withdraw(victim)
			c.refuse(now, victim, quetzalhook.RefuseOverload)
			return true
		}
	}
	// Work that must finish may fill the queue; urgent requests then have as
	// much room again, and more while there is a slot to free for them.
	return class.IsUrgent() && (urgent < c.maxWaiting || e.pool.queue.Freeable(class.Tier()))
}

// sheddable returns the item to drop first for one of the tier.
func (c *Core) sheddable(tier quetzalhook.Tier) *queue.Item {
	var lowest *queue.Item
	for _, p := range c.order {
		it := p.queue.Sheddable(tier)
		if it != nil && (lowest == nil || it.Request.Class.Tier() > lowest.Request.Class.Tier()) {
			lowest = it
		}
	}
	return lowest
}
