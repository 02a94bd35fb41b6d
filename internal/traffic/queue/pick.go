package queue

import (
	"time"

	"quetzalhook"
)

// NextFloor returns the next item of the class that is furthest below its
// floor in proportion, or nil if all classes have theirs.
func (q *Queue) NextFloor(now time.Time) *Item {
	if c, need := q.neediest(); need > 0 {
		return c.head(now, allowance{true, true})
	}
	return nil
}

// Need returns the time in seconds of its floor that the neediest class is
// short of; 0 means that all classes have theirs.
func (q *Queue) Need() float64 {
	_, need := q.neediest()
	return max(need, 0)
}

// neediest returns the class that is furthest below its floor in proportion,
// and how far. Deficits are bounded, so several classes can be equally far
// below; one whose work must finish goes first.
func (q *Queue) neediest() (best *class, most float64) {
	if q.noFloors {
		return nil, 0
	}
	for _, c := range q.classes {
		if !c.mayTake() {
			continue
		}
		d := c.deficit / c.floor
		if c.deficit >= c.debtLimit() {
			d = Window.Seconds() // without rounding errors
		}
		if best == nil || d > most || d == most && c.def.MustFinish() && !best.def.MustFinish() {
			best, most = c, d
		}
	}
	return best, most
}

// NextStrict returns the next item by tier only, or nil. Classes of one tier
// share by work. Items that lost or cannot lose their slot are left out while
// urgent requests need the slots.
func (q *Queue) NextStrict(now time.Time) *Item {
	var best *Item
	a := q.allowance()
	for _, c := range q.classes {
		if best != nil && c.def.Tier() != best.class.def.Tier() {
			break
		}
		allowed := a
		if c.def.IsUrgent() {
			allowed = allowance{true, true}
		}
		it := c.head(now, allowed)
		if it == nil || !allowed.keepers && it.mustKeep() {
			continue
		}
		if best == nil || c.served < best.class.served {
			best = it
		}
	}
	return best
}

// NextUrgent returns the next urgent item, or nil.
func (q *Queue) NextUrgent(now time.Time) *Item {
	if it := q.NextStrict(now); it != nil && it.Request.Class.IsUrgent() {
		return it
	}
	return nil
}

// NextOverdue returns the next item of a class that is so far below its floor
// that it takes a slot from a class above its own, or nil.
func (q *Queue) NextOverdue(now time.Time) *Item {
	if c, need := q.neediest(); need > 0 {
		return c.head(now, allowance{true, true})
	}
	return nil
}

// Victim returns the running item that gives up its slot for it, or nil: the
// lowest tier first, then the least loss. For an urgent item it comes from
// any class that keeps its floor over time, else from a class that stays
// above its floor. Urgent items, items that may not be repeated and items
// that lost their slot MaxPreemptions times are never victims.
func (q *Queue) Victim(it *Item) *Item {
	urgent := it.Request.Class.IsUrgent()
	for i := len(q.classes) - 1; i >= 0; i-- {
		c := q.classes[i]
		if c.def.IsUrgent() {
			return nil
		}
		if c == it.class || !q.mayLose(c, urgent) {
			continue
		}
		if v := c.victims.least(); v != nil {
			return v
		}
	}
	return nil
}

// MayLose reports whether a running item of this queue may give up its slot
// for an urgent item, or for another one, of a different queue.
func (q *Queue) MayLose(it *Item, urgent bool) bool {
	return it.bucket >= 0 && q.mayLose(it.class, urgent)
}

func (q *Queue) mayLose(c *class, urgent bool) bool {
	return q.noFloors || c.hasSurplus() || urgent && c.hasCredit()
}

// Freeable reports whether a class below the tier has a running item that
// Victim may return.
func (q *Queue) Freeable(tier quetzalhook.Tier) bool {
	for _, c := range q.classes {
		if c.def.Tier() > tier && c.victims.used != 0 && q.mayLose(c, true) {
			return true
		}
	}
	return false
}

// Sheddable returns the waiting item to drop first when the queue is full:
// of the lowest class below the tier whose work need not finish, the newest
// of a customer with the most waiting. It returns nil if there is none.
func (q *Queue) Sheddable(tier quetzalhook.Tier) *Item {
	for i := len(q.classes) - 1; i >= 0; i-- {
		c := q.classes[i]
		if c.def.Tier() <= tier {
			return nil
		}
		if c.def.MustFinish() {
			continue
		}
		if f := c.lengths.longest(); f != nil {
			return f.newest()
		}
	}
	return nil
}

// PassedOver returns the name of a class that starves while it starts, or "":
// a class whose work must finish, that had work and is short of its floor of
// a whole window. Of several such classes any may start.
func (q *Queue) PassedOver(it *Item) quetzalhook.ClassName {
	if it.class.isStarved() {
		return ""
	}
	for _, c := range q.classes {
		if c.isStarved() {
			return c.def.Name()
		}
	}
	return ""
}
