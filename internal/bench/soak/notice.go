package soak

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"quetzalhook"
	"quetzalhook/platform/standin"
)

const (
	// CheckNotice fails if a request that was sent later than leavingBound after its
	// host passed on an answer in which an upstream says that it leaves reaches that
	// upstream.
	CheckNotice Check = "leaving-answer"
	// CheckPause fails if an upstream that refuses a request with Retry-After gets
	// more than maxPauseRequests from the same host, from pauseSlack later until the
	// end of that time.
	CheckPause Check = "pause"
)

const (
	pauseSlack       = 500 * time.Millisecond
	maxPauseRequests = 2
)

// link is a host and an upstream.
type link struct {
	host     quetzalhook.HostID
	upstream quetzalhook.UpstreamID
}

// pause is a pause that an upstream has asked of a host.
type pause struct {
	asked, until time.Time
	requests     int // from pauseSlack after asked until the end
}

// noticeRecord holds what upstreams have told hosts. A restart or a freeze of the
// host excuses it from what it was told before.
type noticeRecord struct {
	// hasReset reports whether a host has restarted, or was frozen, since a time.
	hasReset func(quetzalhook.HostID, time.Time) bool
	left     map[link]time.Time // when the host first passed on such an answer
	pauses   map[link][]*pause
	cut      map[quetzalhook.UpstreamID]bool // connections to it are disturbed, which may hold back requests
}

func newNoticeRecord() noticeRecord {
	return noticeRecord{
		hasReset: func(quetzalhook.HostID, time.Time) bool { return false },
		left:     make(map[link]time.Time), pauses: make(map[link][]*pause), cut: make(map[quetzalhook.UpstreamID]bool),
	}
}

// RequestReached records that a request has reached an upstream, also if that refuses
// it.
func (c *Checker) RequestReached(a standin.Contact) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[a.ID]
	if r == nil || c.notices.cut[a.Upstream] {
		return
	}
	l := link{r.host, a.Upstream}
	if told, ok := c.notices.left[l]; ok && !c.notices.hasReset(r.host, told) {
		c.check(CheckNotice, r.sent.Sub(told) <= leavingBound, "request %s via %s, sent %v after an answer that %s leaves, reaches it", a.ID, r.host, r.sent.Sub(told), a.Upstream)
	}
	for _, p := range c.notices.pauses[l] {
		if a.At.Sub(p.asked) < pauseSlack || !a.At.Before(p.until) || c.notices.hasReset(r.host, p.asked) {
			continue
		}
		p.requests++
		c.check(CheckPause, p.requests <= maxPauseRequests, "request %s via %s reaches %s %v after it asked for a pause of %v (number %d)",
			a.ID, r.host, a.Upstream, a.At.Sub(p.asked), p.until.Sub(p.asked), p.requests)
	}
	if a.Pause > 0 {
		c.check(CheckPause, true, "")
		c.notices.pauses[l] = append(c.notices.pauses[l], &pause{asked: a.At, until: a.At.Add(a.Pause)})
	}
}

// noticePassedOn records that a caller has received the response to a request. The
// caller must hold c.mu.
func (c *Checker) noticePassedOn(now time.Time, r *request, res standin.Result) {
	if len(r.runs) == 0 || res.Status/100 != 2 {
		return
	}
	if last := r.runs[len(r.runs)-1]; last.Leaving {
		l := link{r.host, last.Upstream}
		if told, ok := c.notices.left[l]; !ok || c.notices.hasReset(r.host, told) {
			c.notices.left[l] = now
			c.check(CheckNotice, true, "")
		}
	}
}

// Failed returns how often each check has failed, also beyond the violations kept.
func (c *Checker) Failed() map[Check]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.failed)
}

// UpstreamCut records that the connections to an upstream are disturbed.
func (c *Checker) UpstreamCut(id quetzalhook.UpstreamID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notices.cut[id] = true
}

// noticeKinds returns the kinds of notices that upstreams give.
func noticeKinds() []faultKind {
	return []faultKind{
		{name: "notice-leave", planned: true, weight: 2, minDuration: 200 * time.Millisecond, maxDuration: 8 * time.Second, inject: (*system).leaveByAnswer},
		{name: "notice-pause", planned: true, weight: 3, minDuration: time.Second, maxDuration: 6 * time.Second, variants: []string{"one", "third", "all"}, inject: (*system).pauseUpstreams},
	}
}

// addNotices adds notices to a script, which come in series and overlap with its
// faults. They have random numbers of their own, so that the faults of a seed stay the
// same.
func addNotices(script []fault, seed uint64, duration time.Duration, only []string) []fault {
	all := noticeKinds()
	if len(only) > 0 {
		if all = selectKinds(all, only); len(all) == 0 {
			return script
		}
	}
	random := rand.New(rand.NewPCG(seed, 2))
	for at := time.Duration(random.Float64() * float64(2*time.Second)); at < duration; at += time.Duration((0.2 + random.Float64()) * float64(3*time.Second)) {
		k := all[random.IntN(len(all))]
		f := fault{at: at, kind: k.name, target: random.IntN(targetNumbers), duration: k.minDuration + time.Duration(random.Float64()*float64(k.maxDuration-k.minDuration))}
		if len(k.variants) > 0 {
			f.variant = k.variants[random.IntN(len(k.variants))]
		}
		script = append(script, f)
	}
	slices.SortStableFunc(script, func(a, b fault) int { return int(a.at - b.at) })
	return script
}

// leaveByAnswer starts a replacement for an upstream, which says in its answers that
// it leaves. Its entry says so only later.
func (s *system) leaveByAnswer(f fault) {
	u := s.replaceUpstream(f.target)
	u.handler.SetLeaving()
	time.Sleep(f.duration)
	s.announceLeaving(u)
}

// pauseUpstreams makes upstreams refuse some requests, and ask for a pause: one, a
// third of all, or all.
func (s *system) pauseUpstreams(f fault) {
	s.mu.Lock()
	var list []*upstream
	for i, u := range s.upstreams {
		if f.variant == "all" || f.variant == "third" && (i+f.target)%3 == 0 || i == f.target%len(s.upstreams) {
			list = append(list, u)
		}
	}
	s.mu.Unlock()
	for i, u := range list {
		u.handler.SetPause(0.3, time.Duration(700+(f.target*7+i*300)%2000)*time.Millisecond)
	}
	time.Sleep(f.duration)
	for _, u := range list {
		u.handler.SetPause(0, 0)
	}
}

// hasHostReset reports whether a host has restarted, or was frozen, since a time.
func (s *system) hasHostReset(name quetzalhook.HostID, since time.Time) bool {
	h := s.hostByName(name)
	if h == nil {
		panic(fmt.Sprintf("host %s is not part of the run", name))
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.isFrozen || !h.resetAt.Before(since)
}
