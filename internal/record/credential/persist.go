package credential

import (
	"context"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"quetzalhook"
	"quetzalhook/internal/platform/watch"
	"quetzalhook/internal/state/timing"
)

const (
	// maxStoreAttempts is the maximum number of attempts at an update. It is
	// repeated after a conflict or if its answer was lost.
	maxStoreAttempts = 5
	// watchDuration is how long a watch lasts, even if events arrive. Before the
	// next watch, syncIndex reads the withdrawals that it has missed.
	watchDuration = 3 * time.Second
	// reopenDelay is the pause between the end of a watch and the next.
	reopenDelay = 250 * time.Millisecond
	// backupPersisters is the number of hosts that try to persist a withdrawal
	// besides the host that accepted it.
	backupPersisters = 2
	// watchersPerZone is the number of hosts of a zone that watch the store.
	watchersPerZone = 2
	// memberTimeout is how long a member may be silent and still be assigned
	// tasks, or be asked for withdrawals; see Member.IsAlive.
	memberTimeout = 3 * time.Second
	// syncInterval is the interval of the background loops: comparing digests
	// with other hosts and persisting withdrawals. Retries after a failed read
	// of the store are spread around it.
	syncInterval = time.Second
)

// readShard reads one shard from the store and adds it to the table.
func (r *Registry) readShard(ctx context.Context, n int) error {
	s, _, err := r.getShard(ctx, n)
	if err != nil {
		return err
	}
	r.merge(n, s)
	return nil
}

// merge adds shard n, as read from or written to the store, to the table.
func (r *Registry) merge(n int, s shard) {
	r.table.merge(r.clock.Now(), s)
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := entryOf(s); e.Count > r.readState[n].Count {
		r.readState[n] = e
	}
}

// getShard reads a shard from the store and returns it with its version, 0 if it
// does not exist.
func (r *Registry) getShard(ctx context.Context, n int) (shard, quetzalhook.Version, error) {
	var s shard
	version, err := r.readObject(ctx, shardKey(n), &s)
	return s, version, err
}

// readObject reads and decodes a store object into v and returns its version. If
// there is no such object, it leaves v unchanged and returns 0.
func (r *Registry) readObject(ctx context.Context, key string, v any) (quetzalhook.Version, error) {
	o, err := r.store.Get(ctx, key)
	if quetzalhook.StoreKind(err, quetzalhook.StoreUnavailable) == quetzalhook.StoreNotFound {
		return 0, nil
	}
	if err != nil {
		return 0, &Error{Op: "read", Kind: ErrorUnavailable, Err: err}
	}
	if err := cbor.Unmarshal(o.Value, v); err != nil {
		return 0, &Error{Op: "read", Kind: ErrorCorrupt, Err: err}
	}
	return o.Version, nil
}

// update changes a shard in the store by conditional writes and returns the new
// content. change reports whether the shard has to be written. If the answer to
// a write was lost, change is called again and may find its own change applied.
func (r *Registry) update(ctx context.Context, n int, change func(*shard) bool) (shard, error) {
	var s shard
	err := r.rewrite(ctx, shardKey(n), func(data []byte) (any, error) {
		s = shard{}
		if err := unmarshal(data, &s); err != nil {
			return nil, err
		}
		if !change(&s) {
			return nil, nil
		}
		return s, nil
	})
	return s, err
}

// rewrite changes a store object by conditional writes, until one is known to
// have succeeded. change returns the new value, or nil to leave the object
// unchanged.
func (r *Registry) rewrite(ctx context.Context, key string, change func(data []byte) (any, error)) error {
	var err error
	for range maxStoreAttempts {
		o, getErr := r.store.Get(ctx, key)
		if kind := quetzalhook.StoreKind(getErr, quetzalhook.StoreUnavailable); kind != "" && kind != quetzalhook.StoreNotFound {
			return &Error{Op: "read", Kind: ErrorUnavailable, Err: getErr}
		}
		v, changeErr := change(o.Value)
		if v == nil || changeErr != nil {
			return changeErr
		}
		value, encodeErr := cbor.Marshal(v)
		if encodeErr != nil {
			return &Error{Op: "write", Kind: ErrorCorrupt, Err: encodeErr}
		}
		_, err = r.store.Put(ctx, key, value, o.Version)
		switch quetzalhook.StoreKind(err, quetzalhook.StoreUnavailable) {
		case "":
			return nil
		case quetzalhook.StoreConflict, quetzalhook.StoreUnknown:
		default:
			return &Error{Op: "write", Kind: ErrorUnavailable, Err: err}
		}
	}
	return &Error{Op: "write", Kind: ErrorUnavailable, Err: err}
}

// unmarshal decodes a store object into v; it leaves v unchanged if data is empty.
func unmarshal(data []byte, v any) error {
	if len(data) == 0 {
		return nil
	}
	if err := cbor.Unmarshal(data, v); err != nil {
		return &Error{Op: "read", Kind: ErrorCorrupt, Err: err}
	}
	return nil
}

