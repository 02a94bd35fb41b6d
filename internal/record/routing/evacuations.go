package routing

import (
	"maps"
	"slices"
	"strings"
	"time"

	"quetzalhook"
)

// zoneChange is the newest known change of the evacuation of a zone.
type zoneChange struct {
	_         struct{} `cbor:",toarray"`
	Zone      quetzalhook.Zone
	Version   quetzalhook.Version
	Evacuated bool
}

// evacuations is what a host knows of the evacuated zones. An older state never undoes a
// newer one, in whatever order lists, events and the states of other hosts arrive: each
// change counts only against older ones of its zone. That a zone is missing shows the end
// of its evacuation only in a list, since a watch may miss an event. The zero value knows
// nothing.
type evacuations struct {
	// known reports that the store or another host has told the set.
	known bool
	// listed is the version of the newest list. A zone without a change was not
	// evacuated then.
	listed  quetzalhook.Version
	changes map[quetzalhook.Zone]zoneChange
	// latest is the version of the newest change.
	latest quetzalhook.Version
	// start is the version of the first list of the newest era: later changes were written
	// in that era.
	start quetzalhook.Version
	// kept holds whether a zone stays evacuated, or not, although the first list of the
	// newest era shows otherwise. It ends at keptEnd, or with a change that was written in
	// that era.
	kept    map[quetzalhook.Zone]bool
	keptEnd time.Time
}

// isEvacuated reports whether a zone is evacuated.
func (e *evacuations) isEvacuated(z quetzalhook.Zone) bool {
	if evacuated, isKept := e.kept[z]; isKept {
		return evacuated
	}
	return e.changes[z].Evacuated
}

// zones returns the evacuated zones, sorted.
func (e *evacuations) zones() []quetzalhook.Zone {
	var list []quetzalhook.Zone
	for z := range e.changes {
		if e.isEvacuated(z) {
			list = append(list, z)
		}
	}
	for z, evacuated := range e.kept {
		if _, ok := e.changes[z]; !ok && evacuated {
			list = append(list, z)
		}
	}
	slices.Sort(list)
	return list
}

// apply takes one change of a zone. It reports whether the zone is evacuated now and was
// not before, or the other way round.
func (e *evacuations) apply(c zoneChange) bool {
	before := e.isEvacuated(c.Zone)
	e.applyStored(c)
	if c.Version > e.start {
		delete(e.kept, c.Zone) // written in this era
	}
	return before != e.isEvacuated(c.Zone)
}

// applyStored takes one change of what the store holds. It reports whether that has changed.
func (e *evacuations) applyStored(c zoneChange) bool {
	old, ok := e.changes[c.Zone]
	if c.Version < old.Version || ok && c.Version == old.Version && c.Evacuated || !ok && c.Version <= e.listed {
		return false // a removal may have the version of the object that it removes
	}
	if e.changes == nil {
		e.changes = make(map[quetzalhook.Zone]zoneChange)
	}
	e.changes[c.Zone] = c
	e.latest = max(e.latest, c.Version)
	return old.Evacuated != c.Evacuated
}

// applyList takes the changes of all zones as of a version: a zone that is not among them
// was not evacuated then. It reports whether the set of evacuated zones has changed.
func (e *evacuations) applyList(version quetzalhook.Version, list []zoneChange) bool {
	return e.applyListFrom(version, version, list)
}

// applyListFrom is applyList if start is the version of the first list of the era.
func (e *evacuations) applyListFrom(start, version quetzalhook.Version, list []zoneChange) bool {
	before, isReturn := e.zones(), e.known && version.Era() > e.listed.Era()
	if !e.known || isReturn {
		e.start, e.kept = start, nil
	}
	listed := make(map[quetzalhook.Zone]bool, len(list))
	for _, c := range list {
		listed[c.Zone] = true
		e.apply(c)
	}
	for z, c := range e.changes {
		if !listed[z] && c.Evacuated {
			e.applyStored(zoneChange{Zone: z, Version: version})
		}
	}
	if isReturn {
		e.keep(before)
	}
	e.known, e.listed = true, max(e.listed, version)
	// Ends up to the newest list need not be kept.
	maps.DeleteFunc(e.changes, func(_ quetzalhook.Zone, c zoneChange) bool { return !c.Evacuated && c.Version <= e.listed })
	return !slices.Equal(before, e.zones())
}

// keep keeps in force which zones were evacuated before the first list of an era, except
// where a change was written in this era.
func (e *evacuations) keep(before []quetzalhook.Zone) {
	e.kept, e.keptEnd = make(map[quetzalhook.Zone]bool), time.Time{}
	for _, z := range before {
		if !e.changes[z].Evacuated && e.changes[z].Version <= e.start {
			e.kept[z] = true
		}
	}
	for z, c := range e.changes {
		if c.Evacuated && c.Version <= e.start && !slices.Contains(before, z) {
			e.kept[z] = false
		}
	}
}

