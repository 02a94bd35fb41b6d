// Package dispatcher decides for all hosts which engine runs a request.
//
// One host, the leader, runs the scheduler of a group of engines for everybody
// that uses it, because it then knows every request that runs there and
// decisions do not rest on lagging load reports. Most fleets have one group. The
// other hosts ask it over the peer connections and report what becomes of their
// requests. A host that gets no answer decides by itself, with
// the same code and what it knows of its own requests. Two hosts that both
// believe to be the leader, or a lost report, cost quality of decisions only:
// whether a request may be sent at all is decided by the host that sends it.
package dispatcher

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"quetzalhook"
	"quetzalhook/internal/traffic/schedule"
)

// tickInterval is the time between two rounds of the scheduler.
const tickInterval = 20 * time.Millisecond

// decided is a decision on one request.
type decided struct {
	attempt quetzalhook.Attempt
	refusal *quetzalhook.Refusal
	busy    bool // the request was offered only, and would have to wait
}

// waiter is a request that waits for its decision, or whose decision its host
// has not collected yet: a host asks again and again, and a decision may fall
// between two of its calls.
type waiter struct {
	owner   quetzalhook.HostID
	ready   chan decided // buffered; gets one decision
	decided time.Time    // zero while it waits
}

// desk runs a scheduler for concurrent requests of several hosts.
type desk struct {
	clock quetzalhook.Clock
	log   logrus.FieldLogger

	mu        sync.Mutex
	scheduler *schedule.Scheduler
	waiters   map[quetzalhook.RequestID]*waiter
	owners    map[quetzalhook.RequestID]quetzalhook.HostID // of running and waiting requests
	synced    map[quetzalhook.HostID]time.Time             // when a host last listed its requests
}

func newDesk(clock quetzalhook.Clock, log logrus.FieldLogger) *desk {
	return &desk{
		clock: clock, log: log, scheduler: schedule.New(),
		waiters: make(map[quetzalhook.RequestID]*waiter), owners: make(map[quetzalhook.RequestID]quetzalhook.HostID),
		synced: make(map[quetzalhook.HostID]time.Time),
	}
}

// apply hands decisions to those that wait for them. The caller holds d.mu.
func (d *desk) apply(decisions []schedule.Decision) {
	for _, c := range decisions {
		w := d.waiters[c.Request]
		if w == nil || !w.decided.IsZero() {
			continue
		}
		w.decided = d.clock.Now()
		fields := logrus.Fields{"request": c.Request, "for": w.owner, "waiting": c.Waiting}
		if c.Refusal != nil {
			d.log.WithFields(fields).WithField("refusal", c.Refusal.Kind).WithField("retry-after-ms", c.Refusal.RetryAfter.Milliseconds()).
				Info("request refused by the scheduler")
			w.ready <- decided{refusal: c.Refusal}
			continue
		}
		fields["upstream"], fields["unread-tokens"], fields["expected-ms"], fields["source"] = c.Upstream.ID, c.Unread, c.First.Milliseconds(), c.Source
		d.log.WithFields(fields).Info("request placed")
		w.ready <- decided{attempt: quetzalhook.Attempt{Upstream: c.Upstream, Urgency: c.Urgency, Source: c.Source}}
	}
}

// submit queues a request of a host, unless it waits already or its decision
// waits for the host.
func (d *desk) submit(owner quetzalhook.HostID, r quetzalhook.Request) *waiter {
	d.mu.Lock()
	defer d.mu.Unlock()
	if w := d.waiters[r.ID]; w != nil {
		return w
	}
	w := &waiter{owner: owner, ready: make(chan decided, 1)}
	d.waiters[r.ID], d.owners[r.ID] = w, owner
	d.apply(d.scheduler.Submit(d.clock.Now(), r))
	return w
}

// offer places a request if an engine can take it at once.
func (d *desk) offer(owner quetzalhook.HostID, r quetzalhook.Request) decided {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.waiters[r.ID] != nil {
		return decided{busy: true}
	}
	decisions, ok := d.scheduler.Offer(d.clock.Now(), r)
	if !ok {
		return decided{busy: true}
	}
	w := &waiter{owner: owner, ready: make(chan decided, 1)}
	d.waiters[r.ID], d.owners[r.ID] = w, owner
	d.apply(decisions)
	delete(d.waiters, r.ID)
	return <-w.ready
}

// take applies what a host tells of its requests.
func (d *desk) take(events []event) {
	for _, e := range events {
		if e.Seen > 0 {
			d.observe(e.ID, e.Seen)
		}
		if e.End == 0 {
			d.progress(e.ID, e.Tokens)
		} else {
			d.end(e.ID, e.end())
		}
	}
}

