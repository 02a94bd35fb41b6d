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
	// stateNew is not accepted yet.
	stateNew state = iota
	// stateWaiting is in the queue.
	stateWaiting
	// stateDelayed waits for the time of its next attempt.
	stateDelayed
	// stateClaimed gets the next slot; one is being freed for it.
	stateClaimed
	// stateRunning holds a slot.
	stateRunning
	// stateStopping holds a slot until the host confirms a cancel.
	stateStopping
	// stateEnded is forgotten.
	stateEnded
)

// entry is one request of the core.
type entry struct {
	queue.Item
	pool     *pool
	state    state
	counted  state // the state that load counts it in
	upstream *upstream
	place    int       // in upstream.running
	started  time.Time // of the present attempt
	base     int       // tokens received before it
	sent     bool      // an earlier attempt may have reached an upstream
	failures int       // failed attempts since the last token
	acquired bool      // holds one of its customer's running requests
	freeing  *pool     // the pool that its cancel frees a slot for, or nil
	charged  float64
}

// worthlessAfter reports whether the request loses its value at its deadline.
// Requests that may not be repeated are let run: their effect stays.
func (e *entry) worthlessAfter(f faults) bool {
	if e.Deadline.IsZero() || !e.Request.Repeatable {
		return false
	}
	class := e.Request.Class
	return f.doomMustFinish || class.LateWorthless() && !class.MustFinish()
}

// pool is the requests of one model.
type pool struct {
	queue   *queue.Queue
	model   quetzalhook.Model
	claimed []*entry // in order of their claims
	freeing int      // cancels that free a slot for claimed requests
	// preempted is when requests last lost their slots, the earlier first.
	preempted [2]time.Time

	upstreams []*upstream // those that serve the model
	// part is the part of their slots that counts for floors: a slot that
	// serves several models counts for each in equal parts.
	part  float64
	slots int  // in total, in the present drain
	full  bool // found no slot in the present drain
	turn  int  // serial number of the latest start
	scan  int  // where sharedVictim continues
}

// upstream is what the core keeps of one upstream.
type upstream struct {
	id            quetzalhook.UpstreamID
	running       []*entry
	leaving       bool
	unfit         bool // ejected by the placer
	listed        bool
	listedLeaving bool
	since         time.Time // when it began to leave
}

// setLeaving records whether the upstream leaves.
func (c *Core) setLeaving(now time.Time, u *upstream, leaving bool) {
	if u.leaving == leaving {
		return
	}
	u.leaving, u.since = leaving, now
	if leaving {
		c.leaving = append(c.leaving, u)
	}
}

func (c *Core) pool(m quetzalhook.Model) *pool {
	p := c.pools[m]
	if p == nil {
		p = &pool{model: m, queue: queue.New(c.queueOpts...)}
		c.pools[m] = p
		c.order = append(c.order, p)
	}
	return p
}

// setUpstreams takes the list of upstreams; one that disappears from it
// counts as leaving.
func (c *Core) setUpstreams(now time.Time, upstreams []quetzalhook.Upstream) {
	for _, p := range c.order {
		p.upstreams, p.part = nil, 0
	}
	for _, u := range c.upstreams {
		u.listed = false
	}
	c.shared = false
	for _, u := range upstreams {
		have := c.upstreams[u.ID]
		if have == nil {
			have = &upstream{id: u.ID}
			c.upstreams[u.ID] = have
		}
		have.listed, have.listedLeaving = true, u.State != quetzalhook.UpstreamReady
		c.setLeaving(now, have, have.listedLeaving)
		c.serve(have, u)
	}
	for _, p := range c.order {
		if len(p.upstreams) > 0 {
			p.part /= float64(len(p.upstreams))
		}
	}
	c.dropUnlisted(now)
}

