package gateway

import (
	"bytes"
	"io"
	"net/http"
	"time"

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
	headerSent     bool   // the response header was written to the caller, or is about to be
	lastEventID    string // of the last event that upstreams sent
	events         int    // number of events with an ID
	firstEventTime time.Time
	lastEventTime  time.Time
	maxGap         time.Duration // longest time between two reads of complete events
}

// copyStream passes on complete events as they arrive. The header is sent with
// the first event, so that the caller can still get another response if the
// upstream breaks before it.
func (x *exchange) copyStream(ticket quetzalhook.Ticket, resp *connection.Response) error {
	control := http.NewResponseController(x.w)
	var pending []byte
	buffer := make([]byte, readSize)
	stall := watchStall(resp.Body, stallLimit(x.gateway.deps.StallLimit, x.class))
	defer stall.stop()
	for {
		n, err := resp.Body.Read(buffer)
		pending = append(pending, buffer[:n]...)
		complete := completeEventsLen(pending)
		if complete > 0 {
			before := x.stream.events
			stall.pause()
			if err := x.forwardEvents(control, ticket, resp, pending[:complete]); err != nil {
				return err
			}
			stall.resume(x.stream.events > before)
			pending = append(pending[:0], pending[complete:]...)
		}
		switch {
		case err == io.EOF && len(pending) == 0 && x.stream.events > 0:
			return nil
		case err == io.EOF:
			return &Error{Op: "relay", Kind: ErrorBroken, Status: http.StatusBadGateway, Message: "the stream ended within an event or without one"}
		case err != nil:
			return stall.explain(err)
		case len(pending) > maxEventSize:
			return &Error{Op: "relay", Kind: ErrorBroken, Status: http.StatusBadGateway, Message: "an event is too long"}
		}
	}
}

// forwardEvents writes complete events to the caller, after the response header
// if they are the first.
func (x *exchange) forwardEvents(control *http.ResponseController, ticket quetzalhook.Ticket, resp *connection.Response, events []byte) error {
	now := x.gateway.deps.Clock.Now()
	x.recordEvents(now, events)
	if !x.stream.headerSent {
		x.countUsage()
		copyHeader(x.w.Header(), x.gateway.deps.Protocol.AnswerHeaders(resp.Header))
		x.stream.headerSent = true
		x.w.WriteHeader(resp.Status)
	}
	if _, err := x.w.Write(events); err != nil {
		return err
	}
	if err := control.Flush(); err != nil {
		return err
	}
	ticket.Progress(x.stream.events)
	return nil
}

// recordEvents counts the events, and records the last event ID and the times
// between events.
func (x *exchange) recordEvents(now time.Time, events []byte) {
	for line := range bytes.Lines(events) {
		line = bytes.TrimRight(line, "\r\n")
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			x.stream.lastEventID = string(bytes.TrimSpace(id))
			x.stream.events++
		}
	}
	if x.stream.firstEventTime.IsZero() {
		x.stream.firstEventTime = now
	} else {
		x.stream.maxGap = max(x.stream.maxGap, now.Sub(x.stream.lastEventTime))
	}
	x.stream.lastEventTime = now
}

// completeEventsLen returns the length of the complete events at the start of
// data, which end with the last empty line.
func completeEventsLen(data []byte) int {
	end := 0
	if i := bytes.LastIndex(data, []byte("\n\n")); i >= 0 {
		end = i + 2
	}
	if i := bytes.LastIndex(data, []byte("\r\n\r\n")); i >= 0 {
		end = max(end, i+4)
	}
	return end
}
