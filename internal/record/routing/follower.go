package routing

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"quetzalhook"
	"quetzalhook/internal/fleet/rendezvous"
	"quetzalhook/internal/record/split"
	"quetzalhook/internal/state/invariant"
	"quetzalhook/internal/state/timing"
)

const (
	// minRetryPause and maxRetryPause are the limits of the pause between a
	// failed call to the store and the next one. It doubles with each failure.
	minRetryPause = 100 * time.Millisecond
	maxRetryPause = time.Second
	// missingGrace is how long an upstream stays listed if its record is missing
	// after an outage of the store. Upstreams register again within two seconds
	// of the end of the outage.
	missingGrace = 2200 * time.Millisecond
	// minOutage is the shortest outage of the store during which records may
	// have expired. They expire after three registration intervals, which are
	// several seconds.
	minOutage = time.Second
	// tombstoneRetention is how long the entry of a removed upstream is kept, so
	// that other hosts can pull the removal.
	tombstoneRetention = time.Minute
	// maxWatchers is the number of hosts that watch the store for all hosts in a
	// fleet of one cell. In a fleet of several cells, maxCellWatchers hosts of
	// each cell do.
	maxWatchers     = 3
	maxCellWatchers = 1
	// watcherRankName is the rendezvous hashing key by which the hosts that watch
	// are selected.
	watcherRankName = "routing"
	// maxWatcherSilence is how long a host may be silent, or get no answer from
	// the store, before another host watches in its place. Changes are pulled
	// only from hosts that have been silent for less.
	maxWatcherSilence = 1200 * time.Millisecond
	// firstSetWait is how long after its table is known a host waits for the evacuated
	// zones and the splits before it serves without. Neither the store nor another host
	// may answer.
	firstSetWait = 4 * time.Second
	// checkInterval is the interval of the follower's periodic work. It equals
	// the interval of the heartbeats, which carry versions.
	checkInterval = 250 * time.Millisecond
)

// Source holds the store keys of the routing table and the upstreams, and the
// functions that decode their records.
type Source struct {
	TableKey       string
	UpstreamPrefix string
	// EvacuationPrefix is the prefix of the objects that name the evacuated zones; empty
	// if zones are not evacuated.
	EvacuationPrefix string
	// SplitPrefix is the prefix of the objects with the splits of services among builds;
	// empty if there are none.
	SplitPrefix    string
	DecodeTable    func(value []byte) (*Table, error)
	DecodeUpstream func(id quetzalhook.UpstreamID, value []byte) (quetzalhook.Upstream, error)
}

// entry is the newest known record of an upstream, or the tombstone of a removed
// one.
type entry struct {
	upstream quetzalhook.Upstream
	version  quetzalhook.Version
	// registered is the version of the record in the store. version is larger if
	// the record was found missing later.
	registered quetzalhook.Version
	removed    time.Time // time of removal; zero while the upstream is listed
	// graceEnd is when an upstream whose record is missing after an outage counts
	// as removed unless it registers again; zero if the record is not missing.
	graceEnd time.Time
	kept     keptState
	// acceptedIn is the era in which the upstream was used again after it was kept as
	// removed.
	acceptedIn int64
	// isPresumed reports that the upstream is removed only since its record cannot be
	// decoded, or was lost while it was leaving. It may still run.
	isPresumed bool
}

// storeContact is the state of this host's calls to the store for one prefix.
type storeContact struct {
	failing      bool // whether the last call failed
	failingSince time.Time
	lastAnswer   time.Time // time of the last answer
}

