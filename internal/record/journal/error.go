package journal

import "quetzalhook"

// Kind classifies the errors of this package.
type Kind string

const (
	// KindStore reports that the store or its answer was not available.
	KindStore Kind = "store"
	// KindFull reports that the journal has no room for another claim.
	KindFull Kind = "full"
	// KindClosed reports a call after Close.
	KindClosed Kind = "closed"
	// KindTooLarge reports a response that the store does not take.
	KindTooLarge Kind = "too-large"
	// KindNotClaimed reports an outcome for a claim that the journal does not
	// hold.
	KindNotClaimed Kind = "not-claimed"
)

// Error is the error type of this package. Outcome is what a caller may be
// told about this attempt.
type Error struct {
	Op      string
	Kind    Kind
	Outcome quetzalhook.Outcome
	Err     error
}

// Error implements error.
func (e *Error) Error() string {
	s := "journal " + e.Op + ": " + string(e.Kind) + ": " + string(e.Outcome)
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
