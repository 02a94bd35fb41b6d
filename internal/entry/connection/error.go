package connection

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"

	"golang.org/x/sys/unix"

	"quetzalhook"
)

// ErrorKind classifies the errors of this package.
type ErrorKind string

const (
	// ErrorNotSent reports that no byte of the request was sent.
	ErrorNotSent ErrorKind = "not-sent"
	// ErrorBroken reports a failure after bytes may have been sent. The request may
	// have run.
	ErrorBroken ErrorKind = "broken"
	// ErrorLate reports that the request could not be sent before its SendBy, so that it
	// was not sent.
	ErrorLate ErrorKind = "late"
	// ErrorLimit reports that this host may not open more connections to the
	// upstream. Nothing was sent.
	ErrorLimit ErrorKind = "connection-limit"
)

// Error is the error type of this package.
type Error struct {
	Op       string
	Kind     ErrorKind
	Upstream quetzalhook.UpstreamID
	// Reused reports that the connection had been used for other requests before.
	Reused bool
	// Connection is the number of the connection, or 0 if none was used.
	Connection int64
	// Local reports that this host has ended the attempt, by closing the connection, the
	// body or the pool or by the end of the context. It tells nothing of the upstream.
	Local bool
	Err   error
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

// isLocal reports whether an error of the connection follows from this host closing it.
func isLocal(ctx context.Context, err error) bool {
	return ctx.Err() != nil || errors.Is(err, net.ErrClosed) || errors.Is(err, http.ErrBodyReadAfterClose)
}

// lacksResources reports whether this host could not open a connection for want of its own
// resources.
func lacksResources(err error) bool {
	return slices.ContainsFunc([]error{unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.EADDRNOTAVAIL}, func(e error) bool { return errors.Is(err, e) })
}
