package credential

import (
	"crypto/sha256"
	"crypto/subtle"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"quetzalhook"
)

const (
	// bucketCount is the number of buckets that withdrawn keys are divided into,
	// by the first byte of the ID. Hosts compare one hash per bucket.
	bucketCount = 256
	// maxUnknownKeys is the maximum number of unknown keys that a host
	// remembers, at 40 bytes each.
	maxUnknownKeys = 4096
)

// withdrawal is the state of one withdrawn key on a host.
type withdrawal struct {
	learned   time.Time // when this host learned of it
	persisted bool      // known to be in the store
	own       bool      // accepted from the operator by this host
}

// table holds the issued and the withdrawn keys that one host knows, in memory.
// It is safe for concurrent use.
type table struct {
	mu          sync.Mutex
	records     map[ID]record // the issued keys
	withdrawn   map[ID]*withdrawal
	unpersisted map[ID]struct{}     // keys whose withdrawal is not known to be in the store
	buckets     [bucketCount]uint64 // XOR of the hashes of the withdrawn keys in each bucket
	hash        uint64              // XOR of the hashes of all withdrawn keys
	unknown     map[ID]time.Time    // keys that the store does not have, with the time until which lookups refuse them
	subscribers map[ID]map[chan struct{}]struct{}
}

func newTable() *table {
	return &table{
		records:     make(map[ID]record),
		withdrawn:   make(map[ID]*withdrawal),
		unpersisted: make(map[ID]struct{}),
		unknown:     make(map[ID]time.Time),
		subscribers: make(map[ID]map[chan struct{}]struct{}),
	}
}

// lookupResult is the outcome of a lookup in the table.
type lookupResult uint8

const (
	lookupFound lookupResult = iota
	lookupRefused
	lookupUnresolved // unknown here; the store may have the key
)

func (t *table) lookup(now time.Time, hash [sha256.Size]byte) (record, lookupResult) {
	id := ID(hash[:len(ID{})])
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.withdrawn[id]; ok {
		return record{}, lookupRefused
	}
	r, ok := t.records[id]
	switch {
	case ok && subtle.ConstantTimeCompare(r.Hash[:], hash[:]) == 1:
		return r, lookupFound
	case now.Before(t.unknown[id]):
		return record{}, lookupRefused
	}
	return record{}, lookupUnresolved
}

// isWithdrawn reports whether the key is withdrawn, and when this host learned
// of it.
func (t *table) isWithdrawn(id ID) (time.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w, ok := t.withdrawn[id]
	if !ok {
		return time.Time{}, false
	}
	return w.learned, true
}

func (t *table) isIssued(id ID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, ok := t.records[id]
	return ok
}

// isUnresolved reports whether this host knows neither that a key exists nor
// that it does not.
func (t *table) isUnresolved(now time.Time, id ID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, withdrawn := t.withdrawn[id]
	_, issued := t.records[id]
	return !withdrawn && !issued && !now.Before(t.unknown[id])
}

// rememberUnknown makes lookups refuse a key that the store does not have until
// the given time. It does nothing if the table of unknown keys is full.
func (t *table) rememberUnknown(id ID, now, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.unknown) >= maxUnknownKeys {
		for other, end := range t.unknown {
			if !now.Before(end) {
				delete(t.unknown, other)
			}
		}
	}
	if len(t.unknown) < maxUnknownKeys {
		t.unknown[id] = until
	}
}

// merge adds the records and withdrawals of a shard. It removes none, so that a
// stale read cannot make a withdrawn key valid again.
func (t *table) merge(now time.Time, s shard) {
	t.mu.Lock()
	for _, r := range s.Records {
		t.records[r.id()] = r
		delete(t.unknown, r.id())
	}
	t.mu.Unlock()
	t.withdraw(now, s.Withdrawn, true, false)
	t.withdraw(now, s.Pending, false, false)
}

