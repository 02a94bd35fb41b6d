package dispatch

import (
	"fmt"
	"slices"
	"time"

	"quetzalhook"
	"quetzalhook/internal/state/invariant"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var (
	question = quetzalhook.NewClass("permit-question", 0, quetzalhook.WithTTFTTarget(2*time.Second))
	alarm    = quetzalhook.NewClass("alarm", 0, quetzalhook.WithTTFTTarget(time.Second), quetzalhook.WithLateWorthless())
	booking  = quetzalhook.NewClass("pitch-booking", 1, quetzalhook.WithTTFTTarget(5*time.Second))
	status   = quetzalhook.NewClass("order-status", 1, quetzalhook.WithTTFTTarget(3*time.Second),
		quetzalhook.WithLateWorthless(), quetzalhook.WithFloorShare(0.05))
	rulebook = quetzalhook.NewClass("rulebook-question", 2, quetzalhook.WithTTFTTarget(20*time.Second),
		quetzalhook.WithMustFinish(), quetzalhook.WithFloorShare(0.2))
	summary = quetzalhook.NewClass("daily-summary", 3, quetzalhook.WithMustFinish(), quetzalhook.WithFloorShare(0.1))
	draft   = quetzalhook.NewClass("draft", 3)
	classes = []quetzalhook.Class{question, alarm, booking, status, rulebook, summary, draft}
)

const (
	// tokenRate is the tokens/s of one stream of the simulated engine.
	tokenRate = 50
	// reportLag is the delay until the core receives an upstream's new state.
	reportLag = 2 * time.Second
)

// call is one request from the point of view of the host and the engine.
type call struct {
	quetzalhook.Request
	length                   int // output tokens of the complete answer
	running, stopping        bool
	upstream                 quetzalhook.UpstreamID
	tokens                   int
	mayHaveRun               bool // an attempt may have reached an engine
	preempted, attempts      int
	accepted                 bool
	arrived, started, answer time.Time
}

// simulation runs a Core with a simulated placer, host and engines, and checks
// every action against its own state.
type simulation struct {
	core      *Core
	placer    *fakePlacer
	counts    *invariant.Registry
	now       time.Time
	calls     map[quetzalhook.RequestID]*call
	active    []*call
	serial    int
	states    map[quetzalhook.UpstreamID]quetzalhook.UpstreamState
	changed   map[quetzalhook.UpstreamID]time.Time // when the state last changed
	deliverAt time.Time                            // when the core receives the new states, or zero
	errors    []string
	log       []string
	ended     func(*call, string)
}

func newSimulation(slots []int, opts ...Option) *simulation {
	w := &simulation{
		placer: newFakePlacer(), counts: invariant.New(nil), now: epoch,
		calls: map[quetzalhook.RequestID]*call{}, states: map[quetzalhook.UpstreamID]quetzalhook.UpstreamState{}, changed: map[quetzalhook.UpstreamID]time.Time{},
		ended: func(*call, string) {},
	}
	w.core = New(w.placer, append([]Option{WithInvariants(w.counts)}, opts...)...)
	var us []quetzalhook.Upstream
	for i, n := range slots {
		us = append(us, testUpstream(fmt.Sprint("u", i), n))
		if i > 1 { // the first two upstreams serve one model, the others two
			us[i].Models = append(us[i].Models, "n")
		}
	}
	w.apply(w.core.SetUpstreams(w.now, us), nil)
	return w
}

func testUpstream(id string, slots int) quetzalhook.Upstream {
	return quetzalhook.Upstream{ID: quetzalhook.UpstreamID(id), Models: []quetzalhook.Model{"m"}, Slots: slots}
}

func (w *simulation) fail(format string, args ...any) {
	w.errors = append(w.errors, fmt.Sprintf("%s: ", w.now.Sub(epoch))+fmt.Sprintf(format, args...))
}

func (w *simulation) submit(customer string, class quetzalhook.Class, prompt, length int) *call {
	return w.submitTo("m", customer, class, prompt, length)
}

func (w *simulation) submitTo(m quetzalhook.Model, customer string, class quetzalhook.Class, prompt, length int) *call {
	w.serial++
	c := &call{length: length, arrived: w.now, Request: quetzalhook.Request{
		ID: quetzalhook.RequestID(fmt.Sprint("r", w.serial)), Customer: quetzalhook.CustomerID(customer),
		Class: class, Model: m, PromptTokens: prompt, MaxTokens: length / 50 * 100, Repeatable: class != booking,
	}}
	w.calls[c.ID] = c
	w.active = append(w.active, c)
	w.apply(w.core.Submit(w.now, c.Request), c)
	c.accepted = true
	return c
}

func (w *simulation) end(c *call, end quetzalhook.End) {
	if c.running {
		c.mayHaveRun = c.mayHaveRun || end != quetzalhook.EndNotSent
	}
	c.running, c.stopping = false, false
	if end == quetzalhook.EndFinished || end == quetzalhook.EndCallerGone {
		w.remove(c, fmt.Sprint(end))
	}
	w.apply(w.core.End(w.now, c.ID, end), nil)
}

func (w *simulation) remove(c *call, how string) {
	delete(w.calls, c.ID)
	w.active = slices.DeleteFunc(w.active, func(x *call) bool { return x == c })
	w.ended(c, how)
}

// apply executes actions; submitted is the call being submitted, or nil.
func (w *simulation) apply(actions []quetzalhook.Action, submitted *call) {
	for _, a := range actions {
		w.log = append(w.log, describe(a))
		c := w.calls[a.Request]
		if c == nil {
			w.fail("%+v for a request that ended", a)
			continue
		}
		switch a.Kind {
		case quetzalhook.ActionStart:
			w.start(c, a)
		case quetzalhook.ActionCancel:
			w.cancel(c, a)
		case quetzalhook.ActionRefuse:
			w.refuse(c, a, c == submitted)
		}
	}
}

func describe(a quetzalhook.Action) string {
	switch a.Kind {
	case quetzalhook.ActionStart:
		return fmt.Sprintf("start %s on %s at %d", a.Request, a.Upstream, a.Offset)
	case quetzalhook.ActionCancel:
		return fmt.Sprintf("cancel %s: %s", a.Request, a.Cause)
	}
	return fmt.Sprintf("refuse %s: %s, %s", a.Request, a.Refusal, a.Outcome)
}

func (w *simulation) start(c *call, a quetzalhook.Action) {
	if c.running || a.Offset != c.tokens || c.mayHaveRun && !c.Repeatable {
		w.fail("start %+v of %+v", a, *c)
	}
	if w.states[a.Upstream] != quetzalhook.UpstreamReady && w.now.Sub(w.changed[a.Upstream]) > reportLag+time.Second {
		w.fail("start on leaving upstream %s", a.Upstream)
	}
	for _, u := range w.placer.upstreams {
		if u.ID == a.Upstream && w.placer.inFlight[u.ID] > u.Slots {
			w.fail("%s holds %d requests, has %d slots", u.ID, w.placer.inFlight[u.ID], u.Slots)
		}
	}
	c.running, c.stopping, c.upstream, c.started = true, false, a.Upstream, w.now
	c.attempts++
}

func (w *simulation) cancel(c *call, a quetzalhook.Action) {
	if !c.running || c.stopping || !c.Repeatable {
		w.fail("cancel %+v of %+v", a, *c)
	}
	c.stopping = true
	switch a.Cause {
	case quetzalhook.CausePreempted:
		if c.preempted++; c.preempted > 2 || c.Class.IsUrgent() {
			w.fail("preemption %d of %s", c.preempted, c.Class.Name())
		}
	case quetzalhook.CauseLate:
		if c.Class.MustFinish() || c.tokens > 0 {
			w.fail("cancelled as late: %+v", *c)
		}
		w.remove(c, "doomed")
	}
}

func (w *simulation) refuse(c *call, a quetzalhook.Action, submitted bool) {
	if c.running || a.Outcome == quetzalhook.OutcomeNotRun && c.mayHaveRun {
		w.fail("refusal %+v of %+v", a, *c)
	}
	if c.Class.MustFinish() && !submitted && (a.Refusal != quetzalhook.RefuseRetryBudget || c.attempts < maxMustFinishFailures) {
		w.fail("accepted %s refused for %s", c.Class.Name(), a.Refusal)
	}
	w.remove(c, string(a.Refusal))
}

// step advances the engines by d. They confirm cancellations and report tokens
// at the end of the step. A leaving engine accepts no new stream; all streams
// of an engine that is gone fail.
func (w *simulation) step(d time.Duration) {
	w.now = w.now.Add(d)
	if !w.deliverAt.IsZero() && !w.now.Before(w.deliverAt) {
		w.deliverStates()
	}
	for _, c := range slices.Clone(w.active) {
		state := w.states[c.upstream]
		switch {
		case !c.running:
		case state == quetzalhook.UpstreamGone && c.tokens > 0:
			w.end(c, quetzalhook.EndBroken)
		case state != quetzalhook.UpstreamReady && !c.started.Before(w.changed[c.upstream]):
			w.end(c, quetzalhook.EndNotSent)
		case c.stopping:
			w.end(c, quetzalhook.EndCancelled)
		case w.now.Sub(c.started) >= 100*time.Millisecond:
			c.tokens = min(c.tokens+max(int(d.Seconds()*tokenRate), 1), c.length)
			if c.answer.IsZero() {
				c.answer = w.now
			}
			w.apply(w.core.Progress(w.now, c.ID, c.tokens), nil)
			if c.tokens >= c.length {
				w.end(c, quetzalhook.EndFinished)
			}
		}
	}
	w.apply(w.core.Tick(w.now), nil)
}

// setState changes the state of an upstream; the core receives it after
// reportLag.
func (w *simulation) setState(i int, state quetzalhook.UpstreamState) {
	id := w.placer.upstreams[i].ID
	w.states[id], w.changed[id] = state, w.now
	if w.deliverAt.IsZero() {
		w.deliverAt = w.now.Add(reportLag)
	}
}

// deliverStates gives the core the current state of all upstreams.
func (w *simulation) deliverStates() {
	w.deliverAt = time.Time{}
	us := slices.Clone(w.placer.upstreams)
	for i := range us {
		us[i].State = w.states[us[i].ID]
	}
	w.apply(w.core.SetUpstreams(w.now, us), nil)
}

// random takes one random step of the simulation; draw returns a number from 0
// to n-1.
func (w *simulation) random(draw func(n int) int) {
	switch move := draw(20); {
	case move < 8:
		m := quetzalhook.Model([]string{"m", "m", "n"}[draw(3)])
		w.submitTo(m, fmt.Sprint("c", draw(4)), classes[draw(len(classes))], 10+draw(500), 1+draw(400))
	case move < 13:
		w.step(time.Duration(1+draw(500)) * time.Millisecond)
	case move < 14:
		w.setState(draw(len(w.placer.upstreams)), quetzalhook.UpstreamState(draw(3)))
	case move < 15:
		w.apply(w.core.SetLimits(w.now, map[quetzalhook.CustomerID]quetzalhook.CustomerLimit{
			"c0": {Concurrency: draw(4), Weight: 2}, "c1": {WorkRate: float64(draw(3) * 300), WorkBurst: 1000},
		}), nil)
	case move < 16:
		w.placer.ejected = quetzalhook.UpstreamID(fmt.Sprint("u", draw(8)))
	case move < 17:
		u := w.placer.upstreams[draw(len(w.placer.upstreams))]
		if u.State == quetzalhook.UpstreamReady {
			w.apply(w.core.ObserveLoad(w.now, quetzalhook.Load{Upstream: u.ID, Leaving: draw(2) == 0}), nil)
		}
	case len(w.active) > 0:
		c := w.active[draw(len(w.active))]
		if c.running {
			w.end(c, quetzalhook.End(1+draw(4)))
		} else {
			w.end(c, quetzalhook.EndCallerGone)
		}
	}
}

// finish lets all requests end and checks that the core keeps no state of them
// and counted no violation.
func (w *simulation) finish() {
	w.placer.ejected = ""
	for i := range w.placer.upstreams {
		w.setState(i, quetzalhook.UpstreamReady)
	}
	for i := 0; i < 4000 && len(w.active) > 0; i++ {
		w.step(100 * time.Millisecond)
	}
	queued, _ := w.core.load.queued()
	if len(w.active) > 0 || len(w.core.entries) > 0 || queued > 0 || w.core.load.held() > 0 {
		w.fail("%d calls, %d entries, %d queued and %d held are left", len(w.active), len(w.core.entries), queued, w.core.load.held())
	}
	if n := w.counts.Violations(); n > 0 {
		w.fail("%d violations: %v", n, w.counts.Details())
	}
}
