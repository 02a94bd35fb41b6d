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
	// bucketCount is the number of parts in which hosts compare their
	// withdrawn keys.
	bucketCount = 256
	// unknownLimit bounds the remembered unknown keys: 40 bytes each.
	unknownLimit = 4096
)

// withdrawal is what a host knows of one withdrawn key.
type withdrawal struct {
	learned   time.Time
	persisted bool // known to be in the store
	own       bool // accepted from the operator by this host
}

// table holds the keys that one host knows. It is safe for concurrent use.
type table struct {
	mu          sync.Mutex
	records     map[ID]record
	withdrawn   map[ID]*withdrawal
	unpersisted map[ID]struct{}
	buckets     [bucketCount]uint64
	hash        uint64
	unknown     map[ID]time.Time // until when the key is refused unread
	watchers    map[ID]map[chan struct{}]struct{}
}

func newTable() *table {
	return &table{
		records:     make(map[ID]record),
		withdrawn:   make(map[ID]*withdrawal),
		unpersisted: make(map[ID]struct{}),
		unknown:     make(map[ID]time.Time),
		watchers:    make(map[ID]map[chan struct{}]struct{}),
	}
}

// finding is the result of a lookup in the table.
type finding uint8

const (
	found finding = iota
	refused
	unread // not known; the store may have it
)

func (t *table) lookup(now time.Time, hash [sha256.Size]byte) (record, finding) {
	id := ID(hash[:len(ID{})])
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.withdrawn[id]; ok {
		return record{}, refused
	}
	r, ok := t.records[id]
	switch {
	case ok && subtle.ConstantTimeCompare(r.Hash[:], hash[:]) == 1:
		return r, found
	case now.Before(t.unknown[id]):
		return record{}, refused
	}
	return record{}, unread
}

// isWithdrawn reports whether the key is withdrawn and since when this host
// knows.
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

// isUnread reports whether a key is neither known nor known not to exist.
func (t *table) isUnread(now time.Time, id ID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, withdrawn := t.withdrawn[id]
	_, issued := t.records[id]
	return !withdrawn && !issued && !now.Before(t.unknown[id])
}

// refuse remembers an unknown key until the given time.
func (t *table) refuse(id ID, now, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.unknown) >= unknownLimit {
		for other, end := range t.unknown {
			if !now.Before(end) {
				delete(t.unknown, other)
			}
		}
	}
	if len(t.unknown) < unknownLimit {
		t.unknown[id] = until
	}
}

// merge adds what a shard holds. Nothing is ever removed, so that a stale
// read cannot bring a withdrawn key back.
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

// withdraw adds withdrawals, tells the watchers of the keys and returns the
// identifiers that were new.
func (t *table) withdraw(now time.Time, ids []ID, persisted, own bool) []ID {
	t.mu.Lock()
	defer t.mu.Unlock()
	var news []ID
	for _, id := range ids {
		w, known := t.withdrawn[id]
		if !known {
			w = &withdrawal{learned: now}
			t.withdrawn[id] = w
			h := xxhash.Sum64(id[:])
			t.buckets[id[0]] ^= h
			t.hash ^= h
			news = append(news, id)
			for c := range t.watchers[id] {
				close(c)
			}
			delete(t.watchers, id)
		}
		w.persisted = w.persisted || persisted
		w.own = w.own || own
		if w.persisted {
			delete(t.unpersisted, id)
		} else {
			t.unpersisted[id] = struct{}{}
		}
	}
	return news
}

// watch returns a channel that is closed when the key is withdrawn.
func (t *table) watch(id ID) (c chan struct{}, cancel func()) {
	c = make(chan struct{})
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.withdrawn[id]; ok {
		close(c)
		return c, func() {}
	}
	if t.watchers[id] == nil {
		t.watchers[id] = make(map[chan struct{}]struct{})
	}
	t.watchers[id][c] = struct{}{}
	return c, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.watchers[id], c)
		if len(t.watchers[id]) == 0 {
			delete(t.watchers, id)
		}
	}
}

// digest describes the withdrawn keys.
func (t *table) digest() (count int, hash uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.withdrawn), t.hash
}

func (t *table) bucketHashes() []uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]uint64(nil), t.buckets[:]...)
}

// differing returns the withdrawn keys of all buckets whose hash differs from
// that of another host.
func (t *table) differing(theirs []uint64) (persisted, pending []ID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, w := range t.withdrawn {
		if b := int(id[0]); b < len(theirs) && theirs[b] == t.buckets[b] {
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

// content returns the known content of a shard.
func (t *table) content(n int) shard {
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

// pending returns the withdrawals to persist by shard: own ones and, of
// pendingPerRound others, those for which mine returns true.
func (t *table) pending(mine func(id ID) bool) map[int][]ID {
	t.mu.Lock()
	defer t.mu.Unlock()
	list, examined := make(map[int][]ID), 0
	for id := range t.unpersisted {
		own := t.withdrawn[id].own
		if !own {
			examined++
		}
		if own || examined <= pendingPerRound && mine(id) {
			list[id.shard()] = append(list[id.shard()], id)
		}
	}
	return list
}

// pendingPerRound bounds the time that the choice of duties takes: 16
// withdrawals times 2,800 hosts.
const pendingPerRound = 16

// rank orders hosts for the duty that name describes; the highest has it.
func rank(name string, h quetzalhook.HostID) uint64 {
	return xxhash.Sum64String(name + "\x00" + string(h))
}
