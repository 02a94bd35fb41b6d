package queue

import (
	"time"

	"quetzalhook"
)

// NextFloor returns the next item of the class that is furthest below its
// floor in proportion, or nil if all classes have theirs.
func (q *Queue) NextFloor(now time.Time) *Item {
	if q.noFloors {
		return nil
	}
	if c := q.neediest(); c != nil && c.deficit > 0 {
		return c.head(now)
	}
	return nil
}

func (q *Queue) neediest() *class {
	var best *class
	for _, c := range q.classes {
		if c.floor > 0 && c.eligible() &&
			(best == nil || c.deficit/c.floor > best.deficit/best.floor) {
			best = c
		}
	}
	return best
}

// NextStrict returns the next item by tier only, or nil. Classes of one tier
// share by work.
func (q *Queue) NextStrict(now time.Time) *Item {
	var best *class
	for _, c := range q.classes {
		if best != nil && c.def.Tier() != best.def.Tier() {
			break
		}
		if c.eligible() && (best == nil || c.served < best.served) {
			best = c
		}
	}
	if best == nil {
		return nil
	}
	return best.head(now)
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
	if q.noFloors {
		return nil
	}
	if c := q.neediest(); c != nil && c.isOverdue() {
		return c.head(now)
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
		if c == it.class || !q.noFloors && !(c.hasSurplus() || urgent && c.mayLose()) {
			continue
		}
		if v := c.victims.least(); v != nil {
			return v
		}
	}
	return nil
}

// Freeable reports whether a class below the tier has a running item that
// Victim may return.
func (q *Queue) Freeable(tier quetzalhook.Tier) bool {
	for _, c := range q.classes {
		if c.def.Tier() > tier && c.victims.used != 0 && (q.noFloors || c.mayLose()) {
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
