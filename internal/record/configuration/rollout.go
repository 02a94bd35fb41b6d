package configuration

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"quetzalhook"
	"quetzalhook/internal/platform/watch"
	"quetzalhook/internal/state/invariant"
	"quetzalhook/internal/state/timing"
)

const (
	// watchersPerZone is the number of hosts of a zone that watch the store; the
	// others get new versions from other hosts.
	watchersPerZone = 2
	// checkInterval is the time between two comparisons of a host's version with
	// those of the other hosts. It is the interval of the heartbeats, which carry the
	// versions.
	checkInterval = 250 * time.Millisecond
	// watchTimeout is how long a watch may deliver no event before it is reopened.
	// A change that a silent watch did not deliver must be in force within 8 s.
	watchTimeout = 3 * time.Second
	// maxSilence is how long a host of the same cell may be silent and still be
	// chosen as a watcher of its zone.
	maxSilence = 3 * time.Second
	// headPollInterval is the time between two reads of the head by a host that is
	// not a watcher: 2,800 hosts make 9 reads/s.
	headPollInterval = 5 * time.Minute
	// callTimeout limits each call to the store or to another host.
	callTimeout = 2 * time.Second
	// maxShardReads is the maximum number of shards that a host reads from the store
	// at the same time.
	maxShardReads = 8
)

// Rollout fetches confirmed versions of the configuration, from the store and
// from other hosts, and applies them on one host. It never applies a version that
// is older than the one in force.
type Rollout struct {
	host  quetzalhook.HostID
	zone  quetzalhook.Zone
	store quetzalhook.Store
	peers quetzalhook.Peers
	clock quetzalhook.Clock
	log   logrus.FieldLogger
	inv   quetzalhook.Invariants

	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu       sync.Mutex
	head     Head
	document *Document
	cache    *shardCache
	highest  int64         // largest version that was ever in force, for the invariant check
	changed  chan struct{} // closed and replaced when a version is applied
}

// Identity names the host on which a Rollout runs.
type Identity struct {
	Host quetzalhook.HostID
	Zone quetzalhook.Zone
}

// NewRollout returns a Rollout for one host. It registers with peers the handler
// of the calls with which other hosts read its version and its shards.
func NewRollout(self Identity, store quetzalhook.Store, peers quetzalhook.Peers, clock quetzalhook.Clock, log logrus.FieldLogger, inv quetzalhook.Invariants) *Rollout {
	r := &Rollout{
		host: self.Host, zone: self.Zone, store: store, peers: peers, clock: clock,
		log: log.WithField("host", self.Host), inv: inv,
		document: &Document{}, cache: newShardCache(), changed: make(chan struct{}),
	}
	peers.Handle(pullKind, r.handlePull)
	return r
}

// Start fetches and applies versions in the background until ctx ends or Close
// is called.
func (r *Rollout) Start(ctx context.Context) {
	ctx, r.cancel = context.WithCancel(ctx)
	// The store and the other hosts are read in separate goroutines, so that a slow
	// store does not delay a version that another host can deliver.
	r.wg.Go(func() { r.followPeers(ctx) })
	r.wg.Go(func() { r.followStore(ctx) })
}

// Close stops the background work and waits until it has ended.
func (r *Rollout) Close() error {
	if r.cancel != nil {
		r.cancel()
	}
	r.wg.Wait()
	return nil
}

// Version returns the number of the version in force, 0 before the first one.
func (r *Rollout) Version() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.head.Number
}

// Document returns the document of the version in force, the number of that
// version, and a channel that is closed when another version is applied.
func (r *Rollout) Document() (*Document, int64, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.document, r.head.Number, r.changed
}

