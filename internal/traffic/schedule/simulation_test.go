package schedule

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"quetzalhook"
)

// classLoad is the load of one request class. Sizes follow a log-normal
// distribution.
type classLoad struct {
	class       quetzalhook.Class
	rate        float64 // requests a second
	shared      float64 // mean tokens of the shared part
	sharedParts int     // number of shared parts
	own         float64 // mean tokens of the rest of the prompt
	output      float64 // mean output tokens
	patience    time.Duration
}

// burst multiplies the rate of one class for a period.
type burst struct {
	class    quetzalhook.ClassName
	from, to time.Duration
	factor   float64
}

// scenario describes a simulated load and its engines.
type scenario struct {
	classes []classLoad
	bursts  []burst
	engines int
	length  time.Duration
	// lostEngines is the number of engines that disappear at lostAt, as in a zone
	// reclaim.
	lostEngines int
	lostAt      time.Duration
	memory      int
	slots       int
	slowness    float64 // of the last engine; 0 for none
	// failing is the number of engines that answer every request immediately with
	// a failure from failFrom to failTo, and look healthy otherwise.
	failing          int
	failFrom, failTo time.Duration
	// otherShare is the share of the requests that are placed by another
	// scheduler, which does not communicate with the first one.
	otherShare float64
}

// result counts the outcomes of the requests of one class.
type result struct {
	submitted, inTarget, late, refused, broken int
	gapMissed                                  int // streams that missed the gap target
	largeSubmitted, largeServed                int // the largest tenth
	ttfts                                      []float64
}

func (r *result) served() int { return r.inTarget + r.late }

func (r *result) share() float64 { return float64(r.inTarget) / float64(max(r.submitted, 1)) }

// simRequest is a request at a simulated engine.
type simRequest struct {
	request     quetzalhook.Request
	arrived     time.Duration
	urgency     int
	order       int
	prefillLeft int // prompt tokens still to process
	isAdmitted  bool
	outputLeft  int // output tokens
	ttft        time.Duration
	lastEvent   time.Duration
	longestGap  time.Duration
	sent        int
}

// simEngine simulates an engine with continuous batching: in each step every
// decoding request produces one token, and up to chunkTokens prompt tokens are
// processed, the most urgent first.
type simEngine struct {
	info       quetzalhook.Upstream
	running    []*simRequest
	cache      cache
	active     bool
	gone       bool
	slowFactor float64
	processed  int // prompt tokens processed
	lastRun    time.Duration
}

// policy is the scheduler under test, or a baseline.
type policy interface {
	SetUpstreams(now time.Time, list []quetzalhook.Upstream) []Decision
	Submit(now time.Time, q quetzalhook.Request) []Decision
	Progress(now time.Time, id quetzalhook.RequestID, tokens int) []Decision
	Observe(now time.Time, id quetzalhook.RequestID, requests int)
	End(now time.Time, id quetzalhook.RequestID, end quetzalhook.AttemptEnd) []Decision
	Tick(now time.Time) []Decision
}

