package schedule

import (
	"math"
	"time"

	"quetzalhook"
	"quetzalhook/internal/traffic/reliability"
	"quetzalhook/internal/traffic/speed"
)

// chunkTokens is the number of prompt tokens that an engine processes in one step, in
// addition to one token of each running request.
const chunkTokens = 2048

// requestState is a waiting or running request.
type requestState struct {
	request   quetzalhook.Request
	pool      *pool
	submitted time.Time
	sequence  uint64

	claimed       []place   // whose engines earlier requests wait for
	missingSince  time.Time // when no engine of its scope was known; zero if one is
	isExhausted   bool      // every engine of its build has failed or refused it
	engine        *engine   // nil while it waits
	reserved      *engine   // takes no other waiting request: this one is overdue and no engine can accept it
	started       time.Time
	expectedTTFT  float64 // time from started to the first token, in ms
	prefillWork   float64 // work to process the uncached prompt, in ms by the prior of speed
	workLeft      float64 // estimated rest of prefillWork and of fetchWork
	memory        int     // tokens of prompt and predicted output
	held          int     // tokens of prompt and output so far; 0 if not followed
	hasFirstToken bool    // the first token has been received
	outputTokens  int
	sample        sample

	work       float64     // see expectedWork; 0 if it is not computed yet
	shares     *tierShares // nil if customers have no shares
	account    *account    // of its customer in shares
	charged    float64     // work charged to the account, in ms
	band       int         // how far its customer is over its share; 0 is within
	isPromised bool        // was refused before and promised room
	isAdopted  bool        // was placed by another scheduler
	// abandonedUntil is when a request of a silent host is forgotten; zero if the host
	// is not silent.
	abandonedUntil time.Time
	relievedAt     time.Time // when it was first to be moved, since the engine's memory is short
}

// sample is what an engine has to do for a request, as far as its speed is learnt from
// it.
type sample struct {
	work     float64 // until the first token, of this request and those before it
	requests float64 // that produced tokens at the start
	linkMs   float64 // of links on the way to the first token
	isKnown  bool    // the start of the request and the work before it are known
	// isOwn reports that this scheduler placed the request. One that only knows requests
	// of its own host does not know how many share the engine, and takes the leader's
	// word for the speed.
	isOwn bool

	// The rest describes the last report of tokens from which a time was taken.
	at      time.Time
	tokens  int
	load    float64 // engine.loadMs then
	prefill float64 // engine.prefilled then
}

// precedes reports whether an engine processes the prompt of r before that of o.
func (r *requestState) precedes(o *requestState) bool {
	if r.request.Class.Tier() != o.request.Class.Tier() {
		return r.request.Class.Tier() < o.request.Class.Tier()
	}
	return r.sequence < o.sequence
}

// barredFor returns the time for which an engine wants no requests from the host of
// r, as known when r was submitted.
func (r *requestState) barredFor(now time.Time, e *engine) time.Duration {
	for _, b := range r.request.Barred {
		if b.Upstream == e.info.ID && b.Started >= e.info.Started {
			return max(r.submitted.Add(b.For).Sub(now), 0)
		}
	}
	return 0
}

// mayUse reports whether the scope of a request holds an engine that wants requests from its
// host.
func (r *requestState) mayUse(now time.Time, e *engine) bool {
	return r.allows(e) && r.barredFor(now, e) == 0
}

// predictedOutput returns the expected number of output tokens.
func predictedOutput(r quetzalhook.Request) int {
	switch {
	case r.LengthHint > 0 && (r.MaxTokens == 0 || r.LengthHint < r.MaxTokens):
		return r.LengthHint
	case r.MaxTokens > 0:
		return r.MaxTokens
	}
	return defaultOutput
}

// defaultOutput is the output in tokens assumed for a request with neither a
// length hint nor a bound.
const defaultOutput = 256

// engine is the modelled state of one engine.
type engine struct {
	info       quetzalhook.Upstream
	running    map[quetzalhook.RequestID]*requestState
	prefilling []*requestState // without a first token, in the order of their prefill
	advancedAt time.Time
	memory     int                   // tokens of all running requests
	gapTargets map[time.Duration]int // number of running requests by gap target
	cache      cache
	speed      speed.Engine
	loadMs     float64 // running requests times the ms for which they ran, since the start
	prefilled  float64 // work of prefills since the start
	// foreign is the estimated number of requests on the engine that this
	// scheduler does not know, as of foreignAt: those of hosts that cannot reach
	// it.
	foreign      float64
	foreignAt    time.Time
	lastResponse time.Time // last time the engine was seen to respond
	record       reliability.Record
	view         MemoryView // of this host, as of partAt
	part         float64    // of the memory that this scheduler may fill
	placedPart   float64    // largest part under which a running request was placed
	partAt       time.Time
	relievedAt   time.Time // when a request was last taken away
	reliefCause  ReliefCause
}

