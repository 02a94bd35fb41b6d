// Package trial compares scheduling policies in a discrete-event simulation in
// virtual time.
//
// Several hosts, each with its own Policy, share simulated engines. The hosts
// exchange their demand by gossip with a delay and get load reports with a
// delay. The engines run requests by continuous batching with slots and limited
// memory, continue partial answers, and have a prefix cache whose events arrive
// late or are lost. Engines can be slow, crash or be reclaimed by the platform.
// The simulation has no processes, connections or packets, only the order and the
// time of calls to the Policy.
package trial

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"quetzalhook"
	"quetzalhook/internal/state/invariant"
)

// Env holds what a Constructor needs to build the policy of one host.
type Env struct {
	Host       quetzalhook.HostID
	Hosts      int
	Region     quetzalhook.Region
	Seed       uint64
	Invariants quetzalhook.Invariants
	// Rules counts the checks that placement makes of its own decisions.
	Rules quetzalhook.Invariants
}

// Constructor builds the policy of one host.
type Constructor func(Env) quetzalhook.Policy

// epoch is the start of virtual time. Points in time in this package are
// durations since epoch.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// event is a function call at a virtual time. Events with the same time run in
// the order in which they were scheduled.
type event struct {
	at  time.Duration
	seq int
	run func()
}

// eventHeap implements heap.Interface with the earliest event first.
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

// simulation is the state of one run.
type simulation struct {
	cfg         Config
	row         Row
	now         time.Duration
	events      eventHeap
	seq         int
	engines     []*engine
	byID        map[quetzalhook.UpstreamID]*engine
	hosts       []*host
	requests    []*request
	submitted   int // jobs submitted to engines so far
	unfinished  int // requests that have not ended
	reportDelay time.Duration
	listed      []quetzalhook.Upstream // the platform's list of upstreams as the hosts see it
	rng         *rand.Rand
	registry    *invariant.Registry
	ruleCounts  ruleCounts
	cancelled   int // cancelled attempts
}

// ruleCounts counts checks and violations by the name of the rule.
type ruleCounts map[string]*invariant.Count

// Check implements quetzalhook.Invariants.
func (r ruleCounts) Check(name string, ok bool, _ ...any) {
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

func (s *simulation) clock() time.Time { return epoch.Add(s.now) }

// schedule runs a function at a virtual time, or now if that time has passed.
func (s *simulation) schedule(t time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, event{at: max(t, s.now), seq: s.seq, run: run})
}

func (s *simulation) scheduleAfter(d time.Duration, run func()) { s.schedule(s.now+d, run) }

// scheduleEvery runs f at start and then once in each period until the run is
// over.
func (s *simulation) scheduleEvery(start, period time.Duration, f func()) {
	s.schedule(start, func() {
		f()
		if !s.isOver() {
			s.scheduleEvery(s.now+period, period, f)
		}
	})
}

// isOver reports whether no more requests arrive and all have ended.
func (s *simulation) isOver() bool { return s.now >= s.cfg.Duration && s.unfinished == 0 }

// send runs f after the network delay between an engine and a host.
func (s *simulation) send(e *engine, h *host, f func()) { s.scheduleAfter(distance(e.Upstream, h), f) }

// One-way network delays.
const (
	sameRegionDelay  = 250 * time.Microsecond
	crossRegionDelay = 12 * time.Millisecond
)

// distance returns the one-way network delay between an upstream and a host.
func distance(u quetzalhook.Upstream, h *host) time.Duration {
	if u.Region == h.region {
		return sameRegionDelay
	}
	return crossRegionDelay
}

// maxDrainTime is how long a run goes on after the last arrival if requests do
// not end.
const maxDrainTime = 240 * time.Second

// runEvents runs events until the run is over or maxDrainTime has passed.
func (s *simulation) runEvents() {
	for len(s.events) > 0 && !s.isOver() && s.now < s.cfg.Duration+maxDrainTime {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
}
