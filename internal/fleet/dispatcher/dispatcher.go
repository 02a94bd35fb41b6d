package dispatcher

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"quetzalhook"
	"quetzalhook/internal/state/timing"
)

const (
	// answerWait is how long the leader keeps a call of a request that waits;
	// the host then asks again. It bounds the time in which a lost leader shows.
	answerWait = 100 * time.Millisecond
	// answerLimit is how long a host waits for an answer before it decides by
	// itself: answerWait and a slow round trip between regions.
	answerLimit = answerWait + 150*time.Millisecond
	// distrust is how long a host does not ask a leader that did not answer.
	distrust = time.Second
	// reportInterval is the longest time that events wait for a call to the
	// leader. Each call takes processor time on the leader.
	reportInterval = 60 * time.Millisecond
	// reportLimit bounds one report.
	reportLimit = time.Second
	// syncInterval is the time between two lists of the requests that run.
	syncInterval = time.Second
	// progressInterval is the time between two reports of the progress of one
	// request, after its first token.
	progressInterval = 250 * time.Millisecond
)

// Settings hold what a Dispatcher needs to know.
type Settings struct {
	Host quetzalhook.HostID
	// Leader names the host that decides at present for a group of engines.
	Leader func(group int) quetzalhook.HostID
	// Position is the place of this host among all live hosts, from 0 to below 1;
	// it selects the group of requests that share no long prompt.
	Position func() float64
	// Usable reports whether this host may still send to an upstream.
	Usable func(quetzalhook.Upstream) bool
	// Budget bounds the repeats of all hosts.
	Budget Budget
	// Caches tells what engines hold; nil if nothing does.
	Caches quetzalhook.CacheLister
}

// Budget bounds the requests that are sent once more.
type Budget interface {
	Count(now time.Time, service string)
	Take(now time.Time, service string) bool
}

// Dispatcher is one host's part of the dispatching. It implements
// quetzalhook.Dispatcher and is safe for concurrent use.
type Dispatcher struct {
	settings Settings
	peers    quetzalhook.Peers
	clock    quetzalhook.Clock
	log      logrus.FieldLogger
	groups   *groups
	learner  learner

	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu         sync.Mutex
	budget     Budget
	tickets    map[quetzalhook.RequestID]*ticket // that run on an upstream
	events     map[int][]event                   // by group
	distrusted map[quetzalhook.HostID]time.Time  // until when
	crowded    time.Time                         // until when no group is offered requests
}

// New returns a dispatcher that is not started. It registers its handlers with
// peers.
func New(settings Settings, peers quetzalhook.Peers, clock quetzalhook.Clock, log logrus.FieldLogger) *Dispatcher {
	d := &Dispatcher{
		settings: settings, peers: peers, clock: clock, log: log, groups: newGroups(clock, log), budget: settings.Budget,
		learner: learner{known: make(map[quetzalhook.UpstreamID]reading)}, events: make(map[int][]event),
		tickets: make(map[quetzalhook.RequestID]*ticket), distrusted: make(map[quetzalhook.HostID]time.Time),
	}
	peers.Handle(assignKind, d.handleAssign)
	peers.Handle(reportKind, d.handleReport)
	peers.Handle(syncKind, d.handleSync)
	peers.Handle(adoptKind, d.handleAdopt)
	peers.Handle(loadKind, d.handleLoad)
	return d
}

// Start begins the periodic work until Close.
func (d *Dispatcher) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	d.wg.Go(func() { timing.Every(ctx, tickInterval, func() { d.groups.tick(d.settings.Host) }) })
	d.wg.Go(func() { timing.Every(ctx, reportInterval, func() { d.report(ctx) }) })
	d.wg.Go(func() { timing.Every(ctx, syncInterval, func() { d.sync(ctx) }) })
	d.wg.Go(func() { timing.Every(ctx, learnInterval, func() { d.learn(ctx) }) })
}

// Close stops the periodic work and waits.
func (d *Dispatcher) Close() error {
	if d.cancel != nil {
		d.cancel()
	}
	d.wg.Wait()
	return nil
}

// SetUpstreams replaces the engines.
func (d *Dispatcher) SetUpstreams(list []quetzalhook.Upstream) {
	d.groups.setUpstreams(list)
	d.learner.set(list)
}

// Groups returns the number of groups of engines.
func (d *Dispatcher) Groups() int { return d.groups.count() }

// target returns the leader of a group to ask, or "" if this host decides
// itself.
func (d *Dispatcher) target(group int) quetzalhook.HostID {
	leader := d.settings.Leader(group)
	if leader == d.settings.Host {
		return ""
	}
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if until, ok := d.distrusted[leader]; ok {
		if now.Before(until) {
			return ""
		}
		delete(d.distrusted, leader)
	}
	return leader
}

