package trial

import (
	"time"

	"quetzalhook"
	"quetzalhook/internal/state/invariant"
)

const (
	tickPeriod     = 10 * time.Millisecond
	gossipPeriod   = 250 * time.Millisecond
	gossipDelay    = 15 * time.Millisecond
	reportPeriod   = 100 * time.Millisecond
	reportLag      = 50 * time.Millisecond
	listLag        = time.Second
	leavingGrace   = 3 * time.Second  // invariant leaving-upstream: "after a few seconds"
	maxPreemptions = 2                // of one request, by design
	cancelDelay    = time.Millisecond // until the stream of a cancelled attempt is closed
)

// request is one caller's request and what became of it.
type request struct {
	quetzalhook.Request
	host    *host
	arrived time.Duration
	output  int           // tokens of the whole answer
	busy    time.Duration // time of a service call

	received int // tokens relayed to the caller
	// perSecond counts the relayed tokens by second of the run, from
	// firstSecond on.
	perSecond   []int
	firstSecond int
	first       time.Duration
	last        time.Duration
	done        bool
	refused     quetzalhook.RefuseKind
	attempts    int
	started     time.Duration // last start
	current     *job          // the attempt in progress
	stopping    bool
	preempted   int                             // how often it lost its slot to more urgent work
	reached     map[quetzalhook.UpstreamID]bool // upstreams that got any part of it
}

// host runs one Policy.
type host struct {
	w      *world
	id     quetzalhook.HostID
	region quetzalhook.Region
	policy quetzalhook.Policy
	peers  map[quetzalhook.HostID]peerState
	live   map[quetzalhook.RequestID]*request
	// leavingSince holds when this host was told that an upstream leaves.
	leavingSince map[quetzalhook.UpstreamID]time.Duration
}

type peerState struct {
	demand quetzalhook.Demand
	at     time.Duration
}

func (h *host) submit(r *request) {
	h.live[r.ID] = r
	h.apply(h.policy.Submit(h.w.clock(), r.Request))
}

func (h *host) tick() { h.apply(h.policy.Tick(h.w.clock())) }

// gossip sends the host's demand to the others and hands it the latest
// demand of each.
func (h *host) gossip() {
	d := h.policy.Demand(h.w.clock())
	for _, o := range h.w.hosts {
		if o != h {
			h.w.after(gossipDelay, func() { o.peers[h.id] = peerState{demand: d, at: h.w.now} })
		}
	}
	list := make([]quetzalhook.PeerDemand, 0, len(h.peers))
	for _, o := range h.w.hosts {
		if p, ok := h.peers[o.id]; ok {
			list = append(list, quetzalhook.PeerDemand{Host: o.id, Age: h.w.now - p.at, Demand: p.demand})
		}
	}
	h.apply(h.policy.ObservePeers(h.w.clock(), list))
}

func (h *host) setUpstreams(list []quetzalhook.Upstream) {
	own := append([]quetzalhook.Upstream(nil), list...)
	for i := range own {
		own[i].Distance = distance(own[i], h)
		if own[i].State != quetzalhook.UpstreamReady {
			h.noteLeaving(own[i].ID)
		} else {
			delete(h.leavingSince, own[i].ID)
		}
	}
	h.apply(h.policy.SetUpstreams(h.w.clock(), own))
}

func (h *host) noteLeaving(id quetzalhook.UpstreamID) {
	if _, ok := h.leavingSince[id]; !ok {
		h.leavingSince[id] = h.w.now
	}
}

func (h *host) observe(l quetzalhook.Load) {
	if l.Leaving {
		h.noteLeaving(l.Upstream)
	}
	h.apply(h.policy.ObserveLoad(h.w.clock(), l))
}

// progress relays tokens of an attempt; n counts from its start.
func (h *host) progress(j *job, n int) {
	r := h.live[j.id]
	if r == nil || r.current != j || r.stopping {
		return
	}
	total := r.output - j.want + n
	if total <= r.received {
		return
	}
	if r.received == 0 {
		r.first = h.w.now
	}
	r.count(h.w.now, total-r.received)
	r.received, r.last = total, h.w.now
	h.apply(h.policy.Progress(h.w.clock(), r.ID, total))
}

func (h *host) end(j *job, end quetzalhook.End) {
	r := h.live[j.id]
	if r == nil || r.current != j {
		return
	}
	r.current = nil
	if r.stopping {
		return // the cancel is confirmed on its own
	}
	if end == quetzalhook.EndFinished {
		h.w.check(invariant.WholeAnswer, r.received == r.output, "request", r.ID, "received", r.received)
		h.close(r)
	}
	h.apply(h.policy.End(h.w.clock(), r.ID, end))
}