// serve adds the upstream to the pools of its models.
func (c *Core) serve(have *upstream, u quetzalhook.Upstream) {
	models := u.Models
	if u.Service != "" {
		models = append(slices.Clip(models), quetzalhook.Model(u.Service))
	}
	c.shared = c.shared || len(models) > 1
	for _, m := range models {
		p := c.pool(m)
		p.upstreams = append(p.upstreams, have)
		p.part += 1 / float64(len(models))
	}
}

// dropUnlisted forgets the upstreams that are not listed any more, those with
// requests when the last of these ends.
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

// newEntry returns the entry of a request; its pool is nil if no upstream
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

// predictQuantile is the quantile of the output length that work is charged
// by. The median keeps single long answers from counting for all; tokens over
// it are charged when they arrive.
const predictQuantile = 0.5

// predict returns the predicted work of a request that received n tokens.
func (c *Core) predict(r quetzalhook.Request, n int) float64 {
	output := c.estimator.Quantile(r.Customer, r.Class.Name(), predictQuantile, n)
	if r.MaxTokens > 0 {
		output = max(min(output, r.MaxTokens), n)
	}
	return float64(r.PromptTokens + output)
}

// correct replaces the predicted work.
func (c *Core) correct(now time.Time, e *entry, work float64) {
	c.limiter.Correct(now, e.Request.Customer, work-e.charged)
	e.charged = work
	c.load.remove(e)
	e.pool.queue.Correct(&e.Item, work)
	c.load.add(e)
}

// weight returns the customer's share relative to others.
func (c *Core) weight(id quetzalhook.CustomerID) float64 {
	if l, ok := c.limits[id]; ok && l.Weight > 0 {
		return l.Weight
	}
	return 1
}

func (c *Core) setState(e *entry, s state) {
	c.load.remove(e)
	e.state = s
	c.load.add(e)
}

// push puts a new request into its queue.
func (c *Core) push(e *entry) {
	e.pool.queue.Push(&e.Item, c.weight(e.Request.Customer))
	c.setState(e, stateWaiting)
}

// withdraw takes a request that holds no slot out of where it waits.
func (c *Core) withdraw(e *entry) {
	switch e.state {
	case stateWaiting:
		e.pool.queue.Remove(&e.Item)
	case stateClaimed:
		e.pool.claimed = slices.DeleteFunc(e.pool.claimed, func(x *entry) bool { return x == e })
	case stateDelayed:
		c.delayed.remove(e)
	}
}

// forget ends a request that is in no queue and on no upstream.
func (c *Core) forget(now time.Time, e *entry) {
	c.checkEndsOnce(e)
	c.setState(e, stateEnded)
	c.late.remove(e)
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

// load counts requests and their predicted work by tier.
type load struct {
	tiers [2][quetzalhook.TierCount]struct {
		work  float64
		count int
	}
}

// at returns where the entry is counted: 0 without a slot, 1 with one.
func (l *load) at(e *entry) (int, bool) {
	switch e.counted {
	case stateWaiting, stateDelayed, stateClaimed:
		return 0, true
	case stateRunning, stateStopping:
		return 1, true
	}
	return 0, false
}

// add counts the entry by its state.
func (l *load) add(e *entry) {
	e.counted = e.state
	if i, ok := l.at(e); ok {
		t := &l.tiers[i][e.Request.Class.Tier()]
		t.work += e.Work
		t.count++
	}
}

// remove reverses add.
func (l *load) remove(e *entry) {
	i, ok := l.at(e)
	if !ok {
		return
	}
	t := &l.tiers[i][e.Request.Class.Tier()]
	t.work -= e.Work
	if t.count--; t.count == 0 {
		t.work = 0 // drops rounding errors
	}
	e.counted = stateEnded
}

// work returns the predicted work at i by tier.
func (l *load) work(i int) (sum [quetzalhook.TierCount]float64) {
	for tier := range sum {
		sum[tier] = l.tiers[i][tier].work
	}
	return sum
}

func (l *load) waiting() [quetzalhook.TierCount]float64 { return l.work(0) }
func (l *load) running() [quetzalhook.TierCount]float64 { return l.work(1) }

// requests returns the waiting and running requests by tier.
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
