// Package balance balances calls to plain services. Each host chooses on its own
// the upstream with the least expected time of a call, from its own open calls, the
// load reported in responses and the estimated speed of the upstream.
//
// It is designed for short calls that occupy one slot each, sent by several hosts
// that do not know of each other's calls; they divide the limits that upstreams name
// by their rank. It does no I/O, starts no goroutine and
// reads no clock.
package balance

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"quetzalhook"
	"quetzalhook/internal/traffic/notice"
	"quetzalhook/internal/traffic/reach"
	"quetzalhook/internal/traffic/reliability"
	"quetzalhook/internal/traffic/speed"
	"quetzalhook/internal/traffic/throttle"
)

const (
	// reportMaxAge is the age at which a reported load no longer counts. A call
	// takes about 60 ms, so a report is out of date after a few calls.
	reportMaxAge = 500 * time.Millisecond
	// crossRegionCost is the cost of an upstream in another region, as a fraction
	// of its slots: the round trip takes 24 ms, a call 60 ms.
	crossRegionCost = 0.15
	// failureCost is the cost of a call that is certain to fail, as a fraction of
	// the slots of an upstream: the time of one and a half calls.
	failureCost = 1.5
	// coldCost is the cost of an upstream that has just started, as a fraction of its
	// slots: it takes what it may once the others have half of theirs in use.
	coldCost = 0.5
	// refusalPause is how long an upstream is avoided after it refused a call.
	refusalPause = 30 * time.Millisecond
)

// upstream is the state of one upstream as known to this host.
type upstream struct {
	info     quetzalhook.Upstream
	inFlight int // open calls of this host
	// othersLoad is the load reported in the last response, without the calls of
	// this host that were open then.
	othersLoad int
	reportedAt time.Time
	record     reliability.Record
	speed      speed.Instance
}

// Balancer chooses upstreams for one host. It is not safe for concurrent use.
type Balancer struct {
	region    quetzalhook.Region
	upstreams map[quetzalhook.UpstreamID]*upstream
	services  map[string][]*upstream
	random    *rand.Rand
	limits    *throttle.Limits
	notices   *notice.Notices
	reach     *reach.Tracker
	speeds    map[string]*speed.Service // by service
}

// Option sets one property of a Balancer.
type Option func(*Balancer)

// WithLimits sets how the balancer keeps to the limits that upstreams name.
func WithLimits(l *throttle.Limits) Option { return func(b *Balancer) { b.limits = l } }

// WithNotices sets what upstreams ask of this host.
func WithNotices(n *notice.Notices) Option { return func(b *Balancer) { b.notices = n } }

// WithReach sets the record of upstreams to which this host could not open connections.
func WithReach(t *reach.Tracker) Option { return func(b *Balancer) { b.reach = t } }

// New returns a balancer for a host in a region; random breaks ties.
func New(region quetzalhook.Region, random *rand.Rand, opts ...Option) *Balancer {
	b := &Balancer{
		region: region, random: random, limits: throttle.New(), notices: notice.New(), reach: reach.New(),
		upstreams: make(map[quetzalhook.UpstreamID]*upstream), services: make(map[string][]*upstream),
		speeds: make(map[string]*speed.Service),
	}
	for _, opt := range opts {
		opt(b)
	}
	return b
}

// SetUpstreams replaces the upstreams. The state of upstreams that remain is kept;
// that of a restarted upstream is reset.
func (b *Balancer) SetUpstreams(list []quetzalhook.Upstream) {
	next := make(map[quetzalhook.UpstreamID]*upstream, len(list))
	clear(b.services)
	for _, info := range list {
		u := b.upstreams[info.ID]
		if u == nil || u.info.Started != info.Started || u.info.Address != info.Address {
			u = &upstream{speed: speed.NewInstance(b.service(info.Service))}
			b.limits.Retain(func(id quetzalhook.UpstreamID) bool { return id != info.ID })
		}
		u.info = info
		next[info.ID] = u
		if info.State == quetzalhook.UpstreamReady {
			b.services[info.Service] = append(b.services[info.Service], u)
		}
	}
	b.upstreams = next
	b.limits.Retain(func(id quetzalhook.UpstreamID) bool { return next[id] != nil })
}

// Choose returns the upstream of a service with the lowest cost for the next call,
// without those outside the scope, those in tried and those that it must not
// use now, or false if there is none.
func (b *Balancer) Choose(now time.Time, service string, scope quetzalhook.Scope, tried []quetzalhook.UpstreamID) (quetzalhook.Upstream, bool) {
	var best *upstream
	lowest := math.Inf(1)
	for _, u := range b.services[service] {
		if !scope.Allows(u.info.Region, u.info.Build) || contains(tried, u.info.ID) || !b.mayUse(now, u) {
			continue
		}
		// The time of a call beyond that on an idle upstream of usual speed, as a
		// multiple of the latter.
		cost := u.speed.Factor(now)*(1+u.loadPerSlot(now)) - 1
		if u.info.Region != b.region {
			cost += crossRegionCost
		}
		if u.record.IsAvoided(now) || b.reach.Avoids(now, u.info.ID, u.info.Started) {
			cost += avoidedCost
		}
		cost += failureCost * u.record.FailureProbability(now)
		if b.limits.IsCold(now, u.info.ID) {
			cost += coldCost
		}
		cost += b.random.Float64() * maxTieBreakCost
		if cost < lowest {
			best, lowest = u, cost
		}
	}
	if best == nil {
		return quetzalhook.Upstream{}, false
	}
	return best.info, true
}

