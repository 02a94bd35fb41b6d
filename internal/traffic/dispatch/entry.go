package dispatch

import (
	"cmp"
	"slices"
	"time"

	"quetzalhook"
	"quetzalhook/internal/traffic/queue"
)

// state is the life-cycle state of a request.
type state uint8

const (
	// stateNew: not accepted yet.
	stateNew state = iota
	// stateWaiting: in the queue.
	stateWaiting
	// stateDelayed: waits until its next attempt is due.
	stateDelayed
	// stateReserved: gets the next free slot; another stream was cancelled for
	// it.
	stateReserved
	// stateRunning: holds a slot.
	stateRunning
	// stateStopping: holds its slot until the host confirms the cancellation.
	stateStopping
	// stateEnded: removed from the core.
	stateEnded
)

// entry is the state of one request in the core.
type entry struct {
	queue.Item
	pool          *pool
	state         state
	countedAs     state // the state under which load counts it
	upstream      *upstream
	runningIndex  int       // index in upstream.running
	started       time.Time // when the current attempt started
	tokensAtStart int       // tokens received before the current attempt
	sent          bool      // an earlier attempt may have reached an upstream
	failures      int       // failed attempts in a row without a new token
	acquired      bool      // counts against its customer's concurrency limit
	freesFor      *pool     // pool that gets the slot after the cancellation, or nil
	charged       float64   // work in tokens charged to the customer so far
}

// expires reports whether the request is refused or cancelled once its
// deadline has passed without a first token. Requests that may not be repeated
// do not expire, because what they have done at the upstream cannot be undone.
func (e *entry) expires(f faults) bool {
	if e.Deadline.IsZero() || !e.Request.Repeatable {
		return false
	}
	class := e.Request.Class
	return f.expireMustFinish || class.LateWorthless() && !class.MustFinish()
}

// pool holds the requests of one model.
type pool struct {
	queue          *queue.Queue
	model          quetzalhook.Model
	reserved       []*entry // requests with a reserved slot, in order of reservation
	pendingCancels int      // unconfirmed cancellations that free slots for them
	// lastPreempted holds the times of the last two preemptions for this pool,
	// the earlier first.
	lastPreempted [2]time.Time

	upstreams []*upstream // upstreams that serve the model
	// slotFraction is the fraction of the slots of these upstreams that counts
	// towards floor shares. A slot that serves several models counts for each
	// of them in equal parts.
	slotFraction float64
	slots        int  // total slots in the current scheduling pass
	full         bool // found no slot in the current scheduling pass
	lastStart    int  // Core.starts at the latest start of a request of this pool
	scanPos      int  // position in upstreams where sharedVictim continues
}

// upstream is the state that the core keeps of one upstream.
type upstream struct {
	id            quetzalhook.UpstreamID
	running       []*entry
	leaving       bool
	unfit         bool      // returned last by Placer.Unfit: leaving, gone or ejected
	listed        bool      // in the latest list of upstreams
	listedLeaving bool      // not ready according to the latest list
	leavingSince  time.Time // when it began to leave
}

// setLeaving records whether the upstream is leaving, and since when.
func (c *Core) setLeaving(now time.Time, u *upstream, leaving bool) {
	if u.leaving == leaving {
		return
	}
	u.leaving, u.leavingSince = leaving, now
	if leaving {
		c.leaving = append(c.leaving, u)
	}
}

// pool returns the pool of a model and creates it if there is none.
func (c *Core) pool(m quetzalhook.Model) *pool {
	p := c.pools[m]
	if p == nil {
		p = &pool{model: m, queue: queue.New(c.queueOpts...)}
		c.pools[m] = p
		c.poolList = append(c.poolList, p)
	}
	return p
}

// setUpstreams replaces the list of upstreams. An upstream that is missing
// from the new list counts as leaving.
func (c *Core) setUpstreams(now time.Time, upstreams []quetzalhook.Upstream) {
	for _, p := range c.poolList {
		p.upstreams, p.slotFraction = nil, 0
	}
	for _, u := range c.upstreams {
		u.listed = false
	}
	c.sharedUpstreams = false
	for _, u := range upstreams {
		known := c.upstreams[u.ID]
		if known == nil {
			known = &upstream{id: u.ID}
			c.upstreams[u.ID] = known
		}
		known.listed, known.listedLeaving = true, u.State != quetzalhook.UpstreamReady
		c.setLeaving(now, known, known.listedLeaving)
		c.addToPools(known, u)
	}
	for _, p := range c.poolList {
		if len(p.upstreams) > 0 {
			p.slotFraction /= float64(len(p.upstreams))
		}
	}
	c.dropUnlisted(now)
}

// addToPools adds the upstream to the pools of the models that it serves.
func (c *Core) addToPools(known *upstream, u quetzalhook.Upstream) {
	models := u.Models
	if u.Service != "" {
		models = append(slices.Clip(models), quetzalhook.Model(u.Service))
	}
	c.sharedUpstreams = c.sharedUpstreams || len(models) > 1
	for _, m := range models {
		p := c.pool(m)
		p.upstreams = append(p.upstreams, known)
		p.slotFraction += 1 / float64(len(models))
	}
}

// dropUnlisted removes the upstreams that are no longer listed. One that still
// has requests counts as leaving and is removed when the last of them ends.
func (c *Core) dropUnlisted(now time.Time) {
	var gone []*upstream
	for id, u := range c.upstreams {
		switch {
		case u.listed:
		case len(u.running) == 0:
			delete(c.upstreams, id)
		default:
			gone = append(gone, u)
		}
	}
	slices.SortFunc(gone, func(a, b *upstream) int { return cmp.Compare(a.id, b.id) })
	for _, u := range gone {
		u.listedLeaving = true
		c.setLeaving(now, u, true)
	}
}

