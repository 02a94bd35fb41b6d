package trial

import (
	"time"

	"quetzalhook"
	"quetzalhook/internal/state/invariant"
)

const (
	tickPeriod         = 10 * time.Millisecond
	gossipPeriod       = 250 * time.Millisecond
	gossipDelay        = 15 * time.Millisecond
	reportPeriod       = 100 * time.Millisecond
	defaultReportDelay = 50 * time.Millisecond
	listDelay          = time.Second      // delay of the platform's list of upstreams
	leavingGrace       = 3 * time.Second  // how long a host may start requests on a leaving upstream; the invariant allows a few seconds
	maxPreemptions     = 2                // of one request, the same as queue.MaxPreemptions
	cancelDelay        = time.Millisecond // until the stream of a cancelled attempt is closed
)

// request is one caller's request, its progress and its result.
type request struct {
	quetzalhook.Request
	host        *host
	arrived     time.Duration
	output      int           // length of the whole answer in tokens
	serviceTime time.Duration // duration of a service call

	received int // tokens relayed to the caller
	// perSecond counts the relayed tokens in each second of the run. Its first
	// entry is for firstSecond.
	perSecond    []int
	firstSecond  int
	firstTokenAt time.Duration
	lastTokenAt  time.Duration
	done         bool
	refused      quetzalhook.RefuseKind
	attempts     int
	started      time.Duration                   // start of the last attempt
	current      *job                            // the attempt in progress
	stopping     bool                            // the attempt is cancelled but has not ended
	preemptions  int                             // how often it was preempted by a more urgent request
	reached      map[quetzalhook.UpstreamID]bool // upstreams that an attempt has reached
}

// host simulates one host: it carries out the actions of its Policy and checks
// the invariants.
type host struct {
	sim    *simulation
	id     quetzalhook.HostID
	region quetzalhook.Region
	policy quetzalhook.Policy
	peers  map[quetzalhook.HostID]peerState
	open   map[quetzalhook.RequestID]*request // requests that have not ended
	// leavingSince holds when this host learned that an upstream is leaving.
	leavingSince map[quetzalhook.UpstreamID]time.Duration
}

// peerState is the last demand received from another host.
type peerState struct {
	demand quetzalhook.Demand
	at     time.Duration
}

func (h *host) submit(r *request) {
	h.open[r.ID] = r
	h.apply(h.policy.Submit(h.sim.clock(), r.Request))
}

func (h *host) tick() { h.apply(h.policy.Tick(h.sim.clock())) }

// gossip sends the host's demand to the other hosts and passes the latest
// demand received from each of them to the policy.
func (h *host) gossip() {
	d := h.policy.Demand(h.sim.clock())
	for _, o := range h.sim.hosts {
		if o != h {
			h.sim.scheduleAfter(gossipDelay, func() { o.peers[h.id] = peerState{demand: d, at: h.sim.now} })
		}
	}
	list := make([]quetzalhook.PeerDemand, 0, len(h.peers))
	for _, o := range h.sim.hosts {
		if p, ok := h.peers[o.id]; ok {
			list = append(list, quetzalhook.PeerDemand{Host: o.id, Age: h.sim.now - p.at, Demand: p.demand})
		}
	}
	h.apply(h.policy.ObservePeers(h.sim.clock(), list))
}

// setUpstreams passes a copy of the platform's list to the policy, with the
// distances from this host.
func (h *host) setUpstreams(list []quetzalhook.Upstream) {
	own := append([]quetzalhook.Upstream(nil), list...)
	for i := range own {
		own[i].Distance = distance(own[i], h)
		if own[i].State != quetzalhook.UpstreamReady {
			h.recordLeaving(own[i].ID)
		} else {
			delete(h.leavingSince, own[i].ID)
		}
	}
	h.apply(h.policy.SetUpstreams(h.sim.clock(), own))
}

func (h *host) recordLeaving(id quetzalhook.UpstreamID) {
	if _, ok := h.leavingSince[id]; !ok {
		h.leavingSince[id] = h.sim.now
	}
}

// observeLoad passes a load report to the policy.
func (h *host) observeLoad(l quetzalhook.Load) {
	if l.Leaving {
		h.recordLeaving(l.Upstream)
	}
	h.apply(h.policy.ObserveLoad(h.sim.clock(), l))
}

// relay passes the first n tokens of an attempt on to the caller. Tokens that
// were relayed before are not counted again.
func (h *host) relay(j *job, n int) {
	r := h.open[j.id]
	if r == nil || r.current != j || r.stopping {
		return
	}
	total := r.output - j.outputTokens + n
	if total <= r.received {
		return
	}
	if r.received == 0 {
		r.firstTokenAt = h.sim.now
	}
	r.countTokens(h.sim.now, total-r.received)
	r.received, r.lastTokenAt = total, h.sim.now
	h.apply(h.policy.Progress(h.sim.clock(), r.ID, total))
}

