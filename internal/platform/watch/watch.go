// Package watch follows one watch of the platform's store until it ends or
// goes silent, which a watch may do without an error.
package watch

import (
	"context"
	"time"

	"quetzalhook"
)

// Settings say when a watch is given up.
type Settings struct {
	Prefix string
	// Opening bounds the opening of the watch.
	Opening time.Duration
	// Silence is how long the watch is followed without an event.
	Silence time.Duration
	// Fixed ends the watch after Silence even if events arrive, for callers
	// that read the store again at each reopening.
	Fixed bool
}

// Follow hands the changes after a version to take until the watch ends, goes
// silent, or take returns false because it could not use an event. It returns
// the last store version that was taken.
func Follow(ctx context.Context, store quetzalhook.Store, s Settings, after quetzalhook.Version,
	take func(context.Context, quetzalhook.Object) bool,
) quetzalhook.Version {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	opening := time.AfterFunc(s.Opening, cancel)
	w, err := store.Watch(ctx, s.Prefix, after)
	if err != nil {
		return after
	}
	defer func() { _ = w.Close() }()
	if !opening.Stop() {
		return after
	}
	timer := time.NewTimer(s.Silence)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return after
		case <-timer.C:
			return after
		case o, open := <-w.Events():
			if !open {
				return after
			}
			if !s.Fixed {
				timer.Reset(s.Silence)
			}
			if !take(ctx, o) {
				return after
			}
			after = max(after, o.Version)
		}
	}
}
