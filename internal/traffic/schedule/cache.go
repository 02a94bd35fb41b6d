package schedule

import (
	"container/list"

	"quetzalhook"
)

// cache models the KV cache of one engine as an LRU list of prompt parts. A part
// is usable only if all parts before it are cached. The least recently used parts
// are evicted when running requests need the memory.
type cache struct {
	parts  map[uint64]*list.Element
	lru    *list.List // of *part, most recently used first
	tokens int
	// onChange, if set, is called when a part is added or removed.
	onChange func(hash uint64, cached bool)
}

type part struct {
	hash   uint64
	tokens int
}

func newCache() cache {
	return cache{parts: make(map[uint64]*list.Element), lru: list.New()}
}

// cached returns the number of cached tokens at the beginning of a prompt.
func (c *cache) cached(parts []quetzalhook.PromptPart) int {
	tokens := 0
	for _, p := range parts {
		if c.parts[p.Hash] == nil {
			break
		}
		tokens += p.Tokens
	}
	return tokens
}

// touch marks parts as most recently used, and adds those that are not cached.
func (c *cache) touch(parts []quetzalhook.PromptPart) {
	for _, p := range parts {
		if e := c.parts[p.Hash]; e != nil {
			c.lru.MoveToFront(e)
			continue
		}
		c.parts[p.Hash] = c.lru.PushFront(&part{hash: p.Hash, tokens: p.Tokens})
		c.tokens += p.Tokens
		if c.onChange != nil {
			c.onChange(p.Hash, true)
		}
	}
}

// replace sets the content to parts, plus the cached parts listed in keep. Added
// parts become the least recently used.
func (c *cache) replace(parts []quetzalhook.PromptPart, keep map[uint64]bool) {
	found := make(map[uint64]bool, len(parts))
	for _, p := range parts {
		found[p.Hash] = true
		if c.parts[p.Hash] != nil {
			continue
		}
		c.parts[p.Hash] = c.lru.PushBack(&part{hash: p.Hash, tokens: p.Tokens})
		c.tokens += p.Tokens
		if c.onChange != nil {
			c.onChange(p.Hash, true)
		}
	}
	for hash, e := range c.parts {
		if !found[hash] && !keep[hash] {
			c.remove(e)
		}
	}
}

// invalidate removes the parts of a prompt that may not have been processed.
func (c *cache) invalidate(parts []quetzalhook.PromptPart) {
	for _, p := range parts {
		if e := c.parts[p.Hash]; e != nil {
			c.remove(e)
		}
	}
}

// remove removes the part in a list element.
func (c *cache) remove(e *list.Element) {
	p := e.Value.(*part)
	c.lru.Remove(e)
	delete(c.parts, p.hash)
	c.tokens -= p.tokens
	if c.onChange != nil {
		c.onChange(p.hash, false)
	}
}

// evict removes the least recently used parts until at most limit tokens are
// cached.
func (c *cache) evict(limit int) {
	for c.tokens > limit {
		e := c.lru.Back()
		if e == nil {
			return
		}
		c.remove(e)
	}
}
