package routing

// ErrorKind classifies the failures of this package.
type ErrorKind string

const (
	// ErrorCorrupt reports data that cannot be encoded or decoded.
	ErrorCorrupt ErrorKind = "corrupt"
	// ErrorUnavailable reports that a call to a peer failed.
	ErrorUnavailable ErrorKind = "unavailable"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error implements error.
func (e *Error) Error() string {
	s := "routing: " + e.Op + ": " + string(e.Kind)
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
