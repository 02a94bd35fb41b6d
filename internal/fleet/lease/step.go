package lease

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

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

// Step does one round: the holder renews; another host reads the object and
// challenges when the holder's term has passed.
func (l *Lease) Step(ctx context.Context) error {
	l.op <- struct{}{}
	defer func() { <-l.op }()
	if l.machine.State() == stateClosed {
		return l.fail("step", KindClosed, nil)
	}
	l.expire()
	if l.machine.State() == stateHolding {
		if !l.blockedAt.IsZero() && l.clock.Now().Sub(l.blockedAt) >= termsBlocked*l.term {
			return l.yield(ctx)
		}
		return l.renew(ctx)
	}
	if !l.candidate() && len(l.own) == 0 {
		l.known = false // a version seen long ago says nothing about the wait
		l.seenAt = time.Time{}
		return nil
	}
	return l.challenge(ctx)
}

// expire leaves the holding state after the term.
func (l *Lease) expire() {
	if l.machine.State() == stateHolding && !l.Held() {
		l.fire(eventExpire)
	}
}

func (l *Lease) renew(ctx context.Context) error {
	err := l.write(ctx, func(d *document) error {
		if !l.isMine(*d) {
			return errNotHolder
		}
		d.remove(l.settled)
		return nil
	})
	if err != nil {
		return l.lost("renew", err)
	}
	l.fire(eventRenew)
	return nil
}

// lost gives up the role if err says that another host has it.
func (l *Lease) lost(op string, err error) error {
	if !errors.Is(err, errNotHolder) {
		return l.fail(op, KindStore, err)
	}
	l.believe(time.Time{}, 0)
	if l.machine.State() == stateHolding {
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
		l.prune(l.doc)
		return l.withdraw(ctx)
	}
	l.fire(eventChallenge)
	if err := l.take(ctx); err != nil {
		l.fire(eventLose)
		return err
	}
	l.fire(eventWin)
	return nil
}

// isFree reports whether the object may be taken: it was released, its holder
// is this process, or its version has not changed for term + margin. A released
// object with open intents is left to the process that wrote them for a while,
// longer by a host that has just given it up for their sake.
func (l *Lease) isFree() bool {
	now := l.clock.Now()
	unchanged := now.Sub(l.seenAt)
	term := time.Duration(l.doc.TermMS) * time.Millisecond
	switch {
	case l.isMine(l.doc):
		return true
	case l.doc.Holder != "":
		return unchanged >= term+l.margin
	case len(l.doc.Intents) == 0 || slices.ContainsFunc(l.doc.Intents, l.IsOwn):
		return true
	case now.Sub(l.yieldedAt) < termsBlocked*l.term:
		return unchanged >= 2*(term+l.margin)
	}
	return unchanged >= term+l.margin
}

// take writes this host as the holder over the version that was found free.
// Only that version may be replaced: a newer one restarts the wait.
func (l *Lease) take(ctx context.Context) error {
	base := l.version
	next := l.doc.Fencing + 1
	err := l.write(ctx, func(d *document) error {
		if l.isMine(*d) && d.Fencing == next {
			return nil // an earlier attempt took effect, its answer was lost
		}
		if l.version != base {
			return errNotHolder
		}
		d.Role, d.Fencing, d.Holder, d.Incarnation = l.role, next, l.host, l.incarnation
		d.remove(l.settled)
		return nil
	})
	if err != nil {
		return l.lost("challenge", err)
	}
	return nil
}

// withdraw removes this incarnation's own finished intents from an object
// that another host holds, so that they do not block that host.
func (l *Lease) withdraw(ctx context.Context) error {
	d := l.doc.clone()
	if !d.remove(l.settled) {
		return nil
	}
	err := l.write(ctx, func(d *document) error {
		if !d.remove(l.settled) {
			return errNoChange
		}
		return nil
	})
	if err != nil {
		return l.fail("withdraw", KindStore, err)
	}
	return nil
}

// release gives the role up in the object and ends this lease.
func (l *Lease) release(ctx context.Context) error {
	l.op <- struct{}{}
	defer func() { <-l.op }()
	if l.machine.State() == stateClosed {
		return nil
	}
	l.expire()
	if l.machine.State() != stateHolding {
		l.fire(eventClose)
		return nil
	}
	l.fire(eventRelease)
	err := l.giveUp(ctx)
	l.fire(eventClose)
	if err != nil {
		return l.fail("release", KindStore, err)
	}
	return nil
}

