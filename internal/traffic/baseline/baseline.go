// Package baseline implements a simple Policy for comparison: arrival order,
// round robin over upstreams, and the same limits on slots as the product's
// own policy.
package baseline

import (
	"time"

	"quetzalhook"
)

const (
	// maxAttempts bounds the starts of one request.
	maxAttempts = 3
	// maxQueue bounds the waiting requests of a host.
	maxQueue = 10000
	// retryDelay is what refused callers are told to wait.
	retryDelay = time.Second
)

type entry struct {
	request  quetzalhook.Request
	upstream quetzalhook.UpstreamID
	running  bool
	attempts int
	tokens   int
}

// Policy serves requests in arrival order.
type Policy struct {
	hosts     int
	upstreams []quetzalhook.Upstream
	inFlight  map[quetzalhook.UpstreamID]int
	entries   map[quetzalhook.RequestID]*entry
	queue     []*entry
	next      int
}

// New returns an empty policy of one of hosts equal hosts; each uses an equal
// share of every upstream's slots.
func New(hosts int) *Policy {
	return &Policy{
		hosts:    max(hosts, 1),
		inFlight: make(map[quetzalhook.UpstreamID]int),
		entries:  make(map[quetzalhook.RequestID]*entry),
	}
}

// SetUpstreams implements quetzalhook.Policy.
func (p *Policy) SetUpstreams(_ time.Time, upstreams []quetzalhook.Upstream) []quetzalhook.Action {
	p.upstreams = upstreams
	return p.drain()
}

// SetLimits implements quetzalhook.Policy; the baseline has no limits by
// customer.
func (p *Policy) SetLimits(time.Time, map[quetzalhook.CustomerID]quetzalhook.CustomerLimit) []quetzalhook.Action {
	return nil
}

// Submit implements quetzalhook.Policy.
func (p *Policy) Submit(_ time.Time, r quetzalhook.Request) []quetzalhook.Action {
	if len(p.queue) >= maxQueue {
		return []quetzalhook.Action{refusal(r.ID, quetzalhook.RefuseOverload, quetzalhook.OutcomeNotRun)}
	}
	e := &entry{request: r}
	p.entries[r.ID] = e
	p.queue = append(p.queue, e)
	return p.drain()
}

// Progress implements quetzalhook.Policy.
func (p *Policy) Progress(_ time.Time, id quetzalhook.RequestID, n int) []quetzalhook.Action {
	if e := p.entries[id]; e != nil {
		e.tokens = n
	}
	return nil
}

// End implements quetzalhook.Policy.
func (p *Policy) End(_ time.Time, id quetzalhook.RequestID, end quetzalhook.End) []quetzalhook.Action {
	e := p.entries[id]
	if e == nil {
		return nil
	}
	p.release(e)
	retry := end == quetzalhook.EndNotSent || end == quetzalhook.EndBroken && e.request.Repeatable
	switch {
	case retry && e.attempts < maxAttempts:
		p.queue = append([]*entry{e}, p.queue...)
		return p.drain()
	case retry, end == quetzalhook.EndBroken:
		delete(p.entries, id)
		outcome := quetzalhook.OutcomeNotRun
		if end == quetzalhook.EndBroken {
			outcome = quetzalhook.OutcomeUnknown
		}
		return append(p.drain(), refusal(id, quetzalhook.RefuseRetryBudget, outcome))
	}
	delete(p.entries, id)
	p.remove(e)
	return p.drain()
}

// ObserveLoad implements quetzalhook.Policy; the baseline ignores reports.
func (p *Policy) ObserveLoad(time.Time, quetzalhook.Load) []quetzalhook.Action { return nil }

// ObservePeers implements quetzalhook.Policy; the baseline ignores peers.
func (p *Policy) ObservePeers(time.Time, []quetzalhook.PeerDemand) []quetzalhook.Action { return nil }

// Tick implements quetzalhook.Policy.
func (p *Policy) Tick(time.Time) []quetzalhook.Action { return p.drain() }

// Demand implements quetzalhook.Policy.
func (p *Policy) Demand(time.Time) quetzalhook.Demand {
	d := quetzalhook.Demand{InFlight: make(map[quetzalhook.UpstreamID]int, len(p.inFlight))}
	for id, n := range p.inFlight {
		d.InFlight[id] = n
	}
	return d
}

func (p *Policy) release(e *entry) {
	if e.running {
		e.running = false
		p.inFlight[e.upstream]--
	}
}

func (p *Policy) remove(e *entry) {
	for i, q := range p.queue {
		if q == e {
			p.queue = append(p.queue[:i], p.queue[i+1:]...)
			return
		}
	}
}

// drain starts waiting requests in arrival order until one finds no slot.
func (p *Policy) drain() []quetzalhook.Action {
	var actions []quetzalhook.Action
	for len(p.queue) > 0 {
		e := p.queue[0]
		u, ok := p.pick(e.request.Model)
		if !ok {
			break
		}
		p.queue = p.queue[1:]
		e.upstream, e.running = u, true
		e.attempts++
		p.inFlight[u]++
		actions = append(actions, quetzalhook.Action{
			Kind: quetzalhook.ActionStart, Request: e.request.ID, Upstream: u, Offset: e.tokens,
		})
	}
	return actions
}

// pick returns the next upstream in turn that serves the model and has a
// slot left for this host.
func (p *Policy) pick(m quetzalhook.Model) (quetzalhook.UpstreamID, bool) {
	for range p.upstreams {
		u := p.upstreams[p.next%len(p.upstreams)]
		p.next++
		slots := max(u.Slots/p.hosts, 1)
		if u.State == quetzalhook.UpstreamReady && serves(u, m) && p.inFlight[u.ID] < slots {
			return u.ID, true
		}
	}
	return "", false
}

// serves reports whether u runs the model; a service without models is
// reached under its own name.
func serves(u quetzalhook.Upstream, m quetzalhook.Model) bool {
	if u.Kind == quetzalhook.KindService && len(u.Models) == 0 {
		return u.Service == string(m)
	}
	for _, have := range u.Models {
		if have == m {
			return true
		}
	}
	return false
}

func refusal(id quetzalhook.RequestID, kind quetzalhook.RefuseKind, outcome quetzalhook.Outcome) quetzalhook.Action {
	return quetzalhook.Action{
		Kind: quetzalhook.ActionRefuse, Request: id, Refusal: kind, Outcome: outcome, RetryAfter: retryDelay,
	}
}