// Follower keeps the routing table and the upstreams of one host up to date. It
// is safe for concurrent use.
type Follower struct {
	host   quetzalhook.HostID
	store  quetzalhook.Store
	peers  quetzalhook.Peers
	source Source
	clock  quetzalhook.Clock
	log    logrus.FieldLogger
	inv    quetzalhook.Invariants

	settled func() bool // see WithSettled
	// splitsInForce holds the histories of splits, for readers without a lock.
	splitsInForce atomic.Pointer[map[string]split.History]

	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu           sync.Mutex
	table        *Table
	tableVersion quetzalhook.Version
	bases        []*Table // some earlier tables, the newest first
	patchFailed  bool     // a patch of the table in force could not be applied
	entries      map[quetzalhook.UpstreamID]*entry
	mayKeep      bool // whether the state of an entry may be kept against the store
	// rejected holds the versions of the stored records that cannot be decoded, and
	// rejectedTable that of the table, so that each is logged once.
	rejected      map[quetzalhook.UpstreamID]quetzalhook.Version
	rejectedTable quetzalhook.Version
	upstreams     []quetzalhook.Upstream // result of Upstreams; replaced, never modified
	outdated      bool                   // whether upstreams must be rebuilt from entries
	latest        quetzalhook.Version    // version of the newest known change of upstreams
	complete      quetzalhook.Version    // all upstream changes up to it are known
	evacuations   evacuations
	era           knownEra
	// currentAsOf is the version as of which this host has read the table and the upstreams for
	// hosts of older builds, and broughtForward is when it last began to.
	currentAsOf    quetzalhook.Version
	broughtForward time.Time                     // used by one goroutine, without mu
	keptPulled     map[quetzalhook.HostID]uint32 // Kept of the hosts when this host pulled from them
	splits         splits
	tableKnownAt   time.Time                // when the first table was known
	purged         quetzalhook.Version      // some removals up to it may be unknown here
	contacts       map[string]*storeContact // by prefix
	changed        chan struct{}            // closed and replaced at each change
	watched        map[string]bool          // prefixes that this host watches
	announcedAt    time.Time                // when another host first announced a newer table; zero if none does

	pulls   pullCounters
	encoder tableEncoder
	ignored ignoredCounters
	// ignoredTable is the version of the last table that was logged as ignored.
	ignoredTable quetzalhook.Version
}

// Option sets one property of a Follower.
type Option func(*Follower)

// WithSettled makes the follower watch the store only while settled returns true,
// that is once the host has heard the other hosts. A host that has heard none
// takes itself for the only watcher. Until then the other hosts do not count it among
// those that watch; see Eligible.
func WithSettled(settled func() bool) Option {
	return func(f *Follower) { f.settled = settled }
}

// New returns a follower and registers its handler of peer calls. Start begins
// the background work.
func New(host quetzalhook.HostID, store quetzalhook.Store, peers quetzalhook.Peers, source Source,
	clock quetzalhook.Clock, log logrus.FieldLogger, inv quetzalhook.Invariants, opts ...Option,
) *Follower {
	f := &Follower{
		host: host, store: store, peers: peers, source: source, clock: clock, log: log, inv: inv,
		entries: make(map[quetzalhook.UpstreamID]*entry), rejected: make(map[quetzalhook.UpstreamID]quetzalhook.Version),
		changed: make(chan struct{}), watched: make(map[string]bool), keptPulled: make(map[quetzalhook.HostID]uint32),
		settled:  func() bool { return true },
		contacts: map[string]*storeContact{source.TableKey: {lastAnswer: clock.Now()}, source.UpstreamPrefix: {lastAnswer: clock.Now()}},
	}
	for _, prefix := range []string{source.EvacuationPrefix, source.SplitPrefix} {
		if prefix != "" {
			f.contacts[prefix] = &storeContact{lastAnswer: clock.Now()}
		}
	}
	f.splitsInForce.Store(&map[string]split.History{})
	for _, o := range opts {
		o(f)
	}
	peers.Handle(pullKind, f.handlePull)
	return f
}

