// Package watch delivers the events of one watch of the platform's store until
// the watch ends or times out. The timeout is needed because a watch can stop
// delivering events without an error.
package watch

import (
	"context"
	"time"

	"quetzalhook"
)

// Settings are the key prefix and the timeouts of a watch.
type Settings struct {
	Prefix string
	// OpenTimeout bounds how long it may take to open the watch.
	OpenTimeout time.Duration
	// EventTimeout is how long the watch may go without an event before it is
	// ended.
	EventTimeout time.Duration
	// Fixed ends the watch after EventTimeout even if events arrive, for callers
	// that read the store again each time they reopen the watch.
	Fixed bool
}

// Follow passes each change with a version above after to handle, until the watch
// ends or times out, ctx ends, or handle returns false because it could not
// process an event. It returns the version of the last processed event, or after
// if there was none.
func Follow(ctx context.Context, store quetzalhook.Store, s Settings, after quetzalhook.Version,
	handle func(context.Context, quetzalhook.Object) bool,
) quetzalhook.Version {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	openTimer := time.AfterFunc(s.OpenTimeout, cancel)
	w, err := store.Watch(ctx, s.Prefix, after)
	if err != nil {
		return after
	}
	defer func() { _ = w.Close() }()
	if !openTimer.Stop() {
		return after
	}
	timer := time.NewTimer(s.EventTimeout)
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
				timer.Reset(s.EventTimeout)
			}
			if !handle(ctx, o) {
				return after
			}
			after = max(after, o.Version)
		}
	}
}
