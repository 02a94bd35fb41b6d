package journal

import "quetzalhook"

// Kind classifies the errors of this package.
type Kind string

const (
	// KindStore reports that the store was not available or its answer was lost.
	KindStore Kind = "store"
	// KindFull reports that a shard has no room for another claim or response.
	KindFull Kind = "full"
	// KindClosed reports a call after Close.
	KindClosed Kind = "closed"
	// KindTooLarge reports a response above the size limit of the store.
	KindTooLarge Kind = "too-large"
	// KindNotClaimed reports an outcome for a claim that is not in the journal.
	KindNotClaimed Kind = "not-claimed"
)

// Error is the error type of this package. Outcome is what the caller of the
// service may be told about this attempt.
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
