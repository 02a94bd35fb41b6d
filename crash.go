package quetzalhook

import "context"

// CrashDetector tells whether an engine has crashed since it was listed.
type CrashDetector interface {
	// HasCrashed reports whether the process of the engine has ended, or was started
	// again. It returns an error if that cannot be told, for example because the
	// engine does not answer.
	HasCrashed(ctx context.Context, u Upstream) (bool, error)
}
