// Package notice keeps what upstreams ask of this host in their answers: that it
// sends no more requests, since they leave, or none for a while.
//
// A notice binds the host that was given it, whoever places its requests. It holds
// for one start of an upstream, and ends with the next one. Of a leaving upstream the
// hosts also tell each other. A pause concerns one host only. After it the host
// returns with one request, and then with twice as many in each step, since other
// upstreams may have paused until the same time.
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

const (
	// maxReturnStep is the longest step of a return, and returnShare the share of a
	// pause that a step takes if that is shorter.
	maxReturnStep = 100 * time.Millisecond
	returnShare   = 0.1
	// returnSteps is the number of steps after which a host has returned.
	returnSteps = 6
	// leavingBar is the time for which a request is kept from an upstream that leaves:
	// longer than any request waits.
	leavingBar = time.Hour
	// unlistedTime is how long the notice of an upstream that is in no list of
	// upstreams is kept: a list may be incomplete while the store recovers.
	unlistedTime = time.Minute
)

// Left is an upstream that leaves, and how long ago a host learned it.
type Left struct {
	_        struct{} `cbor:",toarray"`
	Upstream quetzalhook.UpstreamID
	Started  int64
	Age      time.Duration
}

// Word is what a notice asks.
type Word string

// The words of notices.
const (
	Leaving Word = "leaving"
	Pause   Word = "pause"
)

// Change is a notice that is new to this host.
type Change struct {
	Upstream quetzalhook.UpstreamID
	Word     Word
	// For is the length of a pause, and Text its value in the answer if that was cut or
	// is no number.
	For  time.Duration
	Text string
	// From is the host that was given the notice; empty for this one.
	From quetzalhook.HostID
	// Age is how long ago that was.
	Age time.Duration
}

// entry holds the notices of one start of an upstream.
type entry struct {
	started    int64
	leftAt     time.Time // when it said that it leaves; zero if it did not
	until      time.Time // end of the pause; zero if there is none
	step       time.Duration
	returned   int       // requests since the end of the pause
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
	if !v.Leaving && v.Pause == 0 && v.PauseText == "" {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.pause(now, id, started, v)
	return v.Leaving && n.leave(now, id, started, Change{Upstream: id, Word: Leaving})
}

// pause records the pause that an answer names. Of several pauses the one that ends
// last counts, since each binds until its own end. The caller holds n.mu.
func (n *Notices) pause(now time.Time, id quetzalhook.UpstreamID, started int64, v quetzalhook.Verdict) {
	begins := false
	if v.Pause > 0 {
		e := n.entry(id, started)
		if e == nil {
			return
		}
		begins = !now.Before(e.until)
		if until := now.Add(v.Pause); until.After(e.until) {
			e.until, e.returned = until, 0
			e.step = max(min(maxReturnStep, time.Duration(returnShare*float64(v.Pause))), time.Millisecond)
		}
	}
	if begins || v.PauseText != "" {
		n.report(Change{Upstream: id, Word: Pause, For: v.Pause, Text: v.PauseText})
	}
}

// Learn records the upstreams of which another host has told.
func (n *Notices) Learn(now time.Time, from quetzalhook.HostID, list []Left) {
	if len(list) == 0 {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range list {
		n.leave(now, l.Upstream, l.Started, Change{Upstream: l.Upstream, Word: Leaving, From: from, Age: max(l.Age, 0)})
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

// wait returns the time until a request may be sent; 0 means now.
func (e *entry) wait(now time.Time) time.Duration {
	switch {
	case !e.leftAt.IsZero():
		return leavingBar
	case now.Before(e.until):
		return e.until.Sub(now)
	case e.hasReturned(now):
		return 0
	}
	step := now.Sub(e.until) / e.step
	if e.returned < 2<<step-1 {
		return 0
	}
	return e.until.Add((step + 1) * e.step).Sub(now)
}

// hasReturned reports whether the pause and the return after it are over.
func (e *entry) hasReturned(now time.Time) bool {
	return e.until.IsZero() || now.Sub(e.until) >= returnSteps*e.step
}

// binding returns the entry that binds a start of an upstream, or nil. The caller
// holds n.mu.
func (n *Notices) binding(id quetzalhook.UpstreamID, started int64) *entry {
	if e := n.entries[id]; e != nil && e.started >= started {
		return e
	}
	return nil
}

// Wait returns the time until this host may send a request to an upstream; 0 means
// now.
func (n *Notices) Wait(now time.Time, id quetzalhook.UpstreamID, started int64) time.Duration {
	if n.count.Load() == 0 {
		return 0
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if e := n.binding(id, started); e != nil {
		return e.wait(now)
	}
	return 0
}

// Allows reports whether this host may send a request to an upstream now.
func (n *Notices) Allows(now time.Time, id quetzalhook.UpstreamID, started int64) bool {
	return n.Wait(now, id, started) == 0
}

// Take reports whether this host may send a request to an upstream now, and counts it
// if so.
func (n *Notices) Take(now time.Time, id quetzalhook.UpstreamID, started int64) bool {
	if n.count.Load() == 0 {
		return true
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	e := n.binding(id, started)
	if e == nil {
		return true
	}
	if e.wait(now) > 0 {
		return false
	}
	e.returned++
	if e.hasReturned(now) {
		delete(n.entries, id)
		n.count.Store(int64(len(n.entries)))
	}
	return true
}

// Barred returns the upstreams to which this host may send no request now.
func (n *Notices) Barred(now time.Time) []quetzalhook.Bar {
	if n.count.Load() == 0 {
		return nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	var list []quetzalhook.Bar
	for id, e := range n.entries {
		if wait := e.wait(now); wait > 0 {
			list = append(list, quetzalhook.Bar{Upstream: id, Started: e.started, For: wait})
		}
	}
	return list
}

// Counts returns the number of upstreams that leave, and of those that pause.
func (n *Notices) Counts(now time.Time) (leaving, paused int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, e := range n.entries {
		switch {
		case !e.leftAt.IsZero():
			leaving++
		case now.Before(e.until):
			paused++
		}
	}
	return leaving, paused
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
		case ok && list[i].Started > e.started, e.leftAt.IsZero() && e.hasReturned(now):
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
