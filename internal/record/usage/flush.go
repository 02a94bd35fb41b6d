package usage

import (
	"context"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"quetzalhook"
)

// object is one write that is due.
type object struct {
	key   string
	value record
}

// Flush writes the changed totals of this host to the store, and those of
// silent hosts whose replicas it holds. A window is marked final in the write
// after which all its totals are stored.
func (m *Meter) Flush(ctx context.Context) error {
	select {
	case m.flushing <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-m.flushing }()
	m.advance()
	for _, w := range m.due() {
		if err := m.flushWindow(ctx, m.self, w, ""); err != nil {
			return err
		}
	}
	return m.flushOrphans(ctx)
}

// advance closes the current window when its time has passed even without new
// usage.
func (m *Meter) advance() {
	now := m.calendar.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.turn(now)
}

// due returns the windows to write. It forgets those that were done at the
// last flush already; until then the peers hear that they may forget theirs.
func (m *Meter) due() []Window {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []Window
	for w, l := range m.windows {
		switch {
		case !l.finalStored:
			list = append(list, w)
		case l.announced:
			delete(m.windows, w)
		default:
			l.announced = true
		}
	}
	return list
}

// flushWindow writes the changed parts of one ledger. The holder is empty for
// this host's own totals and names the objects of a peer's replica.
func (m *Meter) flushWindow(ctx context.Context, s Source, w Window, holder quetzalhook.HostID) error {
	objects, seq, final := m.objects(s, w, holder)
	for i, o := range objects {
		o.value.Final = final && i == len(objects)-1
		if err := m.put(ctx, o); err != nil {
			return err
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if l := m.ledger(s, w); l != nil {
		l.stored = max(l.stored, seq)
		l.finalStored = l.finalStored || final
	}
	return nil
}

// objects returns the writes that are due for a ledger. A ledger that becomes
// final has at least one.
func (m *Meter) objects(s Source, w Window, holder quetzalhook.HostID) (list []object, seq uint64, final bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.ledger(s, w)
	if l == nil {
		return nil, 0, false
	}
	final = l.final && holder == ""
	for n := l.parts() - 1; n >= 0; n-- {
		lines, changed := l.part(n, l.stored)
		if changed || final && n == 0 {
			part := fmt.Sprint(n)
			if holder != "" {
				part = fmt.Sprintf("replica-%s-%d-%d", holder, m.self.Incarnation, n)
			}
			list = append(list, object{s.objectKey(w, part), record{Source: s, Window: w, Lines: lines}})
		}
	}
	return list, m.seq, final
}

// ledger finds own or replicated totals. The caller holds m.mu.
func (m *Meter) ledger(s Source, w Window) *ledger {
	if s == m.self {
		return m.windows[w]
	}
	if r := m.replicas[s]; r != nil {
		return r.windows[w]
	}
	return nil
}

// put writes an object that only this incarnation writes. After a conflict or
// a lost answer, which an earlier try of its own must have caused, it reads the
// version and writes the newer totals over it.
func (m *Meter) put(ctx context.Context, o object) error {
	value, err := cbor.Marshal(o.value)
	if err != nil {
		return errors.Wrap(err, "encode usage")
	}
	base := m.version(o)
	version, err := m.store.Put(ctx, o.key, value, base)
	if k := quetzalhook.StoreKind(err, quetzalhook.StoreUnknown); k == quetzalhook.StoreConflict || k == quetzalhook.StoreUnknown {
		current, readErr := m.store.Get(ctx, o.key)
		if readErr != nil && quetzalhook.StoreKind(readErr, quetzalhook.StoreUnknown) != quetzalhook.StoreNotFound {
			return errors.Wrapf(readErr, "read %s", o.key)
		}
		version, err = m.store.Put(ctx, o.key, value, current.Version)
	}
	if err != nil {
		return errors.Wrapf(err, "write %s", o.key)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if l := m.ledger(o.value.Source, o.value.Window); l != nil {
		l.versions[o.key] = version
	}
	return nil
}

func (m *Meter) version(o object) quetzalhook.Version {
	m.mu.Lock()
	defer m.mu.Unlock()
	if l := m.ledger(o.value.Source, o.value.Window); l != nil {
		return l.versions[o.key]
	}
	return 0
}

// flushOrphans writes the replicas whose sources may not have written them,
// and forgets those that are written and old.
func (m *Meter) flushOrphans(ctx context.Context) error {
	for s, list := range m.orphans() {
		for _, w := range list {
			if err := m.flushWindow(ctx, s, w, m.self.Host); err != nil {
				return err
			}
		}
	}
	m.forget()
	return nil
}

// orphans returns the replicas of sources that have been silent, and those of
// windows that ended long ago without word that their source has stored them.
func (m *Meter) orphans() map[Source][]Window {
	now := m.clock.Now()
	today := m.calendar.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	list := make(map[Source][]Window)
	for s, r := range m.replicas {
		for w := range r.windows {
			if now.Sub(r.heard) >= m.orphanAfter || m.isOld(w, today) {
				list[s] = append(list[s], w)
			}
		}
	}
	return list
}

func (m *Meter) isOld(w Window, today time.Time) bool {
	end, err := m.schedule.End(w)
	return err != nil || today.Sub(end) >= m.forgetAfter
}

// forget drops old replicas that this host has written to the store.
func (m *Meter) forget() {
	now, today := m.clock.Now(), m.calendar.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	for s, r := range m.replicas {
		for w, l := range r.windows {
			if m.isOld(w, today) && l.clean() {
				delete(r.windows, w)
			}
		}
		if len(r.windows) == 0 && now.Sub(r.heard) >= m.forgetAfter {
			delete(m.replicas, s)
		}
	}
}
