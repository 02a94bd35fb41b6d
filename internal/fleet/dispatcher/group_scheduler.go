// Package dispatcher selects the engine that runs each request, for all hosts.
//
// One host, the leader, schedules a group of engines for all hosts that use the
// group. The leader thus knows every request that runs there, and its decisions
// do not depend on load reports that lag behind. Most fleets have one group. The
// other hosts call the leader over the peer connections and report the progress
// and the end of their requests. A host that gets no answer runs the same
// scheduler locally, with what it knows of its own requests. Two hosts that both
// act as leader, or a lost report, only make the scheduling worse: whether a
// request may be sent at all is decided by the host that sends it.
package dispatcher

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"quetzalhook"
	"quetzalhook/internal/traffic/schedule"
	"quetzalhook/internal/traffic/throttle"
)

// tickInterval is the time between two ticks of the schedulers.
const tickInterval = 20 * time.Millisecond

// decision is the outcome of scheduling one request: an attempt, a refusal or,
// for an offer, busy.
type decision struct {
	attempt   quetzalhook.Attempt
	decidedAt time.Time // of an attempt
	refusal   *quetzalhook.Refusal
	busy      bool // the offered request would have to be queued
	// leader is the host to ask instead, since this one does not lead; empty if it does.
	leader quetzalhook.HostID
}

// waiter is a queued request, or one whose decision its host has not collected
// yet: hosts poll for decisions, and a decision may be made between two polls.
type waiter struct {
	owner     quetzalhook.HostID
	ready     chan decision // buffered; receives one decision
	decidedAt time.Time     // zero while the request is queued
}

// groupScheduler schedules the requests of all hosts on one group of engines. It
// is safe for concurrent use.
type groupScheduler struct {
	clock quetzalhook.Clock
	log   logrus.FieldLogger

	mu        sync.Mutex
	scheduler *schedule.Scheduler
	reliefs   map[quetzalhook.HostID][]schedule.Relief // not sent to the requests' hosts yet
	silent    map[quetzalhook.HostID]bool              // hosts without a sync, whose requests may still run
	own       *schedule.Usage                          // what the customers of this host got, from all schedulers
	waiters   map[quetzalhook.RequestID]*waiter
	owners    map[quetzalhook.RequestID]quetzalhook.HostID // of running and queued requests
	follows   map[quetzalhook.HostID]bool                  // hosts that understand assignAnswer.Leader
	lastSync  map[quetzalhook.HostID]time.Time             // when a host last sent its list of running requests
	speeds    schedule.Speeds                              // told to other hosts, as of speedsAt
	speedsAt  time.Time
	toldAt    map[quetzalhook.HostID]time.Time // when a host last told the usage of its customers
	sweptAt   time.Time                        // when the requests of silent hosts were last looked at
}

func newGroupScheduler(clock quetzalhook.Clock, log logrus.FieldLogger, options []schedule.Option) *groupScheduler {
	return &groupScheduler{
		clock: clock, log: log, reliefs: make(map[quetzalhook.HostID][]schedule.Relief), silent: make(map[quetzalhook.HostID]bool), scheduler: schedule.New(options...), own: schedule.NewUsage(),
		waiters: make(map[quetzalhook.RequestID]*waiter), owners: make(map[quetzalhook.RequestID]quetzalhook.HostID),
		follows: make(map[quetzalhook.HostID]bool), lastSync: make(map[quetzalhook.HostID]time.Time), toldAt: make(map[quetzalhook.HostID]time.Time),
	}
}

