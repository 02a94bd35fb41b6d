package schedule

import (
	"math"
	"slices"
	"time"

	"quetzalhook"
)

// place is what the scope of a request is about: the region and the build of engines.
type place struct {
	region quetzalhook.Region
	build  quetzalhook.Build
}

func (e *engine) place() place { return place{e.info.Region, e.info.Build} }

// allows reports whether the scope of a request holds an engine, and no earlier request
// waits for the engines of its place.
func (r *requestState) allows(e *engine) bool {
	return r.request.Scope().Allows(e.info.Region, e.info.Build) && !slices.Contains(r.claimed, e.place())
}

// scopeCounts counts the waiting requests by what they may use.
type scopeCounts struct {
	restricted int // requests that may use some engines only
	any        int // the other requests
	// byPlace counts the former by region and build; empty ones stand for all.
	byPlace map[place]int
}

func (c *scopeCounts) add(s quetzalhook.Scope, n int) {
	if !s.IsRestricted() {
		c.any += n
		return
	}
	c.restricted += n
	if !s.Regions.Restricted {
		c.addPlace(place{build: s.Build}, n)
	}
	for _, r := range s.Regions.List {
		c.addPlace(place{r, s.Build}, n)
	}
}

func (c *scopeCounts) addPlace(p place, n int) {
	if c.byPlace == nil {
		c.byPlace = make(map[place]int)
	}
	c.byPlace[p] += n
	if c.byPlace[p] == 0 {
		delete(c.byPlace, p)
	}
}

// hasFor reports whether a request waits that may use the engines of a place.
func (c *scopeCounts) hasFor(p place) bool {
	return c.any > 0 || c.byPlace[p]+c.byPlace[place{region: p.region}]+c.byPlace[place{build: p.build}] > 0
}

// firstFor returns the index of the first request that may use the place of an engine,
// or -1.
func (q *queue) firstFor(e *engine) int {
	switch {
	case q.scopes.restricted == 0:
		return min(len(q.requests), 1) - 1
	case !q.scopes.hasFor(e.place()):
		return -1
	}
	return slices.IndexFunc(q.requests, func(r *requestState) bool { return r.allows(e) })
}

// ahead calls f for the requests that are served before a new one, until f returns
// false. Late requests of the same tier and band count only if there is spare capacity.
func (q *queue) ahead(now time.Time, r *requestState, f func(*requestState) bool) {
	tier := r.request.Class.Tier()
	for _, o := range q.requests {
		t := o.request.Class.Tier()
		if t > tier || t == tier && o.band > r.band {
			return
		}
		if t == tier && o.band == r.band && !q.spareCapacity && now.After(o.startDeadline()) {
			continue
		}
		if !f(o) {
			return
		}
	}
}

// startAhead starts a new request on an engine for which no earlier request waits, and
// reports whether there is one that can accept it. Earlier requests that may use some
// engines only do not keep it from the others.
func (s *Scheduler) startAhead(now time.Time, r *requestState) bool {
	p := r.pool
	if p.waiting.scopes.restricted == 0 {
		return p.waiting.workAhead(now, r) == 0 && s.start(now, r)
	}
	var claimed []place
	p.waiting.ahead(now, r, func(o *requestState) bool {
		scope := o.request.Scope()
		for at := range p.places {
			if scope.Allows(at.region, at.build) && !slices.Contains(claimed, at) {
				claimed = append(claimed, at)
			}
		}
		return len(claimed) < len(p.places)
	})
	if len(claimed) == len(p.places) {
		return false
	}
	r.claimed = claimed
	c, ok := s.best(now, r)
	r.claimed = nil
	scope := r.request.Scope()
	if !ok || c.engine.isSuspect(now) && slices.ContainsFunc(claimed, func(at place) bool { return scope.Allows(at.region, at.build) }) {
		return false // a wait for the healthy engines of other requests is better than a failure
	}
	s.startOn(now, r, c)
	return true
}

// engineCount returns the number of engines in a scope.
func (p *pool) engineCount(s quetzalhook.Scope) int {
	if !s.IsRestricted() {
		return len(p.engines)
	}
	n := 0
	for at, count := range p.places {
		if s.Allows(at.region, at.build) {
			n += count
		}
	}
	return n
}

// scopedWait returns how long a new request would wait, if its scope or that of waiting
// requests is restricted: the least wait in a place that it may use. The work of each
// waiting request counts evenly on the engines that it may use.
func (p *pool) scopedWait(now time.Time, r *requestState) time.Duration {
	ahead := make(map[place]float64, len(p.places)) // ms for each engine
	spread := func(scope quetzalhook.Scope, work float64) {
		share := work / float64(max(p.engineCount(scope), 1))
		for at := range p.places {
			if scope.Allows(at.region, at.build) {
				ahead[at] += share
			}
		}
	}
	// Most requests may run in all regions; their work is spread at once.
	byBuild := make(map[quetzalhook.Build]float64)
	p.waiting.ahead(now, r, func(o *requestState) bool {
		if o.request.Regions.Restricted {
			spread(o.request.Scope(), o.expectedWork())
		} else {
			byBuild[o.request.Build] += o.expectedWork()
		}
		return true
	})
	for build, work := range byBuild {
		spread(quetzalhook.Scope{Build: build}, work)
	}
	least, scope := math.Inf(1), r.request.Scope()
	for at := range p.places {
		if scope.Allows(at.region, at.build) {
			least = min(least, ahead[at])
		}
	}
	if math.IsInf(least, 1) {
		return 0
	}
	return time.Duration(least * float64(time.Millisecond))
}

// missingShare is the share of a request's target for which it waits after the last
// engine of its scope has gone: an engine that has restarted may register within that
// time, and a refusal is still early.
const missingShare = 0.125

// isMissing reports whether there has been no engine for a waiting request, in its
// scope, for missingShare of its target.
func (p *pool) isMissing(now time.Time, r *requestState) bool {
	if scope := r.request.Scope(); !scope.IsRestricted() || p.engineCount(scope) > 0 {
		r.missingSince = time.Time{}
		return false
	}
	if r.missingSince.IsZero() {
		r.missingSince = now
	}
	return now.Sub(r.missingSince) >= time.Duration(missingShare*float64(r.request.Class.TTFTTarget()))
}

// refuseScope refuses a request without an engine in its scope.
func (s *Scheduler) refuseScope(now time.Time, r *requestState) {
	left := r.request.CallerTimeout
	if left > 0 {
		left = max(left-now.Sub(r.submitted), time.Millisecond)
	}
	kind := quetzalhook.RefuseRegion
	if r.pool.engineCount(quetzalhook.Scope{Regions: r.request.Regions}) > 0 {
		kind = quetzalhook.RefuseBuild
	}
	refusal := quetzalhook.ScopeRefusal(kind, left)
	s.refuseFor(r, refusal.Kind, refusal.RetryAfter)
}
