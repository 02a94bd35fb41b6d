package queue

import (
	"time"

	"quetzalhook"
)

// class is the state of one request class in a Queue.
type class struct {
	def     quetzalhook.Class
	resumed list // lost their slots, served before the flows
	flows   map[quetzalhook.CustomerID]*flow
	ready   flowHeap // flows with waiting work that may start
	victims victims
	virtual float64 // virtual time of the latest start
	served  float64 // work started, orders classes of one tier
	waiting int
	running int

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

// head returns the next item of the class.
func (c *class) head() *Item {
	if c.resumed.n > 0 {
		return c.resumed.head
	}
	if len(c.ready) > 0 {
		return c.ready[0].waiting.head
	}
	return nil
}

// creditLimit is the largest credit in slot-seconds.
func (c *class) creditLimit() float64 {
	return max(c.floor*creditWindow.Seconds(), minCredit)
}

// debtLimit is the largest deficit in slot-seconds: the floor of one window.
func (c *class) debtLimit() float64 { return c.floor * Window.Seconds() }

// advance accounts for d seconds with the present number of running items.
func (c *class) advance(d float64) {
	short := (c.floor - float64(c.running)) * d
	if short > 0 && !c.eligible() {
		return
	}
	c.deficit = min(max(c.deficit+short, -c.creditLimit()), c.debtLimit())
}

// slack is the deficit in slot-seconds that a class bears before its floor
// goes ahead of more urgent work.
func (c *class) slack() float64 { return c.floor * slackWindow.Seconds() }

// mayLose reports whether the class keeps its floor over time when it loses
// one slot: it stays above the floor, or has credit to wait on.
func (c *class) mayLose() bool {
	return float64(c.running-1) >= c.floor || c.deficit <= c.slack()-minCredit/2
}

func (c *class) flow(id quetzalhook.CustomerID, weight float64) *flow {
	f := c.flows[id]
	if f == nil {
		f = &flow{customer: id, class: c, position: -1, virtual: c.virtual}
		c.flows[id] = f
	}
	f.weight = weight
	return f
}

// enlist puts the flow into the heap if it has work that may start. A flow
// that was idle gets no credit for the time without work.
func (c *class) enlist(f *flow) {
	if f.position < 0 && !f.parked && f.waiting.n > 0 {
		c.ready.push(f)
	}
}

const (
	// Window is the time over which a class gets its floor share.
	Window = 30 * time.Second
	// creditWindow bounds how long a class that had more than its floor waits
	// before the floor holds again.
	creditWindow = 5 * time.Second
	// slackWindow is how long a class may get nothing while more urgent work
	// fills all slots: a burst of 10 s at 0.8 of capacity and the floors do not
	// fit together, and the floor is a share over Window.
	slackWindow = 10 * time.Second
	// minCredit in slot-seconds lets a class with a floor below one slot pay
	// for a whole request before its floor takes the next slot.
	minCredit = 5.0
)
