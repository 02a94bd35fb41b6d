package schedule

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"quetzalhook"
)

// Weights of the cost of a placement. Costs are in ms of the first token of an
// urgent request.
const (
	// workWeight is what a ms of an engine's reading costs: it delays requests
	// that come later.
	workWeight = 1.0
	// rereadCost is what a token costs that has been read before and is read
	// again, beyond the time that it takes.
	rereadCost = 0.03
	// fetchWeight is what a ms of a fetch costs: copied memory is billed, and
	// copies displace other parts.
	fetchWeight = 8.0
	// farTokenCost is what a token of a prompt costs that is sent to another
	// region, where traffic is billed.
	farTokenCost = 0.003
	// pauseCost is what a stream costs whose pause grows beyond its target.
	pauseCost = 100.0
	// lateCost is what it costs to miss the target for the first token.
	lateCost = 600.0
	// streamWeight is what each stream beside the request costs: it makes every
	// token slower.
	streamWeight = 0.5
	// failCost is what a request costs that fails and cannot be sent again: more
	// than one that is late, since its caller gets nothing. repeatCost is what it
	// costs if it can, the time that is lost.
	failCost   = 1000.0
	repeatCost = 300.0
	// comparedTarget is the target at which the weight of the time to the first
	// token is 1; longer targets weigh less.
	comparedTarget = 500.0
	// spread is what the preference of a prompt for certain engines weighs when
	// nothing else tells them apart, so that its parts stay on few engines.
	spread = 30.0
	// pauseMargin is the part of a target for pauses that predictions may use.
	pauseMargin = 0.85
)

// choice is a placement with what it is expected to do.
type choice struct {
	engine *engine
	cost   float64
	first  float64 // ms to the first token
	unread int     // prompt tokens to read
	source *engine // from which held parts are fetched; nil for none
	fetch  float64 // ms of the fetch
}

// best returns the cheapest engine for a run, or false if none is open. Suspect
// engines are used only if there are no others: waiting for a sound one is
// better than a failure.
func (s *Scheduler) best(now time.Time, r *run) (choice, bool) {
	best, suspect := choice{cost: math.Inf(1)}, choice{cost: math.Inf(1)}
	source := s.richest(now, r.request)
	sound := false
	for _, e := range r.pool.engines {
		e.advance(now)
		if isTried(r.request, e.info.ID) {
			continue
		}
		cheapest := &suspect
		if !e.isSuspect(now) {
			cheapest, sound = &best, true
		}
		if !e.isOpen(r) {
			continue
		}
		if c := s.evaluate(now, r, e, source); c.cost < cheapest.cost {
			*cheapest = c
		}
	}
	if !sound {
		best = suspect
	}
	return best, best.engine != nil
}

func isTried(r quetzalhook.Request, id quetzalhook.UpstreamID) bool {
	for _, t := range r.Tried {
		if t == id {
			return true
		}
	}
	return false
}

// richest returns the engine that holds most of the beginning of a prompt, or
// nil.
func (s *Scheduler) richest(now time.Time, q quetzalhook.Request) *engine {
	if len(q.Parts) == 0 {
		return nil
	}
	var best *engine
	most := 0
	for e := range s.holders[q.Parts[0].Hash] {
		if e.isSuspect(now) {
			continue
		}
		held := e.cache.held(q.Parts)
		if held > most || held == most && best != nil && e.info.ID < best.info.ID {
			best, most = e, held
		}
	}
	return best
}

// missing returns what an engine reads of a prompt, and what it fetches from
// the source, in ms, if that is worth it.
func (e *engine) missing(q quetzalhook.Request, source *engine) (unread int, fetch float64) {
	held := e.cache.held(q.Parts)
	unread = max(q.PromptTokens-held, minRead)
	if source == nil || source == e || e.info.TokenTransfer <= 0 {
		return unread, 0
	}
	more := source.cache.held(q.Parts) - held
	if more < minFetch {
		return unread, 0
	}
	fetch = fetchTime + float64(more)*milliseconds(e.info.TokenTransfer)
	if e.info.Zone != source.info.Zone {
		fetch += float64(more) * milliseconds(e.info.TokenTransfer)
	}
	return max(unread-more, minRead), fetch
}

const (
	// minFetch is the least number of tokens that are worth a fetch.
	minFetch = 512
	// fetchTime is the time in ms to set a fetch up.
	fetchTime = 10.0
)

