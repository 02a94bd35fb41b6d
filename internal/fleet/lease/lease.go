// Package lease elects one host at a time as the holder of a role, by means of
// a store that may fail, and sends the orders of that role so that no receiver
// acts on orders from two holders.
//
// Each role is stored as the object lease/ROLE. Its holder renews it by
// conditional writes; its term starts just before it sent the last write that
// took effect. A challenger takes over when it has seen the same version for
// term + margin on its own clock; clocks are never compared between hosts. When
// the answer to a write is lost, the host reads the object again and looks for
// the nonce of that write.
//
// The store may come back from an older copy, in which a holder, a token or an
// intent is missing. The role ends at once for a holder that hears of it, and
// nobody takes the role until term + margin after first hearing of the store's
// present era: by then the term of a holder that does not hear of it is over.
// Each process writes its open intents again within that time.
//
// An order has three steps: its intent is written into the lease object, the
// order is sent with the fencing token, and its outcome is written. A holder
// that was paused between the first two steps may send after its term. Its
// intent is then still open, and a successor sends nothing to a target that
// ignores fencing tokens until the intent is resolved.
package lease

import (
	"context"
	"crypto/rand"
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"quetzalhook"
	"quetzalhook/internal/state/chart"
	"quetzalhook/internal/state/timing"
)

// Names of the roles.
const (
	RoleController = "controller"
	RoleReporter   = "reporter"
)

const (
	defaultTerm   = 10 * time.Second
	defaultMargin = 2 * time.Second
	// renewalsPerTerm is the number of renewals in a term. A holder can miss two in
	// a row before its term ends.
	renewalsPerTerm = 4
	// pollsPerTerm is the number of reads that a candidate makes in a term. Reads are
	// billed; fewer of them delay a takeover by up to half a term.
	pollsPerTerm = 2
	// eraInterval is the time between two looks at the era of the store, which make no call.
	eraInterval = 100 * time.Millisecond
	// maxOwnIntents limits a holder's orders with unknown outcome per target.
	maxOwnIntents = 64
	// maxBlockedTerms is the number of terms after which a holder whose orders
	// are blocked gives up the role, so that the process that wrote the open
	// intent can take the role and resolve it.
	maxBlockedTerms = 3
	// maxWriteAttempts limits the attempts at one conditional write.
	maxWriteAttempts = 6
)

// Lease is one host's view of one role. It is safe for concurrent use.
type Lease struct {
	store   quetzalhook.Store
	clock   quetzalhook.Clock
	inv     quetzalhook.Invariants
	machine *chart.Machine

	role        string
	key         string
	host        quetzalhook.HostID
	incarnation quetzalhook.Incarnation
	term        time.Duration
	margin      time.Duration
	candidate   func() bool
	hasOlder    func() bool // whether there are hosts that do not know eras
	nonce       func() string
	log         logrus.FieldLogger

	// opLock serialises the operations that read or write the object: the
	// channel is full while one is in progress. It is acquired before mu and is
	// the only lock that is held during a store call. It is a channel because a
	// goroutine that waits for a mutex stops virtual time in tests.
	opLock     chan struct{}
	docKnown   bool // whether doc and version may serve as the base of a write
	doc        document
	version    quetzalhook.Version
	eras       eraView
	topToken   uint64               // largest fencing token seen
	odd        error                // why the object could not be decoded, or nil
	seenAt     time.Time            // when this host first saw version
	sentAt     map[string]time.Time // send times of writes whose answer was lost, by nonce
	ownIntents map[string]sendState // intents of this incarnation, by order ID
	// lostIntents holds open intents of this incarnation that the store has perhaps lost.
	lostIntents []Intent
	sendCounts  map[string]int // number of sends of orders with unknown outcome, by order ID

	blockedSince time.Time // when orders became blocked; zero if they are not
	yieldedAt    time.Time // when the role was last given up because orders were blocked

	mu           sync.Mutex
	termEnd      time.Time // this host holds the role until then, in termEra
	termEra      int64
	fencing      uint64
	closing      bool
	activeOrders sync.WaitGroup

	stop context.CancelFunc
	done chan struct{}
}

// Option sets an optional property of a Lease.
type Option func(*Lease)

// WithTerm sets how long a renewal is valid and how much longer a challenger
// waits. The margin allows for the difference in the rates of two clocks.
func WithTerm(term, margin time.Duration) Option {
	return func(l *Lease) { l.term, l.margin = term, margin }
}

// WithCandidate limits which hosts compete: while f returns false, the host
// does not poll the object, unless it has unresolved intents of its own. Which
// hosts are candidates affects only the load on the store, not safety.
func WithCandidate(f func() bool) Option {
	return func(l *Lease) { l.candidate = f }
}

