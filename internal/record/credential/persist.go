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
	// storeAttempts bounds how often an update is tried after a conflict or a
	// lost answer.
	storeAttempts = 5
	// silence is how long the watch may deliver nothing before it is reopened.
	silence = 3 * time.Second
	// reopenDelay separates two watches.
	reopenDelay = 250 * time.Millisecond
	// dutyHosts is the number of hosts, besides the one that accepted a
	// withdrawal, that try to persist it.
	dutyHosts = 2
	// watchersPerZone is the number of hosts of a zone that watch the store.
	watchersPerZone = 2
	// aliveLimit is the longest silence of members of the own cell that count
	// for duties.
	aliveLimit = 3 * time.Second
	// interval is the time between two looks at the digests of other hosts, at
	// withdrawals that are not persisted, and at a store that failed.
	interval = time.Second
)

// readShard merges one shard from the store.
func (r *Registry) readShard(ctx context.Context, n int) error {
	s, _, err := r.get(ctx, n)
	if err != nil {
		return err
	}
	r.merge(n, s)
	return nil
}

// merge adds what the store holds in a shard.
func (r *Registry) merge(n int, s shard) {
	r.table.merge(r.clock.Now(), s)
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := entryOf(s); e.Count > r.read[n].Count {
		r.read[n] = e
	}
}

// get returns a shard and its version, 0 for one that does not exist.
func (r *Registry) get(ctx context.Context, n int) (shard, quetzalhook.Version, error) {
	var s shard
	version, err := r.decode(ctx, shardKey(n), &s)
	return s, version, err
}

// decode reads an object into v, which stays as it is if there is none.
func (r *Registry) decode(ctx context.Context, key string, v any) (quetzalhook.Version, error) {
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

// update changes a shard by conditional writes and returns it. Change reports
// whether the shard has to be written; after a lost answer it sees its own
// effect.
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

// rewrite replaces an object by conditional writes until one is known to have
// taken effect. Change returns the new value, nil to leave the object.
func (r *Registry) rewrite(ctx context.Context, key string, change func(data []byte) (any, error)) error {
	var err error
	for range storeAttempts {
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

func unmarshal(data []byte, v any) error {
	if len(data) == 0 {
		return nil
	}
	if err := cbor.Unmarshal(data, v); err != nil {
		return &Error{Op: "read", Kind: ErrorCorrupt, Err: err}
	}
	return nil
}

// persist adds withdrawals to their shard, then to the index. They count as
// persisted after both, so that another attempt completes an interrupted one.
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

// persistLoop writes withdrawals that are not in the store yet.
func (r *Registry) persistLoop(ctx context.Context) {
	for timing.Sleep(ctx, interval) {
		for n, ids := range r.table.pending(r.duty()) {
			if err := r.persist(ctx, n, ids); err != nil {
				r.log.WithError(err).Debug("withdrawals not persisted yet")
				break // one failed call a round is enough while the store is down
			}
		}
	}
}

// duty returns a function that tells whether this host persists a withdrawal
// of another host, which may not be able to: the highest ranks of the hosts
// that are alive do.
func (r *Registry) duty() func(id ID) bool {
	members := r.peers.Members()
	return func(id ID) bool {
		return r.isAmong(string(id[:]), dutyHosts, members, func(quetzalhook.Member) bool { return true })
	}
}

// isAmong reports whether this host has one of the n highest ranks among the
// members that are alive and eligible.
func (r *Registry) isAmong(name string, n int, members []quetzalhook.Member, eligible func(quetzalhook.Member) bool) bool {
	mine, ahead := rank(name, r.self.Host), 0
	for _, m := range members {
		if m.IsAlive(aliveLimit) && !m.Draining && eligible(m) && rank(name, m.Host) > mine {
			ahead++
		}
	}
	return ahead < n
}

func (r *Registry) isWatcher() bool {
	return r.isAmong("key", watchersPerZone, r.peers.Members(), func(m quetzalhook.Member) bool { return m.Zone == r.self.Zone })
}

// followStore loads all keys, then watches them while this host is a watcher.
func (r *Registry) followStore(ctx context.Context) {
	var after quetzalhook.Version
	for delay := time.Duration(0); timing.Sleep(ctx, delay); {
		// Jitter by host keeps the hosts apart after an outage.
		delay = interval/2 + time.Duration(rank(r.clock.Now().String(), r.self.Host)%uint64(interval))
		if !r.isLoaded() {
			version, err := r.load(ctx)
			if err != nil {
				r.log.WithError(err).Debug("keys not loaded yet")
				continue
			}
			after = max(after, version)
		}
		if !r.isWatcher() {
			continue
		}
		begin := r.clock.Now()
		if err := r.readIndex(ctx); err != nil {
			r.log.WithError(err).Debug("withdrawn keys not read")
			continue
		}
		r.setLoaded(begin)
		after = r.watch(ctx, after)
		delay = reopenDelay
	}
}

func (r *Registry) isLoaded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.loaded
}

// load reads all shards from the store or, without it, from a peer.
func (r *Registry) load(ctx context.Context) (quetzalhook.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	begin := r.clock.Now()
	list, err := r.store.List(ctx, storePrefix)
	if err != nil {
		if err := r.pullAll(ctx); err != nil {
			return 0, err
		}
		r.setLoaded(time.Time{})
		return 0, nil
	}
	var version quetzalhook.Version
	for _, o := range list.Objects {
		r.take(o)
		version = max(version, o.Version)
	}
	r.setLoaded(begin)
	return version, nil
}

// setLoaded records that the keys are loaded and the time of the latest
// contact with the store, if there was one.
func (r *Registry) setLoaded(contact time.Time) {
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

// watch merges the events of one watch until it ends or is silent, and
// returns the last store version seen.
func (r *Registry) watch(ctx context.Context, after quetzalhook.Version) quetzalhook.Version {
	settings := watch.Settings{Prefix: storePrefix, Opening: callTimeout, Silence: silence, Fixed: true}
	return watch.Follow(ctx, r.store, settings, after, func(_ context.Context, o quetzalhook.Object) bool {
		r.take(o)
		return true
	})
}

// take merges one object.
func (r *Registry) take(o quetzalhook.Object) {
	n, ok := shardOf(o.Key)
	if !ok || o.Deleted {
		return
	}
	var s shard
	if err := unmarshal(o.Value, &s); err != nil {
		r.log.WithError(err).WithField("key", o.Key).Error("stored keys do not decode")
		return
	}
	r.merge(n, s)
}
