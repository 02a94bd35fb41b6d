package answer

import (
	"errors"
	"fmt"
	"sync/atomic"
)

// ErrorKind classifies the errors of this package.
type ErrorKind string

const (
	// ErrorStatusLine reports a status line that cannot be one of HTTP/1.
	ErrorStatusLine ErrorKind = "status-line"
	// ErrorStatusCode reports a status code that no answer may have.
	ErrorStatusCode ErrorKind = "status-code"
	// ErrorField reports a line of the header section that is no field.
	ErrorField ErrorKind = "field"
	// ErrorFraming reports fields that contradict each other on where the body ends.
	ErrorFraming ErrorKind = "framing"
	// ErrorReset reports that the connection was reset before the end of the answer.
	ErrorReset ErrorKind = "reset"
)

// kinds lists the kinds of errors in the order of Counts.
var kinds = [...]ErrorKind{ErrorStatusLine, ErrorStatusCode, ErrorField, ErrorFraming, ErrorReset}

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind ErrorKind
	// Detail says what is wrong with the answer. It holds no bytes of the answer, which
	// may belong to another request.
	Detail string
	// Line is the start of the line that is wrong. Of values, it holds only those of fields
	// that frame the body.
	Line string
	Err  error
}

// Error implements error.
func (e *Error) Error() string {
	s := "answer: " + e.Op + ": " + string(e.Kind) + ": " + e.Detail
	if e.Line != "" {
		s += fmt.Sprintf(", in a line that begins with %q", e.Line)
	}
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Explain returns the text for callers of an error that follows from a refused answer, or
// "" if err has another cause.
func Explain(err error) string {
	var refused *Error
	if !errors.As(err, &refused) {
		return ""
	}
	return "the upstream's answer was refused: " + refused.Detail
}

// Counts counts refused answers by kind. It is safe for concurrent use. A nil Counts
// counts nothing.
type Counts struct{ counts [len(kinds)]atomic.Int64 }

// Snapshot returns the number of refused answers by kind, without kinds that have not
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