func newEngine(info quetzalhook.Upstream, kind *speed.Kind, now time.Time) *engine {
	return &engine{
		info: info, running: make(map[quetzalhook.RequestID]*requestState), advancedAt: now, lastResponse: now, cache: newCache(), speed: speed.NewEngine(kind),
		gapTargets: make(map[time.Duration]int),
	}
}

// prefillTokens returns how many tokens of a prompt the engine has to process.
func (e *engine) prefillTokens(r quetzalhook.Request) int {
	return max(r.PromptTokens-e.cache.cached(r.Parts), minPrefillTokens)
}

// minPrefillTokens is the smallest number of prompt tokens that an engine
// processes, even if all are cached.
const minPrefillTokens = 16

// advance updates the estimates to now: it reduces the remaining prefill work by
// the elapsed time, and decays the number of foreign requests.
func (e *engine) advance(now time.Time) {
	if e.foreign > 0 {
		e.foreign *= math.Exp2(-float64(now.Sub(e.foreignAt)) / float64(foreignHalfLife))
		e.foreignAt = now
	}
	elapsed := milliseconds(now.Sub(e.advancedAt))
	e.advancedAt = now
	e.loadMs += e.decoding() * elapsed
	if len(e.prefilling) == 0 || elapsed <= 0 {
		return
	}
	elapsed /= e.speed.Prefill(now)
	for _, r := range e.prefilling {
		done := min(r.workLeft, elapsed)
		r.workLeft -= done
		elapsed -= done
		e.prefilled += done
		if elapsed <= 0 {
			return
		}
	}
}

// workAhead returns the work in ms that the engine does before the prefill of r.
func (e *engine) workAhead(r *requestState) float64 {
	sum := e.foreign * foreignWorkMs
	for _, o := range e.prefilling {
		if o.precedes(r) {
			sum += o.workLeft
		}
	}
	return sum
}

// observe updates the number of foreign requests from the number of requests
// that the engine reported in an answer. It is smoothed, because the report may
// be some ms old.
func (e *engine) observe(now time.Time, reported int) {
	unknown := float64(max(reported-len(e.running), 0))
	e.foreign += foreignGain * (unknown - e.foreign)
	e.foreignAt = now
}

const (
	// foreignGain is the weight of one observation of foreign requests.
	foreignGain = 0.3
	// foreignHalfLife is the time in which the number of foreign requests halves
	// without an observation: about as long as a request runs.
	foreignHalfLife = 2 * time.Second
	// foreignWorkMs is the mean remaining prefill time of a foreign request. It is
	// short because most foreign requests are past their prefill, which takes
	// 130 ms of the seconds that a request runs.
	foreignWorkMs = 5.0
)

// start adds a request that processes the given number of prompt tokens after a
// KV cache copy that takes fetchMs.
func (e *engine) start(now time.Time, r *requestState, prefillTokens int, fetchMs float64) {
	r.engine, r.started = e, now
	r.prefillWork = speed.PrefillWork(prefillTokens, r.request.PromptTokens)
	r.workLeft = r.prefillWork + fetchMs/e.speed.Prefill(now)
	r.sample = sample{work: e.workAhead(r) + r.prefillWork, requests: e.decoding()}
	e.addPrefill(r)
	e.cache.touch(r.request.Parts)
	e.evict()
}

// addPrefill adds a request without a first token in its place in the order of
// prefill.
func (e *engine) addPrefill(r *requestState) {
	e.running[r.request.ID] = r
	e.memory += r.memory
	e.gapTargets[r.request.Class.GapTarget()]++
	if r.account != nil {
		r.account.Value.running++
	}
	i := len(e.prefilling)
	for i > 0 && r.precedes(e.prefilling[i-1]) {
		i--
		e.prefilling[i].sample.work += r.prefillWork
	}
	e.prefilling = append(e.prefilling, nil)
	copy(e.prefilling[i+1:], e.prefilling[i:])
	e.prefilling[i] = r
}

