package speed

import (
	"math"
	"time"
)

const (
	// crowdBins is the number of ranges of running requests, and binsPerDouble how many
	// of them lie between a number and its double. The last range begins at about 380
	// requests.
	crowdBins     = 18
	binsPerDouble = 3
	// binOffset makes the ranges of few requests wider: steps differ little there.
	binOffset = 6.0
	// minBinMs is the time that an upstream must have spent in a range before the range
	// counts, minCollapseMs the time before it counts as collapsed, and maxBinMs the time
	// over which the mean of a range is taken.
	minBinMs      = 300.0
	minCollapseMs = 1000.0
	maxBinMs      = 3000.0
	// collapseMemory is how long a collapsed range keeps an upstream from more requests.
	// The limit then rises by one range every riseInterval, so that an upstream that
	// has recovered is used in full again. A range with a good throughput is remembered
	// for the life of the upstream: under a long overload it would not be seen again. If
	// it is out of date, because the machine is slower now, the limit leads back to it.
	collapseMemory = 8 * time.Second
	riseInterval   = 2 * time.Second
	// collapseShare is the share of the throughput with fewer requests that more
	// requests must reach. An engine whose step grows linearly gains 7% or more from
	// one range to the next.
	collapseShare = 0.8
	// firstRange is the least range that is compared. An upstream always gets enough
	// requests to be in it, so that it is observed anew.
	firstRange = 2
	// startRange is the range that counts as seen on an upstream that has had no
	// requests yet, from 13 requests on. A range is used only if the one before the last
	// has been seen: otherwise a burst would fill an upstream at once, and there would be
	// nothing to compare its throughput with.
	startRange = 5
	// minUseful is the least number of requests that every upstream gets.
	minUseful = 4.0
)

// crowd finds the number of requests above which an upstream gets less done: it
// compares the throughput, requests by time, between ranges of the number of running
// requests.
type crowd struct {
	bins    [crowdBins]bin
	ceiling int       // first range that is not used; 0 without a limit
	until   time.Time // when the limit rises
	reach   int       // last range that has been seen
	dwelt   float64   // time in ms in the range that is seen next, or above
}

type bin struct {
	requests, ms float32 // means of the number of requests and of the time of a step
	weight       float32 // time in ms on which the means rest, at most maxBinMs
	at           time.Time
}

func binOf(requests float64) int {
	return min(int(binsPerDouble*math.Log2(1+max(requests, 0)/binOffset)), crowdBins-1)
}

// binStart returns the least number of requests of a range.
func binStart(i int) float64 { return binOffset * (math.Exp2(float64(i)/binsPerDouble) - 1) }

// observe records the time in ms of a step, or a call, at a number of requests. The
// weight is the time of the upstream in ms from which it was taken.
func (c *crowd) observe(now time.Time, requests, ms, weight float64) {
	b := &c.bins[binOf(requests)]
	b.weight, b.at = min(b.weight+float32(weight), maxBinMs), now
	gain := min(float32(weight)/b.weight, 1)
	b.requests += gain * (float32(requests) - b.requests)
	b.ms += gain * (float32(ms) - b.ms)
	c.update(now)
}

// see records that the upstream has spent a time in ms with a number of requests.
func (c *crowd) see(requests, ms float64) {
	c.reach = max(c.reach, startRange)
	if binOf(requests) <= c.reach {
		return
	}
	if c.dwelt += ms; c.dwelt >= minBinMs {
		c.reach, c.dwelt = c.reach+1, 0
	}
}

// update sets the limit to the end of the range with the best throughput before the
// first range with a collapsed one, if there is one.
func (c *crowd) update(now time.Time) {
	best, bestAt := 0.0, 0
	for i := range c.bins {
		b := &c.bins[i]
		if b.weight < minBinMs || i < firstRange {
			continue
		}
		throughput := float64(b.requests / b.ms)
		if throughput < collapseShare*best && b.weight >= minCollapseMs && now.Sub(b.at) < collapseMemory {
			c.ceiling, c.until = bestAt+1, b.at.Add(collapseMemory)
			return
		}
		if throughput > best {
			best, bestAt = throughput, i
		}
	}
}

// limit returns the number of requests that the upstream takes well; 0 if none is
// known.
func (c *crowd) limit(now time.Time) float64 {
	if c.ceiling > 0 && !now.Before(c.until) {
		c.ceiling += 1 + int(now.Sub(c.until)/riseInterval)
		c.until = now.Add(riseInterval)
	}
	if c.ceiling >= crowdBins {
		c.ceiling = 0
	}
	if c.ceiling == 0 {
		return 0
	}
	return max(binStart(c.ceiling), minUseful)
}

// isFull reports whether the upstream has all the requests that it takes well.
func (c *crowd) isFull(now time.Time, requests float64) bool {
	if requests >= binStart(max(c.reach, startRange)+2) {
		return true
	}
	limit := c.limit(now)
	return limit > 0 && requests >= limit
}
