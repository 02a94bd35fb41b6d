package memory

import (
	"context"
	"maps"
	"strings"
	"time"

	"quetzalhook"
)

// Faults selects how the store misbehaves. The zero value is a healthy store.
type Faults struct {
	// Outage makes every call fail without effect and silences watches.
	Outage bool
	// Delay is added to every call.
	Delay time.Duration
	// LoseAnswers is the number of further changes whose answer is lost after
	// the effect.
	LoseAnswers int
	// LosePrefix restricts LoseAnswers and LateChanges to keys with this prefix.
	LosePrefix string
	// LateChanges is the number of further changes whose answer is lost at
	// once and that are tried only LateBy later.
	LateChanges int
	// LateBy is the delay of LateChanges.
	LateBy time.Duration
	// StaleReads makes reads return the state from when it was switched on.
	StaleReads bool
	// SilentWatches makes open and new watches deliver nothing.
	SilentWatches bool
}

// SetFaults replaces the active faults. Events that a silent watch missed
// are not delivered later.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.StaleReads && !s.faults.StaleReads {
		s.frozen = maps.Clone(s.objects)
	}
	if !f.StaleReads {
		s.frozen = nil
	}
	s.faults = f
}

// Faults returns the active faults.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// before applies delay and outage to a call.
func (s *Store) before(ctx context.Context, op, key string, _ bool) error {
	f := s.Faults()
	if f.Delay > 0 {
		timer := time.NewTimer(f.Delay)
		defer timer.Stop()
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
	}
	if err := ctx.Err(); err != nil {
		return &quetzalhook.StoreError{Op: op, Key: key, Kind: quetzalhook.StoreUnavailable, Err: err}
	}
	if f.Outage {
		return storeError(op, key, quetzalhook.StoreUnavailable)
	}
	return nil
}

// answer replaces the answer of a change by StoreUnknown when it is to be
// lost. The caller holds s.mu.
func (s *Store) answer(op, key string, err error) error {
	if s.faults.LoseAnswers <= 0 || !strings.HasPrefix(key, s.faults.LosePrefix) {
		return err
	}
	s.faults.LoseAnswers--
	return storeError(op, key, quetzalhook.StoreUnknown)
}

// postpone takes a change that is to be tried later and reports whether it
// did. A postponed change keeps its base version and may fail unseen.
func (s *Store) postpone(o quetzalhook.Object, base quetzalhook.Version) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LateChanges <= 0 || !strings.HasPrefix(o.Key, s.faults.LosePrefix) {
		return false
	}
	s.faults.LateChanges--
	time.AfterFunc(s.faults.LateBy, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		_, _ = s.apply(o, base) // nobody waits for the answer
	})
	return true
}
