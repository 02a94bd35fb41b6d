// Package retry bounds how often requests are sent again.
//
// It answers a load in which upstreams fail or refuse many requests at once:
// without a bound, sending them again adds load to what is left of the
// service. All hosts share one allowance for each service and each hosts takes
// an equal part of its fixed share, so that no message between hosts is needed.
// It is pure: no I/O, goroutine or clock.
package retry

import "time"

// buckets is the number of parts into which the window is divided. The window
// slides by a part at a time.
const buckets = 10

// Budget counts requests and repeats by service. It is not safe for concurrent
// use.
type Budget struct {
	ratio    float64
	slack    float64
	window   time.Duration
	hosts    func() int
	services map[string]*counts
}

// counts holds the requests and repeats of the last window.
type counts struct {
	requests [buckets]int
	repeats  [buckets]int
	at       int64 // number of the current bucket
}

// New returns a budget that allows, in each window and over all hosts, ratio
// times the requests plus slack repeats for each service. Hosts returns the
// number of hosts that share the slack.
func New(ratio, slack float64, window time.Duration, hosts func() int) *Budget {
	return &Budget{ratio: ratio, slack: slack, window: window, hosts: hosts, services: make(map[string]*counts)}
}

// service returns the counts of a service, moved on to now.
func (b *Budget) service(now time.Time, name string) *counts {
	c := b.services[name]
	bucket := now.UnixNano() / int64(b.window/buckets)
	if c == nil {
		c = &counts{at: bucket}
		b.services[name] = c
	}
	for steps := min(bucket-c.at, buckets); steps > 0; steps-- {
		i := (bucket - steps + 1) % buckets
		c.requests[i], c.repeats[i] = 0, 0
	}
	c.at = max(c.at, bucket)
	return c
}

// Count records a request.
func (b *Budget) Count(now time.Time, service string) {
	c := b.service(now, service)
	c.requests[c.at%buckets]++
}

// Take reports whether a request may be sent once more, and records it.
func (b *Budget) Take(now time.Time, service string) bool {
	c := b.service(now, service)
	requests, repeats := 0, 0
	for i := range buckets {
		requests += c.requests[i]
		repeats += c.repeats[i]
	}
	// The window of the users slides; at its edges it can see the repeats of one
	// bucket more.
	limit := (b.ratio*float64(requests) + b.slack/float64(max(b.hosts(), 1))) * (buckets - 1) / buckets
	if float64(repeats+1) > limit {
		return false
	}
	c.repeats[c.at%buckets]++
	return true
}