// apply delivers decisions to their waiters. The caller holds s.mu.
func (s *groupScheduler) apply(decisions []schedule.Decision) {
	for _, c := range decisions {
		w := s.waiters[c.Request]
		if w == nil || !w.decidedAt.IsZero() {
			continue
		}
		w.decidedAt = s.clock.Now()
		fields := logrus.Fields{"request": c.Request, "customer": c.Customer, "for": w.owner, "waiting": c.Waiting}
		if c.Regions.Restricted {
			fields["regions"], fields["region"] = c.Regions, c.Upstream.Region
		}
		if c.Build != "" {
			fields["build"] = c.Build
		}
		if c.Upstream.Build != "" {
			fields["upstream-build"] = c.Upstream.Build
		}
		if c.Refusal != nil {
			s.log.WithFields(fields).WithField("refusal", c.Refusal.Kind).WithField("retry-after-ms", c.Refusal.RetryAfter.Milliseconds()).
				Info("request refused by the scheduler")
			w.ready <- decision{refusal: c.Refusal}
			continue
		}
		fields["upstream"], fields["unread-tokens"], fields["expected-ms"], fields["source"] = c.Upstream.ID, c.PrefillTokens, c.ExpectedTTFT.Milliseconds(), c.Source
		s.log.WithFields(fields).Info("request placed")
		w.ready <- decision{decidedAt: w.decidedAt, attempt: quetzalhook.Attempt{
			Upstream: c.Upstream, Urgency: c.Urgency, Cold: c.Cold, Source: c.Source,
			SourceID: c.SourceID, SourceZone: c.SourceZone, SourceRegion: c.SourceRegion, SourceStarted: c.SourceStarted,
		}}
	}
}

// submit queues a request of a host, unless it is queued already or its decision
// has not been collected yet.
func (s *groupScheduler) submit(owner quetzalhook.HostID, r quetzalhook.Request) *waiter {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w := s.waiters[r.ID]; w != nil && w.owner == owner {
		return w
	}
	w := &waiter{owner: owner, ready: make(chan decision, 1)}
	s.waiters[r.ID], s.owners[r.ID] = w, owner
	s.apply(s.scheduler.Submit(s.clock.Now(), r))
	return w
}

// offer schedules a request if an engine can take it at once, and otherwise
// returns a busy decision without queueing it.
func (s *groupScheduler) offer(owner quetzalhook.HostID, r quetzalhook.Request) decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiters[r.ID] != nil {
		return decision{busy: true}
	}
	decisions, ok := s.scheduler.TryStart(s.clock.Now(), r)
	if !ok {
		return decision{busy: true}
	}
	w := &waiter{owner: owner, ready: make(chan decision, 1)}
	s.waiters[r.ID], s.owners[r.ID] = w, owner
	s.apply(decisions)
	delete(s.waiters, r.ID)
	return <-w.ready
}

// isOwnedByOther reports whether a request was submitted by another host since: it was
// forwarded, and later events of the first host are outdated.
func (s *groupScheduler) isOwnedByOther(host quetzalhook.HostID, id quetzalhook.RequestID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	owner := s.owners[id]
	return owner != "" && owner != host
}

// applyEvents updates the scheduler with the events that a host reports.
func (s *groupScheduler) applyEvents(from quetzalhook.HostID, events []event) {
	for _, e := range events {
		if e.ID == "" || s.isOwnedByOther(from, e.ID) {
			continue
		}
		s.observe(e.ID, e.EngineRequests, e.RateLimit, float64(e.WorkPercent)/100)
		if e.End == 0 {
			s.progress(e.ID, e.Tokens)
		} else {
			s.end(e.ID, e.end())
		}
	}
}

// assign queues a request and waits for its decision until ctx ends.
func (s *groupScheduler) assign(ctx context.Context, owner quetzalhook.HostID, r quetzalhook.Request) (decision, error) {
	w := s.submit(owner, r)
	select {
	case c := <-w.ready:
		s.markCollected(r.ID, w, c)
		return c, nil
	case <-ctx.Done():
	}
	select {
	case c := <-w.ready: // decided at the moment ctx ended
		s.markCollected(r.ID, w, c)
		return c, nil
	default:
		return decision{}, context.Cause(ctx)
	}
}

// assignOrOffer is assign or, with isOffer, offer.
func (s *groupScheduler) assignOrOffer(ctx context.Context, owner quetzalhook.HostID, r quetzalhook.Request, isOffer bool) (decision, error) {
	if isOffer {
		return s.offer(owner, r), nil
	}
	return s.assign(ctx, owner, r)
}

