package dispatch

import (
	"time"

	"quetzalhook"
	"quetzalhook/internal/state/invariant"
	"quetzalhook/internal/traffic/queue"
)

const (
	urgentNotShed   = invariant.UrgentNotShed
	noStarvation    = invariant.NoStarvation
	trueRefusal     = invariant.TrueRefusal
	leavingUpstream = invariant.LeavingUpstream
	legalTransition = invariant.LegalTransition
)

// violated counts a passed check and returns false. For a failed check it
// returns true, and the caller then calls reportViolation; details are built
// only in this case, because they cost allocations. If no invariants are
// counted, violated always returns false.
func (c *Core) violated(name string, ok bool) bool {
	if ok && c.invariants != nil {
		c.invariants.Check(name, true)
	}
	return !ok && c.invariants != nil
}

// reportViolation counts one failed check with details of the request.
func (c *Core) reportViolation(name string, e *entry, details ...any) {
	details = append(details, "request", e.Request.ID, "class", e.Request.Class.Name(), "state", e.state)
	c.invariants.Check(name, false, details...)
}

// checkNew reports whether no request with this ID is known. A second one is
// ignored, because each request must end exactly once.
func (c *Core) checkNew(r quetzalhook.Request) bool {
	e := c.entries[r.ID]
	if c.violated(legalTransition, e == nil) {
		c.reportViolation(legalTransition, e, "event", "submitted-twice")
	}
	return e == nil
}

// checkEnd reports whether a request without a slot may end. Only the loss of
// its caller can end it; any other end would belong to an attempt, and there
// is none.
func (c *Core) checkEnd(e *entry, end quetzalhook.End) bool {
	ok := end == quetzalhook.EndCallerGone
	if c.violated(legalTransition, ok) {
		c.reportViolation(legalTransition, e, "end", end)
	}
	return ok
}

// checkStart checks that the request is in a state from which it may start,
// that the upstream has not been leaving for longer than leavingGrace, and
// that the request does not start ahead of a starved must-finish class, that
// is, one whose deficit is its floor of a whole queue.Window.
func (c *Core) checkStart(now time.Time, e *entry, u *upstream) {
	if c.violated(legalTransition, e.state == stateWaiting || e.state == stateReserved) {
		c.reportViolation(legalTransition, e, "event", "start")
	}
	if c.violated(leavingUpstream, u.leavingFor(now) <= leavingGrace) {
		c.reportViolation(leavingUpstream, e, "upstream", u.id)
	}
	if e.state == stateReserved && !e.Request.Class.IsUrgent() {
		return // the slot was reserved for its own class's floor
	}
	starved := e.pool.queue.StarvedClass(&e.Item)
	if c.violated(noStarvation, starved == "") {
		c.reportViolation(noStarvation, e, "starved", starved)
	}
}

// checkPreempt checks that the request to preempt is running, is not urgent,
// may be repeated, and has been preempted less than MaxPreemptions times.
func (c *Core) checkPreempt(it *queue.Item, victim *entry) {
	if c.violated(urgentNotShed, !victim.Request.Class.IsUrgent()) {
		c.reportViolation(urgentNotShed, victim, "for", it.Request.ID)
	}
	legal := victim.state == stateRunning && victim.Preemptions < queue.MaxPreemptions && victim.Request.Repeatable
	if c.violated(legalTransition, legal) {
		c.reportViolation(legalTransition, victim, "preemptions", victim.Preemptions)
	}
}

// checkRefusal checks that a request that may have been sent is not reported
// as not run, and that an urgent request is not refused for overload while
// requests of a lower tier could be dropped or preempted for it.
func (c *Core) checkRefusal(e *entry, kind quetzalhook.RefuseKind, outcome quetzalhook.Outcome) {
	if c.violated(trueRefusal, outcome == quetzalhook.OutcomeUnknown || !e.sent) {
		c.reportViolation(trueRefusal, e, "kind", kind)
	}
	if !e.Request.Class.IsUrgent() {
		return
	}
	tier := e.Request.Class.Tier()
	shed := kind == quetzalhook.RefuseOverload && (c.sheddable(tier) != nil || e.pool.queue.HasVictim(tier))
	if c.violated(urgentNotShed, !shed) {
		c.reportViolation(urgentNotShed, e, "kind", kind)
	}
}

// checkLate checks that an urgent request did not miss its deadline in the
// queue while a running stream could have been preempted for it.
func (c *Core) checkLate(e *entry) {
	class := e.Request.Class
	shed := class.IsUrgent() && e.state == stateWaiting && !e.pool.queue.Parked(&e.Item) &&
		e.pool.slots > 0 && e.pool.queue.HasVictim(class.Tier())
	if c.violated(urgentNotShed, !shed) {
		c.reportViolation(urgentNotShed, e, "kind", quetzalhook.RefuseLate)
	}
}

// checkEndsOnce checks that the request was accepted and has not ended before.
func (c *Core) checkEndsOnce(e *entry) {
	if c.violated(legalTransition, e.state != stateNew && e.state != stateEnded) {
		c.reportViolation(legalTransition, e, "event", "ended-twice")
	}
}

// checkDropped checks that an accepted must-finish request is refused only
// after too many failed attempts.
func (c *Core) checkDropped(e *entry, kind quetzalhook.RefuseKind) {
	if c.violated(noStarvation, !e.Request.Class.MustFinish() || kind == quetzalhook.RefuseRetryBudget) {
		c.reportViolation(noStarvation, e, "kind", kind)
	}
}

// checkSlots checks that the number of requests on upstreams equals the number
// of requests that hold a slot.
func (c *Core) checkSlots() {
	on := 0
	for _, u := range c.upstreams {
		on += len(u.running)
	}
	if c.violated(legalTransition, on == c.load.held()) {
		c.invariants.Check(legalTransition, false, "on-upstreams", on, "held", c.load.held())
	}
}
