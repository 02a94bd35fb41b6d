// Package lease gives one host at a time a role, over a store that fails, and
// sends the orders of that role so that no receiver hears two commanders.
//
// The role is the object lease/ROLE. Its holder renews it by conditional
// writes and measures its term from before it sent the last write that took
// effect. A challenger takes over when it has seen one version unchanged for
// term + margin on its own clock; clocks are never compared between hosts. A
// lost answer is resolved by reading again and looking for the own nonce.
//
// An order has three steps: its intent is written into the lease object, it is
// sent with the fencing number, and its outcome is written. A holder that was
// paused between the first two steps may send after its term. Its intent is
// then still open, and a successor sends nothing to a target that ignores
// fencing numbers until the intent is resolved.
package lease

import (
	"context"
	"crypto/rand"
	"sync"
	"time"

	"quetzalhook"
	"quetzalhook/internal/state/chart"
)

// Names of the roles.
const (
	RoleController = "controller"
	RoleReporter   = "reporter"
)

const (
	defaultTerm   = 10 * time.Second
	defaultMargin = 2 * time.Second
	// pollsPerTerm lets a holder miss two renewals before its term ends.
	pollsPerTerm = 4
	// maxOwnIntents bounds a holder's orders with unknown outcome to one target.
	maxOwnIntents = 64
	// termsBlocked is the number of terms after which a holder that may not send
	// orders gives up the role, so that the process whose intent is open can
	// take it and finish.
	termsBlocked = 3
	// maxAttempts bounds the repetitions of one conditional write.
	maxAttempts = 6
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
	nonce       func() string

	// op serialises the operations that read or write the object: it is full
	// while one is under way. It is taken before mu and is the only lock that
	// is held during a store call. It is a channel because a goroutine that
	// waits for a mutex stops virtual time in tests.
	op      chan struct{}
	known   bool // doc is the object's value as far as this host knows
	doc     document
	version quetzalhook.Version
	seenAt  time.Time            // when version was first seen
	sent    map[string]time.Time // nonces of writes whose answer was lost
	own     map[string]progress  // intents of this incarnation
	count   map[string]int       // sends of orders without a known outcome

	blockedAt time.Time // since when orders are blocked, or zero
	yieldedAt time.Time // when the role was last given up for that reason

	mu      sync.Mutex
	until   time.Time // end of the term that this host believes in
	fencing uint64
	closing bool
	sends   sync.WaitGroup

	stop context.CancelFunc
	done chan struct{}
}

// Option sets an optional property of a Lease.
type Option func(*Lease)

// WithTerm sets how long a renewal lasts and how much longer a challenger
// waits. The margin covers the difference in the rates of two clocks.
func WithTerm(term, margin time.Duration) Option {
	return func(l *Lease) { l.term, l.margin = term, margin }
}

// WithCandidate restricts challenges: a host for which f is false does not
// poll the object. Which hosts are candidates affects the load on the store
// only, not safety.
func WithCandidate(f func() bool) Option {
	return func(l *Lease) { l.candidate = f }
}

// WithNonce replaces the source of nonces, which must never repeat.
func WithNonce(f func() string) Option {
	return func(l *Lease) { l.nonce = f }
}

// New returns a lease that is not held. Call Start to compete for the role,
// or Step from outside.
func New(role string, host quetzalhook.HostID, incarnation quetzalhook.Incarnation,
	store quetzalhook.Store, clock quetzalhook.Clock, inv quetzalhook.Invariants, opts ...Option,
) (*Lease, error) {
	c, err := chart.Load(chart.Lease)
	if err != nil {
		return nil, err
	}
	l := &Lease{
		store: store, clock: clock, inv: inv, machine: c.NewMachine(role, inv),
		op: make(chan struct{}, 1), role: role, key: "lease/" + role, host: host, incarnation: incarnation,
		term: defaultTerm, margin: defaultMargin,
		candidate: func() bool { return true }, nonce: rand.Text,
		sent: make(map[string]time.Time), own: make(map[string]progress),
		count: make(map[string]int),
	}
	for _, opt := range opts {
		opt(l)
	}
	return l, nil
}

// Held reports whether this host believes that it holds the role. The answer
// may be out of date when the caller acts on it; Order is safe regardless.
func (l *Lease) Held() bool {
	_, ok := l.Fencing()
	return ok
}

// Fencing returns the fencing number, or false if the role is not held.
func (l *Lease) Fencing() (uint64, bool) {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fencing, now.Before(l.until)
}

// believe sets the end of the term; the zero time gives up the role.
func (l *Lease) believe(until time.Time, fencing uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.until, l.fencing = until, fencing
}

// fire moves the chart. An illegal transition is counted by the machine and
// does not affect safety, which rests on the conditional writes.
func (l *Lease) fire(e chart.Event) { _ = l.machine.Fire(e) }

// Start competes for the role in the background until Close.
func (l *Lease) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	l.stop, l.done = cancel, make(chan struct{})
	go func() {
		defer close(l.done)
		l.run(ctx)
	}()
}

func (l *Lease) run(ctx context.Context) {
	interval := l.term / pollsPerTerm
	for ctx.Err() == nil {
		step, cancel := context.WithTimeout(ctx, interval)
		_ = l.Step(step) // the next step repeats what failed
		cancel()
		timer := time.NewTimer(interval)
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

// Close stops the background work, waits for orders that are being sent and
// releases the role. If the store fails, the role ends with its term.
func (l *Lease) Close() error {
	l.mu.Lock()
	l.closing = true
	l.mu.Unlock()
	if l.stop != nil {
		l.stop()
		<-l.done
	}
	l.sends.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), l.term)
	defer cancel()
	return l.release(ctx)
}
