package queue

import (
	"math/bits"
	"time"

	"quetzalhook/internal/traffic/fair"
)

// lateInterval is the number of starts of a customer's requests of which one is
// a late request while others can still meet their target. With 20, 95% of the
// work in an overload is in time; with 4, it was 75%.
const lateInterval = 20

// flow is the waiting work of one customer in one class.
type flow struct {
	account     *fair.Account[*flow] // the work served; the flow with the least is served next
	class       *class
	onTime      list // in order of arrival, which is the order of deadlines
	late        list // can no longer meet their target
	starts      int  // items started, without those that were requeued
	items       int  // requests of the flow that have not ended
	parked      bool
	parkedItems int  // waiting items while parked
	idle        bool // in the class's list of idle flows

	bucket     int // in the class's length index, or -1
	prev, next *flow
}

func (f *flow) waiting() int { return f.onTime.n + f.late.n }

// head returns the flow's next item, or nil. Requests that can still meet their
// target go before those that cannot, because serving late ones first makes the
// others late as well.
func (f *flow) head(now time.Time) *Item {
	now = now.Add(f.class.startMargin())
	for it := f.onTime.head; it != nil && !it.Deadline.IsZero() && now.After(it.Deadline); it = f.onTime.head {
		f.onTime.remove(it)
		f.late.pushBack(it)
	}
	if f.late.n > 0 && (f.onTime.n == 0 || f.starts%lateInterval == lateInterval-1) {
		return f.late.head
	}
	return f.onTime.head
}

// newest returns the flow's latest arrival.
func (f *flow) newest() *Item {
	if f.onTime.n > 0 {
		return f.onTime.tail
	}
	return f.late.tail
}

// lengthBuckets is the number of buckets of a lengthIndex.
const lengthBuckets = 32

// lengthIndex groups flows by the power of two of their number of waiting
// items, so that one of the longest flows is found in constant time.
type lengthIndex struct {
	buckets     [lengthBuckets]*flow
	usedBuckets uint32
}

// update moves the flow after its number of waiting items changed.
func (l *lengthIndex) update(f *flow) {
	b := -1
	if n := f.waiting(); n > 0 {
		b = min(bits.Len(uint(n)), lengthBuckets-1)
	}
	if b == f.bucket {
		return
	}
	l.remove(f)
	if f.bucket = b; b < 0 {
		return
	}
	if f.next = l.buckets[b]; f.next != nil {
		f.next.prev = f
	}
	l.buckets[b] = f
	l.usedBuckets |= 1 << b
}

func (l *lengthIndex) remove(f *flow) {
	if f.bucket < 0 {
		return
	}
	if f.prev != nil {
		f.prev.next = f.next
	} else if l.buckets[f.bucket] = f.next; f.next == nil {
		l.usedBuckets &^= 1 << f.bucket
	}
	if f.next != nil {
		f.next.prev = f.prev
	}
	f.prev, f.next = nil, nil
}

// longest returns a flow of the highest bucket, or nil.
func (l *lengthIndex) longest() *flow {
	if l.usedBuckets == 0 {
		return nil
	}
	return l.buckets[bits.Len32(l.usedBuckets)-1]
}
