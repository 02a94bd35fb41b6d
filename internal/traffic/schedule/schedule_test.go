package schedule

import (
	"fmt"
	"testing"
	"time"

	"quetzalhook"
)

// roundRobin is the baseline policy: each request is sent immediately to the next
// engine, with the same urgency.
type roundRobin struct {
	list []quetzalhook.Upstream
	next int
}

func (r *roundRobin) SetUpstreams(_ time.Time, list []quetzalhook.Upstream) []Decision {
	r.list = list
	return nil
}

func (r *roundRobin) Submit(_ time.Time, q quetzalhook.Request) []Decision {
	r.next++
	return []Decision{{Request: q.ID, Upstream: r.list[r.next%len(r.list)]}}
}

func (r *roundRobin) Progress(time.Time, quetzalhook.RequestID, int) []Decision { return nil }

func (r *roundRobin) Observe(time.Time, quetzalhook.RequestID, int) {}

func (r *roundRobin) End(time.Time, quetzalhook.RequestID, quetzalhook.AttemptEnd) []Decision {
	return nil
}

func (r *roundRobin) Tick(time.Time) []Decision { return nil }

var (
	chat = quetzalhook.NewClass("chat", 0, quetzalhook.WithTTFTTarget(500*time.Millisecond), quetzalhook.WithGapTarget(250*time.Millisecond))
	// Callers of draft requests time out sooner than those of digest requests.
	draft  = quetzalhook.NewClass("draft", 1, quetzalhook.WithTTFTTarget(800*time.Millisecond), quetzalhook.WithGapTarget(400*time.Millisecond))
	digest = quetzalhook.NewClass("digest", 2, quetzalhook.WithTTFTTarget(2500*time.Millisecond), quetzalhook.WithGapTarget(time.Second))
)

// typicalLoad returns a steady load of three classes on the given number of
// engines.
func typicalLoad(engines int) scenario {
	return scenario{
		classes: []classLoad{
			{class: digest, rate: 19, shared: 13300, sharedParts: 136, unshared: 3700, output: 120, callerTimeout: 12 * time.Second},
			{class: draft, rate: 8, shared: 6300, sharedParts: 37, unshared: 2900, output: 50, callerTimeout: 6 * time.Second},
			{class: chat, rate: 19, shared: 350, sharedParts: 88, unshared: 1100, output: 170, callerTimeout: 15 * time.Second},
		},
		engines: engines, length: 40 * time.Second, memory: 500_000, slots: 64,
	}
}

// total returns the sum of a count over all classes.
func total(results map[quetzalhook.ClassName]*result, count func(*result) int) int {
	n := 0
	for _, r := range results {
		n += count(r)
	}
	return n
}

// Guards against missed targets although the engines have enough capacity: without
// bursts, 90% of each class must be in target, and no request refused.
func TestSteadyLoad(t *testing.T) {
	got := newSimulation(typicalLoad(18), New(), 1).run()
	for name, r := range got {
		if r.inTargetShare() < 0.9 {
			t.Errorf("%s: got %.3f in target, want at least 0.9", name, r.inTargetShare())
		}
		if r.refused > 0 {
			t.Errorf("%s: got %d refused, want none", name, r.refused)
		}
	}
}

// Guards against a scheduler that is no better than round robin: with it, the
// engines must process at most half as many prompt tokens, and more answers must
// be in target.
func TestAgainstRoundRobin(t *testing.T) {
	tested := newSimulation(typicalLoad(18), New(), 2)
	testedResult := tested.run()
	baseline := newSimulation(typicalLoad(18), &roundRobin{}, 2)
	baselineResult := baseline.run()
	if got, want := tested.prefilledTokens(), baseline.prefilledTokens()/2; got > want {
		t.Errorf("prompt tokens processed: got %d, want at most %d", got, want)
	}
	inTarget := func(r *result) int { return r.inTarget }
	if got, than := total(testedResult, inTarget), total(baselineResult, inTarget); got <= than {
		t.Errorf("answers in target: got %d, want more than %d", got, than)
	}
}

