package memory

import (
	"context"
	"strings"
	"sync"

	"quetzalhook"
)

type watch struct {
	store  *Store
	prefix string
	events chan quetzalhook.Object
	once   sync.Once
	stop   func() bool
}

// Watch delivers changes under prefix with a version above after, first those
// already made.
func (s *Store) Watch(ctx context.Context, prefix string, after quetzalhook.Version) (quetzalhook.Watch, error) {
	if err := s.before(ctx, "watch", prefix, false); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Watches++
	if after < s.dropped {
		return nil, storeError("watch", prefix, quetzalhook.StoreHistoryGone)
	}
	w := &watch{store: s, prefix: prefix, events: make(chan quetzalhook.Object, watchBuffer)}
	s.watches[w] = struct{}{}
	w.stop = context.AfterFunc(ctx, func() { w.end() })
	for _, o := range s.history {
		if o.Version > after {
			s.deliver(w, o)
		}
	}
	return w, nil
}

// ForgetHistory drops all past changes and ends all watches: a watch that
// starts before now fails.
func (s *Store) ForgetHistory() {
	s.EndWatches()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.dropped = nil, s.version
}

// EndWatches ends all open watches.
func (s *Store) EndWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for w := range s.watches {
		s.drop(w)
	}
}

// notify hands a change to all watches. The caller holds s.mu.
func (s *Store) notify(o quetzalhook.Object) {
	for w := range s.watches {
		s.deliver(w, o)
	}
}

// deliver hands a change to one watch and ends a watch that has fallen
// behind. The caller holds s.mu.
func (s *Store) deliver(w *watch, o quetzalhook.Object) {
	if s.faults.SilentWatches || s.faults.Outage || !strings.HasPrefix(o.Key, w.prefix) {
		return
	}
	if _, open := s.watches[w]; !open {
		return
	}
	select {
	case w.events <- o:
	default:
		s.drop(w)
	}
}

// drop ends a watch. The caller holds s.mu.
func (s *Store) drop(w *watch) {
	w.once.Do(func() {
		delete(s.watches, w)
		close(w.events)
	})
}

// Events returns the changes.
func (w *watch) Events() <-chan quetzalhook.Object { return w.events }

// Err returns why the watch ended.
func (w *watch) Err() error {
	return storeError("watch", w.prefix, quetzalhook.StoreUnavailable)
}

// Close ends the watch.
func (w *watch) Close() error {
	w.stop()
	w.end()
	return nil
}

func (w *watch) end() {
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	w.store.drop(w)
}
