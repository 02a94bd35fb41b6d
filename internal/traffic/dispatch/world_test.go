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
	booking  = quetzalhook.NewClass("pitch-booking", 1, quetzalhook.WithTTFTTarget(5*time.Second))
	status   = quetzalhook.NewClass("order-status", 1, quetzalhook.WithTTFTTarget(3*time.Second),
		quetzalhook.WithLateWorthless(), quetzalhook.WithFloorShare(0.05))
	rulebook = quetzalhook.NewClass("rulebook-question", 2, quetzalhook.WithTTFTTarget(20*time.Second),
		quetzalhook.WithMustFinish(), quetzalhook.WithFloorShare(0.2))
	summary = quetzalhook.NewClass("daily-summary", 3, quetzalhook.WithMustFinish(), quetzalhook.WithFloorShare(0.1))
	draft   = quetzalhook.NewClass("draft", 3)
	classes = []quetzalhook.Class{question, booking, status, rulebook, summary, draft}
)

// tokenRate is the tokens/s of one stream of the fake engine.
const tokenRate = 50

// call is one request as the host and the engine see it.
type call struct {
	quetzalhook.Request
	length                   int // tokens of the whole answer
	running, stopping        bool
	upstream                 quetzalhook.UpstreamID
	tokens                   int
	ran                      bool // an attempt may have reached an engine
	preempted                int
	accepted                 bool
	arrived, started, answer time.Time
}

// world runs a Core with a fake placer, host and engines, and checks every
// action against its own record.
type world struct {
	core    *Core
	placer  *fakePlacer
	counts  *invariant.Registry
	now     time.Time
	calls   map[quetzalhook.RequestID]*call
	live    []*call
	serial  int
	leaving map[quetzalhook.UpstreamID]time.Time
	errors  []string
	ended   func(*call, string)
}

func newWorld(slots []int, opts ...Option) *world {
	w := &world{
		placer: newFakePlacer(), counts: invariant.New(nil), now: epoch,
		calls: map[quetzalhook.RequestID]*call{}, leaving: map[quetzalhook.UpstreamID]time.Time{},
		ended: func(*call, string) {},
	}
	w.core = New(w.placer, append([]Option{WithInvariants(w.counts)}, opts...)...)
	var us []quetzalhook.Upstream
	for i, n := range slots {
		us = append(us, testUpstream(fmt.Sprint("u", i), n))
	}
	w.apply(w.core.SetUpstreams(w.now, us), nil)
	return w
}

func testUpstream(id string, slots int) quetzalhook.Upstream {
	return quetzalhook.Upstream{ID: quetzalhook.UpstreamID(id), Models: []quetzalhook.Model{"m"}, Slots: slots}
}

func (w *world) fail(format string, args ...any) {
	w.errors = append(w.errors, fmt.Sprintf("%s: ", w.now.Sub(epoch))+fmt.Sprintf(format, args...))
}

func (w *world) submit(customer string, class quetzalhook.Class, prompt, length int) *call {
	w.serial++
	c := &call{length: length, arrived: w.now, Request: quetzalhook.Request{
		ID: quetzalhook.RequestID(fmt.Sprint("r", w.serial)), Customer: quetzalhook.CustomerID(customer),
		Class: class, Model: "m", PromptTokens: prompt, Repeatable: class != booking,
	}}
	w.calls[c.ID] = c
	w.live = append(w.live, c)
	w.apply(w.core.Submit(w.now, c.Request), c)
	c.accepted = true
	return c
}

func (w *world) end(c *call, end quetzalhook.End) {
	if c.running {
		c.ran = c.ran || end != quetzalhook.EndNotSent
	}
	c.running, c.stopping = false, false
	if end == quetzalhook.EndFinished || end == quetzalhook.EndCallerGone {
		w.drop(c, fmt.Sprint(end))
	}
	w.apply(w.core.End(w.now, c.ID, end), nil)
}

func (w *world) drop(c *call, how string) {
	delete(w.calls, c.ID)
	w.live = slices.DeleteFunc(w.live, func(x *call) bool { return x == c })
	w.ended(c, how)
}

