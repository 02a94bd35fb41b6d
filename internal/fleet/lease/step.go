package lease

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"quetzalhook"
	"quetzalhook/internal/state/chart"
	"quetzalhook/internal/state/invariant"
)

const (
	eventChallenge chart.Event = "challenge"
	eventWin       chart.Event = "win"
	eventRenew     chart.Event = "renew"
	eventLose      chart.Event = "lose"
	eventExpire    chart.Event = "expire"
	eventYield     chart.Event = "yield"
	eventRelease   chart.Event = "release"
	eventClose     chart.Event = "close"

	stateHolding chart.State = "holding"
	stateClosed  chart.State = "closed"
)

var (
	errNotHolder = errors.New("the lease object names another holder")
	errNoChange  = errors.New("nothing to write")
)

// Step renews the role if this host holds it. Otherwise it reads the object and
// takes the role if it is free. A holder whose orders have been blocked for
// maxBlockedTerms terms gives the role up instead.
func (l *Lease) Step(ctx context.Context) error {
	l.opLock <- struct{}{}
	defer func() { <-l.opLock }()
	if l.machine.State() == stateClosed {
		return l.fail("step", KindClosed, nil)
	}
	l.expire()
	if l.machine.State() == stateHolding {
		if !l.blockedSince.IsZero() && l.clock.Now().Sub(l.blockedSince) >= maxBlockedTerms*l.term {
			return l.yield(ctx)
		}
		return l.renew(ctx)
	}
	if !l.candidate() && len(l.ownIntents) == 0 {
		l.docKnown = false // the wait must start again from a fresh read
		l.seenAt = time.Time{}
		return nil
	}
	return l.challenge(ctx)
}

// expire leaves the holding state if the term or the era in which it was won has ended.
func (l *Lease) expire() {
	l.observeEra()
	if l.machine.State() == stateHolding && !l.Held() {
		l.fire(eventExpire)
	}
}

func (l *Lease) renew(ctx context.Context) error {
	err := l.write(ctx, func(d *document) error {
		if !l.isHeldInEra(*d) {
			return errNotHolder
		}
		d.remove(l.isRemovable)
		return nil
	})
	if err != nil {
		return l.handleWriteError("renew", err)
	}
	l.fire(eventRenew)
	return nil
}

// handleWriteError converts an error of write into an *Error. It gives up the
// role if err says that another host holds it.
func (l *Lease) handleWriteError(op string, err error) error {
	if !errors.Is(err, errNotHolder) {
		return l.fail(op, KindStore, err)
	}
	if !l.heldUntilReturn(l.clock.Now()) {
		l.endTerm()
	}
	if l.machine.State() == stateHolding {
		l.log.WithField("holder", l.doc.Holder).WithField("fencing", l.doc.Fencing).WithField("revision", l.version).Info("lease lost")
		l.fire(eventLose)
	}
	return l.fail(op, KindNotHolder, nil)
}

// challenge reads the object and takes the role if it is free.
func (l *Lease) challenge(ctx context.Context) error {
	if err := l.read(ctx); err != nil {
		return l.fail("challenge", KindStore, err)
	}
	if !l.isFree() {
		if l.odd != nil {
			return l.fail("challenge", KindStore, l.odd)
		}
		l.pruneOwnIntents(l.doc)
		return l.updateOwnIntents(ctx)
	}
	l.fire(eventChallenge)
	if err := l.acquire(ctx); err != nil {
		l.fire(eventLose)
		return err
	}
	l.fire(eventWin)
	l.log.WithField("fencing", l.doc.Fencing).WithField("revision", l.version).Info("lease taken")
	return nil
}

