// Package warmup decides until when each upstream counts as cold, that is as one that
// takes only a low rate of requests since it has just started.
//
// It responds to these events: an upstream that is seen for the first time or again
// after it was removed, a new start, a record or an answer that names the time left, a
// contact that failed, and the end of an evacuation. Records do not tell when they were
// written, and may be 1.2 s old. They therefore make the time longer and never shorter. Only
// right after the start of the host, an upstream that started long ago counts as warm by
// its record.
//
// The package does no I/O and reads no clock; callers pass a time that never decreases.
package warmup

import (
	"maps"
	"sync"
	"time"

	"quetzalhook"
)

// answerDelay is the time after a failed contact from which on an answer shows that the
// upstream has not ended, if it is to a request that was placed as long before. Earlier
// answers may have been sent before the failure, and later requests after a new start.
const answerDelay = 500 * time.Millisecond

const (
	// firstListsTime is the time after the start of a host for which an upstream that it
	// sees for the first time may count as warm, by its record: the host lists the
	// upstreams that existed before it.
	firstListsTime = 5 * time.Second
	// clockMargin allows for the difference between the clocks of an upstream and of the
	// host, and for the age of a record.
	clockMargin = 2 * time.Second
)

// Cause is why an upstream counts as cold.
type Cause string

// The causes.
const (
	CauseNew      Cause = "new"
	CauseStarted  Cause = "started"
	CauseRecord   Cause = "record"
	CauseAnswer   Cause = "answer"
	CauseLost     Cause = "lost"
	CauseReturned Cause = "evacuation-ended"
)

// Setting holds the limits on the upstreams of a service while they are cold.
type Setting struct {
	// Time is how long an upstream is cold after its start.
	Time time.Duration
	// Bound is the number of requests that a cold upstream may get from all hosts in any
	// second; 0 means no limit.
	Bound float64
}

// Change reports that an upstream counts as cold, or for longer than before.
type Change struct {
	Upstream quetzalhook.UpstreamID
	Cause    Cause
	For      time.Duration
}

// state is the state of one upstream.
type state struct {
	setting   Setting
	started   int64
	record    quetzalhook.Version
	evacuated bool
	list      uint64 // number of the last list that held the upstream
	until     time.Time
	// sureUntil is until without what follows only from this host seeing the upstream
	// for the first time, or from a failed contact of it.
	sureUntil time.Time
	// lostAt is when a contact failed, and untilBefore the value of until before that;
	// lostAt is zero if the upstream is not cold because of it.
	lostAt, untilBefore time.Time
}

// Tracker holds the states of all upstreams. It is safe for concurrent use.
type Tracker struct {
	report               func(Change)
	started, startedWall time.Time // of the host; see WithStarted

	mu     sync.Mutex
	states map[quetzalhook.UpstreamID]*state
	list   uint64 // number of lists so far
	// seen holds the upstreams of all lists within firstListsTime after the start of the
	// host, also removed ones; nil afterwards.
	seen map[quetzalhook.UpstreamID]struct{}
}

// Option sets one property of a Tracker.
type Option func(*Tracker)

// WithReport sets a function that is called with each change. It must not call t.
func WithReport(f func(Change)) Option { return func(t *Tracker) { t.report = f } }

// WithStarted sets when the host was started, by the clock of the Tracker and by that of the
// upstreams, which is the wall clock. Without it, each upstream counts as cold when it is
// seen for the first time.
func WithStarted(at, wall time.Time) Option {
	return func(t *Tracker) {
		t.started, t.startedWall, t.seen = at, wall, make(map[quetzalhook.UpstreamID]struct{})
	}
}

// New returns a Tracker that knows no upstreams.
func New(opts ...Option) *Tracker {
	t := &Tracker{report: func(Change) {}, states: make(map[quetzalhook.UpstreamID]*state)}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// Update takes a new list of upstreams, and the setting of each service.
func (t *Tracker) Update(now time.Time, list []quetzalhook.Upstream, setting func(service string) Setting) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.list++
	if now.Sub(t.started) >= firstListsTime {
		t.seen = nil
	}
	for _, u := range list {
		s := t.states[u.ID]
		care := setting(u.Service)
		switch {
		case s == nil && t.isWarm(now, u, care):
			s = &state{setting: care} // the rate is not limited as after a cold time either
			t.states[u.ID] = s
		case s == nil:
			s = &state{setting: care, until: now}
			t.states[u.ID] = s
			t.extend(now, u.ID, s, care.Time, CauseNew)
		case s.started != u.Started:
			s.setting, s.lostAt = care, time.Time{}
			t.extend(now, u.ID, s, care.Time, CauseStarted)
		case s.evacuated && !u.Evacuated:
			s.setting, s.lostAt = care, time.Time{}
			t.extend(now, u.ID, s, care.Time, CauseReturned)
		}
		s.setting = care
		// An older copy of the store has the same record in another era.
		if u.Record.Revision() != s.record.Revision() || u.Started != s.started || s.record == 0 {
			t.extend(now, u.ID, s, u.ColdFor, CauseRecord)
		}
		s.started, s.record, s.evacuated, s.list = u.Started, u.Record, u.Evacuated, t.list
		if t.seen != nil {
			t.seen[u.ID] = struct{}{}
		}
	}
	if len(t.states) > len(list) {
		maps.DeleteFunc(t.states, func(_ quetzalhook.UpstreamID, s *state) bool { return s.list != t.list })
	}
}

