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
	length                       int // tokens of the complete answer
	running, stopping            bool
	upstream                     quetzalhook.UpstreamID
	tokens                       int
	mayHaveRun                   bool // an attempt may have reached an engine
	preempted, attempts          int
	accepted                     bool
	arrived, started, firstToken time.Time
}

// simulation runs a Core with a simulated placer, host and engines, and checks
// every action against its own state.
type simulation struct {
	core       *Core
	placer     *fakePlacer
	invariants *invariant.Registry
	now        time.Time
	calls      map[quetzalhook.RequestID]*call
	active     []*call
	serial     int
	states     map[quetzalhook.UpstreamID]quetzalhook.UpstreamState
	changed    map[quetzalhook.UpstreamID]time.Time // when the state last changed
	deliverAt  time.Time                            // when the core receives the new states, or zero
	errors     []string
	log        []string
	ended      func(*call, string)
}

func newSimulation(slots []int, opts ...Option) *simulation {
	sim := &simulation{
		placer: newFakePlacer(), invariants: invariant.New(nil), now: epoch,
		calls: map[quetzalhook.RequestID]*call{}, states: map[quetzalhook.UpstreamID]quetzalhook.UpstreamState{}, changed: map[quetzalhook.UpstreamID]time.Time{},
		ended: func(*call, string) {},
	}
	sim.core = New(sim.placer, append([]Option{WithInvariants(sim.invariants)}, opts...)...)
	var us []quetzalhook.Upstream
	for i, n := range slots {
		us = append(us, testUpstream(fmt.Sprint("u", i), n))
		if i > 1 { // the first two upstreams serve one model, the others two
			us[i].Models = append(us[i].Models, "n")
		}
	}
	sim.apply(sim.core.SetUpstreams(sim.now, us), nil)
	return sim
}

func testUpstream(id string, slots int) quetzalhook.Upstream {
	return quetzalhook.Upstream{ID: quetzalhook.UpstreamID(id), Models: []quetzalhook.Model{"m"}, Slots: slots}
}

func (sim *simulation) fail(format string, args ...any) {
	sim.errors = append(sim.errors, fmt.Sprintf("%s: ", sim.now.Sub(epoch))+fmt.Sprintf(format, args...))
}

func (sim *simulation) submit(customer string, class quetzalhook.Class, prompt, length int) *call {
	return sim.submitTo("m", customer, class, prompt, length)
}

func (sim *simulation) submitTo(m quetzalhook.Model, customer string, class quetzalhook.Class, prompt, length int) *call {
	sim.serial++
	c := &call{length: length, arrived: sim.now, Request: quetzalhook.Request{
		ID: quetzalhook.RequestID(fmt.Sprint("r", sim.serial)), Customer: quetzalhook.CustomerID(customer),
		Class: class, Model: m, PromptTokens: prompt, MaxTokens: length / 50 * 100, Repeatable: class != booking,
	}}
	sim.calls[c.ID] = c
	sim.active = append(sim.active, c)
	sim.apply(sim.core.Submit(sim.now, c.Request), c)
	c.accepted = true
	return c
}

func (sim *simulation) end(c *call, end quetzalhook.End) {
	if c.running {
		c.mayHaveRun = c.mayHaveRun || end != quetzalhook.EndNotSent
	}
	c.running, c.stopping = false, false
	if end == quetzalhook.EndFinished || end == quetzalhook.EndCallerGone {
		sim.remove(c, fmt.Sprint(end))
	}
	sim.apply(sim.core.End(sim.now, c.ID, end), nil)
}

func (sim *simulation) remove(c *call, how string) {
	delete(sim.calls, c.ID)
	sim.active = slices.DeleteFunc(sim.active, func(x *call) bool { return x == c })
	sim.ended(c, how)
}

