package queue

import (
	"time"

	"quetzalhook"
)

const (
	// Window is the time over which a class gets its floor share.
	Window = 30 * time.Second
	// creditWindow bounds how long a class that had more than its floor waits
	// before the floor holds again.
	creditWindow = 5 * time.Second
	// minCredit in slot-seconds lets a class with a floor below one slot pay
	// for a whole request before its floor takes the next slot.
	minCredit = 5.0
	// overdueShare is the part of the window's floor that a class may be short
	// of before it takes slots from others.
	overdueShare = 1.0 / 3
)

// class is the state of one request class in a Queue.
type class struct {
	def     quetzalhook.Class
	resumed list // lost their slots, served before the flows
	flows   map[quetzalhook.CustomerID]*flow
	ready   flowHeap // flows with waiting work that may start
	lengths lengths
	idle    []*flow // without work, still ahead of the class
	victims victims
	virtual float64 // virtual time of the latest start
	served  float64 // work started, orders classes of one tier
	waiting int
	running int
	used    time.Time // when work last came in

	// deficit is the slot-seconds that the class is short of its floor; a
	// negative deficit is credit.
	deficit float64
	floor   float64 // slots that the class is entitled to
}

func newClass(def quetzalhook.Class) *class {
	return &class{def: def, flows: make(map[quetzalhook.CustomerID]*flow)}
}

// eligible reports whether the class has work that may start.
func (c *class) eligible() bool { return c.resumed.n > 0 || len(c.ready) > 0 }

// head returns the next item of the class, or nil.
func (c *class) head(now time.Time) *Item {
	if c.resumed.n > 0 {
		return c.resumed.head
	}
	if len(c.ready) > 0 {
		return c.ready[0].head(now)
	}
	return nil
}

// creditLimit is the largest credit in slot-seconds.
func (c *class) creditLimit() float64 {
	return max(c.floor*creditWindow.Seconds(), minCredit)
}

// debtLimit is the largest deficit in slot-seconds: the floor of one window.
func (c *class) debtLimit() float64 { return c.floor * Window.Seconds() }

// advance accounts for d seconds with the present number of running items. A
// class without work that may start builds up no deficit.
func (c *class) advance(d float64) {
	short := (c.floor - float64(c.running)) * d
	if short > 0 && !c.eligible() {
		short = min(short, max(-c.deficit, 0))
	}
	c.deficit = min(max(c.deficit+short, -c.creditLimit()), c.debtLimit())
}

// isOverdue reports whether the class is so far below its floor that it takes
// slots from others.
func (c *class) isOverdue() bool {
	return c.floor > 0 && c.eligible() && c.deficit > c.debtLimit()*overdueShare
}

// isStarved reports whether a class whose work must finish got nothing of its
// floor for a window.
func (c *class) isStarved() bool {
	return c.floor > 0 && c.def.MustFinish() && c.eligible() && c.deficit >= c.debtLimit()
}

// mayLose reports whether the class keeps its floor over time when it loses
// one slot: it stays above the floor, or has credit to wait on.
func (c *class) mayLose() bool {
	return c.hasSurplus() || c.deficit <= -minCredit/2
}

// hasSurplus reports whether the class keeps its floor without one slot.
func (c *class) hasSurplus() bool { return float64(c.running-1) >= c.floor }

func (c *class) flow(id quetzalhook.CustomerID) *flow {
	f := c.flows[id]
	if f == nil {
		f = &flow{customer: id, class: c, position: -1, length: -1, virtual: c.virtual}
		c.flows[id] = f
	}
	return f
}

// changed brings the flow's places in the heap and in the lengths up to date
// after its waiting items changed.
func (c *class) changed(f *flow) {
	c.lengths.update(f)
	switch wanted := f.waiting() > 0 && !f.parked; {
	case wanted && f.position < 0:
		c.ready.push(f)
	case !wanted && f.position >= 0:
		c.ready.remove(f)
	}
	if f.items == 0 && !f.idle {
		f.idle = true
		c.idle = append(c.idle, f)
	}
}

// sweep forgets up to n idle flows that have no disadvantage against a new
// one.
func (c *class) sweep(n int) {
	for range min(n, len(c.idle)) {
		f := c.idle[0]
		c.idle[0] = nil
		c.idle = c.idle[1:]
		switch {
		case f.items > 0:
			f.idle = false
		case f.virtual <= c.virtual:
			delete(c.flows, f.customer)
		default:
			c.idle = append(c.idle, f)
		}
	}
}
