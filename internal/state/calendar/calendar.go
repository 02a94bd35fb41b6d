// Package calendar provides a wall clock for hosts whose system clock may jump
// or be wrong.
//
// A Clock reads the wall-clock time once and then advances it with a monotonic
// clock. It is corrected to the median of its own time and those of other hosts:
// with two other hosts, the median is right even if one of the three clocks is
// wrong.
package calendar

import (
	"slices"
	"sync"
	"time"

	"quetzalhook"
)

const (
	// tolerance is the difference from the median up to which the clock is not
	// corrected. It covers the network latency between regions.
	tolerance = 150 * time.Millisecond
	// sampleMaxAge is how long a sample of another host's time is used.
	sampleMaxAge = 10 * time.Second
	// minOthers is the number of other hosts needed to correct the clock.
	minOthers = 2
)

// sample is another host's wall-clock time minus this host's, and when it was
// taken.
type sample struct {
	difference time.Duration
	at         time.Time
}

// Clock is a wall clock that other hosts can correct. It implements
// quetzalhook.Clock and is safe for concurrent use.
type Clock struct {
	monotonic quetzalhook.Clock

	mu      sync.Mutex
	offset  time.Duration // wall-clock time minus monotonic time
	samples map[quetzalhook.HostID]sample
}

// New returns a clock that starts at the wall-clock time now and advances with
// the given monotonic clock.
func New(monotonic quetzalhook.Clock, now time.Time) *Clock {
	return &Clock{monotonic: monotonic, offset: now.Sub(monotonic.Now()), samples: make(map[quetzalhook.HostID]sample)}
}

// Now returns the wall-clock time.
func (c *Clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.monotonic.Now().Add(c.offset)
}

// Observe records the current wall-clock time of another host. It corrects this
// clock to the median of all hosts' times if it has samples of at least
// minOthers other hosts and the median differs by more than the tolerance.
func (c *Clock) Observe(host quetzalhook.HostID, other time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.monotonic.Now()
	c.samples[host] = sample{difference: other.Sub(now.Add(c.offset)), at: now}
	differences := []time.Duration{0}
	for h, s := range c.samples {
		if now.Sub(s.at) > sampleMaxAge {
			delete(c.samples, h)
			continue
		}
		differences = append(differences, s.difference)
	}
	if len(differences) <= minOthers {
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
