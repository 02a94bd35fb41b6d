// Package trial compares policies in virtual time against a small fake of the
// engine interface.
//
// Several hosts, each with its own Policy, share the engines. They gossip
// their demand with a delay and get load reports that lag. The fake has
// continuous batching with slots and limited memory, a prefix cache with late
// and lost events, resume, stragglers, crashes and reclaims. It is not a
// cluster simulator: there are no processes, connections or packets, only the
// order and the time of calls to the Policy.
package trial

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"quetzalhook"
	"quetzalhook/internal/state/invariant"
)

// Env is what a policy of one host is built from.
type Env struct {
	Host       quetzalhook.HostID
	Hosts      int
	Region     quetzalhook.Region
	Seed       uint64
	Invariants quetzalhook.Invariants
	// Rules counts the rules that placement checks on itself.
	Rules quetzalhook.Invariants
}

// Constructor builds the policy of one host.
type Constructor func(Env) quetzalhook.Policy

// epoch is the virtual start time; durations in this package count from it.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// event is a call at a virtual time; events of one time run in order of
// creation.
type event struct {
	at  time.Duration
	seq int
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }

func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = event{}
	*h = (*h)[:last]
	return e
}

// world is the state of one run.
type world struct {
	cfg       Config
	row       Row
	now       time.Duration
	events    eventHeap
	seq       int
	engines   []*engine
	byID      map[quetzalhook.UpstreamID]*engine
	hosts     []*host
	requests  []*request
	arrivals  int
	open      int // requests without an end
	lag       time.Duration
	listed    []quetzalhook.Upstream // the platform's list, which lags
	rng       *rand.Rand
	registry  *invariant.Registry
	rules     rules
	cancelled int
}

// rules counts the checks and violations of rules by name.
type rules map[string]*invariant.Count

// Check implements quetzalhook.Invariants.
func (r rules) Check(name string, ok bool, _ ...any) {
	c := r[name]
	if c == nil {
		c = &invariant.Count{Name: name}
		r[name] = c
	}
	c.Checked++
	if !ok {
		c.Violated++
	}
}

func (w *world) clock() time.Time { return epoch.Add(w.now) }

func (w *world) at(t time.Duration, run func()) {
	w.seq++
	heap.Push(&w.events, event{at: max(t, w.now), seq: w.seq, run: run})
}

func (w *world) after(d time.Duration, run func()) { w.at(w.now+d, run) }

// every runs f each period until the run is over.
func (w *world) every(start, period time.Duration, f func()) {
	w.at(start, func() {
		f()
		if !w.over() {
			w.every(w.now+period, period, f)
		}
	})
}

func (w *world) over() bool { return w.now >= w.cfg.Duration && w.open == 0 }

// send runs f after the network delay between an engine and a host.
func (w *world) send(e *engine, h *host, f func()) { w.after(distance(e.Upstream, h), f) }

const (
	sameZone    = 250 * time.Microsecond
	crossRegion = 12 * time.Millisecond
)

func distance(u quetzalhook.Upstream, h *host) time.Duration {
	if u.Region == h.region {
		return sameZone
	}
	return crossRegion
}

// drainLimit ends a run whose long work does not finish.
const drainLimit = 240 * time.Second

// loop runs events until all requests have ended.
func (w *world) loop() {
	for len(w.events) > 0 && !w.over() && w.now < w.cfg.Duration+drainLimit {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.run()
	}
}
