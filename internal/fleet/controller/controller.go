// Package controller orders upstreams from the platform while its host holds
// the controller lease.
//
// A planner returns how many upstreams each zone should have of each price class.
// The controller sends an order for each number that differs from its last order,
// one after the other. Before it sends an order, it writes the intent into the
// lease object.
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

// Target is the target name of the intents for orders to the platform. All zones
// share it, because the platform must not receive orders from two hosts at once.
const Target = "platform"

const (
	defaultInterval = 5 * time.Second
	// defaultResendAfter is the time after which an order that has no effect on the
	// platform's list of upstreams is sent again under a new identifier.
	defaultResendAfter = 2 * time.Minute
)

// Need is the wanted number of upstreams of one price class in one zone.
type Need struct {
	Zone  quetzalhook.Zone
	Cheap bool
	Count int
}

// Planner decides how many upstreams to order. Only the host that holds the lease
// calls it. It does no I/O.
type Planner interface {
	Plan(now time.Time, upstreams []quetzalhook.Upstream) []Need
}

// orderKey is a zone and a price class. A new order replaces the earlier one with
// the same key.
type orderKey struct {
	zone  quetzalhook.Zone
	cheap bool
}

// sentOrder is the last successful order of a key.
type sentOrder struct {
	count int
	at    time.Time
}

// Controller sends orders for one host. Step and Start must not be mixed.
type Controller struct {
	lease         *lease.Lease
	platform      quetzalhook.Provisioner
	planner       Planner
	clock         quetzalhook.Clock
	log           logrus.FieldLogger
	interval      time.Duration
	resendAfter   time.Duration
	settle        time.Duration
	checksFencing bool
	newID         func() string
	deaths        *lease.DeathDetector
	orders        map[orderKey]sentOrder                 // last orders in this term of the lease
	unanswered    map[orderKey]quetzalhook.UpstreamOrder // orders with an unknown outcome
	fencing       uint64                                 // fencing token under which orders were sent
	rounds        *lease.PeriodicTask
}

// Option sets an optional property of a Controller.
type Option func(*Controller)

// WithInterval sets the time between two rounds.
func WithInterval(d time.Duration) Option { return func(c *Controller) { c.interval = d } }

// WithResendAfter sets the time after which an order without visible effect is
// sent again.
func WithResendAfter(d time.Duration) Option { return func(c *Controller) { c.resendAfter = d } }

// WithSettle sets how long a newer incarnation of a host must be listed by the
// platform before the older one counts as dead.
func WithSettle(d time.Duration) Option { return func(c *Controller) { c.settle = d } }

// WithFencing states that the platform refuses old fencing tokens. Without it,
// an open intent of another process blocks all orders.
func WithFencing() Option { return func(c *Controller) { c.checksFencing = true } }

// WithIDs replaces the generator of order identifiers, which must be unique.
func WithIDs(f func() string) Option { return func(c *Controller) { c.newID = f } }

// WithLog sets the logger for failed rounds; by default they are not logged.
func WithLog(log logrus.FieldLogger) Option { return func(c *Controller) { c.log = log } }

// New returns a controller that sends orders while l is held. The caller runs the
// lease, and closes it after the controller.
func New(l *lease.Lease, platform quetzalhook.Provisioner, hosts quetzalhook.HostLister,
	planner Planner, clock quetzalhook.Clock, opts ...Option,
) *Controller {
	c := &Controller{
		lease: l, platform: platform, planner: planner, clock: clock,
		interval: defaultInterval, resendAfter: defaultResendAfter, settle: lease.DefaultSettle,
		newID: rand.Text,
	}
	for _, opt := range opts {
		opt(c)
	}
	c.deaths = lease.NewDeathDetector(hosts, clock, c.settle)
	c.rounds = lease.NewPeriodicTask(c.interval, c.Step, c.logFailure)
	return c
}

// Start runs rounds in the background until Close.
func (c *Controller) Start() { c.rounds.Start() }

// Close stops the background work and waits for an order in progress. Closing the
// lease afterwards releases it.
func (c *Controller) Close() error { return c.rounds.Close() }

func (c *Controller) logFailure(err error) {
	if c.log != nil {
		c.log.WithError(err).Warn("controller round failed")
	}
}

// Step runs one round: it resolves open intents and sends the orders that are
// due. It does nothing unless the lease is held.
func (c *Controller) Step(ctx context.Context) error {
	fencing, held := c.lease.Fencing()
	if !held {
		c.orders = nil
		return nil
	}
	if fencing != c.fencing || c.orders == nil {
		c.fencing, c.orders = fencing, make(map[orderKey]sentOrder)
		c.unanswered = make(map[orderKey]quetzalhook.UpstreamOrder)
	}
	if err := c.resolve(ctx); err != nil {
		return err
	}
	upstreams, err := c.platform.Upstreams(ctx)
	if err != nil {
		return errors.Wrap(err, "list upstreams")
	}
	ready := countReady(upstreams)
	for _, need := range c.planner.Plan(c.clock.Now(), upstreams) {
		if !c.isDue(need, ready) {
			continue
		}
		if err := c.order(ctx, need); err != nil {
			return err
		}
	}
	return nil
}

// countReady returns the number of ready upstreams of each zone and price class.
func countReady(upstreams []quetzalhook.Upstream) map[orderKey]int {
	ready := make(map[orderKey]int)
	for _, u := range upstreams {
		if u.State == quetzalhook.UpstreamReady {
			ready[orderKey{u.Zone, u.Cheap}]++
		}
	}
	return ready
}

// isDue reports whether a need differs from the last order, or was ordered
// resendAfter ago and is still not met. A new holder of the lease orders every
// need once, because an order of its predecessor with another number may still be
// in progress.
func (c *Controller) isDue(need Need, ready map[orderKey]int) bool {
	k := orderKey{need.Zone, need.Cheap}
	last, ok := c.orders[k]
	late := c.clock.Now().Sub(last.at) >= c.resendAfter
	return !ok || need.Count != last.count || late && need.Count != ready[k]
}

// order sends the order for a need. If an earlier order with the same key has an
// unknown outcome, it sends that one again instead, so that at most one order per
// key is open.
func (c *Controller) order(ctx context.Context, need Need) error {
	k := orderKey{need.Zone, need.Cheap}
	u, repeated := c.unanswered[k]
	if !repeated {
		u = quetzalhook.UpstreamOrder{ID: c.newID(), Zone: need.Zone, Cheap: need.Cheap, Count: need.Count}
	}
	o := lease.Order{ID: u.ID, Target: Target, ChecksFencing: c.checksFencing}
	err := c.lease.Order(ctx, o, func(ctx context.Context, fencing uint64) error {
		c.unanswered[k] = u
		u.Fencing = fencing
		return c.platform.Order(ctx, u)
	})
	if err == nil || lease.IsKind(err, lease.KindRefused) {
		delete(c.unanswered, k)
	}
	if err != nil {
		return errors.Wrapf(err, "order %d upstreams in %s", u.Count, u.Zone)
	}
	c.orders[k] = sentOrder{u.Count, c.clock.Now()}
	return nil
}