// expire ends what is kept once its time is over. It reports whether the set of evacuated
// zones has changed.
func (e *evacuations) expire(now time.Time) bool {
	if len(e.kept) == 0 || now.Before(e.keptEnd) {
		return false
	}
	before := e.zones()
	e.kept = nil
	return !slices.Equal(before, e.zones())
}

// wireEvacuations is the state of a host as sent to another.
type wireEvacuations struct {
	_       struct{} `cbor:",toarray"`
	Listed  quetzalhook.Version
	Latest  quetzalhook.Version
	Changes []zoneChange
	start   quetzalhook.Version // not sent here, see pullAnswer
}

// toWire returns the state for another host, or nil if nothing is known.
func (e *evacuations) toWire() *wireEvacuations {
	if !e.known {
		return nil
	}
	return &wireEvacuations{Listed: e.listed, Latest: e.latest, Changes: slices.Collect(maps.Values(e.changes)), start: e.start}
}

// merge takes the state of another host. It reports whether the set of evacuated zones
// has changed.
func (e *evacuations) merge(w *wireEvacuations) bool {
	start := w.start
	if start.Era() != w.Listed.Era() || start == 0 {
		start = w.Listed
	}
	changed := e.applyListFrom(start, w.Listed, w.Changes)
	e.latest = max(e.latest, w.Latest)
	return changed
}

// awaitsSets reports whether the table must not be in force yet, since the evacuated zones
// or the splits are not known. The caller holds f.mu.
func (f *Follower) awaitsSets() bool {
	return !f.knowsSets() && f.table != nil && f.clock.Now().Sub(f.tableKnownAt) < firstSetWait
}

// knowsSets reports whether the evacuated zones and the splits are known, or not followed.
// The caller holds f.mu.
func (f *Follower) knowsSets() bool {
	return (f.source.EvacuationPrefix == "" || f.evacuations.known) && (f.source.SplitPrefix == "" || f.splits.known)
}

// mustAskForSets reports whether the table waits for the evacuated zones or the splits, so
// that any host is asked. Later, the versions in heartbeats tell whom to ask.
func (f *Follower) mustAskForSets() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.awaitsSets()
}

// applyEvacuations applies a list of the evacuated zones, or a single event if event is
// not nil.
func (f *Follower) applyEvacuations(list *listing, event *quetzalhook.Object) {
	f.mu.Lock()
	defer f.mu.Unlock()
	wasKnown, changed := f.evacuations.known, false
	if event != nil {
		changed = f.evacuations.apply(f.zoneChange(*event))
	} else {
		var changes []zoneChange
		for _, o := range list.Objects {
			changes = append(changes, f.zoneChange(o))
		}
		f.era.observe(list.Version)
		changed = f.evacuations.applyList(list.Version, changes)
	}
	f.afterEvacuations(changed, wasKnown, "store")
}

// zoneChange returns the change that an object stands for. Its content does not matter.
func (f *Follower) zoneChange(o quetzalhook.Object) zoneChange {
	return zoneChange{Zone: quetzalhook.Zone(strings.TrimPrefix(o.Key, f.source.EvacuationPrefix)), Version: o.Version, Evacuated: !o.Deleted}
}

// mergeEvacuations takes the evacuated zones that another host has sent; nil for none.
func (f *Follower) mergeEvacuations(w *wireEvacuations, host quetzalhook.HostID) {
	if w == nil || f.source.EvacuationPrefix == "" {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	wasKnown := f.evacuations.known
	f.afterEvacuations(f.evacuations.merge(w), wasKnown, string(host))
}

// afterEvacuations passes a change of the evacuated zones on, or the first knowledge of
// them. The caller holds f.mu.
func (f *Follower) afterEvacuations(changed, wasKnown bool, from string) {
	if e := &f.evacuations; len(e.kept) > 0 && e.keptEnd.IsZero() {
		e.keptEnd = f.clock.Now().Add(keptZones)
		f.log.WithField("zones", e.zones()).WithField("kept", len(e.kept)).WithField("revision", e.start).WithField("from", from).Warn("evacuated zones of an older copy; those before it are kept")
	}
	if changed {
		f.log.WithField("zones", f.evacuations.zones()).WithField("revision", f.evacuations.latest).WithField("from", from).Info("evacuated zones changed")
		f.markOutdated()
	} else if !wasKnown && f.evacuations.known {
		f.notifyChanged()
	}
}
