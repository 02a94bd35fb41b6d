// Package balance chooses upstreams for calls to plain services, on each host
// by itself: the upstream with the least load as far as the host knows, from
// its own calls and from the load that answers tell.
//
// It answers a load of short calls that need a slot each, sent by several
// hosts that do not see each other's calls. It is pure: no I/O, goroutine or
// clock.
package balance

import (
	"math"
	"math/rand/v2"
	"time"

	"quetzalhook"
	"quetzalhook/internal/traffic/reliability"
)

const (
	// reportLife is how long a reported load counts. Calls take about 60 ms, so
	// that a report says little after a few of them.
	reportLife = 500 * time.Millisecond
	// farCost is what an upstream in another region costs, in shares of its
	// slots: the way there and back takes 24 ms, a call 60 ms.
	farCost = 0.15
	// failCost is what a call costs that fails for certain, in shares of the slots
	// of an upstream: the time of one and a half calls.
	failCost = 1.5
	// fullPause is how long an upstream is avoided that refused a call.
	fullPause = 30 * time.Millisecond
)

// upstream is what the host knows of one upstream.
type upstream struct {
	info     quetzalhook.Upstream
	inFlight int // calls of this host
	// reported is the load that the last answer told, without the calls of this
	// host that were open then.
	reported   int
	reportedAt time.Time
	record     reliability.Record
}

// Balancer chooses upstreams for one host. It is not safe for concurrent use.
type Balancer struct {
	region    quetzalhook.Region
	upstreams map[quetzalhook.UpstreamID]*upstream
	services  map[string][]*upstream
	random    *rand.Rand
}

// New returns a balancer of a host in a region; random breaks ties.
func New(region quetzalhook.Region, random *rand.Rand) *Balancer {
	return &Balancer{
		region: region, random: random,
		upstreams: make(map[quetzalhook.UpstreamID]*upstream), services: make(map[string][]*upstream),
	}
}

// SetUpstreams replaces the upstreams. What is known of those that stay is
// kept; one that was started again begins anew.
func (b *Balancer) SetUpstreams(list []quetzalhook.Upstream) {
	next := make(map[quetzalhook.UpstreamID]*upstream, len(list))
	clear(b.services)
	for _, info := range list {
		u := b.upstreams[info.ID]
		if u == nil || u.info.Started != info.Started || u.info.Address != info.Address {
			u = &upstream{}
		}
		u.info = info
		next[info.ID] = u
		if info.State == quetzalhook.UpstreamReady {
			b.services[info.Service] = append(b.services[info.Service], u)
		}
	}
	b.upstreams = next
}

// Choose returns the upstream of a service for the next call, apart from those
// in tried, or false if there is none.
func (b *Balancer) Choose(now time.Time, service string, tried []quetzalhook.UpstreamID) (quetzalhook.Upstream, bool) {
	var best *upstream
	lowest := math.Inf(1)
	for _, u := range b.services[service] {
		if contains(tried, u.info.ID) {
			continue
		}
		cost := u.load(now) / float64(max(u.info.Slots, 1))
		if u.info.Region != b.region {
			cost += farCost
		}
		if u.record.IsAvoided(now) {
			cost += avoidCost
		}
		cost += failCost * u.record.FailureProbability(now)
		cost += b.random.Float64() * tieBreak
		if cost < lowest {
			best, lowest = u, cost
		}
	}
	if best == nil {
		return quetzalhook.Upstream{}, false
	}
	return best.info, true
}

const (
	// avoidCost puts avoided upstreams behind all others.
	avoidCost = 1000
	// tieBreak spreads calls over upstreams of nearly the same load.
	tieBreak = 0.05
)

func contains(list []quetzalhook.UpstreamID, id quetzalhook.UpstreamID) bool {
	for _, have := range list {
		if have == id {
			return true
		}
	}
	return false
}

// load returns the estimated number of calls at the upstream.
func (u *upstream) load(now time.Time) float64 {
	others := 0.0
	if age := now.Sub(u.reportedAt); age < reportLife {
		others = float64(u.reported) * (1 - age.Seconds()/reportLife.Seconds())
	}
	return float64(u.inFlight) + others
}

// Started reports that a call was sent.
func (b *Balancer) Started(id quetzalhook.UpstreamID) {
	if u := b.upstreams[id]; u != nil {
		u.inFlight++
	}
}

// Ended reports the end of a call that Started began.
func (b *Balancer) Ended(now time.Time, id quetzalhook.UpstreamID, e quetzalhook.AttemptEnd) {
	u := b.upstreams[id]
	if u == nil {
		return
	}
	u.inFlight = max(u.inFlight-1, 0)
	if e.Verdict.HasLoad {
		u.reported, u.reportedAt = max(e.Verdict.Running+e.Verdict.Waiting-u.inFlight, 0), now
	}
	switch {
	case e.End == quetzalhook.EndFinished && !e.Verdict.Failed:
		u.record.Succeeded(now)
	case e.Verdict.Moved:
		u.record.Moved(now)
	case e.End == quetzalhook.EndNotSent && e.Verdict.NotRun:
		u.record.Refused(now, fullPause)
	case e.End == quetzalhook.EndFinished || e.End == quetzalhook.EndBroken || e.End == quetzalhook.EndNotSent:
		u.record.Failed(now)
	}
}
