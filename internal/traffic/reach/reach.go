// Package reach tracks which upstreams this host can open connections to, and whether it
// can reach any.
//
// A path belongs to a host and an upstream together, so that each host keeps its own
// record, from the connections that it opens for requests. An upstream to which that
// failed is avoided for a short time. Failures at several upstreams without a success make
// the host check: it opens connections to a few upstreams, and it is cut off if all of
// them fail. While it is cut off it goes on trying one upstream a second. The number of
// checks does not depend on the number of upstreams.
//
// The package does no I/O and reads no clock.
package reach

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"quetzalhook"
)

const (
	// minAvoid is how long an upstream is avoided after a connection could not be opened.
	// The time doubles with each further failure, up to maxAvoid.
	minAvoid = 500 * time.Millisecond
	maxAvoid = 4 * time.Second
	// maxDoublings prevents the overflow of the shift that doubles the time.
	maxDoublings = 8
	// suspectUpstreams is the number of upstreams that fail within suspectTime, without a
	// success, after which the host checks whether it is cut off.
	suspectUpstreams = 2
	suspectTime      = 3 * time.Second
	// checkInterval is the shortest time between two checks.
	checkInterval = time.Second
	// checkedUpstreams is the number of upstreams that a check tries. With half of the
	// paths lost, all of them fail in less than one of 100 checks.
	checkedUpstreams = 12
	// maxFailures bounds the upstreams whose failures are kept.
	maxFailures = 256
)

// failure is the record of an upstream to which no connection could be opened.
type failure struct {
	started int64 // of the upstream
	count   int   // in a row
	at      time.Time
	until   time.Time // when the upstream is tried again
}

// Tracker holds the record of one host. It is safe for concurrent use.
type Tracker struct {
	due chan struct{} // see Due

	mu        sync.Mutex
	random    *rand.Rand
	failures  map[quetzalhook.UpstreamID]failure
	opened    time.Time // when a connection was last opened
	checkedAt time.Time
	reaching  context.Context // ends when the host is cut off
	cutOff    context.CancelFunc
}

// Option sets one property of a Tracker.
type Option func(*Tracker)

// WithRandom sets the source by which the upstreams to check are chosen.
func WithRandom(r *rand.Rand) Option { return func(t *Tracker) { t.random = r } }

// New returns the tracker of a host that reaches its upstreams.
func New(opts ...Option) *Tracker {
	t := &Tracker{random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), due: make(chan struct{}, 1), failures: make(map[quetzalhook.UpstreamID]failure)}
	t.reaching, t.cutOff = context.WithCancel(context.Background())
	for _, o := range opts {
		o(t)
	}
	return t
}

// Opened records that a connection to an upstream was opened.
func (t *Tracker) Opened(now time.Time, id quetzalhook.UpstreamID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.opened = now
	delete(t.failures, id)
	if t.reaching.Err() != nil {
		// The failures were those of this host.
		clear(t.failures)
		t.reaching, t.cutOff = context.WithCancel(context.Background())
	}
}

// Failed records that no connection to an upstream could be opened.
func (t *Tracker) Failed(now time.Time, id quetzalhook.UpstreamID, started int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f, known := t.failures[id]
	if !known && len(t.failures) >= maxFailures {
		t.forgetOldest()
	}
	if f.started != started {
		f = failure{started: started}
	}
	// Connections that were opened at the same time fail together.
	if now.After(f.until) || f.count == 0 {
		f.until = now.Add(min(minAvoid<<min(f.count, maxDoublings), maxAvoid))
		f.count++
	}
	f.at = now
	t.failures[id] = f
	if t.suspects(now) {
		select {
		case t.due <- struct{}{}:
		default:
		}
	}
}

// forgetOldest removes the failure that is the longest ago. The caller holds t.mu.
func (t *Tracker) forgetOldest() {
	var oldest quetzalhook.UpstreamID
	for id, f := range t.failures {
		if oldest == "" || f.at.Before(t.failures[oldest].at) {
			oldest = id
		}
	}
	delete(t.failures, oldest)
}

// suspects reports whether the host may be cut off. The caller holds t.mu.
func (t *Tracker) suspects(now time.Time) bool {
	n := 0
	for _, f := range t.failures {
		if f.at.After(t.opened) && now.Sub(f.at) < suspectTime {
			n++
		}
	}
	return n >= suspectUpstreams
}

// Due receives a value when a check may be due.
func (t *Tracker) Due() <-chan struct{} { return t.due }

// Check returns the upstreams to which the host must try to open a connection now, out of
// a list. Their results are reported by Opened or Failed, and then Conclude is called.
func (t *Tracker) Check(now time.Time, list []quetzalhook.Upstream) []quetzalhook.Upstream {
	t.mu.Lock()
	defer t.mu.Unlock()
	isCutOff := t.reaching.Err() != nil
	if now.Sub(t.checkedAt) < checkInterval || !isCutOff && !t.suspects(now) {
		return nil
	}
	t.checkedAt = now
	if isCutOff {
		return t.sample(list, 1)
	}
	return t.sample(list, checkedUpstreams)
}

// Conclude ends a check that was begun at a given time, and in which all connections
// failed. It reports whether the host was found to be cut off.
func (t *Tracker) Conclude(begun time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.reaching.Err() != nil || !t.opened.Before(begun) {
		return false
	}
	t.cutOff()
	return true
}

// sample returns up to n random upstreams that take requests, of as many services as
// possible: all upstreams of one may have failed. The caller holds t.mu.
func (t *Tracker) sample(list []quetzalhook.Upstream, n int) []quetzalhook.Upstream {
	byService := make(map[string][]quetzalhook.Upstream)
	var services []string
	for _, i := range t.random.Perm(len(list)) {
		u := list[i]
		if !u.IsOpen() {
			continue
		}
		if byService[u.Service] == nil {
			services = append(services, u.Service)
		}
		if len(byService[u.Service]) < n {
			byService[u.Service] = append(byService[u.Service], u)
		}
	}
	var picked []quetzalhook.Upstream
	for round := 0; round < n; round++ {
		for _, s := range services {
			if len(picked) < n && round < len(byService[s]) {
				picked = append(picked, byService[s][round])
			}
		}
	}
	return picked
}

// IsCutOff reports whether the host reaches no upstreams.
func (t *Tracker) IsCutOff() bool { return t.Reaching().Err() != nil }

// Reaching returns a context that ends when the host is found to be cut off. It has ended
// if the host is cut off now.
func (t *Tracker) Reaching() context.Context {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reaching
}

// Avoids reports whether this host avoids an upstream now.
func (t *Tracker) Avoids(now time.Time, id quetzalhook.UpstreamID, started int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	f, ok := t.failures[id]
	return ok && f.started == started && now.Before(f.until) && t.reaching.Err() == nil
}

// Barred returns the upstreams that this host avoids now. A host that is cut off avoids
// none, since it can prefer none.
func (t *Tracker) Barred(now time.Time) []quetzalhook.Bar {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.reaching.Err() != nil {
		return nil
	}
	var list []quetzalhook.Bar
	for id, f := range t.failures {
		switch {
		case now.Before(f.until):
			list = append(list, quetzalhook.Bar{Upstream: id, Started: f.started, For: f.until.Sub(now)})
		case now.Sub(f.at) > 2*maxAvoid:
			delete(t.failures, id)
		}
	}
	return list
}
