package credential

import (
	"context"
	"crypto/sha256"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/singleflight"
	"golang.org/x/time/rate"

	"quetzalhook"
	"quetzalhook/internal/state/invariant"
)

const (
	// callTimeout bounds each call to the store and to a peer.
	callTimeout = 2 * time.Second
	// defaultCurrencyLimit is used until SetLimits is called.
	defaultCurrencyLimit = 10 * time.Second
	// defaultUnknownRetention is used until SetLimits is called.
	defaultUnknownRetention = 10 * time.Second
	// defaultSettleTime covers two attempts to persist, each with two slow
	// calls. Without it a host that restarted right after an outage accepted
	// keys that had been withdrawn during the outage.
	defaultSettleTime = 3 * time.Second
	// readRate and readBurst bound the store reads for unknown keys on one
	// host; a flood of invented keys must not use up the store's rate.
	readRate, readBurst = 2, 10
	// openGrace is how long a stream may outlive the withdrawal of its key.
	openGrace = 5 * time.Second
)

// Registry holds the keys on one host. It is safe for concurrent use.
type Registry struct {
	self  Identity
	store quetzalhook.Store
	peers quetzalhook.Peers
	clock quetzalhook.Clock
	log   logrus.FieldLogger
	inv   quetzalhook.Invariants

	settle  time.Duration
	table   *table
	limiter *rate.Limiter
	flight  singleflight.Group

	ctx    context.Context // of the background work; ends with Close
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu               sync.Mutex
	loaded           bool
	loadedAt         time.Time
	contact          time.Time // last contact with the store as a watcher
	contactSince     time.Time // begin of the contacts without a gap over the limit
	currencyLimit    time.Duration
	unknownRetention time.Duration
	synced           map[quetzalhook.HostID]syncState
	read             index // what the store held of each shard when last read
	closed           bool
}

// Option changes a Registry.
type Option func(*Registry)

// WithSettleTime sets how long a host that starts, or reaches the store again
// after more than the currency limit, waits before it counts as current. In
// this time other hosts persist withdrawals that they accepted meanwhile.
func WithSettleTime(d time.Duration) Option {
	return func(r *Registry) { r.settle = d }
}

// NewRegistry returns a registry for one host. It registers handlers with
// peers.
func NewRegistry(self Identity, store quetzalhook.Store, peers quetzalhook.Peers, clock quetzalhook.Clock, log logrus.FieldLogger, inv quetzalhook.Invariants, opts ...Option) *Registry {
	r := &Registry{
		self: self, store: store, peers: peers, clock: clock, log: log.WithField("host", self.Host), inv: inv,
		table: newTable(), limiter: rate.NewLimiter(readRate, readBurst),
		currencyLimit: defaultCurrencyLimit, unknownRetention: defaultUnknownRetention,
		settle: defaultSettleTime,
		synced: make(map[quetzalhook.HostID]syncState),
	}
	for _, opt := range opts {
		opt(r)
	}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	peers.Handle(withdrawalKind, r.handleWithdrawal)
	peers.Handle(pullKind, r.handlePull)
	return r
}

// SetLimits sets the currency limit and the retention of unknown keys from
// the configuration; 0 leaves a value as it is.
func (r *Registry) SetLimits(currency, unknown time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if currency > 0 {
		r.currencyLimit = currency
	}
	if unknown > 0 {
		r.unknownRetention = unknown
	}
}

// Start begins the background work, until ctx ends or Close is called.
func (r *Registry) Start(ctx context.Context) {
	stop := context.AfterFunc(ctx, r.cancel)
	r.spawn(func() {
		defer stop()
		r.followStore(r.ctx)
	})
	r.spawn(func() { r.followPeers(r.ctx) })
	r.spawn(func() { r.persistLoop(r.ctx) })
}

// spawn runs f in the background unless the registry is closed.
func (r *Registry) spawn(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.closed {
		r.wg.Go(f)
	}
}

// Close stops and waits.
func (r *Registry) Close() error {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.cancel()
	r.wg.Wait()
	return nil
}

// Issue makes a key for a customer. The key is returned only here and cannot
// be read again. Issuing needs the store.
func (r *Registry) Issue(ctx context.Context, customer quetzalhook.CustomerID) (string, ID, error) {
	key, hash := newKey()
	rec := record{Hash: hash, Customer: string(customer)}
	id := rec.id()
	s, err := r.update(ctx, id.shard(), func(s *shard) bool {
		for _, other := range s.Records {
			if other.Hash == hash {
				return false // an earlier attempt whose answer was lost
			}
		}
		s.Records = append(s.Records, rec)
		return true
	})
	if err != nil {
		// The key may be in the store, but nobody has it.
		return "", ID{}, err
	}
	r.merge(id.shard(), s)
	r.log.WithFields(logrus.Fields{"key-id": id, "customer": customer}).Info("key issued")
	return key, id, nil
}

