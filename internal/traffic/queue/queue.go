// Package queue orders the waiting requests of one model on one host and
// picks the running requests that give up their slots.
//
// Tiers are strict, except that every non-urgent class with waiting work
// gets its floor share of the slots over time. In a class, customers share
// by predicted work and weight (start-time fair queueing). A request that
// lost its slot waits at the head of its class. Every operation costs
// O(classes + log customers).
//
// An item moves from Push to Take to Run to Stop, and back with Return if it
// lost its slot. Remove takes out an item that waits; Settle ends it.
package queue

import (
	"math"
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

// WithArrivalOrder serves each customer's requests in order of arrival even
// if they missed their target, for comparisons.
func WithArrivalOrder() Option { return func(q *Queue) { q.arrivalOrder = true } }

// Queue holds the waiting and running requests of one model.
type Queue struct {
	noFloors     bool
	byCount      bool
	arrivalOrder bool
	classes      []*class // by tier, then by name
	index        map[quetzalhook.Class]*class
	virtual      [quetzalhook.TierCount]float64 // served work of the latest start
	waiting      int
	running      int
	total        int     // slots
	slots        float64 // slots that floors are shares of
	keeping      int     // running items below the urgent tier that cannot lose their slot
	urgent       int     // running urgent items
	peak         float64 // urgent items at once, decayed by peakMemory
	recent       float64 // the same, decayed by recentMemory
	last         time.Time
}

// MaxPreemptions is how often one request may lose its slot to another.
const MaxPreemptions = 2

const (
	// peakMemory is the time constant of the peak of urgent work that slots
	// are kept open for.
	peakMemory = 30 * time.Second
	// recentMemory is the same for requests that lost a slot. With 3 s they
	// lost it twice within a burst of 10 s.
	recentMemory = 12 * time.Second
)

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

// Advance accounts for the time since the last call. Call it before changes.
func (q *Queue) Advance(now time.Time) {
	if d := now.Sub(q.last).Seconds(); d > 0 && !q.last.IsZero() && q.slots > 0 {
		urgent := 0
		for _, c := range q.classes {
			c.advance(d)
			if c.def.IsUrgent() {
				urgent += c.waiting - c.held + c.taken + c.running
			}
		}
		q.peak = max(q.peak*decay(d, peakMemory), float64(urgent))
		q.recent = max(q.recent*decay(d, recentMemory), float64(urgent))
	}
	q.last = now
}

// decay returns the part that d seconds leave of a peak, to first order.
func decay(d float64, memory time.Duration) float64 { return max(1-d/memory.Seconds(), 0) }

// allowance returns which items may start by tier. Items that cannot lose
// their slot leave as many slots as urgent requests used at once in the last
// half minute, so that a burst finds slots to take. Items that lost a slot
// wait until the urgent requests of the last 12 s would fit beside them;
// otherwise the next few urgent requests take their slot again. Floors start
// both kinds at any time.
func (q *Queue) allowance() allowance {
	return allowance{
		keepers: q.keeping < q.total-int(math.Round(q.peak)),
		resumed: q.running-q.urgent < q.total-int(math.Round(q.recent)),
	}
}

// Protect keeps urgent requests from taking the slots of the item's class
// back until it has used them for a while. Call it for a start from NextFloor
// or NextOverdue.
func (q *Queue) Protect(it *Item) { it.class.protected = true }

// SetSlots sets the number of slots, and the part of them that floors are
// shares of. Without slots no class builds up a deficit.
func (q *Queue) SetSlots(total int, part float64) {
	q.total = total
	if n := float64(total) * part; n != q.slots {
		q.slots = n
		q.setFloors()
	}
}

// Sweep forgets some of the customers without work, and classes that were not
// used for a window: a changed class definition counts as a new class.
func (q *Queue) Sweep() {
	const count = 32 // bounds the cost of one call
	kept := q.classes[:0]
	for _, c := range q.classes {
		c.sweep(count)
		if len(c.flows) == 0 && q.last.Sub(c.used) > Window {
			delete(q.index, c.def)
			continue
		}
		kept = append(kept, c)
	}
	if len(kept) < len(q.classes) {
		clear(q.classes[len(kept):])
		q.classes = kept
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
			c.setFloor(c.def.FloorShare() * scale * q.slots)
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
// customer's share relative to others of the class. A customer or class that
// was idle gets no credit for the time without work.
func (q *Queue) Push(it *Item, weight float64) {
	c := q.class(it.Request.Class)
	f := c.flow(it.Request.Customer)
	f.weight = weight
	if f.waiting() == 0 {
		f.virtual = max(f.virtual, c.virtual)
	}
	if q.arrivalOrder {
		it.Deadline = time.Time{}
	}
	it.class, it.flow, it.bucket = c, f, -1
	q.wait(c)
	f.items++
	f.fresh.pushBack(it)
	c.changed(f)
}

// Return puts an item that lost its slot at the head of its class, behind
// those that lost theirs earlier.
func (q *Queue) Return(it *Item) {
	q.wait(it.class)
	it.resumed = true
	if it.Preemptions >= MaxPreemptions {
		it.class.keepers.pushBack(it)
	} else {
		it.class.resumed.pushBack(it)
	}
}

func (q *Queue) wait(c *class) {
	if !c.eligible() {
		c.served = max(c.served, q.virtual[c.def.Tier()])
	}
	c.used = q.last
	c.waiting++
	q.waiting++
}

// Remove takes a waiting item out.
func (q *Queue) Remove(it *Item) {
	it.list.remove(it)
	it.class.waiting--
	q.waiting--
	it.class.changed(it.flow)
}

// Backlog returns the number of waiting items of the same class and customer.
func (q *Queue) Backlog(r quetzalhook.Request) int {
	if c := q.index[r.Class]; c != nil {
		if f := c.flows[r.Customer]; f != nil {
			return f.waiting()
		}
	}
	return 0
}

// Park keeps the new items of the item's customer and class from starting
// until Unpark.
func (q *Queue) Park(it *Item) {
	it.flow.parked = true
	it.class.changed(it.flow)
}

// Unpark reverses Park.
func (q *Queue) Unpark(it *Item) {
	it.flow.parked = false
	it.class.changed(it.flow)
}

// Parked reports whether the item's customer and class are parked.
func (q *Queue) Parked(it *Item) bool { return it.flow.parked }

// Take removes a waiting item that is about to get a slot, and charges its
// work to its customer.
func (q *Queue) Take(it *Item) {
	c, f := it.class, it.flow
	q.virtual[c.def.Tier()] = c.served
	if !it.resumed {
		c.virtual = max(c.virtual, f.virtual)
		f.starts++
		q.charge(it, it.Work)
	}
	q.Remove(it)
	it.taken = true
	c.taken++
}

// untake ends what Take began.
func (it *Item) untake() {
	if it.taken {
		it.taken = false
		it.class.taken--
	}
}

// charge adds work to the customer's virtual time. A resumed item was charged
// before.
func (q *Queue) charge(it *Item, work float64) {
	cost := work
	if q.byCount {
		cost = 0
		if it.charged == 0 {
			cost = 1
		}
	}
	it.charged += work
	it.class.served += cost
	it.flow.virtual += cost / it.flow.weight
	if it.flow.position >= 0 {
		it.class.ready.fix(it.flow.position)
	}
}

// Run counts a taken item as running.
func (q *Queue) Run(it *Item) {
	c := it.class
	it.untake()
	c.running++
	q.running++
	switch {
	case c.def.IsUrgent():
		q.urgent++
	case it.mustKeep():
		it.keeps = true
		q.keeping++
	default:
		c.victims.add(it)
	}
}

// Offer sets whether the slot of a running item is of use to others, so that
// the item may be a victim.
func (q *Queue) Offer(it *Item, useful bool) {
	switch {
	case !useful:
		it.class.victims.remove(it)
	case it.bucket < 0 && !it.keeps && !it.class.def.IsUrgent():
		it.class.victims.add(it)
	}
}

// FirstToken records the time from the start of an item to its first token.
func (q *Queue) FirstToken(it *Item, d time.Duration) { it.class.observeFirst(d) }

// Progress records the output of a running item so far.
func (q *Queue) Progress(it *Item, tokens int) {
	it.Tokens = tokens
	it.class.victims.update(it)
}

// Correct replaces the predicted work of a taken item.
func (q *Queue) Correct(it *Item, work float64) {
	it.Work = work
	q.charge(it, work-it.charged)
}

// Stop takes a running item off the accounts of its slot. The caller settles
// or returns it.
func (q *Queue) Stop(it *Item) {
	it.class.victims.remove(it)
	if it.keeps {
		it.keeps = false
		q.keeping--
	}
	if it.class.def.IsUrgent() {
		q.urgent--
	}
	it.class.running--
	q.running--
}

// Settle forgets an item that is neither waiting nor running, and corrects
// its charge to the work that it caused.
func (q *Queue) Settle(it *Item, work float64) {
	if it.charged > 0 {
		q.Correct(it, work)
	}
	it.untake()
	it.flow.items--
	it.class.changed(it.flow)
}
