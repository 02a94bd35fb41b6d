package memory

import (
	"context"
	"strings"
	"sync"

	"quetzalhook"
)

// watch implements quetzalhook.Watch.
type watch struct {
	store  *Store
	prefix string
	events chan quetzalhook.Object
	once   sync.Once
	stop   func() bool
}

// Watch delivers the changes to keys with prefix and a version above after,
// starting with those already made.
func (s *Store) Watch(ctx context.Context, prefix string, after quetzalhook.Version) (quetzalhook.Watch, error) {
	if err := s.injectFaults(ctx, "watch", prefix, false); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Watches++
	if after < s.historyStart || after > s.version {
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

// ForgetHistory drops all past changes and ends all watches, so that a watch
// that starts from a version before the current one fails.
func (s *Store) ForgetHistory() {
	s.EndWatches()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.historyStart = nil, s.version
}

// EndWatches ends all open watches.
func (s *Store) EndWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for w := range s.watches {
		s.endLocked(w)
	}
}

// notify delivers a change to all watches. The caller holds s.mu.
func (s *Store) notify(o quetzalhook.Object) {
	for w := range s.watches {
		s.deliver(w, o)
	}
}

// deliver delivers a change to one watch, or ends the watch if its buffer is
// full. The caller holds s.mu.
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
		s.endLocked(w)
	}
}

// endLocked ends a watch. The caller holds s.mu.
func (s *Store) endLocked(w *watch) {
	w.once.Do(func() {
		delete(s.watches, w)
		close(w.events)
	})
}

// Events implements quetzalhook.Watch.
func (w *watch) Events() <-chan quetzalhook.Object { return w.events }

// Err implements quetzalhook.Watch. It always returns the same error.
func (w *watch) Err() error {
	return storeError("watch", w.prefix, quetzalhook.StoreUnavailable)
}

// Close implements quetzalhook.Watch.
func (w *watch) Close() error {
	w.stop()
	w.end()
	return nil
}

func (w *watch) end() {
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	w.store.endLocked(w)
}
