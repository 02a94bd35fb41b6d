package lease

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"quetzalhook"
	"quetzalhook/internal/state/invariant"
)

// progress tells how far this process has come with an intent of its own.
type progress uint8

const (
	unsent  progress = iota // the intent may be in the object, nothing was sent
	sending                 // the send has begun and not returned
	unclear                 // the send returned without an answer
	ended                   // the outcome is known
)

// Order is one order to a receiver outside.
type Order struct {
	// ID is unique; the receiver shows it when the order took effect.
	ID string
	// Target names the receiver.
	Target string
	// ChecksFencing reports whether the receiver refuses old fencing numbers.
	ChecksFencing bool
}

// Send transmits an order with a fencing number. It must transmit at most
// once. Its error is a *quetzalhook.StoreError whose kind tells whether the
// order may have taken effect; any other error counts as unknown.
type Send func(ctx context.Context, fencing uint64) error

var (
	errBlocked = errors.New("an intent of another process is open")
	errSending = errors.New("the order is being sent")
	errTooMany = errors.New("too many orders with unknown outcome")
)

// Order writes the intent, sends the order and writes the outcome. Errors of
// KindNotHolder, KindBlocked and KindStore mean that nothing was sent. After
// KindUnclear the intent stays open; the same process may call Order again with
// the same ID until the outcome is known.
func (l *Lease) Order(ctx context.Context, o Order, send Send) error {
	if !l.enter() {
		return l.fail("order", KindClosed, nil)
	}
	defer l.sends.Done()
	fencing, err := l.begin(ctx, o)
	if err != nil {
		return err
	}
	err = send(ctx, fencing)
	mayHaveEffect := l.finish(ctx, o.ID, err)
	switch {
	case mayHaveEffect:
		return l.fail("order", KindUnclear, err)
	case err != nil:
		return l.fail("order", KindRefused, err)
	}
	return nil
}

// enter counts an order that Close must wait for.
func (l *Lease) enter() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.closing {
		l.sends.Add(1)
	}
	return !l.closing
}

// begin writes the intent and returns the fencing number to send with.
func (l *Lease) begin(ctx context.Context, o Order) (uint64, error) {
	l.op <- struct{}{}
	defer func() { <-l.op }()
	l.expire()
	if l.machine.State() != stateHolding {
		return 0, l.fail("order", KindNotHolder, nil)
	}
	if l.own[o.ID] == sending {
		return 0, l.fail("order", KindBlocked, errSending)
	}
	if l.own[o.ID] != unclear {
		l.own[o.ID] = unsent
	}
	err := l.write(ctx, func(d *document) error { return l.addIntent(d, o) })
	switch {
	case errors.Is(err, errBlocked), errors.Is(err, errTooMany):
		l.noteBlocked(err)
		return 0, l.fail("order", KindBlocked, err)
	case err != nil:
		return 0, l.lost("order", err)
	}
	fencing, held := l.Fencing()
	if !held {
		return 0, l.fail("order", KindNotHolder, nil)
	}
	l.inv.Check(invariant.SingleCommander, l.maySend(o, fencing), "role", l.role, "host", l.host,
		"order", o.ID, "target", o.Target, "fencing", fencing, "intents", l.doc.Intents)
	l.blockedAt = time.Time{}
	l.own[o.ID] = sending
	l.count[o.ID]++
	return fencing, nil
}

func (l *Lease) noteBlocked(err error) {
	if errors.Is(err, errBlocked) && l.blockedAt.IsZero() {
		l.blockedAt = l.clock.Now()
	}
}

func (l *Lease) addIntent(d *document, o Order) error {
	if !l.isMine(*d) {
		return errNotHolder
	}
	d.remove(l.settledExcept(o.ID))
	if !o.ChecksFencing && l.hasForeign(*d, o.Target) {
		return errBlocked
	}
	sends := l.count[o.ID] + 1
	for n := range d.Intents {
		if d.Intents[n].ID == o.ID {
			d.Intents[n].Sends = sends
			return nil
		}
	}
	if l.openOwn(*d, o.Target) >= maxOwnIntents {
		return errTooMany
	}
	d.Intents = append(d.Intents, Intent{
		ID: o.ID, Target: o.Target, Fencing: d.Fencing,
		Host: l.host, Incarnation: l.incarnation, Sends: sends,
	})
	return nil
}

// maySend tells from the object as it was last written whether the order may
// leave: the intent is in it, under this holder, and no foreign intent is open.
func (l *Lease) maySend(o Order, fencing uint64) bool {
	return l.isMine(l.doc) && l.doc.Fencing == fencing && l.doc.has(o.ID) &&
		(o.ChecksFencing || !slices.ContainsFunc(l.doc.Intents, func(i Intent) bool {
			// Written out, so that a fault in hasForeign does not hide here as well.
			return i.Target == o.Target && (i.Host != l.host || i.Incarnation != l.incarnation)
		}))
}

// finish notes the result of a send, writes the outcome and reports whether
// the outcome is unclear. If the write
// fails, the next renewal repeats it. A refusal of a repeated order says nothing
// about its earlier sends, so the outcome stays unclear.
func (l *Lease) finish(ctx context.Context, id string, err error) bool {
	l.op <- struct{}{}
	defer func() { <-l.op }()
	if err != nil && (quetzalhook.StoreKind(err, quetzalhook.StoreUnknown) == quetzalhook.StoreUnknown || l.count[id] > 1) {
		l.own[id] = unclear
		return true
	}
	l.own[id] = ended
	delete(l.count, id)
	_ = l.write(ctx, func(d *document) error {
		if !d.remove(l.settled) {
			return errNoChange
		}
		return nil
	})
	return false
}

// settled reports whether an intent is this process's own and needs no
// further attention: its outcome is known, or it was never sent and never
// will be.
func (l *Lease) settled(i Intent) bool {
	p, known := l.own[i.ID]
	return l.IsOwn(i) && (!known || p == unsent || p == ended)
}

func (l *Lease) settledExcept(id string) func(Intent) bool {
	return func(i Intent) bool { return i.ID != id && l.settled(i) }
}

// IsOwn reports whether this process wrote the intent.
func (l *Lease) IsOwn(i Intent) bool {
	return i.Host == l.host && i.Incarnation == l.incarnation
}

func (l *Lease) hasForeign(d document, target string) bool {
	return slices.ContainsFunc(d.Intents, func(i Intent) bool { return i.Target == target && !l.IsOwn(i) })
}

func (l *Lease) openOwn(d document, target string) int {
	n := 0
	for _, i := range d.Intents {
		if i.Target == target && l.IsOwn(i) {
			n++
		}
	}
	return n
}