// mayUse reports whether this host may send a call to an upstream now.
func (b *Balancer) mayUse(now time.Time, u *upstream) bool {
	return !u.info.Evacuated && b.notices.Allows(now, u.info.ID, u.info.Started) && b.limits.Allows(now, u.info.ID)
}

const (
	// avoidedCost ranks avoided upstreams after all others.
	avoidedCost = 1000
	// maxTieBreakCost bounds the random cost that spreads calls over upstreams
	// of nearly the same load.
	maxTieBreakCost = 0.05
)

func contains(list []quetzalhook.UpstreamID, id quetzalhook.UpstreamID) bool {
	for _, have := range list {
		if have == id {
			return true
		}
	}
	return false
}

// load returns the estimated number of calls on the upstream. The reported load
// loses weight linearly until reportMaxAge.
func (u *upstream) load(now time.Time) float64 {
	others := 0.0
	if age := now.Sub(u.reportedAt); age < reportMaxAge {
		others = float64(u.othersLoad) * (1 - age.Seconds()/reportMaxAge.Seconds())
	}
	return float64(u.inFlight) + others
}

func (u *upstream) loadPerSlot(now time.Time) float64 {
	return u.load(now) / float64(max(u.info.Slots, 1))
}

// Started records that a call was sent. It returns the load of the upstream for each of
// its slots before the call.
func (b *Balancer) Started(now time.Time, id quetzalhook.UpstreamID) float64 {
	u := b.upstreams[id]
	if u == nil {
		return 0
	}
	load := u.loadPerSlot(now)
	u.inFlight++
	b.limits.Start(now, id)
	b.notices.Take(now, id, u.info.Started)
	return load
}

// Serves reports whether a service has an upstream in a scope.
func (b *Balancer) Serves(service string, scope quetzalhook.Scope) bool {
	return slices.ContainsFunc(b.services[service], func(u *upstream) bool { return scope.Allows(u.info.Region, u.info.Build) })
}

// Wait returns the time until an upstream of a service in a scope wants calls
// from this host; 0 means now.
func (b *Balancer) Wait(now time.Time, service string, scope quetzalhook.Scope) time.Duration {
	least := time.Duration(math.MaxInt64)
	for _, u := range b.services[service] {
		if u.info.Evacuated || !scope.Allows(u.info.Region, u.info.Build) {
			continue
		}
		if least = min(least, b.notices.Wait(now, u.info.ID, u.info.Started)); least == 0 {
			return 0
		}
	}
	if least == math.MaxInt64 {
		return 0 // there is none, or all are in evacuated zones
	}
	return least
}

// IsEvacuated reports whether all ready upstreams of a service in a scope are
// in evacuated zones.
func (b *Balancer) IsEvacuated(service string, scope quetzalhook.Scope) bool {
	evacuated := false
	for _, u := range b.services[service] {
		if scope.Allows(u.info.Region, u.info.Build) {
			if !u.info.Evacuated {
				return false
			}
			evacuated = true
		}
	}
	return evacuated
}

// Answered records what the header of an answer tells about an upstream.
func (b *Balancer) Answered(now time.Time, u quetzalhook.Upstream, v quetzalhook.Verdict) {
	b.notices.Observe(now, u.ID, u.Started, v)
	b.limits.ObserveStart(now, u.ID, u.Started, v.ColdFor)
	if own := b.upstreams[u.ID]; own != nil && own.info.Started == u.Started {
		own.speed.ObserveWorkTime(now, v.WorkTime)
	}
}

// Ended records the end of a call that was recorded by Started.
func (b *Balancer) Ended(now time.Time, id quetzalhook.UpstreamID, e quetzalhook.AttemptEnd) {
	u := b.upstreams[id]
	if u == nil {
		return
	}
	u.inFlight = max(u.inFlight-1, 0)
	if e.NoPath {
		return
	}
	if e.Lost {
		b.limits.Lost(now, id)
	}
	if e.Verdict.HasLoad {
		u.othersLoad, u.reportedAt = max(e.Verdict.Running+e.Verdict.Waiting-u.inFlight, 0), now
	}
	if e.End == quetzalhook.EndFinished || e.Verdict.RateLimit > 0 {
		b.limits.Observe(now, id, e.Verdict.RateLimit)
	}
	switch {
	case e.End == quetzalhook.EndFinished && !e.Verdict.Failed:
		u.record.Succeeded(now)
	case e.Verdict.Moved:
		u.record.Moved(now)
	case e.End == quetzalhook.EndNotSent && e.Verdict.NotRun:
		u.record.Refused(now, refusalPause)
	case e.End == quetzalhook.EndFinished || e.End == quetzalhook.EndBroken || e.End == quetzalhook.EndNotSent:
		u.record.Failed(now)
	}
}
