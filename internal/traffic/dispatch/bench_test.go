package dispatch

import (
	"fmt"
	"testing"
	"time"

	"quetzalhook"
	"quetzalhook/internal/state/invariant"
)

// fastPlacer is a Placer that takes constant time, so that benchmarks measure
// the core alone.
type fastPlacer struct {
	fakePlacer
	free  []quetzalhook.UpstreamID
	total int
}

func (p *fastPlacer) SetUpstreams(_ time.Time, us []quetzalhook.Upstream) {
	for i := range us[0].Slots * len(us) {
		p.free = append(p.free, us[i%len(us)].ID)
	}
	p.total = len(p.free)
}

func (p *fastPlacer) Place(time.Time, quetzalhook.Request) (quetzalhook.UpstreamID, bool) {
	if len(p.free) == 0 {
		return "", false
	}
	return p.free[len(p.free)-1], true
}

func (p *fastPlacer) Started(_ time.Time, r quetzalhook.Request, u quetzalhook.UpstreamID) {
	p.free = p.free[:len(p.free)-1]
	p.at[r.ID] = u
}

func (p *fastPlacer) Ended(_ time.Time, id quetzalhook.RequestID, _ quetzalhook.End) {
	p.free = append(p.free, p.at[id])
	delete(p.at, id)
}

func (p *fastPlacer) Slots(time.Time, quetzalhook.Model) (total, free int) {
	return p.total, len(p.free)
}

// BenchmarkDecision measures one Submit and one End while all slots are in use
// and every customer has waiting requests, so that each End starts a request.
func BenchmarkDecision(b *testing.B) {
	for _, upstreams := range []int{18, 100, 700} {
		for _, customers := range []int{10, 17000} {
			b.Run(fmt.Sprintf("upstreams=%d/customers=%d", upstreams, customers), func(b *testing.B) {
				benchmarkDecision(b, upstreams, customers)
			})
		}
	}
}

func benchmarkDecision(b *testing.B, upstreams, customers int) {
	const slots = 8
	p := &fastPlacer{fakePlacer: *newFakePlacer()}
	c := New(p, WithMaxWaiting(1<<20), WithInvariants(invariant.New(nil)))
	var us []quetzalhook.Upstream
	for i := range upstreams {
		us = append(us, testUpstream(fmt.Sprint("u", i), slots))
	}
	now := epoch
	c.SetUpstreams(now, us)
	requests := make([]quetzalhook.Request, 1<<15)
	for i := range requests {
		class := []quetzalhook.Class{booking, rulebook, summary}[i%3]
		requests[i] = quetzalhook.Request{
			ID: quetzalhook.RequestID(fmt.Sprint("request-", i)), Class: class, Model: "m",
			Customer: quetzalhook.CustomerID(fmt.Sprint("customer-", i%customers)), PromptTokens: 100 + i%900,
		}
	}
	var running []quetzalhook.RequestID
	started := func(actions []quetzalhook.Action) {
		for _, a := range actions {
			if a.Kind == quetzalhook.ActionStart {
				running = append(running, a.Request)
			}
		}
	}
	next := 0
	submit := func(id quetzalhook.RequestID) {
		r := requests[next%len(requests)]
		r.ID = id
		started(c.Submit(now, r))
		next++
	}
	for i := range upstreams*slots + 20000 {
		submit(requests[i].ID)
	}
	b.ReportAllocs()
	defer func() {
		if n := c.invariants.(*invariant.Registry).Violations(); n > 0 {
			b.Errorf("got %d violations, want 0", n)
		}
	}()
	for b.Loop() {
		now = now.Add(10 * time.Microsecond)
		id := running[0]
		running = running[1:]
		started(c.End(now, id, quetzalhook.EndFinished))
		submit(id)
	}
}