// isFree reports whether this host may take the role: it was released, its
// holder is this process, or the version has not changed for term + margin. A
// released role with open intents is left to the process that wrote them for
// term + margin, and for twice as long by a host that has recently yielded it
// because of them. An object of an earlier era must have been unchanged for term +
// margin, whatever it says: a late write may have put it in place of a holder's. Only
// the holder at the time of the return takes the role again at once.
func (l *Lease) isFree() bool {
	now := l.clock.Now()
	unchanged := now.Sub(l.seenAt)
	term := time.Duration(l.doc.TermMS) * time.Millisecond
	longest := max(term, l.term) + l.margin
	switch {
	case l.doc.Era != l.eras.newest && l.heldUntilReturn(now):
		return true
	case l.eras.hasEnded() && l.doc.Era != l.eras.newest && now.Sub(l.eras.since) < longest:
		// Otherwise whoever took the role in this era has waited for the holders of others.
		return false
	case l.eras.isLater(l.doc.Era):
		return unchanged >= longest
	case l.isHeldBySelf(l.doc):
		return true
	case l.doc.Holder != "":
		return unchanged >= term+l.margin
	case len(l.doc.Intents) == 0 || slices.ContainsFunc(l.doc.Intents, l.IsOwn):
		return true
	case now.Sub(l.yieldedAt) < maxBlockedTerms*l.term:
		return unchanged >= 2*(term+l.margin)
	}
	return unchanged >= term+l.margin
}

// acquire writes this host as the holder, replacing only the version that was
// found free; a newer version restarts the wait.
func (l *Lease) acquire(ctx context.Context) error {
	base, before, era := l.version, l.doc, l.eras.newest
	next, err := l.nextToken(ctx)
	if err != nil {
		return l.fail("challenge", KindStore, err)
	}
	err = l.write(ctx, func(d *document) error {
		if l.isHeldInEra(*d) && d.Fencing == next {
			return nil // an earlier attempt took effect, but its answer was lost
		}
		if l.version != base || l.eras.newest != era {
			return errNotHolder
		}
		d.Role, d.Fencing, d.Holder, d.Incarnation, d.Era = l.role, next, l.host, l.incarnation, era
		d.remove(l.isRemovable)
		l.restoreIntents(d)
		return nil
	})
	if err != nil {
		return l.handleWriteError("challenge", err)
	}
	if next > before.Fencing+1 {
		l.log.WithFields(logrus.Fields{
			"era": quetzalhook.EraNumber(era), "before": quetzalhook.EraNumber(before.Era), "fencing-before": before.Fencing, "fencing": next, "revision": l.version,
		}).Info("fencing token raised above those of earlier eras")
	}
	return nil
}

// updateOwnIntents removes this incarnation's removable intents from the
// object while another host holds the role, so that they do not block it, and
// writes those that the store has lost, so that they do.
func (l *Lease) updateOwnIntents(ctx context.Context) error {
	update := func(d *document) error {
		removed := d.remove(l.isRemovable)
		// An object that is created without a token would hide that tokens are lost.
		restored := l.version > 0 && l.restoreIntents(d)
		if !removed && !restored {
			return errNoChange
		}
		return nil
	}
	d := l.doc.clone()
	if update(&d) != nil {
		return nil
	}
	if err := l.write(ctx, update); err != nil {
		return l.fail("withdraw", KindStore, err)
	}
	return nil
}

// release removes this host as the holder and closes the state machine.
func (l *Lease) release(ctx context.Context) error {
	l.opLock <- struct{}{}
	defer func() { <-l.opLock }()
	if l.machine.State() == stateClosed {
		return nil
	}
	l.expire()
	if l.machine.State() != stateHolding {
		l.fire(eventClose)
		return nil
	}
	l.fire(eventRelease)
	err := l.clearHolder(ctx)
	l.fire(eventClose)
	if err != nil {
		return l.fail("release", KindStore, err)
	}
	return nil
}

// yield gives up the role because another process's open intent blocks orders.
func (l *Lease) yield(ctx context.Context) error {
	l.blockedSince, l.yieldedAt = time.Time{}, l.clock.Now()
	l.fire(eventYield)
	if err := l.clearHolder(ctx); err != nil {
		return l.fail("yield", KindStore, err)
	}
	return nil
}