// evict removes cached parts to make room for the running requests.
func (e *engine) evict() {
	if e.info.MemoryTokens > 0 {
		e.cache.evict(e.info.MemoryTokens - e.memory)
	}
}

// recordFirstToken records the first token of a request, and what it shows of the
// speed of the engine.
func (e *engine) recordFirstToken(now time.Time, r *requestState, tokens int) {
	r.hasFirstToken, r.workLeft = true, 0
	for i, o := range e.prefilling {
		if o == r {
			e.prefilling = append(e.prefilling[:i], e.prefilling[i+1:]...)
			break
		}
	}
	if r.sample.isKnown {
		e.speed.ObserveFirstToken(now, r.sample.work, r.sample.requests, milliseconds(now.Sub(r.started))-r.sample.linkMs)
	}
	r.outputTokens = tokens
	r.sample.at, r.sample.load, r.sample.prefill, r.sample.tokens = now, e.loadMs, e.prefilled, tokens
}

// recordTokens records further tokens of a request.
func (e *engine) recordTokens(now time.Time, r *requestState, tokens int) {
	r.outputTokens = tokens
	s := &r.sample
	if ms := milliseconds(now.Sub(s.at)); s.isOwn && !s.at.IsZero() && ms >= minStepsMs {
		e.speed.ObserveSteps(now, tokens-s.tokens, (e.loadMs-s.load)/ms, e.prefilled-s.prefill, ms)
		s.at, s.tokens, s.load, s.prefill = now, tokens, e.loadMs, e.prefilled
	}
}

// minStepsMs is the shortest time from which the time of a step is taken: reports
// arrive some 10 ms early or late.
const minStepsMs = 150.0

// recordUnanswered records that a request ended without a token.
func (e *engine) recordUnanswered(now time.Time, r *requestState) {
	if r.sample.isKnown && !r.hasFirstToken {
		e.speed.ObserveUnanswered(now, r.sample.work, r.sample.requests, milliseconds(now.Sub(r.started))-r.sample.linkMs)
	}
}

// remove removes a request from the engine.
func (e *engine) remove(r *requestState) {
	if e.running[r.request.ID] != r {
		return
	}
	delete(e.running, r.request.ID)
	e.memory -= r.memory
	if r.account != nil {
		r.account.Value.running--
	}
	if gap := r.request.Class.GapTarget(); e.gapTargets[gap] > 1 {
		e.gapTargets[gap]--
	} else {
		delete(e.gapTargets, gap)
	}
	if !r.hasFirstToken {
		for i, o := range e.prefilling {
			if o == r {
				e.prefilling = append(e.prefilling[:i], e.prefilling[i+1:]...)
				break
			}
		}
	}
}

// hasRoom reports whether the engine has a free slot and enough memory for a
// request that needs the given number of tokens. Without running requests the
// memory always counts as enough, so that the largest requests can start.
func (e *engine) hasRoom(memory int) bool {
	if e.info.Slots > 0 && float64(len(e.running))+e.foreign >= float64(e.info.Slots) {
		return false
	}
	foreign := e.foreign * float64(memory)
	if len(e.running) > 0 {
		foreign = e.foreign * float64(e.memory) / float64(len(e.running))
	}
	return e.info.MemoryTokens == 0 || len(e.running) == 0 ||
		float64(e.memory+memory)+foreign <= maxMemoryShare*float64(e.info.MemoryTokens)
}

// canAccept reports whether the engine has room for a request, takes more requests
// well, and at most maxBacklogMs of work precede it.
func (e *engine) canAccept(now time.Time, r *requestState) bool {
	return e.hasRoom(r.memory) && !e.speed.IsCrowded(now, e.decoding()) && e.workAhead(r)*e.speed.Prefill(now) <= maxBacklogMs
}

// maxMemoryShare is the share of an engine's memory that the predicted tokens of
// requests may fill. The rest holds cached prompt parts, so that they need not be
// processed again, and outputs that are longer than predicted. At 0.9, engines
// processed a third more prompt tokens in a burst of 2.5 times the load.
const maxMemoryShare = 0.35

// decoding returns the number of requests that are producing tokens.
func (e *engine) decoding() float64 { return float64(len(e.running)-len(e.prefilling)) + e.foreign }
