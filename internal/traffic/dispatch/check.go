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

// check counts one check of an invariant.
func (c *Core) check(name string, ok bool, details ...any) {
	if c.invariants != nil {
		c.invariants.Check(name, ok, details...)
	}
}

// checkNew reports whether the request is new. A second one of the same name
// would break "every request ends once", so it is dropped.
func (c *Core) checkNew(r quetzalhook.Request) bool {
	ok := c.entries[r.ID] == nil
	c.check(legalTransition, ok, "request", r.ID, "event", "submitted-twice")
	return ok
}

// checkStart checks that the request may start, that the upstream was not
// leaving for long, and that no class that must finish was passed over while
// it got nothing for a window.
func (c *Core) checkStart(now time.Time, e *entry, u *upstream) {
	c.check(legalTransition, e.state == stateWaiting || e.state == stateClaimed, "request", e.Request.ID, "state", e.state)
	c.check(leavingUpstream, u.leavingFor(now) <= leavingGrace, "request", e.Request.ID, "upstream", u.id)
	starved := e.pool.queue.PassedOver(&e.Item)
	c.check(noStarvation, starved == "", "request", e.Request.ID, "class", e.Request.Class.Name(), "starved", starved)
}

// checkPreempt checks that the victim is of a lower tier than an urgent
// request, is not urgent, and did not lose its slot too often.
func (c *Core) checkPreempt(it *queue.Item, victim *entry) {
	c.check(urgentNotShed, !victim.Request.Class.IsUrgent(), "victim", victim.Request.ID, "for", it.Request.ID)
	c.check(legalTransition, victim.state == stateRunning && victim.Preemptions < queue.MaxPreemptions &&
		victim.Request.Repeatable, "victim", victim.Request.ID, "preemptions", victim.Preemptions)
}

// checkRefusal checks that the outcome is true and that an urgent request is
// not refused for overload while lower-tier work could make room.
func (c *Core) checkRefusal(e *entry, kind quetzalhook.RefuseKind, outcome quetzalhook.Outcome) {
	c.check(trueRefusal, outcome == quetzalhook.OutcomeUnknown || !e.sent, "request", e.Request.ID, "kind", kind)
	if !e.Request.Class.IsUrgent() {
		return
	}
	tier := e.Request.Class.Tier()
	shed := kind == quetzalhook.RefuseOverload &&
		(c.sheddable(tier) != nil || e.pool.queue.Freeable(tier) && !c.noPreempt)
	c.check(urgentNotShed, !shed, "request", e.Request.ID, "kind", kind)
}

// checkDropped checks that accepted work that must finish is given up only
// after too many failed attempts.
func (c *Core) checkDropped(e *entry, kind quetzalhook.RefuseKind) {
	c.check(noStarvation, !e.Request.Class.MustFinish() || kind == quetzalhook.RefuseRetryBudget,
		"request", e.Request.ID, "class", e.Request.Class.Name(), "kind", kind)
}

// checkSlots checks that the requests on upstreams are those that hold a slot.
func (c *Core) checkSlots() {
	on := 0
	for _, u := range c.upstreams {
		on += len(u.running)
	}
	c.check(legalTransition, on == c.load.held(), "on-upstreams", on, "held", c.load.held())
}
