package dispatcher

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"quetzalhook"
	"quetzalhook/internal/state/timing"
	"quetzalhook/internal/traffic/notice"
	"quetzalhook/internal/traffic/reach"
	"quetzalhook/internal/traffic/schedule"
	"quetzalhook/internal/traffic/speed"
	"quetzalhook/internal/traffic/throttle"
	"quetzalhook/internal/traffic/warmup"
)

const (
	// assignWait is how long the leader holds an assign call open while the
	// request is queued; the host then calls again. It bounds the time until a
	// host notices that the leader has failed.
	assignWait = 100 * time.Millisecond
	// assignTimeout is the time after which a host stops waiting for the leader
	// and schedules the request itself: assignWait plus a slow round trip between
	// regions.
	assignTimeout = assignWait + 150*time.Millisecond
	// queuedWait and queuedTimeout replace assignWait and assignTimeout once the
	// leader has reported the request as queued. The calls of the waiting requests
	// otherwise take more of the leader's processor the longer its queue is.
	queuedWait    = 800 * time.Millisecond
	queuedTimeout = queuedWait + 250*time.Millisecond
	// answerGrace is how long after an answer of the leader to any call a host takes
	// it for slow, not failed, and repeats a call that was not answered in time.
	answerGrace = 500 * time.Millisecond
	// maxSlowCalls bounds these repetitions for each request.
	maxSlowCalls = 3
	// leaderRetryDelay is how long a host does not call a leader after the leader
	// failed to answer or knew no engines.
	leaderRetryDelay = time.Second
	// reportInterval is the time between two reports of events to the leader.
	// Events are batched because each call takes processor time on the leader.
	reportInterval = 60 * time.Millisecond
	// callTimeout bounds every call to a leader other than assign.
	callTimeout = time.Second
	// syncInterval is the time between two calls that send the leader the list of
	// running requests.
	syncInterval = time.Second
	// speedLogInterval is the time between two logs of the speed of engines.
	speedLogInterval = 10 * time.Second
	// progressInterval is the shortest time between two progress events of one
	// request; the first token is always reported.
	progressInterval = 250 * time.Millisecond
)

// Settings configures a Dispatcher.
type Settings struct {
	Host quetzalhook.HostID
	// Leader returns the host that currently schedules a group of engines.
	Leader func(group int) quetzalhook.HostID
	// Position returns the position of this host among all live hosts, in
	// [0, 1). It selects the group for requests without a long shared prompt.
	Position func() float64
	// LimitRank divides the limits that engines name between the hosts that place
	// requests because they cannot reach the leader; nil if there is one host.
	LimitRank throttle.RankFunc
	// Usable reports whether this host may still send to an upstream.
	Usable func(quetzalhook.Upstream) bool
	// Evacuated reports whether a zone is evacuated; nil if zones are not.
	Evacuated func(quetzalhook.Zone) bool
	// Notices holds what upstreams ask of this host; nil for one of its own.
	Notices *notice.Notices
	// Reach knows to which engines this host could not open connections; nil for none.
	Reach *reach.Tracker
	// Starts knows which engines are cold; nil for none. Cold limits the requests to them
	// and is nil if no bound is set.
	Starts quetzalhook.Starts
	Cold   *throttle.Cold
	// Calls are the estimates of plain services, which syncs exchange; nil for none.
	Calls speed.Calls
	// Budget is this host's share of the retry limit of all hosts.
	Budget Budget
	// Caches lists the prompt parts that engines have cached; nil turns polling
	// of the caches off.
	Caches quetzalhook.CacheLister
	// Settled reports whether this host has heard the other hosts since its start.
	// Until then it takes itself for the leader of all groups, and reads no caches.
	// If it is nil, the host counts as settled.
	Settled func() bool
	// Shortage makes customers share the engines while requests wait, and bounds the
	// memory that requests use at engines.
	Shortage bool
	// KnownHosts returns the number of known hosts, with this one and those that have
	// been silent for a short time, or 0 until this host knows the others, and how many
	// of them are alive; it is nil if there is one host. MemoryRank returns the place of
	// this host among them for an engine.
	KnownHosts func() (known, alive int)
	MemoryRank func(quetzalhook.UpstreamID) int
	// Relieve moves a request of this host away from an engine, or ends its attempt.
	Relieve func(schedule.Relief)
}

