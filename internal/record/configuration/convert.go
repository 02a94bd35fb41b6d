package configuration

import (
	"slices"
	"strings"
	"time"

	"quetzalhook"
)

// index speeds up the search for entries of a document by name.
type index struct {
	regions   map[string]string   // region of each zone
	distances map[string]Distance // by pairKey of the two regions
	classes   map[string]quetzalhook.Class
	customers map[string]int // position in Document.Customers
}

func (d *Document) buildIndex() {
	d.index = index{
		regions:   make(map[string]string, len(d.Zones)),
		distances: make(map[string]Distance, len(d.Distances)),
		classes:   make(map[string]quetzalhook.Class, len(d.Classes)),
		customers: make(map[string]int, len(d.Customers)),
	}
	for _, z := range d.Zones {
		d.index.regions[z.Name] = z.Region
	}
	for _, s := range d.Distances {
		d.index.distances[pairKey(s.From, s.To)] = s
	}
	for _, c := range d.Classes {
		d.index.classes[c.Name] = c.convert()
	}
	for i, c := range d.Customers {
		d.index.customers[c.Name] = i
	}
}

// pairKey returns the key of a pair of regions; their order does not matter.
func pairKey(a, b string) string {
	if a > b {
		a, b = b, a
	}
	return a + "\x00" + b
}

func (c Class) convert() quetzalhook.Class {
	opts := []quetzalhook.ClassOption{
		quetzalhook.WithTTFTTarget(c.TTFTTarget),
		quetzalhook.WithGapTarget(c.GapTarget),
		quetzalhook.WithFloorShare(c.FloorShare),
	}
	if c.MustFinish {
		opts = append(opts, quetzalhook.WithMustFinish())
	}
	if c.LateWorthless {
		opts = append(opts, quetzalhook.WithLateWorthless())
	}
	return quetzalhook.NewClass(quetzalhook.ClassName(c.Name), quetzalhook.Tier(c.Tier), opts...)
}

// Class returns a class by name.
func (d *Document) Class(name quetzalhook.ClassName) (quetzalhook.Class, bool) {
	c, ok := d.index.classes[string(name)]
	return c, ok
}

// AllClasses returns all classes in the order of the document.
func (d *Document) AllClasses() []quetzalhook.Class {
	list := make([]quetzalhook.Class, 0, len(d.Classes))
	for _, c := range d.Classes {
		list = append(list, c.convert())
	}
	return list
}

// Customer returns a customer by name.
func (d *Document) Customer(id quetzalhook.CustomerID) (Customer, bool) {
	i, ok := d.index.customers[string(id)]
	if !ok {
		return Customer{}, false
	}
	return d.Customers[i], true
}

// Allows reports whether the customer may use the class.
func (c Customer) Allows(class quetzalhook.ClassName) bool {
	return slices.Contains(c.Classes, string(class))
}

// Limit returns the customer's limits.
func (c Customer) Limit() quetzalhook.CustomerLimit {
	return quetzalhook.CustomerLimit{
		Weight:      c.Weight,
		WorkRate:    c.WorkRate,
		WorkBurst:   c.WorkBurst,
		Concurrency: c.Concurrency,
	}
}

// Limits returns the limits of all customers.
func (d *Document) Limits() map[quetzalhook.CustomerID]quetzalhook.CustomerLimit {
	limits := make(map[quetzalhook.CustomerID]quetzalhook.CustomerLimit, len(d.Customers))
	for _, c := range d.Customers {
		limits[quetzalhook.CustomerID(c.Name)] = c.Limit()
	}
	return limits
}

// Region returns the region of a zone, or "" for an unknown zone.
func (d *Document) Region(z quetzalhook.Zone) quetzalhook.Region {
	return quetzalhook.Region(d.index.regions[string(z)])
}

// DistanceBetween returns the one-way delay between two zones and the price of
// 10^9 bytes of traffic between them. Both are 0 if the zones are the same or the
// document gives no distance for their regions.
func (d *Document) DistanceBetween(a, b quetzalhook.Zone) (delay time.Duration, pricePerGB float64) {
	if a == b {
		return 0, 0
	}
	s := d.index.distances[pairKey(d.index.regions[string(a)], d.index.regions[string(b)])]
	return s.Delay, s.PricePerGB
}

// UpstreamsFrom returns all upstreams, with the delay and the traffic price that
// they have for a host in zone from.
func (d *Document) UpstreamsFrom(from quetzalhook.Zone) []quetzalhook.Upstream {
	list := make([]quetzalhook.Upstream, 0, len(d.Upstreams))
	for _, u := range d.Upstreams {
		c := u.convert()
		c.Region = d.Region(c.Zone)
		c.Distance, c.TrafficPrice = d.DistanceBetween(from, c.Zone)
		list = append(list, c)
	}
	return list
}

func (u Upstream) convert() quetzalhook.Upstream {
	c := quetzalhook.Upstream{
		ID:            quetzalhook.UpstreamID(u.Name),
		Service:       u.Service,
		Address:       u.Address,
		Zone:          quetzalhook.Zone(u.Zone),
		Slots:         u.Slots,
		TokenRate:     u.TokenRate,
		PrefillRate:   u.PrefillRate,
		Price:         u.Price,
		Cheap:         u.Cheap,
		ChecksFencing: u.ChecksFencing,
	}
	if u.Kind == KindService {
		c.Kind = quetzalhook.KindService
	}
	for _, m := range u.Models {
		c.Models = append(c.Models, quetzalhook.Model(m))
	}
	return c
}

// Route returns the route whose path is the longest prefix of path. A prefix has
// to match whole path segments.
func (d *Document) Route(path string) (Route, bool) {
	best, found := Route{}, false
	for _, r := range d.Routes {
		if matchesPrefix(path, r.Path) && (!found || len(r.Path) > len(best.Path)) {
			best, found = r, true
		}
	}
	return best, found
}

// matchesPrefix reports whether prefix matches whole segments at the start of path.
func matchesPrefix(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || strings.HasSuffix(prefix, "/") || rest[0] == '/')
}

// ClassFor returns the class of a request: the requested one or, if none is
// requested, the class of the route or, if it has none, the customer's default.
// It reports false if the class does not exist or the customer may not use it. On
// a route with Open, every customer may use the route's class.
func (d *Document) ClassFor(c Customer, r Route, requested quetzalhook.ClassName) (quetzalhook.Class, bool) {
	name := string(requested)
	if name == "" {
		name = r.Class
	}
	if name == "" {
		name = c.DefaultClass
	}
	class, ok := d.index.classes[name]
	return class, ok && (c.Allows(class.Name()) || r.Open && name == r.Class)
}
