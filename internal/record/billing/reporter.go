// Package billing reports the usage of closed billing windows to the platform
// while its host holds the reporter role.
//
// A window is closed when every source that has usage in it has marked it final
// or counts as gone. Its figures are then frozen: written to an object in the
// store that is created once and never changed. Every report of the window has
// the bytes of that object, whichever host sends it. Usage that becomes known
// after a window was frozen is added to the report of a later window, as a
// separate line. Reports are sent as orders of the lease: an intent is written to
// the store before each of them.
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

// Target is the target of the lease orders by which reports are sent.
const Target = "usage-sink"

const (
	stateKey        = "usage/state"
	defaultInterval = 10 * time.Second
	// defaultGrace is how long after its end a window is frozen at the earliest.
	// It leaves time for two writes of the usage counters, and for another host to
	// write the replica of the usage of a silent host.
	defaultGrace = 3 * time.Minute
	// defaultGoneAfter is how long a host must be missing from the platform's list
	// before windows are closed without its final mark. Usage of the host that is
	// found later is reported as late usage.
	defaultGoneAfter = 2 * time.Minute
	// defaultLookback is the number of earlier windows that are searched for late
	// usage.
	defaultLookback = 48
)

// state is the value of usage/state.
type state struct {
	// First is the window that was current when reporting began. Earlier windows
	// are never reported.
	First usage.Window `json:"first"`
	// Reported is the newest window whose report the platform has accepted.
	// Windows are reported in order.
	Reported usage.Window `json:"reported"`
}

// Reporter freezes and reports billing windows while its host holds the reporter
// role. Either Start is called, or Step for each round, but not both.
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

	interval      time.Duration
	grace         time.Duration
	goneAfter     time.Duration
	settle        time.Duration
	lookback      int
	checksFencing bool

	processID    string                             // random; makes the order IDs of this process unique
	bodies       map[usage.Window][]byte            // bodies of the frozen reports, which never change
	sentHashes   map[usage.Window][sha256.Size]byte // hash of the report that this process sent
	missingSince map[usage.Source]time.Time         // when a source was first missing from the list of hosts

	mu     sync.Mutex
	status Status

	rounds *lease.PeriodicTask
}

// Option sets an optional property of a Reporter.
type Option func(*Reporter)

// WithInterval sets the time between two rounds of the background work.
func WithInterval(d time.Duration) Option { return func(r *Reporter) { r.interval = d } }

// WithGrace sets how long after its end a window is frozen at the earliest.
func WithGrace(d time.Duration) Option { return func(r *Reporter) { r.grace = d } }

// WithGoneAfter sets how long a host must be missing from the platform's list of
// hosts before a window is closed without its final mark.
func WithGoneAfter(d time.Duration) Option { return func(r *Reporter) { r.goneAfter = d } }

// WithSettle sets how long the platform must list a newer incarnation of a host
// before the older one counts as dead.
func WithSettle(d time.Duration) Option { return func(r *Reporter) { r.settle = d } }

// WithLookback sets how many earlier windows are searched for late usage.
func WithLookback(n int) Option { return func(r *Reporter) { r.lookback = n } }

// WithFencing states that the platform rejects reports whose fencing token is
// older than one that it has seen.
func WithFencing() Option { return func(r *Reporter) { r.checksFencing = true } }

// WithLog sets the logger for errors of background rounds. By default they are
// not logged.
func WithLog(log logrus.FieldLogger) Option { return func(r *Reporter) { r.log = log } }

// New returns a reporter that works while lease l is held. The caller runs the
// lease, and closes it after the reporter. Durations are measured with clock;
// calendar gives the time of day, which is used only to find out which windows
// have ended.
func New(l *lease.Lease, store quetzalhook.Store, sink quetzalhook.UsageSink, hosts quetzalhook.HostLister,
	inv quetzalhook.Invariants, clock, calendar quetzalhook.Clock, schedule usage.Schedule, opts ...Option,
) *Reporter {
	r := &Reporter{
		lease: l, store: store, sink: sink, hosts: hosts, inv: inv, clock: clock, calendar: calendar,
		schedule: schedule, interval: defaultInterval, grace: defaultGrace, goneAfter: defaultGoneAfter,
		settle: lease.DefaultSettle, lookback: defaultLookback,
		processID: rand.Text(), bodies: make(map[usage.Window][]byte), sentHashes: make(map[usage.Window][sha256.Size]byte),
		missingSince: make(map[usage.Source]time.Time),
	}
	for _, opt := range opts {
		opt(r)
	}
	r.deaths = lease.NewDeathDetector(hosts, clock, r.settle)
	r.rounds = lease.NewPeriodicTask(r.interval, r.Step, r.logFailure)
	return r
}