// Start begins to follow the store and the other hosts, until Close is called.
func (f *Follower) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	f.wg.Go(func() { f.follow(ctx, f.source.TableKey, f.applyTables) })
	f.wg.Go(func() { f.follow(ctx, f.source.UpstreamPrefix, f.applyUpstreams) })
	if prefix := f.source.EvacuationPrefix; prefix != "" {
		f.wg.Go(func() { f.follow(ctx, prefix, f.applyEvacuations) })
	}
	if prefix := f.source.SplitPrefix; prefix != "" {
		f.wg.Go(func() { f.follow(ctx, prefix, f.applySplits) })
	}
	f.wg.Go(func() { newPuller(f).run(ctx) })
	f.wg.Go(func() { timing.Every(ctx, checkInterval, f.expire) })
	f.wg.Go(func() { timing.Every(ctx, checkInterval, func() { f.resolveMissing(ctx) }) })
	f.wg.Go(func() { timing.Every(ctx, checkInterval, func() { f.bringOlderForward(ctx) }) })
	if f.source.SplitPrefix != "" {
		f.wg.Go(func() { f.followFreshness(ctx) })
	}
}

// Close stops the background work and waits for it to end.
func (f *Follower) Close() error {
	if f.cancel != nil {
		f.cancel()
	}
	f.wg.Wait()
	return nil
}

// Table returns the table in force, or nil if there is none yet, and a channel
// that is closed at the next change of the table or the upstreams. It returns no table
// before the evacuated zones and the splits are known, for at most firstSetWait.
func (f *Follower) Table() (*Table, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.awaitsSets() {
		return nil, f.changed
	}
	return f.table, f.changed
}

// Upstreams returns the listed upstreams sorted by ID. The caller must not modify
// the list.
func (f *Follower) Upstreams() []quetzalhook.Upstream {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.outdated {
		f.rebuildList()
	}
	return f.upstreams
}

// IsUsable reports whether requests may be sent to an upstream: it is registered
// as ready, or not known to this host yet. An upstream that was removed, that has
// restarted since u was read, or whose zone is evacuated is not usable.
func (f *Follower) IsUsable(u quetzalhook.Upstream) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.entries[u.ID]
	if e == nil {
		return !f.evacuations.isEvacuated(u.Zone)
	}
	return !f.evacuations.isEvacuated(e.upstream.Zone) && e.removed.IsZero() && e.upstream.State == quetzalhook.UpstreamReady && e.upstream.Started == u.Started
}

// Versions returns the revision of the table in force, as hosts of older builds are told it, and
// the version of the newest change of upstreams that this host knows. Heartbeats carry them.
func (f *Follower) Versions() (table int64, upstreams quetzalhook.Version) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.toldVersion(f.tableVersion).Revision(), f.latest
}

// TableVersion returns the own version of the table in force, or 0 if there is none.
// Heartbeats carry it.
func (f *Follower) TableVersion() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.table == nil {
		return 0
	}
	return f.table.Version
}

// EvacuationVersion returns the store version of the newest change of the evacuated zones
// that this host knows. Heartbeats carry it.
func (f *Follower) EvacuationVersion() quetzalhook.Version {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.evacuations.latest
}

// IsEvacuated reports whether a zone is evacuated.
func (f *Follower) IsEvacuated(z quetzalhook.Zone) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.evacuations.isEvacuated(z)
}

// EvacuatedZones returns the evacuated zones, sorted.
func (f *Follower) EvacuatedZones() []quetzalhook.Zone {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.evacuations.zones()
}

// StoreAge returns the time since the store last answered this host, or 0 if it
// answered the last call for the table and the last one for the upstreams.
func (f *Follower) StoreAge() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	age := time.Duration(0)
	for _, c := range f.contacts {
		if c.failing {
			age = max(age, f.clock.Now().Sub(c.lastAnswer))
		}
	}
	return age
}

// Eligible reports whether this host would watch the store if it were chosen.
// Heartbeats carry it, like Watches.
func (f *Follower) Eligible() bool { return f.settled() }

// Watches reports whether this host watches the store for the table and for the
// upstreams.
func (f *Follower) Watches() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.watched) == len(f.contacts)
}

// setWatched records whether this host watches a prefix.
func (f *Follower) setWatched(prefix string, watched bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if watched {
		f.watched[prefix] = true
	} else {
		delete(f.watched, prefix)
	}
	f.log.WithField("prefix", prefix).WithField("watched", watched).Debug("watch of the store")
}

