// Package loader orders the engines to load their configured models while its
// host holds the controller lease.
//
// Load orders work like orders to the platform: the intent is written into the
// lease object before the order is sent. An engine that does not check fencing
// tokens receives no orders while an intent of another process is open for it.
package loader

import (
	"context"
	"crypto/rand"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"quetzalhook"
	"quetzalhook/internal/fleet/lease"
)

const (
	defaultInterval = 5 * time.Second
	// reloadAfter is the time after which a load is ordered again if the engine
	// does not list the model.
	reloadAfter = 5 * time.Minute
	// maxLoadsPerRound bounds the load orders of one round, since the store of
	// model weights limits its rate.
	maxLoadsPerRound = 4
	// maxEnginesPerRound bounds the engines checked in one round, so that the work
	// of a round does not grow with the fleet.
	maxEnginesPerRound = 64
	// targetPrefix precedes the engine's ID in the target names of intents.
	targetPrefix = "engine/"
)

// modelLoad identifies a model on an engine.
type modelLoad struct {
	engine quetzalhook.UpstreamID
	model  quetzalhook.Model
}

// Loader sends load orders to the engines. Step and Start must not be mixed.
type Loader struct {
	lease    *lease.Lease
	engines  quetzalhook.Engines
	wanted   func() []quetzalhook.Upstream
	clock    quetzalhook.Clock
	deaths   *lease.DeathDetector
	rounds   *lease.PeriodicTask
	log      logrus.FieldLogger
	interval time.Duration
	newID    func() string

	fencing uint64 // fencing token under which the loads were ordered
	ordered map[modelLoad]time.Time
	next    int // position in the sorted engines at which the next round begins
}

// Option sets an optional property of a Loader.
type Option func(*Loader)

// WithInterval sets the time between two rounds.
func WithInterval(d time.Duration) Option { return func(l *Loader) { l.interval = d } }

// WithIDs replaces the generator of order identifiers, which must be unique.
func WithIDs(f func() string) Option { return func(l *Loader) { l.newID = f } }

// WithLog sets the logger for failed rounds; by default they are not logged.
func WithLog(log logrus.FieldLogger) Option { return func(l *Loader) { l.log = log } }

// New returns a loader that sends orders while r is held. The function wanted
// returns the engines with the models that they should have loaded.
func New(r *lease.Lease, engines quetzalhook.Engines, hosts quetzalhook.HostLister,
	wanted func() []quetzalhook.Upstream, clock quetzalhook.Clock, opts ...Option,
) *Loader {
	l := &Loader{
		lease: r, engines: engines, wanted: wanted, clock: clock, interval: defaultInterval, newID: rand.Text,
		deaths: lease.NewDeathDetector(hosts, clock, lease.DefaultSettle),
	}
	for _, opt := range opts {
		opt(l)
	}
	l.rounds = lease.NewPeriodicTask(l.interval, l.Step, l.logFailure)
	return l
}

func (l *Loader) logFailure(err error) {
	if l.log != nil {
		l.log.WithError(err).Warn("loader round failed")
	}
}

// Start runs rounds in the background until Close.
func (l *Loader) Start() { l.rounds.Start() }

// Close stops the background work and waits for an order in progress.
func (l *Loader) Close() error { return l.rounds.Close() }

// Step runs one round: it resolves open intents and orders missing models on the
// next engines. It does nothing unless the lease is held. An error on one engine
// does not stop the round; Step returns the first one.
func (l *Loader) Step(ctx context.Context) error {
	fencing, held := l.lease.Fencing()
	if !held {
		return nil
	}
	if fencing != l.fencing || l.ordered == nil {
		l.fencing, l.ordered = fencing, make(map[modelLoad]time.Time)
	}
	firstErr := l.resolve(ctx)
	loads := 0
	for _, u := range l.nextEngines() {
		n, err := l.loadMissing(ctx, u, maxLoadsPerRound-loads)
		loads += n
		if err != nil && firstErr == nil {
			firstErr = err
		}
	}
	return firstErr
}

// nextEngines returns the engines of this round, in rotation over all ready ones.
func (l *Loader) nextEngines() []quetzalhook.Upstream {
	engines := slices.DeleteFunc(slices.Clone(l.wanted()), func(u quetzalhook.Upstream) bool {
		return u.Kind != quetzalhook.KindEngine || u.State != quetzalhook.UpstreamReady
	})
	slices.SortFunc(engines, func(a, b quetzalhook.Upstream) int { return strings.Compare(string(a.ID), string(b.ID)) })
	n := min(len(engines), maxEnginesPerRound)
	list := make([]quetzalhook.Upstream, 0, n)
	for i := range n {
		list = append(list, engines[(l.next+i)%len(engines)])
	}
	l.next += n
	return list
}

// loadMissing orders up to limit missing models of one engine and returns the
// number of orders.
func (l *Loader) loadMissing(ctx context.Context, u quetzalhook.Upstream, limit int) (int, error) {
	loaded, err := l.engines.Models(ctx, u.ID)
	if err != nil {
		return 0, errors.Wrapf(err, "list models of %s", u.ID)
	}
	n := 0
	for _, m := range u.Models {
		if n >= limit || slices.Contains(loaded, m) || !l.isDue(modelLoad{u.ID, m}) {
			continue
		}
		if err := l.order(ctx, u, m); err != nil {
			return n, err
		}
		n++
	}
	return n, nil
}

func (l *Loader) isDue(m modelLoad) bool {
	at, ok := l.ordered[m]
	return !ok || l.clock.Now().Sub(at) >= reloadAfter
}

func (l *Loader) order(ctx context.Context, u quetzalhook.Upstream, m quetzalhook.Model) error {
	id := l.newID()
	o := lease.Order{ID: id, Target: targetPrefix + string(u.ID), ChecksFencing: u.ChecksFencing}
	err := l.lease.Order(ctx, o, func(ctx context.Context, fencing uint64) error {
		return l.engines.Load(ctx, u.ID, quetzalhook.ModelOrder{ID: id, Model: m, Fencing: fencing})
	})
	if err != nil {
		return errors.Wrapf(err, "load %s on %s", m, u.ID)
	}
	l.ordered[modelLoad{u.ID, m}] = l.clock.Now()
	return nil
}

// resolve closes the open intents for engines whose order the engine lists or
// whose sender is known to be dead.
func (l *Loader) resolve(ctx context.Context) error {
	open := slices.DeleteFunc(l.lease.OpenIntents(), func(i lease.Intent) bool { return !strings.HasPrefix(i.Target, targetPrefix) })
	if len(open) == 0 {
		return nil
	}
	if err := l.deaths.Observe(ctx, open); err != nil {
		return err
	}
	done := make(map[string]bool)
	for _, i := range open {
		done[i.ID] = l.deaths.IsDead(i) || l.isConfirmed(ctx, i)
	}
	return l.lease.Resolve(ctx, func(i lease.Intent) bool { return done[i.ID] })
}

// isConfirmed reports whether the engine lists the order of an intent. It is
// false for an order that another process sent more than once, since a later copy
// may still arrive.
func (l *Loader) isConfirmed(ctx context.Context, i lease.Intent) bool {
	if i.Sends > 1 && !l.lease.IsOwn(i) {
		return false
	}
	ids, err := l.engines.Orders(ctx, quetzalhook.UpstreamID(strings.TrimPrefix(i.Target, targetPrefix)))
	return err == nil && slices.Contains(ids, i.ID)
}
