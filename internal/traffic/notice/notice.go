// Package notice keeps what upstreams ask of this host in their answers: that it
// sends no more requests, since they leave.
//
// A notice binds the host that was given it, whoever places its requests. It holds
// for one start of an upstream, and ends with the next one. Of a leaving upstream the
// hosts also tell each other.
//
// The package does no I/O and reads no clock; callers pass a time that never
// decreases.
package notice

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"quetzalhook"
)

// unlistedTime is how long the notice of an upstream that is in no list of upstreams
// is kept: a list may be incomplete while the store recovers.
const unlistedTime = time.Minute

// Left is an upstream that leaves, and how long ago a host learned it.
type Left struct {
	_        struct{} `cbor:",toarray"`
	Upstream quetzalhook.UpstreamID
	Started  int64
	Age      time.Duration
}

// Change is a notice that is new to this host.
type Change struct {
	Upstream quetzalhook.UpstreamID
	// From is the host that was given the notice; empty for this one.
	From quetzalhook.HostID
	// Age is how long ago that was.
	Age time.Duration
}

// entry holds the notices of one start of an upstream.
type entry struct {
	started    int64
	leftAt     time.Time // when it said that it leaves; zero if it did not
	unlistedAt time.Time // when it was first missing in a list; zero if it was listed
}

// Notices holds the notices of all upstreams. It is safe for concurrent use.
type Notices struct {
	report func(Change)
	count  atomic.Int64 // of entries, so that a host without notices takes no lock

	mu      sync.Mutex
	list    []quetzalhook.Upstream // sorted by ID
	entries map[quetzalhook.UpstreamID]*entry
	changed chan struct{} // closed when an upstream begins to leave
}

// Option sets one property of a Notices.
type Option func(*Notices)

// WithReport sets a function that is called with each change. It must not call n.
func WithReport(f func(Change)) Option { return func(n *Notices) { n.report = f } }

// New returns a Notices without any notice.
func New(opts ...Option) *Notices {
	n := &Notices{
		report: func(Change) {}, entries: make(map[quetzalhook.UpstreamID]*entry), changed: make(chan struct{}),
	}
	for _, opt := range opts {
		opt(n)
	}
	return n
}

// Observe records an answer that this host has received from an upstream. It reports
// whether the upstream leaves and the host did not know.
func (n *Notices) Observe(now time.Time, id quetzalhook.UpstreamID, started int64, v quetzalhook.Verdict) bool {
	if !v.Leaving {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leave(now, id, started, Change{Upstream: id})
}

// Learn records the upstreams of which another host has told.
func (n *Notices) Learn(now time.Time, from quetzalhook.HostID, list []Left) {
	if len(list) == 0 {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range list {
		n.leave(now, l.Upstream, l.Started, Change{Upstream: l.Upstream, From: from, Age: max(l.Age, 0)})
	}
}

// leave records that an upstream leaves. The caller holds n.mu.
func (n *Notices) leave(now time.Time, id quetzalhook.UpstreamID, started int64, c Change) bool {
	e := n.entry(id, started)
	if e == nil || !e.leftAt.IsZero() {
		return false
	}
	e.leftAt = now.Add(-c.Age)
	close(n.changed)
	n.changed = make(chan struct{})
	n.report(c)
	return true
}

// entry returns the entry for a start of an upstream, or nil if a later start is
// known. The caller holds n.mu.
func (n *Notices) entry(id quetzalhook.UpstreamID, started int64) *entry {
	e := n.entries[id]
	if i, ok := n.find(id); e != nil && e.started > started || ok && n.list[i].Started > started {
		return nil
	}
	if e == nil || e.started < started {
		e = &entry{started: started}
		n.entries[id] = e
		n.count.Store(int64(len(n.entries)))
	}
	return e
}

// find returns the place of an upstream in the list. The caller holds n.mu.
func (n *Notices) find(id quetzalhook.UpstreamID) (int, bool) {
	return slices.BinarySearchFunc(n.list, id, func(u quetzalhook.Upstream, id quetzalhook.UpstreamID) int {
		return strings.Compare(string(u.ID), string(id))
	})
}

// Allows reports whether this host may send a request to an upstream now.
func (n *Notices) Allows(_ time.Time, id quetzalhook.UpstreamID, started int64) bool {
	if n.count.Load() == 0 {
		return true
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	e := n.entries[id]
	return e == nil || e.started < started || e.leftAt.IsZero()
}

// Mark returns the list with the state UpstreamLeaving for those upstreams that have
// said so. The list itself is not changed.
func (n *Notices) Mark(list []quetzalhook.Upstream) []quetzalhook.Upstream {
	if n.count.Load() == 0 {
		return list
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	marked := list
	for i, u := range list {
		if e := n.entries[u.ID]; e == nil || e.started < u.Started || e.leftAt.IsZero() || u.State != quetzalhook.UpstreamReady {
			continue
		}
		if &marked[0] == &list[0] {
			marked = append([]quetzalhook.Upstream(nil), list...)
		}
		marked[i].State = quetzalhook.UpstreamLeaving
	}
	return marked
}

// Retain takes a new list of upstreams, sorted by ID, which the caller does not
// change afterwards. It drops the notices of those that have
// started again since, and of those that have not been listed for unlistedTime.
func (n *Notices) Retain(now time.Time, list []quetzalhook.Upstream) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.list = list
	for id, e := range n.entries {
		i, ok := n.find(id)
		switch {
		case ok && list[i].Started > e.started:
			delete(n.entries, id)
		case ok:
			e.unlistedAt = time.Time{}
		case e.unlistedAt.IsZero():
			e.unlistedAt = now
		case now.Sub(e.unlistedAt) >= unlistedTime:
			delete(n.entries, id)
		}
	}
	n.count.Store(int64(len(n.entries)))
}

// Left returns the upstreams that have said within the last d that they leave; 0
// stands for any time.
func (n *Notices) Left(now time.Time, d time.Duration) []Left {
	if n.count.Load() == 0 {
		return nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	var list []Left
	for id, e := range n.entries {
		if age := now.Sub(e.leftAt); !e.leftAt.IsZero() && (d == 0 || age <= d) {
			list = append(list, Left{Upstream: id, Started: e.started, Age: age})
		}
	}
	return list
}

// Changed returns a channel that is closed when an upstream begins to leave.
func (n *Notices) Changed() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.changed
}
