package memory

import (
	"context"
	"maps"
	"strings"
	"time"

	"quetzalhook"
)

// Faults selects the faults of a Store. The zero value is a healthy store.
type Faults struct {
	// Outage makes every call fail without effect and stops the events of all
	// watches.
	Outage bool
	// Delay is added to every call.
	Delay time.Duration
	// LoseAnswers is the number of further writes that are processed but whose
	// response is lost.
	LoseAnswers int
	// LosePrefix restricts LoseAnswers and LateChanges to keys with this prefix.
	LosePrefix string
	// LateChanges is the number of further writes whose response is lost
	// immediately and that are applied only after LateBy, unless their base
	// version is outdated by then.
	LateChanges int
	// LateBy is the delay of LateChanges.
	LateBy time.Duration
	// StaleReads makes reads return the state of the store at the time when this
	// fault was activated.
	StaleReads bool
	// SilentWatches makes open and new watches deliver no events.
	SilentWatches bool
}

// SetFaults replaces the active faults. Events that a watch did not deliver
// because of SilentWatches or Outage are not delivered later.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.StaleReads && !s.faults.StaleReads {
		s.staleObjects = maps.Clone(s.objects)
	}
	if !f.StaleReads {
		s.staleObjects = nil
	}
	s.faults = f
}

// Faults returns the active faults.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// injectFaults applies the Delay and Outage faults to a call. It returns the error
// with which the call fails, or nil.
func (s *Store) injectFaults(ctx context.Context, op, key string, _ bool) error {
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

// loseAnswer returns the error of a write, or StoreUnknown if the LoseAnswers
// fault applies to it. The caller holds s.mu.
func (s *Store) loseAnswer(op, key string, err error) error {
	if s.faults.LoseAnswers <= 0 || !strings.HasPrefix(key, s.faults.LosePrefix) {
		return err
	}
	s.faults.LoseAnswers--
	return storeError(op, key, quetzalhook.StoreUnknown)
}

// delayWrite schedules a write for later if the LateChanges fault applies to it,
// and reports whether it does. The write keeps its base version; if it then
// fails, the failure is not reported.
func (s *Store) delayWrite(o quetzalhook.Object, base quetzalhook.Version) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LateChanges <= 0 || !strings.HasPrefix(o.Key, s.faults.LosePrefix) {
		return false
	}
	s.faults.LateChanges--
	time.AfterFunc(s.faults.LateBy, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		_, _ = s.apply(o, base) // the caller has already got StoreUnknown
	})
	return true
}
