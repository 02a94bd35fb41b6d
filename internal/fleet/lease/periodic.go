package lease

import (
	"context"
	"sync"
	"time"

	"quetzalhook/internal/state/timing"
)

// PeriodicTask calls a function at a fixed interval in the background.
type PeriodicTask struct {
	interval time.Duration
	step     func(context.Context) error
	onError  func(error)

	stop      context.CancelFunc
	done      chan struct{}
	closeOnce sync.Once
}

// NewPeriodicTask returns a PeriodicTask that calls step every interval and passes
// each of its errors to onError. If onError is nil, errors are ignored.
func NewPeriodicTask(interval time.Duration, step func(context.Context) error, onError func(error)) *PeriodicTask {
	return &PeriodicTask{interval: interval, step: step, onError: onError}
}

// Start calls step at every interval until Close is called.
func (t *PeriodicTask) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	t.stop, t.done = cancel, make(chan struct{})
	go t.run(ctx)
}

func (t *PeriodicTask) run(ctx context.Context) {
	defer close(t.done)
	timing.Every(ctx, t.interval, func() {
		// The context of step ignores cancellation of ctx, so that an order in
		// progress completes while the host stops; cancelling it would leave an
		// intent with unknown outcome.
		callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), t.interval)
		defer cancel()
		if err := t.step(callCtx); err != nil && t.onError != nil {
			t.onError(err)
		}
	})
}

// Close stops the calls and waits for one that is in progress. It does nothing
// before Start.
func (t *PeriodicTask) Close() error {
	t.closeOnce.Do(func() {
		if t.stop != nil {
			t.stop()
			<-t.done
		}
	})
	return nil
}
