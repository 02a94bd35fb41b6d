package configuration

import (
	"fmt"
	"strings"
)

// ErrorKind classifies the failures of this package.
type ErrorKind string

const (
	// ErrorInvalid reports a document with mistakes.
	ErrorInvalid ErrorKind = "invalid"
	// ErrorConflict reports a plan whose base is not the current version.
	ErrorConflict ErrorKind = "conflict"
	// ErrorNotFound reports a plan or version that does not exist.
	ErrorNotFound ErrorKind = "not-found"
	// ErrorUnavailable reports that the store did not answer. A plan that was
	// being confirmed may or may not have been; Confirm may be repeated.
	ErrorUnavailable ErrorKind = "unavailable"
	// ErrorCorrupt reports stored bytes that do not decode or have the wrong
	// hash.
	ErrorCorrupt ErrorKind = "corrupt"
)

// Error is the error type of this package.
type Error struct {
	Op       string
	Kind     ErrorKind
	Mistakes []Mistake // for ErrorInvalid
	Err      error
}

// Error implements error; every mistake is on a line of its own.
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

// Mistake is one fault of a document. Line and Column count from 1 and are 0
// for a document that did not come from Parse.
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
