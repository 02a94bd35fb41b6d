package quetzalhook

import "time"

// Starts knows which upstreams have just started, and take few requests for some time.
type Starts interface {
	// Bound returns the number of requests that an upstream may get from all hosts in any
	// second while it is cold, and when that ends. The number is 0 if the upstream needs
	// no such care.
	Bound(id UpstreamID) (perSecond float64, until time.Time)
	// Left returns how long an upstream still counts as cold by what also other hosts
	// must take for true; 0 if it does not.
	Left(now time.Time, id UpstreamID) time.Duration
	// Observe records that an answer of a start of an upstream tells that it stays cold
	// for d; 0 tells nothing.
	Observe(now time.Time, id UpstreamID, started int64, d time.Duration)
	// Lost records that an upstream could not be reached, or broke a connection.
	Lost(now time.Time, id UpstreamID)
	// Answered records that an upstream has answered a request that was sent at a time.
	Answered(now time.Time, id UpstreamID, sent time.Time)
}
