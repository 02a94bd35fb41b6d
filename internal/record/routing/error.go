package routing

// ErrorKind classifies the failures of this package.
type ErrorKind string

const (
	// ErrorCorrupt reports bytes that cannot be decoded.
	ErrorCorrupt ErrorKind = "corrupt"
	// ErrorUnavailable reports that neither store nor peers answered.
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
