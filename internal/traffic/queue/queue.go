// Package queue orders the waiting requests of one model on one host and
// picks the running requests to preempt.
//
// Tiers are strict, except that every non-urgent class with waiting work
// gets its floor share of the slots over time. In a class, customers share
// by predicted work and weight (start-time fair queueing). A request that
// was requeued goes before the new requests of its class. Every operation costs
// O(classes + log customers).
//
// The calls for an item are Push, Take, Run and Stop in this order. Requeue
// queues it again after Stop, if its attempt was cancelled or failed. Remove
// removes a waiting item; Settle ends an item.
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

// WithArrivalOrder serves each customer's requests in order of arrival even if
// they cannot meet their target any more, for comparisons.
func WithArrivalOrder() Option { return func(q *Queue) { q.arrivalOrder = true } }

// Queue holds the waiting and running requests of one model.
type Queue struct {
	noFloors              bool
	byCount               bool
	arrivalOrder          bool
	classes               []*class // by tier, then by name
	index                 map[quetzalhook.Class]*class
	virtualTime           [quetzalhook.TierCount]float64 // servedWork of the class that started last
	waiting               int
	running               int
	totalSlots            int     // this host's slots for the model
	floorSlots            float64 // the part of totalSlots that floors are shares of
	runningNonPreemptible int     // running items below the urgent tier that cannot be preempted
	runningUrgent         int     // running urgent items
	peakUrgent            float64 // most urgent items at once, decaying with peakTimeConstant
	recentUrgent          float64 // the same, decaying with recentTimeConstant
	lastAdvance           time.Time
}

// MaxPreemptions is how often one request may lose its slot to another.
const MaxPreemptions = 2

const (
	// peakTimeConstant is the time constant of peakUrgent, the number of slots
	// that non-preemptible items leave free for urgent items.
	peakTimeConstant = 30 * time.Second
	// recentTimeConstant is the time constant of recentUrgent, the number of
	// slots that requeued items leave free for urgent items. With 3 s they were
	// preempted twice within a burst of 10 s.
	recentTimeConstant = 12 * time.Second
)

// maxFloorSum is the largest sum of floor shares. Larger sums are scaled down
// to it, which leaves slots for urgent work.
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

// Advance accounts for the time since the last call. Call it before any other
// change.
func (q *Queue) Advance(now time.Time) {
	if d := now.Sub(q.lastAdvance).Seconds(); d > 0 && !q.lastAdvance.IsZero() && q.floorSlots > 0 {
		urgent := 0
		for _, c := range q.classes {
			c.advance(d)
			if c.def.IsUrgent() {
				urgent += c.waiting - c.parkedItems + c.starting + c.running
			}
		}
		q.peakUrgent = max(q.peakUrgent*decay(d, peakTimeConstant), float64(urgent))
		q.recentUrgent = max(q.recentUrgent*decay(d, recentTimeConstant), float64(urgent))
	}
	q.lastAdvance = now
}

// decay returns the factor by which a peak shrinks in d seconds, to first
// order.
func decay(d float64, timeConstant time.Duration) float64 { return max(1-d/timeConstant.Seconds(), 0) }

// allowance returns which items NextByTier may start. Items that cannot be
// preempted leave free as many slots as there were urgent items at once in about
// the last 30 s, so that a burst finds slots to take. Requeued items wait until
// the urgent items of about the last 12 s would fit beside all others; otherwise
// the next few urgent items would preempt them again. A class that starts items
// for its floor may start both kinds at any time.
func (q *Queue) allowance() allowance {
	return allowance{
		nonPreemptible: q.runningNonPreemptible < q.totalSlots-int(math.Round(q.peakUrgent)),
		requeued:       q.running-q.runningUrgent < q.totalSlots-int(math.Round(q.recentUrgent)),
	}
}

// Protect keeps urgent requests from taking the slots of the item's class back
// until the class has used protectionCredit slot-seconds. Call it when an item
// from NextFloor or NextOverdue starts.
func (q *Queue) Protect(it *Item) { it.class.protected = true }

// SetSlots sets the number of slots, and the fraction of them that floors are
// shares of. Without slots no class builds up a deficit.
func (q *Queue) SetSlots(totalSlots int, slotFraction float64) {
	q.totalSlots = totalSlots
	if n := float64(totalSlots) * slotFraction; n != q.floorSlots {
		q.floorSlots = n
		q.setFloors()
	}
}