// withdraw adds withdrawals, closes the channels of the keys' subscribers and
// returns the IDs of the keys that were not withdrawn before. persisted and own
// are set in the withdrawals as described there.
func (t *table) withdraw(now time.Time, ids []ID, persisted, own bool) []ID {
	t.mu.Lock()
	defer t.mu.Unlock()
	var added []ID
	for _, id := range ids {
		w, known := t.withdrawn[id]
		if !known {
			w = &withdrawal{learned: now}
			t.withdrawn[id] = w
			h := xxhash.Sum64(id[:])
			t.buckets[id[0]] ^= h
			t.hash ^= h
			added = append(added, id)
			for c := range t.subscribers[id] {
				close(c)
			}
			delete(t.subscribers, id)
		}
		w.persisted = w.persisted || persisted
		w.own = w.own || own
		if w.persisted {
			delete(t.unpersisted, id)
		} else {
			t.unpersisted[id] = struct{}{}
		}
	}
	return added
}

// subscribe returns a channel that is closed when the key is withdrawn, and a
// function that ends the subscription.
func (t *table) subscribe(id ID) (c chan struct{}, cancel func()) {
	c = make(chan struct{})
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.withdrawn[id]; ok {
		close(c)
		return c, func() {}
	}
	if t.subscribers[id] == nil {
		t.subscribers[id] = make(map[chan struct{}]struct{})
	}
	t.subscribers[id][c] = struct{}{}
	return c, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.subscribers[id], c)
		if len(t.subscribers[id]) == 0 {
			delete(t.subscribers, id)
		}
	}
}

// digest returns the number of withdrawn keys and the XOR of their hashes.
func (t *table) digest() (count int, hash uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.withdrawn), t.hash
}

// bucketHashes returns the XOR of the hashes of the withdrawn keys in each bucket.
func (t *table) bucketHashes() []uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]uint64(nil), t.buckets[:]...)
}

// differingWithdrawals returns the withdrawn keys of all buckets whose hash
// differs from that of another host.
func (t *table) differingWithdrawals(peerHashes []uint64) (persisted, pending []ID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, w := range t.withdrawn {
		if b := int(id[0]); b < len(peerHashes) && peerHashes[b] == t.buckets[b] {
			continue
		}
		if w.persisted {
			persisted = append(persisted, id)
		} else {
			pending = append(pending, id)
		}
	}
	return persisted, pending
}

// shardContent returns the records and withdrawals of a shard that this host
// knows.
func (t *table) shardContent(n int) shard {
	t.mu.Lock()
	defer t.mu.Unlock()
	var s shard
	for id, r := range t.records {
		if id.shard() == n {
			s.Records = append(s.Records, r)
		}
	}
	for id, w := range t.withdrawn {
		if id.shard() != n {
			continue
		}
		if w.persisted {
			s.Withdrawn = append(s.Withdrawn, id)
		} else {
			s.Pending = append(s.Pending, id)
		}
	}
	return s
}

// pending returns the withdrawals that this host has to persist, by shard: all
// that it accepted itself and, among maxPendingPerRound others, those for which
// assigned returns true.
func (t *table) pending(assigned func(id ID) bool) map[int][]ID {
	t.mu.Lock()
	defer t.mu.Unlock()
	list, examined := make(map[int][]ID), 0
	for id := range t.unpersisted {
		own := t.withdrawn[id].own
		if !own {
			examined++
		}
		if own || examined <= maxPendingPerRound && assigned(id) {
			list[id.shard()] = append(list[id.shard()], id)
		}
	}
	return list
}

// maxPendingPerRound limits the time that a round of persistLoop spends on ranking
// hosts: 16 withdrawals times 2,800 hosts.
const maxPendingPerRound = 16

// rank returns a pseudo-random rank of a host for a task (rendezvous hashing).
// The hosts with the highest ranks do the task.
func rank(task string, h quetzalhook.HostID) uint64 {
	return xxhash.Sum64String(task + "\x00" + string(h))
}
