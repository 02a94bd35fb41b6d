package trial

import (
	"math/rand/v2"
	"sort"
	"time"

	"quetzalhook"
)

const (
	// stepDuration is the time step of an engine. A first token is delayed by at
	// most one step.
	stepDuration = 10 * time.Millisecond
	// batchSlope is the relative increase of the time per output token from one
	// running stream to a full batch.
	batchSlope = 0.5
	// memoryTokens is the size of the KV cache for running streams; it holds their
	// prompt and output tokens.
	memoryTokens = 64_000
	// cacheTokens is the size of the prefix cache.
	cacheTokens = 64_000
	// eventLossProbability is the probability that a load report loses its cache
	// events.
	eventLossProbability = 0.05
)

// job is one attempt of a request on an upstream.
type job struct {
	id           quetzalhook.RequestID
	attempt      int
	host         *host
	tier         quetzalhook.Tier
	prefixes     []uint64
	prefixTokens int           // length of each prefix in tokens
	promptTokens int           // includes the part of the answer that was received before
	prefillLeft  float64       // prompt tokens that are still to be computed
	outputTokens int           // output tokens that this attempt generates
	produced     float64       // output tokens generated so far
	delivered    int           // output tokens sent to the host so far
	serviceTime  time.Duration // remaining time of a service call
	seq          int           // order of submission to the engines
	admitted     bool          // was in the batch before, so prefillLeft is set
}

// kvTokens returns the tokens that the job keeps in the KV cache.
func (j *job) kvTokens() float64 { return float64(j.promptTokens) + j.produced }

// engine simulates a model engine or, for KindService, a plain service.
type engine struct {
	quetzalhook.Upstream
	sim                *simulation
	speed              float64 // relative to the nominal rates
	up                 bool
	silent             bool // accepts requests and never answers
	reportsWhileSilent bool // sends load reports even if it is silent
	leaving            bool
	waiting            []*job
	running            []*job
	stepScheduled      bool // a call of step is scheduled
	cache              lru
	rng                *rand.Rand

	added, evicted    []uint64 // prefixes since the last report
	tokensSinceReport int      // output tokens since the last report
	reportedAt        time.Duration

	generated  float64 // output tokens, delivered or not
	prefilled  float64
	downSince  time.Duration
	downTotal  time.Duration
	peakJobs   int           // largest number of jobs at once
	overbooked time.Duration // time during which jobs waited for a slot
}

// submit adds an attempt to the queue.
func (e *engine) submit(j *job) {
	e.sim.submitted++
	j.seq = e.sim.submitted
	e.enqueue(j)
	e.peakJobs = max(e.peakJobs, len(e.waiting)+len(e.running))
	e.scheduleStep()
}

// enqueue adds j to the queue, which is ordered by tier, then by arrival.
func (e *engine) enqueue(j *job) {
	i := sort.Search(len(e.waiting), func(i int) bool {
		o := e.waiting[i]
		return o.tier > j.tier || o.tier == j.tier && o.seq > j.seq
	})
	e.waiting = append(e.waiting, nil)
	copy(e.waiting[i+1:], e.waiting[i:])
	e.waiting[i] = j
}

// scheduleStep schedules the next step unless one is scheduled.
func (e *engine) scheduleStep() {
	if !e.stepScheduled && e.up {
		e.stepScheduled = true
		e.sim.scheduleAfter(stepDuration, e.step)
	}
}

// cancel removes an attempt. Tokens that it has generated but not delivered are
// lost.
func (e *engine) cancel(id quetzalhook.RequestID, attempt int) {
	e.waiting = withoutJob(e.waiting, id, attempt)
	e.running = withoutJob(e.running, id, attempt)
}

// withoutJob returns the list without the given attempt.
func withoutJob(list []*job, id quetzalhook.RequestID, attempt int) []*job {
	for i, j := range list {
		if j.id == id && j.attempt == attempt {
			return append(list[:i:i], list[i+1:]...)
		}
	}
	return list
}

// admit moves waiting jobs to free slots while there is free memory. If no other
// job is running, a job is admitted even if it exceeds the memory.
func (e *engine) admit() {
	used := 0.0
	for _, j := range e.running {
		used += j.kvTokens()
	}
	for len(e.waiting) > 0 && len(e.running) < e.Slots {
		j := e.waiting[0]
		if used+j.kvTokens() > memoryTokens && len(e.running) > 0 {
			return
		}
		used += j.kvTokens()
		e.waiting = e.waiting[1:]
		if !j.admitted {
			j.prefillLeft = float64(j.promptTokens - e.cachedTokens(j))
			j.admitted = true
		}
		e.running = append(e.running, j)
	}
}

// cachedTokens returns the number of prompt tokens found in the prefix cache.
// The last prompt token is always computed.
func (e *engine) cachedTokens(j *job) int {
	for i := len(j.prefixes) - 1; i >= 0; i-- {
		if e.cache.touch(j.prefixes[i]) {
			return min((i+1)*j.prefixTokens, j.promptTokens-1)
		}
	}
	return 0
}

