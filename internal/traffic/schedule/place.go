package schedule

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"quetzalhook"
	"quetzalhook/internal/traffic/speed"
)

// Weights of the cost of a placement. A cost of 1 is a delay of 1 ms to the first
// token of an urgent request.
const (
	// prefillWeight is the cost of 1 ms of prefill, which delays later requests.
	prefillWeight = 1.0
	// recomputeCost is the cost of processing a token of a shared prompt part,
	// which has usually been processed before, in addition to the time it takes.
	recomputeCost = 0.03
	// fetchWeight is the cost of 1 ms of a KV cache copy: the traffic is billed,
	// and copies evict other parts.
	fetchWeight = 8.0
	// crossRegionTokenCost is the cost of sending one prompt token to another
	// region, for which traffic is billed.
	crossRegionTokenCost = 0.003
	// gapMissCost is the cost of each running stream that would miss its gap
	// target.
	gapMissCost = 100.0
	// ttftMissCost is the cost if the new request misses its target for the first
	// token or its gap target.
	ttftMissCost = 600.0
	// streamWeight is the cost of each stream on the engine, because it makes
	// every token slower.
	streamWeight = 0.5
	// failureCost is the cost of a failed request that cannot be sent again: more
	// than that of a late one, since its caller gets nothing. retryCost applies if
	// the request can be sent again, and covers the lost time.
	failureCost = 1000.0
	retryCost   = 300.0
	// referenceTTFTMs is the target in ms at which 1 ms of time to the first token
	// costs 1; with a longer target it costs less, in inverse proportion.
	referenceTTFTMs = 500.0
	// affinityWeight is the weight of the affinity between a prompt's first part
	// and an engine. It decides between otherwise equal engines, so that a part is
	// cached on few of them.
	affinityWeight = 30.0
	// coldCost is the cost of an engine that has just started. It is as much as missing a
	// target is half the time, so that such an engine takes what it may when the others
	// are loaded, but is not the first choice while they are idle.
	coldCost = 300.0
	// gapMargin is the share of a gap target that a predicted gap may reach.
	gapMargin = 0.85
)

// placement is an engine for a request, with the predicted cost and times.
type placement struct {
	engine        *engine
	cost          float64
	ttft          float64 // ms to the first token
	prefillTokens int     // prompt tokens to process
	source        *engine // from which cached parts are copied; nil for none
	fetchMs       float64 // duration of the copy
}

// best returns the placement with the lowest cost, or false if no engine can
// accept the request. Suspect engines are used only if all engines are suspect:
// waiting for a healthy one is better than a failure. A request that has failed at all
// engines of its build always waits: otherwise the streams that the last engine of a build
// has lost would use up the retry budget there.
func (s *Scheduler) best(now time.Time, r *requestState) (placement, bool) {
	best, suspect := placement{cost: math.Inf(1)}, placement{cost: math.Inf(1)}
	source := s.longestHolder(now, r.request)
	healthy := false
	for _, e := range r.pool.engines {
		e.advance(now)
		if !isOpen(now, e, r) {
			continue
		}
		cheapest := &suspect
		if !e.isSuspect(now) {
			cheapest, healthy = &best, true
		}
		if !s.canAccept(now, e, r) {
			continue
		}
		if c := s.evaluate(now, r, e, source); c.cost < cheapest.cost {
			*cheapest = c
		}
	}
	if !healthy && !r.isExhausted {
		best = suspect
	}
	return best, best.engine != nil
}

// isTried reports whether an engine has failed or refused the request.
func isTried(r quetzalhook.Request, id quetzalhook.UpstreamID) bool {
	for _, t := range r.Tried {
		if t == id {
			return true
		}
	}
	return false
}

// longestHolder returns the engine in an allowed region, other than suspect and cold
// ones and those that leave or whose zone is evacuated, that has the longest prefix of a
// prompt cached, or nil.
func (s *Scheduler) longestHolder(now time.Time, q quetzalhook.Request) *engine {
	if len(q.Parts) == 0 {
		return nil
	}
	var best *engine
	most := 0
	for e := range s.holders[q.Parts[0].Hash] {
		if !e.info.IsOpen() || e.isSuspect(now) || !q.Regions.Allows(e.info.Region) || s.limits.IsCold(now, e.info.ID) {
			continue // a copy is a request to its source, too
		}
		cached := e.cache.cached(q.Parts)
		if cached > most || cached == most && best != nil && e.info.ID < best.info.ID {
			best, most = e, cached
		}
	}
	return best
}

// prefillAndFetch returns the number of prompt tokens that an engine has to
// process, and the time in ms to copy cached parts from source; the time is 0 if
// copying is impossible or not worthwhile.
func (e *engine) prefillAndFetch(q quetzalhook.Request, source *engine) (prefillTokens int, fetchMs float64) {
	cached := e.cache.cached(q.Parts)
	prefillTokens = max(q.PromptTokens-cached, minPrefillTokens)
	if source == nil || source == e || e.info.TokenTransfer <= 0 {
		return prefillTokens, 0
	}
	more := source.cache.cached(q.Parts) - cached
	if more < minFetchTokens {
		return prefillTokens, 0
	}
	fetchMs = fetchSetupMs + float64(more)*milliseconds(e.info.TokenTransfer)
	if e.info.Zone != source.info.Zone {
		fetchMs += float64(more) * milliseconds(e.info.TokenTransfer)
	}
	return max(prefillTokens-more, minPrefillTokens), fetchMs
}

