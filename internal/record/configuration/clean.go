package configuration

import (
	"context"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"quetzalhook"
)

// defaultKeptVersions is the default number of old versions that are kept in the
// store. Confirm deletes older ones each time that this number of versions has
// been confirmed.
const defaultKeptVersions = 100

// touch writes a shard even if it exists already. The write gives it a new store
// version, which shows Clean that a recent plan may use the shard.
func (p *Planner) touch(ctx context.Context, key string, value []byte) error {
	var err error
	for range maxStoreAttempts {
		o, getErr := p.store.Get(ctx, key)
		if kind := quetzalhook.StoreKind(getErr, quetzalhook.StoreUnavailable); kind != "" && kind != quetzalhook.StoreNotFound {
			return storeError("write", getErr)
		}
		_, err = p.store.Put(ctx, key, value, o.Version)
		switch quetzalhook.StoreKind(err, quetzalhook.StoreUnavailable) {
		case "":
			return nil
		case quetzalhook.StoreConflict, quetzalhook.StoreUnknown:
		default:
			return storeError("write", err)
		}
	}
	return storeError("write", err)
}

// Clean deletes plans, version records and shards that no kept version uses. It
// may run on several hosts at once and concurrently with Plan and Confirm.
//
// It does not delete the shards of a plan that can still be confirmed. Such a
// plan is based on the version in force, so its shards were written after the
// records of all earlier versions. Clean deletes no shard that was written after
// the oldest kept record, and deletes an object only if it still has the store
// version that was read.
func (p *Planner) Clean(ctx context.Context) error {
	head, _, err := readHead(ctx, p.store)
	if err != nil || head.Number <= p.keptVersions {
		return err
	}
	oldest := head.Number - p.keptVersions
	shards, err := p.store.List(ctx, shardPrefix)
	if err != nil {
		return storeError("clean", err)
	}
	used, since, err := p.usedShards(ctx, oldest, head)
	if err != nil {
		return err
	}
	for _, o := range shards.Objects {
		if o.Version < since && !used[strings.TrimPrefix(o.Key, shardPrefix)] {
			if err := p.remove(ctx, o); err != nil {
				return err
			}
		}
	}
	if err := p.removeOld(ctx, planPrefix, func(o quetzalhook.Object) bool {
		var plan Plan
		return cbor.Unmarshal(o.Value, &plan) == nil && plan.Base < oldest
	}); err != nil {
		return err
	}
	return p.removeOld(ctx, versionPrefix, func(o quetzalhook.Object) bool {
		n, err := strconv.ParseInt(strings.TrimPrefix(o.Key, versionPrefix), 10, 64)
		return err == nil && n < oldest
	})
}

// usedShards returns the hashes of the shards of all kept versions, and the store
// version of the oldest kept version record.
func (p *Planner) usedShards(ctx context.Context, oldest int64, head Head) (map[string]bool, quetzalhook.Version, error) {
	used := make(map[string]bool)
	var since quetzalhook.Version
	add := func(m Manifest) {
		for _, h := range m.Shards {
			used[h.String()] = true
		}
	}
	for n := oldest; n < head.Number; n++ {
		o, err := p.store.Get(ctx, versionKey(n))
		if err != nil {
			return nil, 0, storeError("clean", err)
		}
		var record Head
		if err := cbor.Unmarshal(o.Value, &record); err != nil {
			return nil, 0, &Error{Op: "clean", Kind: ErrorCorrupt, Err: err}
		}
		if n == oldest {
			since = o.Version
		}
		add(record.Manifest)
	}
	add(head.Manifest)
	return used, since, nil
}

// removeOld deletes the objects whose keys start with prefix and for which isOld
// returns true.
func (p *Planner) removeOld(ctx context.Context, prefix string, isOld func(quetzalhook.Object) bool) error {
	objects, err := p.store.List(ctx, prefix)
	if err != nil {
		return storeError("clean", err)
	}
	for _, o := range objects.Objects {
		if isOld(o) {
			if err := p.remove(ctx, o); err != nil {
				return err
			}
		}
	}
	return nil
}

// remove deletes an object unless it has changed since it was read.
func (p *Planner) remove(ctx context.Context, o quetzalhook.Object) error {
	switch err := p.store.Delete(ctx, o.Key, o.Version); quetzalhook.StoreKind(err, quetzalhook.StoreUnavailable) {
	case "", quetzalhook.StoreConflict, quetzalhook.StoreNotFound, quetzalhook.StoreUnknown:
		return nil
	default:
		return storeError("clean", err)
	}
}