// step advances the running jobs by stepDuration.
func (e *engine) step() {
	e.stepScheduled = false
	if !e.up || e.silent {
		return
	}
	e.admit()
	if len(e.waiting) > 0 {
		e.overbooked += stepDuration
	}
	if e.Kind == quetzalhook.KindService {
		e.advanceService()
	} else {
		e.advanceEngine()
	}
	e.removeFinished()
	if len(e.running)+len(e.waiting) > 0 {
		e.stepScheduled = true
		e.sim.scheduleAfter(stepDuration, e.step)
	}
}

// advanceService advances the service calls. A finished call yields all its
// output at once.
func (e *engine) advanceService() {
	for _, j := range e.running {
		if j.serviceTime -= stepDuration; j.serviceTime <= 0 {
			j.produced = float64(j.outputTokens)
		}
	}
}

// advanceEngine computes one step: prefill in order of admission, then decoding
// for all jobs whose prefill is done.
func (e *engine) advanceEngine() {
	budget := e.PrefillRate * e.speed * stepDuration.Seconds()
	decoding := 0
	for _, j := range e.running {
		if n := min(j.prefillLeft, budget); n > 0 {
			j.prefillLeft -= n
			budget -= n
			e.prefilled += n
			if j.prefillLeft <= 0 {
				e.cachePrefixes(j)
			}
		}
		if j.prefillLeft <= 0 {
			decoding++
		}
	}
	batchFill := float64(max(decoding-1, 0)) / float64(max(e.Slots-1, 1))
	stepTokens := e.TokenRate * e.speed * stepDuration.Seconds() / (1 + batchSlope*batchFill)
	for i := 0; i < len(e.running); i++ {
		j := e.running[i]
		if j.prefillLeft > 0 {
			continue
		}
		n := min(stepTokens, float64(j.outputTokens)-j.produced)
		j.produced += n
		e.generated += n
		e.deliver(j)
	}
	e.preemptForMemory()
}

// deliver sends the newly completed tokens to the job's host.
func (e *engine) deliver(j *job) {
	n := int(j.produced + 1e-9)
	if n <= j.delivered {
		return
	}
	e.tokensSinceReport += n - j.delivered
	j.delivered = n
	e.sim.send(e, j.host, func() { j.host.relay(j, n) })
}

// preemptForMemory moves jobs back to the queue until the running ones fit in
// memory or only one is left. It picks the last admitted job of the least urgent
// tier first.
func (e *engine) preemptForMemory() {
	used := 0.0
	for _, j := range e.running {
		used += j.kvTokens()
	}
	for used > memoryTokens && len(e.running) > 1 {
		victim := 0
		for i, j := range e.running {
			if j.tier >= e.running[victim].tier {
				victim = i
			}
		}
		j := e.running[victim]
		used -= j.kvTokens()
		j.prefillLeft = j.kvTokens() // its KV cache is dropped, so its tokens are computed again
		e.running = append(e.running[:victim:victim], e.running[victim+1:]...)
		e.enqueue(j)
	}
}

// removeFinished removes the finished jobs and reports their end to their hosts.
func (e *engine) removeFinished() {
	kept := e.running[:0:0]
	for _, j := range e.running {
		if j.produced < float64(j.outputTokens)-1e-9 {
			kept = append(kept, j)
			continue
		}
		n := j.outputTokens
		e.sim.send(e, j.host, func() {
			j.host.relay(j, n)
			j.host.end(j, quetzalhook.EndFinished)
		})
	}
	e.running = kept
}

// cachePrefixes adds the prefixes of the prompt to the prefix cache.
func (e *engine) cachePrefixes(j *job) {
	for _, h := range j.prefixes {
		added, evicted := e.cache.add(h, j.prefixTokens)
		if added {
			e.added = append(e.added, h)
		}
		e.evicted = append(e.evicted, evicted...)
	}
}

// crash stops the engine, drops its jobs and its prefix cache, and breaks the
// streams to the hosts.
func (e *engine) crash() {
	if !e.up {
		return
	}
	e.up, e.stepScheduled = false, false
	e.downSince = e.sim.now
	for _, j := range append(e.running, e.waiting...) {
		e.sim.send(e, j.host, func() { j.host.end(j, quetzalhook.EndBroken) })
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
	e.downTotal += e.sim.now - e.downSince
}

// takeReport returns a load report for the time since the last one. With
// eventLossProbability it loses its cache events.
func (e *engine) takeReport() quetzalhook.Load {
	l := quetzalhook.Load{
		Upstream: e.ID, Running: len(e.running), Waiting: len(e.waiting), Leaving: e.leaving,
		Prefixes: e.added, Evicted: e.evicted,
	}
	if d := (e.sim.now - e.reportedAt).Seconds(); d > 0 {
		l.TokenRate = float64(e.tokensSinceReport) / d
	}
	if e.rng.Float64() < eventLossProbability {
		l.Prefixes, l.Evicted, l.PrefixGap = nil, nil, true
	}
	e.added, e.evicted, e.tokensSinceReport, e.reportedAt = nil, nil, 0, e.sim.now
	return l
}
