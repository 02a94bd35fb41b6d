// Package provisioner orders engines from the platform while its host holds the
// lease for this task, called the duty. Package supply decides what to order.
package provisioner

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"quetzalhook"
	"quetzalhook/internal/record/routing"
	"quetzalhook/internal/traffic/schedule"
	"quetzalhook/internal/traffic/supply"
)

// orderTimeout bounds the call that sends one order.
const orderTimeout = 700 * time.Millisecond

// Duty is the lease for ordering engines.
type Duty interface {
	// Fencing returns the fencing token of the lease and whether this host holds
	// it.
	Fencing() (uint64, bool)
}

// Platform sends orders to the platform.
type Platform interface {
	OrderUpstreams(ctx context.Context, fencing uint64, service string, o quetzalhook.UpstreamOrder) error
}

// Records provides the routing table and the registered upstreams.
type Records interface {
	Table() (*routing.Table, <-chan struct{})
	Upstreams() []quetzalhook.Upstream
	// IsEvacuated reports whether the operator has evacuated a zone.
	IsEvacuated(quetzalhook.Zone) bool
}

// Provisioner orders engines. It is not safe for concurrent use.
type Provisioner struct {
	duty     Duty
	platform Platform
	records  Records
	// load returns the current load of all engines.
	load    func(context.Context) (schedule.Load, error)
	clock   quetzalhook.Clock
	log     logrus.FieldLogger
	regions map[quetzalhook.Zone]quetzalhook.Region

	fencing  uint64                     // fencing token under which the planners were created
	planners map[string]*supply.Planner // by name of the service
}

// Option sets one property of a Provisioner.
type Option func(*Provisioner)

// WithRegions sets the region of each zone, so that engines are ordered for work that
// may run in some regions only.
func WithRegions(regions map[quetzalhook.Zone]quetzalhook.Region) Option {
	return func(p *Provisioner) { p.regions = regions }
}

// New returns a provisioner. The function load returns the current load of all engines.
func New(duty Duty, platform Platform, records Records, load func(context.Context) (schedule.Load, error),
	clock quetzalhook.Clock, log logrus.FieldLogger, opts ...Option,
) *Provisioner {
	p := &Provisioner{
		duty: duty, platform: platform, records: records, load: load, clock: clock, log: log,
		planners: make(map[string]*supply.Planner),
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Step sends the orders that are due for all services that scale. It does nothing
// unless this host holds the duty.
func (p *Provisioner) Step(ctx context.Context) {
	fencing, held := p.duty.Fencing()
	table, _ := p.records.Table()
	if !held || table == nil {
		return
	}
	if fencing != p.fencing {
		p.fencing = fencing
		clear(p.planners) // they do not know what the previous holder ordered
	}
	load, err := p.load(ctx)
	if err != nil {
		p.log.WithError(err).Warn("engine load unknown; no engines ordered")
		return
	}
	for i := range table.Services {
		if s := &table.Services[i]; s.Scaling != nil {
			p.plan(ctx, s, load)
		}
	}
}

// plan sends the orders that are due for one service. It stops at the first order
// that fails, unless the platform answered that it has no such engines.
func (p *Provisioner) plan(ctx context.Context, s *routing.Service, load schedule.Load) {
	planner := p.planners[s.Name]
	if planner == nil {
		planner = supply.New()
		p.planners[s.Name] = planner
	}
	in := input(s, p.regions, p.records.Upstreams(), p.records.IsEvacuated)
	in.Busy, in.Regional = load.Busy, load.Regional
	for _, o := range planner.Plan(p.clock.Now(), in) {
		log := p.log.WithFields(logrus.Fields{
			"service": s.Name, "zone": o.Zone, "cheap": o.Cheap, "count": o.Count, "have": o.Have, "reason": o.Reason,
			"busy": load.Busy, "fencing": p.fencing, "region": p.regions[o.Zone], "region-sets": len(load.Regional),
		})
		err := p.order(ctx, s.Name, o)
		switch {
		case err == nil:
			log.Info("upstreams ordered")
		case quetzalhook.StoreKind(err, "") == quetzalhook.StoreConflict:
			planner.Refused(p.clock.Now(), o)
			log.Info("platform has no such upstreams at present")
		default:
			planner.Failed(o)
			log.WithError(err).Warn("upstreams not ordered")
			return
		}
	}
}

// order sends one order if this host still holds the duty.
func (p *Provisioner) order(ctx context.Context, service string, o supply.Order) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if fencing, held := p.duty.Fencing(); !held || fencing != p.fencing {
		return errNotHolder
	}
	return p.platform.OrderUpstreams(ctx, p.fencing, service, quetzalhook.UpstreamOrder{
		Zone: o.Zone, Cheap: o.Cheap, Count: o.Count, Fencing: p.fencing,
	})
}

var errNotHolder = errors.New("duty lost to another host")

// input returns the planner's input for a service, without the load. Its zones
// are those with a price.
func input(s *routing.Service, regions map[quetzalhook.Zone]quetzalhook.Region, upstreams []quetzalhook.Upstream,
	evacuated func(quetzalhook.Zone) bool,
) supply.Input {
	in := supply.Input{Min: s.Scaling.Min, Max: s.Scaling.Max, CheapPrice: s.Scaling.CheapPrice, StartTime: s.Scaling.StartTime}
	for _, zone := range zones(s) {
		z := supply.Zone{Zone: zone, Region: regions[zone], Price: s.Scaling.ZonePrices[zone], Evacuated: evacuated(zone)}
		for _, u := range upstreams {
			switch {
			case u.Zone != zone || u.Service != s.Name:
			case u.Cheap && u.State == quetzalhook.UpstreamReady:
				z.Cheap++
			case u.Cheap:
				z.Leaving++
			case u.State == quetzalhook.UpstreamReady:
				z.Regular++
			}
		}
		in.Zones = append(in.Zones, z)
	}
	return in
}

// zones returns the zones of a service that have a price, sorted by name.
func zones(s *routing.Service) []quetzalhook.Zone {
	list := make([]quetzalhook.Zone, 0, len(s.Scaling.ZonePrices))
	for z := range s.Scaling.ZonePrices {
		list = append(list, z)
	}
	slices.Sort(list)
	return list
}
