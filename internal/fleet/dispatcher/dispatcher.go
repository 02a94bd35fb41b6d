package dispatcher

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"quetzalhook"
	"quetzalhook/internal/state/timing"
	"quetzalhook/internal/traffic/schedule"
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
	// Leader names the host that decides at present.
	Leader func() quetzalhook.HostID
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
	desk     *desk
	learner  learner

	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu         sync.Mutex
	budget     Budget
	tickets    map[quetzalhook.RequestID]*ticket // that run on an upstream
	events     []event
	distrusted map[quetzalhook.HostID]time.Time // until when
}

// New returns a dispatcher that is not started. It registers its handlers with
// peers.
func New(settings Settings, peers quetzalhook.Peers, clock quetzalhook.Clock, log logrus.FieldLogger) *Dispatcher {
	d := &Dispatcher{
		settings: settings, peers: peers, clock: clock, log: log, desk: newDesk(clock, log), budget: settings.Budget,
		learner: learner{known: make(map[quetzalhook.UpstreamID]reading)},
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
	d.wg.Go(func() { timing.Every(ctx, tickInterval, func() { d.desk.tick(d.settings.Host) }) })
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
	d.desk.setUpstreams(list)
	d.learner.set(list)
}

// Load returns the load of all hosts, from the leader.
func (d *Dispatcher) Load(ctx context.Context) (schedule.Load, error) {
	leader := d.target()
	if leader == "" {
		return d.desk.load(), nil
	}
	ctx, cancel := context.WithTimeout(ctx, reportLimit)
	defer cancel()
	reply, err := d.peers.Call(ctx, leader, loadKind, nil)
	if err != nil {
		return schedule.Load{}, &Error{Op: "load", Kind: ErrorUnreachable, Err: err}
	}
	var load schedule.Load
	if err := cbor.Unmarshal(reply, &load); err != nil {
		return load, &Error{Op: "load", Kind: ErrorProtocol, Err: err}
	}
	return load, nil
}

func (d *Dispatcher) handleLoad(context.Context, quetzalhook.HostID, []byte) ([]byte, error) {
	return cbor.Marshal(d.desk.load())
}

// target returns the leader to ask, or "" if this host decides itself.
func (d *Dispatcher) target() quetzalhook.HostID {
	leader := d.settings.Leader()
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

// assign gets a decision from the leader or, without its answer, from the own
// desk.
func (d *Dispatcher) assign(ctx context.Context, r quetzalhook.Request) (decided, error) {
	for leader := d.target(); leader != ""; leader = d.target() {
		c, waits, err := d.ask(ctx, leader, r)
		switch {
		case err == nil && c.refusal != nil && c.refusal.Kind == quetzalhook.RefuseNoUpstream:
			// It knows less than this host: it has just started, or the store turns
			// it away.
			d.distrust(leader, c.refusal)
		case err == nil && !waits:
			return c, nil
		case ctx.Err() != nil:
			d.note(event{ID: r.ID, End: quetzalhook.EndCallerGone})
			return decided{}, context.Cause(ctx)
		case err != nil:
			d.distrust(leader, err)
		}
	}
	return d.desk.assign(ctx, d.settings.Host, r)
}

// ask asks the leader once; waits reports that the request still waits there.
func (d *Dispatcher) ask(ctx context.Context, leader quetzalhook.HostID, r quetzalhook.Request) (c decided, waits bool, err error) {
	body, err := cbor.Marshal(assignRequest{Request: toWire(r), Events: d.takeEvents()})
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
	d.apply(req.Events)
	ctx, cancel := context.WithTimeout(ctx, answerWait)
	defer cancel()
	var answer assignAnswer
	c, err := d.desk.assign(ctx, from, req.Request.request())
	switch {
	case err != nil: // it still waits
	case c.refusal != nil:
		answer.Refusal, answer.RetryAfter = c.refusal.Kind, c.refusal.RetryAfter
	default:
		answer.Upstream, answer.Urgency, answer.Source = &c.attempt.Upstream, c.attempt.Urgency, c.attempt.Source
	}
	return cbor.Marshal(answer)
}

// note adds an event to the next report.
func (d *Dispatcher) note(e event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.events = append(d.events, e)
}

// report sends the events since the last report to the leader. What does not
// arrive is made up for by the next sync.
func (d *Dispatcher) report(ctx context.Context) {
	leader, events := d.target(), d.takeEvents()
	if leader != "" && len(events) > 0 {
		d.call(ctx, leader, reportKind, events, nil)
	}
}

// takeEvents returns the events since the last report.
func (d *Dispatcher) takeEvents() []event {
	d.mu.Lock()
	defer d.mu.Unlock()
	events := d.events
	d.events = nil
	return events
}

func (d *Dispatcher) handleReport(_ context.Context, _ quetzalhook.HostID, body []byte) ([]byte, error) {
	var events []event
	if err := cbor.Unmarshal(body, &events); err != nil {
		return nil, &Error{Op: "report", Kind: ErrorProtocol, Err: err}
	}
	d.apply(events)
	return nil, nil
}

// apply hands the events of another host to the desk.
func (d *Dispatcher) apply(events []event) {
	for _, e := range events {
		if e.Seen > 0 {
			d.desk.observe(e.ID, e.Seen)
		}
		if e.End == 0 {
			d.desk.progress(e.ID, e.Tokens)
		} else {
			d.desk.end(e.ID, e.end())
		}
	}
}

// call sends a message to the leader and decodes the answer unless result is
// nil. It reports whether that worked.
func (d *Dispatcher) call(ctx context.Context, leader quetzalhook.HostID, kind string, message, result any) bool {
	body, err := cbor.Marshal(message)
	if err == nil {
		ctx, cancel := context.WithTimeout(ctx, reportLimit)
		defer cancel()
		var reply []byte
		reply, err = d.peers.Call(ctx, leader, kind, body)
		if err == nil && result != nil {
			err = cbor.Unmarshal(reply, result)
		}
	}
	if err != nil && ctx.Err() == nil {
		d.log.WithField("leader", leader).WithField("kind", kind).WithError(err).Debug("message to the leader lost")
	}
	return err == nil
}

// sync lists the running requests to the leader and sends those that it does
// not know.
func (d *Dispatcher) sync(ctx context.Context) {
	leader := d.target()
	if leader == "" {
		return
	}
	d.mu.Lock()
	running := make([]quetzalhook.RequestID, 0, len(d.tickets))
	for id := range d.tickets {
		running = append(running, id)
	}
	d.mu.Unlock()
	var unknown []quetzalhook.RequestID
	if !d.call(ctx, leader, syncKind, running, &unknown) || len(unknown) == 0 {
		return
	}
	var adoptions []adoption
	d.mu.Lock()
	for _, id := range unknown {
		if t := d.tickets[id]; t != nil {
			adoptions = append(adoptions, adoption{Request: toWire(t.request), Upstream: t.current, Tokens: t.tokens})
		}
	}
	d.mu.Unlock()
	d.call(ctx, leader, adoptKind, adoptions, nil)
}

func (d *Dispatcher) handleSync(_ context.Context, from quetzalhook.HostID, body []byte) ([]byte, error) {
	var running []quetzalhook.RequestID
	if err := cbor.Unmarshal(body, &running); err != nil {
		return nil, &Error{Op: "sync", Kind: ErrorProtocol, Err: err}
	}
	return cbor.Marshal(d.desk.sync(from, running))
}

func (d *Dispatcher) handleAdopt(_ context.Context, from quetzalhook.HostID, body []byte) ([]byte, error) {
	var adoptions []adoption
	if err := cbor.Unmarshal(body, &adoptions); err != nil {
		return nil, &Error{Op: "adopt", Kind: ErrorProtocol, Err: err}
	}
	for _, a := range adoptions {
		d.desk.adopt(from, a.Request.request(), a.Upstream, a.Tokens)
	}
	return nil, nil
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