// Budget limits how often requests are retried, by service.
type Budget interface {
	// Count records a new request.
	Count(now time.Time, service string)
	// Take reports whether a retry is allowed and, if so, deducts it from the
	// budget.
	Take(now time.Time, service string) bool
	// Return gives back a retry that was taken at the given time and not sent.
	Return(now, takenAt time.Time, service string)
}

// Dispatcher obtains scheduling decisions for the requests of one host, and
// schedules the groups that this host leads. It implements
// quetzalhook.Dispatcher and is safe for concurrent use.
type Dispatcher struct {
	settings    Settings
	peers       quetzalhook.Peers
	clock       quetzalhook.Clock
	log         logrus.FieldLogger
	groups      *groups
	cachePoller cachePoller
	assignCalls atomic.Int64

	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu                sync.Mutex
	budget            Budget
	tickets           map[quetzalhook.RequestID]*ticket // requests running on an upstream
	events            map[int][]event                   // not reported yet, by group
	unavailable       map[quetzalhook.HostID]time.Time  // leaders not to call before the given time
	redirects         map[int]redirect                  // by group
	answeredAt        map[quetzalhook.HostID]time.Time  // last answer of each leader
	synced            map[int]lastSync                  // by group
	led               map[int]leadership                // by group
	offersPausedUntil time.Time                         // no offers are made before this time
}

// New returns a dispatcher and registers its handlers with peers. The periodic
// work does not run before Start.
func New(settings Settings, peers quetzalhook.Peers, clock quetzalhook.Clock, log logrus.FieldLogger) *Dispatcher {
	if settings.Reach == nil {
		settings.Reach = reach.New()
	}
	if settings.Notices == nil {
		settings.Notices = notice.New()
	}
	if settings.Evacuated == nil {
		settings.Evacuated = func(quetzalhook.Zone) bool { return false }
	}
	if settings.Calls == nil {
		settings.Calls = noCalls{}
	}
	if settings.Starts == nil {
		settings.Starts = warmup.New()
	}
	d := &Dispatcher{
		settings: settings, peers: peers, clock: clock, log: log, budget: settings.Budget,
		cachePoller: cachePoller{lastRead: make(map[quetzalhook.UpstreamID]cacheRead)}, events: make(map[int][]event),
		tickets: make(map[quetzalhook.RequestID]*ticket), unavailable: make(map[quetzalhook.HostID]time.Time), redirects: make(map[int]redirect),
		answeredAt: make(map[quetzalhook.HostID]time.Time), synced: make(map[int]lastSync), led: make(map[int]leadership),
	}
	d.groups = newGroups(clock, log, d.schedulerOptions)
	peers.Handle(assignKind, d.handleAssign)
	peers.Handle(reportKind, d.handleReport)
	peers.Handle(syncKind, d.handleSync)
	peers.Handle(adoptKind, d.handleAdopt)
	peers.Handle(loadKind, d.handleLoad)
	return d
}

// limitRank returns how the limits of the engines in a group are divided: the leader
// places the requests of all hosts and uses them whole.
func (d *Dispatcher) limitRank(group int) throttle.RankFunc {
	return func(id quetzalhook.UpstreamID) (rank, hosts int) {
		if d.settings.LimitRank == nil || d.settings.Leader(group) == d.settings.Host {
			return 0, 1
		}
		return d.settings.LimitRank(id)
	}
}

// schedulerOptions returns the options of the scheduler of a group.
func (d *Dispatcher) schedulerOptions(group int) []schedule.Option {
	options := []schedule.Option{schedule.WithLimits(throttle.New(throttle.WithRank(d.limitRank(group)), throttle.WithCold(d.settings.Cold)))}
	if d.settings.Shortage {
		options = append(options, schedule.WithShares(), schedule.WithMemoryParts(d.memoryView(group)))
	}
	return options
}

