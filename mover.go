package quetzalhook

import (
	"context"
	"errors"
)

// Mover copies the KV cache of a running request to another engine, so that the
// request can continue there.
type Mover interface {
	// Copy copies the KV cache of a request from the engine at source to the one
	// at destination, both host:port. If last is set, the source first stops the
	// request and ends its stream without the final event. The result kvHandle
	// names the engine and the copy with which the request can continue, for
	// Outbound.KVHandle; after a failure with last set it may name the source
	// itself. The error is ErrNotRunning if the source does not run the request.
	Copy(ctx context.Context, id RequestID, source, destination string, last bool) (kvHandle string, err error)
	// Free releases a copy that will not be used; kvHandle is a result of Copy.
	Free(ctx context.Context, kvHandle string) error
}

// ErrNotRunning reports that an engine does not run the request, because it has
// ended.
var ErrNotRunning = errors.New("the engine does not run the request")
