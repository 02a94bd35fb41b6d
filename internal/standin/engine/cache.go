package engine

import (
	"container/list"
	"time"
)

// event is one change of the prefix cache: the hashes of the blocks that were
// stored and evicted.
type event struct {
	seq     int64
	at      time.Time
	stored  []uint64
	evicted []uint64
	dropped bool // not reported, which leaves a gap in the sequence numbers
}

// maxEvents limits the stored events; the oldest ones are deleted first. A client
// that has not read them by then sees a gap in the sequence numbers.
const maxEvents = 4096

// cache is a prefix cache of blocks with least-recently-used eviction. A block is
// identified by the hash of the prompt prefix that ends with it.
type cache struct {
	capacity int // blocks
	order    *list.List
	blocks   map[uint64]*list.Element
	events   []event
	seq      int64
}

func newCache(capacity int) *cache {
	return &cache{capacity: capacity, order: list.New(), blocks: make(map[uint64]*list.Element)}
}

// insert stores the blocks of a prompt and returns how many leading blocks were
// cached before. If dropEvery is positive, every dropEvery-th event is dropped.
func (c *cache) insert(now time.Time, hashes []uint64, dropEvery int) int {
	hits := 0
	for hits < len(hashes) && c.blocks[hashes[hits]] != nil {
		hits++
	}
	e := event{at: now}
	for _, h := range hashes {
		if el := c.blocks[h]; el != nil {
			c.order.MoveToFront(el)
			continue
		}
		c.blocks[h] = c.order.PushFront(h)
		e.stored = append(e.stored, h)
	}
	for c.order.Len() > c.capacity {
		h := c.order.Remove(c.order.Back()).(uint64)
		delete(c.blocks, h)
		e.evicted = append(e.evicted, h)
	}
	if len(e.stored)+len(e.evicted) > 0 {
		c.seq++
		e.seq = c.seq
		e.dropped = dropEvery > 0 && c.seq%int64(dropEvery) == 0
		c.events = append(c.events, e)
		if len(c.events) > maxEvents {
			c.events = c.events[len(c.events)-maxEvents:]
		}
	}
	return hits
}

// eventsAfter returns the events that were not dropped, have a sequence number
// above after and are at least lag old.
func (c *cache) eventsAfter(now time.Time, after int64, lag time.Duration) []event {
	var events []event
	for _, e := range c.events {
		if e.seq > after && !e.dropped && now.Sub(e.at) >= lag {
			events = append(events, e)
		}
	}
	return events
}