// markCollected records that the host of a request has received its decision.
func (s *groupScheduler) markCollected(id quetzalhook.RequestID, w *waiter, c decision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiters[id] != w {
		return
	}
	delete(s.waiters, id)
	if c.refusal != nil || c.leader != "" {
		delete(s.owners, id)
	}
}

// withdraw removes a queued request. If its decision has been made already, it returns
// that.
func (s *groupScheduler) withdraw(id quetzalhook.RequestID) (c decision, decided bool) {
	s.mu.Lock()
	w := s.waiters[id]
	s.mu.Unlock()
	if w == nil {
		return c, false
	}
	select {
	case c = <-w.ready:
		s.markCollected(id, w, c)
		return c, c.leader == ""
	default:
	}
	s.end(id, quetzalhook.AttemptEnd{End: quetzalhook.EndCallerGone})
	return c, false
}

// setFollows records whether a host understands that it is sent to another one.
func (s *groupScheduler) setFollows(host quetzalhook.HostID, follows bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if follows {
		s.follows[host] = true
	} else {
		delete(s.follows, host)
	}
}

// redirect sends the queued requests of other hosts to the leader, which this host is not.
func (s *groupScheduler) redirect(self, leader quetzalhook.HostID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, w := range s.waiters {
		if w.owner == self || !s.follows[w.owner] || !w.decidedAt.IsZero() {
			continue
		}
		w.decidedAt = s.clock.Now()
		w.ready <- decision{leader: leader}
		s.apply(s.scheduler.End(s.clock.Now(), id, quetzalhook.AttemptEnd{End: quetzalhook.EndCallerGone}))
	}
}

// progress records the output tokens received for a request.
func (s *groupScheduler) progress(id quetzalhook.RequestID, tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(s.scheduler.Progress(s.clock.Now(), id, tokens))
}

// observe records the number of requests that the engine of a request has reported,
// and the limit that it has named. An answer with neither says nothing; one with the
// number of requests only, that there is no limit.
func (s *groupScheduler) observe(id quetzalhook.RequestID, requests int, rateLimit, workTime float64) {
	if requests == 0 && rateLimit == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if requests > 0 {
		s.scheduler.Observe(now, id, requests)
		s.scheduler.ObserveWorkTime(now, id, workTime)
	}
	if engine, changed := s.scheduler.ObserveLimit(now, id, rateLimit); changed {
		s.log.WithFields(logrus.Fields{"upstream": engine, "per-second": rateLimit}).Info("limit of an engine changed")
	}
}

// knownSpeeds returns what other hosts need to know about the speed of the engines.
func (s *groupScheduler) knownSpeeds() schedule.Speeds {
	s.mu.Lock()
	defer s.mu.Unlock()
	// The answers to all hosts share one list.
	if now := s.clock.Now(); s.speedsAt.IsZero() || now.Sub(s.speedsAt) >= syncInterval/2 {
		s.speeds, s.speedsAt = s.scheduler.Speeds(now), now
	}
	return s.speeds
}

// addSpeeds takes over what another host knows about the speed of the engines.
func (s *groupScheduler) addSpeeds(list schedule.Speeds) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scheduler.AddSpeeds(s.clock.Now(), list)
}

// limits returns the limits that engines have named within the last d.
func (s *groupScheduler) limits(d time.Duration) map[quetzalhook.UpstreamID]throttle.Named {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scheduler.Limits(s.clock.Now(), d)
}

// addLimits records limits that engines have named to another host.
func (s *groupScheduler) addLimits(named map[quetzalhook.UpstreamID]throttle.Named) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scheduler.AddLimits(s.clock.Now(), named)
}

// end records the end of a request.
func (s *groupScheduler) end(id quetzalhook.RequestID, e quetzalhook.AttemptEnd) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.owners, id)
	delete(s.waiters, id)
	s.apply(s.scheduler.End(s.clock.Now(), id, e))
}