// listing is the result of a list call to the store.
type listing struct {
	quetzalhook.Listing
	// afterOutage reports whether the store did not answer for long enough that
	// records may have expired.
	afterOutage bool
}

// follow lists the records under a prefix, then watches them while this host is a
// watcher, and passes lists and events to apply until ctx ends. It lists again
// after a failure, or if the store's history no longer reaches back to the
// position of the watch.
func (f *Follower) follow(ctx context.Context, prefix string, apply func(list *listing, event *quetzalhook.Object)) {
	var after quetzalhook.Version
	pause := minRetryPause
	isGone := false // the last watch ended since the store does not have its position
	// The first list of upstreams may be some seconds old: watches and pulls from
	// other hosts deliver what has changed since. The table must be current, since
	// all hosts may start right after a change; so must a list after a failure or a
	// loss of history.
	isStale := prefix == f.source.UpstreamPrefix
	for ctx.Err() == nil {
		watches := f.isWatcher()
		if after > 0 && !watches {
			timing.Sleep(ctx, checkInterval)
			continue
		}
		var err error
		if after == 0 {
			if isStale {
				err = f.list(ctx, f.listStale, prefix, apply, &after)
			}
			if err == nil && after == 0 { // a stale list may show nothing to watch from
				err = f.list(ctx, f.store.List, prefix, apply, &after)
			}
			isStale = false
		}
		if err == nil && !watches {
			timing.Sleep(ctx, checkInterval)
			continue
		}
		if err == nil {
			began := f.clock.Now()
			err = f.watch(ctx, prefix, apply, &after, isGone)
			if f.clock.Now().Sub(began) >= maxRetryPause {
				pause, isGone = minRetryPause, false
			}
		}
		if err == nil {
			pause, isGone = minRetryPause, false
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if quetzalhook.StoreKind(err, "") == quetzalhook.StoreHistoryGone {
			f.log.WithField("prefix", prefix).WithField("position", after).Info("store history no longer covers the watch position; listing again")
			after = 0
			if isGone {
				timing.Sleep(ctx, pause)
				pause = min(2*pause, maxRetryPause)
			}
			isGone = true
			continue
		}
		isGone = false
		f.recordFailure(prefix, err)
		// Start again with a list, which shows the current state at once. The
		// first events of a watch do not show whether they are outdated.
		after = 0
		if !timing.Sleep(ctx, pause) {
			return
		}
		pause = min(2*pause, maxRetryPause)
	}
}

// listStale reads a list that may be some seconds old. If the store may have come back from a
// copy, it reads a current one: an older list could hold revisions that are lost, and count as
// one of this era.
func (f *Follower) listStale(ctx context.Context, prefix string) (quetzalhook.Listing, error) {
	list, err := f.store.ListStale(ctx, prefix)
	if err == nil && list.Version.Era() > 1 {
		return f.store.List(ctx, prefix)
	}
	return list, err
}

// list reads all records of one kind, passes them to apply and sets after to the
// version of the list.
func (f *Follower) list(ctx context.Context, read func(context.Context, string) (quetzalhook.Listing, error), prefix string,
	apply func(*listing, *quetzalhook.Object), after *quetzalhook.Version,
) error {
	began := f.clock.Now()
	list, err := read(ctx, strings.TrimSuffix(prefix, lastSegment(prefix)))
	if err != nil {
		return err
	}
	outage := f.recordAnswer(prefix)
	apply(&listing{Listing: list, afterOutage: outage}, nil)
	if prefix == f.source.SplitPrefix {
		f.confirmSplits(began)
	}
	*after = list.Version
	return nil
}

// lastSegment returns the part of a prefix after its last slash. It is removed
// from the prefix of a list, so that the list covers all records of one kind.
func lastSegment(prefix string) string { return prefix[strings.LastIndexByte(prefix, '/')+1:] }

// confirmContact returns an error if the store does not answer this host. Another host may
// end its watch in favour of one that has begun.
func (f *Follower) confirmContact(ctx context.Context, prefix string) error {
	f.mu.Lock()
	c := f.contacts[prefix]
	isRecent := !c.failing && f.clock.Now().Sub(c.lastAnswer) < maxWatcherSilence
	f.mu.Unlock()
	if isRecent {
		return nil
	}
	if _, err := f.store.Get(ctx, f.source.TableKey); err != nil && quetzalhook.StoreKind(err, "") != quetzalhook.StoreNotFound {
		return err
	}
	f.recordAnswer(prefix)
	return nil
}

// watch passes the events of one watch to apply and advances after, until the
// watch ends or this host is no longer a watcher. With fromList, it starts at after even if
// other hosts have told later changes: the store may not have reached them.
func (f *Follower) watch(ctx context.Context, prefix string, apply func(*listing, *quetzalhook.Object), after *quetzalhook.Version, fromList bool) error {
	if err := f.confirmContact(ctx, prefix); err != nil {
		return err
	}
	position := *after
	if !fromList {
		position = f.watchPosition(prefix, position)
	}
	w, err := f.store.Watch(ctx, prefix, position)
	if err != nil {
		return err
	}
	defer func() { _ = w.Close() }()
	f.setWatched(prefix, true)
	defer f.setWatched(prefix, false)
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case o, open := <-w.Events():
			if !open {
				return w.Err()
			}
			f.recordAnswer(prefix)
			if o.Key != "" {
				apply(nil, &o)
			}
			*after = max(*after, o.Version)
		case <-ticker.C:
			if !f.isWatcher() {
				return nil
			}
		}
	}
}