// Guards against engines that fail every request immediately and attract more
// requests because they look idle. While a third of the engines fails, 90% of the
// requests must be served; afterwards all engines must be used again.
func TestFailingEngines(t *testing.T) {
	l := typicalLoad(18)
	l.failing, l.failFrom, l.failTo = 6, 5*time.Second, 30*time.Second
	sim := newSimulation(l, New(), 1)
	for name, r := range sim.run() {
		if got, want := float64(r.served())/float64(r.submitted), 0.9; got < want {
			t.Errorf("%s: got %.3f served, want at least %.1f", name, got, want)
		}
	}
	for i := range l.failing {
		id := quetzalhook.UpstreamID(fmt.Sprintf("e%d", i))
		if sim.engines[id].lastRun < l.failTo {
			t.Errorf("engine %s: not used after it failed", id)
		}
	}
}

// Guards against a burst of a lower tier that slows urgent requests: chats must be
// in target at least as often as any other class, and no chat or draft refused.
func TestBurstOfDigests(t *testing.T) {
	l := typicalLoad(12)
	l.bursts = []burst{{class: "digest", from: 5 * time.Second, to: 14 * time.Second, factor: 4}}
	for _, seed := range []uint64{1, 2, 3} {
		got := newSimulation(l, New(), seed).run()
		if got["chat"].inTargetShare() < 0.95 {
			t.Errorf("seed %d: chats in target: got %.3f, want at least 0.95", seed, got["chat"].inTargetShare())
		}
		for name, r := range got {
			if r.inTargetShare() > got["chat"].inTargetShare() {
				t.Errorf("seed %d: got %s in target more often than chats: %.3f, %.3f", seed, name, r.inTargetShare(), got["chat"].inTargetShare())
			}
		}
		if n := got["chat"].refused + got["draft"].refused; n > 0 {
			t.Errorf("seed %d: got %d urgent requests refused, want none", seed, n)
		}
	}
}

// Guards against requests that are refused or time out although they could be
// served late. In a burst that the engines can serve late, 90% of the digests must
// be served, and 80% of the largest ones.
func TestLateWorkIsServed(t *testing.T) {
	l := typicalLoad(10)
	l.bursts = []burst{{class: "digest", from: 18 * time.Second, to: 23 * time.Second, factor: 4}}
	got := newSimulation(l, New(), 4).run()["digest"]
	if share := float64(got.served()) / float64(got.submitted); share < 0.9 {
		t.Errorf("digests served: got %.3f, want at least 0.9 (%d refused)", share, got.refused)
	}
	if share := float64(got.largeServed) / float64(got.largeSubmitted); share < 0.8 {
		t.Errorf("large digests served: got %.3f, want at least 0.8", share)
	}
}

// Guards against a less urgent class that is served at the cost of a more urgent
// one. At twice the load that the engines can serve, no chat or draft may be
// refused while digests are served.
func TestOverloadFollowsTiers(t *testing.T) {
	l := typicalLoad(4)
	l.bursts = []burst{{class: "digest", from: 0, to: 40 * time.Second, factor: 3}}
	got := newSimulation(l, New(), 5).run()
	if n := got["chat"].refused + got["draft"].refused; n > 0 {
		t.Errorf("urgent requests refused: got %d, want none", n)
	}
	if got["digest"].served() == 0 {
		t.Error("digests served: got none, want some")
	}
	if got["chat"].inTargetShare() < 0.9 {
		t.Errorf("chats in target: got %.3f, want at least 0.9", got["chat"].inTargetShare())
	}
}

// Guards against an overload in which the engines serve late requests first while
// new ones wait until they are late too. Of the digests served in an overload,
// more than half must be in target.
func TestOverloadServesInTarget(t *testing.T) {
	for _, engines := range []int{6, 8} {
		l := typicalLoad(engines)
		l.bursts = []burst{
			{class: "digest", from: 5 * time.Second, to: 14 * time.Second, factor: 2.5},
			{class: "chat", from: 16 * time.Second, to: 22 * time.Second, factor: 2.5},
		}
		for _, seed := range []uint64{1, 2, 3} {
			got := newSimulation(l, New(), seed).run()["digest"]
			if got.inTarget <= got.late {
				t.Errorf("%d engines, seed %d: got %d digests in target and %d late, want more in target", engines, seed, got.inTarget, got.late)
			}
		}
	}
}