// adopt adds a running request that another scheduler has placed.
func (s *groupScheduler) adopt(owner quetzalhook.HostID, r quetzalhook.Request, id quetzalhook.UpstreamID, tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.owners[r.ID] != "" {
		return
	}
	s.owners[r.ID] = owner
	s.scheduler.Adopt(s.clock.Now(), r, id, tokens)
}

// sync compares the list of running requests that a host sends with the requests
// known of that host: it drops those that are not listed, except those whose
// decision the host may still collect, and returns the listed ones that are
// unknown.
func (s *groupScheduler) sync(owner quetzalhook.HostID, running []quetzalhook.RequestID) []quetzalhook.RequestID {
	listed := make(map[quetzalhook.RequestID]bool, len(running))
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	s.lastSync[owner] = now
	wasSilent := s.silent[owner]
	delete(s.silent, owner)
	var unknown []quetzalhook.RequestID
	for _, id := range running {
		listed[id] = true
		if s.owners[id] == "" {
			unknown = append(unknown, id)
		} else if wasSilent {
			s.scheduler.Reappeared(id)
		}
	}
	s.drop(func(id quetzalhook.RequestID, host quetzalhook.HostID) bool {
		return host == owner && !listed[id] && !s.waiters[id].mayBeCollected(now)
	})
	return unknown
}

// collectTimeout is how long a decision is kept for its host to collect: several
// times the longest pause between two calls of a host.
const collectTimeout = 2 * queuedTimeout

// mayBeCollected reports whether the host of a request may still call for its
// decision. It is false for nil.
func (w *waiter) mayBeCollected(now time.Time) bool {
	return w != nil && (w.decidedAt.IsZero() || now.Sub(w.decidedAt) < collectTimeout)
}

// drop removes the requests for which match returns true. The caller holds s.mu.
func (s *groupScheduler) drop(match func(quetzalhook.RequestID, quetzalhook.HostID) bool) {
	for id, host := range s.owners {
		if match(id, host) {
			delete(s.owners, id)
			delete(s.waiters, id)
			s.apply(s.scheduler.End(s.clock.Now(), id, quetzalhook.AttemptEnd{End: quetzalhook.EndCallerGone}))
		}
	}
}

// ownerTimeout is how long the requests of a host are kept after its last sync
// call. It spans several syncInterval, so that one lost call drops nothing.
const ownerTimeout = 5 * time.Second

// tick runs the scheduler's periodic work and drops the requests of hosts that
// have not synced within ownerTimeout.
func (s *groupScheduler) tick(self quetzalhook.HostID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	s.apply(s.scheduler.Tick(now))
	for host, at := range s.lastSync {
		if host != self && now.Sub(at) > ownerTimeout {
			delete(s.lastSync, host)
			delete(s.reliefs, host)
			delete(s.follows, host)
			s.silent[host] = true
		}
	}
	for _, r := range s.scheduler.Relieve(now) {
		s.logRelief(r)
		if owner := s.owners[r.Request]; owner != "" && !s.silent[owner] {
			s.reliefs[owner] = append(s.reliefs[owner], r)
		}
	}
	if len(s.silent) > 0 && now.Sub(s.sweptAt) >= silentSweepInterval {
		s.sweptAt = now
		s.sweepSilent(now)
	}
}

// logRelief logs a decision to take a request away, which may not reach its host. The
// caller holds s.mu.
func (s *groupScheduler) logRelief(r schedule.Relief) {
	c := s.scheduler.ReliefCause(r.Upstream)
	s.log.WithFields(logrus.Fields{
		"request": r.Request, "upstream": r.Upstream, "end": r.End, "for": s.owners[r.Request],
		"held": c.Held, "predicted": c.Predicted, "limit": c.Limit, "running": c.Running, "known": c.Known,
		"part": c.Part, "placed-part": c.PlacedPart, "leads": c.View.Leads, "settled": c.View.Settled,
		"hosts": c.View.Hosts, "alive": c.View.Alive,
	}).Info("memory of an engine is short")
}