// persist writes withdrawals to shard n in the store and then updates the index.
// They count as persisted only after both writes, so that the next attempt
// completes one that was interrupted.
func (r *Registry) persist(ctx context.Context, n int, ids []ID) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s, err := r.update(ctx, n, func(s *shard) bool {
		before := len(s.Withdrawn)
		for _, id := range ids {
			if !slices.Contains(s.Withdrawn, id) {
				s.Withdrawn = append(s.Withdrawn, id)
			}
		}
		return len(s.Withdrawn) > before
	})
	if err != nil {
		return err
	}
	if err := r.writeIndex(ctx, n, entryOf(s)); err != nil {
		return err
	}
	r.merge(n, s)
	return nil
}

// persistLoop writes withdrawals that are not in the store yet, once per
// syncInterval, until ctx ends.
func (r *Registry) persistLoop(ctx context.Context) {
	for timing.Sleep(ctx, syncInterval) {
		for n, ids := range r.table.pending(r.assignmentFilter()) {
			if err := r.persist(ctx, n, ids); err != nil {
				r.log.WithError(err).Debug("persisting withdrawals failed; retrying")
				break // while the store is down, make only one failed call per round
			}
		}
	}
}

// assignmentFilter returns a function that reports whether this host is one of
// the backupPersisters hosts that persist a withdrawal accepted by another host,
// in case that host cannot.
func (r *Registry) assignmentFilter() func(id ID) bool {
	members := r.peers.Members()
	return func(id ID) bool {
		return r.ranksAmong(string(id[:]), backupPersisters, members, func(quetzalhook.Member) bool { return true })
	}
}

// ranksAmong reports whether this host has one of the n highest ranks for a task
// among itself and the members that are alive, not draining and eligible.
func (r *Registry) ranksAmong(task string, n int, members []quetzalhook.Member, eligible func(quetzalhook.Member) bool) bool {
	own, ahead := rank(task, r.self.Host), 0
	for _, m := range members {
		if m.IsAlive(memberTimeout) && !m.Draining && eligible(m) && rank(task, m.Host) > own {
			ahead++
		}
	}
	return ahead < n
}

// isWatcher reports whether this host is one of the watchersPerZone hosts of its
// zone that watch the keys in the store.
func (r *Registry) isWatcher() bool {
	return r.ranksAmong("key", watchersPerZone, r.peers.Members(), func(m quetzalhook.Member) bool { return m.Zone == r.self.Zone })
}

// followStore loads all keys once, then watches the store for changes while this
// host is a watcher.
func (r *Registry) followStore(ctx context.Context) {
	var after quetzalhook.Version
	for delay := time.Duration(0); timing.Sleep(ctx, delay); {
		// Jitter that depends on the host spreads the reads of all hosts after an
		// outage.
		delay = syncInterval/2 + time.Duration(rank(r.clock.Now().String(), r.self.Host)%uint64(syncInterval))
		// Watches from a version of an earlier era fail.
		if !r.isLoaded() || r.isWatcher() && after.Era() < r.store.Era() {
			version, err := r.load(ctx)
			if err != nil {
				r.log.WithError(err).Debug("loading keys failed; retrying")
				continue
			}
			after = max(after, version)
		}
		if !r.isWatcher() {
			continue
		}
		begin := r.clock.Now()
		if err := r.syncIndex(ctx); err != nil {
			r.log.WithError(err).Debug("reading index of withdrawn keys failed; retrying")
			continue
		}
		r.recordLoad(begin)
		after = r.watch(ctx, after)
		delay = reopenDelay
	}
}

func (r *Registry) isLoaded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.loaded
}

// load reads all shards from the store, or from peers if the store does not
// answer. It returns the store version of what it read, 0 from peers.
func (r *Registry) load(ctx context.Context) (quetzalhook.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	begin := r.clock.Now()
	list, err := r.store.List(ctx, storePrefix)
	if err != nil {
		if err := r.pullAll(ctx); err != nil {
			return 0, err
		}
		r.recordLoad(time.Time{})
		return 0, nil
	}
	for _, o := range list.Objects {
		r.mergeObject(o)
	}
	r.recordLoad(begin)
	return list.Version, nil
}

// recordLoad records that the keys are loaded or were compared with the index,
// and when that read of the store began. contact is zero if the keys came from a
// peer.
func (r *Registry) recordLoad(contact time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.loaded {
		r.loaded, r.loadedAt = true, r.clock.Now()
	}
	if contact.IsZero() || !contact.After(r.contact) {
		return
	}
	if r.contact.IsZero() || contact.Sub(r.contact) > r.currencyLimit {
		r.contactSince = contact
	}
	r.contact = contact
}

// watch applies the events of one watch, which lasts up to watchDuration. It
// returns the last store version seen.
func (r *Registry) watch(ctx context.Context, after quetzalhook.Version) quetzalhook.Version {
	settings := watch.Settings{Prefix: storePrefix, OpenTimeout: callTimeout, EventTimeout: watchDuration, Fixed: true}
	return watch.Follow(ctx, r.store, settings, after, func(_ context.Context, o quetzalhook.Object) bool {
		r.mergeObject(o)
		return true
	})
}

// mergeObject adds the shard in a store object to the table. It ignores deleted
// objects and those that are not shards.
func (r *Registry) mergeObject(o quetzalhook.Object) {
	n, ok := shardOf(o.Key)
	if !ok || o.Deleted {
		return
	}
	var s shard
	if err := unmarshal(o.Value, &s); err != nil {
		r.log.WithError(err).WithField("key", o.Key).Error("decoding stored keys failed")
		return
	}
	r.merge(n, s)
}
