package queue

import (
	"time"

	"quetzalhook"
)

// NextFloor returns the next item of the class that is furthest below its floor
// in proportion to the floor, or nil if no class is due a slot.
func (q *Queue) NextFloor(now time.Time) *Item {
	if c, deficit := q.furthestBelowFloor(); deficit > 0 {
		return c.head(now, allowance{true, true})
	}
	return nil
}

// FloorDeficit returns the largest deficit of a class that is due a slot, in
// seconds of its floor; 0 means that no class is due one.
func (q *Queue) FloorDeficit() float64 {
	_, deficit := q.furthestBelowFloor()
	return max(deficit, 0)
}

// furthestBelowFloor returns the class that is furthest below its floor in
// proportion to the floor, and its deficit in seconds of the floor. Deficits
// are bounded, so several classes can be equally far below; one whose work must
// finish goes first.
func (q *Queue) furthestBelowFloor() (best *class, mostSeconds float64) {
	if q.noFloors {
		return nil, 0
	}
	for _, c := range q.classes {
		if !c.isFloorDue() {
			continue
		}
		d := c.deficit / c.floor
		if c.deficit >= c.deficitLimit() {
			d = Window.Seconds() // without rounding errors
		}
		if best == nil || d > mostSeconds || d == mostSeconds && c.def.MustFinish() && !best.def.MustFinish() {
			best, mostSeconds = c, d
		}
	}
	return best, mostSeconds
}

// NextByTier returns the next item by tier without regard to floors, or nil.
// Classes of one tier share by work. Items that were requeued and items that
// cannot be preempted are left out while urgent requests need the slots.
func (q *Queue) NextByTier(now time.Time) *Item {
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
		if it == nil || !allowed.nonPreemptible && it.isNonPreemptible() {
			continue
		}
		if best == nil || c.servedWork < best.class.servedWork {
			best = it
		}
	}
	return best
}

// NextUrgent returns the next urgent item, or nil.
func (q *Queue) NextUrgent(now time.Time) *Item {
	if it := q.NextByTier(now); it != nil && it.Request.Class.IsUrgent() {
		return it
	}
	return nil
}

// NextOverdue returns the next item of the class that is furthest below its
// floor, or nil. For this item a running item of a more urgent tier may be
// preempted.
func (q *Queue) NextOverdue(now time.Time) *Item {
	if c, deficit := q.furthestBelowFloor(); deficit > 0 {
		return c.head(now, allowance{true, true})
	}
	return nil
}

// Victim returns the running item to preempt for the waiting item it, or nil.
// Items of the lowest tier go first, then those with the fewest tokens to
// compute again. If it is urgent, the victim is of a class that still gets its
// floor over time; otherwise it is of a class that does not fall below its
// floor. Urgent items, items that may not be repeated and items that were
// preempted MaxPreemptions times are never victims.
func (q *Queue) Victim(it *Item) *Item {
	urgent := it.Request.Class.IsUrgent()
	for i := len(q.classes) - 1; i >= 0; i-- {
		c := q.classes[i]
		if c.def.IsUrgent() {
			return nil
		}
		if c == it.class || !q.mayPreempt(c, urgent) {
			continue
		}
		if v := c.victims.cheapest(); v != nil {
			return v
		}
	}
	return nil
}

// MayPreempt reports whether a running item of this queue may be preempted for
// an item of a different queue; urgent tells whether that item is urgent.
func (q *Queue) MayPreempt(it *Item, urgent bool) bool {
	return it.bucket >= 0 && q.mayPreempt(it.class, urgent)
}

func (q *Queue) mayPreempt(c *class, urgent bool) bool {
	return q.noFloors || c.hasSurplus() || urgent && c.hasCredit()
}

// HasVictim reports whether a class below the tier has a running item that
// Victim may return for an urgent item.
func (q *Queue) HasVictim(tier quetzalhook.Tier) bool {
	for _, c := range q.classes {
		if c.def.Tier() > tier && c.victims.usedBuckets != 0 && q.mayPreempt(c, true) {
			return true
		}
	}
	return false
}

// Sheddable returns the waiting item to drop first when the queue is full: of
// the lowest class below the tier whose work need not finish, the newest item
// of one of the customers with the most waiting items. It returns nil if there
// is none.
func (q *Queue) Sheddable(tier quetzalhook.Tier) *Item {
	for i := len(q.classes) - 1; i >= 0; i-- {
		c := q.classes[i]
		if c.def.Tier() <= tier {
			return nil
		}
		if c.def.MustFinish() {
			continue
		}
		if f := c.lengthIndex.longest(); f != nil {
			return f.newest()
		}
	}
	return nil
}

// StarvedClass returns the name of a starved class that should start an item
// before the item it, or "". A class is starved if its work must finish, some of
// it may start, and the class runs less than its floor and has a deficit of the
// floor of a whole Window. If several classes are starved, any of them may go
// first.
func (q *Queue) StarvedClass(it *Item) quetzalhook.ClassName {
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
