package lease

import (
	"slices"

	"quetzalhook"
)

// Status is what operators see of a role on one host.
type Status struct {
	Role string `json:"role"`
	// Held reports whether this host believes that it holds the role.
	Held    bool   `json:"held"`
	Fencing uint64 `json:"fencing"`
	// TermLeftMS is the rest of the term that this host believes in, in ms.
	TermLeftMS int64 `json:"term-left-ms"`
	// Holder and Open are from the object as this host last saw it. SeenMS is
	// the time since its version was first seen, in ms: above the term, the
	// role is vacant or the store cannot be reached.
	Holder quetzalhook.HostID `json:"holder"`
	Open   []Intent           `json:"open-intents"`
	SeenMS int64              `json:"seen-ms"`
	State  string             `json:"state"`
}

// Status returns a snapshot without a call to the store. Hosts that are not
// candidates do not follow the object and show it as they last saw it.
func (l *Lease) Status() Status {
	now := l.clock.Now()
	l.op <- struct{}{}
	defer func() { <-l.op }()
	l.mu.Lock()
	defer l.mu.Unlock()
	s := Status{
		Role: l.role, Held: now.Before(l.until), Fencing: l.doc.Fencing, Holder: l.doc.Holder,
		Open: slices.Clone(l.doc.Intents), State: string(l.machine.State()),
	}
	if s.Held {
		s.TermLeftMS = l.until.Sub(now).Milliseconds()
	}
	if !l.seenAt.IsZero() {
		s.SeenMS = now.Sub(l.seenAt).Milliseconds()
	}
	return s
}