// apply executes actions; submitted is the call being submitted, or nil.
func (sim *simulation) apply(actions []quetzalhook.Action, submitted *call) {
	for _, a := range actions {
		sim.log = append(sim.log, describe(a))
		c := sim.calls[a.Request]
		if c == nil {
			sim.fail("%+v for a request that ended", a)
			continue
		}
		switch a.Kind {
		case quetzalhook.ActionStart:
			sim.start(c, a)
		case quetzalhook.ActionCancel:
			sim.cancel(c, a)
		case quetzalhook.ActionRefuse:
			sim.refuse(c, a, c == submitted)
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

func (sim *simulation) start(c *call, a quetzalhook.Action) {
	if c.running || a.Offset != c.tokens || c.mayHaveRun && !c.Repeatable {
		sim.fail("start %+v of %+v", a, *c)
	}
	if sim.states[a.Upstream] != quetzalhook.UpstreamReady && sim.now.Sub(sim.changed[a.Upstream]) > reportLag+time.Second {
		sim.fail("start on leaving upstream %s", a.Upstream)
	}
	for _, u := range sim.placer.upstreams {
		if u.ID == a.Upstream && sim.placer.inFlight[u.ID] > u.Slots {
			sim.fail("%s holds %d requests, has %d slots", u.ID, sim.placer.inFlight[u.ID], u.Slots)
		}
	}
	c.running, c.stopping, c.upstream, c.started = true, false, a.Upstream, sim.now
	c.attempts++
}

func (sim *simulation) cancel(c *call, a quetzalhook.Action) {
	if !c.running || c.stopping || !c.Repeatable {
		sim.fail("cancel %+v of %+v", a, *c)
	}
	c.stopping = true
	switch a.Cause {
	case quetzalhook.CausePreempted:
		if c.preempted++; c.preempted > 2 || c.Class.IsUrgent() {
			sim.fail("preemption %d of %s", c.preempted, c.Class.Name())
		}
	case quetzalhook.CauseLate:
		if c.Class.MustFinish() || c.tokens > 0 {
			sim.fail("cancelled as late: %+v", *c)
		}
		sim.remove(c, "doomed")
	}
}

func (sim *simulation) refuse(c *call, a quetzalhook.Action, submitted bool) {
	if c.running || a.Outcome == quetzalhook.OutcomeNotRun && c.mayHaveRun {
		sim.fail("refusal %+v of %+v", a, *c)
	}
	if c.Class.MustFinish() && !submitted && (a.Refusal != quetzalhook.RefuseRetryBudget || c.attempts < maxMustFinishFailures) {
		sim.fail("accepted %s refused for %s", c.Class.Name(), a.Refusal)
	}
	sim.remove(c, string(a.Refusal))
}

// step advances the engines by d. They confirm cancellations and report tokens
// at the end of the step. A leaving engine accepts no new stream; all streams
// of an engine that is gone fail.
func (sim *simulation) step(d time.Duration) {
	sim.now = sim.now.Add(d)
	if !sim.deliverAt.IsZero() && !sim.now.Before(sim.deliverAt) {
		sim.deliverStates()
	}
	for _, c := range slices.Clone(sim.active) {
		state := sim.states[c.upstream]
		switch {
		case !c.running:
		case state == quetzalhook.UpstreamGone && c.tokens > 0:
			sim.end(c, quetzalhook.EndBroken)
		case state != quetzalhook.UpstreamReady && !c.started.Before(sim.changed[c.upstream]):
			sim.end(c, quetzalhook.EndNotSent)
		case c.stopping:
			sim.end(c, quetzalhook.EndCancelled)
		case sim.now.Sub(c.started) >= 100*time.Millisecond:
			c.tokens = min(c.tokens+max(int(d.Seconds()*tokenRate), 1), c.length)
			if c.firstToken.IsZero() {
				c.firstToken = sim.now
			}
			sim.apply(sim.core.Progress(sim.now, c.ID, c.tokens), nil)
			if c.tokens >= c.length {
				sim.end(c, quetzalhook.EndFinished)
			}
		}
	}
	sim.apply(sim.core.Tick(sim.now), nil)
}

// setState changes the state of an upstream; the core receives it after
// reportLag.
func (sim *simulation) setState(i int, state quetzalhook.UpstreamState) {
	id := sim.placer.upstreams[i].ID
	sim.states[id], sim.changed[id] = state, sim.now
	if sim.deliverAt.IsZero() {
		sim.deliverAt = sim.now.Add(reportLag)
	}
}

// deliverStates gives the core the current state of all upstreams.
func (sim *simulation) deliverStates() {
	sim.deliverAt = time.Time{}
	us := slices.Clone(sim.placer.upstreams)
	for i := range us {
		us[i].State = sim.states[us[i].ID]
	}
	sim.apply(sim.core.SetUpstreams(sim.now, us), nil)
}

// random takes one random step of the simulation; draw returns a number from 0
// to n-1.
func (sim *simulation) random(draw func(n int) int) {
	switch choice := draw(20); {
	case choice < 8:
		m := quetzalhook.Model([]string{"m", "m", "n"}[draw(3)])
		sim.submitTo(m, fmt.Sprint("c", draw(4)), classes[draw(len(classes))], 10+draw(500), 1+draw(400))
	case choice < 13:
		sim.step(time.Duration(1+draw(500)) * time.Millisecond)
	case choice < 14:
		sim.setState(draw(len(sim.placer.upstreams)), quetzalhook.UpstreamState(draw(3)))
	case choice < 15:
		sim.apply(sim.core.SetLimits(sim.now, map[quetzalhook.CustomerID]quetzalhook.CustomerLimit{
			"c0": {Concurrency: draw(4), Weight: 2}, "c1": {WorkRate: float64(draw(3) * 300), WorkBurst: 1000},
		}), nil)
	case choice < 16:
		sim.placer.ejected = quetzalhook.UpstreamID(fmt.Sprint("u", draw(8)))
	case choice < 17:
		u := sim.placer.upstreams[draw(len(sim.placer.upstreams))]
		if u.State == quetzalhook.UpstreamReady {
			sim.apply(sim.core.ObserveLoad(sim.now, quetzalhook.Load{Upstream: u.ID, Leaving: draw(2) == 0}), nil)
		}
	case len(sim.active) > 0:
		c := sim.active[draw(len(sim.active))]
		if c.running {
			sim.end(c, quetzalhook.End(1+draw(4)))
		} else {
			sim.end(c, quetzalhook.EndCallerGone)
		}
	}
}

// finish lets all requests end and checks that the core keeps no state of them
// and counted no violation.
func (sim *simulation) finish() {
	sim.placer.ejected = ""
	for i := range sim.placer.upstreams {
		sim.setState(i, quetzalhook.UpstreamReady)
	}
	for i := 0; i < 4000 && len(sim.active) > 0; i++ {
		sim.step(100 * time.Millisecond)
	}
	queued, _ := sim.core.load.queued()
	if len(sim.active) > 0 || len(sim.core.entries) > 0 || queued > 0 || sim.core.load.held() > 0 {
		sim.fail("%d calls, %d entries, %d queued and %d held are left", len(sim.active), len(sim.core.entries), queued, sim.core.load.held())
	}
	if n := sim.invariants.Violations(); n > 0 {
		sim.fail("%d violations: %v", n, sim.invariants.Details())
	}
}
