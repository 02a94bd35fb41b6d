// Package controller orders upstreams from the platform while its host holds
// the role of controller.
//
// A planner says how many upstreams of each kind each zone should have. The
// controller sends the differences to what it has ordered so far, one order
// after the other, each with its intent written into the lease object first.
package controller

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"quetzalhook"
	"quetzalhook/internal/fleet/lease"
)

// Target is the name under which orders to the platform are recorded. All
// zones share it, because the platform must not hear two commanders at all.
const Target = "platform"

const (
	defaultInterval = 5 * time.Second
	// defaultPatience is how long an order may stay without effect on the
	// platform's list before it is sent again under a new identifier.
	defaultPatience = 2 * time.Minute
)

// Need is the wanted number of upstreams of one kind in one zone.
type Need struct {
	Zone  quetzalhook.Zone
	Cheap bool
	Count int
}

// Planner decides how many upstreams to order. It is called by the holder of
// the role only and does no I/O.
type Planner interface {
	Plan(now time.Time, upstreams []quetzalhook.Upstream) []Need
}

// kind is a zone and a price class; orders replace each other within a kind.
type kind struct {
	zone  quetzalhook.Zone
	cheap bool
}

type ordered struct {
	count int
	at    time.Time
}

// Controller sends orders for one host. Step and Start must not be mixed.
type Controller struct {
	lease    *lease.Lease
	platform quetzalhook.Provisioner
	planner  Planner
	clock    quetzalhook.Clock
	log      logrus.FieldLogger
	interval time.Duration
	patience time.Duration
	settle   time.Duration
	fencing  bool
	newID    func() string
	deaths   *lease.Deaths
	orders   map[kind]ordered                   // what this term of the role has ordered
	unclear  map[kind]quetzalhook.UpstreamOrder // sent without an answer
	term     uint64                             // fencing number that orders belongs to
	rounds   *lease.Rounds
}

// Option sets an optional property of a Controller.
type Option func(*Controller)

// WithInterval sets the time between two rounds.
func WithInterval(d time.Duration) Option { return func(c *Controller) { c.interval = d } }

// WithPatience sets how long an order may stay without visible effect.
func WithPatience(d time.Duration) Option { return func(c *Controller) { c.patience = d } }

// WithSettle sets how long a newer incarnation of a host must be visible
// before the older one counts as dead.
func WithSettle(d time.Duration) Option { return func(c *Controller) { c.settle = d } }

// WithFencing states that the platform refuses old fencing numbers. Without it
// an open intent of another process holds back all orders.
func WithFencing() Option { return func(c *Controller) { c.fencing = true } }

// WithIDs replaces the source of order identifiers, which must never repeat.
func WithIDs(f func() string) Option { return func(c *Controller) { c.newID = f } }

// WithLog sets where failed rounds are reported; the default drops them.
func WithLog(log logrus.FieldLogger) Option { return func(c *Controller) { c.log = log } }

// New returns a controller that acts while l is held. The lease is run and
// closed by the caller, and closed after the controller.
func New(l *lease.Lease, platform quetzalhook.Provisioner, hosts quetzalhook.HostLister,
	planner Planner, clock quetzalhook.Clock, opts ...Option,
) *Controller {
	c := &Controller{
		lease: l, platform: platform, planner: planner, clock: clock,
		interval: defaultInterval, patience: defaultPatience, settle: lease.DefaultSettle,
		newID: rand.Text,
	}
	for _, opt := range opts {
		opt(c)
	}
	c.deaths = lease.NewDeaths(hosts, clock, c.settle)
	c.rounds = lease.NewRounds(c.interval, c.Step, c.failed)
	return c
}

// Start runs rounds in the background until Close.
func (c *Controller) Start() { c.rounds.Start() }

// Close stops the background work and waits for an order that is under way.
// The role itself is released by closing the lease afterwards.
func (c *Controller) Close() error { return c.rounds.Close() }

func (c *Controller) failed(err error) {
	if c.log != nil {
		c.log.WithError(err).Warn("controller round failed")
	}
}

// Step does one round. It does nothing unless the role is held.
func (c *Controller) Step(ctx context.Context) error {
	fencing, held := c.lease.Fencing()
	if !held {
		c.orders = nil
		return nil
	}
	if fencing != c.term || c.orders == nil {
		c.term, c.orders = fencing, make(map[kind]ordered)
		c.unclear = make(map[kind]quetzalhook.UpstreamOrder)
	}
	if err := c.resolve(ctx); err != nil {
		return err
	}
	upstreams, err := c.platform.Upstreams(ctx)
	if err != nil {
		return errors.Wrap(err, "list upstreams")
	}
	present := count(upstreams)
	for _, need := range c.planner.Plan(c.clock.Now(), upstreams) {
		if !c.isDue(need, present) {
			continue
		}
		if err := c.order(ctx, need); err != nil {
			return err
		}
	}
	return nil
}

func count(upstreams []quetzalhook.Upstream) map[kind]int {
	present := make(map[kind]int)
	for _, u := range upstreams {
		if u.State == quetzalhook.UpstreamReady {
			present[kind{u.Zone, u.Cheap}]++
		}
	}
	return present
}

// isDue reports whether a need differs from the last order, or was ordered
// long ago and is still not met. A new holder orders everything once, because
// an order of its predecessor may be under way with another number.
func (c *Controller) isDue(need Need, present map[kind]int) bool {
	k := kind{need.Zone, need.Cheap}
	last, ok := c.orders[k]
	late := c.clock.Now().Sub(last.at) >= c.patience
	return !ok || need.Count != last.count || late && need.Count != present[k]
}

// order sends one order. An order of the same kind with unknown outcome is
// repeated first, so that no more than one of each kind is open.
func (c *Controller) order(ctx context.Context, need Need) error {
	k := kind{need.Zone, need.Cheap}
	u, repeated := c.unclear[k]
	if !repeated {
		u = quetzalhook.UpstreamOrder{ID: c.newID(), Zone: need.Zone, Cheap: need.Cheap, Count: need.Count}
	}
	o := lease.Order{ID: u.ID, Target: Target, ChecksFencing: c.fencing}
	err := c.lease.Order(ctx, o, func(ctx context.Context, fencing uint64) error {
		c.unclear[k] = u
		u.Fencing = fencing
		return c.platform.Order(ctx, u)
	})
	if err == nil || lease.IsKind(err, lease.KindRefused) {
		delete(c.unclear, k)
	}
	if err != nil {
		return errors.Wrapf(err, "order %d upstreams in %s", u.Count, u.Zone)
	}
	c.orders[k] = ordered{u.Count, c.clock.Now()}
	return nil
}