// watchPosition returns the version after which to watch. For upstreams, this may
// be later than after, because changes were pulled from other hosts. If the store lacks that
// version, as the other host has not seen it return, the watch must begin at after.
func (f *Follower) watchPosition(prefix string, after quetzalhook.Version) quetzalhook.Version {
	f.mu.Lock()
	defer f.mu.Unlock()
	if prefix == f.source.UpstreamPrefix {
		return max(after, f.complete)
	}
	return after
}

// isWatcher reports whether this host watches the store. Among the eligible hosts of
// its cell that are alive and get answers from the store, the highest-ranked ones
// watch: maxWatchers in a fleet of one cell, otherwise maxCellWatchers in each cell.
// The other hosts pull changes from them. A host that watches goes on until enough
// hosts before it do: one that was chosen may not have begun.
func (f *Follower) isWatcher() bool {
	if !f.settled() {
		return false
	}
	watches := f.Watches()
	f.mu.Lock()
	mayHaveReturned := f.era.mayHaveReturned()
	f.mu.Unlock()
	hosts, count := []quetzalhook.HostID{f.host}, maxWatchers
	for _, m := range f.peers.Members() {
		if m.Distant {
			count = maxCellWatchers
			continue
		}
		if mayHaveReturned && m.UpstreamVersion.Era() == 0 {
			continue // of an older build
		}
		takesPart := m.Eligible.Has(quetzalhook.RoleStoreWatcher)
		if watches {
			takesPart = m.Active.Has(quetzalhook.RoleStoreWatcher)
		}
		if takesPart && !m.Draining && !m.Unready && m.IsAlive(maxWatcherSilence) && m.StoreAge < maxWatcherSilence {
			hosts = append(hosts, m.Host)
		}
	}
	ranked := rendezvous.Rank(watcherRankName, hosts)
	return slices.Contains(ranked[:min(count, len(ranked))], f.host)
}

// recordAnswer records that the store answered, and reports whether the calls
// before had failed for so long that records may have expired.
func (f *Follower) recordAnswer(prefix string) bool {
	now := f.clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.contacts[prefix]
	c.lastAnswer = now
	if !c.failing {
		return false
	}
	c.failing = false
	gap := now.Sub(c.failingSince)
	f.log.WithField("prefix", prefix).WithField("away-ms", gap.Milliseconds()).Info("store answers again")
	return gap >= minOutage
}

