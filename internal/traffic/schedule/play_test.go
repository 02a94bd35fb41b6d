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

// kindOf is a class of a played load. Sizes follow a log-normal distribution.
type kindOf struct {
	class    quetzalhook.Class
	rate     float64 // requests a second
	shared   float64 // mean tokens of the shared part
	subjects int     // number of shared parts
	own      float64 // mean tokens of the rest of the prompt
	output   float64 // mean output tokens
	patience time.Duration
}

// burstOf multiplies the rate of one class for a while.
type burstOf struct {
	class    quetzalhook.ClassName
	from, to time.Duration
	factor   float64
}

// load describes what is played.
type load struct {
	kinds   []kindOf
	bursts  []burstOf
	engines int
	length  time.Duration
	// lost are engines that leave at a time, as a reclaimed zone does.
	lost     int
	lostAt   time.Duration
	memory   int
	slots    int
	slowness float64 // of the last engine; 0 for none
	// failing engines answer every request at once with a failure from failFrom
	// to failTo, and look sound otherwise.
	failing          int
	failFrom, failTo time.Duration
	// apart is the part of the requests that another scheduler places, which
	// hears nothing of the first one: its host is cut off.
	apart float64
}

// result is what the callers of one class got.
type result struct {
	asked, inTarget, late, refused, broken int
	paused                                 int // streams with a pause over the target
	largeAsked, largeServed                int // the largest tenth
	firsts                                 []float64
}

func (r *result) served() int { return r.inTarget + r.late }

func (r *result) share() float64 { return float64(r.inTarget) / float64(max(r.asked, 1)) }

// simRun is a request at a simulated engine.
type simRun struct {
	request quetzalhook.Request
	arrived time.Duration
	urgency int
	order   int
	read    int // tokens still to read
	admit   bool
	left    int // output tokens
	first   time.Duration
	last    time.Duration
	pause   time.Duration
	sent    int
}

// simEngine batches requests: in each step every running request gets a token,
// and up to chunkTokens of prompts are read, the most urgent first.
type simEngine struct {
	info    quetzalhook.Upstream
	runs    []*simRun
	cache   cache
	active  bool
	gone    bool
	slow    float64
	readAll int // prompt tokens read
	lastRun time.Duration
}

// policy decides in a played load.
type policy interface {
	SetUpstreams(now time.Time, list []quetzalhook.Upstream) []Decision
	Submit(now time.Time, q quetzalhook.Request) []Decision
	Progress(now time.Time, id quetzalhook.RequestID, tokens int) []Decision
	Observe(now time.Time, id quetzalhook.RequestID, requests int)
	End(now time.Time, id quetzalhook.RequestID, end quetzalhook.AttemptEnd) []Decision
	Tick(now time.Time) []Decision
}

// event is something that happens at a time.
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

// play is one played load. Messages between hosts take a fixed time.
type play struct {
	load    load
	policy  policy
	other   policy // of hosts that are cut off
	byOther map[quetzalhook.RequestID]bool
	random  *rand.Rand
	start   time.Time
	now     time.Duration
	queue   events
	serial  int
	engines map[quetzalhook.UpstreamID]*simEngine
	waiting map[quetzalhook.RequestID]*simRun
	results map[quetzalhook.ClassName]*result
	large   map[quetzalhook.RequestID]bool
	fetched int // tokens copied between engines
}

// messageDelay is the way between hosts of different regions.
const messageDelay = 12 * time.Millisecond

func newPlay(l load, p policy, seed uint64) *play {
	return &play{
		load: l, policy: p, other: New(), byOther: make(map[quetzalhook.RequestID]bool), random: rand.New(rand.NewPCG(seed, 1)), start: time.Unix(1000, 0),
		engines: make(map[quetzalhook.UpstreamID]*simEngine), waiting: make(map[quetzalhook.RequestID]*simRun),
		results: make(map[quetzalhook.ClassName]*result), large: make(map[quetzalhook.RequestID]bool),
	}
}

func (p *play) time() time.Time { return p.start.Add(p.now) }

func (p *play) after(d time.Duration, do func()) {
	p.serial++
	heap.Push(&p.queue, event{at: p.now + d, order: p.serial, do: do})
}

