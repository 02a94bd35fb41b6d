package configuration

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"quetzalhook"
)

// Validate checks what the types of the fields cannot ensure: that names are
// given and unique, that references are to names that exist, and that values are
// in range. Its error is an *Error that lists all mistakes, up to maxMistakes.
func (d *Document) Validate() error {
	if list := d.mistakes(); len(list) > 0 {
		return &Error{Op: "validate", Kind: ErrorInvalid, Mistakes: list[:min(len(list), maxMistakes)]}
	}
	return nil
}

// validator collects the mistakes of a document, and the names that its sections
// define and other sections refer to.
type validator struct {
	found                                      []Mistake
	regions, zones, classes, models, upstreams map[string]bool
	services, customers, paths                 map[string]bool
}

func (d *Document) mistakes() []Mistake {
	v := &validator{
		regions: newSet(), zones: newSet(), classes: newSet(), models: newSet(),
		upstreams: newSet(), services: newSet(), customers: newSet(), paths: newSet(),
	}
	v.checkZones(d)
	v.checkClasses(d)
	v.checkModels(d)
	v.checkUpstreams(d)
	v.checkCustomers(d)
	v.checkRoutes(d)
	v.checkCapacity(d)
	v.checkDurations("keys.", map[string]time.Duration{
		"currency-limit": d.Keys.CurrencyLimit, "unknown-retention": d.Keys.UnknownRetention,
	})
	v.checkDurations("retention.", map[string]time.Duration{
		"journal": d.Retention.Journal,
	})
	return v.found
}

func newSet() map[string]bool { return make(map[string]bool) }

func (v *validator) addMistake(path, format string, args ...any) {
	v.found = append(v.found, Mistake{Path: path, Message: fmt.Sprintf(format, args...)})
}

func (v *validator) check(ok bool, path, format string, args ...any) {
	if !ok {
		v.addMistake(path, format, args...)
	}
}

// define adds name to names, after checking that it is not empty, not yet defined
// and well-formed.
func (v *validator) define(names map[string]bool, path, name string) {
	switch {
	case name == "":
		v.addMistake(path, "must not be empty")
	case names[name]:
		v.addMistake(path, "%q is given twice", name)
	case strings.ContainsAny(name, " \t\r\n") || len(name) > maxNameLength:
		v.addMistake(path, "%q must have no white space and at most %d bytes", name, maxNameLength)
	}
	names[name] = true
}

// maxNameLength is the maximum length of a name in bytes. It is small because
// every heartbeat carries names.
const maxNameLength = 100

// checkReference checks that names contains name. The message calls the name a
// what, such as "zone".
func (v *validator) checkReference(names map[string]bool, path, name, what string) {
	v.check(names[name], path, "%s %q does not exist", what, name)
}

func (v *validator) checkZones(d *Document) {
	v.check(len(d.Zones) > 0, "zones", "at least one zone is needed")
	for i, z := range d.Zones {
		path := itemPath("zones", i)
		v.define(v.zones, path+".name", z.Name)
		v.check(z.Region != "", path+".region", "must not be empty")
		v.regions[z.Region] = true
	}
	pairs := newSet()
	for i, s := range d.Distances {
		path := itemPath("distances", i)
		v.checkReference(v.regions, path+".from", s.From, "region")
		v.checkReference(v.regions, path+".to", s.To, "region")
		v.check(s.Delay >= 0, path+".delay", "must not be negative")
		v.check(s.PricePerGB >= 0, path+".price-per-gb", "must not be negative")
		v.check(!pairs[pairKey(s.From, s.To)], path, "distance between %q and %q is given twice", s.From, s.To)
		pairs[pairKey(s.From, s.To)] = true
	}
}

func (v *validator) checkClasses(d *Document) {
	v.check(len(d.Classes) > 0, "classes", "at least one class is needed")
	sum := 0.0
	for i, c := range d.Classes {
		path := itemPath("classes", i)
		v.define(v.classes, path+".name", c.Name)
		v.check(c.Tier >= 0 && c.Tier < quetzalhook.TierCount, path+".tier", "must be from 0 to %d", quetzalhook.TierCount-1)
		v.check(c.TTFTTarget >= 0, path+".ttft-target", "must not be negative")
		v.check(c.GapTarget >= 0, path+".gap-target", "must not be negative")
		v.check(c.FloorShare >= 0 && c.FloorShare <= 1, path+".floor-share", "must be from 0 to 1")
		v.check(!c.MustFinish || !c.LateWorthless, path, "must-finish and late-worthless exclude each other")
		v.check(!c.LateWorthless || c.TTFTTarget > 0, path, "late-worthless needs a ttft-target")
		sum += c.FloorShare
	}
	v.check(sum <= 1, "classes", "floor shares add up to %g, more than 1", sum)
}

