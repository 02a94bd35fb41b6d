package schedule

import (
	"math"
	"time"

	"quetzalhook"
	"quetzalhook/internal/traffic/reliability"
)

// Costs of an engine's work before anything is learned. They are those of a
// large model on two accelerators; speed corrects them for each engine.
const (
	// readRate is the number of prompt tokens that are read in one ms.
	readRate = 34.0
	// pairCost is the time in ms for a million pairs of a token that is read and
	// a token before it.
	pairCost = 0.25
	// stepTime is the time in ms of one step of a batch, and slotTime what each
	// running request adds to it.
	stepTime = 4.7
	slotTime = 0.155
	// chunkTokens is the number of prompt tokens that an engine reads in one
	// step, beside a token of each running request.
	chunkTokens = 2048
	// firstTime is the time in ms from the end of reading to the first event.
	firstTime = 20.0
)

// run is a request that waits or runs.
type run struct {
	request   quetzalhook.Request
	pool      *pool
	submitted time.Time
	sequence  uint64

	engine   *engine // nil while it waits
	reserved *engine // kept for it because it is overdue and has no room
	started  time.Time
	expected float64 // predicted time to the first token, in ms from started
	work     float64 // time to read what is not held, in ms
	left     float64 // part of work that is not done, as far as is known
	memory   int     // tokens of prompt and predicted output
	first    bool    // the first token has come
	tokens   int
}

// before reports whether an engine reads r before o.
func (r *run) before(o *run) bool {
	if r.request.Class.Tier() != o.request.Class.Tier() {
		return r.request.Class.Tier() < o.request.Class.Tier()
	}
	return r.sequence < o.sequence
}

// predictedOutput returns the number of output tokens that are expected.
func predictedOutput(r quetzalhook.Request) int {
	switch {
	case r.LengthHint > 0 && (r.MaxTokens == 0 || r.LengthHint < r.MaxTokens):
		return r.LengthHint
	case r.MaxTokens > 0:
		return r.MaxTokens
	}
	return defaultOutput
}

// defaultOutput is assumed if neither hint nor bound is known, in tokens.
const defaultOutput = 256

// engine is what is known of one engine.
type engine struct {
	info   quetzalhook.Upstream
	runs   map[quetzalhook.RequestID]*run
	reads  []*run // without a first token, in the order in which they are read
	at     time.Time
	memory int                   // tokens of all runs
	gaps   map[time.Duration]int // runs by their target for pauses
	cache  cache
	// slowness is the smoothed ratio of observed to expected times.
	slowness float64
	// foreign is the number of requests that run here and that this scheduler
	// does not know, as of foreignAt: those of hosts that are cut off from it.
	foreign   float64
	foreignAt time.Time
	sign      time.Time // last sign of life
	record    reliability.Record
}

func newEngine(info quetzalhook.Upstream, now time.Time) *engine {
	return &engine{
		info: info, runs: make(map[quetzalhook.RequestID]*run), at: now, sign: now, cache: newCache(), slowness: 1,
		gaps: make(map[time.Duration]int),
	}
}

// readTime returns the time in ms to read the last tokens of a prompt.
func readTime(tokens, prompt int) float64 {
	pairs := float64(tokens) * (float64(prompt) - float64(tokens)/2)
	return float64(tokens)/readRate + pairs/1e6*pairCost
}

// unread returns how many tokens of a prompt the engine has to read.
func (e *engine) unread(r quetzalhook.Request) int {
	return max(r.PromptTokens-e.cache.held(r.Parts), minRead)
}

// minRead is the least that is read of a prompt, in tokens.
const minRead = 16

// advance lets the time since the last call reduce the work that is left.
func (e *engine) advance(now time.Time) {
	if e.foreign > 0 {
		e.foreign *= math.Exp2(-float64(now.Sub(e.foreignAt)) / float64(foreignLife))
		e.foreignAt = now
	}
	elapsed := float64(now.Sub(e.at)) / float64(time.Millisecond) / e.slowness
	e.at = now
	for _, r := range e.reads {
		done := min(r.left, elapsed)
		r.left -= done
		elapsed -= done
		if elapsed <= 0 {
			return
		}
	}
}

// ahead returns the work in ms that the engine does before it reads for r.
func (e *engine) ahead(r *run) float64 {
	sum := e.foreign * foreignWork
	for _, o := range e.reads {
		if o.before(r) {
			sum += o.left
		}
	}
	return sum
}