// run plays the whole load and returns what the callers got.
func (p *play) run() map[quetzalhook.ClassName]*result {
	for i := range p.load.engines {
		id := quetzalhook.UpstreamID(fmt.Sprintf("e%d", i))
		e := &simEngine{info: quetzalhook.Upstream{
			ID: id, Service: "s", Models: []quetzalhook.Model{"m"}, Slots: p.load.slots, MemoryTokens: p.load.memory, EventTokens: 3,
			Address: string(id), TokenTransfer: tokenTransfer,
		}, cache: newCache(), slow: 1}
		if p.load.slowness > 0 && i == p.load.engines-1 {
			e.slow = p.load.slowness
		}
		p.engines[id] = e
	}
	p.announce()
	for _, k := range p.load.kinds {
		p.results[k.class.Name()] = &result{}
		p.arrive(k)
	}
	if p.load.lost > 0 {
		p.after(p.load.lostAt, p.lose)
	}
	p.tick()
	for p.queue.Len() > 0 {
		e := heap.Pop(&p.queue).(event)
		p.now = e.at
		e.do()
	}
	return p.results
}

func (p *play) announce() {
	var list []quetzalhook.Upstream
	for i := range p.load.engines {
		if e := p.engines[quetzalhook.UpstreamID(fmt.Sprintf("e%d", i))]; !e.gone {
			list = append(list, e.info)
		}
	}
	p.apply(p.policy.SetUpstreams(p.time(), list))
	p.apply(p.other.SetUpstreams(p.time(), list))
}

// lose takes engines away; what they run breaks.
func (p *play) lose() {
	for i := range p.load.lost {
		e := p.engines[quetzalhook.UpstreamID(fmt.Sprintf("e%d", i))]
		e.gone = true
		for _, r := range e.runs {
			p.results[r.request.Class.Name()].broken++
			p.apply(p.of(r.request.ID).End(p.time(), r.request.ID, quetzalhook.AttemptEnd{End: quetzalhook.EndBroken}))
		}
		e.runs = nil
	}
	p.announce()
}

func (p *play) tick() {
	p.apply(p.policy.Tick(p.time()))
	p.apply(p.other.Tick(p.time()))
	if p.now < p.load.length+20*time.Second {
		p.after(20*time.Millisecond, p.tick)
	}
}

// of returns the policy that places a request.
func (p *play) of(id quetzalhook.RequestID) policy {
	if p.byOther[id] {
		return p.other
	}
	return p.policy
}

// rate returns the present rate of a class.
func (p *play) rate(k kindOf) float64 {
	rate := k.rate
	for _, b := range p.load.bursts {
		if b.class == k.class.Name() && p.now >= b.from && p.now < b.to {
			rate *= b.factor
		}
	}
	return rate
}

func (p *play) arrive(k kindOf) {
	gap := time.Duration(p.random.ExpFloat64() / p.rate(k) * float64(time.Second))
	p.after(gap, func() {
		if p.now >= p.load.length {
			return
		}
		p.submit(k)
		p.arrive(k)
	})
}

// size draws a size with a mean and a wide spread.
func (p *play) size(mean, spread float64) int {
	return max(int(mean*math.Exp(p.random.NormFloat64()*spread-spread*spread/2)), 1)
}

func (p *play) submit(k kindOf) {
	p.serial++
	id := quetzalhook.RequestID(fmt.Sprintf("r%d", p.serial))
	subject := p.random.IntN(k.subjects)
	// The size of a shared part belongs to its subject.
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
	r.asked++
	if own > int(2.3*k.own) {
		p.large[id] = true
		r.largeAsked++
	}
	p.waiting[id] = &simRun{request: q, arrived: p.now, read: -1, left: q.MaxTokens}
	if p.load.apart > 0 && p.random.Float64() < p.load.apart {
		p.byOther[id] = true
	}
	p.after(messageDelay, func() { p.apply(p.of(id).Submit(p.time(), q)) })
}

