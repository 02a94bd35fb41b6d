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

// broken counts one passed check and returns false, or returns true for the
// caller to report the violation. Details are built only then, because
// passing them costs allocations.
func (c *Core) broken(name string, ok bool) bool {
	if ok && c.invariants != nil {
		c.invariants.Check(name, true)
	}
	return !ok && c.invariants != nil
}

// report counts one failed check.
func (c *Core) report(name string, e *entry, details ...any) {
	details = append(details, "request", e.Request.ID, "class", e.Request.Class.Name(), "state", e.state)
	c.invariants.Check(name, false, details...)
}

// checkNew reports whether the request is new. A second one of the same name
// would break "every request ends once", so it is dropped.
func (c *Core) checkNew(r quetzalhook.Request) bool {
	e := c.entries[r.ID]
	if c.broken(legalTransition, e == nil) {
		c.report(legalTransition, e, "event", "submitted-twice")
	}
	return e == nil
}

// checkEnd reports whether a request without a slot may end: only because its
// caller went away. Any other end has no attempt that it could belong to.
func (c *Core) checkEnd(e *entry, end quetzalhook.End) bool {
	ok := end == quetzalhook.EndCallerGone
	if c.broken(legalTransition, ok) {
		c.report(legalTransition, e, "end", end)
	}
	return ok
}

// checkStart checks that the request may start, that the upstream was not
// leaving for long, and that no class that must finish was passed over while
// it got nothing of its floor for a window.
func (c *Core) checkStart(now time.Time, e *entry, u *upstream) {
	if c.broken(legalTransition, e.state == stateWaiting || e.state == stateClaimed) {
		c.report(legalTransition, e, "event", "start")
	}
	if c.broken(leavingUpstream, u.leavingFor(now) <= leavingGrace) {
		c.report(leavingUpstream, e, "upstream", u.id)
	}
	if e.state == stateClaimed && !e.Request.Class.IsUrgent() {
		return // a slot was freed for its own floor
	}
	starved := e.pool.queue.PassedOver(&e.Item)
	if c.broken(noStarvation, starved == "") {
		c.report(noStarvation, e, "starved", starved)
	}
}

// checkPreempt checks that the victim is not urgent, may be repeated, and did
// not lose its slot too often.
func (c *Core) checkPreempt(it *queue.Item, victim *entry) {
	if c.broken(urgentNotShed, !victim.Request.Class.IsUrgent()) {
		c.report(urgentNotShed, victim, "for", it.Request.ID)
	}
	legal := victim.state == stateRunning && victim.Preemptions < queue.MaxPreemptions && victim.Request.Repeatable
	if c.broken(legalTransition, legal) {
		c.report(legalTransition, victim, "preemptions", victim.Preemptions)
	}
}

// checkRefusal checks that the outcome is true and that an urgent request is
// not refused for overload while lower-tier work could make room.
func (c *Core) checkRefusal(e *entry, kind quetzalhook.RefuseKind, outcome quetzalhook.Outcome) {
	if c.broken(trueRefusal, outcome == quetzalhook.OutcomeUnknown || !e.sent) {
		c.report(trueRefusal, e, "kind", kind)
	}
	if !e.Request.Class.IsUrgent() {
		return
	}
	tier := e.Request.Class.Tier()
	shed := kind == quetzalhook.RefuseOverload && (c.sheddable(tier) != nil || e.pool.queue.Freeable(tier))
	if c.broken(urgentNotShed, !shed) {
		c.report(urgentNotShed, e, "kind", kind)
	}
}

// checkLate checks that an urgent request did not get late in the queue while
// a slot could be freed for it.
func (c *Core) checkLate(e *entry) {
	class := e.Request.Class
	shed := class.IsUrgent() && e.state == stateWaiting && !e.pool.queue.Parked(&e.Item) &&
		e.pool.slots > 0 && e.pool.queue.Freeable(class.Tier())
	if c.broken(urgentNotShed, !shed) {
		c.report(urgentNotShed, e, "kind", quetzalhook.RefuseLate)
	}
}

// checkEndsOnce checks that a request ends once.
func (c *Core) checkEndsOnce(e *entry) {
	if c.broken(legalTransition, e.state != stateNew && e.state != stateEnded) {
		c.report(legalTransition, e, "event", "ended-twice")
	}
}

// checkDropped checks that accepted work that must finish is given up only
// after too many failed attempts.
func (c *Core) checkDropped(e *entry, kind quetzalhook.RefuseKind) {
	if c.broken(noStarvation, !e.Request.Class.MustFinish() || kind == quetzalhook.RefuseRetryBudget) {
		c.report(noStarvation, e, "kind", kind)
	}
}

// checkSlots checks that the requests on upstreams are those that hold a slot.
func (c *Core) checkSlots() {
	on := 0
	for _, u := range c.upstreams {
		on += len(u.running)
	}
	if c.broken(legalTransition, on == c.load.held()) {
		c.invariants.Check(legalTransition, false, "on-upstreams", on, "held", c.load.held())
	}
}
