package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"quetzalhook"
)

const (
	// moveLead is how long before an engine ends its streams are moved: two
	// copies of some hundred MB behind those of other streams, and several round
	// trips between regions.
	moveLead = 1400 * time.Millisecond
	// placeLimit bounds the wait for another engine.
	placeLimit = 500 * time.Millisecond
	// copyLimit bounds one copy. After it an engine has no time left.
	copyLimit = time.Second
)

// errMoved reports that a stream goes on at another engine.
var errMoved = errors.New("the run was moved to another engine")

// streams lists the open streams by engine, and when engines leave.
type streams struct {
	mu      sync.Mutex
	open    map[quetzalhook.UpstreamID]map[*exchange]struct{}
	leaving map[quetzalhook.UpstreamID]*departure
}

// departure is the planned end of an engine.
type departure struct {
	timer *time.Timer
	due   bool // streams are moved from now on
}

func newStreams() *streams {
	return &streams{
		open: make(map[quetzalhook.UpstreamID]map[*exchange]struct{}), leaving: make(map[quetzalhook.UpstreamID]*departure),
	}
}

// SetUpstreams takes the registered upstreams. Streams on engines that have
// announced to leave are moved to others before they end.
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
		if s.leaving[u.ID] != nil {
			continue
		}
		leavesIn := u.LeavesIn
		if leavesIn <= 0 {
			leavesIn = g.deps.LeaveTime
		}
		s.leaving[u.ID] = &departure{timer: time.AfterFunc(max(leavesIn-moveLead, 0), func() { g.evacuate(u.ID) })}
	}
	for id, d := range s.leaving {
		if !leaves[id] { // it is gone, or was started again
			d.timer.Stop()
			delete(s.leaving, id)
		}
	}
}

// evacuate moves the streams of an engine.
func (g *Gateway) evacuate(id quetzalhook.UpstreamID) {
	s := g.streams
	s.mu.Lock()
	defer s.mu.Unlock()
	if d := s.leaving[id]; d != nil {
		d.due = true
	}
	for x := range s.open[id] {
		x.startMove()
	}
}

// add lists a stream that has begun.
func (s *streams) add(id quetzalhook.UpstreamID, x *exchange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open[id] == nil {
		s.open[id] = make(map[*exchange]struct{})
	}
	s.open[id][x] = struct{}{}
	if d := s.leaving[id]; d != nil && d.due {
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

// relocation is the move of one stream.
type relocation struct {
	cancel context.CancelFunc
	done   chan struct{}

	mu    sync.Mutex
	ended bool // the stream has ended; the run is not stopped any more
	// stopping reports that the source was told to stop the run.
	stopping bool

	// The following are set before done is closed.
	// stopped reports that the source may have stopped the run.
	stopped bool
	// memory is where the run goes on; empty if it was not moved.
	memory  string
	ticket  quetzalhook.Ticket
	attempt quetzalhook.Attempt
	err     error
}

// mayStop reports whether the source may be told to stop the run, and notes
// that it will be.
func (m *relocation) mayStop() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopping = !m.ended
	return m.stopping
}

// end notes that the stream has ended, and reports whether that may be because
// the source was told to stop.
func (m *relocation) end() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ended = true
	return m.stopping
}

// startMove begins to move the exchange's stream, once for each engine. The
// caller holds the mutex of the streams.
func (x *exchange) startMove() {
	if x.move != nil || x.gateway.deps.Mover == nil || x.service.Engine == nil || !x.service.Engine.CanMove {
		return
	}
	ctx, cancel := context.WithCancel(x.ctx)
	m := &relocation{cancel: cancel, done: make(chan struct{})}
	x.move = m
	source, request := x.attempt, x.request()
	request.ID += movedSuffix
	request.Tried = []quetzalhook.UpstreamID{source.Upstream.ID}
	request.Repeat = true
	request.CallerTimeout = max(x.patience-x.elapsed(), time.Millisecond)
	id := x.in.ID
	x.gateway.moves.Go(func() {
		defer close(m.done)
		m.err = x.gateway.relocate(ctx, m, id, source.Upstream, request)
		if m.memory == "" {
			m.ticket.Close()
		}
	})
}

// movedSuffix tells the placement of a moved run apart from that of its begin.
const movedSuffix = "+moved"

// relocate finds another engine, copies the memory of the run there while it
// goes on, and then stops it and copies the rest.
func (g *Gateway) relocate(ctx context.Context, m *relocation, id quetzalhook.RequestID, source quetzalhook.Upstream, request quetzalhook.Request) error {
	placeCtx, cancel := context.WithTimeout(ctx, placeLimit)
	defer cancel()
	m.ticket = g.deps.Dispatcher.Submit(placeCtx, request)
	var err error
	if m.attempt, err = m.ticket.Next(placeCtx); err != nil {
		return err
	}
	destination := m.attempt.Upstream.Address
	copyCtx, cancelCopy := context.WithTimeout(ctx, copyLimit)
	defer cancelCopy()
	copied, err := g.deps.Mover.Copy(copyCtx, id, source.Address, destination, false)
	if err != nil {
		return err
	}
	if !m.mayStop() {
		return g.free(copied)
	}
	lastCtx, cancelLast := context.WithTimeout(context.WithoutCancel(ctx), copyLimit)
	defer cancelLast()
	memory, err := g.deps.Mover.Copy(lastCtx, id, source.Address, destination, true)
	if errors.Is(err, quetzalhook.ErrNoRun) {
		return err
	}
	m.stopped = true
	if err != nil && memory != "" {
		// The source has stopped the run and keeps its memory.
		m.attempt.Upstream = source
	}
	m.memory = memory
	return err
}

// free gives up a copy of a run that has ended meanwhile.
func (g *Gateway) free(memory string) error {
	ctx, cancel := context.WithTimeout(context.Background(), copyLimit)
	defer cancel()
	return g.deps.Mover.Free(ctx, memory)
}

// endMove settles a move when the stream at its source has ended with err, and
// returns errMoved if it goes on elsewhere.
func (x *exchange) endMove(err error) error {
	s := x.gateway.streams
	s.remove(x.attempt.Upstream.ID, x)
	m := x.move
	if m == nil {
		return err
	}
	x.move = nil
	if !m.end() {
		m.cancel() // nothing has happened to the run
		return err
	}
	<-m.done
	m.cancel()
	log := x.gateway.deps.Log.WithField("request", x.in.ID).WithField("upstream", x.attempt.Upstream.ID).WithField("destination", m.attempt.Upstream.ID)
	if m.memory != "" {
		log.WithField("events", x.stream.events).WithError(m.err).Info("stream moved")
		x.moved = m
		return errMoved
	}
	log.WithError(m.err).WithField("stopped", m.stopped).Info("stream not moved")
	if err == nil && m.stopped {
		return &Error{Op: "relay", Kind: ErrorBroken, Status: http.StatusBadGateway, Message: "the run was stopped for a move that failed", Err: m.err}
	}
	return err
}

// goOn runs the rest of a moved stream where its memory is.
func (x *exchange) goOn(ctx context.Context, ticket *quetzalhook.Ticket) (quetzalhook.AttemptEnd, error) {
	(*ticket).End(quetzalhook.AttemptEnd{End: quetzalhook.EndFinished, Tokens: x.stream.events})
	(*ticket).Close()
	m := x.moved
	*ticket, x.moved, x.memory = m.ticket, nil, m.memory
	end, err := x.try(ctx, *ticket, m.attempt)
	x.memory = ""
	if end.End == quetzalhook.EndNotSent {
		end.End = quetzalhook.EndBroken // it has run until the move
	}
	return end, err
}
