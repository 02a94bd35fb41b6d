package trial

import (
	"math/rand/v2"
	"sort"
	"time"

	"quetzalhook"
)

const (
	// quantum is the time step of an engine; a first token is late by at most
	// one step.
	quantum = 10 * time.Millisecond
	// batchSlope is how much longer a decode step is with a full batch.
	batchSlope = 0.5
	// memoryTokens bounds the prompt and output tokens of running streams.
	memoryTokens = 64_000
	// cacheTokens bounds the prefix cache.
	cacheTokens = 64_000
	// eventLoss is the probability that the cache events of a report are lost.
	eventLoss = 0.05
)

// job is one attempt of a request on an upstream.
type job struct {
	id        quetzalhook.RequestID
	attempt   int
	host      *host
	tier      quetzalhook.Tier
	prefixes  []uint64
	step      int     // tokens of each prefix
	prompt    int     // with the resumed part of the answer
	prefill   float64 // prompt tokens that remain to be computed
	want      int     // output tokens of this attempt
	produced  float64
	delivered int
	busy      time.Duration // time that a service call takes
	order     int
	admitted  bool
}

func (j *job) memory() float64 { return float64(j.prompt) + j.produced }

// engine is a fake of an engine or, for KindService, of a plain service.
type engine struct {
	quetzalhook.Upstream
	w       *world
	speed   float64
	up      bool
	silent  bool // accepts requests and answers nothing
	reports bool // sends load reports while it is silent
	leaving bool
	waiting []*job
	running []*job
	active  bool // a step is scheduled
	cache   lru
	rng     *rand.Rand

	added, evicted []uint64
	tokens         int // since the last report
	reportedAt     time.Duration

	generated  float64 // output tokens, delivered or not
	prefilled  float64
	downSince  time.Duration
	downTotal  time.Duration
	peakJobs   int
	overbooked time.Duration // time with waiting jobs
}

func (e *engine) submit(j *job) {
	e.w.arrivals++
	j.order = e.w.arrivals
	e.enqueue(j)
	e.peakJobs = max(e.peakJobs, len(e.waiting)+len(e.running))
	e.wake()
}

// enqueue adds j by tier, then by arrival.
func (e *engine) enqueue(j *job) {
	i := sort.Search(len(e.waiting), func(i int) bool {
		o := e.waiting[i]
		return o.tier > j.tier || o.tier == j.tier && o.order > j.order
	})
	e.waiting = append(e.waiting, nil)
	copy(e.waiting[i+1:], e.waiting[i:])
	e.waiting[i] = j
}

func (e *engine) wake() {
	if !e.active && e.up {
		e.active = true
		e.w.after(quantum, e.step)
	}
}

// cancel removes an attempt; what it produced beyond the delivered tokens is
// lost.
func (e *engine) cancel(id quetzalhook.RequestID, attempt int) {
	e.waiting = withoutJob(e.waiting, id, attempt)
	e.running = withoutJob(e.running, id, attempt)
}

func withoutJob(list []*job, id quetzalhook.RequestID, attempt int) []*job {
	for i, j := range list {
		if j.id == id && j.attempt == attempt {
			return append(list[:i:i], list[i+1:]...)
		}
	}
	return list
}

// admit moves waiting jobs into free slots while memory lasts.
func (e *engine) admit() {
	used := 0.0
	for _, j := range e.running {
		used += j.memory()
	}
	for len(e.waiting) > 0 && len(e.running) < e.Slots {
		j := e.waiting[0]
		if used+j.memory() > memoryTokens && len(e.running) > 0 {
			return
		}
		used += j.memory()
		e.waiting = e.waiting[1:]
		if !j.admitted {
			j.prefill = float64(j.prompt - e.cached(j))
			j.admitted = true
		}
		e.running = append(e.running, j)
	}
}

// cached returns the prompt tokens found in the prefix cache. The last token
// is always computed.
func (e *engine) cached(j *job) int {
	for i := len(j.prefixes) - 1; i >= 0; i-- {
		if e.cache.touch(j.prefixes[i]) {
			return min((i+1)*j.step, j.prompt-1)
		}
	}
	return 0
}

