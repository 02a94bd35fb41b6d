package quarantine

import (
	"slices"
	"time"
)

const (
	// maxSuspicions bounds the suspicions of a table.
	maxSuspicions = 8
	// probeTime is the time after which a probe that has shown nothing is given up.
	probeTime = 2 * time.Second
)

// Suspicion is a set of parts that may have crashed several engines, without the
// evidence for a quarantine: the engines crashed at the same time, as they do when a
// rack is lost, or the quarantine of the parts has expired. Requests with all of the
// parts are to be sent one at a time, as probes, until one of them is answered.
type Suspicion struct {
	parts []Part
	since time.Time // last crash, or the end of the quarantine
	probe time.Time // start of the last probe; zero if there was none
}

// Parts returns the parts.
func (s *Suspicion) Parts() []Part { return s.parts }

// Key identifies the suspicion among all others.
func (s *Suspicion) Key() string { return key(s.parts) }

// BeginProbe reports whether a request with the parts may be sent now. The result of a
// probe before it must be known, and a crash must be told from the last one.
func (s *Suspicion) BeginProbe(now time.Time) bool {
	if !s.probe.IsZero() && now.Sub(s.probe) < probeTime || now.Sub(s.since) < crashSeparation {
		return false
	}
	s.probe = now
	return true
}

func (s *Suspicion) matches(request []Part) bool {
	return !slices.ContainsFunc(s.parts, func(p Part) bool { return !p.isIn(request) })
}

// Suspect returns a suspicion whose parts a request has, or nil.
func (t *Table) Suspect(now time.Time, request []Part) *Suspicion {
	for _, s := range t.suspicions {
		if s.matches(request) && !now.Before(s.since) && now.Sub(s.since) < t.duration {
			return s
		}
	}
	return nil
}

// Suspicion returns the suspicion with a key, or nil.
func (t *Table) Suspicion(key string) *Suspicion {
	for _, s := range t.suspicions {
		if s.Key() == key {
			return s
		}
	}
	return nil
}

// updateSuspicions finds the suspicions that follow from the crashes. A probe goes on
// unless there was a crash since.
func (t *Table) updateSuspicions() {
	old := t.suspicions
	t.suspicions = nil
	add := func(parts []Part, since time.Time) *Suspicion {
		s := &Suspicion{parts: parts, since: since}
		for _, o := range old {
			if o.Key() == s.Key() && !since.After(o.since) {
				s = o
			}
		}
		t.suspicions = append(t.suspicions, s)
		return s
	}
	var found []*Quarantine // as if the suspicions were quarantines
	isExplained := func(c *crash) bool {
		return t.isExplained(c) || slices.ContainsFunc(found, func(q *Quarantine) bool { return q.explains(c) })
	}
	for len(t.suspicions) < maxSuspicions {
		s := t.mostSuspect(isExplained, t.isSuspected)
		if s == nil {
			break
		}
		parts := t.indistinguishable(s)
		add(parts, s.crashes[len(s.crashes)-1].at)
		found = append(found, &Quarantine{parts: parts})
	}
	for _, q := range t.quarantines {
		if parts := q.Parts(); len(parts) > 0 {
			add(parts, q.until)
		}
	}
}

// isSuspected reports whether so many engines have crashed under a part, at any times,
// that it may be the cause: nothing is known of an answer to it, and it is implicated in
// most crashes since the first.
func (t *Table) isSuspected(s *suspect) bool {
	return !s.answered && len(s.crashes) >= minCrashes && float64(len(s.crashes)) >= minShareUnanswered*float64(s.crashesSince)
}