func (d *Dispatcher) distrust(leader quetzalhook.HostID, err error) {
	d.mu.Lock()
	d.distrusted[leader] = d.clock.Now().Add(distrust)
	d.mu.Unlock()
	d.log.WithField("leader", leader).WithError(err).Warn("leader cannot place requests; placing them here")
}

// assign gets a decision on a request. In a fleet of several groups it is
// offered to its group and to a second one, and waits in the former if both are
// busy.
func (d *Dispatcher) assign(ctx context.Context, r quetzalhook.Request) (decided, error) {
	home, second := d.groups.choose(d.settings.Host, d.settings.Position(), r.Parts)
	if second != home && !d.isCrowded() {
		for _, group := range []int{home, second} {
			c, err := d.place(ctx, group, r, true)
			if err != nil || !c.busy {
				return c, err
			}
		}
		d.noteCrowded()
	}
	return d.place(ctx, home, r, false)
}

// crowdedTime is how long requests are not offered after both groups were busy:
// offers that are declined take time of the leaders when they have least.
const crowdedTime = 200 * time.Millisecond

func (d *Dispatcher) isCrowded() bool {
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	return now.Before(d.crowded)
}

func (d *Dispatcher) noteCrowded() {
	until := d.clock.Now().Add(crowdedTime)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.crowded = until
}

// place gets a decision from the leader of a group or, without its answer, from
// the own desk. An offer does not wait.
func (d *Dispatcher) place(ctx context.Context, group int, r quetzalhook.Request, offer bool) (decided, error) {
	for leader := d.target(group); leader != ""; leader = d.target(group) {
		c, waits, err := d.ask(ctx, leader, group, r, offer)
		switch {
		case err == nil && c.refusal != nil && c.refusal.Kind == quetzalhook.RefuseNoUpstream:
			// It knows less than this host: it has just started, or the store turns
			// it away.
			d.distrust(leader, c.refusal)
		case err == nil && !waits:
			return c, nil
		case ctx.Err() != nil:
			d.note(group, event{ID: r.ID, End: quetzalhook.EndCallerGone})
			return decided{}, context.Cause(ctx)
		case err != nil:
			d.distrust(leader, err)
		}
	}
	desk := d.groups.desk(group)
	if offer {
		return desk.offer(d.settings.Host, r), nil
	}
	return desk.assign(ctx, d.settings.Host, r)
}

// ask asks the leader of a group once; waits reports that the request still
// waits there.
func (d *Dispatcher) ask(ctx context.Context, leader quetzalhook.HostID, group int, r quetzalhook.Request, offer bool) (c decided, waits bool, err error) {
	body, err := cbor.Marshal(assignRequest{Request: toWire(r), Events: d.takeEvents(group), Group: group, Offer: offer})
	if err != nil {
		return c, false, &Error{Op: "assign", Kind: ErrorProtocol, Err: err}
	}
	callCtx, cancel := context.WithTimeout(ctx, answerLimit)
	defer cancel()
	reply, err := d.peers.Call(callCtx, leader, assignKind, body)
	if err != nil {
		return c, false, &Error{Op: "assign", Kind: ErrorUnreachable, Err: err}
	}
	var answer assignAnswer
	if err := cbor.Unmarshal(reply, &answer); err != nil {
		return c, false, &Error{Op: "assign", Kind: ErrorProtocol, Err: err}
	}
	switch {
	case answer.Busy:
		c.busy = true
	case answer.Upstream != nil:
		c.attempt = quetzalhook.Attempt{Upstream: *answer.Upstream, Urgency: answer.Urgency, Source: answer.Source}
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
	desk := d.groups.desk(req.Group)
	desk.take(req.Events)
	var c decided
	var err error
	if req.Offer {
		c = desk.offer(from, req.Request.request())
	} else {
		ctx, cancel := context.WithTimeout(ctx, answerWait)
		defer cancel()
		c, err = desk.assign(ctx, from, req.Request.request())
	}
	answer := assignAnswer{Busy: c.busy}
	switch {
	case err != nil || c.busy: // it still waits, or was only offered
	case c.refusal != nil:
		answer.Refusal, answer.RetryAfter = c.refusal.Kind, c.refusal.RetryAfter
	default:
		answer.Upstream, answer.Urgency, answer.Source = &c.attempt.Upstream, c.attempt.Urgency, c.attempt.Source
	}
	return cbor.Marshal(answer)
}

// ErrorKind classifies the failures of this package.
type ErrorKind string

const (
	// ErrorProtocol reports a message that cannot be read or written.
	ErrorProtocol ErrorKind = "protocol"
	// ErrorUnreachable reports that the leader did not answer.
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
