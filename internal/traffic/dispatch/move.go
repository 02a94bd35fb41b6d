package dispatch

import (
	"time"

	"quetzalhook"
)

// leavingGrace is how long an upstream that leaves may still get work: load
// reports and the platform's list lag by about 2 s.
const leavingGrace = 3 * time.Second

// leavingFor returns how long the upstream has been leaving.
func (u *upstream) leavingFor(now time.Time) time.Duration {
	if !u.leaving {
		return 0
	}
	return now.Sub(u.since)
}

// move cancels the streams on unfit upstreams, so that they resume elsewhere.
// Streams on a leaving upstream always move. Those on an ejected one move
// only as far as there are free slots, because a slow stream is better than a
// waiting one. Requests that may not be repeated stay.
func (c *Core) move(now time.Time) {
	kept := c.leaving[:0]
	for _, u := range c.leaving {
		if u.leaving && (u.listed || len(u.running) > 0) {
			kept = append(kept, u)
			c.moveFrom(u, func(*pool) bool { return true })
		}
	}
	clear(c.leaving[len(kept):])
	c.leaving = kept
	for _, id := range c.placer.Unfit(now) {
		if u := c.upstreams[id]; u != nil && !u.leaving && len(u.running) > 0 {
			free := make(map[*pool]int)
			c.moveFrom(u, func(p *pool) bool { return c.hasSlot(now, p, free) })
		}
	}
}

// moveFrom cancels the streams on an upstream for which there is room.
func (c *Core) moveFrom(u *upstream, room func(*pool) bool) {
	for _, e := range u.running {
		if e.state == stateRunning && e.Request.Repeatable && room(e.pool) {
			c.stats.Moved++
			c.cancel(e, quetzalhook.CauseMoved)
		}
	}
}

// hasSlot takes one of the pool's free slots, as far as they are known to
// free.
func (c *Core) hasSlot(now time.Time, p *pool, free map[*pool]int) bool {
	n, ok := free[p]
	if !ok {
		_, n = c.placer.Slots(now, p.model)
	}
	free[p] = n - 1
	return n > 0
}
