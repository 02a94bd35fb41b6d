package trial

import "container/list"

// lru is a prefix cache that evicts the least recently used entries.
type lru struct {
	limit   int // in tokens
	used    int // in tokens
	order   *list.List
	entries map[uint64]*list.Element
}

type lruEntry struct {
	hash   uint64
	tokens int
}

func newLRU(limit int) lru {
	return lru{limit: limit, order: list.New(), entries: make(map[uint64]*list.Element)}
}

// touch reports whether hash is cached and, if so, marks it as most recently
// used.
func (c *lru) touch(hash uint64) bool {
	el := c.entries[hash]
	if el != nil {
		c.order.MoveToFront(el)
	}
	return el != nil
}

// add caches hash unless it is cached. It reports whether it added it and which
// hashes it evicted.
func (c *lru) add(hash uint64, tokens int) (added bool, evicted []uint64) {
	if c.touch(hash) {
		return false, nil
	}
	c.entries[hash] = c.order.PushFront(lruEntry{hash: hash, tokens: tokens})
	c.used += tokens
	for c.used > c.limit {
		el := c.order.Back()
		e := c.order.Remove(el).(lruEntry)
		delete(c.entries, e.hash)
		c.used -= e.tokens
		evicted = append(evicted, e.hash)
	}
	return true, evicted
}
