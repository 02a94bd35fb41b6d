package routing

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"quetzalhook"
	"quetzalhook/internal/fleet/rendezvous"
	"quetzalhook/internal/state/invariant"
	"quetzalhook/internal/state/timing"
)

const (
	// retryFirst and retryLast bound the pause before the store is asked again
	// after a failure; it doubles in between.
	retryFirst = 100 * time.Millisecond
	retryLast  = time.Second
	// lapseGrace is how long an upstream stays listed whose entry is missing
	// after an outage of the store. Upstreams register again within two seconds
	// of its return.
	lapseGrace = 2200 * time.Millisecond
	// outageLimit is how long the store must have been away for entries to have
	// lapsed: three registration intervals are several seconds.
	outageLimit = time.Second
	// tombstoneLife is how long a removed upstream is remembered for hosts that
	// ask for changes.
	tombstoneLife = time.Minute
	// watchers is the number of hosts of a single cell that watch the store for
	// all, cellWatchers that of each of several cells.
	watchers     = 3
	cellWatchers = 1
	// watcherKey ranks the hosts that watch.
	watcherKey = "routing"
	// watcherSilence is how long a host may be silent, or the store silent to it,
	// before another one watches in its place.
	watcherSilence = 1200 * time.Millisecond
	// tick is the interval of the follower's periodic work; it is that of the
	// heartbeats that carry versions.
	tick = 250 * time.Millisecond
)

// Source tells where the records are kept in the store and how they are
// decoded.
type Source struct {
	TableKey       string
	UpstreamPrefix string
	DecodeTable    func(value []byte) (*Table, error)
	DecodeUpstream func(id quetzalhook.UpstreamID, value []byte) (quetzalhook.Upstream, error)
}

// entry is the newest known record of an upstream.
type entry struct {
	upstream quetzalhook.Upstream
	version  quetzalhook.Version
	// registered is the version of the record itself; version is larger where the
	// upstream was found missing.
	registered quetzalhook.Version
	removed    time.Time // zero while the upstream is listed
	// lapses is when a missing entry counts as removed that may still come back;
	// zero if the entry is not missing.
	lapses time.Time
}

// contact is what is known of the store for one prefix.
type contact struct {
	away  bool // the last call failed
	since time.Time
	last  time.Time // when it answered last
}

// Follower keeps the routing table and the upstreams of one host current. It
// is safe for concurrent use.
type Follower struct {
	host   quetzalhook.HostID
	store  quetzalhook.Store
	peers  quetzalhook.Peers
	source Source
	clock  quetzalhook.Clock
	log    logrus.FieldLogger
	inv    quetzalhook.Invariants

	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu           sync.Mutex
	table        *Table
	tableVersion quetzalhook.Version
	entries      map[quetzalhook.UpstreamID]*entry
	upstreams    []quetzalhook.Upstream // what Upstreams returns; never changed
	outdated     bool                   // upstreams lacks changes
	latest       quetzalhook.Version    // of the newest change of upstreams
	complete     quetzalhook.Version    // all upstream changes up to it are known
	purged       quetzalhook.Version    // removals up to it may be unknown here
	contacts     map[string]*contact    // by prefix
	changed      chan struct{}
}

// New returns a follower that is not started. It registers a handler with
// peers.
func New(host quetzalhook.HostID, store quetzalhook.Store, peers quetzalhook.Peers, source Source,
	clock quetzalhook.Clock, log logrus.FieldLogger, inv quetzalhook.Invariants,
) *Follower {
	f := &Follower{
		host: host, store: store, peers: peers, source: source, clock: clock, log: log, inv: inv,
		entries: make(map[quetzalhook.UpstreamID]*entry), changed: make(chan struct{}),
		contacts: map[string]*contact{source.TableKey: {last: clock.Now()}, source.UpstreamPrefix: {last: clock.Now()}},
	}
	peers.Handle(pullKind, f.handlePull)
	return f
}

// Start follows the store and the other hosts until Close.
func (f *Follower) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	f.wg.Go(func() { f.follow(ctx, f.source.TableKey, f.takeTables) })
	f.wg.Go(func() { f.follow(ctx, f.source.UpstreamPrefix, f.takeUpstreams) })
	f.wg.Go(func() { f.followPeers(ctx) })
}

// Close stops and waits.
func (f *Follower) Close() error {
	if f.cancel != nil {
		f.cancel()
	}
	f.wg.Wait()
	return nil
}

// Table returns the table in force, nil before the first, and a channel that
// is closed at the next change of table or upstreams.
func (f *Follower) Table() (*Table, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table, f.changed
}

// Upstreams returns the registered upstreams by ID. The caller must not change
// the list.
func (f *Follower) Upstreams() []quetzalhook.Upstream {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.outdated {
		f.arrange()
	}
	return f.upstreams
}

// IsUsable reports whether requests may be sent to an upstream: it is
// registered as ready, or not known yet. One that was removed or started again
// since is not.
func (f *Follower) IsUsable(u quetzalhook.Upstream) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.entries[u.ID]
	if e == nil {
		return true
	}
	return e.removed.IsZero() && e.upstream.State == quetzalhook.UpstreamReady && e.upstream.Started == u.Started
}

// Versions returns the store's versions of the table in force and of the newest
// change of upstreams that this host knows, for the heartbeats.
func (f *Follower) Versions() (table, upstreams int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return int64(f.tableVersion), int64(f.latest)
}

// StoreAge returns how long the store has not answered this host; 0 if its
// last call was answered.
func (f *Follower) StoreAge() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	age := time.Duration(0)
	for _, c := range f.contacts {
		if c.away {
			age = max(age, f.clock.Now().Sub(c.last))
		}
	}
	return age
}

