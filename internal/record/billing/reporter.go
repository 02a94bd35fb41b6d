// Package billing reports the usage of closed billing windows to the platform
// while its host holds the role of reporter.
//
// A window closes when every source of usage in it has marked it final or is
// gone. Its figures are then frozen in an object that is created once; every
// report of the window, by whichever reporter, sends the bytes of that object.
// Usage that becomes known later goes into a later window as a separate line.
// Reports are orders of the lease: written as intents before they are sent.
package billing

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"quetzalhook"
	"quetzalhook/internal/fleet/lease"
	"quetzalhook/internal/record/usage"
	"quetzalhook/internal/state/invariant"
)

// Target is the name under which reports are recorded as orders.
const Target = "usage-sink"

const (
	stateKey        = "usage/state"
	defaultInterval = 10 * time.Second
	// defaultGrace after the end of a window covers two writes of the usage
	// counters and the write of a silent host's replica.
	defaultGrace = 3 * time.Minute
	// defaultGone is how long a host must be missing from the platform's list
	// before its windows no longer wait for it. Its late usage is not lost.
	defaultGone = 2 * time.Minute
	// defaultLookback is the number of windows in which late usage is found.
	defaultLookback = 48
)

// state is the value of usage/state.
type state struct {
	// First is the window with which reporting began.
	First usage.Window `json:"first"`
	// Reported is the newest window that the platform has accepted. Windows are
	// reported in order.
	Reported usage.Window `json:"reported"`
}

// Reporter reports for one host. Step and Start must not be mixed.
type Reporter struct {
	lease    *lease.Lease
	store    quetzalhook.Store
	sink     quetzalhook.UsageSink
	hosts    quetzalhook.HostLister
	inv      quetzalhook.Invariants
	clock    quetzalhook.Clock
	calendar quetzalhook.Clock
	schedule usage.Schedule
	deaths   *lease.DeathDetector
	log      logrus.FieldLogger

	interval time.Duration
	grace    time.Duration
	gone     time.Duration
	settle   time.Duration
	lookback int
	fencing  bool

	process string                             // unique in the order identifiers
	bodies  map[usage.Window][]byte            // frozen figures, which never change
	sent    map[usage.Window][sha256.Size]byte // what this process has sent
	missing map[usage.Source]time.Time         // when a source was first missing

	mu     sync.Mutex
	status Status

	rounds *lease.PeriodicTask
}

// Option sets an optional property of a Reporter.
type Option func(*Reporter)

// WithInterval sets the time between two rounds.
func WithInterval(d time.Duration) Option { return func(r *Reporter) { r.interval = d } }

// WithGrace sets how long after its end a window is frozen at the earliest.
func WithGrace(d time.Duration) Option { return func(r *Reporter) { r.grace = d } }

// WithGone sets how long a host must be missing from the platform's list
// before a window closes without its mark.
func WithGone(d time.Duration) Option { return func(r *Reporter) { r.gone = d } }

// WithSettle sets how long a newer incarnation of a host must be visible
// before the older one counts as dead.
func WithSettle(d time.Duration) Option { return func(r *Reporter) { r.settle = d } }

// WithLookback sets in how many earlier windows late usage is found.
func WithLookback(n int) Option { return func(r *Reporter) { r.lookback = n } }

// WithFencing states that the platform refuses reports with old fencing
// numbers.
func WithFencing() Option { return func(r *Reporter) { r.fencing = true } }

// WithLog sets where failed rounds are reported; the default drops them.
func WithLog(log logrus.FieldLogger) Option { return func(r *Reporter) { r.log = log } }

// New returns a reporter that acts while l is held. The lease is run and
// closed by the caller, and closed after the reporter. Durations are measured
// with clock; calendar decides only which windows have ended.
func New(l *lease.Lease, store quetzalhook.Store, sink quetzalhook.UsageSink, hosts quetzalhook.HostLister,
	inv quetzalhook.Invariants, clock, calendar quetzalhook.Clock, schedule usage.Schedule, opts ...Option,
) *Reporter {
	r := &Reporter{
		lease: l, store: store, sink: sink, hosts: hosts, inv: inv, clock: clock, calendar: calendar,
		schedule: schedule, interval: defaultInterval, grace: defaultGrace, gone: defaultGone,
		settle: lease.DefaultSettle, lookback: defaultLookback,
		process: rand.Text(), bodies: make(map[usage.Window][]byte), sent: make(map[usage.Window][sha256.Size]byte),
		missing: make(map[usage.Source]time.Time),
	}
	for _, opt := range opts {
		opt(r)
	}
	r.deaths = lease.NewDeathDetector(hosts, clock, r.settle)
	r.rounds = lease.NewPeriodicTask(r.interval, r.Step, r.failed)
	return r
}

// Start runs rounds in the background until Close.
func (r *Reporter) Start() { r.rounds.Start() }

