package routing

import (
	"context"

	"quetzalhook"
)

// gatedStore is a quetzalhook.Store whose calls all fail while its gate is
// closed.
type gatedStore struct{ gate *gate }

func (g gatedStore) Get(ctx context.Context, key string) (quetzalhook.Object, error) {
	if g.gate.closed.Load() {
		return quetzalhook.Object{}, g.gate.unavailable("get")
	}
	return g.gate.Store.Get(ctx, key)
}

func (g gatedStore) ListStale(ctx context.Context, prefix string) (quetzalhook.Listing, error) {
	return g.List(ctx, prefix)
}

func (g gatedStore) List(ctx context.Context, prefix string) (quetzalhook.Listing, error) {
	if g.gate.closed.Load() {
		return quetzalhook.Listing{}, g.gate.unavailable("list")
	}
	return g.gate.Store.List(ctx, prefix)
}

func (g gatedStore) Era() int64 { return g.gate.Store.Era() }

func (g gatedStore) Put(ctx context.Context, key string, value []byte, base quetzalhook.Version) (quetzalhook.Version, error) {
	if g.gate.closed.Load() {
		return 0, g.gate.unavailable("put")
	}
	return g.gate.Store.Put(ctx, key, value, base)
}

func (g gatedStore) Delete(ctx context.Context, key string, base quetzalhook.Version) error {
	if g.gate.closed.Load() {
		return g.gate.unavailable("delete")
	}
	return g.gate.Store.Delete(ctx, key, base)
}

func (g gatedStore) Watch(ctx context.Context, prefix string, after quetzalhook.Version) (quetzalhook.Watch, error) {
	if g.gate.closed.Load() {
		return nil, g.gate.unavailable("watch")
	}
	w, err := g.gate.Store.Watch(ctx, prefix, after)
	if err != nil {
		return nil, err
	}
	l := &lossyWatch{Watch: w, gate: g.gate, events: make(chan quetzalhook.Object)}
	go l.run()
	return l, nil
}

// lossyWatch is a watch that loses the events which arrive while its gate loses events.
type lossyWatch struct {
	quetzalhook.Watch
	gate   *gate
	events chan quetzalhook.Object
}

func (l *lossyWatch) run() {
	defer close(l.events)
	for o := range l.Watch.Events() {
		if !l.gate.lossy.Load() {
			l.events <- o
		}
	}
}

func (l *lossyWatch) Events() <-chan quetzalhook.Object { return l.events }

func (l *lossyWatch) Close() error {
	err := l.Watch.Close()
	for range l.events { // run ends
		continue
	}
	return err
}
