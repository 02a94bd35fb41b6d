package lease

import (
	"context"
	"slices"

	"quetzalhook"
	"quetzalhook/internal/fleet/rendezvous"
)

// Open returns the intents without a known outcome in the object as this host
// last saw it.
func (l *Lease) Open() []Intent {
	l.op <- struct{}{}
	defer func() { <-l.op }()
	return slices.Clone(l.doc.Intents)
}

// Resolve removes the open intents for which resolved is true. The caller
// says so only if the effect of the order was seen or if the process that
// wrote the intent is known to be dead. Only the holder may resolve.
func (l *Lease) Resolve(ctx context.Context, resolved func(Intent) bool) error {
	l.op <- struct{}{}
	defer func() { <-l.op }()
	l.expire()
	if l.machine.State() != stateHolding {
		return l.fail("resolve", KindNotHolder, nil)
	}
	drop := func(i Intent) bool { return l.own[i.ID] != sending && resolved(i) }
	err := l.write(ctx, func(d *document) error {
		if !l.isMine(*d) {
			return errNotHolder
		}
		if !d.remove(drop) {
			return errNoChange
		}
		return nil
	})
	if err != nil {
		return l.lost("resolve", err)
	}
	return nil
}

// Confirm removes an open intent because an operator states that the process
// that wrote it sends nothing more. Any host may record the confirmation.
func (l *Lease) Confirm(ctx context.Context, id string) error {
	l.op <- struct{}{}
	defer func() { <-l.op }()
	l.known = false
	found := false
	err := l.write(ctx, func(d *document) error {
		if !d.remove(func(i Intent) bool { return i.ID == id }) {
			return errNoChange
		}
		found = true
		return nil
	})
	switch {
	case err != nil:
		return l.fail("confirm", KindStore, err)
	case !found:
		return l.fail("confirm", KindUnknownIntent, nil)
	}
	return nil
}

// candidates is the number of hosts that compete for a role. More would only
// add reads of the object.
const candidates = 4

// IsCandidate reports whether self is among the hosts that should compete for
// a role when members are the live hosts, self included or not.
func IsCandidate(role string, self quetzalhook.HostID, members []quetzalhook.HostID) bool {
	hosts := members
	if !slices.Contains(hosts, self) {
		hosts = append(slices.Clone(members), self)
	}
	ranked := rendezvous.Rank(role, hosts)
	return slices.Contains(ranked[:min(candidates, len(ranked))], self)
}
