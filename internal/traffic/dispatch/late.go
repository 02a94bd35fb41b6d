package dispatch

import (
	"time"

	"quetzalhook"
)

// timer is one element of timers: an entry and the time at which it is due.
type timer struct {
	at time.Time
	e  *entry
}

// timers is a min-heap of entries by due time. It tracks the position of each
// entry, so that an entry can be removed before it is due.
type timers struct {
	heap     []timer
	position map[*entry]int
}

func (t *timers) add(e *entry, at time.Time) {
	if t.position == nil {
		t.position = make(map[*entry]int)
	}
	t.position[e] = len(t.heap)
	t.heap = append(t.heap, timer{at, e})
	t.up(len(t.heap) - 1)
}

// remove removes an entry; it does nothing if the entry is not in the heap.
func (t *timers) remove(e *entry) {
	i, ok := t.position[e]
	if !ok {
		return
	}
	last := len(t.heap) - 1
	t.swap(i, last)
	t.heap[last] = timer{}
	t.heap = t.heap[:last]
	delete(t.position, e)
	if i < last {
		t.down(i)
		t.up(i)
	}
}

// due returns the first entry if it is due at now, else nil.
func (t *timers) due(now time.Time) *entry {
	if len(t.heap) == 0 || t.heap[0].at.After(now) {
		return nil
	}
	return t.heap[0].e
}

func (t *timers) swap(i, j int) {
	t.heap[i], t.heap[j] = t.heap[j], t.heap[i]
	t.position[t.heap[i].e], t.position[t.heap[j].e] = i, j
}

// up moves the element at i towards the root until its parent is not later.
func (t *timers) up(i int) {
	for i > 0 && t.heap[i].at.Before(t.heap[(i-1)/2].at) {
		t.swap(i, (i-1)/2)
		i = (i - 1) / 2
	}
}

// down moves the element at i away from the root until no child is earlier.
func (t *timers) down(i int) {
	for {
		least := i
		for c := 2*i + 1; c <= 2*i+2 && c < len(t.heap); c++ {
			if t.heap[c].at.Before(t.heap[least].at) {
				least = c
			}
		}
		if least == i {
			return
		}
		t.swap(i, least)
		i = least
	}
}

// minTTFTFraction is the fraction of the predicted time to first token that a
// request is assumed to take at least. With 0.5, no request is refused wrongly
// as long as the prediction is at most twice the actual time. If the whole
// prediction counted, a prediction that is too high would refuse the requests
// whose actual times would correct it.
const minTTFTFraction = 0.5

// willMissDeadline reports whether a request that expires at its deadline
// and has no token yet would miss its deadline on u.
func (c *Core) willMissDeadline(now time.Time, e *entry, u quetzalhook.UpstreamID) bool {
	if !e.expires(c.faults) || e.Tokens > 0 {
		return false
	}
	ttft := c.placer.FirstToken(now, e.Request, u)
	return now.Add(time.Duration(minTTFTFraction * float64(ttft))).After(e.Deadline)
}

// expireLate refuses or cancels the requests that expire at their deadline,
// have passed it, and have no first token.
func (c *Core) expireLate(now time.Time) {
	var due []*entry
	for e := c.deadlines.due(now); e != nil; e = c.deadlines.due(now) {
		c.deadlines.remove(e)
		c.checkLate(e)
		due = append(due, e)
	}
	for _, e := range due {
		switch {
		case e.Tokens > 0:
		case e.state == stateRunning:
			c.cancelExpired(now, e)
		case e.state == stateStopping: // try again until the cancellation is confirmed
			c.deadlines.add(e, now.Add(firstRetryDelay))
		default:
			c.removeWaiting(e)
			c.refuse(now, e, quetzalhook.RefuseLate)
		}
	}
}

// cancelExpired cancels a running request that has passed its deadline. Unlike
// a preempted or moved request, it is not queued again.
func (c *Core) cancelExpired(now time.Time, e *entry) {
	c.checkDropped(e, quetzalhook.RefuseLate)
	c.stats.Expired++
	c.actions = append(c.actions, quetzalhook.Action{
		Kind: quetzalhook.ActionCancel, Request: e.Request.ID, Upstream: e.upstream.id,
		Cause: quetzalhook.CauseLate, Refusal: quetzalhook.RefuseLate, Outcome: quetzalhook.OutcomeUnknown,
		RetryAfter: retryAfter,
	})
	e.sent = true
	c.release(now, e, quetzalhook.EndCancelled)
	c.endRequest(now, e)
}
