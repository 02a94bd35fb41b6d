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
	failed   func(error)

	stop      context.CancelFunc
	done      chan struct{}
	closeOnce sync.Once
}

// NewPeriodicTask returns a PeriodicTask that calls step every interval and passes
// each of its errors to failed. If failed is nil, errors are ignored.
func NewPeriodicTask(interval time.Duration, step func(context.Context) error, failed func(error)) *PeriodicTask {
	return &PeriodicTask{interval: interval, step: step, failed: failed}
}

// Start calls step at every interval until Close is called.
func (r *PeriodicTask) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	r.stop, r.done = cancel, make(chan struct{})
	go r.run(ctx)
}

func (r *PeriodicTask) run(ctx context.Context) {
	defer close(r.done)
	timing.Every(ctx, r.interval, func() {
		// The context of step ignores cancellation of ctx, so that an order in
		// progress completes while the host stops; cancelling it would leave an
		// intent with unknown outcome.
		round, cancel := context.WithTimeout(context.WithoutCancel(ctx), r.interval)
		defer cancel()
		if err := r.step(round); err != nil && r.failed != nil {
			r.failed(err)
		}
	})
}

// Close stops the calls and waits for one that is in progress. It does nothing
// before Start.
func (r *PeriodicTask) Close() error {
	r.closeOnce.Do(func() {
		if r.stop != nil {
			r.stop()
			<-r.done
		}
	})
	return nil
}
