package memory

import (
	"context"
	"errors"
	"sync"
	"time"

	"quetzalhook"
)

// Gate stands between one simulated process and everything outside of it.
// Pausing the gate stops the process at its next call to or return from the
// outside, which is how a stopped process looks to the others.
type Gate struct {
	mu     sync.Mutex
	passes int
	stopAt int
	hold   chan struct{} // closed on resume; nil while running
	killed bool
}

var errKilled = errors.New("the process was killed")

// Pass waits while the process is paused. It returns an error when the
// process was killed; the caller then has no effect outside.
func (g *Gate) Pass() error {
	g.mu.Lock()
	g.passes++
	if g.passes == g.stopAt && g.hold == nil {
		g.hold = make(chan struct{})
	}
	hold := g.hold
	g.mu.Unlock()
	if hold != nil {
		<-hold
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.killed {
		return errKilled
	}
	return nil
}

// PauseAt pauses the process at its nth pass, counted from 1.
func (g *Gate) PauseAt(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopAt = n
}

// Pause stops the process at its next pass.
func (g *Gate) Pause() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.hold == nil {
		g.hold = make(chan struct{})
	}
}

// Resume continues a paused process.
func (g *Gate) Resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.hold != nil {
		close(g.hold)
		g.hold = nil
	}
}

// Kill ends the process: no later call has an effect.
func (g *Gate) Kill() {
	g.mu.Lock()
	g.killed = true
	g.mu.Unlock()
	g.Resume()
}

// Paused reports whether the process is stopped.
func (g *Gate) Paused() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.hold != nil
}

// Passes returns the number of passes so far.
func (g *Gate) Passes() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.passes
}

// Clock returns c as the process reads it.
func (g *Gate) Clock(c quetzalhook.Clock) quetzalhook.Clock {
	return quetzalhook.ClockFunc(func() time.Time {
		now := c.Now()
		_ = g.Pass() // a killed process may go on reading the time
		return now
	})
}

// Store returns s as the process calls it.
func (g *Gate) Store(s quetzalhook.Store) quetzalhook.Store { return gated{g, s} }

type gated struct {
	gate  *Gate
	store quetzalhook.Store
}

// through makes a call between two passes. A kill during the call loses its
// answer only.
func through[T any](g *Gate, op, key string, call func() (T, error)) (T, error) {
	var none T
	if g.Pass() != nil {
		return none, storeError(op, key, quetzalhook.StoreUnavailable)
	}
	v, err := call()
	if g.Pass() != nil {
		return none, storeError(op, key, quetzalhook.StoreUnknown)
	}
	return v, err
}

func (s gated) Get(ctx context.Context, key string) (quetzalhook.Object, error) {
	return through(s.gate, "get", key, func() (quetzalhook.Object, error) { return s.store.Get(ctx, key) })
}

func (s gated) List(ctx context.Context, prefix string) (quetzalhook.Listing, error) {
	return through(s.gate, "list", prefix, func() (quetzalhook.Listing, error) { return s.store.List(ctx, prefix) })
}

func (s gated) Put(ctx context.Context, key string, value []byte, base quetzalhook.Version) (quetzalhook.Version, error) {
	return through(s.gate, "put", key, func() (quetzalhook.Version, error) { return s.store.Put(ctx, key, value, base) })
}

func (s gated) Delete(ctx context.Context, key string, base quetzalhook.Version) error {
	_, err := through(s.gate, "delete", key, func() (struct{}, error) { return struct{}{}, s.store.Delete(ctx, key, base) })
	return err
}

func (s gated) Watch(ctx context.Context, prefix string, after quetzalhook.Version) (quetzalhook.Watch, error) {
	return through(s.gate, "watch", prefix, func() (quetzalhook.Watch, error) { return s.store.Watch(ctx, prefix, after) })
}
