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
	watchersPerZone = 2
	// tick is the rate at which versions of other hosts are looked at; it is
	// that of the heartbeats that carry them.
	tick = 250 * time.Millisecond
	// silence is how long a watch may deliver nothing before it is reopened.
	// A change that a silent watch missed has to be in force within 8 s.
	silence = 3 * time.Second
	// aliveLimit is the longest silence of members of the own cell that count
	// for the choice of watchers.
	aliveLimit = 3 * time.Second
	// slowPoll is the interval at which hosts without a watch read the head:
	// 9 reads/s from 2,800 hosts.
	slowPoll = 5 * time.Minute
	// callTimeout bounds each call to the store and to a peer.
	callTimeout = 2 * time.Second
	// parallelReads bounds the reads of shards that a host has open at once.
	parallelReads = 8
)

// Rollout follows the confirmed versions on one host, only forward.
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
	highest  int64         // largest version ever in force, for the invariant
	changed  chan struct{} // closed and replaced at every change
}

// Identity names the host on which a Rollout runs.
type Identity struct {
	Host quetzalhook.HostID
	Zone quetzalhook.Zone
}

// NewRollout returns a roll-out for one host. It registers a handler with
// peers.
func NewRollout(self Identity, store quetzalhook.Store, peers quetzalhook.Peers, clock quetzalhook.Clock, log logrus.FieldLogger, inv quetzalhook.Invariants) *Rollout {
	r := &Rollout{
		host: self.Host, zone: self.Zone, store: store, peers: peers, clock: clock,
		log: log.WithField("host", self.Host), inv: inv,
		document: &Document{}, cache: newShardCache(), changed: make(chan struct{}),
	}
	peers.Handle(pullKind, r.handlePull)
	return r
}

// Start begins to follow versions until ctx ends or Close is called.
func (r *Rollout) Start(ctx context.Context) {
	ctx, r.cancel = context.WithCancel(ctx)
	// A slow store must not delay what peers can deliver, so that each source
	// has its own goroutine.
	r.wg.Go(func() { r.followPeers(ctx) })
	r.wg.Go(func() { r.followStore(ctx) })
}

// Close stops and waits.
func (r *Rollout) Close() error {
	if r.cancel != nil {
		r.cancel()
	}
	r.wg.Wait()
	return nil
}

// Version returns the number of the version in force, 0 before the first.
func (r *Rollout) Version() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.head.Number
}

// Document returns the version in force, its number and a channel that is
// closed when another one is in force.
func (r *Rollout) Document() (*Document, int64, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.document, r.head.Number, r.changed
}

// IsWatcher reports whether this host watches the store for its zone.
func (r *Rollout) IsWatcher() bool {
	own, ahead := watchScore(r.host), 0
	for _, m := range r.peers.Members() {
		if m.Zone == r.zone && !m.Draining && m.IsAlive(aliveLimit) && watchScore(m.Host) > own {
			ahead++
		}
	}
	return ahead < watchersPerZone
}

func watchScore(h quetzalhook.HostID) uint64 {
	return xxhash.Sum64String("configuration\x00" + string(h))
}

// source reads shards. With an error it returns those that it has.
type source func(ctx context.Context, wanted []Hash) (map[Hash][]byte, error)

// advance puts a newer head in force after fetching what it lacks. It ignores
// heads that are not newer, such as those of stale reads.
func (r *Rollout) advance(ctx context.Context, head Head, from source) error {
	if !r.isNews(head) {
		return nil
	}
	r.mu.Lock()
	missing := r.cache.missing(head.Manifest)
	r.mu.Unlock()
	var fetched map[Hash][]byte
	var err error
	if len(missing) > 0 {
		fetched, err = from(ctx, missing)
	}
	// What came before a failure is kept: with a slow store no single attempt
	// may bring all shards.
	if addErr := r.addShards(fetched); err == nil {
		err = addErr
	}
	if err != nil {
		return err
	}
	return r.install(head)
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

// isNews reports whether head is newer than the version in force. One number
// must always stand for the same plan.
func (r *Rollout) isNews(head Head) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if head.Number == r.head.Number {
		r.inv.Check(invariant.ConfigForward, head.Plan == r.head.Plan, "host", r.host, "version", head.Number, "plan", head.Plan)
	}
	return head.Number > r.head.Number
}

