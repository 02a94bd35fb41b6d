package dispatch

import (
	"time"

	"quetzalhook"
)

// leavingGrace is how long a leaving upstream may still be given requests:
// load reports and the list of upstreams from the platform lag by about 2 s.
const leavingGrace = 3 * time.Second

// leavingFor returns how long the upstream has been leaving, or 0 if it is
// not.
func (u *upstream) leavingFor(now time.Time) time.Duration {
	if !u.leaving {
		return 0
	}
	return now.Sub(u.leavingSince)
}

// moveStreams cancels streams on leaving and unfit upstreams, so that they
// resume on others. Streams on a leaving upstream are always moved. Those on
// other unfit upstreams, which the placer has ejected, are moved only while
// there are free slots, because a slow stream is better than a waiting request.
// Requests that may not be repeated stay.
func (c *Core) moveStreams(now time.Time) {
	kept := c.leaving[:0]
	for _, u := range c.leaving {
		if u.leaving && (u.listed || len(u.running) > 0) {
			kept = append(kept, u)
			c.moveFrom(u, func(*pool) bool { return true })
		}
	}
	clear(c.leaving[len(kept):])
	c.leaving = kept
	c.markUnfit(c.placer.Unfit(now))
	for _, u := range c.unfit {
		if !u.leaving && len(u.running) > 0 {
			free := make(map[*pool]int)
			c.moveFrom(u, func(p *pool) bool { return c.takeFreeSlot(now, p, free) })
		}
	}
}

// markUnfit replaces the list of unfit upstreams. Streams on unfit upstreams
// are not preempted, because no other request could use the slot.
func (c *Core) markUnfit(ids []quetzalhook.UpstreamID) {
	before := c.unfit
	c.unfit = nil
	for _, u := range before {
		u.unfit = false
	}
	for _, id := range ids {
		if u := c.upstreams[id]; u != nil {
			u.unfit = true
			c.unfit = append(c.unfit, u)
		}
	}
	for _, list := range [][]*upstream{before, c.unfit} {
		for _, u := range list {
			for _, e := range u.running {
				if e.state == stateRunning {
					e.pool.queue.SetPreemptible(&e.Item, !u.unfit)
				}
			}
		}
	}
}

// moveFrom cancels the streams on u whose requests may be repeated and for
// whose pool mayMove returns true.
func (c *Core) moveFrom(u *upstream, mayMove func(*pool) bool) {
	for _, e := range u.running {
		if e.state == stateRunning && e.Request.Repeatable && mayMove(e.pool) {
			c.stats.Moved++
			c.cancel(e, quetzalhook.CauseMoved)
		}
	}
}

// takeFreeSlot takes one of the pool's free slots and reports whether there
// was one. The map free holds the number of slots left; takeFreeSlot gets that of
// a pool from the placer on the first call.
func (c *Core) takeFreeSlot(now time.Time, p *pool, free map[*pool]int) bool {
	n, ok := free[p]
	if !ok {
		_, n = c.placer.Slots(now, p.model)
	}
	free[p] = n - 1
	return n > 0
}
