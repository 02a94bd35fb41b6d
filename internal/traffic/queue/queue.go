// Package queue orders the waiting requests of one model on one host and
// picks the running requests that give up their slots.
//
// Tiers are strict, except that every non-urgent class with waiting work
// gets its floor share of the slots over time. In a class, customers share
// by predicted work and weight (start-time fair queueing). A request that
// lost its slot waits at the head of its class. Every operation costs
// O(classes + log customers).
package queue

import (
	"time"

	"quetzalhook"
)

// Option configures a Queue.
type Option func(*Queue)

// WithoutFloors turns floor shares off, for comparisons and tests.
func WithoutFloors() Option { return func(q *Queue) { q.noFloors = true } }

// WithRequestCount charges one unit for each request instead of its work, for
// comparisons.
func WithRequestCount() Option { return func(q *Queue) { q.byCount = true } }

// Queue holds the waiting and running requests of one model.
type Queue struct {
	noFloors bool
	byCount  bool
	classes  []*class // by tier, then by name
	index    map[quetzalhook.Class]*class
	waiting  int
	running  int
	total    int // slots
	last     time.Time
}

// MaxPreemptions is how often one request may lose its slot.
const MaxPreemptions = 2

// maxFloorSum leaves slots for urgent work if the configured floors add up to
// more.
const maxFloorSum = 0.9

// New returns an empty queue.
func New(opts ...Option) *Queue {
	q := &Queue{index: make(map[quetzalhook.Class]*class)}
	for _, opt := range opts {
		opt(q)
	}
	return q
}

// Waiting returns the number of waiting items.
func (q *Queue) Waiting() int { return q.waiting }

// Running returns the number of items that hold a slot.
func (q *Queue) Running() int { return q.running }

// Advance accounts for the time since the last call; total is the number of
// slots from now on.
func (q *Queue) Advance(now time.Time, total int) {
	if !q.last.IsZero() {
		if d := now.Sub(q.last).Seconds(); d > 0 {
			for _, c := range q.classes {
				c.advance(d)
			}
		}
	}
	q.last = now
	if total != q.total {
		q.total = total
		q.setFloors()
	}
}

// setFloors computes each class's floor in slots.
func (q *Queue) setFloors() {
	sum := 0.0
	for _, c := range q.classes {
		if !c.def.IsUrgent() {
			sum += c.def.FloorShare()
		}
	}
	scale := 1.0
	if sum > maxFloorSum {
		scale = maxFloorSum / sum
	}
	for _, c := range q.classes {
		if !c.def.IsUrgent() {
			c.floor = c.def.FloorShare() * scale * float64(q.total)
		}
	}
}

func (q *Queue) class(def quetzalhook.Class) *class {
	c := q.index[def]
	if c != nil {
		return c
	}
	c = newClass(def)
	q.index[def] = c
	i := 0
	for i < len(q.classes) && !before(def, q.classes[i].def) {
		i++
	}
	q.classes = append(q.classes, nil)
	copy(q.classes[i+1:], q.classes[i:])
	q.classes[i] = c
	q.setFloors()
	return c
}

func before(a, b quetzalhook.Class) bool {
	if a.Tier() != b.Tier() {
		return a.Tier() < b.Tier()
	}
	return a.Name() < b.Name()
}

// Push adds a new item to the end of its customer's queue. Weight is the
// customer's share relative to others of the class.
func (q *Queue) Push(it *Item, weight float64) {
	c := q.class(it.Request.Class)
	f := c.flow(it.Request.Customer, weight)
	if f.waiting.n == 0 {
		f.virtual = max(f.virtual, c.virtual)
	}
	it.class, it.flow, it.weight = c, f, -1
	f.waiting.pushBack(it)
	c.waiting++
	q.waiting++
	c.enlist(f)
}

// Return puts an item that lost its slot at the head of its class.
func (q *Queue) Return(it *Item) {
	it.resumed = true
	it.class.resumed.pushFront(it)
	it.class.waiting++
	q.waiting++
}

// Remove takes a waiting item out.
func (q *Queue) Remove(it *Item) {
	c, f := it.class, it.flow
	it.list.remove(it)
	c.waiting--
	q.waiting--
	if f.waiting.n == 0 && f.position >= 0 {
		c.ready.remove(f)
	}
	if it.charged > 0 || f.running > 0 || f.waiting.n > 0 {
		return
	}
	q.forget(f)
}

// forget drops an idle flow that has no advantage over a new one.
func (q *Queue) forget(f *flow) {
	if f.running == 0 && f.waiting.n == 0 && f.virtual <= f.class.virtual {
		delete(f.class.flows, f.customer)
	}
}

// Next returns the item to start next, or nil: the class with the largest
// relative deficit, else the first tier with work.
func (q *Queue) Next() *Item {
	if it := q.NextFloor(); it != nil {
		return it
	}
	return q.NextStrict()
}

// NextFloor returns the next item of the class that is furthest below its
// floor, or nil if no class is short of it by more than the slack.
func (q *Queue) NextFloor() *Item {
	if q.noFloors {
		return nil
	}
	if c := q.neediest(); c != nil && c.deficit > c.slack() {
		return c.head()
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

// NextStrict returns the next item by tier only. Classes of one tier share by
// work.
func (q *Queue) NextStrict() *Item {
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
	return best.head()
}

// Start moves a waiting item to a slot and charges its work to its customer.
func (q *Queue) Start(it *Item) {
	c, f := it.class, it.flow
	it.list.remove(it)
	c.waiting--
	q.waiting--
	if !it.resumed {
		c.virtual = max(c.virtual, f.virtual)
		q.charge(it, it.Work)
		if f.waiting.n == 0 && f.position >= 0 {
			c.ready.remove(f)
		}
	}
	it.running = true
	f.running++
	c.running++
	q.running++
	if it.Request.Repeatable && it.Preemptions < MaxPreemptions && !c.def.IsUrgent() {
		c.victims.add(it)
	}
}

// charge adds work to the customer's virtual time.
func (q *Queue) charge(it *Item, work float64) {
	f := it.flow
	it.charged += work
	it.class.served += work
	if q.byCount {
		work = 0
		if it.charged == work || !it.running {
			work = 1
		}
	}
	f.virtual += work / f.weight
	if f.position >= 0 {
		it.class.ready.fix(f.position)
	}
}

// Progress records the output so far and the corrected prediction of all work.
func (q *Queue) Progress(it *Item, tokens int, work float64) {
	it.Tokens = tokens
	it.class.victims.update(it)
	if work != it.Work {
		it.Work = work
		q.charge(it, work-it.charged)
	}
}

// Stop takes a running item off its slot's accounts; the caller forgets it
// or returns it.
func (q *Queue) Stop(it *Item) {
	it.class.victims.remove(it)
	it.running = false
	it.flow.running--
	it.class.running--
	q.running--
	q.forget(it.flow)
}

// Victim returns the running item that gives up its slot for an item of the
// given tier, or nil: the lowest tier first, then the least loss. Classes at
// their floor lose none.
func (q *Queue) Victim(tier quetzalhook.Tier) *Item {
	for i := len(q.classes) - 1; i >= 0; i-- {
		c := q.classes[i]
		if c.def.Tier() <= tier {
			return nil
		}
		if it := c.victims.least(); it != nil && (q.noFloors || c.mayLose()) {
			return it
		}
	}
	return nil
}

// WaitingIn returns the number of waiting items of a tier.
func (q *Queue) WaitingIn(tier quetzalhook.Tier) int {
	n := 0
	for _, c := range q.classes {
		if c.def.Tier() == tier {
			n += c.waiting
		}
	}
	return n
}
