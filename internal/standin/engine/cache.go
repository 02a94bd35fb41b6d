package engine

import (
	"container/list"
	"time"
)

// event is one change of the prefix cache.
type event struct {
	seq     int64
	at      time.Time
	stored  []uint64
	evicted []uint64
	lost    bool // never reported, which leaves a gap in the sequence
}

// maxEvents bounds the events kept for readers that lag; older ones are a
// gap.
const maxEvents = 4096

// cache is a prefix cache of blocks with least-recently-used eviction.
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

// use stores the blocks of a prompt and returns how many of them, from the
// start of the prompt, were there before. With gap above 0 every gap-th event
// is lost.
func (c *cache) use(now time.Time, hashes []uint64, gap int) int {
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
		e.lost = gap > 0 && c.seq%int64(gap) == 0
		c.events = append(c.events, e)
		if len(c.events) > maxEvents {
			c.events = c.events[len(c.events)-maxEvents:]
		}
	}
	return hits
}

// since returns the reported events with a sequence number above after that
// are older than lag.
func (c *cache) since(now time.Time, after int64, lag time.Duration) []event {
	var events []event
	for _, e := range c.events {
		if e.seq > after && !e.lost && now.Sub(e.at) >= lag {
			events = append(events, e)
		}
	}
	return events
}
