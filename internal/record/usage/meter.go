// Package usage counts what customers use and keeps the counts when hosts
// fail.
//
// Each incarnation of a host counts cumulative totals by customer, class and
// billing window. Totals merge by maximum, so every copy may arrive late, twice
// or out of order. Each second a host sends its changes to two peers in other
// zones, and less often it writes them to the store. A peer writes the totals
// of a host that it has not heard from.
//
// A killed host loses at most what it counted since its last replica left:
// one interval and the time of a call, if one of its two peers survives long
// enough to reach the store. If both die with it, it loses what it counted
// since its last write to the store.
package usage

import (
	"context"
	"sync"
	"time"

	"quetzalhook/internal/state/timing"

	"quetzalhook"
)

const (
	defaultReplicate = time.Second
	// defaultFlush bounds the writes: 2,800 hosts make about 50 a second.
	defaultFlush = time.Minute
	// defaultOrphan is how long a source may be silent before a peer writes its
	// totals to the store.
	defaultOrphan = 10 * time.Second
	// defaultForget is how long a peer keeps the totals of a silent source
	// after it wrote them.
	defaultForget = 2 * time.Hour
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

	replicateEvery time.Duration
	flushEvery     time.Duration
	orphanAfter    time.Duration
	forgetAfter    time.Duration

	flushing chan struct{} // full while a flush is under way

	mu       sync.Mutex
	seq      uint64
	current  Window
	end      time.Time // of current
	windows  map[Window]*ledger
	acked    map[Source]uint64 // sequence up to which a peer has the changes
	replicas map[Source]*replica

	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// replica is what this host knows of another one.
type replica struct {
	heard   time.Time
	windows map[Window]*ledger
}

// Option sets an optional property of a Meter.
type Option func(*Meter)

// WithIntervals sets the time between two replicas and between two writes to
// the store.
func WithIntervals(replicate, flush time.Duration) Option {
	return func(m *Meter) { m.replicateEvery, m.flushEvery = replicate, flush }
}

// WithOrphanAfter sets the silence after which a peer writes another host's
// totals to the store.
func WithOrphanAfter(d time.Duration) Option { return func(m *Meter) { m.orphanAfter = d } }

// New returns a meter and registers its handler with peers. Durations are
// measured with clock; calendar decides the billing window only.
func New(self Source, zone quetzalhook.Zone, store quetzalhook.Store, clock, calendar quetzalhook.Clock,
	peers quetzalhook.Peers, schedule Schedule, opts ...Option,
) *Meter {
	m := &Meter{
		store: store, clock: clock, calendar: calendar, peers: peers, schedule: schedule,
		self: self, zone: zone, replicateEvery: defaultReplicate, flushEvery: defaultFlush,
		orphanAfter: defaultOrphan, forgetAfter: defaultForget,
		flushing: make(chan struct{}, 1), windows: make(map[Window]*ledger),
		acked: make(map[Source]uint64), replicas: make(map[Source]*replica),
	}
	for _, opt := range opts {
		opt(m)
	}
	peers.Handle(peerKind, m.handle)
	return m
}

// Add counts usage in the current window.
func (m *Meter) Add(customer quetzalhook.CustomerID, class quetzalhook.ClassName, a Amount) {
	now := m.calendar.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.turn(now)
	l := m.windows[m.current]
	if l == nil {
		l = newLedger()
		m.windows[m.current] = l
	}
	m.seq++
	c := l.cell(Key{Customer: customer, Class: class})
	c.amount, c.changed = c.amount.Plus(a), m.seq
}

// turn moves to the window of now, never back. Earlier windows become final:
// no usage is added to them any more. The caller holds m.mu.
func (m *Meter) turn(now time.Time) {
	if now.Before(m.end) {
		return
	}
	w := m.schedule.At(now)
	m.current = w
	m.end, _ = m.schedule.End(w) // a window made by At always parses
	for other, l := range m.windows {
		l.final = other != w
	}
}

// Start replicates and writes in the background until Close.
func (m *Meter) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	m.wg.Go(func() { m.loop(ctx, m.replicateEvery, m.Replicate) })
	m.wg.Go(func() { m.loop(ctx, m.flushEvery, m.Flush) })
}

// loop runs f in intervals; the next round repeats what failed.
func (m *Meter) loop(ctx context.Context, every time.Duration, f func(context.Context) error) {
	timing.Every(ctx, every, func() {
		round, cancel := context.WithTimeout(ctx, every)
		defer cancel()
		_ = f(round)
	})
}

// Close stops the background work, marks all windows final and writes them.
// Call it after the last Add. If the store fails, the peers get the totals
// and write them later.
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
		_ = m.Replicate(ctx) // the store's error is the one that matters
		return err
	}
	return nil
}
