package routing

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"quetzalhook"
)

// takeUpstreams applies a list or an event of upstreams.
func (f *Follower) takeUpstreams(list *listing, event *quetzalhook.Object) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	if event != nil {
		f.takeUpstream(now, *event)
		f.publish()
		return
	}
	listed := make(map[quetzalhook.UpstreamID]bool, len(list.Objects))
	for _, o := range list.Objects {
		listed[f.idOf(o)] = true
		f.takeUpstream(now, o)
	}
	for id, e := range f.entries {
		if !listed[id] && e.version <= list.Version && e.removed.IsZero() {
			f.remove(now, id, e, list.Version, list.afterOutage)
		}
	}
	if list.Version > f.complete {
		// Upstreams may have come and gone unseen: who knows less than this list
		// needs all of it.
		f.purged = max(f.purged, list.Version)
		f.latest = max(f.latest, list.Version)
		f.complete = list.Version
	}
	f.publish()
}

func (f *Follower) idOf(o quetzalhook.Object) quetzalhook.UpstreamID {
	return quetzalhook.UpstreamID(strings.TrimPrefix(o.Key, f.source.UpstreamPrefix))
}

// takeUpstream applies one record of an upstream. The caller holds f.mu.
func (f *Follower) takeUpstream(now time.Time, o quetzalhook.Object) {
	id := f.idOf(o)
	e := f.entries[id]
	if o.Deleted {
		f.removeID(now, id, o.Version)
		f.complete = max(f.complete, o.Version)
		return
	}
	if e != nil && o.Version <= e.version {
		return
	}
	f.complete = max(f.complete, o.Version)
	u, err := f.source.DecodeUpstream(id, o.Value)
	if err != nil {
		f.log.WithError(err).WithField("revision", o.Version).Warn("record of an upstream not usable")
		if e != nil && e.removed.IsZero() {
			f.remove(now, id, e, o.Version, false)
		}
		return
	}
	f.set(u, o.Version)
}

// set makes u the record of its upstream. The caller holds f.mu.
func (f *Follower) set(u quetzalhook.Upstream, version quetzalhook.Version) {
	e := f.entries[u.ID]
	if e == nil || !e.removed.IsZero() || e.upstream.State != u.State || e.upstream.Started != u.Started {
		f.log.WithFields(logrus.Fields{
			"upstream": u.ID, "service": u.Service, "zone": u.Zone, "state": u.State, "cheap": u.Cheap, "revision": version,
			"leaves-in-ms": u.LeavesIn.Milliseconds(),
		}).Info("upstream registered")
	}
	f.entries[u.ID] = &entry{upstream: u, version: version, registered: version}
	f.latest = max(f.latest, version)
}

// removeID marks an upstream as gone. One that is not known is remembered as
// well, for hosts that know it. The caller holds f.mu.
func (f *Follower) removeID(now time.Time, id quetzalhook.UpstreamID, version quetzalhook.Version) {
	e := f.entries[id]
	if e == nil {
		e = &entry{upstream: quetzalhook.Upstream{ID: id, State: quetzalhook.UpstreamGone}}
		f.entries[id] = e
	}
	if e.removed.IsZero() && version >= e.version {
		f.remove(now, id, e, version, false)
	}
}

// remove marks an upstream as gone, or as lapsing if it may come back. The
// caller holds f.mu.
func (f *Follower) remove(now time.Time, id quetzalhook.UpstreamID, e *entry, version quetzalhook.Version, mayReturn bool) {
	e.version = max(e.version, version)
	f.latest = max(f.latest, e.version)
	if mayReturn && e.upstream.State == quetzalhook.UpstreamReady {
		if e.lapses.IsZero() {
			e.lapses = now.Add(lapseGrace)
			f.log.WithField("upstream", id).WithField("revision", version).Info("upstream missing after an outage of the store")
		}
		return
	}
	e.removed, e.lapses = now, time.Time{}
	f.log.WithField("upstream", id).WithField("revision", version).Info("upstream removed")
}

// expire removes upstreams that did not come back, and old tombstones.
func (f *Follower) expire() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	lapsed := false
	for id, e := range f.entries {
		switch {
		case !e.removed.IsZero() && now.Sub(e.removed) > tombstoneLife:
			f.purged = max(f.purged, e.version)
			delete(f.entries, id)
		case !e.lapses.IsZero() && now.After(e.lapses):
			f.remove(now, id, e, e.version, false)
			lapsed = true
		}
	}
	if lapsed {
		f.publish()
	}
}

// settleLapses asks a few hosts for removals of the upstreams that are missing
// here after an outage: the store may have turned this host away only, and the
// others then know whether an upstream has left.
func (f *Follower) settleLapses(ctx context.Context) {
	f.mu.Lock()
	oldest, lapsing := quetzalhook.Version(0), false
	for _, e := range f.entries {
		if !e.lapses.IsZero() && (!lapsing || e.registered < oldest) {
			oldest, lapsing = e.registered, true
		}
	}
	f.mu.Unlock()
	if !lapsing {
		return
	}
	for _, host := range f.some() {
		if err := f.pull(ctx, host, oldest, pullTimeout); err != nil && ctx.Err() == nil {
			f.log.WithError(err).WithField("peer", host).Info("removals not pulled")
		}
	}
}

// publish wakes those that wait for changes of upstreams. The new list is made
// when it is asked for: while the engines of a large fleet are replaced, many
// changes come between two looks at the list. The caller holds f.mu.
func (f *Follower) publish() {
	f.outdated = true
	f.announce()
}

// arrange makes the list of the registered upstreams. The caller holds f.mu.
func (f *Follower) arrange() {
	list := make([]quetzalhook.Upstream, 0, len(f.entries))
	for _, e := range f.entries {
		if e.removed.IsZero() {
			list = append(list, e.upstream)
		}
	}
	slices.SortFunc(list, func(a, b quetzalhook.Upstream) int { return strings.Compare(string(a.ID), string(b.ID)) })
	f.upstreams, f.outdated = list, false
}
