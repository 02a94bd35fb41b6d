// Package usage counts what customers use and keeps the counts when hosts fail.
//
// Each incarnation of a host counts cumulative totals by customer, class and
// billing window. Totals are merged by maximum, so replicas may arrive late,
// twice or out of order. Each second a host sends its changes to two other hosts,
// its peers, in other zones if possible. Each minute it writes them to the store.
// If a host has been silent for 10 s, its peers write its totals.
//
// If a host is killed and one of its two peers survives long enough to write to
// the store, at most the usage since the last replica is lost: that of one
// replication interval plus the time of a call. If both peers die with the host,
// the usage since its last write to the store is lost.
package usage

import (
	"context"
	"sync"
	"time"

	"quetzalhook/internal/state/timing"

	"quetzalhook"
)

const (
	defaultReplicateInterval = time.Second
	// defaultFlushInterval is the time between two writes to the store. It limits
	// their rate: 2,800 hosts make about 50 writes a second.
	defaultFlushInterval = time.Minute
	// defaultOrphanAfter is how long a source may be silent before a peer writes its
	// totals to the store.
	defaultOrphanAfter = 10 * time.Second
	// defaultReplicaRetention is how long after the end of a window a host keeps
	// replicas of it, and how long it keeps the state of a silent source.
	defaultReplicaRetention = 2 * time.Hour
)

// Meter counts the usage of one host incarnation. It is safe for concurrent
// use.
type Meter struct {
	store    quetzalhook.Store
	clock    quetzalhook.Clock
	calendar quetzalhook.Clock
	peers    quetzalhook.Peers
	schedule Schedule
	self     Source
	zone     quetzalhook.Zone

	replicateInterval time.Duration
	flushInterval     time.Duration
	orphanAfter       time.Duration
	replicaRetention  time.Duration

	flushing chan struct{} // holds a value while a flush is in progress

	mu       sync.Mutex
	seq      uint64 // sequence number of the last change
	current  Window
	end      time.Time // end of the current window
	windows  map[Window]*ledger
	ackedSeq map[Source]uint64 // sequence number up to which each peer has the changes
	replicas map[Source]*replica

	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// replica holds the totals received from another host.
type replica struct {
	lastHeard time.Time
	windows   map[Window]*ledger
}

// Option sets an optional property of a Meter.
type Option func(*Meter)

// WithIntervals sets the time between two replications and between two writes
// to the store.
func WithIntervals(replicate, flush time.Duration) Option {
	return func(m *Meter) { m.replicateInterval, m.flushInterval = replicate, flush }
}

// WithOrphanAfter sets how long a source must be silent before its peers write
// its totals to the store.
func WithOrphanAfter(d time.Duration) Option { return func(m *Meter) { m.orphanAfter = d } }

// New returns a meter and registers with peers its handler of replicas.
// Durations are measured with clock; calendar only determines the billing
// window.
func New(self Source, zone quetzalhook.Zone, store quetzalhook.Store, clock, calendar quetzalhook.Clock,
	peers quetzalhook.Peers, schedule Schedule, opts ...Option,
) *Meter {
	m := &Meter{
		store: store, clock: clock, calendar: calendar, peers: peers, schedule: schedule,
		self: self, zone: zone, replicateInterval: defaultReplicateInterval, flushInterval: defaultFlushInterval,
		orphanAfter: defaultOrphanAfter, replicaRetention: defaultReplicaRetention,
		flushing: make(chan struct{}, 1), windows: make(map[Window]*ledger),
		ackedSeq: make(map[Source]uint64), replicas: make(map[Source]*replica),
	}
	for _, opt := range opts {
		opt(m)
	}
	peers.Handle(replicaKind, m.handleReplica)
	return m
}

// Add adds usage of a customer to the current window.
func (m *Meter) Add(customer quetzalhook.CustomerID, class quetzalhook.ClassName, a Amount) {
	now := m.calendar.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advanceWindow(now)
	l := m.windows[m.current]
	if l == nil {
		l = newLedger()
		m.windows[m.current] = l
	}
	m.seq++
	t := l.total(Key{Customer: customer, Class: class})
	t.amount, t.changedSeq = t.amount.Plus(a), m.seq
}

// advanceWindow makes the window of now the current one, but never goes back to
// an earlier one. Earlier windows become final: no more usage is added to them.
// The caller holds m.mu.
func (m *Meter) advanceWindow(now time.Time) {
	if now.Before(m.end) {
		return
	}
	w := m.schedule.At(now)
	m.current = w
	m.end, _ = m.schedule.End(w) // End accepts every window that At returns
	for other, l := range m.windows {
		l.final = other != w
	}
}

// Start replicates and flushes in the background until Close.
func (m *Meter) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	m.wg.Go(func() { m.runEvery(ctx, m.replicateInterval, m.Replicate) })
	m.wg.Go(func() { m.runEvery(ctx, m.flushInterval, m.Flush) })
}

// runEvery calls f at an interval until ctx ends. Errors are dropped, because
// the next call retries what failed.
func (m *Meter) runEvery(ctx context.Context, interval time.Duration, f func(context.Context) error) {
	timing.Every(ctx, interval, func() {
		runCtx, cancel := context.WithTimeout(ctx, interval)
		defer cancel()
		_ = f(runCtx)
	})
}

// Close stops the background work, marks all windows as final and writes them to
// the store. It must be called after the last Add. If the store fails, Close sends
// the totals to the peers, which write them later.
func (m *Meter) Close(ctx context.Context) error {
	if m.cancel != nil {
		m.cancel()
		m.wg.Wait()
	}
	m.mu.Lock()
	for _, l := range m.windows {
		l.final = true
	}
	m.mu.Unlock()
	if err := m.Flush(ctx); err != nil {
		_ = m.Replicate(ctx) // the error of the store is returned instead
		return err
	}
	return nil
}
