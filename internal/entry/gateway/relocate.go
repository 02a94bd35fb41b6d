package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"quetzalhook"
	"quetzalhook/internal/state/timing"
)

const (
	// moveLeadTime is how long before the stop of an engine the move of its
	// streams begins. It allows for two copies of some hundred MB each, which
	// wait for the copies of other streams, and for several round trips between
	// regions.
	moveLeadTime = 1400 * time.Millisecond
	// placementTimeout limits the wait for a destination engine.
	placementTimeout = 500 * time.Millisecond
	// copyTimeout limits one copy. A longer one would end after the engine has
	// stopped.
	copyTimeout = time.Second
)

// errMoved reports that a stream ended because its request was moved to another
// engine, where it continues.
var errMoved = errors.New("the run was moved to another engine")

// errDestinationGone reports that the destination of a move may not be used any more.
var errDestinationGone = errors.New("the destination may not be used any more")

// streams holds the open streams by engine, and the engines that are leaving.
type streams struct {
	mu      sync.Mutex
	open    map[quetzalhook.UpstreamID]map[*exchange]io.Closer // with the bodies of the responses
	leaving map[quetzalhook.UpstreamID]*plannedStop
}

// plannedStop is the announced stop of an engine.
type plannedStop struct {
	timer *time.Timer
	at    time.Time // when it stops, as far as known
	timed bool      // the engine has announced when it stops
	due   bool      // less than moveLeadTime is left: new streams are moved at once
}

func newStreams() *streams {
	return &streams{
		open: make(map[quetzalhook.UpstreamID]map[*exchange]io.Closer), leaving: make(map[quetzalhook.UpstreamID]*plannedStop),
	}
}

// SetUpstreams takes the list of registered upstreams. For each leaving engine,
// it schedules the move of the engine's streams to other engines, moveLeadTime
// before the engine stops.
func (g *Gateway) SetUpstreams(list []quetzalhook.Upstream) {
	s := g.streams
	s.mu.Lock()
	defer s.mu.Unlock()
	leaves := make(map[quetzalhook.UpstreamID]bool)
	for _, u := range list {
		if u.State != quetzalhook.UpstreamLeaving {
			continue
		}
		leaves[u.ID] = true
		if stop := s.leaving[u.ID]; stop != nil {
			if stop.timed || u.LeavesIn <= 0 {
				continue
			}
			stop.timer.Stop() // so far only the answers have told that it leaves
		}
		leavesIn := u.LeavesIn
		if leavesIn <= 0 {
			leavesIn = g.deps.DefaultLeaveTime
		}
		due := s.leaving[u.ID] != nil && s.leaving[u.ID].due
		s.leaving[u.ID] = &plannedStop{
			timed: u.LeavesIn > 0, due: due, at: time.Now().Add(leavesIn),
			timer: time.AfterFunc(max(leavesIn-moveLeadTime, 0), func() { g.moveStreams(u.ID) }),
		}
	}
	for id, stop := range s.leaving {
		if !leaves[id] { // the engine has gone or was restarted
			stop.timer.Stop()
			delete(s.leaving, id)
		}
	}
}

// moveStreams starts to move all streams of an engine.
func (g *Gateway) moveStreams(id quetzalhook.UpstreamID) {
	s := g.streams
	s.mu.Lock()
	defer s.mu.Unlock()
	if stop := s.leaving[id]; stop != nil {
		stop.due = true
	}
	for x := range s.open[id] {
		x.startMove()
	}
}

// add adds a stream that has begun. It starts to move the stream if the engine
// is about to stop.
func (s *streams) add(id quetzalhook.UpstreamID, x *exchange, body io.Closer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open[id] == nil {
		s.open[id] = make(map[*exchange]io.Closer)
	}
	s.open[id][x] = body
	if stop := s.leaving[id]; stop != nil && stop.due {
		x.startMove()
	}
}

func (s *streams) remove(id quetzalhook.UpstreamID, x *exchange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open[id], x)
	if len(s.open[id]) == 0 {
		delete(s.open, id)
	}
}

// Relieve takes the stream of a request away from an engine once another one has room for
// it: it is moved or, if end is set or it cannot be moved, ended there to go on elsewhere
// without its KV cache. Only a stream that may run once more is ended.
func (g *Gateway) Relieve(id quetzalhook.RequestID, engine quetzalhook.UpstreamID, end bool) {
	id = quetzalhook.RequestID(strings.ReplaceAll(string(id), movedSuffix, ""))
	s := g.streams
	s.mu.Lock()
	defer s.mu.Unlock()
	for x, body := range s.open[engine] {
		if x.inbound.ID != id {
			continue
		}
		if mayEnd := x.route.IsRepeatable() && x.runs < x.route.Attempts; mayEnd && (end || !x.canMove()) {
			x.startHandover(body)
		} else {
			x.startMove()
		}
		g.deps.Log.WithField("request", id).WithField("upstream", engine).WithField("moving", x.activeMove != nil).Info("stream to be taken away from its engine")
	}
}

