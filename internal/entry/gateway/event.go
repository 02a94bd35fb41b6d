package gateway

import (
	"bytes"
	"math"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"quetzalhook"
)

// maxShownBytes bounds how much of a line that an upstream sent is quoted in an error.
const maxShownBytes = 80

// byteOrderMark may precede the first event of a response. It is not passed on, since
// it would be part of the first line within a resumed stream.
var byteOrderMark = []byte("\xef\xbb\xbf")

// eventChecker checks the events of a streamed response, which several upstreams may
// send one after another. Every event has an ID, and the IDs increase.
type eventChecker struct {
	protocol quetzalhook.Protocol

	count    int    // events
	lastID   []byte // of the last event, as written; empty before the first one
	last     uint64 // value of lastID, or of the ID after which the caller continues
	hasLast  bool
	gapless  bool // each ID so far was the successor of the one before
	upstream int  // events of the current upstream

	// The event that is not complete yet.
	lines   int // length of its complete lines, which are not checked again
	partial event
}

// event is what the lines of an event have shown so far.
type event struct {
	id      []byte
	hasID   bool
	hasData bool
	hasType bool
}

// continueAfter sets the ID of the last event that the caller has received in an
// earlier response.
func (c *eventChecker) continueAfter(id string) {
	n, err := strconv.ParseUint(strings.TrimSpace(id), 10, 64)
	c.last, c.hasLast = n, err == nil
}

// startUpstream is called before the response of another upstream.
func (c *eventChecker) startUpstream() {
	c.upstream = 0
	c.startEvent()
}

func (c *eventChecker) startEvent() {
	c.lines, c.partial = 0, event{id: c.partial.id[:0]}
}

// check returns the length of the complete events at the start of data. The error
// tells why what comes next is not an event. The next call gets the rest of data, and
// what follows it.
func (c *eventChecker) check(data []byte) (int, error) {
	checked := 0
	for {
		n, err := c.checkEvent(data[checked:])
		if n == 0 || err != nil {
			return checked, err
		}
		checked += n
	}
}

// checkEvent checks one event, which ends with an empty line. It returns 0 if data
// does not contain the empty line yet.
func (c *eventChecker) checkEvent(data []byte) (int, error) {
	for {
		n := bytes.IndexByte(data[c.lines:], '\n')
		if n < 0 {
			return 0, nil
		}
		line := data[c.lines : c.lines+n]
		c.lines += n + 1
		if n > 0 && line[n-1] == '\r' {
			line = line[:n-1]
		}
		if len(line) == 0 {
			if err := c.addEvent(c.partial); err != nil {
				first, _, _ := bytes.Cut(data, []byte{'\n'})
				return 0, errors.Errorf("%v: %q", err, first[:min(len(first), maxShownBytes)])
			}
			length := c.lines
			c.startEvent()
			return length, nil
		}
		if err := c.addLine(&c.partial, line); err != nil {
			return 0, errors.Errorf("%v: %q", err, line[:min(len(line), maxShownBytes)])
		}
	}
}

func (c *eventChecker) addLine(e *event, line []byte) error {
	if bytes.IndexByte(line, '\r') >= 0 {
		return errors.New("a carriage return within a line")
	}
	name, value, _ := bytes.Cut(line, []byte{':'})
	switch string(name) {
	case "": // a comment
	case "data":
		e.hasData = true
	case "event":
		e.hasType = true
	case "retry":
	case "id":
		if e.hasID {
			return errors.New("an event with two IDs")
		}
		e.id, e.hasID = append(e.id, bytes.TrimSpace(value)...), true
		if _, ok := parseEventID(e.id); !ok {
			return errors.New("an event ID that is not a number")
		}
	default:
		if !c.protocol.IsEventField(name, value) {
			return errors.New("a line that is not of an event")
		}
	}
	return nil
}

// addEvent records a complete event. Blocks of comments only, of a retry time only,
// or without lines are allowed and are not events.
func (c *eventChecker) addEvent(e event) error {
	switch {
	case !e.hasID && (e.hasData || e.hasType):
		return errors.New("an event without an ID")
	case !e.hasID:
		return nil
	case !e.hasData:
		return errors.New("an event without data")
	}
	id, _ := parseEventID(e.id)
	follows := c.hasLast && id == c.last+1 || !c.hasLast && id <= 1
	switch {
	case c.hasLast && id <= c.last:
		return errors.Errorf("event %d after event %d", id, c.last)
	case !follows && c.count > 0 && c.upstream == 0 && c.gapless:
		return errors.Errorf("the stream was resumed with event %d after event %d", id, c.last)
	}
	c.gapless = follows && (c.count == 0 || c.gapless)
	c.count++
	c.upstream++
	c.lastID = append(c.lastID[:0], e.id...)
	c.last, c.hasLast = id, true
	return nil
}

// parseEventID returns the value of a decimal number.
func parseEventID(text []byte) (uint64, bool) {
	n := uint64(0)
	for _, b := range text {
		if b < '0' || b > '9' || n > (math.MaxUint64-9)/10 {
			return 0, false
		}
		n = n*10 + uint64(b-'0')
	}
	return n, len(text) > 0
}