// Sweep deletes some of the customers without work, and the classes that had no
// work for a Window. Unused classes are left over from configuration changes,
// because a changed class definition counts as a new class.
func (q *Queue) Sweep() {
	const maxFlows = 32 // bounds the cost of one call
	kept := q.classes[:0]
	for _, c := range q.classes {
		c.sweep(maxFlows)
		if c.flows.Len() == 0 && q.lastAdvance.Sub(c.lastUsed) > Window {
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
			c.setFloor(c.def.FloorShare() * scale * q.floorSlots)
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
	for i < len(q.classes) && !sortsBefore(def, q.classes[i].def) {
		i++
	}
	q.classes = append(q.classes, nil)
	copy(q.classes[i+1:], q.classes[i:])
	q.classes[i] = c
	q.setFloors()
	return c
}

func sortsBefore(a, b quetzalhook.Class) bool {
	if a.Tier() != b.Tier() {
		return a.Tier() < b.Tier()
	}
	return a.Name() < b.Name()
}

// Push adds a new item to the end of its customer's queue. The customer's share
// of the class relative to others is weight. A customer or class that was idle
// gets no credit for the time without work.
func (q *Queue) Push(it *Item, weight float64) {
	c := q.class(it.Request.Class)
	f := c.flow(it.Request.Customer)
	f.account.SetWeight(weight)
	if f.waiting() == 0 {
		c.flows.Raise(f.account)
	}
	if q.arrivalOrder {
		it.Deadline = time.Time{}
	}
	it.class, it.flow, it.bucket = c, f, -1
	q.addWaiting(c)
	f.items++
	f.onTime.pushBack(it)
	c.updateFlow(f)
}

// Requeue queues an item whose attempt was cancelled or failed again. It goes
// before the new items of its class and behind those requeued earlier. Items
// that were preempted MaxPreemptions times go before all others.
func (q *Queue) Requeue(it *Item) {
	q.addWaiting(it.class)
	it.requeued = true
	if it.Preemptions >= MaxPreemptions {
		it.class.nonPreemptible.pushBack(it)
	} else {
		it.class.requeued.pushBack(it)
	}
}

// addWaiting counts one more waiting item of the class. A class that was idle
// gets no credit for the time without work.
func (q *Queue) addWaiting(c *class) {
	if !c.eligible() {
		c.servedWork = max(c.servedWork, q.virtualTime[c.def.Tier()])
	}
	c.lastUsed = q.lastAdvance
	c.waiting++
	q.waiting++
}

// Remove removes a waiting item from the queue.
func (q *Queue) Remove(it *Item) {
	it.list.remove(it)
	it.class.waiting--
	q.waiting--
	it.class.updateFlow(it.flow)
}

// Backlog returns the number of waiting items of the same class and customer.
func (q *Queue) Backlog(r quetzalhook.Request) int {
	if c := q.index[r.Class]; c != nil {
		if a := c.flows.Find(r.Customer); a != nil {
			return a.Value.waiting()
		}
	}
	return 0
}

// Park keeps the new items of the item's customer and class from starting
// until Unpark.
func (q *Queue) Park(it *Item) {
	it.flow.parked = true
	it.class.updateFlow(it.flow)
}

// Unpark lets the items start again after Park.
func (q *Queue) Unpark(it *Item) {
	it.flow.parked = false
	it.class.updateFlow(it.flow)
}

// Parked reports whether the item's customer and class are parked.
func (q *Queue) Parked(it *Item) bool { return it.flow.parked }

// Take removes a waiting item that is about to get a slot, and charges its work
// to its customer. A requeued item was charged before.
func (q *Queue) Take(it *Item) {
	c, f := it.class, it.flow
	q.virtualTime[c.def.Tier()] = c.servedWork
	if !it.requeued {
		c.flows.Start(f.account)
		f.starts++
		q.charge(it, it.Work)
	}
	q.Remove(it)
	it.starting = true
	c.starting++
}

// endStarting ends the time between Take and Run.
func (it *Item) endStarting() {
	if it.starting {
		it.starting = false
		it.class.starting--
	}
}

// charge adds work to the virtual time of the item's customer and to the served
// work of its class.
func (q *Queue) charge(it *Item, work float64) {
	cost := work
	if q.byCount {
		cost = 0
		if it.chargedWork == 0 {
			cost = 1
		}
	}
	it.chargedWork += work
	it.class.servedWork += cost
	it.class.flows.Charge(q.lastAdvance, it.flow.account, cost)
}

// Run counts a taken item as running.
func (q *Queue) Run(it *Item) {
	c := it.class
	it.endStarting()
	c.running++
	q.running++
	switch {
	case c.def.IsUrgent():
		q.runningUrgent++
	case it.isNonPreemptible():
		it.countedNonPreemptible = true
		q.runningNonPreemptible++
	default:
		c.victims.add(it)
	}
}

// SetPreemptible sets whether a running item may be preempted. It may not while
// no other item could use its slot.
func (q *Queue) SetPreemptible(it *Item, preemptible bool) {
	switch {
	case !preemptible:
		it.class.victims.remove(it)
	case it.bucket < 0 && !it.countedNonPreemptible && !it.class.def.IsUrgent():
		it.class.victims.add(it)
	}
}

// FirstToken records the time from the start of an item to its first token.
func (q *Queue) FirstToken(it *Item, d time.Duration) { it.class.observeTTFT(d) }

// Progress records the output of a running item so far.
func (q *Queue) Progress(it *Item, tokens int) {
	it.Tokens = tokens
	it.class.victims.update(it)
}

// Correct replaces the predicted work of a taken item.
func (q *Queue) Correct(it *Item, work float64) {
	it.Work = work
	q.charge(it, work-it.chargedWork)
}

// Stop frees the slot of a running item. The caller then calls Settle or
// Requeue.
func (q *Queue) Stop(it *Item) {
	it.class.victims.remove(it)
	if it.countedNonPreemptible {
		it.countedNonPreemptible = false
		q.runningNonPreemptible--
	}
	if it.class.def.IsUrgent() {
		q.runningUrgent--
	}
	it.class.running--
	q.running--
}

// Settle ends an item that is neither waiting nor running, and corrects its
// charge to the work that it caused.
func (q *Queue) Settle(it *Item, work float64) {
	if it.chargedWork > 0 {
		q.Correct(it, work)
	}
	it.endStarting()
	it.flow.items--
	it.class.updateFlow(it.flow)
}