// memoryView returns what this host knows of its place among the hosts that may use an
// engine.
func (d *Dispatcher) memoryView(group int) func(quetzalhook.UpstreamID) schedule.MemoryView {
	return func(id quetzalhook.UpstreamID) schedule.MemoryView {
		if d.settings.KnownHosts == nil {
			return schedule.OnlyHost
		}
		var v schedule.MemoryView
		v.Hosts, v.Alive = d.settings.KnownHosts()
		v.Leads = d.settings.Leader(group) == d.settings.Host
		if v.Leads {
			v.Settled, v.Synced = d.hasSettled(group, v.Alive)
		}
		if v.NeedsRank() {
			v.Rank = d.settings.MemoryRank(id)
		}
		return v
	}
}

// leaderSettleTime is the time after which a leader that does not know what all hosts
// run takes itself for the only leader. Hosts find a lost leader and sync with the next
// one in less.
const leaderSettleTime = 3 * time.Second

// hasSettled reports whether this host, which leads a group, knows what the live hosts
// run or has led for leaderSettleTime, and whether all have synced lately.
func (d *Dispatcher) hasSettled(group, alive int) (settled, synced bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	led, ok := d.led[group]
	synced = ok && led.synced >= alive-1
	return synced || ok && d.clock.Now().Sub(led.since) >= leaderSettleTime, synced
}

// recentSync is the age below which the sync of a host shows that it places no requests
// alone: hosts sync every syncInterval.
const recentSync = 2*syncInterval + syncInterval/2

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// updateLeadership records which groups this host leads, and how many hosts have synced
// with it lately.
func (d *Dispatcher) updateLeadership() {
	if !d.settings.Shortage {
		return
	}
	for group := range d.groups.count() {
		if d.settings.Leader(group) != d.settings.Host {
			d.mu.Lock()
			delete(d.led, group)
			d.mu.Unlock()
			continue
		}
		d.mu.Lock()
		led, ok := d.led[group]
		d.mu.Unlock()
		if !ok {
			led.since = d.clock.Now()
		}
		led.synced = d.groups.scheduler(group).syncedSince(later(led.since, d.clock.Now().Add(-recentSync)))
		d.mu.Lock()
		d.led[group] = led
		d.mu.Unlock()
	}
}

// redirectQueued sends the requests of other hosts that wait here for a group to its
// leader, if that is another host.
func (d *Dispatcher) redirectQueued() {
	for group := range d.groups.count() {
		if leader := d.settings.Leader(group); leader != d.settings.Host {
			d.groups.scheduler(group).redirect(d.settings.Host, leader)
		}
	}
}

// relieve carries out the decisions for the requests of this host.
func (d *Dispatcher) relieve(list []schedule.Relief) {
	for _, r := range list {
		d.log.WithFields(logrus.Fields{"request": r.Request, "upstream": r.Upstream, "end": r.End}).Info("request taken away, since the memory of its engine is short")
		if d.settings.Relieve != nil {
			d.settings.Relieve(r)
		}
	}
}

// leadership is since when a host has led a group, and how many hosts have synced with
// it since then and within recentSync.
type leadership struct {
	since  time.Time
	synced int
}

// Reliefs returns the number of decisions to take a request away from its engine.
func (d *Dispatcher) Reliefs() (n int64) {
	for _, s := range d.groups.list() {
		n += s.reliefCount()
	}
	return n
}

// Shares returns the decisions because of customers' shares in all groups that this
// host has scheduled.
func (d *Dispatcher) Shares() schedule.ShareCounts {
	var sum schedule.ShareCounts
	for _, s := range d.groups.list() {
		sum.Add(s.shares())
	}
	return sum
}

// Start runs the periodic work in the background until Close.
func (d *Dispatcher) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	d.wg.Go(func() {
		timing.Every(ctx, tickInterval, func() {
			d.groups.tick(d.settings.Host)
			d.relieve(d.groups.takeReliefs(d.settings.Host))
		})
	})
	// Apart from the reports, whose calls may block.
	d.wg.Go(func() { timing.Every(ctx, reportInterval, d.updateLeadership) })
	d.wg.Go(func() { timing.Every(ctx, reportInterval, d.redirectQueued) })
	d.wg.Go(func() { timing.Every(ctx, reportInterval, func() { d.report(ctx) }) })
	d.wg.Go(func() { timing.Every(ctx, syncInterval, func() { d.sync(ctx) }) })
	d.wg.Go(func() { timing.Every(ctx, speedLogInterval, d.logSpeeds) })
	d.wg.Go(func() { timing.Every(ctx, cachePollInterval, func() { d.pollCaches(ctx) }) })
}

