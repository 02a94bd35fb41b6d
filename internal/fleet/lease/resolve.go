package lease

import (
	"context"
	"slices"

	"quetzalhook"
	"quetzalhook/internal/fleet/rendezvous"
)

// OpenIntents returns the intents with unknown outcome, from the object as this
// host last saw it.
func (l *Lease) OpenIntents() []Intent {
	l.opLock <- struct{}{}
	defer func() { <-l.opLock }()
	return slices.Clone(l.doc.Intents)
}

// Resolve removes the open intents for which resolved returns true. The function
// resolved must return true only if the effect of the order was seen or if the
// process that wrote the intent is known to be dead. Only the holder may call
// Resolve.
func (l *Lease) Resolve(ctx context.Context, resolved func(Intent) bool) error {
	l.opLock <- struct{}{}
	defer func() { <-l.opLock }()
	l.expire()
	if l.machine.State() != stateHolding {
		return l.fail("resolve", KindNotHolder, nil)
	}
	drop := func(i Intent) bool { return l.ownIntents[i.ID] != sending && resolved(i) }
	err := l.write(ctx, func(d *document) error {
		if !l.isHeldInEra(*d) {
			return errNotHolder
		}
		if !d.remove(drop) {
			return errNoChange
		}
		return nil
	})
	if err != nil {
		return l.handleWriteError("resolve", err)
	}
	return nil
}

// Confirm removes the open intent with the given ID after an operator has stated
// that the process that wrote it will not send it again. Any host may call it.
func (l *Lease) Confirm(ctx context.Context, id string) error {
	l.opLock <- struct{}{}
	defer func() { <-l.opLock }()
	l.docKnown = false
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

// maxCandidates is the number of hosts that compete for a role. More hosts
// would only add reads of the object.
const maxCandidates = 4

// IsCandidate reports whether self is among the hosts that should compete for a
// role. The members are the live hosts; self counts as one even if not listed.
func IsCandidate(role string, self quetzalhook.HostID, members []quetzalhook.HostID) bool {
	hosts := members
	if !slices.Contains(hosts, self) {
		hosts = append(slices.Clone(members), self)
	}
	ranked := rendezvous.Rank(role, hosts)
	return slices.Contains(ranked[:min(maxCandidates, len(ranked))], self)
}
