package gateway

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"quetzalhook"
	"quetzalhook/internal/entry/connection"
)

const (
	// readSize is the size of the buffer for reading a stream, in bytes.
	readSize = 4 << 10
	// maxEventSize limits one event in bytes.
	maxEventSize = 128 << 10
)

// stream is the state of a streamed response. It spans all upstreams that
// contribute to the response.
type stream struct {
	headerSent     bool              // the response header was written to the caller, or is about to be
	build          quetzalhook.Build // of the upstream whose header it was
	events         eventChecker
	firstEventTime time.Time
	lastEventTime  time.Time
	maxGap         time.Duration // longest time between two reads of complete events
}

// copyStream passes on complete events as they arrive. What is no event ends the
// attempt and is not passed on. The header is sent with the first event, so that the
// caller can still get another response if the upstream breaks before it.
func (x *exchange) copyStream(ticket quetzalhook.Ticket, resp *connection.Response) error {
	if err := checkEventStream(resp.Header); err != nil {
		return err
	}
	control := http.NewResponseController(x.w)
	var pending []byte
	buffer := make([]byte, readSize)
	stall := watchStall(resp.Body, x.stallLimit())
	defer stall.stop()
	events := &x.stream.events
	events.startUpstream()
	atStart, limit := true, smallBody
	for {
		n, err := resp.Body.Read(buffer)
		pending = append(pending, buffer[:n]...)
		if atStart {
			trimmed := bytes.TrimPrefix(pending, byteOrderMark)
			atStart = len(trimmed) == len(pending) && bytes.HasPrefix(byteOrderMark, pending)
			pending = trimmed
		}
		before := events.count
		complete, unsound := events.check(pending)
		if complete > 0 {
			stall.pause()
			if err := x.forwardEvents(control, ticket, resp, pending[:complete]); err != nil {
				return err
			}
			stall.resume(events.count > before)
			pending = append(pending[:0], pending[complete:]...)
		}
		switch {
		case unsound != nil:
			return brokenStream("the stream has what is no event", unsound)
		case err == io.EOF && len(pending) > 0:
			return brokenStream("the stream ended within an event or without one", errors.Errorf("%d bytes", len(pending)))
		case err == io.EOF && events.upstream == 0 && !x.isEmptyRest(resp):
			return brokenStream("the stream ended within an event or without one", nil)
		case err == io.EOF:
			if !x.stream.headerSent { // the rest of a stream that began at another host
				x.beginStream(resp)
			}
			return nil
		case err != nil:
			return stall.explain(err)
		case len(pending) > limit && limit < maxEventSize && resp.Reserve(bufferFactor*maxEventSize):
			limit = maxEventSize
		case len(pending) > limit:
			return brokenStream("an event is too long, or one of too many long ones", errors.Errorf("%d bytes", len(pending)))
		}
	}
}

// brokenStream returns the error of an upstream whose stream must not go on. The
// cause is logged and not sent to the caller.
func brokenStream(message string, cause error) error {
	return &Error{Op: "relay", Kind: ErrorBroken, Status: http.StatusBadGateway, Message: message, Err: cause}
}

// checkEventStream returns an error if the header says that the body is not a series
// of events. A missing type is not an error.
func checkEventStream(h http.Header) error {
	if encoding := h.Get("Content-Encoding"); encoding != "" && !strings.EqualFold(encoding, "identity") {
		return brokenStream("the stream is encoded", errors.Errorf("encoding %q", encoding[:min(len(encoding), maxShownBytes)]))
	}
	if contentType := h.Get("Content-Type"); contentType != "" && !isEventStream(contentType) {
		return brokenStream("the response is not a series of events", errors.Errorf("type %q", contentType[:min(len(contentType), maxShownBytes)]))
	}
	return nil
}

func isEventStream(contentType string) bool {
	mediaType, _, _ := strings.Cut(contentType, ";")
	return strings.EqualFold(strings.TrimSpace(mediaType), "text/event-stream")
}

// isEmptyRest reports whether a response without events completes the stream: an
// earlier upstream sent the last event and broke before the end. An end of the
// connection does not tell that nothing is missing.
func (x *exchange) isEmptyRest(resp *connection.Response) bool {
	return (x.stream.events.count > 0 || x.hop != nil && x.hop.lastEvent != "") && resp.Framed && isEventStream(resp.Header.Get("Content-Type"))
}

// forwardEvents writes complete events to the caller, after the response header
// if they are the first.
func (x *exchange) forwardEvents(control *http.ResponseController, ticket quetzalhook.Ticket, resp *connection.Response, events []byte) error {
	x.recordTimes(x.gateway.deps.Clock.Now())
	if !x.stream.headerSent {
		x.beginStream(resp)
	}
	if _, err := (callerWriter{x.w}).Write(events); err != nil {
		return err
	}
	if err := control.Flush(); err != nil {
		return callerGone(err)
	}
	ticket.Progress(x.outputTokens())
	return nil
}

// beginStream writes the header of a stream.
func (x *exchange) beginStream(resp *connection.Response) {
	x.countUsage()
	copyHeader(x.w.Header(), x.gateway.deps.Protocol.AnswerHeaders(resp.Header))
	x.writeHop()
	x.stream.headerSent, x.stream.build = true, x.attempt.Upstream.Build
	x.recordBuild()
	x.w.WriteHeader(resp.Status)
}

// outputTokens returns the number of output tokens received. An event may hold several.
func (x *exchange) outputTokens() int {
	return x.stream.events.count * max(x.attempt.Upstream.EventTokens, 1)
}

// recordTimes records the times between events.
func (x *exchange) recordTimes(now time.Time) {
	if x.stream.firstEventTime.IsZero() {
		x.stream.firstEventTime = now
	} else {
		x.stream.maxGap = max(x.stream.maxGap, now.Sub(x.stream.lastEventTime))
	}
	x.stream.lastEventTime = now
}
