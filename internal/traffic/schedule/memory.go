package schedule

import (
	"time"

	"quetzalhook"
)

const (
	// majorityPart is the share of an engine's memory that a leader may fill which sees
	// most of the known hosts, quarterPart that of a leader which sees at least a quarter
	// of them, and lonePart that of all other hosts together. While the role changes
	// hands, there are two leaders of each kind: 2 x 0.35 + 2 x 0.1 + 0.1 = 1.
	majorityPart = maxMemoryShare
	quarterPart  = 0.1
	lonePart     = 0.1
	// largePart is the share that one request may take of an engine which a settled
	// leader of the majority knows to be empty: with the parts of the others, 0.95.
	largePart = 0.65
	// minLoneTokens is the least part of one host that places alone: most requests
	// fit. Only as many hosts use an engine as there are such parts.
	minLoneTokens = 30_000
	// partInterval is the time for which this scheduler's part of an engine is kept.
	partInterval = 250 * time.Millisecond
	// riskShare is the share of what a scheduler may fill, twice its part for a leader,
	// that its requests may hold before one is moved away. The rest holds the tokens
	// that are produced until then: with 64 requests and a token in 15 ms each, some
	// 6,000 in 1.5 s.
	riskShare = 0.9
	// reliefInterval is the time from a decision to move a request until the next one
	// for the same engine: placement, the copies and the reports take up to 1.5 s.
	reliefInterval = 1500 * time.Millisecond
	// reliefTimeout is the time after which a request that could be neither moved nor
	// ended gives way to the next: two intervals.
	reliefTimeout = 2 * reliefInterval
	// minForeign is the estimated number of unknown requests from which an engine
	// without known requests counts as in use.
	minForeign = 0.5
)

// MemoryView is what a host knows of its place among the hosts that may use an engine.
type MemoryView struct {
	// Leads is set if the host takes itself for the leader, and Settled if it also knows
	// what the live hosts run or has led for so long that no other leader is left.
	Leads, Settled bool
	// Synced is set if all live hosts have told the leader lately what they run.
	Synced bool
	// Hosts is the number of known hosts, with this one and those that have been silent
	// for a short time; 0 until this host knows the others. Alive of them are alive.
	Hosts, Alive int
	// Rank is the place of the host for this engine among all known hosts. Silent hosts
	// count, so that the parts of a divided fleet rank alike.
	Rank int
}

// OnlyHost is the view of the only host of a fleet.
var OnlyHost = MemoryView{Leads: true, Settled: true, Synced: true, Hosts: 1, Alive: 1}

// NeedsRank reports whether the part of the host depends on its rank.
func (v MemoryView) NeedsRank() bool { return v.Hosts > 0 && (!v.Leads || 4*v.Alive < v.Hosts) }

// hasMajority reports whether the host leads most of the known hosts.
func (v MemoryView) hasMajority() bool { return v.Leads && 2*v.Alive > v.Hosts }

// MemoryPart returns the share of an engine's memory, in tokens, that the host with
// this view may fill with predicted tokens.
func MemoryPart(v MemoryView, memory int) float64 {
	switch {
	case v.Hosts == 0:
		return 0
	case v.hasMajority():
		return majorityPart
	case !v.NeedsRank():
		return quarterPart
	}
	users := min(max(int(lonePart*float64(memory)/minLoneTokens), 1), v.Hosts)
	if v.Rank >= users {
		return 0
	}
	return lonePart / float64(users)
}

// largeShare returns the share of an empty engine's memory that one request may take.
// The whole memory is given only while every known host is alive and has synced, since
// no other host places requests then.
func (v MemoryView) largeShare() float64 {
	switch {
	case v.Hosts == 0 || !v.Settled || !v.hasMajority():
		return 0
	case v.Synced && v.Alive == v.Hosts:
		return 1
	}
	return largePart
}

// WithMemoryParts bounds the memory that the requests of this scheduler may use at an
// engine. view returns what this host knows of its place for an engine.
func WithMemoryParts(view func(id quetzalhook.UpstreamID) MemoryView) Option {
	return func(s *Scheduler) { s.memoryView = view }
}

// Relief is the decision to take a request away from an engine whose memory may not
// hold all outputs.
type Relief struct {
	_        struct{} `cbor:",toarray"`
	Request  quetzalhook.RequestID
	Upstream quetzalhook.UpstreamID
	// End ends the attempt; otherwise the request is moved to another engine if
	// possible.
	End bool
}

