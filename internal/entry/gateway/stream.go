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
	// readSize is how much of a stream is read at once, in bytes.
	readSize = 4 << 10
	// maxEvent bounds one event in bytes.
	maxEvent = 1 << 20
)

// stream is the state of a streamed answer, over all upstreams that make it.
type stream struct {
	opened    bool // the caller has got the header
	lastEvent string
	events    int
	first     time.Time
	last      time.Time
	gap       time.Duration // longest pause between events
}

// copyStream passes complete events on as they arrive. The header goes out
// with the first event, so that a request whose upstream breaks before it can
// still be answered otherwise.
func (x *exchange) copyStream(ticket quetzalhook.Ticket, resp *connection.Response) error {
	control := http.NewResponseController(x.w)
	var pending []byte
	buffer := make([]byte, readSize)
	for {
		n, err := resp.Body.Read(buffer)
		pending = append(pending, buffer[:n]...)
		whole := eventsEnd(pending)
		if whole > 0 {
			if err := x.passOn(control, ticket, resp, pending[:whole]); err != nil {
				return err
			}
			pending = append(pending[:0], pending[whole:]...)
		}
		switch {
		case err == io.EOF && len(pending) == 0 && x.stream.events > 0:
			return nil
		case err == io.EOF:
			return &Error{Op: "relay", Kind: ErrorBroken, Status: http.StatusBadGateway, Message: "the stream ended within an event or without one"}
		case err != nil:
			return err
		case len(pending) > maxEvent:
			return &Error{Op: "relay", Kind: ErrorBroken, Status: http.StatusBadGateway, Message: "an event is too long"}
		}
	}
}

// passOn writes complete events to the caller.
func (x *exchange) passOn(control *http.ResponseController, ticket quetzalhook.Ticket, resp *connection.Response, events []byte) error {
	now := x.gateway.deps.Clock.Now()
	x.observe(now, events)
	if !x.stream.opened {
		x.countRun()
		copyHeader(x.w.Header(), x.gateway.deps.Protocol.Return(resp.Header))
		x.stream.opened = true
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

// observe notes what complete events tell.
func (x *exchange) observe(now time.Time, events []byte) {
	for line := range bytes.Lines(events) {
		line = bytes.TrimRight(line, "\r\n")
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			x.stream.lastEvent = string(bytes.TrimSpace(id))
			x.stream.events++
		}
	}
	if x.stream.first.IsZero() {
		x.stream.first = now
	} else {
		x.stream.gap = max(x.stream.gap, now.Sub(x.stream.last))
	}
	x.stream.last = now
}

// eventsEnd returns the length of the complete events at the beginning of
// data: up to the last empty line.
func eventsEnd(data []byte) int {
	end := 0
	if i := bytes.LastIndex(data, []byte("\n\n")); i >= 0 {
		end = i + 2
	}
	if i := bytes.LastIndex(data, []byte("\r\n\r\n")); i >= 0 {
		end = max(end, i+4)
	}
	return end
}
