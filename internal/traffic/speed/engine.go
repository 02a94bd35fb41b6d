package speed

import "time"

const (
	// stepWeight is the weight of the time of steps in the factor of an engine, against
	// that of prefills. It is lower since an engine does steps most of the time.
	stepWeight = 0.3
	// maxSampleMs bounds the weight of one first token.
	maxSampleMs = 300.0
	// minTokens is the least number of tokens between two reports from which the time
	// of a step is taken.
	minTokens = 4
	// maxPrefillShare is the largest share of the time between two reports that
	// prefills may have taken. With more, the rest says little about steps.
	maxPrefillShare = 0.5
)

// Engine is the estimate of one engine: a factor on the times of the prior, and the
// number of requests that it takes well.
type Engine struct {
	factor factor
	crowd  crowd
}

// NewEngine returns the estimate of an engine that is as fast as its kind. A restarted
// engine, or another one at its address, needs a new estimate.
func NewEngine(kind *Kind) Engine {
	return Engine{factor: factor{mean: &kind.mean, prior: enginePrior}}
}

// Factor returns how much longer work takes than by the prior.
func (e *Engine) Factor(now time.Time) float64 { return e.factor.value(now) }

// Prefill returns the time in ms that 1 ms of work takes.
func (e *Engine) Prefill(now time.Time) float64 { return e.Factor(now) }

// Step returns the time of a batch step in ms with a number of running requests.
func (e *Engine) Step(now time.Time, requests float64) float64 {
	return e.Factor(now) * priorStep(requests)
}

// Overhead returns the time in ms from the end of a prefill to the first event.
func (e *Engine) Overhead(now time.Time, requests float64) float64 {
	return e.Factor(now) * priorOverhead(requests)
}

// IsCrowded reports whether one request more would slow the engine so much that it
// gets less done.
func (e *Engine) IsCrowded(now time.Time, requests float64) bool {
	return e.crowd.isFull(now, requests)
}

// ObserveWorkTime records the work time that the engine reports; see
// quetzalhook.Verdict.
func (e *Engine) ObserveWorkTime(now time.Time, workTime float64) {
	e.factor.observeWorkTime(now, workTime)
}

// ObserveFirstToken records the time in ms from the start of a request to its first
// token, without the links and copies on its way, given the work of its prefill and of
// those before it.
func (e *Engine) ObserveFirstToken(now time.Time, work, requests, ms float64) {
	ms = ms/e.factor.smoothedWorkTime(now) - priorOverhead(requests)
	if work > 0 {
		weight := min(maxSampleMs/work, 1)
		e.factor.observe(now, weight*ms, weight*work)
	}
}

// ObserveUnanswered records that a request got no first token in the given time in ms.
// It counts if the request should have had one, since requests that are given up
// would otherwise hide a slow engine.
func (e *Engine) ObserveUnanswered(now time.Time, work, requests, ms float64) {
	expected := work + priorOverhead(requests) + reportNoiseMs
	if ms > expected*e.Factor(now) {
		e.factor.observe(now, ms/e.factor.smoothedWorkTime(now), expected)
	}
}

// ObserveSteps records the time in ms in which a running request got a number of
// tokens, given the mean number of running requests and the work of the prefills
// meanwhile.
func (e *Engine) ObserveSteps(now time.Time, tokens int, requests, work, ms float64) {
	if tokens < minTokens || ms <= 0 {
		return
	}
	ms /= e.factor.smoothedWorkTime(now)
	steps, prefill := float64(tokens)*priorStep(requests), work
	// All running requests report the same steps: the time is divided between them.
	share := ms / max(requests, 1)
	e.crowd.see(requests, share)
	if prefill > maxPrefillShare*(steps+prefill) {
		return
	}
	step := ms * steps / (steps + prefill) / float64(tokens)
	e.crowd.observe(now, requests, step, share)
	if !e.crowd.isFull(now, requests) {
		e.factor.forget(ms/(steps+prefill), share)
		e.factor.observe(now, stepWeight*share, stepWeight*share*(steps+prefill)/ms)
	}
}

// Report returns the factor for other hosts, or false if it is not worth telling.
func (e *Engine) Report(now time.Time) (ratio, weight float32, ok bool) { return e.factor.report(now) }

// Learn takes over what another host has observed.
func (e *Engine) Learn(now time.Time, r Report) { e.factor.learn(now, r.Ratio, r.Weight) }

// Useful returns the number of requests that the engine takes well, or 0 if none is
// known.
func (e *Engine) Useful(now time.Time) float64 { return e.crowd.limit(now) }