// IsWatcher reports whether this host is one of the watchersPerZone hosts that
// watch the store for its zone: those with the highest scores among the members
// that are alive and not draining.
func (r *Rollout) IsWatcher() bool {
	own, higher := watchScore(r.host), 0
	for _, m := range r.peers.Members() {
		if m.Zone == r.zone && !m.Draining && m.IsAlive(maxSilence) && watchScore(m.Host) > own {
			higher++
		}
	}
	return higher < watchersPerZone
}

func watchScore(h quetzalhook.HostID) uint64 {
	return xxhash.Sum64String("configuration\x00" + string(h))
}

// shardFetcher fetches shards from the store or from another host. With an error
// it also returns the shards that it has fetched until then.
type shardFetcher func(ctx context.Context, wanted []Hash) (map[Hash][]byte, error)

// applyIfNewer applies head if it is newer than the version in force, after
// fetching the shards that are not in the cache. It ignores older heads, such as
// those of stale reads.
func (r *Rollout) applyIfNewer(ctx context.Context, head Head, fetch shardFetcher) error {
	if !r.isNewer(head) {
		return nil
	}
	r.mu.Lock()
	missing := r.cache.missing(head.Manifest)
	r.mu.Unlock()
	var fetched map[Hash][]byte
	var err error
	if len(missing) > 0 {
		fetched, err = fetch(ctx, missing)
	}
	// Shards that were fetched before a failure are kept: with a slow store, possibly
	// no single attempt can fetch all of them.
	if addErr := r.addShards(fetched); err == nil {
		err = addErr
	}
	if err != nil {
		return err
	}
	return r.apply(head)
}

func (r *Rollout) addShards(shards map[Hash][]byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	for h, value := range shards {
		if err := r.cache.add(h, value); err != nil {
			return err
		}
	}
	return nil
}

// isNewer reports whether head is newer than the version in force. It also checks
// that a head with the same number is of the same plan.
func (r *Rollout) isNewer(head Head) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if head.Number == r.head.Number {
		r.inv.Check(invariant.ConfigForward, head.Plan == r.head.Plan, "host", r.host, "version", head.Number, "plan", head.Plan)
	}
	return head.Number > r.head.Number
}

// apply puts head in force. All its shards must be in the cache.
func (r *Rollout) apply(head Head) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if head.Number <= r.head.Number { // the other goroutine has applied it or a later one
		return nil
	}
	d, err := r.cache.assemble(head.Manifest)
	if err != nil {
		return err
	}
	r.cache.retainOnly(head.Manifest)
	r.inv.Check(invariant.ConfigForward, head.Number > r.highest, "host", r.host, "version", head.Number, "after", r.highest)
	r.highest = max(r.highest, head.Number)
	r.head, r.document = head, d
	close(r.changed)
	r.changed = make(chan struct{})
	r.log.WithField("version", head.Number).Info("configuration in force")
	return nil
}

// followStore watches the store while this host is a watcher, and reads the head
// every headPollInterval while it is not.
func (r *Rollout) followStore(ctx context.Context) {
	var after quetzalhook.Version
	next := r.clock.Now() // when the head is read next if this host is not a watcher
	failures := 0
	for timing.Sleep(ctx, r.roundDelay(failures)) {
		watcher := r.IsWatcher()
		if !watcher && r.clock.Now().Before(next) {
			continue
		}
		version, ok := r.readStore(ctx)
		after = max(after, version)
		if watcher {
			after = r.watch(ctx, after)
		}
		next = r.clock.Now().Add(headPollInterval)
		failures = min(failures+1, maxBackoffExponent)
		if ok {
			failures = 0
		}
	}
}

// maxBackoffExponent limits how often the pause between rounds is doubled.
const maxBackoffExponent = 4

// roundDelay returns the pause before the next round of followStore. After
// failures it grows up to watchTimeout and has a jitter that differs between
// hosts, so that after an outage they do not all read the store at once.
func (r *Rollout) roundDelay(failures int) time.Duration {
	if failures == 0 {
		return checkInterval
	}
	longest := min(checkInterval<<failures, watchTimeout)
	jitter := xxhash.Sum64String(string(r.host)+r.clock.Now().String()) % uint64(longest/2)
	return longest/2 + time.Duration(jitter)
}