func (h *host) close(r *request) {
	if !r.done {
		r.done = true
		h.w.open--
	}
	delete(h.live, r.ID)
}

func (h *host) apply(actions []quetzalhook.Action) {
	for _, a := range actions {
		r := h.live[a.Request]
		if r == nil {
			h.w.check(invariant.LegalTransition, false, "action", a.Kind, "request", a.Request)
			continue
		}
		switch a.Kind {
		case quetzalhook.ActionStart:
			h.start(r, a)
		case quetzalhook.ActionCancel:
			h.cancel(r, a)
		case quetzalhook.ActionRefuse:
			h.refuse(r, a)
		}
	}
}

func (h *host) start(r *request, a quetzalhook.Action) {
	w := h.w
	e := w.byID[a.Upstream]
	since, leaving := h.leavingSince[a.Upstream]
	w.check(invariant.LeavingUpstream, !leaving || w.now-since < leavingGrace, "request", r.ID, "upstream", a.Upstream)
	w.check(invariant.LegalTransition, r.current == nil && !r.stopping, "start", r.ID)
	w.check(invariant.WholeAnswer, a.Offset == r.received, "request", r.ID, "offset", a.Offset, "received", r.received)
	w.check(invariant.AtMostOnce, r.Repeatable || len(r.reached) == 0, "request", r.ID)
	r.attempts++
	r.started = w.now
	j := &job{
		id: r.ID, attempt: r.attempts, host: h, tier: r.Class.Tier(), prefixes: r.Prefixes, step: r.PrefixTokens,
		prompt: r.PromptTokens + r.received, want: r.output - r.received, busy: r.busy,
	}
	r.current = j
	w.send(e, h, func() {
		if !e.up {
			w.send(e, h, func() { h.end(j, quetzalhook.EndNotSent) })
			return
		}
		if r.reached == nil {
			r.reached = make(map[quetzalhook.UpstreamID]bool)
		}
		r.reached[e.ID] = true
		if r.current == j && !r.stopping {
			e.submit(j)
		}
	})
}

func (h *host) cancel(r *request, a quetzalhook.Action) {
	w := h.w
	w.check(invariant.UrgentNotShed, a.Cause != quetzalhook.CausePreempted || !r.Class.IsUrgent(), "request", r.ID)
	w.check(invariant.NoStarvation, a.Cause != quetzalhook.CauseLate || !r.Class.MustFinish(), "request", r.ID)
	w.cancelled++
	if a.Cause == quetzalhook.CausePreempted {
		r.preempted++
		w.check(invariant.LegalTransition, r.preempted <= maxPreemptions, "request", r.ID, "preempted", r.preempted)
	}
	if j := r.current; j != nil {
		e := w.byID[a.Upstream]
		w.send(e, h, func() { e.cancel(j.id, j.attempt) })
	}
	if a.Cause == quetzalhook.CauseLate {
		r.current = nil
		h.close(r)
		return
	}
	r.stopping = true
	w.after(cancelDelay, func() {
		r.stopping, r.current = false, nil
		h.apply(h.policy.End(w.clock(), r.ID, quetzalhook.EndCancelled))
	})
}

func (h *host) refuse(r *request, a quetzalhook.Action) {
	w := h.w
	w.check(invariant.TrueRefusal, a.Outcome != quetzalhook.OutcomeNotRun || len(r.reached) == 0, "request", r.ID)
	if r.Class.IsUrgent() {
		w.check(invariant.UrgentNotShed, a.Refusal == quetzalhook.RefuseLimit || !h.runsLower(), "request", r.ID, "kind", a.Refusal)
	}
	r.refused = a.Refusal
	r.current = nil
	h.close(r)
}

// runsLower reports whether the host runs lower-tier work that could be
// stopped for an urgent request: a class with more than its floor and a
// request that was not stopped twice before. One slot for each class allows
// for rounding of the floor.
func (h *host) runsLower() bool {
	running, free := map[quetzalhook.Class]int{}, map[quetzalhook.Class]int{}
	total := 0
	for _, r := range h.live {
		if r.current == nil || r.Model != model {
			continue
		}
		total++
		if r.stopping {
			return false // a slot is being freed
		}
		running[r.Class]++
		if r.preempted < maxPreemptions {
			free[r.Class]++
		}
	}
	for class, n := range free {
		floor := class.FloorShare() * float64(total)
		if !class.IsUrgent() && n > 0 && float64(running[class]-2) > floor {
			return true
		}
	}
	return false
}
