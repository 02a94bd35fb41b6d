package dispatch

import (
	"time"

	"quetzalhook"
	"quetzalhook/internal/traffic/queue"
)

const (
	// retryAfter is the time after which refused callers are told to try
	// again.
	retryAfter = time.Second
	// minRetryAfter keeps callers over their limit from trying again at once.
	minRetryAfter = 100 * time.Millisecond
	// maxFailures bounds the number of failed attempts in a row that produce
	// no new token.
	maxFailures = 8
	// maxMustFinishFailures is the same bound for must-finish requests, which
	// do not need the retry budget. The delays of 30 attempts add up to about
	// 23 s, several times the lag of load reports. Without a bound, a request
	// that crashes every engine would be retried forever.
	maxMustFinishFailures = 30
	// urgentRetries is the number of failures in a row up to which an urgent
	// request is retried even if the retry budget is used up.
	urgentRetries = 2
	// firstRetryDelay is the delay before the second retry; it doubles with
	// each further one. The first retry is not delayed.
	firstRetryDelay = 20 * time.Millisecond
	// maxRetryDelay bounds the delay before a retry.
	maxRetryDelay = time.Second
)

// endAttempt handles the end of an attempt on an upstream.
func (c *Core) endAttempt(now time.Time, e *entry, end quetzalhook.End) {
	progress := e.Tokens > e.tokensAtStart
	switch {
	case e.state == stateStopping && (end == quetzalhook.EndBroken || end == quetzalhook.EndNotSent):
		end = quetzalhook.EndCancelled // the stream failed before the cancellation reached it
	case end == quetzalhook.EndCancelled && !e.Request.Repeatable:
		end = quetzalhook.EndBroken // the core never cancels a stream that may not be repeated
	}
	c.release(now, e, end)
	switch end {
	case quetzalhook.EndFinished:
		e.sent = true
		c.estimator.Observe(e.Request.Customer, e.Request.Class.Name(), e.Tokens)
		c.endRequest(now, e)
	case quetzalhook.EndCallerGone:
		e.sent = true
		c.endRequest(now, e)
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

// release takes a request off its upstream and frees its slot.
func (c *Core) release(now time.Time, e *entry, end quetzalhook.End) {
	if e.state == stateRunning {
		e.pool.queue.Stop(&e.Item)
	}
	if e.freesFor != nil {
		e.freesFor.pendingCancels--
		e.freesFor = nil
	}
	u := e.upstream
	if !c.faults.leakSlot {
		last := len(u.running) - 1
		u.running[e.runningIndex] = u.running[last]
		u.running[e.runningIndex].runningIndex = e.runningIndex
		u.running[last] = nil
		u.running = u.running[:last]
	}
	if !u.listed && len(u.running) == 0 {
		delete(c.upstreams, u.id)
	}
	e.upstream = nil
	c.placer.Ended(now, e.Request.ID, end)
}

// requeue puts a request whose attempt was cancelled or failed ahead of the new
// requests of its class.
func (c *Core) requeue(e *entry) {
	e.pool.queue.Requeue(&e.Item)
	c.setState(e, stateWaiting)
}

// retry queues a failed request again, or refuses it. Only requests that may
// be repeated or were not sent are retried. Must-finish requests are retried
// up to maxMustFinishFailures. Other requests are retried up to maxFailures
// within the retry budget; urgent ones need it only after urgentRetries
// failures.
func (c *Core) retry(now time.Time, e *entry, end quetzalhook.End) {
	e.failures++
	allowed := end == quetzalhook.EndNotSent || e.Request.Repeatable
	class := e.Request.Class
	budget := c.budget.Allow(now)
	switch {
	case class.MustFinish():
		budget = e.failures < maxMustFinishFailures
	case class.IsUrgent() && e.failures <= urgentRetries:
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
	c.delayed.add(e, now.Add(min(firstRetryDelay<<min(e.failures-2, maxFailures), maxRetryDelay)))
}

// resumeDelayed queues the delayed requests that are due.
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

// refuse ends an accepted request that holds no slot and is in no queue.
func (c *Core) refuse(now time.Time, e *entry, kind quetzalhook.RefuseKind) {
	c.checkDropped(e, kind)
	c.emitRefusal(e, kind, retryAfter)
	c.endRequest(now, e)
}

// emitRefusal counts a refusal and emits the action for it. The outcome is
// unknown if an earlier attempt may have reached an upstream.
func (c *Core) emitRefusal(e *entry, kind quetzalhook.RefuseKind, wait time.Duration) {
	outcome := quetzalhook.OutcomeNotRun
	if e.sent && !c.faults.alwaysNotRun {
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

// makeRoom reports whether a new request may wait, and drops a waiting request
// for it if needed. Requests of the lowest tier are dropped first, must-finish
// requests never. The backlog of one customer in one class must be smaller than
// the room that is left, so that one customer cannot fill the queue.
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
			c.removeWaiting(victim)
			c.refuse(now, victim, quetzalhook.RefuseOverload)
			return true
		}
	}
	// Must-finish requests can fill the queue. Up to maxWaiting urgent
	// requests are accepted on top of them, and more while a running stream
	// can be preempted for them.
	return class.IsUrgent() && (urgent < c.maxWaiting || e.pool.queue.HasVictim(class.Tier()))
}

// sheddable returns the waiting request to drop first for a new one of the
// tier, or nil.
func (c *Core) sheddable(tier quetzalhook.Tier) *queue.Item {
	var lowest *queue.Item
	for _, p := range c.poolList {
		it := p.queue.Sheddable(tier)
		if it != nil && (lowest == nil || it.Request.Class.Tier() > lowest.Request.Class.Tier()) {
			lowest = it
		}
	}
	return lowest
}
