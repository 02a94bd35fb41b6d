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

// stallWatch closes the body of a streamed response when no event arrives within
// the limit. Bytes that are no event do not extend it.
type stallWatch struct {
	limit   time.Duration
	timer   *time.Timer
	expired atomic.Bool
}

func watchStall(body io.Closer, limit time.Duration) *stallWatch {
	s := &stallWatch{limit: limit}
	s.timer = time.AfterFunc(limit, func() {
		s.expired.Store(true)
		_ = body.Close() // ends the blocked Read
	})
	return s
}

// progress restarts the limit after an event.
func (s *stallWatch) progress() { s.timer.Reset(s.limit) }

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
