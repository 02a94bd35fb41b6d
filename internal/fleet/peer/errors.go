package peer

import "quetzalhook"

// ErrorKind classifies the failures of this package.
type ErrorKind string

const (
	// ErrorTimeout reports that no valid answer was received: the deadline
	// passed, the stream failed or the answer could not be decoded. The other
	// host may have run the call.
	ErrorTimeout ErrorKind = "timeout"
	// ErrorUnreachable reports that no connection or stream could be opened. The
	// call was not sent. Start returns it if the socket cannot be opened.
	ErrorUnreachable ErrorKind = "unreachable"
	// ErrorNoHandler reports that the other host has no handler for the kind of
	// the call.
	ErrorNoHandler ErrorKind = "no-handler"
	// ErrorHandler reports that the handler on the other host returned an error.
	ErrorHandler ErrorKind = "handler"
	// ErrorProtocol reports that NewService could not create the certificates of
	// this host.
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