// Close stops the periodic work and waits until it has ended.
func (d *Dispatcher) Close() error {
	if d.cancel != nil {
		d.cancel()
	}
	d.wg.Wait()
	return nil
}

// SetUpstreams replaces the list of engines.
func (d *Dispatcher) SetUpstreams(list []quetzalhook.Upstream) {
	d.groups.setUpstreams(list)
	d.cachePoller.setEngines(list)
}

// AssignCalls returns the number of calls so far in which other hosts asked this
// host for a decision.
func (d *Dispatcher) AssignCalls() int64 { return d.assignCalls.Load() }

// Groups returns the number of groups of engines.
func (d *Dispatcher) Groups() int { return d.groups.count() }

// redirect is the leader that another host has named, which this host takes for the leader.
type redirect struct {
	from, to quetzalhook.HostID
	until    time.Time
}

// remoteLeader returns the leader of a group, or "" if this host schedules the
// request itself: because it is the leader, or because the leader is marked as
// unavailable.
func (d *Dispatcher) remoteLeader(group int) quetzalhook.HostID {
	leader := d.settings.Leader(group)
	if leader == d.settings.Host {
		return ""
	}
	now := d.clock.Now()
	d.mu.Lock()
	r := d.redirects[group]
	d.mu.Unlock()
	if r.from == leader && now.Before(r.until) {
		leader = r.to
	}
	if !d.isAvailable(leader) {
		return ""
	}
	return leader
}

