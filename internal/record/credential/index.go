package credential

import (
	"context"

	"github.com/cespare/xxhash/v2"
)

// indexKey is the store object that describes the withdrawn keys of every
// shard. Watchers read it in every round: it shows in one small read what a
// silent watch has missed.
const indexKey = storePrefix + "index"

// indexEntry describes the withdrawn keys of one shard. Since withdrawals only
// grow, the larger count is the later state.
type indexEntry struct {
	Count int    `cbor:"1,keyasint,omitempty"`
	Hash  uint64 `cbor:"2,keyasint,omitempty"`
}

type index [shardCount]indexEntry

func entryOf(s shard) indexEntry {
	e := indexEntry{Count: len(s.Withdrawn)}
	for _, id := range s.Withdrawn {
		e.Hash ^= xxhash.Sum64(id[:])
	}
	return e
}

// writeIndex records the state of a shard unless a later one is recorded.
func (r *Registry) writeIndex(ctx context.Context, n int, e indexEntry) error {
	return r.rewrite(ctx, indexKey, func(data []byte) (any, error) {
		var idx index
		if err := unmarshal(data, &idx); err != nil {
			return nil, err
		}
		if idx[n].Count >= e.Count {
			return nil, nil
		}
		idx[n] = e
		return idx, nil
	})
}

// readIndex reads the index and all shards in which it shows withdrawals that
// this host has not read.
func (r *Registry) readIndex(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var idx index
	if _, err := r.decode(ctx, indexKey, &idx); err != nil {
		return err
	}
	r.mu.Lock()
	read := r.read
	r.mu.Unlock()
	for n, e := range idx {
		switch {
		case e.Count > read[n].Count:
			if err := r.readShard(ctx, n); err != nil {
				return err
			}
		case e.Count < read[n].Count:
			// The host that wrote the shard stopped before it wrote the index.
			if err := r.writeIndex(ctx, n, read[n]); err != nil {
				return err
			}
		}
	}
	return nil
}
