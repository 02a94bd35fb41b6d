package configuration

import (
	"fmt"
	"strings"
)

// ErrorKind classifies the errors of this package.
type ErrorKind string

const (
	// ErrorInvalid reports a document with mistakes.
	ErrorInvalid ErrorKind = "invalid"
	// ErrorConflict reports a plan that is based on a version that is no longer
	// in force.
	ErrorConflict ErrorKind = "conflict"
	// ErrorNotFound reports a plan, version or shard that does not exist.
	ErrorNotFound ErrorKind = "not-found"
	// ErrorUnavailable reports that the store or a peer did not answer. After
	// this error from Confirm, the plan may or may not be in force; Confirm may be
	// repeated.
	ErrorUnavailable ErrorKind = "unavailable"
	// ErrorCorrupt reports bytes from the store or a peer that cannot be decoded
	// or do not have the expected hash.
	ErrorCorrupt ErrorKind = "corrupt"
)

// Error is the error type of this package.
type Error struct {
	Op       string
	Kind     ErrorKind
	Mistakes []Mistake // for ErrorInvalid
	Err      error
}

// Error implements error. Each mistake is on a separate line.
func (e *Error) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "configuration %s: %s", e.Op, e.Kind)
	if e.Err != nil {
		fmt.Fprintf(&b, ": %v", e.Err)
	}
	for _, m := range e.Mistakes {
		fmt.Fprintf(&b, "\n%s", m)
	}
	return b.String()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Mistake is one error in a document. Line and Column count from 1; they are 0 if
// the mistake was found by Validate, which has no positions.
type Mistake struct {
	Line, Column int
	Path         string
	Message      string
}

// String returns the position, the path and the message.
func (m Mistake) String() string {
	s := m.Message
	if m.Path != "" {
		s = m.Path + ": " + s
	}
	if m.Line > 0 {
		s = fmt.Sprintf("line %d, column %d: %s", m.Line, m.Column, s)
	}
	return s
}
