package routing

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"quetzalhook"
)

const (
	// pullKind is the name of the peer call that reads changes.
	pullKind = "routing-pull"
	// maxSampledPeers is the number of hosts that are asked for what no heartbeat announces.
	maxSampledPeers = 3
	// missingTimeout limits a pull of removals.
	missingTimeout = 400 * time.Millisecond
)

// pullCounters counts the pulls of a host and those that it has answered.
type pullCounters struct {
	failed        atomic.Int64
	answers       atomic.Int64
	answeredBytes atomic.Int64
}

// PullCounts returns how many pulls of this host have failed, how many pulls of other hosts
// it has answered, and the bytes of these answers.
func (f *Follower) PullCounts() (failed, answers, answeredBytes int64) {
	return f.pulls.failed.Load(), f.pulls.answers.Load(), f.pulls.answeredBytes.Load()
}

// recordAnnouncement records since when another host has announced a newer table.
func (f *Follower) recordAnnouncement(isNewer bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case !isNewer:
		f.announcedAt = time.Time{}
	case f.announcedAt.IsZero():
		f.announcedAt = f.clock.Now()
	}
}

// behind returns how long another host has announced a newer table. The caller holds f.mu.
func (f *Follower) behind() time.Duration {
	if f.announcedAt.IsZero() {
		return 0
	}
	return f.clock.Now().Sub(f.announcedAt)
}

// pullRequest requests the changes that are newer than the caller's state.
type pullRequest struct {
	Table    int64               `cbor:"1,keyasint"` // version number of the table in force
	Complete quetzalhook.Version `cbor:"2,keyasint"` // all upstream changes up to it are known
	// Evacuations is one more than the version of the newest known change of the
	// evacuated zones; 0 if they are not known, or zones are not evacuated.
	Evacuations quetzalhook.Version `cbor:"3,keyasint,omitempty"`
	// Splits is one more than the caller's SplitVersion; 0 if it does not know the splits.
	Splits int64 `cbor:"4,keyasint,omitempty"`
	// Packed reports that the caller understands PackedTable, and Patches that it
	// understands TablePatch and knows the whole table of its version.
	Packed  bool `cbor:"5,keyasint,omitempty"`
	Patches bool `cbor:"6,keyasint,omitempty"`
	// CompleteEra and EvacuationEra are the eras of Complete and Evacuations, which hold
	// plain revisions in messages: hosts of older builds do not know of eras.
	CompleteEra   int64 `cbor:"7,keyasint,omitempty"`
	EvacuationEra int64 `cbor:"8,keyasint,omitempty"`
	// Missing holds upstreams of which the caller wants to know the state whatever its
	// version.
	Missing []quetzalhook.UpstreamID `cbor:"9,keyasint,omitempty"`
}

// pullAnswer holds the table, if it is newer than the caller's, and the changes
// of upstreams. TableVersion is also set if the caller has the same table.
type pullAnswer struct {
	Table        *Table              `cbor:"1,keyasint,omitempty"`
	TableVersion quetzalhook.Version `cbor:"2,keyasint,omitempty"`
	Upstreams    []pulledUpstream    `cbor:"3,keyasint,omitempty"`
	Complete     quetzalhook.Version `cbor:"4,keyasint"`
	// Full reports that Upstreams and Unchanged together contain all listed
	// upstreams, so that the receiver removes all others.
	Full      bool                     `cbor:"5,keyasint,omitempty"`
	Unchanged []quetzalhook.UpstreamID `cbor:"6,keyasint,omitempty"`
	// Evacuations holds the evacuated zones if the caller does not know the newest change.
	Evacuations *wireEvacuations `cbor:"7,keyasint,omitempty"`
	// Splits holds the encoded splits by service if the caller does not know the newest.
	Splits map[string][]byte `cbor:"8,keyasint"`
	// PackedTable holds the table, and TablePatch a tablePatch, both from deflate. At most
	// one of Table, PackedTable and TablePatch is set.
	PackedTable []byte `cbor:"9,keyasint,omitempty"`
	TablePatch  []byte `cbor:"10,keyasint,omitempty"`
	// These are the eras of TableVersion, Complete and the versions in Evacuations, which
	// are plain revisions in messages. EvacuationStart is the revision of the first list of
	// the era.
	TableEra        int64 `cbor:"11,keyasint,omitempty"`
	CompleteEra     int64 `cbor:"12,keyasint,omitempty"`
	EvacuationEra   int64 `cbor:"13,keyasint,omitempty"`
	EvacuationStart int64 `cbor:"14,keyasint,omitempty"`
	// Kept is the hash of the kept states, all of which are among Upstreams.
	Kept uint32 `cbor:"15,keyasint,omitempty"`

	from quetzalhook.HostID
}

