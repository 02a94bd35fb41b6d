package dispatch

import (
	"time"

	"quetzalhook"
)

// timer is one entry of timers.
type timer struct {
	at time.Time
	e  *entry
}

// timers is a heap of entries by time. It knows each entry's position, so that
// an entry can be removed before its time.
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

// remove takes an entry out; it does nothing for one that is not in.
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

// due returns the first entry if its time has come, else nil.
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

func (t *timers) up(i int) {
	for i > 0 && t.heap[i].at.Before(t.heap[(i-1)/2].at) {
		t.swap(i, (i-1)/2)
		i = (i - 1) / 2
	}
}

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

// firstTokenShare is the part of the predicted time to the first token that
// is taken as certain. A prediction that is too high by up to twice refuses
// nothing wrongly; refusing on the whole prediction would also keep the
// samples away that correct it.
const firstTokenShare = 0.5

// outOfReach reports whether a request whose late answer is worthless would
// miss its target on u.
func (c *Core) outOfReach(now time.Time, e *entry, u quetzalhook.UpstreamID) bool {
	if !e.worthlessAfter(c.faults) || e.Tokens > 0 {
		return false
	}
	first := c.placer.FirstToken(now, e.Request, u)
	return now.Add(time.Duration(firstTokenShare * float64(first))).After(e.Deadline)
}

// dropLate ends the requests without a first token whose late answers are
// worthless and whose deadline has passed.
func (c *Core) dropLate(now time.Time) {
	var due []*entry
	for e := c.late.due(now); e != nil; e = c.late.due(now) {
		c.late.remove(e)
		c.checkLate(e)
		due = append(due, e)
	}
	for _, e := range due {
		switch {
		case e.Tokens > 0:
		case e.state == stateRunning:
			c.doom(now, e)
		case e.state == stateStopping: // decided when the cancel is confirmed
			c.late.add(e, now.Add(firstDelay))
		default:
			c.withdraw(e)
			c.refuse(now, e, quetzalhook.RefuseLate)
		}
	}
}

// doom cancels a request for good.
func (c *Core) doom(now time.Time, e *entry) {
	c.checkDropped(e, quetzalhook.RefuseLate)
	c.stats.Doomed++
	c.actions = append(c.actions, quetzalhook.Action{
		Kind: quetzalhook.ActionCancel, Request: e.Request.ID, Upstream: e.upstream.id,
		Cause: quetzalhook.CauseDoomed, Refusal: quetzalhook.RefuseLate, Outcome: quetzalhook.OutcomeUnknown,
		RetryAfter: retryDelay,
	})
	e.sent = true
	c.release(now, e, quetzalhook.EndCancelled)
	c.forget(now, e)
}
