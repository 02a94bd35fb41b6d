package routing

import (
	"cmp"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"quetzalhook"
)

// An era of the store ends when it comes back from an older copy. A host then knows more than
// the store until the operator and the upstreams have written again. A table is compared by
// its own version, so that nothing of it is lost. The state of an upstream only goes forward
// within one of its starts, from ready to leaving to removed: what a later era shows of an
// earlier state is the older copy, and the known state is kept.

const (
	// keptRemoved is how long an upstream that was removed must be listed in a later era
	// until it is used again. It is longer than a dead upstream's record lasts, three
	// registration intervals.
	keptRemoved = 10 * time.Second
	// keptZones is how long the evacuated zones stay as they are when the era rises, unless
	// the operator writes them again.
	keptZones = missingGrace
)

// knownEra is the newest era of which a host has heard.
type knownEra struct {
	newest int64
	// hasRisen reports whether the era has risen since this host first knew one.
	hasRisen bool
}

// observe records the era of a version.
func (k *knownEra) observe(v quetzalhook.Version) {
	if v.Era() > k.newest {
		k.hasRisen = k.hasRisen || k.newest > 0
		k.newest = v.Era()
	}
}

// mayHaveReturned reports whether the store has come back from a copy, perhaps before this host
// started.
func (k *knownEra) mayHaveReturned() bool { return k.newest > 1 }

// versionOf returns the version that another host tells. Hosts of older builds do not tell an
// era: theirs counts as the newest, and as the earliest once the store may have come back.
func (k *knownEra) versionOf(v quetzalhook.Version) quetzalhook.Version {
	if v > 0 && v.Era() == 0 && !k.mayHaveReturned() {
		return quetzalhook.NewVersion(k.newest, v.Revision())
	}
	return v
}

// keptState is why an upstream is not used although the store shows it as usable: this host
// knows a later state of the same start from an earlier era. The zero value is an upstream
// whose record counts.
type keptState struct {
	isKept bool
	// shown is the record in the store if the upstream is removed, and shownSince is when
	// it was first seen.
	shown      quetzalhook.Upstream
	shownSince time.Time
}

// progress is how far an upstream has come: it only rises while the store loses nothing.
type progress struct {
	started int64
	stage   int // within the start: ready, leaving or removed
}

func (p progress) compare(other progress) int {
	return cmp.Or(cmp.Compare(p.started, other.started), cmp.Compare(p.stage, other.stage))
}

// stageRemoved is above the states of records.
const stageRemoved = int(quetzalhook.UpstreamGone) + 1

func progressOf(u quetzalhook.Upstream) progress { return progress{u.Started, int(u.State)} }

func (e *entry) progress() progress {
	if !e.removed.IsZero() && !e.isPresumed {
		return progress{e.upstream.Started, stageRemoved}
	}
	return progressOf(e.upstream)
}

func (p pulledUpstream) progress() progress {
	if p.Removed && !p.Presumed {
		return progress{p.Started, stageRemoved}
	}
	return progressOf(p.upstream())
}

// presumeRemoved records that a removed upstream may still run.
func (e *entry) presumeRemoved() {
	e.isPresumed = true
	if e.upstream.State == quetzalhook.UpstreamGone {
		e.upstream.State = quetzalhook.UpstreamReady // not known
	}
}

// keepsAgainst reports whether the entry stays in force although the store has a newer record
// of the upstream.
func (e *entry) keepsAgainst(u quetzalhook.Upstream, version quetzalhook.Version) bool {
	return (e.kept.isKept || version.Era() > e.version.Era()) && e.progress().compare(progressOf(u)) > 0
}

// mayReturn reports whether a removed upstream is used again once it was listed for
// keptRemoved. One that was leaving has ended with this start.
func (e *entry) mayReturn() bool { return e.upstream.State != quetzalhook.UpstreamLeaving }

// takeRecord takes a record that is newer than what is known of the upstream. The caller
// holds f.mu.
func (f *Follower) takeRecord(now time.Time, u quetzalhook.Upstream, version quetzalhook.Version) {
	if e := f.entries[u.ID]; e != nil && e.keepsAgainst(u, version) {
		f.keep(now, e, u, version)
		return
	}
	f.setUpstream(u, version)
}

// keep records that an entry stays in force against a record of a later era. The caller holds
// f.mu.
func (f *Follower) keep(now time.Time, e *entry, u quetzalhook.Upstream, version quetzalhook.Version) {
	isNew := !e.kept.isKept || version.Era() > e.version.Era()
	e.version, e.kept.isKept, e.kept.shown, f.mayKeep = version, true, u, true
	f.latest = max(f.latest, version)
	if !isNew {
		return
	}
	e.kept.shownSince = now
	if e.removed.IsZero() && e.upstream.State == quetzalhook.UpstreamReady {
		e.graceEnd = now.Add(missingGrace) // the record of its start is missing
	}
	f.logKept(e, version, "store")
}