// pulledUpstream is the record of an upstream as sent between hosts. It holds only
// what is read from the store, since a list is sent to every host of a cell.
type pulledUpstream struct {
	ID      quetzalhook.UpstreamID `cbor:"1,keyasint"`
	Version quetzalhook.Version    `cbor:"2,keyasint"`
	Removed bool                   `cbor:"3,keyasint,omitempty"`
	// GraceLeft is the time until a missing upstream counts as removed unless it
	// registers again; 0 if the upstream is not missing.
	GraceLeft time.Duration             `cbor:"4,keyasint,omitempty"`
	Service   string                    `cbor:"5,keyasint,omitempty"`
	Address   string                    `cbor:"6,keyasint,omitempty"`
	Zone      quetzalhook.Zone          `cbor:"7,keyasint,omitempty"`
	Region    quetzalhook.Region        `cbor:"8,keyasint,omitempty"`
	Models    []quetzalhook.Model       `cbor:"9,keyasint,omitempty"`
	State     quetzalhook.UpstreamState `cbor:"10,keyasint,omitempty"`
	Slots     int                       `cbor:"11,keyasint,omitempty"`
	Cheap     bool                      `cbor:"12,keyasint,omitempty"`
	Started   int64                     `cbor:"13,keyasint,omitempty"`
	LeavesIn  time.Duration             `cbor:"14,keyasint,omitempty"`
	// Registered is the version of the record in the store. It is only set if
	// GraceLeft is.
	Registered quetzalhook.Version `cbor:"15,keyasint,omitempty"`
	// ColdFor is not reduced by the age of the record here: too long a time costs less
	// than one that ends too early.
	ColdFor time.Duration     `cbor:"16,keyasint,omitempty"`
	Build   quetzalhook.Build `cbor:"17,keyasint,omitempty"`
	// Era and RegisteredEra are those of Version and Registered, which are plain revisions
	// in messages.
	Era           int64 `cbor:"18,keyasint,omitempty"`
	RegisteredEra int64 `cbor:"19,keyasint,omitempty"`
	// Kept reports that the state is kept against the store. ReturnsIn is then the time
	// until a removed upstream is used again if it remains listed; 0 if it is not.
	Kept      bool          `cbor:"20,keyasint,omitempty"`
	ReturnsIn time.Duration `cbor:"21,keyasint,omitempty"`
	// Presumed reports that the upstream is removed only since its record is lost or cannot
	// be decoded.
	Presumed bool `cbor:"22,keyasint,omitempty"`
}

// newPulledUpstream converts an entry to its form in a pull answer.
func newPulledUpstream(e *entry, now time.Time) pulledUpstream {
	u := e.upstream
	p := pulledUpstream{ID: u.ID, Version: e.version, Removed: !e.removed.IsZero(), Kept: e.kept.isKept, Presumed: e.isPresumed}
	switch {
	case p.Removed && !p.Kept:
		p.State, p.Started = u.State, u.Started
		return p
	case p.Removed && e.mayReturn():
		p.ReturnsIn = max(keptRemoved-now.Sub(e.kept.shownSince), time.Millisecond)
		u = e.kept.shown
	}
	if !e.graceEnd.IsZero() {
		p.GraceLeft, p.Registered = max(e.graceEnd.Sub(now), time.Millisecond), e.registered
	}
	p.Service, p.Address, p.Zone, p.Region, p.Models = u.Service, u.Address, u.Zone, u.Region, u.Models
	p.State, p.Slots, p.Cheap, p.Started, p.LeavesIn = u.State, u.Slots, u.Cheap, u.Started, u.LeavesIn
	p.ColdFor, p.Build = u.ColdFor, u.Build
	return p
}

func (p pulledUpstream) upstream() quetzalhook.Upstream {
	return quetzalhook.Upstream{
		ID: p.ID, Service: p.Service, Address: p.Address, Zone: p.Zone, Region: p.Region, Models: p.Models, State: p.State,
		Slots: p.Slots, Cheap: p.Cheap, Started: p.Started, LeavesIn: p.LeavesIn,
		ColdFor: p.ColdFor, Build: p.Build,
	}
}