// WithOlderBuilds tells whether hosts are present that do not know eras of the store. They
// reject fencing tokens above the revision of the object.
func WithOlderBuilds(f func() bool) Option {
	return func(l *Lease) { l.hasOlder = f }
}

// WithNonce replaces the source of nonces, which must never repeat.
func WithNonce(f func() string) Option {
	return func(l *Lease) { l.nonce = f }
}

// WithLog logs each change of the holder that this host sees or makes, each answer of the
// store that is older than the one before, and what a return of the store from an older copy
// changes. Nothing is logged by default.
func WithLog(log logrus.FieldLogger) Option {
	return func(l *Lease) { l.log = log }
}

// New returns a lease that is not held. To compete for the role, call Start, or
// call Step regularly.
func New(role string, host quetzalhook.HostID, incarnation quetzalhook.Incarnation,
	store quetzalhook.Store, clock quetzalhook.Clock, inv quetzalhook.Invariants, opts ...Option,
) (*Lease, error) {
	c, err := chart.Load(chart.Lease)
	if err != nil {
		return nil, err
	}
	discard := logrus.New()
	discard.SetOutput(io.Discard)
	l := &Lease{
		store: store, clock: clock, inv: inv, machine: c.NewMachine(role, inv),
		opLock: make(chan struct{}, 1), role: role, key: "lease/" + role, host: host, incarnation: incarnation,
		term: defaultTerm, margin: defaultMargin,
		candidate: func() bool { return true }, hasOlder: func() bool { return false }, nonce: rand.Text, log: discard,
		sentAt: make(map[string]time.Time), ownIntents: make(map[string]sendState),
		sendCounts: make(map[string]int),
	}
	for _, opt := range opts {
		opt(l)
	}
	l.log = l.log.WithField("role", role)
	return l, nil
}

// Held reports whether this host holds the role by its own clock. The result
// may be outdated when the caller acts on it; Order is safe regardless.
func (l *Lease) Held() bool {
	_, ok := l.Fencing()
	return ok
}

// Fencing returns the fencing token and whether this host holds the role.
func (l *Lease) Fencing() (uint64, bool) {
	now, era := l.clock.Now(), l.store.Era()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fencing, l.isHeldAt(now, era)
}

// isHeldAt reports whether this host holds the role at a time when era is the newest known
// one. The caller holds l.mu.
func (l *Lease) isHeldAt(now time.Time, era int64) bool {
	return now.Before(l.termEnd) && l.termEra >= era
}

// setTerm sets the end of the term, which is won in the known era.
func (l *Lease) setTerm(termEnd time.Time, fencing uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.termEnd, l.fencing, l.termEra = termEnd, fencing, l.eras.newest
}

// endTerm gives up the role.
func (l *Lease) endTerm() { l.setTerm(time.Time{}, 0) }

// fire applies an event to the state machine. The machine counts illegal
// transitions; they do not affect safety, which depends on the conditional
// writes.
func (l *Lease) fire(e chart.Event) { _ = l.machine.Fire(e) }

// Start competes for the role in the background until Close is called.
func (l *Lease) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	l.stop, l.done = cancel, make(chan struct{})
	go func() {
		defer close(l.done)
		l.run(ctx)
	}()
}

func (l *Lease) run(ctx context.Context) {
	for ctx.Err() == nil {
		step, cancel := context.WithTimeout(ctx, l.term/renewalsPerTerm)
		_ = l.Step(step) // the next step retries
		cancel()
		pause := l.term / pollsPerTerm
		if l.machine.State() == stateHolding || !l.candidate() {
			pause = l.term / renewalsPerTerm // without a call, unless the role is held
		}
		l.sleep(ctx, pause)
	}
}

// sleep waits for d, or as a holder until the role has ended with the era of the store.
func (l *Lease) sleep(ctx context.Context, d time.Duration) {
	if l.machine.State() != stateHolding {
		timing.Sleep(ctx, d)
		return
	}
	for end := time.Now().Add(d); l.Held(); {
		left := time.Until(end)
		if left <= 0 || !timing.Sleep(ctx, min(left, eraInterval)) {
			return
		}
	}
}

// Close stops the background work, waits for orders that are being sent and
// releases the role. If the store fails, the role ends when its term does.
func (l *Lease) Close() error { return l.Leave(context.Background()) }

// Leave is Close with a limit: when ctx ends, no more calls to the store are made.
func (l *Lease) Leave(ctx context.Context) error {
	l.mu.Lock()
	l.closing = true
	l.mu.Unlock()
	if l.stop != nil {
		l.stop()
		<-l.done
	}
	l.activeOrders.Wait()
	ctx, cancel := context.WithTimeout(ctx, l.term)
	defer cancel()
	return l.release(ctx)
}
