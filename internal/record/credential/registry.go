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
	// callTimeout is the timeout of a call to a peer, and of an operation on the
	// store.
	callTimeout = 2 * time.Second
	// defaultCurrencyLimit is the currency limit until SetLimits is called: the
	// maximum age of a host's contact with the store or a peer with which the
	// host still accepts keys. See Registry.Current.
	defaultCurrencyLimit = 10 * time.Second
	// defaultUnknownRetention is how long unknown keys are remembered until
	// SetLimits is called.
	defaultUnknownRetention = 10 * time.Second
	// defaultSettleTime is the settle time (see WithSettleTime) unless an option
	// sets it. It covers two attempts to persist a withdrawal, each with two slow
	// calls. Without it, a host that restarted right after an outage accepted
	// keys that had been withdrawn during the outage.
	defaultSettleTime = 3 * time.Second
	// readRate (per second) and readBurst limit the store reads for unknown keys
	// on one host, so that a flood of invented keys does not use up the request
	// rate of the store.
	readRate, readBurst = 2, 10
	// streamGrace is how long a stream may continue after the withdrawal of its
	// key.
	streamGrace = 5 * time.Second
)

// Registry issues, withdraws and looks up keys on one host, and keeps its keys
// in sync with the store and the other hosts. It is safe for concurrent use.
type Registry struct {
	self  Identity
	store quetzalhook.Store
	peers quetzalhook.Peers
	clock quetzalhook.Clock
	log   logrus.FieldLogger
	inv   quetzalhook.Invariants

	settleTime time.Duration
	table      *table
	limiter    *rate.Limiter
	shardReads singleflight.Group // joins concurrent reads of a shard

	ctx    context.Context // context of the background work, cancelled by Close
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu               sync.Mutex
	loaded           bool
	loadedAt         time.Time
	contact          time.Time     // start of the latest successful read of the store by load or syncIndex
	contactSince     time.Time     // start of the latest series of contacts without a gap over currencyLimit
	currencyLimit    time.Duration // maximum age of a contact with the store or a peer; see Current
	unknownRetention time.Duration // how long unknown keys are remembered
	synced           map[quetzalhook.HostID]syncState
	readState        index // newest state of each shard read from the store
	closed           bool
}

// Option configures a Registry.
type Option func(*Registry)

// WithSettleTime sets the settle time: how long a host waits before its keys
// count as current after it starts, or after it reaches the store again following
// a gap longer than the currency limit. During this time other hosts persist the
// withdrawals that they accepted in the meantime.
func WithSettleTime(d time.Duration) Option {
	return func(r *Registry) { r.settleTime = d }
}

// NewRegistry returns a registry for one host and registers its handlers of peer
// calls. Start begins the background work.
func NewRegistry(self Identity, store quetzalhook.Store, peers quetzalhook.Peers, clock quetzalhook.Clock, log logrus.FieldLogger, inv quetzalhook.Invariants, opts ...Option) *Registry {
	r := &Registry{
		self: self, store: store, peers: peers, clock: clock, log: log.WithField("host", self.Host), inv: inv,
		table: newTable(), limiter: rate.NewLimiter(readRate, readBurst),
		currencyLimit: defaultCurrencyLimit, unknownRetention: defaultUnknownRetention,
		settleTime: defaultSettleTime,
		synced:     make(map[quetzalhook.HostID]syncState),
	}
	for _, opt := range opts {
		opt(r)
	}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	peers.Handle(withdrawalKind, r.handleWithdrawal)
	peers.Handle(pullKind, r.handlePull)
	return r
}

// SetLimits sets the currency limit and the retention of unknown keys, which come
// from the configuration. A value of 0 leaves the limit unchanged.
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

// Start begins the background work, which runs until ctx ends or Close is
// called.
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

// Close stops the background work and waits for it to end.
func (r *Registry) Close() error {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.cancel()
	r.wg.Wait()
	return nil
}

// Issue creates a key for a customer and writes its hash to the store, which must
// be available. The key cannot be retrieved again later.
func (r *Registry) Issue(ctx context.Context, customer quetzalhook.CustomerID) (string, ID, error) {
	key, hash := newKey()
	rec := record{Hash: hash, Customer: string(customer)}
	id := rec.id()
	s, err := r.update(ctx, id.shard(), func(s *shard) bool {
		for _, other := range s.Records {
			if other.Hash == hash {
				return false // written by an earlier attempt whose answer was lost
			}
		}
		s.Records = append(s.Records, rec)
		return true
	})
	if err != nil {
		// The hash may be in the store, but nobody knows the key.
		return "", ID{}, err
	}
	r.merge(id.shard(), s)
	r.log.WithFields(logrus.Fields{"key-id": id, "customer": customer}).Info("key issued")
	return key, id, nil
}