// event is a function call at a simulated time.
type event struct {
	at    time.Duration
	order int
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// simulation runs one scenario. Messages between hosts take a fixed time.
type simulation struct {
	scenario scenario
	policy   policy
	other    policy // scheduler of the hosts that cannot reach policy
	byOther  map[quetzalhook.RequestID]bool
	random   *rand.Rand
	start    time.Time
	now      time.Duration
	queue    events
	serial   int
	engines  map[quetzalhook.UpstreamID]*simEngine
	waiting  map[quetzalhook.RequestID]*simRequest
	results  map[quetzalhook.ClassName]*result
	large    map[quetzalhook.RequestID]bool
	fetched  int // tokens copied between engines
}

// messageDelay is the one-way delay between hosts of different regions.
const messageDelay = 12 * time.Millisecond

func newSimulation(l scenario, p policy, seed uint64) *simulation {
	return &simulation{
		scenario: l, policy: p, other: New(), byOther: make(map[quetzalhook.RequestID]bool), random: rand.New(rand.NewPCG(seed, 1)), start: time.Unix(1000, 0),
		engines: make(map[quetzalhook.UpstreamID]*simEngine), waiting: make(map[quetzalhook.RequestID]*simRequest),
		results: make(map[quetzalhook.ClassName]*result), large: make(map[quetzalhook.RequestID]bool),
	}
}

func (p *simulation) time() time.Time { return p.start.Add(p.now) }

func (p *simulation) after(d time.Duration, do func()) {
	p.serial++
	heap.Push(&p.queue, event{at: p.now + d, order: p.serial, do: do})
}

// run simulates the whole scenario and returns the results by class.
func (p *simulation) run() map[quetzalhook.ClassName]*result {
	for i := range p.scenario.engines {
		id := quetzalhook.UpstreamID(fmt.Sprintf("e%d", i))
		e := &simEngine{info: quetzalhook.Upstream{
			ID: id, Service: "s", Models: []quetzalhook.Model{"m"}, Slots: p.scenario.slots, MemoryTokens: p.scenario.memory, EventTokens: 3,
			Address: string(id), TokenTransfer: tokenTransfer,
		}, cache: newCache(), slowFactor: 1}
		if p.scenario.slowness > 0 && i == p.scenario.engines-1 {
			e.slowFactor = p.scenario.slowness
		}
		p.engines[id] = e
	}
	p.setUpstreams()
	for _, k := range p.scenario.classes {
		p.results[k.class.Name()] = &result{}
		p.arrive(k)
	}
	if p.scenario.lostEngines > 0 {
		p.after(p.scenario.lostAt, p.loseEngines)
	}
	p.tick()
	for p.queue.Len() > 0 {
		e := heap.Pop(&p.queue).(event)
		p.now = e.at
		e.do()
	}
	return p.results
}

func (p *simulation) setUpstreams() {
	var list []quetzalhook.Upstream
	for i := range p.scenario.engines {
		if e := p.engines[quetzalhook.UpstreamID(fmt.Sprintf("e%d", i))]; !e.gone {
			list = append(list, e.info)
		}
	}
	p.apply(p.policy.SetUpstreams(p.time(), list))
	p.apply(p.other.SetUpstreams(p.time(), list))
}

// loseEngines removes the lost engines and breaks their requests.
func (p *simulation) loseEngines() {
	for i := range p.scenario.lostEngines {
		e := p.engines[quetzalhook.UpstreamID(fmt.Sprintf("e%d", i))]
		e.gone = true
		for _, r := range e.running {
			p.results[r.request.Class.Name()].broken++
			p.apply(p.policyOf(r.request.ID).End(p.time(), r.request.ID, quetzalhook.AttemptEnd{End: quetzalhook.EndBroken}))
		}
		e.running = nil
	}
	p.setUpstreams()
}

func (p *simulation) tick() {
	p.apply(p.policy.Tick(p.time()))
	p.apply(p.other.Tick(p.time()))
	if p.now < p.scenario.length+20*time.Second {
		p.after(20*time.Millisecond, p.tick)
	}
}

// policyOf returns the policy that places a request.
func (p *simulation) policyOf(id quetzalhook.RequestID) policy {
	if p.byOther[id] {
		return p.other
	}
	return p.policy
}

// rate returns the current request rate of a class.
func (p *simulation) rate(k classLoad) float64 {
	rate := k.rate
	for _, b := range p.scenario.bursts {
		if b.class == k.class.Name() && p.now >= b.from && p.now < b.to {
			rate *= b.factor
		}
	}
	return rate
}

func (p *simulation) arrive(k classLoad) {
	gap := time.Duration(p.random.ExpFloat64() / p.rate(k) * float64(time.Second))
	p.after(gap, func() {
		if p.now >= p.scenario.length {
			return
		}
		p.submit(k)
		p.arrive(k)
	})
}

// size draws a size from a log-normal distribution with the given mean; spread
// is the standard deviation of its logarithm.
func (p *simulation) size(mean, spread float64) int {
	return max(int(mean*math.Exp(p.random.NormFloat64()*spread-spread*spread/2)), 1)
}

func (p *simulation) submit(k classLoad) {
	p.serial++
	id := quetzalhook.RequestID(fmt.Sprintf("r%d", p.serial))
	subject := p.random.IntN(k.sharedParts)
	// The size of a shared part is fixed.
	shared := max(int(k.shared*(0.5+float64(subject%10)/9)), 1)
	own := min(p.size(k.own, 1), int(12*k.own))
	q := quetzalhook.Request{
		ID: id, Class: k.class, Service: "s", Model: "m", PromptTokens: shared + own, MaxTokens: min(p.size(k.output, 0.9), int(5*k.output)),
		Parts: []quetzalhook.PromptPart{
			{Hash: uint64(len(k.class.Name()))<<32 | uint64(subject), Tokens: shared}, {Hash: uint64(p.serial) << 40, Tokens: own},
		},
		CallerTimeout: k.patience, Repeatable: false,
	}
	q.LengthHint = max(int(float64(q.MaxTokens)*math.Exp(p.random.NormFloat64()*0.5)), 1)
	r := p.results[k.class.Name()]
	r.submitted++
	if own > int(2.3*k.own) {
		p.large[id] = true
		r.largeSubmitted++
	}
	p.waiting[id] = &simRequest{request: q, arrived: p.now, prefillLeft: -1, outputLeft: q.MaxTokens}
	if p.scenario.otherShare > 0 && p.random.Float64() < p.scenario.otherShare {
		p.byOther[id] = true
	}
	p.after(messageDelay, func() { p.apply(p.policyOf(id).Submit(p.time(), q)) })
}

// apply executes decisions.
func (p *simulation) apply(decisions []Decision) {
	for _, d := range decisions {
		r := p.waiting[d.Request]
		if r == nil {
			continue
		}
		delete(p.waiting, d.Request)
		if d.Refusal != nil {
			p.results[r.request.Class.Name()].refused++
			continue
		}
		e := p.engines[d.Upstream.ID]
		r.urgency = d.Urgency
		p.after(2*messageDelay, func() { p.fetch(e, r, p.engines[quetzalhook.UpstreamID(d.Source)]) })
	}
}

// fetch copies the parts of a prompt that only the source has cached, and then
// delivers the request to the engine.
func (p *simulation) fetch(e *simEngine, r *simRequest, source *simEngine) {
	more := 0
	if source != nil && !source.gone {
		more = source.cache.cached(r.request.Parts) - e.cache.cached(r.request.Parts)
	}
	if more <= 0 {
		p.deliver(e, r)
		return
	}
	p.fetched += more
	p.after(10*time.Millisecond+time.Duration(2*more)*tokenTransfer, func() {
		if !e.gone {
			e.cache.touch(r.request.Parts[:len(r.request.Parts)-1])
		}
		p.deliver(e, r)
	})
}

// tokenTransfer is the time to copy one token between engines.
const tokenTransfer = 820 * time.Nanosecond

// deliver adds a request to an engine, unless the engine is gone or failing.
func (p *simulation) deliver(e *simEngine, r *simRequest) {
	if e.gone {
		p.results[r.request.Class.Name()].broken++
		p.apply(p.policyOf(r.request.ID).End(p.time(), r.request.ID, quetzalhook.AttemptEnd{End: quetzalhook.EndBroken}))
		return
	}
	if p.fails(e) {
		p.results[r.request.Class.Name()].broken++
		p.after(2*messageDelay, func() {
			p.apply(p.policyOf(r.request.ID).End(p.time(), r.request.ID, quetzalhook.AttemptEnd{
				End: quetzalhook.EndFinished, Verdict: quetzalhook.Verdict{Failed: true},
			}))
		})
		return
	}
	p.serial++
	r.order, e.lastRun = p.serial, p.now
	e.running = append(e.running, r)
	sort.SliceStable(e.running, func(i, j int) bool {
		if e.running[i].urgency != e.running[j].urgency {
			return e.running[i].urgency < e.running[j].urgency
		}
		return e.running[i].order < e.running[j].order
	})
	if !e.active {
		e.active = true
		p.step(e)
	}
}

// fails reports whether an engine currently answers requests with a failure.
func (p *simulation) fails(e *simEngine) bool {
	if p.now < p.scenario.failFrom || p.now >= p.scenario.failTo {
		return false
	}
	for i := range p.scenario.failing {
		if e.info.ID == quetzalhook.UpstreamID(fmt.Sprintf("e%d", i)) {
			return true
		}
	}
	return false
}

// step runs one batch step of an engine and schedules the next.
func (p *simulation) step(e *simEngine) {
	memory, admitted := 0, 0
	for _, r := range e.running {
		need := r.request.PromptTokens + r.sent
		if !r.isAdmitted && (admitted >= e.info.Slots || memory+need > e.info.MemoryTokens) {
			continue
		}
		if !r.isAdmitted {
			r.isAdmitted = true
			r.prefillLeft = max(r.request.PromptTokens-e.cache.cached(r.request.Parts), minPrefillTokens)
			e.processed += r.prefillLeft
			e.cache.touch(r.request.Parts)
		}
		admitted++
		memory += need
	}
	e.cache.evict(e.info.MemoryTokens - memory)
	duration, budget := stepMs, chunkTokens
	var prefilled, decoders []*simRequest
	for _, r := range e.running {
		switch {
		case !r.isAdmitted:
		case r.prefillLeft > 0 && budget > 0:
			n := min(r.prefillLeft, budget)
			budget -= n
			r.prefillLeft -= n
			duration += float64(n)/37.9 + float64(n)*float64(r.request.PromptTokens-r.prefillLeft)/1e6*0.248
			if r.prefillLeft == 0 {
				prefilled = append(prefilled, r)
			}
		case r.prefillLeft == 0:
			decoders = append(decoders, r)
			duration += requestStepMs
		}
	}
	if admitted == 0 {
		e.active = false
		return
	}
	took := time.Duration(duration * e.slowFactor * float64(time.Millisecond))
	p.after(took, func() {
		if e.gone {
			return
		}
		for _, r := range append(prefilled, decoders...) {
			p.token(e, r)
		}
		p.step(e)
	})
}

// token produces one output token of a request, and sends an event when it holds
// EventTokens tokens or the output ends.
func (p *simulation) token(e *simEngine, r *simRequest) {
	r.sent++
	r.outputLeft--
	now := p.now + messageDelay
	if r.sent%e.info.EventTokens == 0 || r.outputLeft <= 0 {
		begins := r.ttft == 0
		if begins {
			r.ttft = now - r.arrived
		} else {
			r.longestGap = max(r.longestGap, now-r.lastEvent)
		}
		r.lastEvent = now
		sent, requests := r.sent, len(e.running)
		p.after(2*messageDelay, func() {
			if begins {
				p.policyOf(r.request.ID).Observe(p.time(), r.request.ID, requests)
			}
			p.apply(p.policyOf(r.request.ID).Progress(p.time(), r.request.ID, sent))
		})
	}
	if r.outputLeft > 0 {
		return
	}
	for i, o := range e.running {
		if o == r {
			e.running = append(e.running[:i], e.running[i+1:]...)
			break
		}
	}
	p.finish(r)
	p.after(2*messageDelay, func() {
		p.apply(p.policyOf(r.request.ID).End(p.time(), r.request.ID, quetzalhook.AttemptEnd{End: quetzalhook.EndFinished, Tokens: r.sent}))
	})
}

// finish records the outcome of a finished request.
func (p *simulation) finish(r *simRequest) {
	class := r.request.Class
	res := p.results[class.Name()]
	if p.large[r.request.ID] {
		res.largeServed++
	}
	res.ttfts = append(res.ttfts, milliseconds(r.ttft))
	if gap := class.GapTarget(); gap > 0 && r.longestGap > gap {
		res.gapMissed++
		res.late++
		return
	}
	if r.ttft <= class.TTFTTarget() {
		res.inTarget++
	} else {
		res.late++
	}
}

// prefilledTokens returns the prompt tokens that all engines have processed.
func (p *simulation) prefilledTokens() int {
	n := 0
	for _, e := range p.engines {
		n += e.processed
	}
	return n
}
