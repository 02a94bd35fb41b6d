package routing

import (
	"maps"
	"slices"
	"strings"

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
}

// isEvacuated reports whether a zone is evacuated.
func (e *evacuations) isEvacuated(z quetzalhook.Zone) bool { return e.changes[z].Evacuated }

// zones returns the evacuated zones, sorted.
func (e *evacuations) zones() []quetzalhook.Zone {
	var list []quetzalhook.Zone
	for z, c := range e.changes {
		if c.Evacuated {
			list = append(list, z)
		}
	}
	slices.Sort(list)
	return list
}

// apply takes one change of a zone. It reports whether the zone is evacuated now and was
// not before, or the other way round.
func (e *evacuations) apply(c zoneChange) bool {
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
	changed := false
	listed := make(map[quetzalhook.Zone]bool, len(list))
	for _, c := range list {
		listed[c.Zone] = true
		changed = e.apply(c) || changed
	}
	for z, c := range e.changes {
		if !listed[z] && c.Evacuated {
			changed = e.apply(zoneChange{Zone: z, Version: version}) || changed
		}
	}
	e.known, e.listed = true, max(e.listed, version)
	// Ends up to the newest list need not be kept.
	maps.DeleteFunc(e.changes, func(_ quetzalhook.Zone, c zoneChange) bool { return !c.Evacuated && c.Version <= e.listed })
	return changed
}

// wireEvacuations is the state of a host as sent to another.
type wireEvacuations struct {
	_       struct{} `cbor:",toarray"`
	Listed  quetzalhook.Version
	Latest  quetzalhook.Version
	Changes []zoneChange
}

// toWire returns the state for another host, or nil if nothing is known.
func (e *evacuations) toWire() *wireEvacuations {
	if !e.known {
		return nil
	}
	return &wireEvacuations{Listed: e.listed, Latest: e.latest, Changes: slices.Collect(maps.Values(e.changes))}
}

// merge takes the state of another host. It reports whether the set of evacuated zones
// has changed.
func (e *evacuations) merge(w *wireEvacuations) bool {
	changed := e.applyList(w.Listed, w.Changes)
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
	if changed {
		f.log.WithField("zones", f.evacuations.zones()).WithField("revision", f.evacuations.latest).WithField("from", from).Info("evacuated zones changed")
		f.markOutdated()
	} else if !wasKnown && f.evacuations.known {
		f.notifyChanged()
	}
}