// ReliefCause is why a request was taken away from an engine.
type ReliefCause struct {
	// Held are the tokens of the Running requests that this scheduler follows there, and
	// Predicted those that it had counted for them.
	Held, Predicted, Limit int
	// Known is the number of requests that it knows there.
	Running, Known   int
	Part, PlacedPart float64
	View             MemoryView
}

// ReliefCause returns the cause of the last relief of an engine.
func (s *Scheduler) ReliefCause(id quetzalhook.UpstreamID) ReliefCause {
	if e := s.engines[id]; e != nil {
		return e.reliefCause
	}
	return ReliefCause{}
}

// updatePart updates the part of an engine's memory that this scheduler may fill.
func (s *Scheduler) updatePart(now time.Time, e *engine) {
	if e.partAt.IsZero() || now.Sub(e.partAt) >= partInterval {
		e.view, e.partAt = s.memoryView(e.info.ID), now
		e.part = MemoryPart(e.view, e.info.MemoryTokens)
	}
}

// notePart records the part under which a request starts at an engine.
func (s *Scheduler) notePart(now time.Time, e *engine) {
	if s.memoryView == nil {
		return
	}
	s.updatePart(now, e)
	if len(e.running) == 0 {
		e.placedPart = 0
	}
	e.placedPart = max(e.placedPart, e.part)
}

// fitsMemory reports whether a request fits into this scheduler's part of an engine,
// and beside the requests that only the engine knows. An engine that is known to be empty
// may take one larger request.
func (s *Scheduler) fitsMemory(now time.Time, e *engine, r *requestState) bool {
	if s.memoryView == nil || e.info.MemoryTokens == 0 {
		return true
	}
	s.updatePart(now, e)
	memory, own := float64(e.info.MemoryTokens), float64(e.memory+r.memory)
	isEmpty := len(e.running) == 0 && e.foreign < minForeign
	if own > e.part*memory {
		return isEmpty && float64(e.need(r)) <= e.view.largeShare()*memory
	}
	return len(e.running) > 0 || isEmpty || own+e.foreign*float64(r.memory) <= maxMemoryShare*memory
}

// need returns the tokens that a request needs at an empty engine: as predicted or, if that
// leaves too little for a relief, with its largest output.
func (e *engine) need(r *requestState) int {
	predicted := r.predicted()
	if float64(predicted) <= riskShare*float64(e.info.MemoryTokens) {
		return predicted
	}
	return max(predicted, r.request.PromptTokens+r.request.MaxTokens)
}

// isTooLarge reports whether a request exceeds the memory of every engine in its scope.
func (s *Scheduler) isTooLarge(r *requestState) bool {
	if s.memoryView == nil {
		return false
	}
	tooLarge := false
	for _, e := range r.pool.engines {
		if !r.allows(e) {
			continue
		}
		if e.info.MemoryTokens == 0 || e.need(r) <= e.info.MemoryTokens {
			return false
		}
		tooLarge = true
	}
	return tooLarge
}

// followOutput counts the output of a running request, also beyond its prediction.
func (s *Scheduler) followOutput(r *requestState, tokens int) {
	if s.memoryView == nil {
		return
	}
	r.held = r.request.PromptTokens + tokens
	if r.held > r.memory {
		r.engine.memory += r.held - r.memory
		r.memory = r.held
	}
}

// Relieve returns the requests to take away from engines, at most one for each engine
// at a time: of the least urgent requests, the one whose output is the furthest beyond
// its prediction. What was placed is no reason to take a request away, only what has grown
// beyond the predictions. A request without a first token cannot be moved yet. A scheduler
// that does not lead follows the requests that it has placed; the leader's part is not its
// own.
func (s *Scheduler) Relieve(now time.Time) []Relief {
	if s.memoryView == nil {
		return nil
	}
	var list []Relief
	for _, e := range s.engines {
		if e.info.MemoryTokens == 0 || len(e.running) == 0 || !e.relievedAt.IsZero() && now.Sub(e.relievedAt) < reliefInterval {
			continue
		}
		s.updatePart(now, e)
		if e.part == 0 || e.view.Leads && !e.view.Settled {
			continue
		}
		held, predicted, n := 0, 0, 0
		var victim *requestState
		for _, r := range e.running {
			if r.isAdopted && !e.view.Leads {
				continue
			}
			n++
			held += r.holds()
			predicted += r.predicted()
			if r.hasFirstToken && (victim == nil || r.yieldsBefore(now, victim)) {
				victim = r
			}
		}
		if victim == nil {
			continue
		}
		limit := max(e.riskLimit(n, victim), float64(predicted))
		if float64(held) <= limit {
			continue
		}
		e.relievedAt = now
		e.reliefCause = ReliefCause{
			Held: held, Predicted: predicted, Limit: int(limit), Running: n, Known: len(e.running),
			Part: e.part, PlacedPart: e.placedPart, View: e.view,
		}
		list = append(list, Relief{Request: victim.request.ID, Upstream: e.info.ID, End: victim.isRelieved()})
		if !victim.isRelieved() {
			victim.relievedAt = now
		}
	}
	s.reliefs += int64(len(list))
	return list
}

