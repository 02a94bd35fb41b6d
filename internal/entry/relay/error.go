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
	// KindNotSent reports a failure before any byte of the request was sent.
	KindNotSent Kind = "not-sent"
	// KindBroken reports a failure after sending began.
	KindBroken Kind = "broken"
	// KindCallerGone reports that the caller disconnected.
	KindCallerGone Kind = "caller-gone"
	// KindUpstream reports that the upstream answered with an error status.
	KindUpstream Kind = "upstream-error"
	// KindKeyInRequest reports that the request to be sent contains the
	// caller's key.
	KindKeyInRequest Kind = "key-in-request"
	// KindKeyRefused reports a key that is no longer valid or belongs to
	// another customer.
	KindKeyRefused Kind = "key"
	// KindBadRequest reports a request body that cannot be parsed.
	KindBadRequest Kind = "bad-request"
	// KindSentBefore reports that a call that may not be repeated was about to
	// be sent a second time.
	KindSentBefore Kind = "sent-before"
	// KindRefused reports that the policy refused the request, or stopped it
	// because it was late.
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
