// Package memory implements the platform's Store in memory, with faults that
// tests and stand-ins switch on and off.
//
// All objects share one increasing version. A fault never breaks the store's
// own rules: conditional updates stay atomic, and only the answers, the reads
// and the watches misbehave.
package memory

import (
	"context"
	"sort"
	"strings"
	"sync"

	"quetzalhook"
)

// watchBuffer is the number of events that a slow watcher may lag behind
// before its watch is ended.
const watchBuffer = 4096

// Store is an in-memory quetzalhook.Store.
type Store struct {
	mu      sync.Mutex
	version quetzalhook.Version
	objects map[string]quetzalhook.Object
	history []quetzalhook.Object
	dropped quetzalhook.Version // newest change that history does not hold
	watches map[*watch]struct{}
	faults  Faults
	counts  Counts
	frozen  map[string]quetzalhook.Object // what reads see while they are stale
}

// Counts holds the number of calls since the store was created.
type Counts struct {
	Reads   int64
	Writes  int64
	Watches int64
	Open    int64 // watches open now
}

// New returns an empty store.
func New() *Store {
	return &Store{
		objects: make(map[string]quetzalhook.Object),
		watches: make(map[*watch]struct{}),
	}
}

// Get returns an object.
func (s *Store) Get(ctx context.Context, key string) (quetzalhook.Object, error) {
	if err := s.before(ctx, "get", key, false); err != nil {
		return quetzalhook.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Reads++
	o, ok := s.readable()[key]
	if !ok {
		return quetzalhook.Object{}, storeError("get", key, quetzalhook.StoreNotFound)
	}
	return o, nil
}

// List returns all objects whose key starts with prefix.
func (s *Store) List(ctx context.Context, prefix string) (quetzalhook.Listing, error) {
	if err := s.before(ctx, "list", prefix, false); err != nil {
		return quetzalhook.Listing{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Reads++
	var list []quetzalhook.Object
	for key, o := range s.readable() {
		if strings.HasPrefix(key, prefix) {
			list = append(list, o)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	return quetzalhook.Listing{Objects: list, Version: s.version}, nil
}

// Put writes value if the object's version is base.
func (s *Store) Put(ctx context.Context, key string, value []byte, base quetzalhook.Version) (quetzalhook.Version, error) {
	if len(value) > quetzalhook.MaxValueSize {
		return 0, storeError("put", key, quetzalhook.StoreTooLarge)
	}
	o := quetzalhook.Object{Key: key, Value: append([]byte(nil), value...)}
	return s.change(ctx, "put", o, base)
}

// Delete removes an object if its version is base.
func (s *Store) Delete(ctx context.Context, key string, base quetzalhook.Version) error {
	_, err := s.change(ctx, "delete", quetzalhook.Object{Key: key, Deleted: true}, base)
	return err
}

func (s *Store) change(ctx context.Context, op string, o quetzalhook.Object, base quetzalhook.Version) (quetzalhook.Version, error) {
	if err := s.before(ctx, op, o.Key, true); err != nil {
		return 0, err
	}
	if s.postpone(o, base) {
		return 0, storeError(op, o.Key, quetzalhook.StoreUnknown)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	version, err := s.apply(o, base)
	return version, s.answer(op, o.Key, err)
}

// apply makes a conditional change. The caller holds s.mu.
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

// readable returns the objects that reads see.
func (s *Store) readable() map[string]quetzalhook.Object {
	if s.frozen != nil {
		return s.frozen
	}
	return s.objects
}

// Counts returns the calls so far.
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
