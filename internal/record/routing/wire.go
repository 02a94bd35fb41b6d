package routing

import "quetzalhook"

// Messages hold the revision and the era of a version apart, and no era if it is 0. Hosts of
// older builds know revisions only: they would take a version with an era for the newest one
// and ignore the store from then on.

// splitEra returns the revision of a version and its era.
func splitEra(v quetzalhook.Version) (revision quetzalhook.Version, era int64) {
	return quetzalhook.NewVersion(0, v.Revision()), v.Era()
}

// inEra returns the revision of a version if it is of an era, or else 0.
func inEra(v quetzalhook.Version, era int64) quetzalhook.Version {
	if v.Era() != era {
		return 0
	}
	return quetzalhook.NewVersion(0, v.Revision())
}

// join returns the version of a revision and an era that another host has sent.
func (k *knownEra) join(revision quetzalhook.Version, era int64) quetzalhook.Version {
	if era > 0 {
		return quetzalhook.NewVersion(era, revision.Revision())
	}
	return k.versionOf(revision)
}

func (r *pullRequest) splitEras() {
	r.Complete, r.CompleteEra = splitEra(r.Complete)
	r.Evacuations, r.EvacuationEra = splitEra(r.Evacuations)
}

func (r *pullRequest) addEras(k *knownEra) {
	r.Complete = k.join(r.Complete, r.CompleteEra)
	if r.Evacuations > 0 {
		r.Evacuations = k.join(r.Evacuations, r.EvacuationEra)
	}
}

func (a *pullAnswer) splitEras() {
	a.TableVersion, a.TableEra = splitEra(a.TableVersion)
	a.Complete, a.CompleteEra = splitEra(a.Complete)
	for i := range a.Upstreams {
		p := &a.Upstreams[i]
		p.Version, p.Era = splitEra(p.Version)
		p.Registered, p.RegisteredEra = splitEra(p.Registered)
	}
	if w := a.Evacuations; w != nil {
		era := max(w.Latest, w.Listed).Era()
		a.EvacuationEra, a.EvacuationStart = era, inEra(w.start, era).Revision()
		w.Listed, w.Latest = inEra(w.Listed, era), inEra(w.Latest, era)
		for i := range w.Changes {
			w.Changes[i].Version = inEra(w.Changes[i].Version, era)
		}
	}
}

// addEras also records the era of the answer.
func (a *pullAnswer) addEras(k *knownEra) {
	k.observe(quetzalhook.NewVersion(max(a.TableEra, a.CompleteEra, a.EvacuationEra), 0))
	a.TableVersion, a.Complete = k.join(a.TableVersion, a.TableEra), k.join(a.Complete, a.CompleteEra)
	for i := range a.Upstreams {
		p := &a.Upstreams[i]
		p.Version, p.Registered = k.join(p.Version, p.Era), k.join(p.Registered, p.RegisteredEra)
	}
	if w := a.Evacuations; w != nil {
		w.start = k.join(quetzalhook.Version(a.EvacuationStart), a.EvacuationEra)
		w.Listed, w.Latest = k.join(w.Listed, a.EvacuationEra), k.join(w.Latest, a.EvacuationEra)
		for i := range w.Changes {
			w.Changes[i].Version = k.join(w.Changes[i].Version, a.EvacuationEra)
		}
	}
}
