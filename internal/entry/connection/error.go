package connection

import "quetzalhook"

// ErrorKind classifies the failures of this package.
type ErrorKind string

const (
	// ErrorNotSent reports that no byte of the request left this host.
	ErrorNotSent ErrorKind = "not-sent"
	// ErrorBroken reports a failure after bytes may have left; the request may
	// have run.
	ErrorBroken ErrorKind = "broken"
	// ErrorLimit reports that the upstream has as many connections as this host
	// may open. Nothing was sent.
	ErrorLimit ErrorKind = "connection-limit"
)

// Error is the error type of this package.
type Error struct {
	Op       string
	Kind     ErrorKind
	Upstream quetzalhook.UpstreamID
	// Reused reports that the connection had carried other requests before.
	Reused bool
	Err    error
}

// Error implements error.
func (e *Error) Error() string {
	s := "upstream " + string(e.Upstream) + ": " + e.Op + ": " + string(e.Kind)
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