// Start runs rounds in the background until Close is called.
func (r *Reporter) Start() { r.rounds.Start() }

// Close stops the background work and waits for a round that is in progress.
func (r *Reporter) Close() error { return r.rounds.Close() }

func (r *Reporter) logFailure(err error) {
	if r.log != nil {
		r.log.WithError(err).Warn("reporter round failed")
	}
}

// Step does one round: it freezes and reports, in order, all windows that are
// closed and not yet reported. It does nothing unless this host holds the role.
func (r *Reporter) Step(ctx context.Context) error {
	if !r.lease.Held() {
		clear(r.bodies) // frees the bodies of up to 48 windows, which this host may not need again
		return nil
	}
	s, version, err := r.loadState(ctx)
	if err != nil {
		return err
	}
	r.setReported(s.Reported)
	if err := r.resolveIntents(ctx, s.Reported); err != nil {
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
		r.setReported(w)
		r.deleteOldUsage(ctx, w)
	}
}

// loadState reads from the store which windows have been reported. If there is no
// state yet, it writes one by which reporting starts with the current window.
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

// saveState writes to the store which windows have been reported. After an error,
// the next round reads the state again; at worst it repeats a report with the same
// bytes.
func (r *Reporter) saveState(ctx context.Context, s state, base quetzalhook.Version) (quetzalhook.Version, error) {
	value, err := json.Marshal(s)
	if err != nil {
		return 0, errors.Wrap(err, "encode reported windows")
	}
	version, err := r.store.Put(ctx, stateKey, value, base)
	return version, errors.Wrap(err, "write reported windows")
}

// resolveIntents closes two kinds of open report intents: those of windows that
// are recorded as reported, and those of other processes that are dead. Closing
// the former is safe because a process sends the reports of a window one after
// the other and records the window only after the platform's answer, so that no
// report of a recorded window is sent any more.
func (r *Reporter) resolveIntents(ctx context.Context, reported usage.Window) error {
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

// orderID returns the ID of the lease order by which this process reports a
// window.
func (r *Reporter) orderID(w usage.Window) string { return string(w) + "/" + r.processID }

// windowOf returns the window of an order ID.
func windowOf(id string) usage.Window {
	w, _, _ := strings.Cut(id, "/")
	return usage.Window(w)
}

// report sends the frozen report of a window as one order of the lease.
func (r *Reporter) report(ctx context.Context, w usage.Window, body []byte) error {
	if err := r.checkBody(ctx, w, body); err != nil {
		return err
	}
	o := lease.Order{ID: r.orderID(w), Target: Target, ChecksFencing: r.checksFencing}
	err := r.lease.Order(ctx, o, func(ctx context.Context, fencing uint64) error {
		return r.sink.Report(ctx, string(w), fencing, body)
	})
	return errors.Wrapf(err, "report %s", w)
}

// checkBody returns an error unless body equals the report that the store holds
// for the window and any report of the window that this process has sent before.
// After an error, the report must not be sent.
func (r *Reporter) checkBody(ctx context.Context, w usage.Window, body []byte) error {
	stored, err := r.readReport(ctx, w)
	if err != nil {
		return errors.Wrapf(err, "check report of %s", w)
	}
	if stored == nil {
		return errors.Errorf("stale read: the frozen report of %s was not found", w)
	}
	sum := sha256.Sum256(body)
	before, repeated := r.sentHashes[w]
	ok := bytes.Equal(body, stored) && (!repeated || before == sum)
	r.inv.Check(invariant.SingleReport, ok, "window", w, "repeated", repeated)
	if !ok {
		return errors.Errorf("report of %s differs from the frozen report or from one sent before", w)
	}
	r.sentHashes[w] = sum
	return nil
}