// handlePull answers a pull with the newer table and the upstreams that changed
// after the caller's version.
func (f *Follower) handlePull(_ context.Context, _ quetzalhook.HostID, body []byte) ([]byte, error) {
	var req pullRequest
	if err := cbor.Unmarshal(body, &req); err != nil {
		return nil, &Error{Op: "pull", Kind: ErrorCorrupt, Err: err}
	}
	now := f.clock.Now()
	f.mu.Lock()
	req.addEras(&f.era)
	answer := pullAnswer{Complete: f.complete, Full: req.Complete < f.purged, Kept: f.keptHash()}
	var table, base *Table
	if f.table != nil && f.table.Version == req.Table {
		answer.TableVersion = f.tableVersion
	}
	if f.table != nil && f.table.Version > req.Table {
		table, answer.TableVersion = f.table, f.tableVersion
		if i := slices.IndexFunc(f.bases, func(t *Table) bool { return t.Version == req.Table }); i >= 0 && req.Patches {
			base = f.bases[i]
		}
	}
	if f.evacuations.latest+1 > req.Evacuations {
		answer.Evacuations = f.evacuations.toWire()
	}
	missing := make(map[quetzalhook.UpstreamID]bool, len(req.Missing))
	for _, id := range req.Missing {
		missing[id] = true
	}
	for id, e := range f.entries {
		switch {
		case e.version > req.Complete, e.kept.isKept, missing[id]:
			answer.Upstreams = append(answer.Upstreams, newPulledUpstream(e, now))
		case answer.Full && e.removed.IsZero():
			answer.Unchanged = append(answer.Unchanged, id)
		}
	}
	if req.CompleteEra == 0 {
		answer.toldToOlder(f)
	}
	var err error
	answer.Splits, err = f.encodeSplits(req.Splits)
	f.mu.Unlock()
	if err != nil {
		return nil, &Error{Op: "pull", Kind: ErrorCorrupt, Err: err}
	}
	switch {
	case table != nil && req.Packed:
		if answer.PackedTable, answer.TablePatch, err = f.encoder.encode(table, base); err != nil {
			return nil, &Error{Op: "pull", Kind: ErrorCorrupt, Err: err}
		}
	case table != nil:
		answer.Table = table
	}
	answer.splitEras()
	encoded, err := cbor.Marshal(answer)
	f.pulls.answers.Add(1)
	f.pulls.answeredBytes.Add(int64(len(encoded)))
	return encoded, err
}

// pullLogged pulls from one host and logs a failure.
func (f *Follower) pullLogged(ctx context.Context, host quetzalhook.HostID) error {
	err := f.pull(ctx, host, f.completeVersion(), pullTimeout)
	if err != nil && ctx.Err() == nil {
		f.pulls.failed.Add(1)
		f.mu.Lock()
		behind := f.behind()
		f.mu.Unlock()
		f.log.WithError(err).WithFields(logrus.Fields{
			"peer": host, "behind-ms": behind.Milliseconds(),
		}).Info("changes not pulled")
	}
	return err
}

// completeVersion returns the version up to which all upstream changes are known.
func (f *Follower) completeVersion() quetzalhook.Version {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.complete
}

