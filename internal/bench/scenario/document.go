package scenario

import (
	"time"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"

	"quetzalhook"
	"quetzalhook/internal/bench/workload"
	"quetzalhook/internal/record/configuration"
)

// serviceName is the name of the service that handles bookings and orders.
const serviceName = "desk"

// largeShare is the minimum traffic share of a large customer. Large customers
// have the weight largeShare, the others have the weight 1.
const largeShare = 5.0

// document returns the operator's configuration of the deployment, in the regions
// of the first workload.
func document(workloads []workload.Workload, upstreams []configuration.Upstream) configuration.Document {
	d := configuration.Document{
		Upstreams: upstreams,
		Routes: []configuration.Route{
			{Path: string(workload.RouteChat), Kind: configuration.KindChat, Repeatable: true},
			{Path: string(workload.RouteBookings), Kind: configuration.KindService, Service: serviceName, Class: "pitch-booking"},
			{Path: string(workload.RouteOrders), Kind: configuration.KindService, Service: serviceName, Class: "grate-order"},
		},
		Keys:      configuration.Keys{CurrencyLimit: 10 * time.Second, UnknownRetention: 10 * time.Second},
		Retention: configuration.Retention{Journal: 24 * time.Hour},
	}
	addRegions(&d, workloads[0].Regions)
	for _, w := range workloads {
		d.Models = append(d.Models, configuration.Model{Name: string(w.Model), ContextTokens: 32768})
		addWorkload(&d, w)
	}
	addProbeCustomer(&d)
	return d
}

// addProbeCustomer adds probeCustomer, which may use all classes.
func addProbeCustomer(d *configuration.Document) {
	var names []string
	for _, c := range d.Classes {
		names = append(names, c.Name)
	}
	d.Customers = append(d.Customers, configuration.Customer{
		Name: string(probeCustomer), Weight: 1, Classes: names, DefaultClass: names[0],
	})
}

func addRegions(d *configuration.Document, regions []quetzalhook.Region) {
	for i, r := range regions {
		zone := string(zoneName(r))
		d.Zones = append(d.Zones, configuration.Zone{Name: zone, Region: string(r)})
		d.Distances = append(d.Distances, configuration.Distance{From: string(r), To: string(r), Delay: time.Millisecond})
		for _, other := range regions[i+1:] {
			d.Distances = append(d.Distances, configuration.Distance{
				From: string(r), To: string(other), Delay: 12 * time.Millisecond, PricePerGB: 0.02,
			})
		}
		d.Capacity = append(d.Capacity, configuration.CapacityBound{
			Zone: zone, Min: 2, Max: enginesPerZone, CheapMax: cheapPerZone,
		})
	}
}

func addWorkload(d *configuration.Document, w workload.Workload) {
	var names []string
	for _, c := range w.Classes {
		names = append(names, string(c.Name))
		d.Classes = append(d.Classes, configuration.Class{
			Name: string(c.Name), Tier: int(c.Tier), TTFTTarget: c.Target, FloorShare: c.FloorShare,
			MustFinish: c.MustFinish, LateWorthless: c.LateWorthless,
		})
	}
	for _, c := range w.Customers {
		weight := 1.0
		if c.Share >= largeShare {
			weight = largeShare
		}
		d.Customers = append(d.Customers, configuration.Customer{
			Name: string(c.Name), Weight: weight, Classes: names, DefaultClass: names[0],
		})
	}
}

// encode returns the document as YAML.
func encode(d configuration.Document) ([]byte, error) {
	b, err := yaml.Marshal(d)
	return b, errors.Wrap(err, "encode configuration")
}
