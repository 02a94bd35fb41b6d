package usage

import (
	"context"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"quetzalhook"
)

// pendingWrite is an object that must be written to the store.
type pendingWrite struct {
	key   string
	value record
}

// Flush writes the changed totals of this host to the store, and those of
// silent hosts whose replicas it holds. After the end of a window, the last write
// of this host's totals marks the window as final: all of them are stored then.
func (m *Meter) Flush(ctx context.Context) error {
	select {
	case m.flushing <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-m.flushing }()
	m.advanceToNow()
	for _, w := range m.windowsToFlush() {
		if err := m.flushWindow(ctx, m.self, w, ""); err != nil {
			return err
		}
	}
	return m.flushOrphanedReplicas(ctx)
}

// advanceToNow ends the current window if its time has passed, even if no usage
// is added.
func (m *Meter) advanceToNow() {
	now := m.calendar.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advanceWindow(now)
}

// windowsToFlush returns the windows to write. It deletes a window at the
// second flush after the window was stored as final; until then Replicate tells
// the peers that they may delete their replicas of it. A window is written again if the
// store may have lost it.
func (m *Meter) windowsToFlush() []Window {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []Window
	for w, l := range m.windows {
		l.forgetStored(m.store.Era())
		switch {
		case !l.finalStored:
			list = append(list, w)
		case l.flushedAfterFinal:
			delete(m.windows, w)
		default:
			l.flushedAfterFinal = true
		}
	}
	return list
}

// flushWindow writes the changed parts of one ledger to the store. For the totals
// of this host, replicaHolder is empty; for a replica, it is the ID of this host,
// which the object keys then contain.
func (m *Meter) flushWindow(ctx context.Context, s Source, w Window, replicaHolder quetzalhook.HostID) error {
	pendingWrites, seq, final := m.pendingWrites(s, w, replicaHolder)
	for i, o := range pendingWrites {
		o.value.Final = final && i == len(pendingWrites)-1
		if err := m.put(ctx, o); err != nil {
			return err
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if l := m.ledger(s, w); l != nil {
		l.storedSeq = max(l.storedSeq, seq)
		l.finalStored = l.finalStored || final
	}
	return nil
}

// pendingWrites returns the objects of a ledger that must be written, the
// sequence number of the last change, and whether the writes make the ledger
// final in the store. In that case there is at least one object.
func (m *Meter) pendingWrites(s Source, w Window, replicaHolder quetzalhook.HostID) (list []pendingWrite, seq uint64, final bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.ledger(s, w)
	if l == nil {
		return nil, 0, false
	}
	final = l.final && replicaHolder == ""
	for n := l.partCount() - 1; n >= 0; n-- {
		lines, changed := l.part(n, l.storedSeq)
		if changed || final && n == 0 {
			part := fmt.Sprint(n)
			if replicaHolder != "" {
				part = fmt.Sprintf("replica-%s-%d-%d", replicaHolder, m.self.Incarnation, n)
			}
			list = append(list, pendingWrite{s.objectKey(w, part), record{Source: s, Window: w, Lines: lines}})
		}
	}
	return list, m.seq, final
}

// ledger returns the totals of this host or a replica, or nil if there are
// none. The caller holds m.mu.
func (m *Meter) ledger(s Source, w Window) *ledger {
	if s == m.self {
		return m.windows[w]
	}
	if r := m.replicas[s]; r != nil {
		return r.windows[w]
	}
	return nil
}

// put writes an object that only this incarnation writes. A conflict is
// therefore caused by an earlier try of its own. After a conflict or a lost
// answer, put reads the version of the object and overwrites it with the newer
// totals.
func (m *Meter) put(ctx context.Context, o pendingWrite) error {
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

// version returns the version of an object after its last write, or 0 if there
// was none.
func (m *Meter) version(o pendingWrite) quetzalhook.Version {
	m.mu.Lock()
	defer m.mu.Unlock()
	if l := m.ledger(o.value.Source, o.value.Window); l != nil {
		return l.versions[o.key]
	}
	return 0
}

// flushOrphanedReplicas writes to the store the replicas whose sources may not
// have written them, and drops old replicas that are stored.
func (m *Meter) flushOrphanedReplicas(ctx context.Context) error {
	for s, list := range m.orphanedReplicas() {
		for _, w := range list {
			if err := m.flushWindow(ctx, s, w, m.self.Host); err != nil {
				return err
			}
		}
	}
	m.dropOldReplicas()
	return nil
}

// orphanedReplicas returns the replicas of silent sources, and those of windows
// that ended long ago without a message that their source has stored them.
func (m *Meter) orphanedReplicas() map[Source][]Window {
	now := m.clock.Now()
	calendarNow := m.calendar.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	list := make(map[Source][]Window)
	for s, r := range m.replicas {
		for w := range r.windows {
			if now.Sub(r.lastHeard) >= m.orphanAfter || m.isExpired(w, calendarNow) {
				list[s] = append(list[s], w)
			}
		}
	}
	return list
}

// isExpired reports whether a window ended at least replicaRetention ago or
// cannot be parsed.
func (m *Meter) isExpired(w Window, calendarNow time.Time) bool {
	end, err := m.schedule.End(w)
	return err != nil || calendarNow.Sub(end) >= m.replicaRetention
}

// dropOldReplicas deletes the replicas of expired windows that this host has
// written to the store, and sources without replicas that have been silent for
// replicaRetention.
func (m *Meter) dropOldReplicas() {
	now, calendarNow := m.clock.Now(), m.calendar.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	for s, r := range m.replicas {
		for w, l := range r.windows {
			if m.isExpired(w, calendarNow) && l.isStored() {
				delete(r.windows, w)
			}
		}
		if len(r.windows) == 0 && now.Sub(r.lastHeard) >= m.replicaRetention {
			delete(m.replicas, s)
		}
	}
}