// Guards against a scheduler that treats engines as idle although they run requests
// of hosts that cannot reach it. With a third of the requests placed by another
// scheduler, more answers must be in target than without Observe, 95% of the chats
// must be in target, and no chat or draft refused.
func TestHostsCutOff(t *testing.T) {
	l := typicalLoad(9)
	l.otherShare = 0.35
	got, blind := newSimulation(l, New(), 1), newSimulation(l, blindScheduler{New()}, 1)
	blind.other = blindScheduler{New()}
	inTarget := func(r *result) int { return r.inTarget }
	gotResult, blindResult := got.run(), blind.run()
	if got, want := total(gotResult, inTarget), total(blindResult, inTarget); got <= want {
		t.Errorf("answers in target: got %d, want more than the %d without the counts that engines report", got, want)
	}
	if inTargetShare := gotResult["chat"].inTargetShare(); inTargetShare < 0.95 {
		t.Errorf("chats in target: got %.3f, want at least 0.95", inTargetShare)
	}
	if n := gotResult["chat"].refused + gotResult["draft"].refused; n > 0 {
		t.Errorf("urgent requests refused: got %d, want none", n)
	}
}

// blindScheduler ignores the request counts that engines report.
type blindScheduler struct{ *Scheduler }

func (blindScheduler) Observe(time.Time, quetzalhook.RequestID, int) {}

// Guards against a slow engine that gets as many requests as the others.
func TestSlowEngine(t *testing.T) {
	l := typicalLoad(12)
	l.slowness = 5
	got := newSimulation(l, New(), 6).run()
	for name, r := range got {
		if r.inTargetShare() < 0.9 {
			t.Errorf("%s: got %.3f in target beside a slow engine, want at least 0.9", name, r.inTargetShare())
		}
	}
}

// Guards against requests that are sent to removed engines, and against a queue
// that does not recover after the loss of a third of the engines.
func TestLostZone(t *testing.T) {
	l := typicalLoad(18)
	l.lostEngines, l.lostAt = 6, 15*time.Second
	got := newSimulation(l, New(), 7).run()
	for name, r := range got {
		if share := float64(r.served()) / float64(r.submitted-r.broken); share < 0.98 {
			t.Errorf("%s: got %.3f of the unbroken requests served, want at least 0.98", name, share)
		}
	}
}

// Guards against sending further requests to an address that now belongs to
// another upstream: each is rejected, and its retry counts against the retry
// budget.
func TestMovedUpstream(t *testing.T) {
	now := time.Unix(1000, 0)
	s := New()
	s.SetUpstreams(now, []quetzalhook.Upstream{
		{ID: "moved", Service: "s", Models: []quetzalhook.Model{"m"}, Slots: 64}, {ID: "sound", Service: "s", Models: []quetzalhook.Model{"m"}, Slots: 64},
	})
	rejected, wait := 0, 100*time.Millisecond
	for i := range 40 {
		id := quetzalhook.RequestID(fmt.Sprint(i))
		for _, d := range s.Submit(now, quetzalhook.Request{ID: id, Class: chat, Service: "s", Model: "m", PromptTokens: 1000, MaxTokens: 10}) {
			end := quetzalhook.AttemptEnd{End: quetzalhook.EndFinished}
			if d.Upstream.ID == "moved" {
				rejected++
				end = quetzalhook.AttemptEnd{End: quetzalhook.EndNotSent, Verdict: quetzalhook.Verdict{NotRun: true, Moved: true}}
			}
			s.End(now, id, end)
		}
		now = now.Add(wait)
	}
	if got, want := rejected, 2; got > want { // one every 4 s
		t.Errorf("requests sent to the address: got %d, want at most %d", got, want)
	}
}
