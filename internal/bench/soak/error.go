package soak

// ErrorKind classifies the failures of this package.
type ErrorKind string

const (
	// ErrorSetup reports that a run could not begin.
	ErrorSetup ErrorKind = "setup"
	// ErrorScript reports a script of faults that cannot be read.
	ErrorScript ErrorKind = "script"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return "soak: " + e.Op + ": " + string(e.Kind) + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
