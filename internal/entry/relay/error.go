package relay

import (
	"fmt"
	"time"

	"quetzalhook"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	// KindNotSent reports that nothing left the host.
	KindNotSent Kind = "not-sent"
	// KindBroken reports a failure after the send began.
	KindBroken Kind = "broken"
	// KindCallerGone reports that the caller went away.
	KindCallerGone Kind = "caller-gone"
	// KindUpstream reports that the upstream answered with an error status.
	KindUpstream Kind = "upstream-error"
	// KindSecret reports a caller's key in what was to be sent.
	KindSecret Kind = "key-in-request"
	// KindKey reports a key that is no longer good for the request.
	KindKey Kind = "key"
	// KindBadRequest reports a request that cannot be read.
	KindBadRequest Kind = "bad-request"
	// KindSentBefore reports a second send of a call that may not be repeated.
	KindSentBefore Kind = "sent-before"
	// KindRefused reports a refusal by the policy.
	KindRefused Kind = "refused"
)

// Error is the error type of this package.
type Error struct {
	Op         string
	Kind       Kind
	Outcome    quetzalhook.Outcome
	Refusal    quetzalhook.RefuseKind // for KindRefused
	Status     int                    // HTTP status of the upstream, for KindUpstream
	RetryAfter time.Duration
	Err        error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("relay %s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("relay %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