// Lookup returns the customer of a key. It reads the store for a key that
// this host does not know, at a bounded rate; a key that the store does not
// have either is refused for a while without another read.
func (r *Registry) Lookup(key string) (quetzalhook.CustomerID, ID, bool) {
	hash := sha256.Sum256([]byte(key))
	id := ID(hash[:len(ID{})])
	begin := r.clock.Now()
	rec, f := r.table.lookup(begin, hash)
	if f == unread && r.limiter.AllowN(begin, 1) {
		rec, f = r.lookupStored(hash)
	}
	ok := f == found
	since, withdrawn := r.table.isWithdrawn(id)
	// A withdrawal during the lookup may be too late for it.
	r.inv.Check(invariant.WithdrawnKey, !ok || !withdrawn || !since.Before(begin), "host", r.self.Host, "key-id", id)
	return quetzalhook.CustomerID(rec.Customer), id, ok
}

// lookupStored reads the key's shard and looks again.
func (r *Registry) lookupStored(hash [sha256.Size]byte) (record, finding) {
	id := ID(hash[:len(ID{})])
	fromStore, _, _ := r.flight.Do(shardKey(id.shard()), func() (any, error) {
		// Not the caller's context, since others wait for the same read.
		ctx, cancel := context.WithTimeout(r.ctx, callTimeout)
		defer cancel()
		if err := r.readShard(ctx, id.shard()); err == nil {
			return true, nil
		}
		ctx, cancel = context.WithTimeout(r.ctx, callTimeout)
		defer cancel()
		return false, r.pullShard(ctx, id.shard())
	})
	now := r.clock.Now()
	rec, f := r.table.lookup(now, hash)
	if complete, _ := fromStore.(bool); complete && f == unread {
		r.table.refuse(id, now, now.Add(r.retention()))
	}
	return rec, f
}

func (r *Registry) retention() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.unknownRetention
}

// Withdrawn returns a channel that is closed when the key is withdrawn; it is
// closed already for a withdrawn key. Cancel releases it.
func (r *Registry) Withdrawn(id ID) (c <-chan struct{}, cancel func()) {
	return r.table.watch(id)
}

// CheckOpen counts one check that a stream in progress does not outlive the
// withdrawal of its key. Streams call it as they pass on tokens.
func (r *Registry) CheckOpen(id ID) {
	since, withdrawn := r.table.isWithdrawn(id)
	ok := !withdrawn || r.clock.Now().Sub(since) <= openGrace
	r.inv.Check(invariant.WithdrawnKey, ok, "host", r.self.Host, "key-id", id, "withdrawn", since)
}

// Digest describes the withdrawn keys for the heartbeat.
func (r *Registry) Digest() (count int, hash uint64) { return r.table.digest() }

// Spread tells how far a withdrawal got before Withdraw returned.
type Spread struct {
	Persisted bool
	// Reached counts the hosts that confirmed it to this host; each of them
	// passes it on to some of the others.
	Reached int
	// Missed lists hosts that did not answer this host.
	Missed []quetzalhook.HostID
}

// Withdraw withdraws a key here and on all other hosts. It succeeds while the
// store is down; the withdrawal is then persisted later.
func (r *Registry) Withdraw(ctx context.Context, id ID) (Spread, error) {
	if !r.table.isIssued(id) {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		// Without the store an unknown key is withdrawn all the same, which is
		// the safe side.
		if err := r.readShard(ctx, id.shard()); err == nil && !r.table.isIssued(id) {
			return Spread{}, &Error{Op: "withdraw", Kind: ErrorNotFound, Err: errors.Errorf("no key has id %s", id)}
		}
	}
	r.table.withdraw(r.clock.Now(), []ID{id}, false, true)
	reached, missed := r.spread(ctx, []ID{id}, r.targets())
	err := r.persist(ctx, id.shard(), []ID{id})
	s := Spread{Persisted: err == nil, Reached: reached, Missed: missed}
	r.log.WithFields(logrus.Fields{"key-id": id, "persisted": s.Persisted, "reached": reached, "missed": len(missed)}).Info("key withdrawn")
	return s, nil
}
