package quetzalhook

import (
	"context"
	"errors"
)

// Mover copies what an engine keeps of a running request to another engine, so
// that the run can go on there.
type Mover interface {
	// Copy copies the memory of a run from the engine at source to the one at
	// destination, both host:port. With last, the run stops first and its stream
	// ends without its last event. It returns where the run can go on, for
	// Outbound.Memory; after a failure with last that may be the source itself.
	// The error is ErrNoRun if the source runs no such request.
	Copy(ctx context.Context, id RequestID, source, destination string, last bool) (memory string, err error)
	// Free gives up a copy that is not used.
	Free(ctx context.Context, memory string) error
}

// ErrNoRun reports that an engine runs no such request: it has ended.
var ErrNoRun = errors.New("the engine runs no such request")