func (r *Rollout) install(head Head) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if head.Number <= r.head.Number { // the other source was faster
		return nil
	}
	d, err := r.cache.assemble(head.Manifest)
	if err != nil {
		return err
	}
	r.cache.keep(head.Manifest)
	r.inv.Check(invariant.ConfigForward, head.Number > r.highest, "host", r.host, "version", head.Number, "after", r.highest)
	r.highest = max(r.highest, head.Number)
	r.head, r.document = head, d
	close(r.changed)
	r.changed = make(chan struct{})
	r.log.WithField("version", head.Number).Info("configuration in force")
	return nil
}

// followStore watches the store while this host is a watcher and reads the
// head now and then while it is not.
func (r *Rollout) followStore(ctx context.Context) {
	var after quetzalhook.Version
	next := r.clock.Now() // of the next read of the head
	failures := 0
	for timing.Sleep(ctx, r.pause(failures)) {
		watcher := r.IsWatcher()
		if !watcher && r.clock.Now().Before(next) {
			continue
		}
		version, ok := r.poll(ctx)
		after = max(after, version)
		if watcher {
			after = r.watch(ctx, after)
		}
		next = r.clock.Now().Add(slowPoll)
		failures = min(failures+1, maxFailures)
		if ok {
			failures = 0
		}
	}
}

// maxFailures bounds the exponent of the back-off.
const maxFailures = 4

// pause returns the time before the next round. After failures it grows up to
// the silence limit, with jitter by host, so that the hosts do not all return
// at once after an outage.
func (r *Rollout) pause(failures int) time.Duration {
	if failures == 0 {
		return tick
	}
	longest := min(tick<<failures, silence)
	jitter := xxhash.Sum64String(string(r.host)+r.clock.Now().String()) % uint64(longest/2)
	return longest/2 + time.Duration(jitter)
}

// poll reads the head once. It returns its store version and whether the
// version is in force, or was replaced by a newer one.
func (r *Rollout) poll(ctx context.Context) (quetzalhook.Version, bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	head, version, err := readHead(ctx, r.store)
	if err == nil {
		err = r.advance(ctx, head, r.fromStore)
	}
	if err != nil {
		// Without its shards a version counts as not seen.
		r.log.WithError(err).Debug("configuration not read from the store")
		return 0, false
	}
	return version, true
}

// watch applies the events of one watch until it ends or is silent, and
// returns the last store version seen.
func (r *Rollout) watch(ctx context.Context, after quetzalhook.Version) quetzalhook.Version {
	settings := watch.Settings{Prefix: headKey, Opening: callTimeout, Silence: silence}
	return watch.Follow(ctx, r.store, settings, after, r.take)
}

// take applies one watch event and reports whether it was complete.
func (r *Rollout) take(ctx context.Context, o quetzalhook.Object) bool {
	var head Head
	if o.Key != headKey || o.Deleted {
		return true
	}
	err := cbor.Unmarshal(o.Value, &head)
	if err == nil {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		err = r.advance(ctx, head, r.fromStore)
	}
	if err != nil {
		r.log.WithError(err).Warn("watched configuration not applied")
	}
	return err == nil
}

func (r *Rollout) fromStore(ctx context.Context, wanted []Hash) (map[Hash][]byte, error) {
	var mu sync.Mutex
	shards := make(map[Hash][]byte, len(wanted))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(parallelReads)
	for _, h := range wanted {
		group.Go(func() error {
			o, err := r.store.Get(ctx, shardPrefix+h.String())
			if err != nil {
				return storeFailure("read shard", err)
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

// followPeers pulls newer versions that members show in their heartbeats.
func (r *Rollout) followPeers(ctx context.Context) {
	for timing.Sleep(ctx, tick) {
		for _, m := range r.ahead() {
			if r.pull(ctx, m) {
				break
			}
		}
	}
}

// pullAttempts bounds the members asked in one round.
const pullAttempts = 3

// ahead returns members with a newer version, those of the own zone first and
// otherwise in an order that differs between hosts, which spreads the load,
// and changes with time, so that a member that does not answer is not asked
// first every time.
func (r *Rollout) ahead() []quetzalhook.HostID {
	type candidate struct {
		host  quetzalhook.HostID
		far   int
		score uint64
	}
	current, round := r.Version(), r.clock.Now().Unix()
	var list []candidate
	for _, m := range r.peers.Members() {
		if m.ConfigVersion <= current {
			continue
		}
		c := candidate{host: m.Host, score: xxhash.Sum64String(fmt.Sprint(r.host, m.Host, round))}
		if m.Zone != r.zone {
			c.far = 1
		}
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.far, b.far), cmp.Compare(a.score, b.score))
	})
	hosts := make([]quetzalhook.HostID, 0, pullAttempts)
	for _, c := range list[:min(len(list), pullAttempts)] {
		hosts = append(hosts, c.host)
	}
	return hosts
}
