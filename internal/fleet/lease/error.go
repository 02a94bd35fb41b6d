package lease

import (
	"github.com/pkg/errors"
)

// Kind classifies the errors of this package.
type Kind string

const (
	// KindNotHolder reports that this host does not hold the role.
	KindNotHolder Kind = "not-holder"
	// KindBlocked reports that open intents prevent a new order to the target,
	// or that the same order is being sent. Nothing was sent.
	KindBlocked Kind = "blocked"
	// KindStore reports that a store call failed. If Order returns it, nothing
	// was sent.
	KindStore Kind = "store"
	// KindRefused reports that the order was rejected and had no effect.
	KindRefused Kind = "refused"
	// KindUnclear reports that the outcome is unknown: the order may have taken
	// effect.
	KindUnclear Kind = "unclear"
	// KindClosed reports a call after Close.
	KindClosed Kind = "closed"
	// KindUnknownIntent reports that no open intent has the given ID.
	KindUnknownIntent Kind = "unknown-intent"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Role string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string {
	s := "lease " + e.Op + " " + e.Role + ": " + string(e.Kind)
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// IsKind reports whether err is an *Error of the given kind.
func IsKind(err error, kind Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == kind
}

func (l *Lease) fail(op string, kind Kind, err error) error {
	return &Error{Op: op, Role: l.role, Kind: kind, Err: err}
}