// readStore reads the head once and applies it if it is newer. It returns the
// store version of the head, and whether reading and applying succeeded.
func (r *Rollout) readStore(ctx context.Context) (quetzalhook.Version, bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	head, version, err := readHead(ctx, r.store)
	if err == nil {
		err = r.applyIfNewer(ctx, head, r.fetchFromStore)
	}
	if err != nil {
		// The store version is not returned, so that the next watch starts before it
		// and delivers the change again.
		r.log.WithError(err).Debug("configuration not read from the store")
		return 0, false
	}
	return version, true
}

// watch applies the events of one watch of the head until the watch ends or
// delivers nothing for watchTimeout. It returns the last store version seen.
func (r *Rollout) watch(ctx context.Context, after quetzalhook.Version) quetzalhook.Version {
	settings := watch.Settings{Prefix: headKey, OpenTimeout: callTimeout, EventTimeout: watchTimeout}
	return watch.Follow(ctx, r.store, settings, after, r.applyEvent)
}

// applyEvent applies the head of one watch event. It reports false if the event
// could not be used and has to be delivered again.
func (r *Rollout) applyEvent(ctx context.Context, o quetzalhook.Object) bool {
	var head Head
	if o.Key != headKey || o.Deleted {
		return true
	}
	err := cbor.Unmarshal(o.Value, &head)
	if err == nil {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		err = r.applyIfNewer(ctx, head, r.fetchFromStore)
	}
	if err != nil {
		r.log.WithError(err).Warn("configuration of a watch event not applied")
	}
	return err == nil
}

// fetchFromStore is the shardFetcher that reads the store.
func (r *Rollout) fetchFromStore(ctx context.Context, wanted []Hash) (map[Hash][]byte, error) {
	var mu sync.Mutex
	shards := make(map[Hash][]byte, len(wanted))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxShardReads)
	for _, h := range wanted {
		group.Go(func() error {
			o, err := r.store.Get(ctx, shardPrefix+h.String())
			if err != nil {
				return storeError("read shard", err)
			}
			mu.Lock()
			defer mu.Unlock()
			shards[h] = o.Value
			return nil
		})
	}
	err := group.Wait()
	return shards, err
}

// followPeers pulls newer versions from the hosts whose heartbeats announce them.
func (r *Rollout) followPeers(ctx context.Context) {
	for timing.Sleep(ctx, checkInterval) {
		for _, m := range r.newerPeers() {
			if r.pull(ctx, m) {
				break
			}
		}
	}
}

// maxPeersPerRound is the maximum number of hosts from which one round of
// followPeers tries to pull.
const maxPeersPerRound = 3

// newerPeers returns up to maxPeersPerRound hosts that have a newer version, those
// in the zone of this host first. Within and outside the zone, the order differs
// between the hosts that call it, which spreads the load, and changes each second,
// so that a host that does not answer is not tried first every time.
func (r *Rollout) newerPeers() []quetzalhook.HostID {
	type candidate struct {
		host      quetzalhook.HostID
		otherZone int
		score     uint64
	}
	current, round := r.Version(), r.clock.Now().Unix()
	var list []candidate
	for _, m := range r.peers.Members() {
		if m.ConfigVersion <= current {
			continue
		}
		c := candidate{host: m.Host, score: xxhash.Sum64String(fmt.Sprint(r.host, m.Host, round))}
		if m.Zone != r.zone {
			c.otherZone = 1
		}
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.otherZone, b.otherZone), cmp.Compare(a.score, b.score))
	})
	hosts := make([]quetzalhook.HostID, 0, maxPeersPerRound)
	for _, c := range list[:min(len(list), maxPeersPerRound)] {
		hosts = append(hosts, c.host)
	}
	return hosts
}