// recordFailure records that a call to the store failed, and logs the first
// failure.
func (f *Follower) recordFailure(prefix string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c := f.contacts[prefix]; !c.failing {
		c.failing, c.failingSince = true, f.clock.Now()
		f.log.WithField("prefix", prefix).WithError(err).Warn("store does not answer")
	}
}

// applyTables applies a list of tables, or a single event if event is not nil.
func (f *Follower) applyTables(list *listing, event *quetzalhook.Object) {
	if event != nil {
		f.applyTable(*event)
		return
	}
	for _, o := range list.Objects {
		f.applyTable(o)
	}
}

func (f *Follower) applyTable(o quetzalhook.Object) {
	if o.Key != f.source.TableKey || o.Deleted {
		return
	}
	f.mu.Lock()
	rejected := f.rejectedTable
	f.mu.Unlock()
	if o.Version <= rejected {
		if o.Version < rejected {
			f.ignored.tables.Add(1)
			f.log.WithFields(logrus.Fields{"revision": o.Version, "rejected": rejected}).Warn("routing table ignored: its revision is not above that of one that cannot be decoded")
		}
		return
	}
	t, err := f.source.DecodeTable(o.Value)
	if err != nil {
		f.mu.Lock()
		f.rejectedTable = o.Version
		f.mu.Unlock()
		f.log.WithError(err).WithField("revision", o.Version).Error("decoding routing table failed; the previous one stays in force")
		return
	}
	f.install(t, o.Version, "store")
}

// install puts a table in force if its own version is newer than that of the one in force.
// The store may have lost newer tables and give their revisions out again.
func (f *Follower) install(t *Table, version quetzalhook.Version, from string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.era.observe(version)
	if f.table != nil && t.Version <= f.table.Version {
		if t.Version == f.table.Version {
			f.tableVersion = max(f.tableVersion, version) // stored again
		}
		f.logIgnoredTable(t, version, from)
		return
	}
	t.Index()
	before := int64(0)
	if f.table != nil {
		before = f.table.Version
	}
	f.inv.Check(invariant.ConfigForward, t.Version > before, "host", f.host, "version", t.Version, "after", before)
	if f.table == nil {
		f.tableKnownAt = f.clock.Now()
	}
	if f.table != nil {
		f.bases = append([]*Table{f.table}, f.bases[:min(len(f.bases), maxBases-1)]...)
	}
	f.table, f.tableVersion, f.patchFailed = t, version, false
	behind := f.behind()
	f.announcedAt = time.Time{}
	f.log.WithFields(logrus.Fields{
		"version": t.Version, "revision": version, "from": from, "routes": len(t.Routes), "customers": len(t.Customers),
		"behind-ms": behind.Milliseconds(),
	}).Info("routing table in force")
	f.notifyChanged()
}

// ignoredCounters counts what the follower has read and ignored.
type ignoredCounters struct{ tables, upstreams atomic.Int64 }

// IgnoredCounts returns how many tables and records of upstreams this host has read that
// differ from those in force, and ignored.
func (f *Follower) IgnoredCounts() (tables, upstreams int64) {
	return f.ignored.tables.Load(), f.ignored.upstreams.Load()
}

// logIgnoredTable logs, once for each revision, that a table is not put in force although it
// is not the one in force. The caller holds f.mu.
func (f *Follower) logIgnoredTable(t *Table, version quetzalhook.Version, from string) {
	if f.table == nil || t.Version == f.table.Version || version == f.ignoredTable {
		return
	}
	f.ignoredTable = version
	f.ignored.tables.Add(1)
	f.log.WithFields(logrus.Fields{
		"version": t.Version, "revision": version, "from": from, "in-force": f.table.Version, "in-force-revision": f.tableVersion,
	}).Warn("routing table ignored")
}

// notifyChanged wakes the callers that wait for a change of the table or the
// upstreams. The caller holds f.mu.
func (f *Follower) notifyChanged() {
	close(f.changed)
	f.changed = make(chan struct{})
}