// relocation is the move of one stream to another engine. The run is the
// execution of the stream's request at an engine: it begins at the source and
// continues at the destination.
type relocation struct {
	cancel context.CancelFunc
	done   chan struct{}

	mu    sync.Mutex
	ended bool // the stream has ended, so that the source must not be told to stop the run
	// stopping is set before the source is told to stop the run.
	stopping bool

	// The following fields are written before done is closed and read after
	// that.
	//
	// stopped reports that the source may have stopped the run.
	stopped bool
	// kvHandle is the engine and handle of the KV cache with which the run can
	// continue; empty if the run was not moved.
	kvHandle string
	// handedOver reports that the stream was ended at the source, to go on without its
	// KV cache.
	handedOver bool
	source     quetzalhook.Upstream // set before the move starts
	ticket     quetzalhook.Ticket   // of the request for a destination
	attempt    quetzalhook.Attempt  // that continues the run
	err        error
}

// beginStop records that the source is about to be told to stop the run. It
// returns false if the stream has ended, in which case the source must not be
// told.
func (m *relocation) beginStop() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopping = !m.ended
	return m.stopping
}

// markEnded records that the stream has ended. It reports whether the source
// was told to stop, which may be why the stream ended.
func (m *relocation) markEnded() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ended = true
	return m.stopping
}

