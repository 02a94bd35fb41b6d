package lease

import (
	"context"
	"sync"
	"time"

	"quetzalhook/internal/state/timing"
)

// Rounds repeats the work of a role in the background.
type Rounds struct {
	interval time.Duration
	step     func(context.Context) error
	failed   func(error)

	stop      context.CancelFunc
	done      chan struct{}
	closeOnce sync.Once
}

// NewRounds returns rounds that call step every interval and failed with each
// of its errors; a nil failed drops them.
func NewRounds(interval time.Duration, step func(context.Context) error, failed func(error)) *Rounds {
	return &Rounds{interval: interval, step: step, failed: failed}
}

// Start runs rounds until Close.
func (r *Rounds) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	r.stop, r.done = cancel, make(chan struct{})
	go r.run(ctx)
}

func (r *Rounds) run(ctx context.Context) {
	defer close(r.done)
	timing.Every(ctx, r.interval, func() {
		// An order that has begun is completed even while the host stops:
		// cancelling it would leave an intent with unknown outcome.
		round, cancel := context.WithTimeout(context.WithoutCancel(ctx), r.interval)
		defer cancel()
		if err := r.step(round); err != nil && r.failed != nil {
			r.failed(err)
		}
	})
}

// Close stops the rounds and waits for one that is under way. It does nothing
// before Start.
func (r *Rounds) Close() error {
	r.closeOnce.Do(func() {
		if r.stop != nil {
			r.stop()
			<-r.done
		}
	})
	return nil
}