// assign waits for the decision on a request.
func (d *desk) assign(ctx context.Context, owner quetzalhook.HostID, r quetzalhook.Request) (decided, error) {
	w := d.submit(owner, r)
	select {
	case c := <-w.ready:
		d.collected(r.ID, w, c)
		return c, nil
	case <-ctx.Done():
	}
	select {
	case c := <-w.ready: // it came at the same moment
		d.collected(r.ID, w, c)
		return c, nil
	default:
		return decided{}, context.Cause(ctx)
	}
}

// collected notes that the host of a request has its decision.
func (d *desk) collected(id quetzalhook.RequestID, w *waiter, c decided) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.waiters[id] != w {
		return
	}
	delete(d.waiters, id)
	if c.refusal != nil {
		delete(d.owners, id)
	}
}

// progress reports output tokens of a request.
func (d *desk) progress(id quetzalhook.RequestID, tokens int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.apply(d.scheduler.Progress(d.clock.Now(), id, tokens))
}

// observe reports how many requests the engine of a request was seen to have.
func (d *desk) observe(id quetzalhook.RequestID, requests int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.scheduler.Observe(d.clock.Now(), id, requests)
}

// end reports the end of a request.
func (d *desk) end(id quetzalhook.RequestID, e quetzalhook.AttemptEnd) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.owners, id)
	delete(d.waiters, id)
	d.apply(d.scheduler.End(d.clock.Now(), id, e))
}

// adopt takes over a request that another scheduler has started.
func (d *desk) adopt(owner quetzalhook.HostID, r quetzalhook.Request, id quetzalhook.UpstreamID, tokens int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.owners[r.ID] != "" {
		return
	}
	d.owners[r.ID] = owner
	d.scheduler.Adopt(d.clock.Now(), r, id, tokens)
}

// sync drops the requests of a host that it does not list, and returns those
// listed that are not known here.
func (d *desk) sync(owner quetzalhook.HostID, running []quetzalhook.RequestID) []quetzalhook.RequestID {
	listed := make(map[quetzalhook.RequestID]bool, len(running))
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	d.synced[owner] = now
	var unknown []quetzalhook.RequestID
	for _, id := range running {
		listed[id] = true
		if d.owners[id] == "" {
			unknown = append(unknown, id)
		}
	}
	d.drop(func(id quetzalhook.RequestID, host quetzalhook.HostID) bool {
		return host == owner && !listed[id] && !d.waiters[id].isExpected(now)
	})
	return unknown
}

// collectLimit is how long a decision is kept for a host that does not ask for
// it: several times the longest pause between two calls of a host.
const collectLimit = 4 * answerLimit

// isExpected reports whether the host of a request may still ask for its
// decision. It is false for nil.
func (w *waiter) isExpected(now time.Time) bool {
	return w != nil && (w.decided.IsZero() || now.Sub(w.decided) < collectLimit)
}

// drop forgets requests. The caller holds d.mu.
func (d *desk) drop(which func(quetzalhook.RequestID, quetzalhook.HostID) bool) {
	for id, host := range d.owners {
		if which(id, host) {
			delete(d.owners, id)
			delete(d.waiters, id)
			d.apply(d.scheduler.End(d.clock.Now(), id, quetzalhook.AttemptEnd{End: quetzalhook.EndCallerGone}))
		}
	}
}

// ownerLife is how long the requests of a host are kept that does not list
// them: a few of its lists.
const ownerLife = 5 * time.Second

// tick does the periodic work. The requests of a host that went silent are
// dropped.
func (d *desk) tick(self quetzalhook.HostID) {
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.apply(d.scheduler.Tick(now))
	for host, at := range d.synced {
		if host != self && now.Sub(at) > ownerLife {
			delete(d.synced, host)
			d.drop(func(_ quetzalhook.RequestID, owner quetzalhook.HostID) bool { return owner == host })
		}
	}
}

// setUpstreams replaces the engines.
func (d *desk) setUpstreams(list []quetzalhook.Upstream) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.apply(d.scheduler.SetUpstreams(d.clock.Now(), list))
}

// hold notes what an engine was found to hold.
func (d *desk) hold(id quetzalhook.UpstreamID, parts []quetzalhook.PromptPart) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.scheduler.Hold(d.clock.Now(), id, parts)
}

// load returns the scheduler's load.
func (d *desk) load() schedule.Load {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduler.Load(d.clock.Now())
}
