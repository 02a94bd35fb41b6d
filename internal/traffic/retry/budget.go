// Package retry limits how often requests are retried.
//
// When upstreams fail or refuse many requests at once, unlimited retries would
// add load to the remaining capacity of the service. All hosts share one
// budget for each service. Part of it is proportional to the number of
// requests, and each host applies that part to its own requests. The rest is
// fixed, and each host uses an equal fraction of it. Hosts therefore need not
// exchange messages about the budget. The package does no I/O, starts no
// goroutine and reads no clock.
package retry

import "time"

// buckets is the number of parts into which the window is divided. The window
// slides by one part at a time.
const buckets = 10

// Budget counts requests and retries by service over a sliding window. It is
// not safe for concurrent use.
type Budget struct {
	ratio    float64 // retries allowed for each request in the window
	slack    float64 // additional retries allowed in each window over all hosts
	window   time.Duration
	hosts    func() int // current number of hosts
	services map[string]*counts
}

// counts holds the requests and retries of one service in the last window.
type counts struct {
	requests [buckets]int
	retries  [buckets]int
	bucket   int64 // number of the current bucket since the Unix epoch
}

// New returns a Budget. For each service and over all hosts it allows, in each
// window, ratio times the number of requests plus slack retries. The function
// hosts returns the number of hosts that share the slack.
func New(ratio, slack float64, window time.Duration, hosts func() int) *Budget {
	return &Budget{ratio: ratio, slack: slack, window: window, hosts: hosts, services: make(map[string]*counts)}
}

// advance returns the counts of a service after clearing the buckets that have
// left the window.
func (b *Budget) advance(now time.Time, name string) *counts {
	c := b.services[name]
	bucket := now.UnixNano() / int64(b.window/buckets)
	if c == nil {
		c = &counts{bucket: bucket}
		b.services[name] = c
	}
	for steps := min(bucket-c.bucket, buckets); steps > 0; steps-- {
		i := (bucket - steps + 1) % buckets
		c.requests[i], c.retries[i] = 0, 0
	}
	c.bucket = max(c.bucket, bucket)
	return c
}

// Count records a new request.
func (b *Budget) Count(now time.Time, service string) {
	c := b.advance(now, service)
	c.requests[c.bucket%buckets]++
}

// Take reports whether the budget allows one more retry, and records it if so.
func (b *Budget) Take(now time.Time, service string) bool {
	c := b.advance(now, service)
	requests, retries := 0, 0
	for i := range buckets {
		requests += c.requests[i]
		retries += c.retries[i]
	}
	// The factor lowers the limit by the share of one bucket. The counts cover
	// whole buckets, but the budget applies to every window: one that begins
	// inside a bucket extends over one more bucket than is counted here.
	limit := (b.ratio*float64(requests) + b.slack/float64(max(b.hosts(), 1))) * (buckets - 1) / buckets
	if float64(retries+1) > limit {
		return false
	}
	c.retries[c.bucket%buckets]++
	return true
}

// Return gives back a retry that was recorded at the given time and not sent.
func (b *Budget) Return(now, takenAt time.Time, service string) {
	c := b.advance(now, service)
	bucket := takenAt.UnixNano() / int64(b.window/buckets)
	if i := bucket % buckets; c.bucket-bucket < buckets && c.retries[i] > 0 {
		c.retries[i]--
	}
}
