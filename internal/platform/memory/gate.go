package memory

import (
	"context"
	"errors"
	"sync"
	"time"

	"quetzalhook"
)

// Gate simulates pausing and killing one simulated process. All calls between
// the process and its environment go through the gate. Pausing it blocks the
// process at the next call to or return from its environment, so to others it
// looks like a process stopped by the operating system.
type Gate struct {
	mu      sync.Mutex
	passes  int           // calls of Pass so far
	stopAt  int           // the call of Pass at which the process is paused; 0 for none
	resumed chan struct{} // closed by Resume; nil while the process runs
	killed  bool
}

var errKilled = errors.New("process was killed")

// Pass blocks while the process is paused. It returns an error if the process
// was killed; the caller must then not make its call.
func (g *Gate) Pass() error {
	g.mu.Lock()
	g.passes++
	if g.passes == g.stopAt && g.resumed == nil {
		g.resumed = make(chan struct{})
	}
	resumed := g.resumed
	g.mu.Unlock()
	if resumed != nil {
		<-resumed
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.killed {
		return errKilled
	}
	return nil
}

// PauseAt pauses the process at its nth call of Pass, counted from 1.
func (g *Gate) PauseAt(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopAt = n
}

// Pause pauses the process at its next call of Pass.
func (g *Gate) Pause() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.resumed == nil {
		g.resumed = make(chan struct{})
	}
}

// Resume continues a paused process.
func (g *Gate) Resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.resumed != nil {
		close(g.resumed)
		g.resumed = nil
	}
}

// Kill kills the process, even while it is paused: no later call has an effect.
func (g *Gate) Kill() {
	g.mu.Lock()
	g.killed = true
	g.mu.Unlock()
	g.Resume()
}

// Paused reports whether the process is paused.
func (g *Gate) Paused() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.resumed != nil
}

// Passes returns the number of calls of Pass so far.
func (g *Gate) Passes() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.passes
}

// Clock returns a clock that reads c and then goes through the gate.
func (g *Gate) Clock(c quetzalhook.Clock) quetzalhook.Clock {
	return quetzalhook.ClockFunc(func() time.Time {
		now := c.Now()
		_ = g.Pass() // a killed process may still read the time
		return now
	})
}

// Store returns a store that calls s through the gate.
func (g *Gate) Store(s quetzalhook.Store) quetzalhook.Store { return gatedStore{g, s} }

// gatedStore calls a store through a gate. It implements quetzalhook.Store.
type gatedStore struct {
	gate  *Gate
	store quetzalhook.Store
}

// callThrough makes a call and passes the gate before and after it. If the
// process is killed during the call, the call takes effect but its response is
// lost.
func callThrough[T any](g *Gate, op, key string, call func() (T, error)) (T, error) {
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

func (s gatedStore) Get(ctx context.Context, key string) (quetzalhook.Object, error) {
	return callThrough(s.gate, "get", key, func() (quetzalhook.Object, error) { return s.store.Get(ctx, key) })
}

func (s gatedStore) List(ctx context.Context, prefix string) (quetzalhook.Listing, error) {
	return callThrough(s.gate, "list", prefix, func() (quetzalhook.Listing, error) { return s.store.List(ctx, prefix) })
}

func (s gatedStore) ListStale(ctx context.Context, prefix string) (quetzalhook.Listing, error) {
	return callThrough(s.gate, "list", prefix, func() (quetzalhook.Listing, error) { return s.store.ListStale(ctx, prefix) })
}

func (s gatedStore) Era() int64 { return s.store.Era() }

func (s gatedStore) Put(ctx context.Context, key string, value []byte, base quetzalhook.Version) (quetzalhook.Version, error) {
	return callThrough(s.gate, "put", key, func() (quetzalhook.Version, error) { return s.store.Put(ctx, key, value, base) })
}

func (s gatedStore) Delete(ctx context.Context, key string, base quetzalhook.Version) error {
	_, err := callThrough(s.gate, "delete", key, func() (struct{}, error) { return struct{}{}, s.store.Delete(ctx, key, base) })
	return err
}

func (s gatedStore) Watch(ctx context.Context, prefix string, after quetzalhook.Version) (quetzalhook.Watch, error) {
	return callThrough(s.gate, "watch", prefix, func() (quetzalhook.Watch, error) { return s.store.Watch(ctx, prefix, after) })
}
