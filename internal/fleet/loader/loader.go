// Package loader has the engines load the configured models while its host
// holds the role of controller.
//
// A load is an order like those to the platform: its intent is written into
// the lease object before it is sent. An engine that ignores old fencing
// numbers gets nothing while an intent of another process is open for it.
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
	// defaultPatience is how long a loaded model may take to show before it is
	// ordered again.
	defaultPatience = 5 * time.Minute
	// roundLoads bounds the loads of one round, since the weight store limits
	// its rate.
	roundLoads = 4
	// roundEngines bounds the engines looked at in one round, so that the work
	// of a round does not grow with the fleet.
	roundEngines = 64
	targetPrefix = "engine/"
)

// load names a model on an engine.
type load struct {
	engine quetzalhook.UpstreamID
	model  quetzalhook.Model
}

// Loader orders loads for one host. Step and Start must not be mixed.
type Loader struct {
	lease    *lease.Lease
	engines  quetzalhook.Engines
	wanted   func() []quetzalhook.Upstream
	clock    quetzalhook.Clock
	deaths   *lease.Deaths
	rounds   *lease.Rounds
	log      logrus.FieldLogger
	interval time.Duration
	newID    func() string

	term    uint64
	ordered map[load]time.Time
	next    int // engine at which the next round begins
}

// Option sets an optional property of a Loader.
type Option func(*Loader)

// WithInterval sets the time between two rounds.
func WithInterval(d time.Duration) Option { return func(l *Loader) { l.interval = d } }

// WithIDs replaces the source of order identifiers, which must never repeat.
func WithIDs(f func() string) Option { return func(l *Loader) { l.newID = f } }

// WithLog sets where failed rounds are reported; the default drops them.
func WithLog(log logrus.FieldLogger) Option { return func(l *Loader) { l.log = log } }

// New returns a loader that acts while r is held. Wanted returns the engines
// with the models that they should have loaded.
func New(r *lease.Lease, engines quetzalhook.Engines, hosts quetzalhook.HostLister,
	wanted func() []quetzalhook.Upstream, clock quetzalhook.Clock, opts ...Option,
) *Loader {
	l := &Loader{
		lease: r, engines: engines, wanted: wanted, clock: clock, interval: defaultInterval, newID: rand.Text,
		deaths: lease.NewDeaths(hosts, clock, lease.DefaultSettle),
	}
	for _, opt := range opts {
		opt(l)
	}
	l.rounds = lease.NewRounds(l.interval, l.Step, l.failed)
	return l
}

func (l *Loader) failed(err error) {
	if l.log != nil {
		l.log.WithError(err).Warn("loading models failed")
	}
}

// Start runs rounds in the background until Close.
func (l *Loader) Start() { l.rounds.Start() }

// Close stops the background work and waits for an order that is under way.
func (l *Loader) Close() error { return l.rounds.Close() }

// Step does one round over the next engines. It does nothing unless the role
// is held. It returns the first error; the other engines are served all the
// same.
func (l *Loader) Step(ctx context.Context) error {
	fencing, held := l.lease.Fencing()
	if !held {
		return nil
	}
	if fencing != l.term || l.ordered == nil {
		l.term, l.ordered = fencing, make(map[load]time.Time)
	}
	first := l.resolve(ctx)
	loads := 0
	for _, u := range l.turn() {
		n, err := l.serve(ctx, u, roundLoads-loads)
		loads += n
		if err != nil && first == nil {
			first = err
		}
	}
	return first
}

// turn returns the engines of this round.
func (l *Loader) turn() []quetzalhook.Upstream {
	engines := slices.DeleteFunc(slices.Clone(l.wanted()), func(u quetzalhook.Upstream) bool {
		return u.Kind != quetzalhook.KindEngine || u.State != quetzalhook.UpstreamReady
	})
	slices.SortFunc(engines, func(a, b quetzalhook.Upstream) int { return strings.Compare(string(a.ID), string(b.ID)) })
	n := min(len(engines), roundEngines)
	list := make([]quetzalhook.Upstream, 0, n)
	for i := range n {
		list = append(list, engines[(l.next+i)%len(engines)])
	}
	l.next += n
	return list
}

// serve orders up to limit missing models of one engine and returns how many.
func (l *Loader) serve(ctx context.Context, u quetzalhook.Upstream, limit int) (int, error) {
	loaded, err := l.engines.Models(ctx, u.ID)
	if err != nil {
		return 0, errors.Wrapf(err, "models of %s", u.ID)
	}
	n := 0
	for _, m := range u.Models {
		if n >= limit || slices.Contains(loaded, m) || !l.isDue(load{u.ID, m}) {
			continue
		}
		if err := l.order(ctx, u, m); err != nil {
			return n, err
		}
		n++
	}
	return n, nil
}

func (l *Loader) isDue(w load) bool {
	at, ok := l.ordered[w]
	return !ok || l.clock.Now().Sub(at) >= defaultPatience
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
	l.ordered[load{u.ID, m}] = l.clock.Now()
	return nil
}

// resolve closes open intents to engines whose effect the engine shows or
// whose sender is known to be dead.
func (l *Loader) resolve(ctx context.Context) error {
	open := slices.DeleteFunc(l.lease.Open(), func(i lease.Intent) bool { return !strings.HasPrefix(i.Target, targetPrefix) })
	if len(open) == 0 {
		return nil
	}
	if err := l.deaths.Observe(ctx, open); err != nil {
		return err
	}
	done := make(map[string]bool)
	for _, i := range open {
		done[i.ID] = l.deaths.IsDead(i) || l.isSeen(ctx, i)
	}
	return l.lease.Resolve(ctx, func(i lease.Intent) bool { return done[i.ID] })
}

// isSeen reports whether the engine shows an order. Another process's order
// that was sent again may have a send to come.
func (l *Loader) isSeen(ctx context.Context, i lease.Intent) bool {
	if i.Sends > 1 && !l.lease.IsOwn(i) {
		return false
	}
	ids, err := l.engines.Orders(ctx, quetzalhook.UpstreamID(strings.TrimPrefix(i.Target, targetPrefix)))
	return err == nil && slices.Contains(ids, i.ID)
}
