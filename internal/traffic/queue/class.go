package queue

import (
	"time"

	"quetzalhook"
)

const (
	// Window is the time over which a class gets its floor share.
	Window = 30 * time.Second
	// creditWindow bounds how long a class that had more than its floor waits
	// before the floor holds again. It covers a usual burst.
	creditWindow = 10 * time.Second
	// minCredit in slot-seconds lets a class with a floor below one slot pay
	// for a whole request before its floor takes the next slot.
	minCredit = 5.0
	// protectedCredit in slot-seconds is what a class uses of a slot that its
	// floor took before it can lose it. Without it urgent requests would take
	// the slot back at once.
	protectedCredit = minCredit / 2
	// slackWindow is how long a class may get nothing while more urgent work
	// fills all slots: urgent work of 0.8 of capacity and the floors do not fit
	// together in a burst of 10 s, and a floor is a share over Window.
	slackWindow = 10 * time.Second
	// repayRate is by how much a class exceeds its floor after that; it gets
	// the floor of the whole Window in the rest of it.
	repayRate = float64(Window) / float64(Window-slackWindow)
)

// class is the state of one request class in a Queue.
type class struct {
	def     quetzalhook.Class
	resumed list // lost their slots, served before the flows
	keepers list // lost their slots so often that they keep the next one
	flows   map[quetzalhook.CustomerID]*flow
	ready   flowHeap // flows with waiting work that may start
	lengths lengths
	idle    []*flow // without work, still ahead of the class
	victims victims
	virtual float64 // virtual time of the latest start
	served  float64 // work started, orders classes of one tier
	waiting int
	held    int // waiting in parked flows
	taken   int // on the way from waiting to running
	running int
	used    time.Time // when work last came in

	// first is the usual time from the start to the first token, spread its
	// mean deviation.
	first, spread time.Duration

	// deficit is the slot-seconds that the class is short of its floor; a
	// negative deficit is credit.
	deficit float64
	// protected is set while the class runs on slots that its floor took.
	protected bool
	// repaying is set from when the deficit exceeds the slack until it is gone.
	repaying bool
	floor    float64 // slots that the class is entitled to
	known    float64 // the latest floor above 0
}

func newClass(def quetzalhook.Class) *class {
	return &class{def: def, flows: make(map[quetzalhook.CustomerID]*flow)}
}

// eligible reports whether the class has work that may start.
func (c *class) eligible() bool { return c.keepers.n > 0 || c.resumed.n > 0 || len(c.ready) > 0 }

// allowance tells which items may start.
type allowance struct {
	keepers bool // items that cannot lose their slot
	resumed bool // items that lost a slot
}

// head returns the next item of the class that may start, or nil.
func (c *class) head(now time.Time, a allowance) *Item {
	if a.keepers && c.keepers.n > 0 {
		return c.keepers.head
	}
	if a.resumed && c.resumed.n > 0 {
		return c.resumed.head
	}
	if len(c.ready) > 0 {
		return c.ready[0].head(now)
	}
	return nil
}

// observeFirst takes the time from a start to the first token.
func (c *class) observeFirst(d time.Duration) {
	if c.first == 0 {
		c.first = d
	}
	c.spread += ((d - c.first).Abs() - c.spread) / 8
	c.first += (d - c.first) / 8
}

// lead is how long before its deadline a request must start. In an overload
// the oldest request that can meet its target is always close to its
// deadline, so that without the spread half of them would miss it.
func (c *class) lead() time.Duration { return c.first + 2*c.spread }

// creditLimit is the largest credit in slot-seconds.
func (c *class) creditLimit() float64 {
	return max(c.floor*creditWindow.Seconds(), minCredit)
}

// debtLimit is the largest deficit in slot-seconds: the floor of one window.
func (c *class) debtLimit() float64 { return c.floor * Window.Seconds() }

// setFloor changes the floor. A deficit keeps its length in time, so that a
// class does not seem starved because slots were lost.
func (c *class) setFloor(floor float64) {
	if floor > 0 {
		if c.deficit > 0 && c.known > 0 {
			c.deficit *= floor / c.known
		}
		c.known = floor
	}
	c.floor = floor
}

// advance accounts for d seconds with the present number of running items. A
// class without work that may start builds up no deficit.
func (c *class) advance(d float64) {
	short := (c.floor - float64(c.running)) * d
	if short > 0 && !c.eligible() {
		short = min(short, max(-c.deficit, 0))
	}
	c.deficit = min(max(c.deficit+short, -c.creditLimit()), c.debtLimit())
	c.repaying = c.deficit > 0 && (c.repaying || c.deficit > c.floor*slackWindow.Seconds())
	c.protected = c.protected && c.running+c.taken > 0 && c.deficit > -protectedCredit
}

// mayTake reports whether the class may take a slot ahead of its tier: it has
// work, went without its floor for longer than the slack, and does not run
// what repays it already. A large deficit does not take several slots at
// once, because it shrinks only as time passes.
func (c *class) mayTake() bool {
	return c.repaying && c.floor > 0 && float64(c.running+c.taken) <= c.floor*repayRate && c.eligible()
}

// isStarved reports whether a class whose work must finish is below its floor
// and short of the floor of a whole window.
func (c *class) isStarved() bool {
	return c.def.MustFinish() && c.eligible() && float64(c.running+c.taken) < c.floor && c.deficit >= c.debtLimit()
}

// hasCredit reports whether the class can lose a slot and wait for its floor:
// it is not short, and has used a slot that its floor took for a while.
func (c *class) hasCredit() bool {
	return !c.repaying && !c.protected || c.deficit <= -protectedCredit
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
	held := 0
	if f.parked {
		held = f.waiting()
	}
	c.held += held - f.held
	f.held = held
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