// Lookup returns the customer and the ID of a key, and whether the key is valid.
// For a key that this host does not know, it reads the store, at a limited rate.
// A key that the store does not have either is refused without another read
// until the retention of unknown keys ends.
func (r *Registry) Lookup(key string) (quetzalhook.CustomerID, ID, bool) {
	hash := sha256.Sum256([]byte(key))
	id := ID(hash[:len(ID{})])
	begin := r.clock.Now()
	rec, f := r.table.lookup(begin, hash)
	if f == lookupUnresolved && r.limiter.AllowN(begin, 1) {
		rec, f = r.lookupStored(hash)
	}
	ok := f == lookupFound
	since, withdrawn := r.table.isWithdrawn(id)
	// A withdrawal that arrives during the lookup may come too late to be seen
	// by it; this is not a violation.
	r.inv.Check(invariant.WithdrawnKey, !ok || !withdrawn || !since.Before(begin), "host", r.self.Host, "key-id", id)
	return quetzalhook.CustomerID(rec.Customer), id, ok
}

// IsUnresolved reports whether this host cannot tell yet whether a key exists,
// because its rate of reads for unknown keys is used up or a read failed. A key
// that Lookup did not find may then be valid.
func (r *Registry) IsUnresolved(id ID) bool { return r.table.isUnresolved(r.clock.Now(), id) }

// lookupStored reads the key's shard from the store, or from a peer if that
// fails, and repeats the lookup.
func (r *Registry) lookupStored(hash [sha256.Size]byte) (record, lookupResult) {
	id := ID(hash[:len(ID{})])
	fromStore, _, _ := r.shardReads.Do(shardKey(id.shard()), func() (any, error) {
		// Not a caller's context, since several callers may wait for the same read.
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
	if complete, _ := fromStore.(bool); complete && f == lookupUnresolved {
		r.table.rememberUnknown(id, now, now.Add(r.retention()))
	}
	return rec, f
}

func (r *Registry) retention() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.unknownRetention
}

// Withdrawn returns a channel that is closed when the key is withdrawn. It is
// already closed for a withdrawn key. cancel releases the channel.
func (r *Registry) Withdrawn(id ID) (c <-chan struct{}, cancel func()) {
	return r.table.subscribe(id)
}

// CheckOpen checks the invariant that a stream in progress ends within
// streamGrace of the withdrawal of its key. It is called regularly while a stream
// passes on tokens.
func (r *Registry) CheckOpen(id ID) {
	since, withdrawn := r.table.isWithdrawn(id)
	ok := !withdrawn || r.clock.Now().Sub(since) <= streamGrace
	r.inv.Check(invariant.WithdrawnKey, ok, "host", r.self.Host, "key-id", id, "withdrawn", since)
}

// Digest returns the number of withdrawn keys and the XOR of their hashes, which
// the heartbeat carries.
func (r *Registry) Digest() (count int, hash uint64) { return r.table.digest() }

// WithdrawResult describes how far a withdrawal had spread when Withdraw returned.
type WithdrawResult struct {
	// Persisted reports whether the withdrawal is in the store.
	Persisted bool
	// Reached is the number of hosts that confirmed the withdrawal to this host.
	// Each of them passes it on to some of the other hosts.
	Reached int
	// Missed lists the hosts that did not answer this host, neither at once nor on
	// a second call.
	Missed []quetzalhook.HostID
}

// Withdraw withdraws a key on this host and sends the withdrawal to all other
// hosts. It also succeeds while the store is down; the withdrawal is then
// persisted later. It fails with ErrorNotFound if the store has no such key.
func (r *Registry) Withdraw(ctx context.Context, id ID) (WithdrawResult, error) {
	if !r.table.isIssued(id) {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		// If the store cannot be read, an unknown key is withdrawn all the same,
		// which is the safe choice.
		if err := r.readShard(ctx, id.shard()); err == nil && !r.table.isIssued(id) {
			return WithdrawResult{}, &Error{Op: "withdraw", Kind: ErrorNotFound, Err: errors.Errorf("no key has id %s", id)}
		}
	}
	r.table.withdraw(r.clock.Now(), []ID{id}, false, true)
	reached, missed := r.spread(ctx, []ID{id}, r.membersByRecency())
	if len(missed) > 0 {
		// A call that opens a connection may lose a packet and then outlast its
		// timeout, so one lost call does not show that a host is down.
		var repeated int
		repeated, missed = r.spread(ctx, []ID{id}, missed)
		reached += repeated
	}
	err := r.persist(ctx, id.shard(), []ID{id})
	result := WithdrawResult{Persisted: err == nil, Reached: reached, Missed: missed}
	r.log.WithFields(logrus.Fields{"key-id": id, "persisted": result.Persisted, "reached": reached, "missed": len(missed)}).Info("key withdrawn")
	return result, nil
}