// clearHolder removes this host as the holder. The local term ends before the
// write is sent, because a challenger may take a released role at once. The
// nonces of earlier renewals whose answers were lost are discarded, so that
// they cannot restart the term.
func (l *Lease) clearHolder(ctx context.Context) error {
	l.endTerm()
	clear(l.sentAt)
	return l.write(ctx, func(d *document) error {
		if !l.isHeldBySelf(*d) {
			return errNoChange
		}
		d.Holder, d.Incarnation = "", 0
		d.remove(l.isRemovable)
		return nil
	})
}

func (l *Lease) isHeldBySelf(d document) bool {
	return d.Holder == l.host && d.Incarnation == l.incarnation
}

// isHeldInEra reports whether d names this process as the holder in the newest era.
func (l *Lease) isHeldInEra(d document) bool {
	return l.isHeldBySelf(d) && d.Era == l.eras.newest
}

// write updates the object by conditional writes until one is known to have
// taken effect. Each attempt applies change to the newest value that was read,
// so change may be called more than once. An error of change ends the write;
// errNoChange ends it as a success.
func (l *Lease) write(ctx context.Context, change func(*document) error) error {
	var err error
	for range maxWriteAttempts {
		if !l.docKnown {
			if err = l.read(ctx); err != nil {
				return err
			}
		}
		d := l.doc.clone()
		if err = change(&d); errors.Is(err, errNoChange) {
			return nil
		} else if err != nil {
			return err
		}
		d.Nonce, d.TermMS = l.nonce(), l.term.Milliseconds()
		err = l.put(ctx, d)
		if k := quetzalhook.StoreKind(err, quetzalhook.StoreUnknown); k != quetzalhook.StoreConflict && k != quetzalhook.StoreUnknown {
			return err
		}
	}
	return err
}

// put makes one conditional write. If the answer is lost, it reads the object
// again and looks for the nonce of the write. If the store came back from an
// older copy meanwhile, the outcome is unknown, and the write gives no term.
func (l *Lease) put(ctx context.Context, d document) error {
	sentAt, era := l.clock.Now(), l.eras.newest
	version, err := l.store.Put(ctx, l.key, d.encode(), l.version)
	if l.observeEra(); l.eras.newest != era {
		l.docKnown = false
		return &quetzalhook.StoreError{Op: "put", Key: l.key, Kind: quetzalhook.StoreUnknown, Err: errors.Errorf("era %d ended", era)}
	}
	switch quetzalhook.StoreKind(err, quetzalhook.StoreUnknown) {
	case "":
		l.applyWrite(d, version, sentAt)
		return nil
	case quetzalhook.StoreConflict:
		l.docKnown = false
	case quetzalhook.StoreUnknown:
		l.docKnown = false
		l.sentAt[d.Nonce] = sentAt
		if l.read(ctx) == nil && l.doc.Nonce == d.Nonce && l.eras.newest == era {
			return nil
		}
	}
	return err
}

// applyWrite records that a write by this process took effect. The term starts
// at sentAt, the time just before the write was sent.
func (l *Lease) applyWrite(d document, version quetzalhook.Version, sentAt time.Time) {
	l.doc, l.version, l.docKnown, l.seenAt = d, version, true, l.clock.Now()
	clear(l.sentAt)
	l.topToken = max(l.topToken, d.Fencing)
	if l.isHeldInEra(d) {
		l.setTerm(sentAt.Add(l.term), d.Fencing)
	}
	l.pruneOwnIntents(d)
}

// pruneOwnIntents removes from ownIntents the orders that no longer have an intent
// in the object, except those being sent and those that the store has lost.
func (l *Lease) pruneOwnIntents(d document) {
	l.lostIntents = slices.DeleteFunc(l.lostIntents, func(i Intent) bool { return d.hasIntent(i.ID) || !l.mayTakeEffect(i) })
	for id, state := range l.ownIntents {
		isLost := slices.ContainsFunc(l.lostIntents, func(i Intent) bool { return i.ID == id })
		if state != sending && !isLost && !d.hasIntent(id) {
			delete(l.ownIntents, id)
		}
	}
}

