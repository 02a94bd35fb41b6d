package routing

import (
	"context"

	"quetzalhook"
)

// gated is a quetzalhook.Store behind a door.
type gated struct{ door *door }

func (g gated) Get(ctx context.Context, key string) (quetzalhook.Object, error) {
	if g.door.closed.Load() {
		return quetzalhook.Object{}, g.door.fail("get")
	}
	return g.door.Store.Get(ctx, key)
}

func (g gated) List(ctx context.Context, prefix string) (quetzalhook.Listing, error) {
	if g.door.closed.Load() {
		return quetzalhook.Listing{}, g.door.fail("list")
	}
	return g.door.Store.List(ctx, prefix)
}

func (g gated) Put(ctx context.Context, key string, value []byte, base quetzalhook.Version) (quetzalhook.Version, error) {
	if g.door.closed.Load() {
		return 0, g.door.fail("put")
	}
	return g.door.Store.Put(ctx, key, value, base)
}

func (g gated) Delete(ctx context.Context, key string, base quetzalhook.Version) error {
	if g.door.closed.Load() {
		return g.door.fail("delete")
	}
	return g.door.Store.Delete(ctx, key, base)
}

func (g gated) Watch(ctx context.Context, prefix string, after quetzalhook.Version) (quetzalhook.Watch, error) {
	if g.door.closed.Load() {
		return nil, g.door.fail("watch")
	}
	return g.door.Store.Watch(ctx, prefix, after)
}