const (
	// minFetchTokens is the smallest number of tokens worth copying.
	minFetchTokens = 512
	// fetchSetupMs is the fixed time of a copy.
	fetchSetupMs = 10.0
)

// evaluate predicts the cost of running a request on an engine, for the request
// itself and for others.
func (s *Scheduler) evaluate(now time.Time, r *requestState, e, source *engine) placement {
	e.advance(now)
	class := r.request.Class
	prefillTokens, fetchMs := e.prefillAndFetch(r.request, source)
	if fetchMs == 0 {
		source = nil
	}
	prefill := e.speed.Prefill(now)
	work := speed.PrefillWork(prefillTokens, r.request.PromptTokens) * prefill
	ttft := e.workAhead(r)*prefill + fetchMs + work + e.speed.Overhead(now, e.decoding()) + s.roundTrip(r.request.Region, e)
	target := milliseconds(class.TTFTTarget())
	waited := milliseconds(now.Sub(r.submitted))
	cost := ttft
	if target > 0 {
		cost *= referenceTTFTMs / target
		cost += ttftMissCost * missProbability(waited+ttft, target)
	}
	cost += work*prefillWeight + float64(prefillTokens-r.unsharedTokens())*recomputeCost + fetchMs*fetchWeight
	if r.request.Region != e.info.Region {
		cost += float64(r.request.PromptTokens) * crossRegionTokenCost
	}
	cost += streamWeight * e.decoding()
	cost += s.gapCost(now, r, e, prefillTokens)
	cost += affinityWeight * affinity(r.request, e.info.ID)
	if s.limits.IsCold(now, e.info.ID) {
		cost += coldCost
	}
	if r.request.Repeatable {
		cost += retryCost * e.record.FailureProbability(now)
	} else {
		cost += failureCost * e.record.FailureProbability(now)
	}
	return placement{engine: e, cost: cost, ttft: ttft, prefillTokens: prefillTokens, source: source, fetchMs: fetchMs}
}

// minCost returns the cost of a request's prefill on an engine that has all
// shared parts of the prompt cached.
func (r *requestState) minCost(now time.Time, e *engine) float64 {
	work := speed.PrefillWork(r.unsharedTokens(), r.request.PromptTokens) * e.speed.Prefill(now)
	weight := prefillWeight
	if target := milliseconds(r.request.Class.TTFTTarget()); target > 0 {
		weight += referenceTTFTMs / target
	}
	return work * weight
}

// missProbability returns the probability that a predicted time misses a target.
// The prediction error is assumed to be proportional to the target.
func missProbability(predicted, target float64) float64 {
	const sharpness = 8.0
	return 1 / (1 + math.Exp(-sharpness*(predicted/target-0.85)))
}

// gapCost returns the cost of the gap targets that the streams on the engine and
// the request itself would miss.
func (s *Scheduler) gapCost(now time.Time, r *requestState, e *engine, prefillTokens int) float64 {
	tokens, longest := prefillTokens, r.request.PromptTokens
	for _, o := range e.prefilling {
		tokens += int(o.workLeft * speed.PriorPrefillRate)
		longest = max(longest, o.request.PromptTokens)
	}
	predicted := longestGap(now, e, tokens, longest)
	cost := 0.0
	for gap, n := range e.gapTargets {
		if gap > 0 && predicted > milliseconds(gap)*gapMargin {
			cost += gapMissCost * float64(n)
		}
	}
	if gap := milliseconds(r.request.Class.GapTarget()); gap > 0 && predicted > gap*gapMargin {
		cost += ttftMissCost
	}
	return cost
}

// longestGap returns the longest gap in ms between two stream events while an
// engine processes the given number of prompt tokens, of prompts of at most the
// given length. An event holds several tokens, and while there are prompts to
// process the engine processes a chunk of them before each token.
func longestGap(now time.Time, e *engine, tokens, prompt int) float64 {
	events := float64(max(e.info.EventTokens, 1))
	chunks := min(events, float64(tokens)/chunkTokens)
	step := e.speed.Step(now, float64(len(e.running))+e.foreign)
	return chunks*speed.PrefillWork(min(tokens, chunkTokens), prompt)*e.speed.Prefill(now) + events*step
}

// affinity returns a number from 0 to 1 for an engine and the first part of a
// prompt, by rendezvous hashing; it is the same on every host, and lower is
// preferred.
func affinity(r quetzalhook.Request, id quetzalhook.UpstreamID) float64 {
	if len(r.Parts) == 0 {
		return 0
	}
	var d xxhash.Digest
	d.ResetWithSeed(r.Parts[0].Hash)
	_, _ = d.WriteString(string(id))
	return float64(d.Sum64()>>11) / (1 << 53)
}

// roundTrip returns the round-trip time in ms between a caller's region and an
// engine.
func (s *Scheduler) roundTrip(from quetzalhook.Region, e *engine) float64 {
	if from == e.info.Region {
		return localRoundTripMs
	}
	return crossRegionRoundTripMs
}

const (
	// localRoundTripMs and crossRegionRoundTripMs are the round-trip times to an
	// engine in the same and in another region.
	localRoundTripMs       = 2.0
	crossRegionRoundTripMs = 25.0
)

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
