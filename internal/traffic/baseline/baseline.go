// Package baseline implements a simple quetzalhook.Policy, with which the
// production policy is compared. It serves requests in order of arrival, chooses
// upstreams by round robin, and divides slots equally between hosts.
package baseline

import (
	"time"

	"quetzalhook"
)

const (
	// maxAttempts bounds the attempts of one request.
	maxAttempts = 3
	// maxWaiting bounds the waiting requests of a host.
	maxWaiting = 10000
	// retryAfter is the time after which refused callers are told to try
	// again.
	retryAfter = time.Second
)

// entry is the state of one request.
type entry struct {
	request  quetzalhook.Request
	upstream quetzalhook.UpstreamID
	running  bool
	attempts int
	tokens   int // tokens received so far, over all attempts
	// mayHaveRun reports that an attempt broke after the request was sent.
	mayHaveRun bool
}

// Policy serves requests in order of arrival.
type Policy struct {
	hosts        int // number of hosts that share the upstreams
	upstreams    []quetzalhook.Upstream
	inFlight     map[quetzalhook.UpstreamID]int
	entries      map[quetzalhook.RequestID]*entry
	queue        []*entry
	nextUpstream int // round-robin position; an index into upstreams after modulo
}

// New returns an empty Policy for one of the given number of hosts. Each host
// uses an equal share of the slots of every upstream, at least one.
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
	return p.startWaiting()
}

// SetLimits implements quetzalhook.Policy; the baseline ignores customer
// limits.
func (p *Policy) SetLimits(time.Time, map[quetzalhook.CustomerID]quetzalhook.CustomerLimit) []quetzalhook.Action {
	return nil
}

// Submit implements quetzalhook.Policy.
func (p *Policy) Submit(_ time.Time, r quetzalhook.Request) []quetzalhook.Action {
	if len(p.queue) >= maxWaiting {
		return []quetzalhook.Action{refusal(r.ID, quetzalhook.RefuseOverload, quetzalhook.OutcomeNotRun)}
	}
	e := &entry{request: r}
	p.entries[r.ID] = e
	p.queue = append(p.queue, e)
	return p.startWaiting()
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
	e.mayHaveRun = e.mayHaveRun || end == quetzalhook.EndBroken
	retry := end == quetzalhook.EndNotSent || end == quetzalhook.EndBroken && e.request.Repeatable
	switch {
	case retry && e.attempts < maxAttempts:
		p.queue = append([]*entry{e}, p.queue...)
		return p.startWaiting()
	case retry, end == quetzalhook.EndBroken:
		delete(p.entries, id)
		outcome := quetzalhook.OutcomeNotRun
		if e.mayHaveRun {
			outcome = quetzalhook.OutcomeUnknown
		}
		return append(p.startWaiting(), refusal(id, quetzalhook.RefuseRetryBudget, outcome))
	}
	delete(p.entries, id)
	p.remove(e)
	return p.startWaiting()
}

// ObserveLoad implements quetzalhook.Policy; the baseline ignores load
// reports.
func (p *Policy) ObserveLoad(time.Time, quetzalhook.Load) []quetzalhook.Action { return nil }

// ObservePeers implements quetzalhook.Policy; the baseline ignores other
// hosts.
func (p *Policy) ObservePeers(time.Time, []quetzalhook.PeerDemand) []quetzalhook.Action { return nil }

// Tick implements quetzalhook.Policy.
func (p *Policy) Tick(time.Time) []quetzalhook.Action { return p.startWaiting() }

// Demand implements quetzalhook.Policy.
func (p *Policy) Demand(time.Time) quetzalhook.Demand {
	d := quetzalhook.Demand{InFlight: make(map[quetzalhook.UpstreamID]int, len(p.inFlight))}
	for id, n := range p.inFlight {
		d.InFlight[id] = n
	}
	return d
}

// release frees the slot of a running request.
func (p *Policy) release(e *entry) {
	if e.running {
		e.running = false
		p.inFlight[e.upstream]--
	}
}

// remove removes a request from the queue if it is there.
func (p *Policy) remove(e *entry) {
	for i, q := range p.queue {
		if q == e {
			p.queue = append(p.queue[:i], p.queue[i+1:]...)
			return
		}
	}
}

// startWaiting starts waiting requests in order of arrival until one finds no
// slot.
func (p *Policy) startWaiting() []quetzalhook.Action {
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

// pick returns the next upstream in round-robin order that serves the model
// and has a free slot for this host; false if there is none.
func (p *Policy) pick(m quetzalhook.Model) (quetzalhook.UpstreamID, bool) {
	for range p.upstreams {
		u := p.upstreams[p.nextUpstream%len(p.upstreams)]
		p.nextUpstream++
		slots := max(u.Slots/p.hosts, 1)
		if u.State == quetzalhook.UpstreamReady && serves(u, m) && p.inFlight[u.ID] < slots {
			return u.ID, true
		}
	}
	return "", false
}

// serves reports whether u serves the model. A service without models is
// selected by its own name.
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

// refusal returns the action that refuses a request.
func refusal(id quetzalhook.RequestID, kind quetzalhook.RefuseKind, outcome quetzalhook.Outcome) quetzalhook.Action {
	return quetzalhook.Action{
		Kind: quetzalhook.ActionRefuse, Request: id, Refusal: kind, Outcome: outcome, RetryAfter: retryAfter,
	}
}
