package queue

import (
	"math/bits"
	"time"

	"quetzalhook"
)

// Item is one request in a Queue, waiting for a slot or holding one. The
// exported fields belong to the caller; Work may not change while the item
// waits.
type Item struct {
	Request quetzalhook.Request
	// Work is the predicted work in tokens: prompt and output.
	Work float64
	// Tokens is the output received so far, over all attempts.
	Tokens int
	// Arrived is when the request was submitted.
	Arrived time.Time
	// Deadline is the latest useful time of the first token; zero means none.
	Deadline time.Time
	// Preemptions counts how often the item lost its slot to another item.
	Preemptions int
	// Payload is the caller's own state.
	Payload any

	class                 *class
	flow                  *flow
	chargedWork           float64 // work charged to the flow so far
	requeued              bool    // was requeued
	starting              bool    // between Take and Run
	countedNonPreemptible bool    // counted in Queue.runningNonPreemptible
	bucket                int     // in the class's victims while preemptible, or -1

	list       *list
	prev, next *Item
}

// isNonPreemptible reports whether the item cannot be preempted.
func (it *Item) isNonPreemptible() bool {
	return it.Preemptions >= MaxPreemptions || !it.Request.Repeatable
}

// RecomputeTokens estimates the tokens to compute again if the item loses its
// slot: the prompt and the output so far would be prefilled again. An item
// without output counts as 0, because at most a part of its prefill is lost.
func (it *Item) RecomputeTokens() int {
	if it.Tokens == 0 {
		return 0
	}
	return it.Request.PromptTokens + it.Tokens
}

// list is an intrusive doubly linked list of items.
type list struct {
	head, tail *Item
	n          int
}

func (l *list) pushBack(it *Item) {
	it.list, it.prev, it.next = l, l.tail, nil
	if l.tail != nil {
		l.tail.next = it
	} else {
		l.head = it
	}
	l.tail = it
	l.n++
}

func (l *list) remove(it *Item) {
	if it.prev != nil {
		it.prev.next = it.next
	} else {
		l.head = it.next
	}
	if it.next != nil {
		it.next.prev = it.prev
	} else {
		l.tail = it.prev
	}
	it.list, it.prev, it.next = nil, nil, nil
	l.n--
}

// victimBuckets is the number of buckets by which victims are grouped.
const victimBuckets = 32

// victims holds the running items of a class that may be preempted, grouped by
// the power of two of their RecomputeTokens, so that one of the cheapest is
// found in constant time.
type victims struct {
	buckets     [victimBuckets]list
	usedBuckets uint32 // bit i is set while bucket i has items
}

func (v *victims) add(it *Item) {
	it.bucket = min(bits.Len(uint(it.RecomputeTokens())), victimBuckets-1)
	v.buckets[it.bucket].pushBack(it)
	v.usedBuckets |= 1 << it.bucket
}

func (v *victims) remove(it *Item) {
	if it.bucket < 0 {
		return
	}
	v.buckets[it.bucket].remove(it)
	if v.buckets[it.bucket].n == 0 {
		v.usedBuckets &^= 1 << it.bucket
	}
	it.bucket = -1
}

// update moves the item to another bucket if its RecomputeTokens requires it.
func (v *victims) update(it *Item) {
	if it.bucket < 0 || it.bucket == min(bits.Len(uint(it.RecomputeTokens())), victimBuckets-1) {
		return
	}
	v.remove(it)
	v.add(it)
}

// cheapest returns the item of the lowest bucket that was added last, or nil.
func (v *victims) cheapest() *Item {
	if v.usedBuckets == 0 {
		return nil
	}
	return v.buckets[bits.TrailingZeros32(v.usedBuckets)].tail
}
