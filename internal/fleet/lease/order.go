package lease

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"quetzalhook"
	"quetzalhook/internal/state/invariant"
)

// sendState is the state of an order of this process.
type sendState uint8

const (
	unsent         sendState = iota // the intent may be in the object; nothing was sent
	sending                         // the Send call is in progress
	outcomeUnknown                  // the order may have taken effect
	outcomeKnown                    // the order took effect or was refused
)

// Order identifies an order to an external receiver.
type Order struct {
	// ID is unique. The receiver lists it once the order has taken effect.
	ID string
	// Target names the receiver.
	Target string
	// ChecksFencing reports whether the receiver rejects old fencing tokens.
	ChecksFencing bool
}

// Send transmits an order with a fencing token, at most once. Its error is a
// *quetzalhook.StoreError whose kind says whether the order may have taken
// effect; any other error means that the outcome is unknown.
type Send func(ctx context.Context, fencing uint64) error

var (
	errBlocked = errors.New("an intent of another process is open")
	errSending = errors.New("the order is already being sent")
	errTooMany = errors.New("too many orders with unknown outcome")
)

// Order writes the intent, sends the order and writes the outcome. An error of
// KindNotHolder, KindBlocked, KindStore or KindClosed means that this call sent
// nothing. After KindUnclear the intent stays open; the same process may call
// Order again with the same ID until the outcome is known.
func (l *Lease) Order(ctx context.Context, o Order, send Send) error {
	if !l.registerOrder() {
		return l.fail("order", KindClosed, nil)
	}
	defer l.activeOrders.Done()
	fencing, err := l.recordIntent(ctx, o)
	if err != nil {
		return err
	}
	err = send(ctx, fencing)
	mayHaveEffect := l.recordOutcome(ctx, o.ID, err)
	switch {
	case mayHaveEffect:
		return l.fail("order", KindUnclear, err)
	case err != nil:
		return l.fail("order", KindRefused, err)
	}
	return nil
}

// registerOrder makes Close wait for an order. It returns false after Close.
func (l *Lease) registerOrder() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.closing {
		l.activeOrders.Add(1)
	}
	return !l.closing
}

// recordIntent writes the intent and returns the fencing token to send with.
func (l *Lease) recordIntent(ctx context.Context, o Order) (uint64, error) {
	l.opLock <- struct{}{}
	defer func() { <-l.opLock }()
	l.expire()
	if l.machine.State() != stateHolding {
		return 0, l.fail("order", KindNotHolder, nil)
	}
	if l.ownIntents[o.ID] == sending {
		return 0, l.fail("order", KindBlocked, errSending)
	}
	if l.ownIntents[o.ID] != outcomeUnknown {
		l.ownIntents[o.ID] = unsent
	}
	err := l.write(ctx, func(d *document) error { return l.addIntent(d, o) })
	switch {
	case errors.Is(err, errBlocked), errors.Is(err, errTooMany):
		l.setBlockedSince(err)
		return 0, l.fail("order", KindBlocked, err)
	case err != nil:
		return 0, l.handleWriteError("order", err)
	}
	fencing, held := l.Fencing()
	if !held {
		return 0, l.fail("order", KindNotHolder, nil)
	}
	l.inv.Check(invariant.SingleCommander, l.maySend(o, fencing), "role", l.role, "host", l.host,
		"order", o.ID, "target", o.Target, "fencing", fencing, "intents", l.doc.Intents)
	l.blockedSince = time.Time{}
	l.ownIntents[o.ID] = sending
	l.sendCounts[o.ID]++
	return fencing, nil
}

// setBlockedSince records when orders became blocked, if err is errBlocked and
// they are not blocked already.
func (l *Lease) setBlockedSince(err error) {
	if errors.Is(err, errBlocked) && l.blockedSince.IsZero() {
		l.blockedSince = l.clock.Now()
	}
}

func (l *Lease) addIntent(d *document, o Order) error {
	if !l.isHeldInEra(*d) {
		return errNotHolder
	}
	d.remove(l.isRemovableExcept(o.ID))
	if !o.ChecksFencing && l.hasForeignIntent(*d, o.Target) {
		return errBlocked
	}
	sends := l.sendCounts[o.ID] + 1
	for n := range d.Intents {
		if d.Intents[n].ID == o.ID {
			d.Intents[n].Sends = sends
			return nil
		}
	}
	if l.countOwnIntents(*d, o.Target) >= maxOwnIntents {
		return errTooMany
	}
	d.Intents = append(d.Intents, Intent{
		ID: o.ID, Target: o.Target, Fencing: d.Fencing,
		Host: l.host, Incarnation: l.incarnation, Sends: sends,
	})
	return nil
}

// maySend reports whether the order may be sent, judged by the object as it was
// last written: this host is the holder, the intent is included, and no other
// process has an open intent for the target, unless the target checks fencing.
func (l *Lease) maySend(o Order, fencing uint64) bool {
	return l.isHeldBySelf(l.doc) && l.doc.Fencing == fencing && l.doc.hasIntent(o.ID) &&
		(o.ChecksFencing || !slices.ContainsFunc(l.doc.Intents, func(i Intent) bool {
			// Does not call hasForeignIntent, so that a fault in it is detected here.
			return i.Target == o.Target && (i.Host != l.host || i.Incarnation != l.incarnation)
		}))
}

// recordOutcome records the result of a send, writes the outcome and reports
// whether the outcome is unknown. If the write fails, the next renewal repeats
// it. When an order was sent more than once, a refusal says nothing about the
// earlier sends, so the outcome stays unknown.
func (l *Lease) recordOutcome(ctx context.Context, id string, err error) bool {
	l.opLock <- struct{}{}
	defer func() { <-l.opLock }()
	if err != nil && (quetzalhook.StoreKind(err, quetzalhook.StoreUnknown) == quetzalhook.StoreUnknown || l.sendCounts[id] > 1) {
		l.ownIntents[id] = outcomeUnknown
		return true
	}
	l.ownIntents[id] = outcomeKnown
	delete(l.sendCounts, id)
	_ = l.write(ctx, func(d *document) error {
		if !d.remove(l.isRemovable) {
			return errNoChange
		}
		return nil
	})
	return false
}

// isRemovable reports whether an intent was written by this process and can be
// removed: its outcome is known, or it was never sent and never will be.
func (l *Lease) isRemovable(i Intent) bool {
	state, known := l.ownIntents[i.ID]
	return l.IsOwn(i) && (!known || state == unsent || state == outcomeKnown)
}

func (l *Lease) isRemovableExcept(id string) func(Intent) bool {
	return func(i Intent) bool { return i.ID != id && l.isRemovable(i) }
}

// IsOwn reports whether this process wrote the intent.
func (l *Lease) IsOwn(i Intent) bool {
	return i.Host == l.host && i.Incarnation == l.incarnation
}

func (l *Lease) hasForeignIntent(d document, target string) bool {
	return slices.ContainsFunc(d.Intents, func(i Intent) bool { return i.Target == target && !l.IsOwn(i) })
}

func (l *Lease) countOwnIntents(d document, target string) int {
	n := 0
	for _, i := range d.Intents {
		if i.Target == target && l.IsOwn(i) {
			n++
		}
	}
	return n
}