// newEntry returns the entry of a new request. Its pool is nil if no upstream
// serves the model.
func (c *Core) newEntry(now time.Time, r quetzalhook.Request) *entry {
	e := &entry{state: stateNew}
	e.Request, e.Arrived, e.Payload = r, now, e
	e.Work = c.predict(r, 0)
	if t := r.Class.TTFTTarget(); t > 0 {
		e.Deadline = now.Add(t)
	}
	if p := c.pools[r.Model]; p != nil && len(p.upstreams) > 0 {
		e.pool = p
	}
	return e
}

// predictQuantile is the quantile of the output length that is used to predict
// the work of a request. With the median, a few long answers do not raise the
// charge of all requests; tokens beyond the prediction are charged when they
// arrive.
const predictQuantile = 0.5

// predict returns the predicted work in tokens of a request that has received
// n tokens.
func (c *Core) predict(r quetzalhook.Request, n int) float64 {
	output := c.estimator.Quantile(r.Customer, r.Class.Name(), predictQuantile, n)
	if r.MaxTokens > 0 {
		output = max(min(output, r.MaxTokens), n)
	}
	return float64(r.PromptTokens + output)
}

// updateWork replaces the predicted work of a request and charges or refunds
// the difference to its customer.
func (c *Core) updateWork(now time.Time, e *entry, work float64) {
	c.limiter.Correct(now, e.Request.Customer, work-e.charged)
	e.charged = work
	c.load.remove(e)
	e.pool.queue.Correct(&e.Item, work)
	c.load.add(e)
}

// weight returns the weight of the customer relative to others; 1 if none is
// set.
func (c *Core) weight(id quetzalhook.CustomerID) float64 {
	if l, ok := c.limits[id]; ok && l.Weight > 0 {
		return l.Weight
	}
	return 1
}

// setState changes the state of a request and updates the load counts.
func (c *Core) setState(e *entry, s state) {
	c.load.remove(e)
	e.state = s
	c.load.add(e)
}

// push adds a new request to its queue.
func (c *Core) push(e *entry) {
	e.pool.queue.Push(&e.Item, c.weight(e.Request.Customer))
	c.setState(e, stateWaiting)
}

// removeWaiting removes a request that holds no slot from its queue, from the
// reserved requests or from the delayed requests.
func (c *Core) removeWaiting(e *entry) {
	switch e.state {
	case stateWaiting:
		e.pool.queue.Remove(&e.Item)
	case stateReserved:
		e.pool.reserved = slices.DeleteFunc(e.pool.reserved, func(x *entry) bool { return x == e })
	case stateDelayed:
		c.delayed.remove(e)
	}
}

// endRequest removes a request that is in no queue and on no upstream from the
// core, corrects the charge to the work that was done, and releases the
// concurrency of its customer.
func (c *Core) endRequest(now time.Time, e *entry) {
	c.checkEndsOnce(e)
	c.setState(e, stateEnded)
	c.deadlines.remove(e)
	delete(c.entries, e.Request.ID)
	actual := 0.0
	if e.sent {
		actual = float64(e.Request.PromptTokens + e.Tokens)
	}
	c.limiter.Correct(now, e.Request.Customer, actual-e.charged)
	e.pool.queue.Settle(&e.Item, actual)
	if e.acquired {
		e.acquired = false
		c.limiter.Release(now, e.Request.Customer)
		c.unpark(e.Request.Customer)
	}
}

// load counts requests and their predicted work, by tier and by whether they
// hold a slot.
type load struct {
	// tiers[0] counts requests without a slot, tiers[1] those that hold one.
	tiers [2][quetzalhook.TierCount]struct {
		work  float64
		count int
	}
}

// index returns the index in tiers under which the entry is counted; false if
// it is not counted.
func (l *load) index(e *entry) (int, bool) {
	switch e.countedAs {
	case stateWaiting, stateDelayed, stateReserved:
		return 0, true
	case stateRunning, stateStopping:
		return 1, true
	}
	return 0, false
}

// add counts the entry under its current state.
func (l *load) add(e *entry) {
	e.countedAs = e.state
	if i, ok := l.index(e); ok {
		t := &l.tiers[i][e.Request.Class.Tier()]
		t.work += e.Work
		t.count++
	}
}

// remove reverses add.
func (l *load) remove(e *entry) {
	i, ok := l.index(e)
	if !ok {
		return
	}
	t := &l.tiers[i][e.Request.Class.Tier()]
	t.work -= e.Work
	if t.count--; t.count == 0 {
		t.work = 0 // drops rounding errors
	}
	e.countedAs = stateEnded
}

// work returns the predicted work in tiers[i].
func (l *load) work(i int) (sum [quetzalhook.TierCount]float64) {
	for tier := range sum {
		sum[tier] = l.tiers[i][tier].work
	}
	return sum
}

func (l *load) waiting() [quetzalhook.TierCount]float64 { return l.work(0) }
func (l *load) running() [quetzalhook.TierCount]float64 { return l.work(1) }

// requests returns the number of waiting and running requests by tier.
func (l *load) requests() (n [quetzalhook.TierCount]int) {
	for tier := range n {
		n[tier] = l.tiers[0][tier].count + l.tiers[1][tier].count
	}
	return n
}

// held returns the number of requests that hold a slot.
func (l *load) held() (n int) {
	for tier := range l.tiers[1] {
		n += l.tiers[1][tier].count
	}
	return n
}

// queued returns the number of requests without a slot, and how many of them
// are urgent.
func (l *load) queued() (n, urgent int) {
	for tier := range l.tiers[0] {
		n += l.tiers[0][tier].count
	}
	return n, l.tiers[0][quetzalhook.TierUrgent].count
}
