package lease

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"quetzalhook"
)

// eraTokenBits is the width of the part of a fencing token that grows within an era. The
// store loses fewer changes than that when it comes back from a copy.
const eraTokenBits = 20

// eraView is what a process has seen of the eras of the store.
type eraView struct {
	known  bool // whether an answer has told the era
	newest int64
	since  time.Time // when this process first heard of newest
}

// answered records that the store has answered. Unless an answer named an era before, the
// store names none.
func (e *eraView) answered() { e.known = true }

// hasEnded reports whether the store has come back from a copy. A store whose number was above 0
// from the start counts as one that has.
func (e *eraView) hasEnded() bool { return e.newest > 1 }

// isLater reports whether the newest era is later than the one that an object names. An
// object that names none was written by a host of an older build, perhaps before the store
// came back.
func (e *eraView) isLater(era int64) bool { return e.newest > max(era, 1) }

// observeEra takes note of the newest era of the store. When it rises, the role ends, and the
// answers to earlier writes have no meaning any more.
func (l *Lease) observeEra() {
	era, before := l.store.Era(), l.eras.newest
	if era <= before {
		return
	}
	l.eras.newest, l.eras.since = era, l.clock.Now()
	if !l.eras.known {
		l.eras.known = true
		return
	}
	l.docKnown, l.seenAt = false, time.Time{}
	clear(l.sentAt)
	for _, i := range l.doc.Intents {
		if l.mayTakeEffect(i) {
			l.lostIntents = append(l.lostIntents, i)
		}
	}
	if l.machine.State() == stateHolding {
		l.fire(eventExpire)
		l.log.WithFields(logrus.Fields{
			"era": quetzalhook.EraNumber(era), "before": quetzalhook.EraNumber(before), "fencing": l.doc.Fencing, "revision": l.version,
		}).Warn("lease ended with the era of the store")
	}
}

// mayTakeEffect reports whether an intent is of an order of this process that was sent and
// whose outcome is unknown.
func (l *Lease) mayTakeEffect(i Intent) bool {
	state := l.ownIntents[i.ID]
	return l.IsOwn(i) && (state == sending || state == outcomeUnknown)
}

// restoreIntents adds the intents that the store has lost, and reports whether there were any.
func (l *Lease) restoreIntents(d *document) bool {
	n := len(d.Intents)
	for _, i := range l.lostIntents {
		if l.mayTakeEffect(i) && !d.hasIntent(i.ID) {
			d.Intents = append(d.Intents, i)
		}
	}
	return len(d.Intents) > n
}

// maxToken returns the largest fencing token that may be in an object: each was given by a
// write of its own, and rises with the eras.
func maxToken(era int64, version quetzalhook.Version) uint64 {
	return uint64(era)<<eraTokenBits + uint64(version.Revision())
}

// heldUntilReturn reports whether this process held the role when the store came back, and its
// term has not passed: nobody else can have taken the role since, nor been given a higher token.
func (l *Lease) heldUntilReturn(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.termEra < l.eras.newest && now.Before(l.termEnd)
}

// nextToken returns the token for a holder that replaces the object as it was last read. If
// the store may have lost tokens since, or a write of an earlier era may have replaced them,
// it is above all that could be given so far. Hosts of older builds reject a token above the
// revision of the object: without eras that have ended tokens stay in that bound, and beside
// such hosts too, once the revisions have passed those of the lost tokens.
func (l *Lease) nextToken(ctx context.Context) (uint64, error) {
	next := max(l.doc.Fencing, l.topToken) + 1
	isMissing := l.version == 0
	if l.heldUntilReturn(l.clock.Now()) {
		return next, nil
	}
	if !l.eras.isLater(l.doc.Era) && !(isMissing && l.eras.hasEnded()) {
		return next, nil
	}
	version, hasOlder := l.version, l.hasOlder()
	if isMissing || hasOlder {
		list, err := l.store.List(ctx, l.key)
		if err != nil {
			return 0, errors.Wrap(err, "reading the revision of the store")
		}
		version = list.Version
	}
	if hasOlder {
		return max(next, maxToken(0, version)+1), nil
	}
	return max(next, maxToken(l.eras.newest, version)+1), nil
}