// apply carries out decisions.
func (p *play) apply(decisions []Decision) {
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

// fetch copies the parts of a prompt that a source holds, and then hands the
// request to the engine.
func (p *play) fetch(e *simEngine, r *simRun, source *simEngine) {
	more := 0
	if source != nil && !source.gone {
		more = source.cache.held(r.request.Parts) - e.cache.held(r.request.Parts)
	}
	if more <= 0 {
		p.deliver(e, r)
		return
	}
	p.fetched += more
	p.after(10*time.Millisecond+time.Duration(2*more)*tokenTransfer, func() {
		if !e.gone {
			e.cache.use(r.request.Parts[:len(r.request.Parts)-1])
		}
		p.deliver(e, r)
	})
}

// tokenTransfer is the time to copy one token between engines.
const tokenTransfer = 820 * time.Nanosecond

// deliver hands a request to an engine.
func (p *play) deliver(e *simEngine, r *simRun) {
	if e.gone {
		p.results[r.request.Class.Name()].broken++
		p.apply(p.of(r.request.ID).End(p.time(), r.request.ID, quetzalhook.AttemptEnd{End: quetzalhook.EndBroken}))
		return
	}
	if p.fails(e) {
		p.results[r.request.Class.Name()].broken++
		p.after(2*messageDelay, func() {
			p.apply(p.of(r.request.ID).End(p.time(), r.request.ID, quetzalhook.AttemptEnd{
				End: quetzalhook.EndFinished, Verdict: quetzalhook.Verdict{Failed: true},
			}))
		})
		return
	}
	p.serial++
	r.order, e.lastRun = p.serial, p.now
	e.runs = append(e.runs, r)
	sort.SliceStable(e.runs, func(i, j int) bool {
		if e.runs[i].urgency != e.runs[j].urgency {
			return e.runs[i].urgency < e.runs[j].urgency
		}
		return e.runs[i].order < e.runs[j].order
	})
	if !e.active {
		e.active = true
		p.step(e)
	}
}

// fails reports whether an engine answers requests with a failure at present.
func (p *play) fails(e *simEngine) bool {
	if p.now < p.load.failFrom || p.now >= p.load.failTo {
		return false
	}
	for i := range p.load.failing {
		if e.info.ID == quetzalhook.UpstreamID(fmt.Sprintf("e%d", i)) {
			return true
		}
	}
	return false
}

// step runs one step of a batch.
func (p *play) step(e *simEngine) {
	memory, admitted := 0, 0
	for _, r := range e.runs {
		need := r.request.PromptTokens + r.sent
		if !r.admit && (admitted >= e.info.Slots || memory+need > e.info.MemoryTokens) {
			continue
		}
		if !r.admit {
			r.admit = true
			r.read = max(r.request.PromptTokens-e.cache.held(r.request.Parts), minRead)
			e.readAll += r.read
			e.cache.use(r.request.Parts)
		}
		admitted++
		memory += need
	}
	e.cache.shrink(e.info.MemoryTokens - memory)
	duration, budget := stepTime, chunkTokens
	var readers, decoders []*simRun
	for _, r := range e.runs {
		switch {
		case !r.admit:
		case r.read > 0 && budget > 0:
			n := min(r.read, budget)
			budget -= n
			r.read -= n
			duration += float64(n)/37.9 + float64(n)*float64(r.request.PromptTokens-r.read)/1e6*0.248
			if r.read == 0 {
				readers = append(readers, r)
			}
		case r.read == 0:
			decoders = append(decoders, r)
			duration += slotTime
		}
	}
	if admitted == 0 {
		e.active = false
		return
	}
	took := time.Duration(duration * e.slow * float64(time.Millisecond))
	p.after(took, func() {
		if e.gone {
			return
		}
		for _, r := range append(readers, decoders...) {
			p.token(e, r)
		}
		p.step(e)
	})
}

// token gives a request one token and sends an event when it is full.
func (p *play) token(e *simEngine, r *simRun) {
	r.sent++
	r.left--
	now := p.now + messageDelay
	if r.sent%e.info.EventTokens == 0 || r.left <= 0 {
		begins := r.first == 0
		if begins {
			r.first = now - r.arrived
		} else {
			r.pause = max(r.pause, now-r.last)
		}
		r.last = now
		sent, requests := r.sent, len(e.runs)
		p.after(2*messageDelay, func() {
			if begins {
				p.of(r.request.ID).Observe(p.time(), r.request.ID, requests)
			}
			p.apply(p.of(r.request.ID).Progress(p.time(), r.request.ID, sent))
		})
	}
	if r.left > 0 {
		return
	}
	for i, o := range e.runs {
		if o == r {
			e.runs = append(e.runs[:i], e.runs[i+1:]...)
			break
		}
	}
	p.finish(r)
	p.after(2*messageDelay, func() {
		p.apply(p.of(r.request.ID).End(p.time(), r.request.ID, quetzalhook.AttemptEnd{End: quetzalhook.EndFinished, Tokens: r.sent}))
	})
}

// finish notes what the caller got.
func (p *play) finish(r *simRun) {
	class := r.request.Class
	res := p.results[class.Name()]
	if p.large[r.request.ID] {
		res.largeServed++
	}
	res.firsts = append(res.firsts, milliseconds(r.first))
	if gap := class.GapTarget(); gap > 0 && r.pause > gap {
		res.paused++
		res.late++
		return
	}
	if r.first <= class.TTFTTarget() {
		res.inTarget++
	} else {
		res.late++
	}
}

// readTokens returns the prompt tokens that all engines have read.
func (p *play) readTokens() int {
	n := 0
	for _, e := range p.engines {
		n += e.readAll
	}
	return n
}
