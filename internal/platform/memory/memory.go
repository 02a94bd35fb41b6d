// Package memory simulates the platform in memory for tests and simulated
// servers: its object store, the network between hosts, and the API for orders
// and usage reports. Callers can inject faults.
//
// All objects of a store share one increasing version. Injected faults fail or
// delay calls, lose responses, make reads stale and stop the events of watches; a
// conditional write is always applied atomically or not at all.
package memory

import (
	"context"
	"sort"
	"strings"
	"sync"

	"quetzalhook"
)

// watchBuffer is the number of undelivered events of a watch above which the
// watch is ended.
const watchBuffer = 4096

// Store is an in-memory quetzalhook.Store.
type Store struct {
	mu           sync.Mutex
	version      quetzalhook.Version
	objects      map[string]quetzalhook.Object
	history      []quetzalhook.Object
	historyStart quetzalhook.Version // version of the newest change removed from history
	watches      map[*watch]struct{}
	faults       Faults
	counts       Counts
	staleObjects map[string]quetzalhook.Object // what reads return while StaleReads is set, else nil
	era          int64                         // 0 if the store does not name eras
}

// Counts holds the number of calls since the store was created.
type Counts struct {
	Reads   int64
	Writes  int64
	Watches int64
	Open    int64 // currently open watches
}

// Option sets one property of a Store.
type Option func(*Store)

// WithEras makes the store name its era, which rises each time it returns from a copy. The
// first one is 1.
func WithEras() Option {
	return func(s *Store) { s.era, s.version = 1, quetzalhook.NewVersion(1, 0) }
}

// New returns an empty store.
func New(opts ...Option) *Store {
	s := &Store{
		objects: make(map[string]quetzalhook.Object),
		watches: make(map[*watch]struct{}),
	}
	for _, o := range opts {
		o(s)
	}
	return s
}

// Get returns an object.
func (s *Store) Get(ctx context.Context, key string) (quetzalhook.Object, error) {
	if err := s.injectFaults(ctx, "get", key, false); err != nil {
		return quetzalhook.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Reads++
	o, ok := s.readObjects()[key]
	if !ok {
		return quetzalhook.Object{}, storeError("get", key, quetzalhook.StoreNotFound)
	}
	return o, nil
}

// List returns all objects whose key starts with prefix.
func (s *Store) List(ctx context.Context, prefix string) (quetzalhook.Listing, error) {
	if err := s.injectFaults(ctx, "list", prefix, false); err != nil {
		return quetzalhook.Listing{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Reads++
	var list []quetzalhook.Object
	for key, o := range s.readObjects() {
		if strings.HasPrefix(key, prefix) {
			list = append(list, o)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	return quetzalhook.Listing{Objects: list, Version: s.version}, nil
}

// ListStale returns the same as List: the in-memory store has no older state to
// serve, except while the fault StaleReads is set.
func (s *Store) ListStale(ctx context.Context, prefix string) (quetzalhook.Listing, error) {
	return s.List(ctx, prefix)
}

// Put writes value if the object's version is base, 0 for a new object.
func (s *Store) Put(ctx context.Context, key string, value []byte, base quetzalhook.Version) (quetzalhook.Version, error) {
	if len(value) > quetzalhook.MaxValueSize {
		return 0, storeError("put", key, quetzalhook.StoreTooLarge)
	}
	o := quetzalhook.Object{Key: key, Value: append([]byte(nil), value...)}
	return s.write(ctx, "put", o, base)
}

// Delete removes an object if its version is base.
func (s *Store) Delete(ctx context.Context, key string, base quetzalhook.Version) error {
	_, err := s.write(ctx, "delete", quetzalhook.Object{Key: key, Deleted: true}, base)
	return err
}

// write makes a conditional write, subject to the injected faults.
func (s *Store) write(ctx context.Context, op string, o quetzalhook.Object, base quetzalhook.Version) (quetzalhook.Version, error) {
	if err := s.injectFaults(ctx, op, o.Key, true); err != nil {
		return 0, err
	}
	if s.delayWrite(o, base) {
		return 0, storeError(op, o.Key, quetzalhook.StoreUnknown)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	version, err := s.apply(o, base)
	return version, s.loseAnswer(op, o.Key, err)
}

// apply makes a conditional write and notifies the watches. The caller holds
// s.mu.
func (s *Store) apply(o quetzalhook.Object, base quetzalhook.Version) (quetzalhook.Version, error) {
	s.counts.Writes++
	current, ok := s.objects[o.Key]
	switch {
	case o.Deleted && !ok:
		return 0, storeError("delete", o.Key, quetzalhook.StoreNotFound)
	case current.Version != base:
		return 0, storeError("change", o.Key, quetzalhook.StoreConflict)
	}
	s.version++
	o.Version = s.version
	if o.Deleted {
		delete(s.objects, o.Key)
	} else {
		s.objects[o.Key] = o
	}
	s.history = append(s.history, o)
	s.notify(o)
	return o.Version, nil
}

// readObjects returns the objects that reads return. The caller holds s.mu.
func (s *Store) readObjects() map[string]quetzalhook.Object {
	if s.staleObjects != nil {
		return s.staleObjects
	}
	return s.objects
}

// Counts returns the number of calls so far and of open watches.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counts
	c.Open = int64(len(s.watches))
	return c
}

func storeError(op, key string, kind quetzalhook.StoreErrorKind) error {
	return &quetzalhook.StoreError{Op: op, Key: key, Kind: kind}
}