// hasFailed reports whether the move has ended and has not told the source to stop the
// run, so that the run goes on there.
func (m *relocation) hasFailed() bool {
	select {
	case <-m.done:
	default:
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.stopping
}

// canMove reports whether the engines of the stream can copy the KV cache of a run.
func (x *exchange) canMove() bool {
	return x.gateway.deps.Mover != nil && x.service.Engine != nil && x.service.Engine.CanMove
}

// startMove starts to move the stream to another engine with its KV cache, unless that
// cannot be copied.
func (x *exchange) startMove() {
	if !x.canMove() {
		return
	}
	remaining := x.route.Attempts - x.runs + 1 // the run at the destination is the one at the source
	x.relocateWith(remaining, func(ctx context.Context, m *relocation, source quetzalhook.Upstream, request quetzalhook.Request) error {
		return x.gateway.relocate(ctx, m, x.inbound.ID, source, request)
	})
}

// startHandover starts to get another engine for the stream. Once there is one, it ends
// the stream at its current engine by closing body.
func (x *exchange) startHandover(body io.Closer) {
	x.relocateWith(x.route.Attempts-x.runs, func(ctx context.Context, m *relocation, _ quetzalhook.Upstream, request quetzalhook.Request) error {
		if err := x.gateway.findDestination(ctx, m, request); err != nil {
			return err
		}
		if m.handedOver = m.beginStop(); m.handedOver {
			_ = body.Close() // ends the blocked Read
		}
		return nil
	})
}

// relocateWith runs f in the background to take the stream away from its current engine,
// unless that is under way or may have stopped the run. The request may run as often as
// remaining tells, from then on. The caller holds streams.mu.
func (x *exchange) relocateWith(remaining int, f func(context.Context, *relocation, quetzalhook.Upstream, quetzalhook.Request) error) {
	if m := x.activeMove; m != nil {
		if !m.hasFailed() {
			return
		}
		m.cancel()
	}
	ctx, cancel := context.WithCancel(x.ctx)
	source, request := x.attempt, x.request()
	m := &relocation{cancel: cancel, done: make(chan struct{}), source: source.Upstream}
	x.activeMove = m
	x.moves++
	request.ID += quetzalhook.RequestID(strings.Repeat(movedSuffix, x.moves))
	request.Tried = []quetzalhook.UpstreamID{source.Upstream.ID}
	request.Repeat, request.Moving, request.Attempts = true, true, remaining
	// Also without an event so far: the first one may arrive during the move.
	request.Build, request.BuildNow = source.Upstream.Build, nil
	request.CallerTimeout = max(x.timeout-x.elapsed(), time.Millisecond)
	stop := x.gateway.streams.leaving[source.Upstream.ID]
	wasDue := stop != nil && stop.due
	x.gateway.moves.Go(func() {
		m.err = f(ctx, m, source.Upstream, request)
		if m.kvHandle == "" && !m.handedOver {
			m.ticket.Close()
		}
		close(m.done)
		if !wasDue {
			x.gateway.moveIfDue(x, m)
		}
	})
}

// moveIfDue moves a stream away from an engine that is about to stop, if an earlier move
// has failed that was under way when the engine's streams were to be moved.
func (g *Gateway) moveIfDue(x *exchange, failed *relocation) {
	s := g.streams
	s.mu.Lock()
	defer s.mu.Unlock()
	id := failed.source.ID
	if stop := s.leaving[id]; stop != nil && stop.due && s.open[id][x] != nil && x.activeMove == failed {
		x.startMove()
	}
}

// movedSuffix is appended to the ID of the request that the dispatcher receives
// for the destination, once for each move of the stream: the request and its earlier
// moves may still run.
const movedSuffix = "+moved"

// relocate moves a run to another engine. It gets a destination from the
// dispatcher, copies the run's KV cache while the run continues at the source,
// and then stops the run and copies the rest. It sets the results in m.
func (g *Gateway) relocate(ctx context.Context, m *relocation, id quetzalhook.RequestID, source quetzalhook.Upstream, request quetzalhook.Request) error {
	if err := g.findDestination(ctx, m, request); err != nil {
		return err
	}
	destination := m.attempt.Upstream.Address
	copyCtx, cancelCopy := context.WithTimeout(ctx, copyTimeout)
	defer cancelCopy()
	copied, err := g.deps.Mover.Copy(copyCtx, id, source.Address, destination, false)
	if err != nil {
		return err
	}
	if !g.deps.Usable(m.attempt.Upstream) {
		// Its zone was evacuated, or it has gone, since it was chosen.
		if err := g.freeCopy(copied); err != nil {
			return err
		}
		return errDestinationGone
	}
	if err := checkDestination(request, source, m.attempt.Upstream); err != nil {
		return errors.Join(err, g.freeCopy(copied))
	}
	if !m.beginStop() {
		return g.freeCopy(copied)
	}
	lastCtx, cancelLast := context.WithTimeout(context.WithoutCancel(ctx), copyTimeout)
	defer cancelLast()
	kvHandle, err := g.deps.Mover.Copy(lastCtx, id, source.Address, destination, true)
	if errors.Is(err, quetzalhook.ErrNotRunning) {
		return err
	}
	m.stopped = true
	if err != nil && kvHandle != "" {
		// The source has stopped the run and keeps its KV cache, so the
		// run continues there.
		m.attempt.Upstream = source
	}
	m.kvHandle = kvHandle
	return err
}

// findDestination gets an engine for a stream from the dispatcher.
func (g *Gateway) findDestination(ctx context.Context, m *relocation, request quetzalhook.Request) error {
	ctx, cancel := context.WithTimeout(ctx, placementTimeout)
	defer cancel()
	m.ticket = g.deps.Dispatcher.Submit(ctx, request)
	var err error
	if m.attempt, err = m.ticket.Next(ctx); err != nil {
		return err
	}
	return checkDestination(request, m.source, m.attempt.Upstream)
}

// errRegionLeft reports that the request may not run in the region of its destination,
// by a table that came into force during the move.
var errRegionLeft = errors.New("the request may not run in the region of the destination")

// errOtherBuild reports that the destination of a move has another build than the source.
var errOtherBuild = errors.New("the destination has another build")

// checkDestination returns an error unless a destination has the build of the source, and
// the newest table allows a request in its region. It is called before each copy, because
// a copy may take a second.
func checkDestination(r quetzalhook.Request, source, destination quetzalhook.Upstream) error {
	switch {
	case destination.Build != source.Build:
		return errOtherBuild
	case !r.NewestScope().Regions.Allows(destination.Region):
		return errRegionLeft
	}
	return nil
}

// freeCopy frees a copy that will not be used, since the run has ended at the
// source.
func (g *Gateway) freeCopy(kvHandle string) error {
	ctx, cancel := context.WithTimeout(context.Background(), copyTimeout)
	defer cancel()
	return g.deps.Mover.Free(ctx, kvHandle)
}

// finishMove is called when the stream at an engine has ended with err. If a
// move may have stopped the run, finishMove waits for the move to end, and
// returns errMoved if the run can continue. Otherwise it returns err, or an
// error if the stream looks complete although the run may have been stopped. Without
// a handle, a framed stream that is complete was not stopped.
func (x *exchange) finishMove(err error, framed bool) error {
	source := x.attempt.Upstream.ID
	x.gateway.streams.remove(source, x)
	m := x.activeMove
	x.activeMove = nil
	switch {
	case m == nil:
	case !m.markEnded(): // the run at the source was not stopped
		m.cancel()
	default:
		<-m.done
		m.cancel()
		fields := logrus.Fields{"request": x.inbound.ID, "upstream": source, "destination": m.attempt.Upstream.ID}
		addBuild(fields, x.attempt.Upstream)
		if m.attempt.Upstream.Build != "" {
			fields["destination-build"] = m.attempt.Upstream.Build
		}
		log := x.gateway.deps.Log.WithFields(fields)
		if m.handedOver && err == nil {
			m.ticket.Close() // the stream was complete before its attempt was ended
			return nil
		}
		if m.kvHandle != "" || m.handedOver {
			log.WithField("events", x.stream.events.count).WithError(m.err).Info("stream moved")
			x.completedMove = m
			return errMoved
		}
		log.WithError(m.err).WithField("stopped", m.stopped).Info("stream not moved")
		if m.stopped {
			x.unknownStops = append(x.unknownStops, source)
		}
	}
	if err == nil && !framed && slices.Contains(x.unknownStops, source) {
		return &Error{Op: "relay", Kind: ErrorBroken, Status: http.StatusBadGateway, Message: "the run may have been stopped for a move that failed"}
	}
	return err
}

// dropCopy frees a copy from which no run has continued.
func (g *Gateway) dropCopy(kvHandle string) {
	if err := g.freeCopy(kvHandle); err != nil {
		g.deps.Log.WithField("kv-handle", kvHandle).WithError(err).Info("copy not freed")
	}
}

// resumeMoved ends the attempt at the source and passes on the rest of a moved
// stream from the engine that continues it. It replaces the ticket with the one
// of the move.
func (x *exchange) resumeMoved(ctx context.Context, ticket *quetzalhook.Ticket) (quetzalhook.AttemptEnd, error) {
	m := x.completedMove
	end := quetzalhook.AttemptEnd{End: quetzalhook.EndFinished, Tokens: x.outputTokens()}
	if m.handedOver {
		end.End, end.Relieved = quetzalhook.EndBroken, true
	}
	(*ticket).End(end)
	(*ticket).Close()
	*ticket, x.completedMove, x.kvHandle = m.ticket, nil, m.kvHandle
	end, err := x.runAttempt(ctx, *ticket, m.attempt)
	if end.End == quetzalhook.EndNotSent && x.kvHandle != "" {
		if upstream, ok := x.resumeElsewhere(ctx, m, end.Verdict.Pause); ok {
			x.gateway.deps.Log.WithFields(x.failureFields()).WithField("next", upstream.ID).WithError(err).Info("moved run not taken; asking once more")
			m.attempt.Upstream = upstream
			end, err = x.runAttempt(ctx, *ticket, m.attempt)
		}
	}
	x.kvHandle = ""
	if end.End == quetzalhook.EndNotSent && !m.handedOver {
		end.End = quetzalhook.EndBroken // the request ran before the move
		x.gateway.moves.Go(func() { x.gateway.dropCopy(m.kvHandle) })
	}
	return end, err
}

const (
	// returnMargin is how long before its stop an engine gets moved runs back at the
	// latest: a request takes a round trip between regions to arrive.
	returnMargin = 200 * time.Millisecond
	// maxMovePause is the longest pause of a destination for which a moved stream waits.
	// Callers give up a stream after a gap of two seconds or more.
	maxMovePause = 1500 * time.Millisecond
)

// resumeElsewhere returns where a moved run may go on that the destination has not taken:
// at the source, which keeps its KV cache, or at the destination after its pause.
func (x *exchange) resumeElsewhere(ctx context.Context, m *relocation, pause time.Duration) (quetzalhook.Upstream, bool) {
	destination := m.attempt.Upstream
	if destination.ID != m.source.ID && x.gateway.mayReturnTo(m.source) {
		return m.source, true
	}
	return destination, pause > 0 && pause <= maxMovePause && timing.Sleep(ctx, pause)
}

// mayReturnTo reports whether an engine may get a run back that has been moved away.
func (g *Gateway) mayReturnTo(u quetzalhook.Upstream) bool {
	g.streams.mu.Lock()
	stop := g.streams.leaving[u.ID]
	g.streams.mu.Unlock()
	if stop != nil {
		return time.Until(stop.at) >= returnMargin
	}
	return g.deps.Usable(u)
}
