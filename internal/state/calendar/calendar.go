// Package calendar tells the time of day on hosts whose clock may jump.
//
// A Clock reads the time of day once and goes on with a steady clock. Other
// hosts correct it: with the clocks of two others, the median of three is
// right although one of them is wrong.
package calendar

import (
	"slices"
	"sync"
	"time"

	"quetzalhook"
)

const (
	// tolerance is the difference to other hosts up to which nothing is
	// corrected; it covers the way between regions.
	tolerance = 150 * time.Millisecond
	// sampleLife is how long the time of another host counts.
	sampleLife = 10 * time.Second
	// minSamples is the number of other hosts that can correct a clock.
	minSamples = 2
)

// sample is the difference of another host's time of day to this one's.
type sample struct {
	difference time.Duration
	at         time.Time
}

// Clock implements quetzalhook.Clock with times of day. It is safe for
// concurrent use.
type Clock struct {
	steady quetzalhook.Clock

	mu      sync.Mutex
	offset  time.Duration // of the time of day to the steady clock
	samples map[quetzalhook.HostID]sample
}

// New returns a clock that starts with the time of day now.
func New(steady quetzalhook.Clock, now time.Time) *Clock {
	return &Clock{steady: steady, offset: now.Sub(steady.Now()), samples: make(map[quetzalhook.HostID]sample)}
}

// Now returns the time of day.
func (c *Clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.steady.Now().Add(c.offset)
}

// Observe takes the time of day that another host has now, and corrects the
// own one if the other hosts agree on a different time.
func (c *Clock) Observe(host quetzalhook.HostID, other time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.steady.Now()
	c.samples[host] = sample{difference: other.Sub(now.Add(c.offset)), at: now}
	differences := []time.Duration{0}
	for h, s := range c.samples {
		if now.Sub(s.at) > sampleLife {
			delete(c.samples, h)
			continue
		}
		differences = append(differences, s.difference)
	}
	if len(differences) <= minSamples {
		return
	}
	slices.Sort(differences)
	median := differences[len(differences)/2]
	if median.Abs() <= tolerance {
		return
	}
	c.offset += median
	for h, s := range c.samples {
		s.difference -= median
		c.samples[h] = s
	}
}
