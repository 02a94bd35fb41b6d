package peer

import "quetzalhook"

// ErrorKind classifies the failures of this package.
type ErrorKind string

const (
	// ErrorTimeout reports that no answer came before the deadline; the call
	// may have run.
	ErrorTimeout ErrorKind = "timeout"
	// ErrorUnreachable reports that no connection could be made; the call did
	// not run.
	ErrorUnreachable ErrorKind = "unreachable"
	// ErrorNoHandler reports that the other host has no handler of the kind.
	ErrorNoHandler ErrorKind = "no-handler"
	// ErrorHandler reports that the other host's handler failed.
	ErrorHandler ErrorKind = "handler"
	// ErrorProtocol reports bytes that are not a valid message.
	ErrorProtocol ErrorKind = "protocol"
	// ErrorClosed reports that this side was closed.
	ErrorClosed ErrorKind = "closed"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Host quetzalhook.HostID
	Kind ErrorKind
	Err  error
}

// Error implements error.
func (e *Error) Error() string {
	s := "peer " + e.Op + " " + string(e.Host) + ": " + string(e.Kind)
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
