package chart

// Kind classifies the errors of this package.
type Kind string

const (
	// KindUnknownChart reports a name for which there is no chart file.
	KindUnknownChart Kind = "unknown-chart"
	// KindInvalid reports a chart file that cannot be parsed or fails
	// validation.
	KindInvalid Kind = "invalid"
	// KindIllegalTransition reports an event that the current state does not
	// accept.
	KindIllegalTransition Kind = "illegal-transition"
)

// Error is the error type of this package.
type Error struct {
	Op    string
	Kind  Kind
	Chart string
	State State
	Event Event
	Err   error
}

// Error implements error.
func (e *Error) Error() string {
	s := "chart " + e.Op + " " + e.Chart + ": " + string(e.Kind)
	if e.Event != "" {
		s += ": state " + string(e.State) + " does not accept event " + string(e.Event)
	}
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