// step advances the batch by one quantum.
func (e *engine) step() {
	e.active = false
	if !e.up || e.silent {
		return
	}
	e.admit()
	if len(e.waiting) > 0 {
		e.overbooked += quantum
	}
	if e.Kind == quetzalhook.KindService {
		e.serve()
	} else {
		e.compute()
	}
	e.finish()
	if len(e.running)+len(e.waiting) > 0 {
		e.active = true
		e.w.after(quantum, e.step)
	}
}

// serve advances service calls, which yield one token when done.
func (e *engine) serve() {
	for _, j := range e.running {
		if j.busy -= quantum; j.busy <= 0 {
			j.produced = float64(j.want)
		}
	}
}

// compute spends the quantum on prefill, in order of admission, and on one
// batch of decoding.
func (e *engine) compute() {
	budget := e.PrefillRate * e.speed * quantum.Seconds()
	batch := 0
	for _, j := range e.running {
		if n := min(j.prefill, budget); n > 0 {
			j.prefill -= n
			budget -= n
			e.prefilled += n
			if j.prefill <= 0 {
				e.remember(j)
			}
		}
		if j.prefill <= 0 {
			batch++
		}
	}
	fill := float64(max(batch-1, 0)) / float64(max(e.Slots-1, 1))
	gain := e.TokenRate * e.speed * quantum.Seconds() / (1 + batchSlope*fill)
	for i := 0; i < len(e.running); i++ {
		j := e.running[i]
		if j.prefill > 0 {
			continue
		}
		n := min(gain, float64(j.want)-j.produced)
		j.produced += n
		e.generated += n
		e.deliver(j)
	}
	e.spill()
}

// deliver sends new whole tokens to the job's host.
func (e *engine) deliver(j *job) {
	n := int(j.produced + 1e-9)
	if n <= j.delivered {
		return
	}
	e.tokens += n - j.delivered
	j.delivered = n
	e.w.send(e, j.host, func() { j.host.progress(j, n) })
}

// spill returns the youngest job of the lowest tier to the queue when the
// running streams need more memory than there is.
func (e *engine) spill() {
	used := 0.0
	for _, j := range e.running {
		used += j.memory()
	}
	for used > memoryTokens && len(e.running) > 1 {
		victim := 0
		for i, j := range e.running {
			if j.tier >= e.running[victim].tier {
				victim = i
			}
		}
		j := e.running[victim]
		used -= j.memory()
		j.prefill = j.memory() // its memory is dropped
		e.running = append(e.running[:victim:victim], e.running[victim+1:]...)
		e.enqueue(j)
	}
}

func (e *engine) finish() {
	kept := e.running[:0:0]
	for _, j := range e.running {
		if j.produced < float64(j.want)-1e-9 {
			kept = append(kept, j)
			continue
		}
		n := j.want
		e.w.send(e, j.host, func() {
			j.host.progress(j, n)
			j.host.end(j, quetzalhook.EndFinished)
		})
	}
	e.running = kept
}

// remember puts the prompt's prefixes into the cache.
func (e *engine) remember(j *job) {
	for _, h := range j.prefixes {
		added, evicted := e.cache.add(h, j.step)
		if added {
			e.added = append(e.added, h)
		}
		e.evicted = append(e.evicted, evicted...)
	}
}

// crash drops all work; hosts see broken streams.
func (e *engine) crash() {
	if !e.up {
		return
	}
	e.up, e.active = false, false
	e.downSince = e.w.now
	for _, j := range append(e.running, e.waiting...) {
		e.w.send(e, j.host, func() { j.host.end(j, quetzalhook.EndBroken) })
	}
	e.running, e.waiting = nil, nil
	e.cache = newLRU(cacheTokens)
	e.added, e.evicted = nil, nil
}

func (e *engine) restart() {
	if e.up {
		return
	}
	e.up = true
	e.downTotal += e.w.now - e.downSince
}

// report takes a load report; cache events are sometimes lost.
func (e *engine) report() quetzalhook.Load {
	l := quetzalhook.Load{
		Upstream: e.ID, Running: len(e.running), Waiting: len(e.waiting), Leaving: e.leaving,
		Prefixes: e.added, Evicted: e.evicted,
	}
	if d := (e.w.now - e.reportedAt).Seconds(); d > 0 {
		l.TokenRate = float64(e.tokens) / d
	}
	if e.rng.Float64() < eventLoss {
		l.Prefixes, l.Evicted, l.PrefixGap = nil, nil, true
	}
	e.added, e.evicted, e.tokens, e.reportedAt = nil, nil, 0, e.w.now
	return l
}
