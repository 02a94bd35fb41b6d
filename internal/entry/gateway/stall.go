package gateway

import (
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"quetzalhook"
)

const (
	// DefaultStallLimit is the shortest time without an event after which a stream
	// may count as stalled.
	DefaultStallLimit = 2 * time.Second
	// stallLatencyFactor and stallGapFactor multiply the targets of a class. Callers
	// of the users' platform abandon a stream after the same multiples.
	stallLatencyFactor = 4
	stallGapFactor     = 8
	// stallMargin is added so that a stream is not ended before its caller would
	// abandon it.
	stallMargin = 250 * time.Millisecond
)

// stallLimit returns how long a stream of a class may go without an event. A slow
// stream within its targets stays far below it, so only a stalled one reaches it.
func stallLimit(minimum time.Duration, class quetzalhook.Class) time.Duration {
	return max(minimum, stallLatencyFactor*class.TTFTTarget(), stallGapFactor*class.GapTarget()) + stallMargin
}

// forwardedStallFactor multiplies the limit of a stream that another host resumes itself.
const forwardedStallFactor = 2

func (x *exchange) stallLimit() time.Duration {
	limit := stallLimit(x.gateway.deps.StallLimit, x.class)
	if x.isForwarded {
		limit *= forwardedStallFactor
	}
	return limit
}

// stallWatch closes the body of a streamed response when no event arrives within
// the limit. Bytes that are no event do not extend it, and the time in which a
// slow caller takes the events does not count.
type stallWatch struct {
	limit   time.Duration
	timer   *time.Timer
	end     time.Time     // when the timer expires, while it runs
	left    time.Duration // of the limit, while the timer is paused
	expired atomic.Bool
}

func watchStall(body io.Closer, limit time.Duration) *stallWatch {
	s := &stallWatch{limit: limit, end: time.Now().Add(limit)}
	s.timer = time.AfterFunc(limit, func() {
		s.expired.Store(true)
		_ = body.Close() // ends the blocked Read
	})
	return s
}

// pause stops the time until resume is called.
func (s *stallWatch) pause() {
	s.timer.Stop()
	s.left = max(time.Until(s.end), 0)
}

// resume continues after pause, with the whole limit if an event has arrived.
func (s *stallWatch) resume(event bool) {
	if event {
		s.left = s.limit
	}
	s.end = time.Now().Add(s.left)
	s.timer.Reset(s.left)
}

func (s *stallWatch) stop() { s.timer.Stop() }

// explain replaces the error of a read that the watch has interrupted.
func (s *stallWatch) explain(err error) error {
	if !s.expired.Load() {
		return err
	}
	return &Error{
		Op: "relay", Kind: ErrorBroken, Status: http.StatusBadGateway,
		Message: "the stream stalled: no event for " + strconv.FormatInt(s.limit.Milliseconds(), 10) + " ms", Err: err,
	}
}
