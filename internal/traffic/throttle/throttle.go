// Package throttle keeps to the request rates that upstreams name in their answers.
//
// An upstream in need names the rate that it takes from all hosts together, for as
// long as its answers say so. A scheduler that places the requests of all hosts uses
// the whole rate. Hosts that choose on their own divide it: only as many hosts as the
// upstream takes requests a second send to it, each an equal part, so that the bursts
// of many hosts do not add up. The others learn of the end of a limit by a request
// now and then.
//
// An upstream that has just started takes few requests for some time. What a host may
// send to it then does not depend on which other hosts it takes for alive; see Cold.
//
// The package does no I/O and reads no clock; callers pass a time that never
// decreases.
package throttle

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"quetzalhook"
)

const (
	// liftDelay is the time since the last answer that named a limit before an answer
	// without one ends it. Answers of several hosts may be reported out of order.
	liftDelay = time.Second
	// minConfirmInterval is the time without an answer of the upstream after which one
	// request is sent whatever the limit, to learn whether it holds. With many hosts it
	// is confirmIntervalPerHost for each, so that these requests stay within the limit.
	minConfirmInterval     = 30 * time.Second
	confirmIntervalPerHost = 4 * time.Second
	// rankInterval is the time for which the result of a RankFunc is used.
	rankInterval = 250 * time.Millisecond
	// burstTime is the time whose requests may be sent at once.
	burstTime = 500 * time.Millisecond
)

// RankFunc returns the place of this host among the hosts that send to an upstream,
// from 0, and their number.
type RankFunc func(quetzalhook.UpstreamID) (rank, hosts int)

// Named is a limit that an upstream has named, and how long ago.
type Named struct {
	_         struct{} `cbor:",toarray"`
	PerSecond float64
	Age       time.Duration
}

// limit is the state of one upstream. After the end of the limit, perSecond is 0.
type limit struct {
	perSecond float64
	changedAt time.Time // when the limit was last named, or its end
	probeAt   time.Time // when a request is due to learn whether the limit holds; zero if not computed yet
	rankedAt  time.Time
	interval  time.Duration // between two such requests
	bucket    *rate.Limiter // with this host's part of the limit; nil if it has none
}

// Limits holds the limits of upstreams. It is not safe for concurrent use.
type Limits struct {
	rank   RankFunc
	limits map[quetzalhook.UpstreamID]*limit
	cold   *Cold                             // nil without bounds for upstreams that have just started
	ramps  map[quetzalhook.UpstreamID]*limit // of upstreams that have just become warm
}

// Option sets one property of a Limits.
type Option func(*Limits)

// WithRank divides the limits between hosts. Without it, all of a limit is used.
func WithRank(f RankFunc) Option { return func(l *Limits) { l.rank = f } }

// New returns a Limits without any limit.
func New(opts ...Option) *Limits {
	l := &Limits{
		rank:   func(quetzalhook.UpstreamID) (int, int) { return 0, 1 },
		limits: make(map[quetzalhook.UpstreamID]*limit),
		ramps:  make(map[quetzalhook.UpstreamID]*limit),
	}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// Observe records an answer of an upstream that was received at a given time and
// names a limit, or none if perSecond is 0. It reports whether the limit changed.
func (l *Limits) Observe(at time.Time, id quetzalhook.UpstreamID, perSecond float64) bool {
	m := l.limits[id]
	switch {
	case m == nil && perSecond == 0:
		return false
	case m == nil:
		m = &limit{}
		l.limits[id] = m
	case at.Before(m.changedAt):
		return false
	case perSecond == 0 && (m.perSecond == 0 || at.Sub(m.changedAt) < liftDelay):
		return false
	}
	changed := m.perSecond != perSecond
	m.perSecond, m.changedAt = perSecond, at
	if changed || m.bucket != nil {
		m.probeAt = time.Time{}
	}
	if changed {
		m.rankedAt = time.Time{}
	}
	return changed
}

// Allows reports whether a request may be sent to an upstream now.
func (l *Limits) Allows(now time.Time, id quetzalhook.UpstreamID) bool {
	return l.allowsStart(now, id) && l.allowsNamed(now, id)
}

// allowsNamed reports whether the limit that an upstream has named allows a request.
func (l *Limits) allowsNamed(now time.Time, id quetzalhook.UpstreamID) bool {
	m := l.limits[id]
	if m == nil || m.perSecond == 0 {
		return true
	}
	l.divide(now, id, m)
	return !now.Before(m.probeAt) || m.bucket != nil && m.bucket.TokensAt(now) >= 1
}

// Start records that a request is sent to an upstream.
func (l *Limits) Start(now time.Time, id quetzalhook.UpstreamID) {
	l.countStart(now, id)
	m := l.limits[id]
	if m == nil || m.perSecond == 0 {
		return
	}
	l.divide(now, id, m)
	if !now.Before(m.probeAt) {
		m.probeAt = now.Add(m.interval)
	}
	if m.bucket != nil {
		m.bucket.AllowN(now, 1)
	}
}

// divide updates this host's part of a limit, and when it asks whether the limit holds.
func (l *Limits) divide(now time.Time, id quetzalhook.UpstreamID, m *limit) {
	if !m.rankedAt.IsZero() && now.Sub(m.rankedAt) < rankInterval && !m.probeAt.IsZero() {
		return
	}
	m.rankedAt = now
	rank, hosts := l.rank(id)
	m.interval = max(minConfirmInterval, time.Duration(hosts)*confirmIntervalPerHost)
	if m.probeAt.IsZero() {
		// Hosts that were told at the same time ask one after the other.
		m.probeAt = m.changedAt.Add(m.interval + m.interval*time.Duration(rank)/time.Duration(max(hosts, 1)))
	}
	users := min(max(int(math.Ceil(m.perSecond)), 1), max(hosts, 1))
	if rank >= users {
		m.bucket = nil
		return
	}
	part := m.perSecond / float64(users)
	burst := max(int(part*burstTime.Seconds()), 1)
	if m.bucket == nil {
		m.bucket = rate.NewLimiter(rate.Limit(part), burst)
	}
	m.bucket.SetLimitAt(now, rate.Limit(part))
	m.bucket.SetBurstAt(now, burst)
}

// Retain drops the state of upstreams for which keep returns false.
func (l *Limits) Retain(keep func(quetzalhook.UpstreamID) bool) {
	for id := range l.limits {
		if !keep(id) {
			delete(l.limits, id)
		}
	}
	for id := range l.ramps {
		if !keep(id) {
			delete(l.ramps, id)
		}
	}
}

// Since returns the limits that were named within the last d.
func (l *Limits) Since(now time.Time, d time.Duration) map[quetzalhook.UpstreamID]Named {
	list := make(map[quetzalhook.UpstreamID]Named)
	for id, m := range l.limits {
		if age := now.Sub(m.changedAt); m.perSecond > 0 && age <= d {
			list[id] = Named{PerSecond: m.perSecond, Age: age}
		}
	}
	return list
}