// pull requests the changes of upstreams after a version, the state of the missing ones, and a
// newer table, from one host and applies them.
func (f *Follower) pull(ctx context.Context, host quetzalhook.HostID, after quetzalhook.Version, timeout time.Duration, missing ...quetzalhook.UpstreamID) error {
	f.mu.Lock()
	req := pullRequest{Complete: after, Packed: true, Missing: missing}
	base := f.table
	if base != nil {
		req.Table, req.Patches = base.Version, !f.patchFailed
	}
	if f.evacuations.known {
		req.Evacuations = f.evacuations.latest + 1
	}
	if f.splits.known {
		req.Splits = f.splits.version() + 1
	}
	f.mu.Unlock()
	req.splitEras()
	body, err := cbor.Marshal(req)
	if err != nil {
		return &Error{Op: "pull", Kind: ErrorCorrupt, Err: err}
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := f.peers.Call(ctx, host, pullKind, body)
	if err != nil {
		return &Error{Op: "pull", Kind: ErrorUnavailable, Err: err}
	}
	var answer pullAnswer
	if err := cbor.Unmarshal(reply, &answer); err != nil {
		return &Error{Op: "pull", Kind: ErrorCorrupt, Err: err}
	}
	f.mu.Lock()
	answer.addEras(&f.era)
	if answer.Kept == 0 {
		delete(f.keptPulled, host)
	} else {
		f.keptPulled[host] = answer.Kept
	}
	f.mu.Unlock()
	answer.from = host
	f.merge(answer)
	f.mergeEvacuations(answer.Evacuations, host)
	f.mergeSplits(answer.Splits, host)
	table, err := answer.table(base)
	if err != nil {
		f.mu.Lock()
		f.patchFailed = f.patchFailed || answer.TablePatch != nil
		f.mu.Unlock()
		return &Error{Op: "pull", Kind: ErrorCorrupt, Err: err}
	}
	if table == nil {
		table = base // stored again since, if TableVersion is newer
	}
	if table != nil {
		f.install(table, answer.TableVersion, string(host))
	}
	return nil
}

// table returns the table that an answer holds, or nil. base is the table in force when the
// pull began.
func (a pullAnswer) table(base *Table) (*Table, error) {
	switch {
	case a.TablePatch != nil:
		var p tablePatch
		if err := inflate(a.TablePatch, &p); err != nil {
			return nil, err
		}
		if base == nil || p.Base != base.Version {
			return nil, errors.Errorf("patch applies to version %d", p.Base)
		}
		return p.apply(base)
	case a.PackedTable != nil:
		t := &Table{}
		return t, inflate(a.PackedTable, t)
	default:
		return a.Table, nil
	}
}

// merge applies the upstream changes that another host sent.
func (f *Follower) merge(answer pullAnswer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	latest := max(f.latest, answer.Complete) // see applyUpstreams
	listed := make(map[quetzalhook.UpstreamID]bool, len(answer.Upstreams)+len(answer.Unchanged))
	for _, id := range answer.Unchanged {
		listed[id] = true
	}
	isReturn := f.isReturn(answer.Complete)
	for _, p := range answer.Upstreams {
		id := p.ID
		listed[id] = true
		if !p.Kept && f.isPast(id, p.Version, answer.Complete) {
			continue
		}
		f.takePulled(now, p, answer.from)
	}
	if answer.Full {
		f.purged = max(f.purged, answer.Complete) // as with a list from the store
		for id, e := range f.entries {
			if !listed[id] && e.version <= answer.Complete {
				f.takeMissing(now, id, e, answer.Complete, false)
			}
		}
	}
	f.complete, f.latest = max(f.complete, answer.Complete), latest
	if isReturn {
		f.logReturn(answer.Complete, string(answer.from))
	}
	f.markOutdated()
}

// takePulled takes the state of an upstream that another host sent. The caller holds f.mu.
func (f *Follower) takePulled(now time.Time, p pulledUpstream, from quetzalhook.HostID) {
	id, e := p.ID, f.entries[p.ID]
	wasListed := e != nil && e.removed.IsZero()
	switch {
	case f.takeKept(now, p, from):
	case p.Kept && e != nil:
		f.followKept(now, e, p)
	case e == nil && p.Version.Era() < f.complete.Era():
		// A removal in the era of the list may not be known.
	case e != nil && p.endsGrace(e):
		e.kept, e.isPresumed = keptState{}, p.Presumed
		f.remove(now, id, e, p.Version, false)
	case e != nil && p.GraceLeft > 0 && e.version > p.Registered && (!e.removed.IsZero() || e.progress().compare(p.progress()) > 0):
		// The other host does not know yet that the upstream leaves or was removed.
	case e != nil && p.Version <= e.version:
	case p.Removed:
		f.removeByID(now, id, p.Version)
		if e == nil {
			f.entries[id].upstream.Started = p.Started
		}
		if p.Presumed && (e == nil || wasListed) {
			f.entries[id].presumeRemoved()
		}
	case p.GraceLeft > 0:
		f.setUpstream(p.upstream(), p.Version)
		f.entries[id].graceEnd, f.entries[id].registered = now.Add(p.GraceLeft), p.Registered
	default:
		f.takeRecord(now, p.upstream(), p.Version)
	}
}

// endsGrace reports whether another host knows that a missing upstream left or was removed
// after it was registered.
func (p pulledUpstream) endsGrace(e *entry) bool {
	if e.graceEnd.IsZero() || p.Version <= e.registered {
		return false
	}
	return p.Removed || p.GraceLeft == 0 && p.State != quetzalhook.UpstreamReady && p.Version <= e.version && p.Started == e.upstream.Started
}