// yield gives the role up because another process's open intent blocks it.
func (l *Lease) yield(ctx context.Context) error {
	l.blockedAt, l.yieldedAt = time.Time{}, l.clock.Now()
	l.fire(eventYield)
	if err := l.giveUp(ctx); err != nil {
		return l.fail("yield", KindStore, err)
	}
	return nil
}

// giveUp removes this host as the holder. The belief ends before the write
// leaves, because a challenger may take a released object at once.
// Earlier renewals whose answers were lost must not revive it.
func (l *Lease) giveUp(ctx context.Context) error {
	l.believe(time.Time{}, 0)
	clear(l.sent)
	return l.write(ctx, func(d *document) error {
		if !l.isMine(*d) {
			return errNoChange
		}
		d.Holder, d.Incarnation = "", 0
		d.remove(l.settled)
		return nil
	})
}

func (l *Lease) isMine(d document) bool {
	return d.Holder == l.host && d.Incarnation == l.incarnation
}

// write changes the object by conditional update until an attempt is known to
// have taken effect. The change is applied to the newest value that was read,
// so it must be repeatable; its error ends the write, errNoChange as a success.
func (l *Lease) write(ctx context.Context, change func(*document) error) error {
	var err error
	for range maxAttempts {
		if !l.known {
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

// put makes one conditional write. After a lost answer it reads again and
// looks for its own nonce.
func (l *Lease) put(ctx context.Context, d document) error {
	sent := l.clock.Now()
	version, err := l.store.Put(ctx, l.key, d.encode(), l.version)
	switch quetzalhook.StoreKind(err, quetzalhook.StoreUnknown) {
	case "":
		l.adopt(d, version, sent)
		return nil
	case quetzalhook.StoreConflict:
		l.known = false
	case quetzalhook.StoreUnknown:
		l.known = false
		l.sent[d.Nonce] = sent
		if l.read(ctx) == nil && l.doc.Nonce == d.Nonce {
			return nil
		}
	}
	return err
}

// adopt takes a value that this process wrote as the current one. The term
// counts from sent, the time before the write left.
func (l *Lease) adopt(d document, version quetzalhook.Version, sent time.Time) {
	l.doc, l.version, l.known, l.seenAt = d, version, true, l.clock.Now()
	clear(l.sent)
	if l.isMine(d) {
		l.believe(sent.Add(l.term), d.Fencing)
	}
	l.prune(d)
}

// prune forgets the own orders that have no intent in the object any more.
func (l *Lease) prune(d document) {
	for id, p := range l.own {
		if p != sending && !d.has(id) {
			delete(l.own, id)
		}
	}
}

// read fetches the object.
func (l *Lease) read(ctx context.Context) error {
	o, err := l.store.Get(ctx, l.key)
	if err != nil && quetzalhook.StoreKind(err, quetzalhook.StoreUnknown) != quetzalhook.StoreNotFound {
		return err
	}
	if o.Version < l.version {
		return errors.Errorf("stale read of %s: version %d after %d", l.key, o.Version, l.version)
	}
	var d document
	if o.Version > 0 {
		if d, err = decode(o.Value); err != nil {
			return errors.Wrapf(err, "decode %s", l.key)
		}
	}
	if l.seenAt.IsZero() || o.Version != l.version {
		l.seenAt = l.clock.Now()
	}
	l.observe(d)
	l.doc, l.version, l.known = d, o.Version, true
	if sent, ok := l.sent[d.Nonce]; ok {
		l.adopt(d, o.Version, sent)
	}
	return nil
}

// observe checks that no other process holds the role while this one believes
// that it does, and that fencing numbers never decrease.
func (l *Lease) observe(d document) {
	fencing, held := l.Fencing()
	ok := d.Fencing >= l.doc.Fencing && (!held || l.isMine(d) && d.Fencing >= fencing)
	l.inv.Check(invariant.SingleCommander, ok, "role", l.role, "host", l.host,
		"held", held, "fencing", fencing, "seen-holder", d.Holder, "seen-fencing", d.Fencing)
}