// evaluate predicts what a run on an engine does to itself and to others.
func (s *Scheduler) evaluate(now time.Time, r *run, e, source *engine) choice {
	e.advance(now)
	class := r.request.Class
	unread, fetch := e.missing(r.request, source)
	if fetch == 0 {
		source = nil
	}
	work := readTime(unread, r.request.PromptTokens) * e.slowness
	first := e.ahead(r)*e.slowness + fetch + work + firstTime + stepTime + e.streams()*slotTime + s.roundTrip(r.request.Region, e)
	target := milliseconds(class.TTFTTarget())
	waited := milliseconds(now.Sub(r.submitted))
	cost := first
	if target > 0 {
		cost *= comparedTarget / target
		cost += lateCost * chance(waited+first, target)
	}
	cost += work*workWeight + float64(unread-r.unshared())*rereadCost + fetch*fetchWeight
	if r.request.Region != e.info.Region {
		cost += float64(r.request.PromptTokens) * farTokenCost
	}
	cost += streamWeight * e.streams()
	cost += s.pauses(r, e, unread)
	cost += spread * preference(r.request, e.info.ID)
	if r.request.Repeatable {
		cost += repeatCost * e.record.FailureProbability(now)
	} else {
		cost += failCost * e.record.FailureProbability(now)
	}
	return choice{engine: e, cost: cost, first: first, unread: unread, source: source, fetch: fetch}
}

// ownCost returns what a request costs on an engine that holds all that it
// shares with others.
func (r *run) ownCost(e *engine) float64 {
	work := readTime(r.unshared(), r.request.PromptTokens) * e.slowness
	weight := workWeight
	if target := milliseconds(r.request.Class.TTFTTarget()); target > 0 {
		weight += comparedTarget / target
	}
	return work * weight
}

// chance returns the probability that a predicted time misses a target. The
// prediction is uncertain by a part of the target.
func chance(predicted, target float64) float64 {
	const sharpness = 8.0
	return 1 / (1 + math.Exp(-sharpness*(predicted/target-0.85)))
}

// pauses returns the cost of pauses beyond the target of streams, of those on
// the engine and of the request itself: an event holds several tokens, and
// before each of them the engine reads a chunk as long as there is something
// to read.
func (s *Scheduler) pauses(r *run, e *engine, unread int) float64 {
	tokens, longest := unread, r.request.PromptTokens
	for _, o := range e.reads {
		tokens += int(o.left * readRate)
		longest = max(longest, o.request.PromptTokens)
	}
	pause := longestPause(e, tokens, longest)
	cost := 0.0
	for gap, n := range e.gaps {
		if gap > 0 && pause > milliseconds(gap)*pauseMargin {
			cost += pauseCost * float64(n)
		}
	}
	if gap := milliseconds(r.request.Class.GapTarget()); gap > 0 && pause > gap*pauseMargin {
		cost += lateCost
	}
	return cost
}

// longestPause returns the longest pause in ms between two events while an
// engine reads tokens, of prompts up to a length.
func longestPause(e *engine, tokens, prompt int) float64 {
	events := float64(max(e.info.EventTokens, 1))
	chunks := min(events, float64(tokens)/chunkTokens)
	step := stepTime + slotTime*(float64(len(e.runs))+e.foreign)
	return (chunks*readTime(min(tokens, chunkTokens), prompt) + events*step) * e.slowness
}

// preference returns a number from 0 to 1 that orders the engines for a
// prompt's first part, the same on every host.
func preference(r quetzalhook.Request, id quetzalhook.UpstreamID) float64 {
	if len(r.Parts) == 0 {
		return 0
	}
	var d xxhash.Digest
	d.ResetWithSeed(r.Parts[0].Hash)
	_, _ = d.WriteString(string(id))
	return float64(d.Sum64()>>11) / (1 << 53)
}

// roundTrip returns the delay in ms between a caller's region and an engine.
func (s *Scheduler) roundTrip(from quetzalhook.Region, e *engine) float64 {
	if from == e.info.Region {
		return nearRoundTrip
	}
	return farRoundTrip
}

const (
	// nearRoundTrip and farRoundTrip are the delays in ms to an engine in the
	// same and in another region, there and back.
	nearRoundTrip = 2.0
	farRoundTrip  = 25.0
)

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