// observe notes the number of requests that an engine was seen to have. The
// answer that showed it left the engine some ms ago.
func (e *engine) observe(now time.Time, requests int) {
	unknown := float64(max(requests-len(e.runs), 0))
	e.foreign += foreignGain * (unknown - e.foreign)
	e.foreignAt = now
}

const (
	// foreignGain is the weight of one observation of foreign requests.
	foreignGain = 0.3
	// foreignLife is the time in which foreign requests count for half unless
	// they are seen again: about as long as a request runs.
	foreignLife = 2 * time.Second
	// foreignWork is the reading in ms that is left of a foreign request. Most
	// of them have read their prompt: they read for 130 ms and run for seconds.
	foreignWork = 5.0
)

// start adds a run whose prompt has tokens to read after a fetch.
func (e *engine) start(now time.Time, r *run, unread int, fetch float64) {
	r.engine, r.started = e, now
	r.work = readTime(unread, r.request.PromptTokens) + fetch
	r.left = r.work
	e.place(r)
	e.cache.use(r.request.Parts)
	e.shrink()
}

// place puts a run without a first token in the order of reading.
func (e *engine) place(r *run) {
	e.runs[r.request.ID] = r
	e.memory += r.memory
	e.gaps[r.request.Class.GapTarget()]++
	i := len(e.reads)
	for i > 0 && r.before(e.reads[i-1]) {
		i--
	}
	e.reads = append(e.reads, nil)
	copy(e.reads[i+1:], e.reads[i:])
	e.reads[i] = r
}

// shrink lets held parts yield to running requests.
func (e *engine) shrink() {
	if e.info.MemoryTokens > 0 {
		e.cache.shrink(e.info.MemoryTokens - e.memory)
	}
}

// began notes the first token of a run.
func (e *engine) began(now time.Time, r *run) {
	r.first, r.left = true, 0
	for i, o := range e.reads {
		if o == r {
			e.reads = append(e.reads[:i], e.reads[i+1:]...)
			break
		}
	}
	observed := float64(now.Sub(r.started)) / float64(time.Millisecond)
	if r.expected > 0 {
		ratio := min(max(observed/r.expected, 1/maxRatio), maxRatio)
		e.slowness = max(e.slowness+slownessGain*(ratio-e.slowness), 1)
	}
}

const (
	// slownessGain is the weight of one observation of the time to the first
	// token, maxRatio the bound on one observation.
	slownessGain = 0.15
	maxRatio     = 8
)

// remove takes a run off the engine.
func (e *engine) remove(r *run) {
	if e.runs[r.request.ID] != r {
		return
	}
	delete(e.runs, r.request.ID)
	e.memory -= r.memory
	if gap := r.request.Class.GapTarget(); e.gaps[gap] > 1 {
		e.gaps[gap]--
	} else {
		delete(e.gaps, gap)
	}
	if !r.first {
		for i, o := range e.reads {
			if o == r {
				e.reads = append(e.reads[:i], e.reads[i+1:]...)
				break
			}
		}
	}
}

// hasRoom reports whether the engine can take a request without displacing
// one that runs.
func (e *engine) hasRoom(memory int) bool {
	if e.info.Slots > 0 && float64(len(e.runs))+e.foreign >= float64(e.info.Slots) {
		return false
	}
	foreign := e.foreign * float64(memory)
	if len(e.runs) > 0 {
		foreign = e.foreign * float64(e.memory) / float64(len(e.runs))
	}
	return e.info.MemoryTokens == 0 || len(e.runs) == 0 ||
		float64(e.memory+memory)+foreign <= memoryLimit*float64(e.info.MemoryTokens)
}

// isOpen reports whether the engine should take a request now: it has room,
// and little work goes before the request.
func (e *engine) isOpen(r *run) bool {
	return e.hasRoom(r.memory) && e.ahead(r)*e.slowness <= holdLimit
}

// memoryLimit is the part of an engine's memory that predicted requests may
// fill. The rest holds shared parts of prompts, so that they need not be read
// again, and outputs that are longer than predicted. With 0.9, a burst of 2.5
// times read a third more.
const memoryLimit = 0.35

// streams returns the number of runs that produce tokens.
func (e *engine) streams() float64 { return float64(len(e.runs)-len(e.reads)) + e.foreign }