func (v *validator) checkModels(d *Document) {
	for i, m := range d.Models {
		path := itemPath("models", i)
		v.define(v.models, path+".name", m.Name)
		v.check(m.ContextTokens >= 0, path+".context-tokens", "must not be negative")
	}
}

func (v *validator) checkUpstreams(d *Document) {
	for i, u := range d.Upstreams {
		path := itemPath("upstreams", i)
		v.define(v.upstreams, path+".name", u.Name)
		v.checkReference(v.zones, path+".zone", u.Zone, "zone")
		v.checkAddress(path+".address", u.Address)
		v.check(u.Slots > 0, path+".slots", "must be above 0")
		v.check(u.TokenRate >= 0, path+".token-rate", "must not be negative")
		v.check(u.PrefillRate >= 0, path+".prefill-rate", "must not be negative")
		v.check(u.Price >= 0, path+".price", "must not be negative")
		for j, m := range u.Models {
			v.checkReference(v.models, itemPath(path+".models", j), m, "model")
		}
		v.checkUpstreamKind(path, u)
	}
}

func (v *validator) checkUpstreamKind(path string, u Upstream) {
	switch u.Kind {
	case KindEngine:
		v.check(u.Service == "", path+".service", "must not be given for an engine")
		v.check(len(u.Models) > 0, path+".models", "an engine needs at least one model")
		v.check(u.TokenRate > 0, path+".token-rate", "must be above 0 for an engine")
		v.check(u.PrefillRate > 0, path+".prefill-rate", "must be above 0 for an engine")
	case KindService:
		v.check(u.Service != "", path+".service", "must be given for a service")
		v.check(len(u.Models) == 0, path+".models", "must not be given for a service")
		v.services[u.Service] = true
	default:
		v.addMistake(path+".kind", "must be %q or %q, not %q", KindEngine, KindService, u.Kind)
	}
}

func (v *validator) checkAddress(path, address string) {
	host, port, err := net.SplitHostPort(address)
	n, convErr := strconv.Atoi(port)
	ok := err == nil && convErr == nil && net.ParseIP(host) != nil && n > 0 && n < 1<<16
	v.check(ok, path, "%q is not an IP address with a port", address)
}

func (v *validator) checkCustomers(d *Document) {
	for i, c := range d.Customers {
		path := itemPath("customers", i)
		v.define(v.customers, path+".name", c.Name)
		v.check(c.Weight > 0, path+".weight", "must be above 0")
		v.check(c.WorkRate >= 0, path+".work-rate", "must not be negative")
		v.check(c.WorkBurst >= 0, path+".work-burst", "must not be negative")
		v.check(c.WorkRate == 0 || c.WorkBurst > 0, path+".work-burst", "must be above 0 with a work-rate")
		v.check(c.Concurrency >= 0, path+".concurrency", "must not be negative")
		v.check(len(c.Classes) > 0, path+".classes", "at least one class is needed")
		allowed := newSet()
		for j, name := range c.Classes {
			v.checkReference(v.classes, itemPath(path+".classes", j), name, "class")
			allowed[name] = true
		}
		if c.DefaultClass != "" {
			v.check(allowed[c.DefaultClass], path+".default-class", "%q is not among the customer's classes", c.DefaultClass)
		}
	}
}

func (v *validator) checkRoutes(d *Document) {
	for i, r := range d.Routes {
		path := itemPath("routes", i)
		v.define(v.paths, path+".path", r.Path)
		v.check(strings.HasPrefix(r.Path, "/"), path+".path", "must start with /")
		if r.Class != "" {
			v.checkReference(v.classes, path+".class", r.Class, "class")
		}
		switch r.Kind {
		case KindChat:
			v.check(r.Service == "", path+".service", "must not be given for a chat route")
		case KindService:
			v.checkReference(v.services, path+".service", r.Service, "upstream of service")
			v.check(r.Class != "", path+".class", "must be given for a service route")
		default:
			v.addMistake(path+".kind", "must be %q or %q, not %q", KindChat, KindService, r.Kind)
		}
	}
}

func (v *validator) checkCapacity(d *Document) {
	seen := newSet()
	for i, b := range d.Capacity {
		path := itemPath("capacity", i)
		v.checkReference(v.zones, path+".zone", b.Zone, "zone")
		v.check(!seen[b.Zone], path+".zone", "%q is given twice", b.Zone)
		seen[b.Zone] = true
		v.check(b.Min >= 0 && b.Min <= b.Max, path+".min", "must be from 0 to max")
		v.check(b.CheapMax >= 0, path+".cheap-max", "must not be negative")
	}
}

func (v *validator) checkDurations(prefix string, durations map[string]time.Duration) {
	for name, d := range durations {
		v.check(d >= 0, prefix+name, "must not be negative")
	}
}

// itemPath returns the path of item i of a list, such as zones[2].
func itemPath(list string, i int) string { return list + "[" + strconv.Itoa(i) + "]" }