// read fetches the object. If it shows the nonce of a write whose answer was
// lost, that write took effect.
func (l *Lease) read(ctx context.Context) error {
	o, err := l.store.Get(ctx, l.key)
	l.observeEra()
	if err != nil && quetzalhook.StoreKind(err, quetzalhook.StoreUnknown) != quetzalhook.StoreNotFound {
		return err
	}
	l.eras.answered()
	isLost := o.Version == 0 && l.version.Era() < l.eras.newest
	if o.Version < l.version && !isLost {
		l.log.WithField("revision", o.Version).WithField("known-revision", l.version).Warn("lease read is older than the one before")
		return errors.Errorf("stale read of %s: version %v after %v", l.key, o.Version, l.version)
	}
	var d document
	l.odd = nil
	if o.Version > 0 {
		if d, err = l.interpret(o); err != nil {
			l.odd = errors.Wrapf(err, "decode %s", l.key)
		}
	}
	if l.seenAt.IsZero() || o.Version != l.version {
		l.seenAt = l.clock.Now()
	}
	if l.odd == nil {
		l.checkSingleHolder(d)
		l.topToken = max(l.topToken, d.Fencing)
	}
	if d.Holder != l.doc.Holder || d.Incarnation != l.doc.Incarnation || d.Fencing != l.doc.Fencing {
		l.log.WithFields(logrus.Fields{
			"holder": d.Holder, "fencing": d.Fencing, "revision": o.Version, "before": l.doc.Holder, "fencing-before": l.doc.Fencing, "revision-before": l.version,
		}).Info("holder of the lease changed")
	}
	l.doc, l.version, l.docKnown = d, o.Version, true
	if sentAt, ok := l.sentAt[d.Nonce]; ok {
		l.applyWrite(d, o.Version, sentAt)
	}
	return nil
}

// unknownHolder stands for the holder in an object that cannot be decoded.
const unknownHolder = "?"

// maxStoredTerms is the longest term, in terms of this host, that a host may have
// written.
const maxStoredTerms = 10

// interpret decodes the object. If another program has overwritten it, interpret
// returns an error and a document that keeps the role taken for a term, since the
// holder may not know yet. The fencing token in it is the largest that was given.
func (l *Lease) interpret(o quetzalhook.Object) (document, error) {
	d, err := decode(o.Value)
	if err == nil && (d.Era < 0 || d.Era > o.Version.Era()) {
		err = errors.Errorf("era %d at version %v", d.Era, o.Version)
	}
	if err == nil && d.Fencing > maxToken(d.Era, o.Version) {
		err = errors.Errorf("fencing token %d at version %v", d.Fencing, o.Version)
	}
	if most := maxStoredTerms * l.term.Milliseconds(); err == nil && (d.TermMS < 0 || d.TermMS > most) {
		err = errors.Errorf("term of %d ms", d.TermMS)
	}
	if err != nil {
		most := maxToken(0, o.Version)
		if l.eras.hasEnded() {
			most = maxToken(l.eras.newest, o.Version)
		}
		return document{Holder: unknownHolder, Fencing: most, TermMS: l.term.Milliseconds(), Era: l.eras.newest}, err
	}
	return d, nil
}

// checkSingleHolder checks the invariants that no other process holds the
// role during this host's term and that fencing tokens never decrease, unless the
// store has lost them or a write of an earlier era has replaced them.
func (l *Lease) checkSingleHolder(d document) {
	fencing, held := l.Fencing()
	isOlder := l.version.Era() < l.eras.newest || l.eras.isLater(d.Era)
	ok := isOlder || d.Fencing >= l.doc.Fencing && (!held || l.isHeldBySelf(d) && d.Fencing >= fencing)
	l.inv.Check(invariant.SingleCommander, ok, "role", l.role, "host", l.host,
		"held", held, "fencing", fencing, "seen-holder", d.Holder, "seen-fencing", d.Fencing)
}