// Close stops the background work and waits for a report that is under way.
func (r *Reporter) Close() error { return r.rounds.Close() }

func (r *Reporter) failed(err error) {
	if r.log != nil {
		r.log.WithError(err).Warn("reporter round failed")
	}
}

// Step reports the windows that can be reported. It does nothing unless the
// role is held.
func (r *Reporter) Step(ctx context.Context) error {
	if !r.lease.Held() {
		clear(r.bodies) // up to 48 windows of figures that this host may not need again
		return nil
	}
	s, version, err := r.loadState(ctx)
	if err != nil {
		return err
	}
	r.noteReported(s.Reported)
	if err := r.resolve(ctx, s.Reported); err != nil {
		return err
	}
	for {
		w, err := r.schedule.Next(s.Reported)
		if err != nil {
			return err
		}
		body, err := r.frozenReport(ctx, s.First, w)
		if err != nil || body == nil {
			return err
		}
		if err := r.report(ctx, w, body); err != nil {
			return err
		}
		s.Reported = w
		if version, err = r.saveState(ctx, s, version); err != nil {
			return err
		}
		r.noteReported(w)
		r.cleanUp(ctx, w)
	}
}

// loadState reads which windows are reported. The first reporter starts with
// the window that is current.
func (r *Reporter) loadState(ctx context.Context) (state, quetzalhook.Version, error) {
	o, err := r.store.Get(ctx, stateKey)
	if quetzalhook.StoreKind(err, quetzalhook.StoreUnknown) == quetzalhook.StoreNotFound {
		s := state{First: r.schedule.At(r.calendar.Now())}
		s.Reported = r.schedule.At(r.calendar.Now().Add(-r.schedule.Length()))
		version, err := r.saveState(ctx, s, 0)
		return s, version, err
	}
	if err != nil {
		return state{}, 0, errors.Wrap(err, "read reported windows")
	}
	var s state
	err = json.Unmarshal(o.Value, &s)
	return s, o.Version, errors.Wrap(err, "decode reported windows")
}

// saveState writes which windows are reported. After an error the next round
// reads the state again and at worst repeats a report with the same bytes.
func (r *Reporter) saveState(ctx context.Context, s state, base quetzalhook.Version) (quetzalhook.Version, error) {
	value, err := json.Marshal(s)
	if err != nil {
		return 0, errors.Wrap(err, "encode reported windows")
	}
	version, err := r.store.Put(ctx, stateKey, value, base)
	return version, errors.Wrap(err, "write reported windows")
}

// resolve closes open report intents of other processes: those of windows
// that the platform is known to have accepted, and those of dead senders. A
// process sends the reports of a window one after the other and records the
// window after the answer, so no send of a recorded window is still to come.
func (r *Reporter) resolve(ctx context.Context, reported usage.Window) error {
	open := r.lease.OpenIntents()
	if len(open) == 0 {
		return nil
	}
	if err := r.deaths.Observe(ctx, open); err != nil {
		return err
	}
	return r.lease.Resolve(ctx, func(i lease.Intent) bool {
		return i.Target == Target && (windowOf(i.ID) <= reported || r.deaths.IsDead(i))
	})
}

// orderID names a window's report by this process.
func (r *Reporter) orderID(w usage.Window) string { return string(w) + "/" + r.process }

func windowOf(id string) usage.Window {
	w, _, _ := strings.Cut(id, "/")
	return usage.Window(w)
}

// report sends the frozen bytes of a window as one order of the lease.
func (r *Reporter) report(ctx context.Context, w usage.Window, body []byte) error {
	if err := r.check(ctx, w, body); err != nil {
		return err
	}
	o := lease.Order{ID: r.orderID(w), Target: Target, ChecksFencing: r.fencing}
	err := r.lease.Order(ctx, o, func(ctx context.Context, fencing uint64) error {
		return r.sink.Report(ctx, string(w), fencing, body)
	})
	return errors.Wrapf(err, "report %s", w)
}

// check verifies that the body is what the store holds for the window and
// what this process has sent before. Otherwise nothing may be sent.
func (r *Reporter) check(ctx context.Context, w usage.Window, body []byte) error {
	stored, err := r.fetch(ctx, w)
	if err != nil {
		return errors.Wrapf(err, "check report of %s", w)
	}
	if stored == nil {
		return errors.Errorf("stale read: %s is frozen but was not found", w)
	}
	sum := sha256.Sum256(body)
	before, repeated := r.sent[w]
	ok := bytes.Equal(body, stored) && (!repeated || before == sum)
	r.inv.Check(invariant.SingleReport, ok, "window", w, "repeated", repeated)
	if !ok {
		return errors.Errorf("the report of %s differs from its frozen figures", w)
	}
	r.sent[w] = sum
	return nil
}
