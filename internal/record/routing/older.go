package routing

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"quetzalhook"
)

// Hosts of older builds order versions by revisions alone. After a return of the store they
// ignore what has a lower revision than they knew before, from the store and from other hosts.
// Watchers of this build therefore change an object of their own until the store's revisions are
// above those, read the table and the upstreams once more, and tell older builds the revision of
// that read for all that is not newer.

const (
	// raisePrefix is the prefix of the objects that are changed to raise the revisions.
	raisePrefix = "revisions/"
	// raisesPerSecond is the rate of all watchers together, and leaves most of the store's rate
	// to others. hostsPerWatcher is the number of hosts for each of them in a fleet of several
	// cells.
	raisesPerSecond = 240
	hostsPerWatcher = 16
	// maxRaises limits the changes for one return. A fleet that makes more in the seconds that
	// the store may lose also makes up for them as fast.
	maxRaises = 1000
	// raiseMargin is above the changes that no host has told when the store goes back.
	raiseMargin = 16
	// olderInterval is the least time between two attempts.
	olderInterval = time.Second
)

// isOlderBuild reports whether a host tells versions without an era although the store names
// eras.
func isOlderBuild(m quetzalhook.Member) bool {
	return m.UpstreamVersion > 0 && m.UpstreamVersion.Era() == 0
}

// HasOlderBuilds reports whether there are hosts of older builds.
func (f *Follower) HasOlderBuilds() bool {
	return f.store.Era() > 0 && slices.ContainsFunc(f.peers.Members(), isOlderBuild)
}

// toldVersion returns the version whose revision hosts of older builds are told for what this
// host knows of a version. The caller holds f.mu.
func (f *Follower) toldVersion(v quetzalhook.Version) quetzalhook.Version {
	if v > 0 && v.Era() <= f.currentAsOf.Era() {
		return max(v, f.currentAsOf)
	}
	return v
}

// toldToOlder replaces the versions in an answer by those that hosts of older builds are told.
// The caller holds f.mu.
func (a *pullAnswer) toldToOlder(f *Follower) {
	a.TableVersion = f.toldVersion(a.TableVersion)
	for i := range a.Upstreams {
		a.Upstreams[i].Version = f.toldVersion(a.Upstreams[i].Version)
	}
}

// olderThanReturn returns the hosts of older builds that know a higher revision than this host
// knows of the present era, and the highest of these. It returns none before the store has come
// back, nor once they have been told.
func (f *Follower) olderThanReturn() (hosts []quetzalhook.HostID, highest int64) {
	era := f.store.Era()
	if era <= 1 {
		return nil, 0
	}
	f.mu.Lock()
	known, isDone := int64(0), f.currentAsOf.Era() == era
	for _, v := range []quetzalhook.Version{f.tableVersion, f.latest} {
		if v.Era() == era {
			known = max(known, v.Revision())
		}
	}
	f.mu.Unlock()
	if isDone {
		return nil, 0 // what they announce now, this host or another has told them
	}
	for _, m := range f.peers.Members() {
		if !isOlderBuild(m) || !m.IsAlive(maxWatcherSilence) {
			continue
		}
		if r := max(m.ConfigVersion, m.UpstreamVersion.Revision()); r > known {
			hosts, highest = append(hosts, m.Host), max(highest, r)
		}
	}
	slices.Sort(hosts)
	return hosts, highest
}

// bringOlderForward makes this host tell hosts of older builds revisions above those that they
// know from before a return of the store.
func (f *Follower) bringOlderForward(ctx context.Context) {
	hosts, highest := f.olderThanReturn()
	if len(hosts) == 0 || !f.isWatcher() {
		return
	}
	now := f.clock.Now()
	if now.Sub(f.broughtForward) < olderInterval {
		return
	}
	f.broughtForward = now
	log := f.log.WithFields(logrus.Fields{"hosts": hosts, "known-revision": highest})
	writes, err := f.raiseRevision(ctx, highest+raiseMargin)
	if err == nil {
		err = f.readAgain(ctx)
	}
	f.mu.Lock()
	at := f.currentAsOf
	f.mu.Unlock()
	log = log.WithFields(logrus.Fields{"writes": writes, "told-revision": at})
	if err != nil {
		log.WithError(err).Info("hosts of an older build not brought past the return of the store")
		return
	}
	log.Info("hosts of an older build brought past the return of the store")
}

// raiseRevision changes an object until its revision is above the given one, and removes it. It
// returns the number of changes.
func (f *Follower) raiseRevision(ctx context.Context, above int64) (int, error) {
	key := raisePrefix + string(f.host)
	list, err := f.store.List(ctx, key)
	if err != nil || list.Version.Revision() > above {
		return 0, err
	}
	var version quetzalhook.Version
	for _, o := range list.Objects {
		if o.Key == key {
			version = o.Version
		}
	}
	watchers := max(maxWatchers, (len(f.peers.Members())+1)/hostsPerWatcher)
	limiter, writes := rate.NewLimiter(rate.Limit(raisesPerSecond)/rate.Limit(watchers), 1), 0
	for version.Revision() <= above && writes < maxRaises {
		if err := limiter.Wait(ctx); err != nil {
			return writes, err
		}
		if version, err = f.store.Put(ctx, key, []byte(strconv.Itoa(writes)), version); err != nil {
			return writes, err
		}
		writes++
	}
	if err := f.store.Delete(ctx, key, version); err != nil {
		return writes, err
	}
	if version.Revision() <= above {
		return writes, &Error{Op: "raise", Kind: ErrorUnavailable, Err: errors.Errorf("revision %v is not above %d", version, above)}
	}
	return writes, nil
}

// readAgain reads the table and the upstreams, and records as of which version they are current.
func (f *Follower) readAgain(ctx context.Context) error {
	var table, upstreams quetzalhook.Version
	if err := f.list(ctx, f.store.List, f.source.TableKey, f.applyTables, &table); err != nil {
		return err
	}
	if err := f.list(ctx, f.store.List, f.source.UpstreamPrefix, f.applyUpstreams, &upstreams); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.currentAsOf = max(f.currentAsOf, min(table, upstreams))
	return nil
}