// silentSweepInterval is the time between two looks at the requests of silent hosts. Each
// walks all requests.
const silentSweepInterval = time.Second

// sweepSilent drops the requests of silent hosts whose callers have given up. The caller
// holds s.mu.
func (s *groupScheduler) sweepSilent(now time.Time) {
	kept := make(map[quetzalhook.HostID]bool)
	s.drop(func(id quetzalhook.RequestID, owner quetzalhook.HostID) bool {
		if !s.silent[owner] {
			return false
		}
		keep := s.scheduler.Abandon(now, id)
		kept[owner] = kept[owner] || keep
		return !keep
	})
	for host := range s.silent {
		if !kept[host] {
			delete(s.silent, host)
		}
	}
}

// setUpstreams replaces the engines of the group.
func (s *groupScheduler) setUpstreams(list []quetzalhook.Upstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(s.scheduler.SetUpstreams(s.clock.Now(), list))
}

// recordCache replaces the prompt parts that an engine is assumed to have cached.
func (s *groupScheduler) recordCache(id quetzalhook.UpstreamID, parts []quetzalhook.PromptPart) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scheduler.SetCachedParts(s.clock.Now(), id, parts)
}

// takeReliefs returns and removes the decisions to take requests of a host away from
// their engines.
func (s *groupScheduler) takeReliefs(host quetzalhook.HostID) []schedule.Relief {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.reliefs[host]
	delete(s.reliefs, host)
	return list
}

// reliefCount returns the number of decisions to take requests away.
func (s *groupScheduler) reliefCount() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scheduler.Reliefs()
}

// syncedSince returns the number of other hosts that have synced after a time.
func (s *groupScheduler) syncedSince(t time.Time) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, at := range s.lastSync {
		if at.After(t) {
			n++
		}
	}
	return n
}

// usageReport is the number of customers whose usage a host reports to a new leader and
// a leader to its hosts. With 2,800 hosts, the answers of a second take 2 MB.
const usageReport = 32

// chargeOwn counts a started request of this host.
func (s *groupScheduler) chargeOwn(r quetzalhook.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.own.Charge(s.clock.Now(), r, s.scheduler.Work(r))
}

// ownUsage returns what the customers of this host got lately.
func (s *groupScheduler) ownUsage() []schedule.TierUsage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.own.Top(s.clock.Now(), usageReport)
}

// usage returns what customers got lately from all hosts, if requests wait.
func (s *groupScheduler) usage() []schedule.TierUsage {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.scheduler.Waiting() == 0 {
		return nil
	}
	return s.scheduler.Usage(s.clock.Now(), usageReport)
}

// usageMemory is how long it is known that a host has told the usage of its customers:
// many half-lives of the usage.
const usageMemory = 10 * time.Minute

// takeUsage takes over what the customers of another host got before this host became the
// leader. A host that comes back to a former leader told most of it before, so that it
// only raises the usage, and the same work does not count twice.
func (s *groupScheduler) takeUsage(host quetzalhook.HostID, list []schedule.TierUsage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	maps.DeleteFunc(s.toldAt, func(_ quetzalhook.HostID, at time.Time) bool { return now.Sub(at) > usageMemory })
	if _, again := s.toldAt[host]; again {
		s.scheduler.RaiseUsage(now, list)
	} else {
		s.scheduler.AddUsage(now, list)
	}
	s.toldAt[host] = now
}

// raiseUsage takes over what the leader knows of the customers of all hosts.
func (s *groupScheduler) raiseUsage(list []schedule.TierUsage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scheduler.RaiseUsage(s.clock.Now(), list)
}

// shares returns the counts of decisions because of customers' shares.
func (s *groupScheduler) shares() schedule.ShareCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scheduler.Shares()
}

// load returns the current load of the group.
func (s *groupScheduler) load() schedule.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scheduler.Load(s.clock.Now())
}
