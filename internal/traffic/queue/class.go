package queue

import (
	"time"

	"quetzalhook"
	"quetzalhook/internal/traffic/fair"
)

const (
	// Window is the period over which a class with waiting work receives its
	// floor share of the slots.
	Window = 30 * time.Second
	// creditWindow bounds the credit of a class: a class that received more than
	// its floor waits at most this long until it is entitled to the floor again.
	// A usual burst is shorter.
	creditWindow = 10 * time.Second
	// minCredit is the least limit of a class's credit, in slot-seconds. With it
	// a whole request is charged to a class whose floor is below one slot before
	// the class takes the next slot for its floor.
	minCredit = 5.0
	// protectionCredit is the credit in slot-seconds that a class must have
	// before it can lose a slot that it took for its floor. Without it urgent
	// requests would take the slot back at once.
	protectionCredit = minCredit / 2
	// floorGrace is how long a class without credit may get nothing while more
	// urgent work fills all slots. In a burst of 10 s, urgent work that uses 0.8
	// of the capacity leaves too few slots for the floors. The floors can be met
	// later, because a floor is a share over Window.
	floorGrace = 10 * time.Second
	// catchUpRate is the multiple of its floor that a class gets after
	// floorGrace, so that it receives the floor of the whole Window in the
	// remaining time.
	catchUpRate = float64(Window) / float64(Window-floorGrace)
)

// class is the state of one request class in a Queue.
type class struct {
	def            quetzalhook.Class
	requeued       list                // items that were requeued; served before the flows
	nonPreemptible list                // requeued items that were preempted MaxPreemptions times; served first
	flows          *fair.Shares[*flow] // ready are those with waiting work that may start
	lengthIndex    lengthIndex         // all flows with waiting work
	idle           []*flow             // flows whose requests have all ended, until sweep checks them
	victims        victims             // running items that may be preempted
	servedWork     float64             // work started; the class of a tier with the least goes first
	waiting        int
	parkedItems    int // items waiting in parked flows
	starting       int // items between Take and Run
	running        int
	lastUsed       time.Time // when an item last started to wait

	// meanTTFT is the smoothed time from the start to the first token,
	// ttftDeviation its smoothed mean deviation.
	meanTTFT, ttftDeviation time.Duration

	// deficit is the number of slot-seconds by which the class is below its
	// floor; a negative deficit is credit.
	deficit float64
	// protected is set while the class runs on slots that it took for its floor
	// and cannot lose yet.
	protected bool
	// catchingUp is set from when the deficit exceeds floorGrace until no
	// deficit is left.
	catchingUp bool
	floor      float64 // slots that the class is entitled to
	lastFloor  float64 // the latest floor above 0
}

func newClass(def quetzalhook.Class) *class {
	return &class{def: def, flows: fair.New[*flow](0)}
}

// eligible reports whether the class has work that may start.
func (c *class) eligible() bool {
	return c.nonPreemptible.n > 0 || c.requeued.n > 0 || c.flows.First() != nil
}

// allowance tells which kinds of items may start.
type allowance struct {
	nonPreemptible bool // items that cannot be preempted
	requeued       bool // items that were requeued
}

// head returns the next item of the class that may start, or nil.
func (c *class) head(now time.Time, a allowance) *Item {
	if a.nonPreemptible && c.nonPreemptible.n > 0 {
		return c.nonPreemptible.head
	}
	if a.requeued && c.requeued.n > 0 {
		return c.requeued.head
	}
	if a := c.flows.First(); a != nil {
		return a.Value.head(now)
	}
	return nil
}

// observeTTFT updates the smoothed time from the start to the first token.
func (c *class) observeTTFT(d time.Duration) {
	if c.meanTTFT == 0 {
		c.meanTTFT = d
	}
	c.ttftDeviation += ((d - c.meanTTFT).Abs() - c.ttftDeviation) / 8
	c.meanTTFT += (d - c.meanTTFT) / 8
}

// startMargin is how long before its deadline a request must start. In an
// overload the oldest request that can meet its target is always close to its
// deadline, so without the deviation half of these requests would miss it.
func (c *class) startMargin() time.Duration { return c.meanTTFT + 2*c.ttftDeviation }

