package lease

import (
	"slices"

	"quetzalhook"
)

// Status is the operators' view of a role on one host.
type Status struct {
	Role string `json:"role"`
	// Held reports whether this host holds the role by its own clock.
	Held    bool   `json:"held"`
	Fencing uint64 `json:"fencing"`
	// TermLeftMS is the remaining time of this host's term in ms; 0 if the role
	// is not held.
	TermLeftMS int64 `json:"term-left-ms"`
	// Holder and Open, like Fencing, are from the object as this host last saw
	// it. SeenMS is the time in ms since this host first saw the version that it
	// last read. If it exceeds the term, the role is vacant or this host does not
	// reach the store.
	Holder quetzalhook.HostID `json:"holder"`
	Open   []Intent           `json:"open-intents"`
	SeenMS int64              `json:"seen-ms"`
	State  string             `json:"state"`
}

// Status returns a snapshot without a call to the store. Hosts that are not
// candidates do not poll the object, so their snapshot may be old.
func (l *Lease) Status() Status {
	now, era := l.clock.Now(), l.store.Era()
	l.opLock <- struct{}{}
	defer func() { <-l.opLock }()
	l.mu.Lock()
	defer l.mu.Unlock()
	s := Status{
		Role: l.role, Held: l.isHeldAt(now, era), Fencing: l.doc.Fencing, Holder: l.doc.Holder,
		Open: slices.Clone(l.doc.Intents), State: string(l.machine.State()),
	}
	if s.Held {
		s.TermLeftMS = l.termEnd.Sub(now).Milliseconds()
	}
	if !l.seenAt.IsZero() {
		s.SeenMS = now.Sub(l.seenAt).Milliseconds()
	}
	return s
}
