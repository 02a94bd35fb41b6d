package credential

import (
	"context"

	"github.com/cespare/xxhash/v2"
)

// indexKey is the store key of the index, which summarises the withdrawn keys of
// every shard. Watchers read it before each new watch: one small read shows
// whether the previous watch has missed withdrawals, even if it delivered no
// events.
const indexKey = storePrefix + "index"

// indexEntry summarises the withdrawn keys of one shard: their number and the
// XOR of their hashes. Withdrawals are never removed, so of two entries the one
// with the larger count is the newer.
type indexEntry struct {
	Count int    `cbor:"1,keyasint,omitempty"`
	Hash  uint64 `cbor:"2,keyasint,omitempty"`
}

// index holds one entry for each shard.
type index [shardCount]indexEntry

func entryOf(s shard) indexEntry {
	e := indexEntry{Count: len(s.Withdrawn)}
	for _, id := range s.Withdrawn {
		e.Hash ^= xxhash.Sum64(id[:])
	}
	return e
}

// writeIndex stores e as the index entry of shard n, unless the stored entry is
// as new or newer.
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

// syncIndex reads the index and then every shard for which the index lists more
// withdrawals than this host has read. It updates index entries that are older
// than what this host has read.
func (r *Registry) syncIndex(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var idx index
	if _, err := r.readObject(ctx, indexKey, &idx); err != nil {
		return err
	}
	r.mu.Lock()
	readState := r.readState
	r.mu.Unlock()
	for n, e := range idx {
		switch {
		case e.Count > readState[n].Count:
			if err := r.readShard(ctx, n); err != nil {
				return err
			}
		case e.Count < readState[n].Count:
			// The host that wrote the shard stopped before it updated the index.
			if err := r.writeIndex(ctx, n, readState[n]); err != nil {
				return err
			}
		}
	}
	return nil
}