// isWarm reports whether an upstream without a state counts as warm: the host has started
// just now and has not seen the upstream before, the record names no cold time left, and
// the upstream did not start lately. The caller holds t.mu.
func (t *Tracker) isWarm(now time.Time, u quetzalhook.Upstream, care Setting) bool {
	if _, seen := t.seen[u.ID]; seen || t.seen == nil {
		return false
	}
	wall := t.startedWall.Add(now.Sub(t.started))
	return u.ColdFor <= 0 && u.Started > 0 && wall.Sub(time.UnixMilli(u.Started)) > care.Time+clockMargin
}

// extend makes an upstream count as cold for at least d from now on. The caller holds
// t.mu.
func (t *Tracker) extend(now time.Time, id quetzalhook.UpstreamID, s *state, d time.Duration, cause Cause) {
	if d <= 0 {
		return
	}
	until := now.Add(d)
	if cause != CauseNew && cause != CauseLost && until.After(s.sureUntil) {
		s.sureUntil = until
	}
	if until.After(s.until) {
		// While an upstream is cold, each of its records and answers may move the end a
		// little, which is not worth a report.
		isNews := !now.Before(s.until) || cause != CauseRecord && cause != CauseAnswer
		s.until = until
		if s.setting.Bound > 0 && isNews {
			t.report(Change{Upstream: id, Cause: cause, For: d})
		}
	}
}

// Observe records that an answer of a start of an upstream tells that it stays cold
// for d; 0 tells nothing.
func (t *Tracker) Observe(now time.Time, id quetzalhook.UpstreamID, started int64, d time.Duration) {
	if d <= 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.states[id]; s != nil && s.started <= started {
		t.extend(now, id, s, d, CauseAnswer)
	}
}

// Lost records that an upstream could not be reached, or broke a connection: it may
// have ended, and be cold when it returns.
func (t *Tracker) Lost(now time.Time, id quetzalhook.UpstreamID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.states[id]
	if s == nil || s.setting.Bound <= 0 {
		return
	}
	if s.lostAt.IsZero() {
		s.untilBefore = s.until
	}
	s.lostAt = now
	t.extend(now, id, s, s.setting.Time, CauseLost)
}

// Answered records that an upstream has answered a request that was sent at a time. If
// that was before a failed contact, the upstream has not ended, and the failure does
// not count.
func (t *Tracker) Answered(now time.Time, id quetzalhook.UpstreamID, sent time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.states[id]
	if s == nil || s.lostAt.IsZero() || s.lostAt.Sub(sent) < answerDelay || now.Sub(s.lostAt) < answerDelay {
		return
	}
	s.until, s.lostAt = s.untilBefore, time.Time{}
	if s.sureUntil.After(s.until) {
		s.until = s.sureUntil
	}
}

// Bound returns the bound of an upstream while it is cold, and when that ends. The bound
// is 0 without a limit.
func (t *Tracker) Bound(id quetzalhook.UpstreamID) (perSecond float64, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.states[id]
	if s == nil {
		return 0, time.Time{}
	}
	return s.setting.Bound, s.until
}

// Left returns how long an upstream still counts as cold by what also other hosts must
// take for true: not because this host has just begun to see it, or has failed to reach
// it. It is 0 if the upstream does not count as cold.
func (t *Tracker) Left(now time.Time, id quetzalhook.UpstreamID) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.states[id]
	if s == nil || s.setting.Bound <= 0 {
		return 0
	}
	return max(s.sureUntil.Sub(now), 0)
}

// Cold returns the number of upstreams that count as cold.
func (t *Tracker) Cold(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, s := range t.states {
		if s.setting.Bound > 0 && now.Before(s.until) {
			n++
		}
	}
	return n
}
