package response

import (
	"errors"
	"fmt"
	"sync/atomic"
)

// ErrorKind classifies the errors of this package.
type ErrorKind string

const (
	// ErrorStatusLine reports a malformed status line.
	ErrorStatusLine ErrorKind = "status-line"
	// ErrorStatusCode reports an invalid or unsolicited status code.
	ErrorStatusCode ErrorKind = "status-code"
	// ErrorField reports a malformed field line.
	ErrorField ErrorKind = "field"
	// ErrorFraming reports invalid or contradictory fields that frame the body.
	ErrorFraming ErrorKind = "framing"
	// ErrorReset reports a connection reset before the end of the response.
	ErrorReset ErrorKind = "reset"
)

// kinds lists the kinds of errors in the order of Counts.
var kinds = [...]ErrorKind{ErrorStatusLine, ErrorStatusCode, ErrorField, ErrorFraming, ErrorReset}

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind ErrorKind
	// Detail says what is wrong. It contains no bytes of the response, because these may
	// belong to another request.
	Detail string
	// Line is the start of the invalid line, for logs only. It contains a field value only
	// if the field frames the body.
	Line string
	Err  error
}

// Error implements error.
func (e *Error) Error() string {
	s := "response: " + e.Op + ": " + string(e.Kind) + ": " + e.Detail
	if e.Line != "" {
		s += fmt.Sprintf(" (line starts with %q)", e.Line)
	}
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Explain returns a description of err for callers if it was caused by an invalid
// response, and "" otherwise.
func Explain(err error) string {
	var invalid *Error
	if !errors.As(err, &invalid) {
		return ""
	}
	return "invalid response from the upstream: " + invalid.Detail
}

// Counts counts invalid responses by kind. It is safe for concurrent use. A nil Counts
// counts nothing.
type Counts struct{ counts [len(kinds)]atomic.Int64 }

// Snapshot returns the number of invalid responses by kind, without kinds that have not
// occurred.
func (c *Counts) Snapshot() map[ErrorKind]int64 {
	result := make(map[ErrorKind]int64)
	if c == nil {
		return result
	}
	for i, kind := range kinds {
		if n := c.counts[i].Load(); n > 0 {
			result[kind] = n
		}
	}
	return result
}

func (c *Counts) add(kind ErrorKind) {
	if c == nil {
		return
	}
	for i, k := range kinds {
		if k == kind {
			c.counts[i].Add(1)
		}
	}
}
