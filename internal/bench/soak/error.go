package soak

// ErrorKind classifies the errors of this package.
type ErrorKind string

const (
	// ErrorSetup is a failure to start or configure a host, stand-in or proxy.
	ErrorSetup ErrorKind = "setup"
	// ErrorScript is an unreadable script of faults.
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

// Unwrap returns the wrapped error.
func (e *Error) Unwrap() error { return e.Err }