// listing is what follow hands over after a list.
type listing struct {
	quetzalhook.Listing
	// afterOutage reports that entries may have lapsed since the last answer.
	afterOutage bool
}

// follow lists the records under a prefix and watches them, again and again.
// A watch that starts before the history of the store is followed by a list.
func (f *Follower) follow(ctx context.Context, prefix string, take func(list *listing, event *quetzalhook.Object)) {
	var after quetzalhook.Version
	pause := retryFirst
	for ctx.Err() == nil {
		if after > 0 && !f.isWatcher() {
			timing.Sleep(ctx, tick)
			continue
		}
		var err error
		if after == 0 {
			err = f.list(ctx, prefix, take, &after)
		}
		if err == nil {
			err = f.watch(ctx, prefix, take, &after)
		}
		if err == nil {
			pause = retryFirst
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if quetzalhook.StoreKind(err, "") == quetzalhook.StoreHistoryGone {
			f.log.WithField("prefix", prefix).WithField("position", after).Info("watch history gone; listing again")
			after = 0
			continue
		}
		f.noteAway(prefix, err)
		// A list tells at once what has happened; the first events of a watch do
		// not tell whether they are old.
		after = 0
		if !timing.Sleep(ctx, pause) {
			return
		}
		pause = min(2*pause, retryLast)
	}
}

func (f *Follower) list(ctx context.Context, prefix string, take func(*listing, *quetzalhook.Object), after *quetzalhook.Version) error {
	list, err := f.store.List(ctx, strings.TrimSuffix(prefix, tableName(prefix)))
	if err != nil {
		return err
	}
	outage := f.noteContact(prefix)
	take(&listing{Listing: list, afterOutage: outage}, nil)
	*after = list.Version
	return nil
}

// tableName returns the part of a prefix after its last slash: a list covers
// all records of one kind.
func tableName(prefix string) string { return prefix[strings.LastIndexByte(prefix, '/')+1:] }

// watch takes the events of one watch until it ends.
func (f *Follower) watch(ctx context.Context, prefix string, take func(*listing, *quetzalhook.Object), after *quetzalhook.Version) error {
	w, err := f.store.Watch(ctx, prefix, f.position(prefix, *after))
	if err != nil {
		return err
	}
	defer func() { _ = w.Close() }()
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case o, open := <-w.Events():
			if !open {
				return w.Err()
			}
			f.noteContact(prefix)
			if o.Key != "" {
				take(nil, &o)
			}
			*after = max(*after, o.Version)
		case <-ticker.C:
			if !f.isWatcher() {
				return nil
			}
		}
	}
}

// position returns from where to watch: other hosts may have told more than
// the own watch.
func (f *Follower) position(prefix string, after quetzalhook.Version) quetzalhook.Version {
	f.mu.Lock()
	defer f.mu.Unlock()
	if prefix == f.source.UpstreamPrefix {
		return max(after, f.complete)
	}
	return after
}

// isWatcher reports whether this host watches the store: of the live hosts that
// the store answers, the first few of a fleet of one cell do, or the first of
// each cell. The others learn changes from them.
func (f *Follower) isWatcher() bool {
	hosts, count := []quetzalhook.HostID{f.host}, watchers
	for _, m := range f.peers.Members() {
		if m.Distant {
			count = cellWatchers
			continue
		}
		if !m.Draining && !m.Unready && m.IsAlive(watcherSilence) && m.StoreAge < watcherSilence {
			hosts = append(hosts, m.Host)
		}
	}
	ranked := rendezvous.Rank(watcherKey, hosts)
	return slices.Contains(ranked[:min(count, len(ranked))], f.host)
}

// noteContact records that the store answered, and reports whether it was away
// for so long that entries may have lapsed.
func (f *Follower) noteContact(prefix string) bool {
	now := f.clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.contacts[prefix]
	c.last = now
	if !c.away {
		return false
	}
	c.away = false
	gap := now.Sub(c.since)
	f.log.WithField("prefix", prefix).WithField("away-ms", gap.Milliseconds()).Info("store answers again")
	return gap >= outageLimit
}

func (f *Follower) noteAway(prefix string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c := f.contacts[prefix]; !c.away {
		c.away, c.since = true, f.clock.Now()
		f.log.WithField("prefix", prefix).WithError(err).Warn("store does not answer")
	}
}

// takeTables applies a list or an event of tables.
func (f *Follower) takeTables(list *listing, event *quetzalhook.Object) {
	if event != nil {
		f.takeTable(*event)
		return
	}
	for _, o := range list.Objects {
		f.takeTable(o)
	}
}

func (f *Follower) takeTable(o quetzalhook.Object) {
	if o.Key != f.source.TableKey || o.Deleted {
		return
	}
	t, err := f.source.DecodeTable(o.Value)
	if err != nil {
		f.log.WithError(err).WithField("revision", o.Version).Error("routing table not decoded; the last one stays in force")
		return
	}
	f.install(t, o.Version, "store")
}

// install puts a table in force if it is newer.
func (f *Follower) install(t *Table, version quetzalhook.Version, from string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if version <= f.tableVersion || f.table != nil && t.Version <= f.table.Version {
		return
	}
	t.Index()
	before := int64(0)
	if f.table != nil {
		before = f.table.Version
	}
	f.inv.Check(invariant.ConfigForward, t.Version > before, "host", f.host, "version", t.Version, "after", before)
	f.table, f.tableVersion = t, version
	f.log.WithFields(logrus.Fields{
		"version": t.Version, "revision": version, "from": from, "routes": len(t.Routes), "customers": len(t.Customers),
	}).Info("routing table in force")
	f.announce()
}

// announce wakes those that wait for a change. The caller holds f.mu.
func (f *Follower) announce() {
	close(f.changed)
	f.changed = make(chan struct{})
}
