package throttle

import (
	"sync"
	"time"

	"quetzalhook"
)

const (
	// coldWindow is the time in which a host sends at most its part of the bound of a
	// cold upstream. A request is sent up to SendTime after it was placed, and requests
	// that are sent one second apart may arrive closer: with 50 ms for that, 13 arrived in
	// a second on a machine with six times as many runnable threads as processors.
	coldWindow = time.Second + SendTime + 150*time.Millisecond
	// SendTime is the time after which a request that was placed on a cold upstream may
	// no longer be sent. It allows for a slow round trip between regions. Later requests
	// would add up with those that were placed since.
	SendTime = 100 * time.Millisecond
	// rampStep and rampSteps shape the rate of an upstream that has just become warm:
	// in each step it is twice that of the step before, beginning with twice the bound.
	// After the last step, at 16 times the bound, there is no limit.
	rampStep  = 250 * time.Millisecond
	rampSteps = 4
)

// ColdSenders is the number of hosts that may send to one cold upstream.
const ColdSenders = 3

// coldPart returns how many requests a host may send to a cold upstream in one
// coldWindow, by its place among the hosts that may, from 0. The parts add up to five
// sixths of the bound, so that it holds although the hosts do not know of each other's
// requests, and some arrive late. The first place is that of the leader in most cases, and
// gets half. The others count for a leader that takes over, and for a host that cannot
// reach it.
func coldPart(bound float64, place int) int {
	switch {
	case place == 0:
		return max(int(bound/2), min(int(bound), 1))
	case place > 0 && place < ColdSenders:
		return int(bound / 6)
	}
	return 0
}

// phase is the phase of an upstream's start.
type phase int

const (
	phaseWarm phase = iota
	phaseCold
	phaseRamp
)

// Cold is the limit, with an end, on the requests to upstreams that have just started.
// It counts the requests of all schedulers of a host, and is safe for concurrent use.
type Cold struct {
	starts quetzalhook.Starts
	place  func(now time.Time, id quetzalhook.UpstreamID) int

	mu   sync.Mutex
	sent map[quetzalhook.UpstreamID][]time.Time // the latest requests, as many as the bound
}

// NewCold returns a Cold. The function place returns the place of this host among the
// hosts that may send to a cold upstream, from 0.
func NewCold(starts quetzalhook.Starts, place func(now time.Time, id quetzalhook.UpstreamID) int) *Cold {
	return &Cold{starts: starts, place: place, sent: make(map[quetzalhook.UpstreamID][]time.Time)}
}

// phase returns the phase of an upstream, and the rate of that phase for all hosts.
func (c *Cold) phase(now time.Time, id quetzalhook.UpstreamID) (p phase, perSecond float64) {
	bound, until := c.starts.Bound(id)
	if bound <= 0 {
		return phaseWarm, 0
	}
	if now.Before(until) {
		return phaseCold, bound
	}
	step := now.Sub(until) / rampStep
	if step >= rampSteps {
		return phaseWarm, 0
	}
	return phaseRamp, bound * float64(int(2)<<step)
}

// allows reports whether this host may send a request to a cold upstream now.
func (c *Cold) allows(now time.Time, id quetzalhook.UpstreamID, bound float64) bool {
	part := coldPart(bound, c.place(now, id))
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, at := range c.sent[id] {
		if now.Sub(at) < coldWindow {
			n++
		}
	}
	return n < part
}

// start counts a request. Those to a warm upstream count too, since it may become cold
// at any moment.
func (c *Cold) start(now time.Time, id quetzalhook.UpstreamID) {
	bound, _ := c.starts.Bound(id)
	c.mu.Lock()
	defer c.mu.Unlock()
	if bound <= 0 {
		delete(c.sent, id)
		return
	}
	list := append(c.sent[id], now)
	if most := int(bound); len(list) > most {
		list = append(list[:0], list[len(list)-most:]...)
	}
	c.sent[id] = list
}

// Retain drops the requests to upstreams for which keep returns false.
func (c *Cold) Retain(keep func(quetzalhook.UpstreamID) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id := range c.sent {
		if !keep(id) {
			delete(c.sent, id)
		}
	}
}

// WithCold limits the requests to upstreams that have just started.
func WithCold(c *Cold) Option { return func(l *Limits) { l.cold = c } }

// IsCold reports whether an upstream is cold.
func (l *Limits) IsCold(now time.Time, id quetzalhook.UpstreamID) bool {
	if l.cold == nil {
		return false
	}
	p, _ := l.cold.phase(now, id)
	return p == phaseCold
}

// ColdRate returns the number of requests per second that this host may send to a cold
// upstream, and how long it stays cold; 0 if it is not.
func (l *Limits) ColdRate(now time.Time, id quetzalhook.UpstreamID) (perSecond float64, left time.Duration) {
	if !l.IsCold(now, id) {
		return 0, 0
	}
	bound, until := l.cold.starts.Bound(id)
	return float64(coldPart(bound, l.cold.place(now, id))) / coldWindow.Seconds(), until.Sub(now)
}

// Lost records that an upstream could not be reached, or broke a connection.
func (l *Limits) Lost(now time.Time, id quetzalhook.UpstreamID) {
	if l.cold != nil {
		l.cold.starts.Lost(now, id)
	}
}

// ObserveStart records that an answer of a start of an upstream tells that it stays cold
// for d.
func (l *Limits) ObserveStart(now time.Time, id quetzalhook.UpstreamID, started int64, d time.Duration) {
	if l.cold != nil {
		l.cold.starts.Observe(now, id, started, d)
	}
}

// Answered records that an upstream has answered a request that was sent at a time.
func (l *Limits) Answered(now time.Time, id quetzalhook.UpstreamID, sent time.Time) {
	if l.cold != nil {
		l.cold.starts.Answered(now, id, sent)
	}
}

// allowsStart reports whether the start of an upstream allows a request now.
func (l *Limits) allowsStart(now time.Time, id quetzalhook.UpstreamID) bool {
	if l.cold == nil {
		return true
	}
	p, perSecond := l.cold.phase(now, id)
	switch p {
	case phaseCold:
		return l.cold.allows(now, id, perSecond)
	case phaseRamp:
		m := l.ramp(now, id, perSecond)
		return m.bucket != nil && m.bucket.TokensAt(now) >= 1
	}
	return true
}

// ramp returns the limit of an upstream that has just become warm. It is divided between
// hosts like one that the upstream names.
func (l *Limits) ramp(now time.Time, id quetzalhook.UpstreamID, perSecond float64) *limit {
	m := l.ramps[id]
	if m == nil {
		m = &limit{}
		l.ramps[id] = m
	}
	if m.perSecond != perSecond {
		m.perSecond, m.rankedAt = perSecond, time.Time{}
	}
	l.divide(now, id, m)
	return m
}

// countStart counts a request to an upstream that may be cold, or has just become warm.
func (l *Limits) countStart(now time.Time, id quetzalhook.UpstreamID) {
	if l.cold == nil {
		return
	}
	l.cold.start(now, id)
	if p, perSecond := l.cold.phase(now, id); p != phaseRamp {
		delete(l.ramps, id)
	} else if m := l.ramp(now, id, perSecond); m.bucket != nil {
		m.bucket.AllowN(now, 1)
	}
}