// follow makes a host the leader of a group for a time, since the one that this host takes
// for the leader has named it. It returns false if they disagree about the leader.
func (d *Dispatcher) follow(group int, asked, named quetzalhook.HostID) bool {
	leader := d.settings.Leader(group)
	if asked != leader || named == d.settings.Host || named == asked {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.redirects[group] = redirect{from: leader, to: named, until: d.clock.Now().Add(leaderRetryDelay)}
	return true
}

// isAvailable reports whether a leader is not marked as unavailable.
func (d *Dispatcher) isAvailable(leader quetzalhook.HostID) bool {
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	until, ok := d.unavailable[leader]
	if ok && !now.Before(until) {
		delete(d.unavailable, leader)
	}
	return !ok || !now.Before(until)
}

// markUnavailable stops calls to a leader for leaderRetryDelay.
func (d *Dispatcher) markUnavailable(leader quetzalhook.HostID, err error) {
	d.mu.Lock()
	d.unavailable[leader] = d.clock.Now().Add(leaderRetryDelay)
	d.mu.Unlock()
	d.log.WithField("leader", leader).WithError(err).Warn("leader cannot place requests; placing them here")
}

// assign obtains a decision on a request. With several groups, it offers the
// request to its home group and then to a second group, and queues it in the home
// group if neither has an engine that can take it at once. While offers are
// paused, it queues the request in the home group without an offer.
func (d *Dispatcher) assign(ctx context.Context, r quetzalhook.Request) (decision, error) {
	home, second := d.groups.choose(d.settings.Host, d.settings.Position(), r)
	if second != home && !d.areOffersPaused() {
		for _, group := range []int{home, second} {
			c, err := d.place(ctx, group, r, true)
			if err != nil || !c.busy {
				return c, err
			}
		}
		d.pauseOffers()
	}
	return d.place(ctx, home, r, false)
}

// offerPause is how long no offers are made after both groups were busy, because
// declined offers cost the leaders processor time while they are loaded most.
const offerPause = 200 * time.Millisecond

func (d *Dispatcher) areOffersPaused() bool {
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	return now.Before(d.offersPausedUntil)
}

func (d *Dispatcher) pauseOffers() {
	until := d.clock.Now().Add(offerPause)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.offersPausedUntil = until
}

// place obtains a decision from the leader of a group or, if the leader does not
// answer or knows no engines, from the local scheduler of the group. With offer
// set, the request is not queued.
func (d *Dispatcher) place(ctx context.Context, group int, r quetzalhook.Request, offer bool) (decision, error) {
	start, timeout := d.clock.Now(), r.CallerTimeout
	for {
		if timeout > 0 { // each scheduler counts it from the submission
			r.CallerTimeout = max(timeout-d.clock.Now().Sub(start), time.Millisecond)
		}
		c, ok, err := d.placeAtLeader(ctx, group, r, offer)
		if ok || err != nil {
			return c, err
		}
		if c, ok, err = d.placeHere(ctx, group, r, offer); ok || err != nil {
			return c, err
		}
	}
}

// placeAtLeader obtains a decision from the leader of a group. It returns false if the
// request has to be placed here.
func (d *Dispatcher) placeAtLeader(ctx context.Context, group int, r quetzalhook.Request, offer bool) (c decision, ok bool, err error) {
	slowCalls, inQueue := 0, false
	for leader := d.remoteLeader(group); leader != ""; leader = d.remoteLeader(group) {
		c, queued, err := d.ask(ctx, leader, assignRequest{Request: toWire(r), Group: group, Offer: offer, Queued: inQueue, Redirect: true})
		inQueue = inQueue || queued
		switch {
		case err == nil && c.leader != "":
			if !d.follow(group, leader, c.leader) {
				d.markUnavailable(leader, errNoLeader)
			}
			inQueue = false
		case err == nil && c.refusal != nil && c.refusal.Kind == quetzalhook.RefuseNoUpstream:
			// The leader knows fewer engines than this host: it has just started, or
			// the store refuses its requests.
			d.markUnavailable(leader, c.refusal)
		case err == nil && c.refusal != nil && (c.refusal.Kind == quetzalhook.RefuseRegion || c.refusal.Kind == quetzalhook.RefuseBuild):
			// This host may know an upstream in the scope that the leader does not know. The
			// leader is asked again for other requests, because a restriction that no
			// upstream meets is no sign of a failure.
			c, err := d.groups.scheduler(group).assignOrOffer(ctx, d.settings.Host, r, offer)
			return c, true, err
		case err == nil && !queued:
			return c, true, nil
		case ctx.Err() != nil:
			d.addEvent(group, event{ID: r.ID, End: quetzalhook.EndCallerGone})
			return decision{}, false, context.Cause(ctx)
		case err != nil && slowCalls < maxSlowCalls && d.hasAnswered(leader):
			slowCalls++
		case err != nil:
			d.markUnavailable(leader, err)
		}
	}
	return decision{}, false, nil
}

// errNoLeader reports that a host which was named as the leader names another one.
var errNoLeader = errors.New("the hosts disagree about the leader")

// ownQueueWait is how long a request waits in the queue of its own host before the host
// looks for the leader again: the host alone may place much less.
const ownQueueWait = 250 * time.Millisecond

// placeHere obtains a decision from the local scheduler of a group. It returns false if
// the leader can be asked again.
func (d *Dispatcher) placeHere(ctx context.Context, group int, r quetzalhook.Request, offer bool) (c decision, ok bool, err error) {
	scheduler := d.groups.scheduler(group)
	for {
		waitCtx, cancel := context.WithTimeout(ctx, ownQueueWait)
		c, err = scheduler.assignOrOffer(waitCtx, d.settings.Host, r, offer)
		cancel()
		if err == nil || ctx.Err() != nil {
			return c, err == nil, err
		}
		if d.remoteLeader(group) == "" {
			continue
		}
		c, ok = scheduler.withdraw(r.ID)
		return c, ok, nil
	}
}

// hasAnswered reports whether a leader has answered a call of this host within
// answerGrace. If all hosts took a slow leader for failed, each would place its
// requests without knowing those of the others, and overload the engines.
func (d *Dispatcher) hasAnswered(leader quetzalhook.HostID) bool {
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	return now.Sub(d.answeredAt[leader]) < answerGrace
}

// ask calls the leader of a group once for a decision; queued reports that the
// request is still queued there. It adds the pending events to req.
func (d *Dispatcher) ask(ctx context.Context, leader quetzalhook.HostID, req assignRequest) (c decision, queued bool, err error) {
	req.Events = d.takeEvents(req.Group)
	body, err := cbor.Marshal(req)
	if err != nil {
		return c, false, &Error{Op: "assign", Kind: ErrorProtocol, Err: err}
	}
	timeout := assignTimeout
	if req.Queued {
		timeout = queuedTimeout
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	calledAt := d.clock.Now()
	reply, err := d.peers.Call(callCtx, leader, assignKind, body)
	if err != nil {
		return c, false, &Error{Op: "assign", Kind: ErrorUnreachable, Err: err}
	}
	answeredAt := d.clock.Now()
	d.mu.Lock()
	d.answeredAt[leader] = answeredAt
	d.mu.Unlock()
	var answer assignAnswer
	if err := cbor.Unmarshal(reply, &answer); err != nil {
		return c, false, &Error{Op: "assign", Kind: ErrorProtocol, Err: err}
	}
	d.settings.Notices.Learn(d.clock.Now(), leader, answer.Left)
	switch {
	case answer.Leader != "":
		c.leader = answer.Leader
		d.mu.Lock()
		d.events[req.Group] = append(req.Events, d.events[req.Group]...) // for the leader
		d.mu.Unlock()
	case answer.Busy:
		c.busy = true
	case answer.Upstream != nil:
		c.attempt = quetzalhook.Attempt{
			Upstream: *answer.Upstream, Urgency: answer.Urgency, Cold: answer.Cold, Source: answer.Source,
			SourceID: answer.SourceID, SourceZone: answer.SourceZone, SourceRegion: answer.SourceRegion, SourceStarted: answer.SourceStarted,
		}
		// The clocks of the hosts may differ: the answer was on its way for at most the
		// time of the call in which the leader did not hold it.
		c.decidedAt = answeredAt.Add(-answer.Age - max(answeredAt.Sub(calledAt)-answer.Held, 0))
	case answer.Refusal != "":
		c.refusal = &quetzalhook.Refusal{Kind: answer.Refusal, RetryAfter: answer.RetryAfter}
	default:
		return c, true, nil
	}
	return c, false, nil
}

func (d *Dispatcher) handleAssign(ctx context.Context, from quetzalhook.HostID, body []byte) ([]byte, error) {
	var req assignRequest
	if err := cbor.Unmarshal(body, &req); err != nil {
		return nil, &Error{Op: "assign", Kind: ErrorProtocol, Err: err}
	}
	d.assignCalls.Add(1)
	calledAt := d.clock.Now()
	scheduler := d.groups.scheduler(req.Group)
	d.applyEvents(from, scheduler, req.Events)
	scheduler.setFollows(from, req.Redirect)
	var c decision
	var err error
	if leader := d.settings.Leader(req.Group); req.Redirect && leader != d.settings.Host {
		var decided bool
		if c, decided = scheduler.withdraw(quetzalhook.RequestID(req.Request.ID)); !decided {
			c = decision{leader: leader}
		}
	} else if req.Offer {
		c = scheduler.offer(from, req.Request.request())
	} else {
		wait := assignWait
		if req.Queued {
			wait = queuedWait
		}
		ctx, cancel := context.WithTimeout(ctx, wait)
		defer cancel()
		c, err = scheduler.assign(ctx, from, req.Request.request())
	}
	answer := assignAnswer{Busy: c.busy, Left: d.settings.Notices.Left(d.clock.Now(), recentNotices)}
	switch {
	case err != nil || c.busy: // still queued, or an offer that was declined
	case c.leader != "":
		answer.Leader = c.leader
	case c.refusal != nil:
		answer.Refusal, answer.RetryAfter = c.refusal.Kind, c.refusal.RetryAfter
	default:
		answer.Upstream, answer.Urgency = &c.attempt.Upstream, c.attempt.Urgency
		answer.Source, answer.SourceID, answer.SourceZone = c.attempt.Source, c.attempt.SourceID, c.attempt.SourceZone
		answer.SourceRegion, answer.SourceStarted = c.attempt.SourceRegion, c.attempt.SourceStarted
		if c.attempt.Cold {
			now := d.clock.Now()
			answer.Cold, answer.Age, answer.Held = true, now.Sub(c.decidedAt), now.Sub(calledAt)
		}
	}
	return cbor.Marshal(answer)
}

// ErrorKind classifies the errors of this package.
type ErrorKind string

const (
	// ErrorProtocol reports a message that cannot be encoded or decoded.
	ErrorProtocol ErrorKind = "protocol"
	// ErrorUnreachable reports that a call to the leader failed.
	ErrorUnreachable ErrorKind = "unreachable"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error implements error.
func (e *Error) Error() string {
	return "dispatcher: " + e.Op + ": " + string(e.Kind) + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