// creditLimit is the largest credit in slot-seconds.
func (c *class) creditLimit() float64 {
	return max(c.floor*creditWindow.Seconds(), minCredit)
}

// deficitLimit is the largest deficit in slot-seconds: the floor of one Window.
func (c *class) deficitLimit() float64 { return c.floor * Window.Seconds() }

// setFloor changes the floor. A deficit is scaled with the floor, so that it
// stays the same in seconds of the floor. Otherwise a class would seem starved
// after a loss of slots.
func (c *class) setFloor(floor float64) {
	if floor > 0 {
		if c.deficit > 0 && c.lastFloor > 0 {
			c.deficit *= floor / c.lastFloor
		}
		c.lastFloor = floor
	}
	c.floor = floor
}

// advance accounts for d seconds with the current number of running items. A
// class without work that may start builds up no deficit.
func (c *class) advance(d float64) {
	shortfall := (c.floor - float64(c.running)) * d
	if shortfall > 0 && !c.eligible() {
		shortfall = min(shortfall, max(-c.deficit, 0))
	}
	c.deficit = min(max(c.deficit+shortfall, -c.creditLimit()), c.deficitLimit())
	c.catchingUp = c.deficit > 0 && (c.catchingUp || c.deficit > c.floor*floorGrace.Seconds())
	c.protected = c.protected && c.running+c.starting > 0 && c.deficit > -protectionCredit
}

// isFloorDue reports whether the class may take a slot ahead of more urgent
// tiers: it has work that may start, is catching up, and does not run more than
// catchUpRate times its floor. Without the last condition a class with a large
// deficit would take many slots at once, because a deficit shrinks only as time
// passes.
func (c *class) isFloorDue() bool {
	return c.catchingUp && c.floor > 0 && float64(c.running+c.starting) <= c.floor*catchUpRate && c.eligible()
}

// isStarved reports whether the work of the class must finish, some of it may
// start, and the class runs less than its floor and has a deficit of the floor
// of a whole Window.
func (c *class) isStarved() bool {
	return c.def.MustFinish() && c.eligible() && float64(c.running+c.starting) < c.floor && c.deficit >= c.deficitLimit()
}

// hasCredit reports whether the class can lose a slot and still get its floor
// over time: it is neither catching up nor protected, or has a credit of
// protectionCredit.
func (c *class) hasCredit() bool {
	return !c.catchingUp && !c.protected || c.deficit <= -protectionCredit
}

// hasSurplus reports whether the class runs at least its floor with one slot
// less.
func (c *class) hasSurplus() bool { return float64(c.running-1) >= c.floor }

func (c *class) flow(id quetzalhook.CustomerID) *flow {
	a := c.flows.Open(id)
	if a.Value == nil {
		a.Value = &flow{account: a, class: c, bucket: -1}
	}
	return a.Value
}

// updateFlow updates the flow's positions in the heap and in the length index,
// and the count of parked items, after the flow's waiting items changed.
func (c *class) updateFlow(f *flow) {
	c.lengthIndex.update(f)
	parkedItems := 0
	if f.parked {
		parkedItems = f.waiting()
	}
	c.parkedItems += parkedItems - f.parkedItems
	f.parkedItems = parkedItems
	c.flows.SetReady(f.account, f.waiting() > 0 && !f.parked)
	if f.items == 0 && !f.idle {
		f.idle = true
		c.idle = append(c.idle, f)
	}
}

// sweep checks up to n idle flows and deletes those whose virtual time is not
// ahead of the class's; a new flow would start at the same virtual time.
func (c *class) sweep(n int) {
	for range min(n, len(c.idle)) {
		f := c.idle[0]
		c.idle[0] = nil
		c.idle = c.idle[1:]
		switch {
		case f.items > 0:
			f.idle = false
		case c.flows.IsForgettable(time.Time{}, f.account, 0):
			c.flows.Forget(f.account)
		default:
			c.idle = append(c.idle, f)
		}
	}
}
