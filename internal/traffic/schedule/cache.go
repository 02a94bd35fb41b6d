package schedule

import (
	"container/list"

	"quetzalhook"
)

// cache models the prompt parts in the memory of one engine. A part is of use
// only if all parts before it are there. The least recently used parts yield
// when running requests need the room.
type cache struct {
	parts  map[uint64]*list.Element
	recent *list.List // of *part, the most recently used first
	tokens int
	// changed is called when a part is held from now on, or no longer; nil calls
	// nothing.
	changed func(hash uint64, held bool)
}

type part struct {
	hash   uint64
	tokens int
}

func newCache() cache {
	return cache{parts: make(map[uint64]*list.Element), recent: list.New()}
}

// held returns how many tokens at the beginning of a prompt need no reading.
func (c *cache) held(parts []quetzalhook.PromptPart) int {
	tokens := 0
	for _, p := range parts {
		if c.parts[p.Hash] == nil {
			break
		}
		tokens += p.Tokens
	}
	return tokens
}

// use marks parts as used now, and as held from now on.
func (c *cache) use(parts []quetzalhook.PromptPart) {
	for _, p := range parts {
		if e := c.parts[p.Hash]; e != nil {
			c.recent.MoveToFront(e)
			continue
		}
		c.parts[p.Hash] = c.recent.PushFront(&part{hash: p.Hash, tokens: p.Tokens})
		c.tokens += p.Tokens
		if c.changed != nil {
			c.changed(p.Hash, true)
		}
	}
}

// replace makes parts, and those of the held ones that are kept, all that is
// held. Parts that were not held count as used least recently.
func (c *cache) replace(parts []quetzalhook.PromptPart, keep map[uint64]bool) {
	found := make(map[uint64]bool, len(parts))
	for _, p := range parts {
		found[p.Hash] = true
		if c.parts[p.Hash] != nil {
			continue
		}
		c.parts[p.Hash] = c.recent.PushBack(&part{hash: p.Hash, tokens: p.Tokens})
		c.tokens += p.Tokens
		if c.changed != nil {
			c.changed(p.Hash, true)
		}
	}
	for hash, e := range c.parts {
		if !found[hash] && !keep[hash] {
			c.remove(e)
		}
	}
}

// forget removes parts that were not read after all.
func (c *cache) forget(parts []quetzalhook.PromptPart) {
	for _, p := range parts {
		if e := c.parts[p.Hash]; e != nil {
			c.remove(e)
		}
	}
}

func (c *cache) remove(e *list.Element) {
	p := e.Value.(*part)
	c.recent.Remove(e)
	delete(c.parts, p.hash)
	c.tokens -= p.tokens
	if c.changed != nil {
		c.changed(p.hash, false)
	}
}

// shrink removes the least recently used parts until at most limit tokens are
// held.
func (c *cache) shrink(limit int) {
	for c.tokens > limit {
		e := c.recent.Back()
		if e == nil {
			return
		}
		c.remove(e)
	}
}
