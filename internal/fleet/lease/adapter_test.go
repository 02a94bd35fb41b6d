package lease

import (
	"context"

	"quetzalhook"
	"quetzalhook/internal/platform/memory"
)

// adapter is one host's access to a store that compares revisions without their eras. Like
// package platform, it knows only the eras that answers have named.
type adapter struct {
	*memory.Store

	era        int64
	late       bool      // whether the next write arrives only with land
	onTheWay   *[]func() // late writes that have not arrived, of all processes
	before     func()    // runs once before the next write arrives, if not nil
	after      func()    // runs once after the next write was made, before its answer
	afterRead  func()    // runs once before the answer to the next read
	loseAnswer bool      // whether the answer to the next write is lost
}

func (a *adapter) Era() int64 { return a.era }

// hear stands for another goroutine's call.
func (a *adapter) hear() { a.era = a.Store.Era() }

func (a *adapter) Get(ctx context.Context, key string) (quetzalhook.Object, error) {
	o, err := a.Store.Get(ctx, key)
	era := a.Store.Era()
	runOnce(&a.afterRead)
	if quetzalhook.StoreKind(err, "") != quetzalhook.StoreUnavailable {
		a.era = max(a.era, era)
	}
	return o, err
}

func (a *adapter) List(ctx context.Context, prefix string) (quetzalhook.Listing, error) {
	list, err := a.Store.List(ctx, prefix)
	if err == nil {
		a.hear()
	}
	return list, err
}

func (a *adapter) Put(ctx context.Context, key string, value []byte, base quetzalhook.Version) (quetzalhook.Version, error) {
	if base > 0 && base.Era() < a.era {
		return 0, &quetzalhook.StoreError{Op: "put", Key: key, Kind: quetzalhook.StoreConflict}
	}
	unknown := &quetzalhook.StoreError{Op: "put", Key: key, Kind: quetzalhook.StoreUnknown}
	send := func() (quetzalhook.Version, error) {
		current := base
		if base > 0 {
			current = quetzalhook.NewVersion(a.Store.Era(), base.Revision())
		}
		return a.Store.Put(context.WithoutCancel(ctx), key, value, current)
	}
	if a.late {
		a.late = false
		*a.onTheWay = append(*a.onTheWay, func() { _, _ = send() })
		return 0, unknown
	}
	runOnce(&a.before)
	version, err := send()
	era := a.Store.Era()
	runOnce(&a.after)
	if a.loseAnswer {
		a.loseAnswer = false
		return 0, unknown
	}
	if quetzalhook.StoreKind(err, "") == quetzalhook.StoreUnavailable {
		return 0, err
	}
	a.era = max(a.era, era)
	if err == nil && (era < a.era || base.Era() > 0 && base.Era() != era) {
		return 0, unknown
	}
	return version, err
}

func runOnce(f *func()) {
	if *f != nil {
		run := *f
		*f = nil
		run()
	}
}