// apply carries out actions; submitted is the call of a Submit.
func (w *world) apply(actions []quetzalhook.Action, submitted *call) {
	for _, a := range actions {
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

func (w *world) start(c *call, a quetzalhook.Action) {
	if c.running || a.Offset != c.tokens || c.ran && !c.Repeatable {
		w.fail("start %+v of %+v", a, *c)
	}
	if since, ok := w.leaving[a.Upstream]; ok && w.now.Sub(since) > leavingGrace {
		w.fail("start on leaving upstream %s", a.Upstream)
	}
	for _, u := range w.placer.upstreams {
		if u.ID == a.Upstream && w.placer.inFlight[u.ID] > u.Slots {
			w.fail("%s holds %d requests, has %d slots", u.ID, w.placer.inFlight[u.ID], u.Slots)
		}
	}
	c.running, c.stopping, c.upstream, c.started = true, false, a.Upstream, w.now
}

func (w *world) cancel(c *call, a quetzalhook.Action) {
	if !c.running || c.stopping || !c.Repeatable {
		w.fail("cancel %+v of %+v", a, *c)
	}
	c.stopping = true
	switch a.Cause {
	case quetzalhook.CausePreempted:
		if c.preempted++; c.preempted > 2 || c.Class.IsUrgent() {
			w.fail("preemption %d of %s", c.preempted, c.Class.Name())
		}
	case quetzalhook.CauseDoomed:
		if c.Class.MustFinish() || c.tokens > 0 {
			w.fail("doomed %+v", *c)
		}
		w.drop(c, "doomed")
	}
}

func (w *world) refuse(c *call, a quetzalhook.Action, submitted bool) {
	if c.running || a.Outcome == quetzalhook.OutcomeNotRun && c.ran {
		w.fail("refusal %+v of %+v", a, *c)
	}
	if c.Class.MustFinish() && !submitted && a.Refusal != quetzalhook.RefuseRetryBudget {
		w.fail("accepted %s refused for %s", c.Class.Name(), a.Refusal)
	}
	w.drop(c, string(a.Refusal))
}

// step lets the engines work for d; they confirm cancels and report tokens
// at its end.
func (w *world) step(d time.Duration) {
	w.now = w.now.Add(d)
	for _, c := range slices.Clone(w.live) {
		switch {
		case !c.running:
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

// setState changes the state of an upstream; the core hears it at once.
func (w *world) setState(i int, state quetzalhook.UpstreamState) {
	us := slices.Clone(w.placer.upstreams)
	us[i].State = state
	if delete(w.leaving, us[i].ID); state != quetzalhook.UpstreamReady {
		w.leaving[us[i].ID] = w.now
	}
	w.apply(w.core.SetUpstreams(w.now, us), nil)
}

// random makes one random move; draw returns a number from 0 to n-1.
func (w *world) random(draw func(n int) int) {
	switch move := draw(16); {
	case move < 6:
		w.submit(fmt.Sprint("c", draw(4)), classes[draw(len(classes))], 10+draw(500), 1+draw(200))
	case move < 11:
		w.step(time.Duration(1+draw(500)) * time.Millisecond)
	case move < 12:
		w.setState(draw(len(w.placer.upstreams)), quetzalhook.UpstreamState(draw(3)))
	case move < 13:
		w.apply(w.core.SetLimits(w.now, map[quetzalhook.CustomerID]quetzalhook.CustomerLimit{
			"c0": {Concurrency: draw(4), Weight: 2}, "c1": {WorkRate: float64(draw(3) * 300), WorkBurst: 1000},
		}), nil)
	case len(w.live) > 0:
		c := w.live[draw(len(w.live))]
		if c.running {
			w.end(c, quetzalhook.End(1+draw(4)))
		} else {
			w.end(c, quetzalhook.EndCallerGone)
		}
	}
}

// finish lets all work end and checks that nothing is left.
func (w *world) finish() {
	for i := range w.placer.upstreams {
		w.setState(i, quetzalhook.UpstreamReady)
	}
	for i := 0; i < 4000 && len(w.live) > 0; i++ {
		w.step(100 * time.Millisecond)
	}
	queued, _ := w.core.load.queued()
	if len(w.live) > 0 || len(w.core.entries) > 0 || queued > 0 || w.core.load.held() > 0 {
		w.fail("%d calls, %d entries, %d queued and %d held are left", len(w.live), len(w.core.entries), queued, w.core.load.held())
	}
	if n := w.counts.Violations(); n > 0 {
		w.fail("%d violations: %v", n, w.counts.Details())
	}
}