// riskLimit returns the tokens that n requests of this scheduler may hold at an engine. The
// part that applied when they were placed counts, not one that has shrunk since. A leader
// also knows the requests of the leader before it. A single request may hold what it
// needed when it got the engine.
func (e *engine) riskLimit(n int, r *requestState) float64 {
	share := e.placedPart
	if e.view.Leads {
		share = 2 * max(share, e.part)
	}
	limit := riskShare * share * float64(e.info.MemoryTokens)
	if need := float64(e.need(r)); n == 1 && need > share*float64(e.info.MemoryTokens)/2 {
		return max(limit, need, riskShare*e.view.largeShare()*float64(e.info.MemoryTokens))
	}
	return limit
}

// unknownLife is how long a running request of a host that has gone silent is counted if
// its caller's timeout is not known.
const unknownLife = time.Minute

// Abandon keeps the memory of a running request whose host has gone silent, with its
// largest output, until its caller has given up: the host may still serve it. It
// reports whether the request is kept.
func (s *Scheduler) Abandon(now time.Time, id quetzalhook.RequestID) bool {
	r := s.requests[id]
	if s.memoryView == nil || r == nil || r.engine == nil {
		return false
	}
	if r.abandonedUntil.IsZero() {
		life := r.request.CallerTimeout
		if life <= 0 {
			life = unknownLife
		}
		r.abandonedUntil = r.submitted.Add(life)
		if largest := r.request.PromptTokens + r.request.MaxTokens; largest > r.memory {
			r.engine.memory += largest - r.memory
			r.memory = largest
		}
	}
	return now.Before(r.abandonedUntil)
}

// Reappeared counts the requests as before that were kept for a host which was silent.
func (s *Scheduler) Reappeared(id quetzalhook.RequestID) {
	r := s.requests[id]
	if r == nil || r.abandonedUntil.IsZero() {
		return
	}
	r.abandonedUntil = time.Time{}
	if r.engine != nil {
		memory := max(r.predicted(), r.holds())
		r.engine.memory += memory - r.memory
		r.memory = memory
	}
}

// yieldsBefore reports whether r is taken away from its engine before o. Within a tier, a
// request that could not be moved is next again, to be ended.
func (r *requestState) yieldsBefore(now time.Time, o *requestState) bool {
	if gr, gone := r.hasResisted(now), o.hasResisted(now); gr != gone {
		return gone
	}
	if tr, to := r.request.Class.Tier(), o.request.Class.Tier(); tr != to {
		return tr > to
	}
	if r.isRelieved() != o.isRelieved() {
		return r.isRelieved()
	}
	er, eo := r.excess(), o.excess()
	if er != eo {
		return er > eo
	}
	return r.request.ID < o.request.ID
}

// isRelieved reports whether a request was to be taken away before.
func (r *requestState) isRelieved() bool { return !r.relievedAt.IsZero() }

// hasResisted reports whether a request could be neither moved nor ended in time.
func (r *requestState) hasResisted(now time.Time) bool {
	return r.isRelieved() && now.Sub(r.relievedAt) >= reliefTimeout
}

// predicted returns the tokens of the prompt and the predicted output.
func (r *requestState) predicted() int {
	return r.request.PromptTokens + predictedOutput(r.request)
}

// holds returns the tokens of the prompt and the output so far.
func (r *requestState) holds() int { return max(r.held, r.request.PromptTokens) }

// excess returns the tokens of a running request beyond its prediction; it is negative
// if they are below.
func (r *requestState) excess() int {
	return r.holds() - r.predicted()
}

// Reliefs returns the number of decisions to take a request away from its engine.
func (s *Scheduler) Reliefs() int64 { return s.reliefs }