// end reports the end of an attempt to the policy. EndFinished also closes the
// request.
func (h *host) end(j *job, end quetzalhook.End) {
	r := h.open[j.id]
	if r == nil || r.current != j {
		return
	}
	r.current = nil
	if r.stopping {
		return // cancel reports the end itself
	}
	if end == quetzalhook.EndFinished {
		h.sim.check(invariant.WholeAnswer, r.received == r.output, "request", r.ID, "received", r.received)
		h.close(r)
	}
	h.apply(h.policy.End(h.sim.clock(), r.ID, end))
}

// close marks the request as done and removes it from h.open.
func (h *host) close(r *request) {
	if !r.done {
		r.done = true
		h.sim.unfinished--
	}
	delete(h.open, r.ID)
}

// apply carries out the actions of the policy.
func (h *host) apply(actions []quetzalhook.Action) {
	for _, a := range actions {
		r := h.open[a.Request]
		if r == nil {
			h.sim.check(invariant.LegalTransition, false, "action", a.Kind, "request", a.Request)
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

// start sends a new attempt of the request to an upstream and checks that the
// policy may start it.
func (h *host) start(r *request, a quetzalhook.Action) {
	sim := h.sim
	e := sim.byID[a.Upstream]
	since, leaving := h.leavingSince[a.Upstream]
	sim.check(invariant.LeavingUpstream, !leaving || sim.now-since < leavingGrace, "request", r.ID, "upstream", a.Upstream)
	sim.check(invariant.LegalTransition, r.current == nil && !r.stopping, "start", r.ID)
	sim.check(invariant.WholeAnswer, a.Offset == r.received, "request", r.ID, "offset", a.Offset, "received", r.received)
	sim.check(invariant.AtMostOnce, r.Repeatable || len(r.reached) == 0, "request", r.ID)
	r.attempts++
	r.started = sim.now
	j := &job{
		id: r.ID, attempt: r.attempts, host: h, tier: r.Class.Tier(), prefixes: r.Prefixes, prefixTokens: r.PrefixTokens,
		promptTokens: r.PromptTokens + r.received, outputTokens: r.output - r.received, serviceTime: r.serviceTime,
	}
	r.current = j
	sim.send(e, h, func() {
		if !e.up {
			sim.send(e, h, func() { h.end(j, quetzalhook.EndNotSent) })
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

// cancel stops the current attempt. CauseLate ends the request; for other causes
// the policy gets EndCancelled after cancelDelay.
func (h *host) cancel(r *request, a quetzalhook.Action) {
	sim := h.sim
	sim.check(invariant.UrgentNotShed, a.Cause != quetzalhook.CausePreempted || !r.Class.IsUrgent(), "request", r.ID)
	sim.check(invariant.NoStarvation, a.Cause != quetzalhook.CauseLate || !r.Class.MustFinish(), "request", r.ID)
	sim.cancelled++
	if a.Cause == quetzalhook.CausePreempted {
		r.preemptions++
		sim.check(invariant.LegalTransition, r.preemptions <= maxPreemptions, "request", r.ID, "preempted", r.preemptions)
	}
	if j := r.current; j != nil {
		e := sim.byID[a.Upstream]
		sim.send(e, h, func() { e.cancel(j.id, j.attempt) })
	}
	if a.Cause == quetzalhook.CauseLate {
		r.current = nil
		h.close(r)
		return
	}
	r.stopping = true
	sim.scheduleAfter(cancelDelay, func() {
		r.stopping, r.current = false, nil
		h.apply(h.policy.End(sim.clock(), r.ID, quetzalhook.EndCancelled))
	})
}

// refuse ends the request with a refusal and checks that it is allowed.
func (h *host) refuse(r *request, a quetzalhook.Action) {
	sim := h.sim
	sim.check(invariant.TrueRefusal, a.Outcome != quetzalhook.OutcomeNotRun || len(r.reached) == 0, "request", r.ID)
	if r.Class.IsUrgent() {
		sim.check(invariant.UrgentNotShed, a.Refusal == quetzalhook.RefuseLimit || !h.hasPreemptible(), "request", r.ID, "kind", a.Refusal)
	}
	r.refused = a.Refusal
	r.current = nil
	h.close(r)
}

// hasPreemptible reports whether the host could preempt a running request for an
// urgent one: a non-urgent class has more slots than its floor and a request
// that was preempted fewer than maxPreemptions times. The 2 slots subtracted are
// that of the request that would be preempted, and one because the floor is
// rounded.
func (h *host) hasPreemptible() bool {
	running, preemptible := map[quetzalhook.Class]int{}, map[quetzalhook.Class]int{}
	total := 0
	for _, r := range h.open {
		if r.current == nil || r.Model != model {
			continue
		}
		total++
		if r.stopping {
			return false // a slot is being freed
		}
		running[r.Class]++
		if r.preemptions < maxPreemptions {
			preemptible[r.Class]++
		}
	}
	for class, n := range preemptible {
		floor := class.FloorShare() * float64(total)
		if !class.IsUrgent() && n > 0 && float64(running[class]-2) > floor {
			return true
		}
	}
	return false
}