// logKept logs that an entry stays in force. The caller holds f.mu.
func (f *Follower) logKept(e *entry, version quetzalhook.Version, from string) {
	f.log.WithFields(logrus.Fields{
		"upstream": e.upstream.ID, "state": e.upstream.State, "removed": !e.removed.IsZero(), "shown-state": e.kept.shown.State,
		"revision": version, "from": from,
	}).Info("upstream keeps its state against the older copy")
}

// endKept ends the kept state of an upstream whose record is gone. The caller holds f.mu.
func (f *Follower) endKept(e *entry, version quetzalhook.Version) {
	e.version, e.kept = max(e.version, version), keptState{}
	f.latest = max(f.latest, e.version)
	f.log.WithField("upstream", e.upstream.ID).WithField("revision", version).Info("upstream no longer listed; kept state ended")
}

// endsRemoval reports whether a removed upstream has been listed for so long that it is used
// again.
func (e *entry) endsRemoval(now time.Time) bool {
	return e.kept.isKept && !e.removed.IsZero() && e.mayReturn() && now.Sub(e.kept.shownSince) > keptRemoved
}

// endRemoval takes the record of an upstream that was kept as removed. The caller holds f.mu.
func (f *Follower) endRemoval(e *entry) {
	f.setUpstream(e.kept.shown, e.version)
	f.entries[e.upstream.ID].acceptedIn = e.version.Era()
}

// takeKept takes the kept state of an upstream from another host that knows more of the
// earlier era. It returns false if this host knows as much. As in the entries of this host, a
// removed upstream counts as leaving if it must not be used again. The caller holds f.mu.
func (f *Follower) takeKept(now time.Time, p pulledUpstream, from quetzalhook.HostID) bool {
	e := f.entries[p.ID]
	if !p.Kept || e != nil && !e.isBehind(p) {
		return false
	}
	if e == nil && p.Version <= f.complete {
		return false // the record is gone
	}
	known := &entry{upstream: p.upstream(), version: p.Version, registered: p.Version}
	known.kept = keptState{isKept: true, shown: p.upstream(), shownSince: now}
	if e != nil {
		known.version, known.registered, known.kept.shown = max(e.version, p.Version), e.registered, e.upstream
	}
	if p.GraceLeft > 0 {
		known.graceEnd, known.registered = now.Add(p.GraceLeft), p.Registered
	}
	if p.Removed {
		known.removed, known.isPresumed = now, p.Presumed
		known.kept.shownSince = now.Add(p.ReturnsIn - keptRemoved)
		known.upstream.State = quetzalhook.UpstreamReady
	}
	if p.Removed && (p.ReturnsIn == 0 || e != nil && !e.removed.IsZero() && !e.mayReturn()) {
		known.upstream.State = quetzalhook.UpstreamLeaving
	}
	f.entries[p.ID], f.mayKeep = known, true
	f.latest = max(f.latest, known.version)
	f.logKept(known, p.Version, string(from))
	return true
}

// followKept takes the newer record against which another host keeps a state that this host
// has reached as well. The caller holds f.mu.
func (f *Follower) followKept(now time.Time, e *entry, p pulledUpstream) {
	isKept := e.kept.isKept || p.Version.Era() > e.version.Era()
	if isKept && p.Version > e.version {
		f.keep(now, e, p.upstream(), p.Version)
	}
}

// isBehind reports whether an entry lacks the kept state of another host.
func (e *entry) isBehind(p pulledUpstream) bool {
	if p.Version.Era() > e.version.Era() {
		return e.progress().compare(p.progress()) <= 0
	}
	return p.Version.Era() == e.version.Era() && e.acceptedIn != e.version.Era() && e.progress().compare(p.progress()) < 0
}

// Kept returns a hash of the upstreams whose state is kept against the store; 0 for none.
// Heartbeats carry it, since these states have no versions in the store.
func (f *Follower) Kept() uint32 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.keptHash()
}

// keptHash is Kept for a caller that holds f.mu.
func (f *Follower) keptHash() uint32 {
	if !f.mayKeep {
		return 0 // each heartbeat asks
	}
	sum, isAnyKept := uint32(0), false
	for id, e := range f.entries {
		if e.kept.isKept {
			isAnyKept = true
			text := string(id) + "\x00" + string(rune(e.progress().stage))
			sum ^= uint32(xxhash.Sum64String(text))
		}
	}
	f.mayKeep = isAnyKept
	return sum
}

// isReturn reports whether a list of a version shows that the store has come back from an older
// copy since the list before. The caller holds f.mu.
func (f *Follower) isReturn(version quetzalhook.Version) bool {
	return f.complete > 0 && version.Era() > f.complete.Era()
}

// logReturn logs what a list of a later era leaves in force. The caller holds f.mu.
func (f *Follower) logReturn(version quetzalhook.Version, from string) {
	var missing, leaving, removed int
	for _, e := range f.entries {
		switch {
		case !e.graceEnd.IsZero():
			missing++
		case e.kept.isKept && !e.removed.IsZero():
			removed++
		case e.kept.isKept:
			leaving++
		}
	}
	f.log.WithFields(logrus.Fields{
		"revision": version, "from": from, "missing": missing, "leaving": leaving, "removed": removed,
	}).Warn("upstreams of an older copy; later states are kept")
}
