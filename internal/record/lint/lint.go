// Package lint finds mistakes in a routing table before it is put in force, and the
// differences between two tables. It has no I/O. It names places by section, index and
// field; the caller translates them to the names in its own format.
package lint

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"time"

	"quetzalhook"
	"quetzalhook/internal/record/routing"
)

// Level is how severe a finding is.
type Level string

const (
	// LevelError is a table that cannot do what it says.
	LevelError Level = "error"
	// LevelWarning is an entry without effect, or a value that is replaced.
	LevelWarning Level = "warning"
)

// Section is a part of a table.
type Section string

// The sections of a table.
const (
	SectionRoutes    Section = "routes"
	SectionServices  Section = "services"
	SectionLimits    Section = "limits"
	SectionCustomers Section = "customers"
)

// Field is a value of a table, or of an entry of one of its sections.
type Field string

// The fields that findings name. FieldEntry is the entry as a whole.
const (
	FieldEntry         Field = ""
	FieldName          Field = "name"
	FieldHost          Field = "host"
	FieldPrefix        Field = "prefix"
	FieldLatencyTarget Field = "latency-target"
	FieldGapTarget     Field = "gap-target"
	FieldAttempts      Field = "attempts"
	FieldResumable     Field = "resumable"
	FieldSplit         Field = "split"
	FieldRegions       Field = "regions"
	FieldHealthPath    Field = "health-path"
	FieldColdTime      Field = "cold-time"
	FieldColdRate      Field = "cold-rate"
	FieldSlots         Field = "slots"
	FieldMemory        Field = "memory"
	FieldTokenBytes    Field = "token-bytes"
	FieldMoves         Field = "moves"
	FieldMin           Field = "min"
	FieldMax           Field = "max"
	FieldCheapPrice    Field = "cheap-price"
	FieldZonePrices    Field = "zone-prices"
	FieldScaling       Field = "scaling"
	FieldKeys          Field = "keys"
	FieldHeaderTimeout Field = "header-timeout"
)

// Whole is the Item of a place that is no element of a list.
const Whole = -1

// Place is where a finding is: a field of an entry of a section, and an element of
// that field if the field is a list.
type Place struct {
	Section Section
	Index   int
	Field   Field
	Item    int
}

// Finding is a mistake, or an entry without effect.
type Finding struct {
	Level Level
	Place Place
	Cause string
}

// minRequestTokens is the memory of the smallest request: one token of its prompt and
// one of its output.
const minRequestTokens = 2

// checker collects the findings about one table.
type checker struct {
	table    *routing.Table
	known    []quetzalhook.Region // empty if the regions are not known
	services map[string]*routing.Service
	findings []Finding
}

// Check returns the findings about a table in the order of its sections. known lists
// the regions of the deployment; without any, names of regions are not checked.
func Check(t *routing.Table, known []quetzalhook.Region) []Finding {
	c := &checker{table: t, known: known, services: make(map[string]*routing.Service)}
	for i := range t.Services {
		c.services[t.Services[i].Name] = &t.Services[i]
	}
	c.checkRoutes()
	c.checkServices()
	if l := t.Limits; l.HeaderTimeout > l.IdleTimeout && l.IdleTimeout > 0 {
		c.add(LevelWarning, Place{SectionLimits, 0, FieldHeaderTimeout, Whole}, "%v for a header section is more than the %v of an idle connection",
			l.HeaderTimeout, l.IdleTimeout)
	}
	c.checkCustomers()
	return c.findings
}

func (c *checker) add(level Level, p Place, format string, args ...any) {
	c.findings = append(c.findings, Finding{level, p, fmt.Sprintf(format, args...)})
}

// checkName reports a name that is empty or that an earlier entry has; seen maps the
// names of earlier entries to their index.
func (c *checker) checkName(s Section, i int, name string, seen map[string]int) {
	first, isDuplicate := seen[name]
	switch {
	case name == "":
		c.add(LevelError, Place{s, i, FieldName, Whole}, "the name is missing")
	case isDuplicate:
		c.add(LevelError, Place{s, i, FieldName, Whole}, "entry %d has the name %q as well", first, name)
	default:
		seen[name] = i
	}
}

func (c *checker) checkRoutes() {
	type target struct{ host, prefix string }
	names, targets := make(map[string]int), make(map[target]int)
	for i := range c.table.Routes {
		r := &c.table.Routes[i]
		c.checkName(SectionRoutes, i, r.Name, names)
		c.checkHost(i, r)
		key := target{r.Host, r.Prefix}
		if first, ok := targets[key]; ok {
			c.add(LevelError, Place{SectionRoutes, i, FieldEntry, Whole}, "the route never matches: route %d has the same host and prefix", first)
		} else {
			targets[key] = i
		}
		c.checkTimes(i, r)
		if r.Attempts > 1 && !r.IsRepeatable() {
			c.add(LevelWarning, Place{SectionRoutes, i, FieldAttempts, Whole}, "%d attempts have no effect: requests of this kind are executed at most once", r.Attempts)
		}
		if r.Resumable && r.Kind != routing.KindStream {
			c.add(LevelWarning, Place{SectionRoutes, i, FieldResumable, Whole}, "no effect: the route is no stream")
		}
		c.checkSplit(i, r)
		c.checkRegions(SectionRoutes, i, r.Regions)
		c.checkCommonRegion(i, r)
	}
}

func (c *checker) checkHost(i int, r *routing.Route) {
	if r.Host == "" {
		c.add(LevelError, Place{SectionRoutes, i, FieldHost, Whole}, "the host name is missing")
	} else if _, _, err := net.SplitHostPort(r.Host); err == nil {
		c.add(LevelError, Place{SectionRoutes, i, FieldHost, Whole}, "the route never matches: the host name has a port, which is removed from that of a request")
	}
	if !strings.HasPrefix(r.Prefix, "/") {
		c.add(LevelError, Place{SectionRoutes, i, FieldPrefix, Whole}, "the prefix does not begin with a slash")
	}
	if !strings.HasSuffix(r.Prefix, "/") {
		c.add(LevelError, Place{SectionRoutes, i, FieldPrefix, Whole}, "the prefix does not end with a slash, so that it would also match longer names")
	}
}

// checkTimes reports targets above the timeout: an answer that misses such a target is
// never sent. Without a timeout, that of the caller counts.
func (c *checker) checkTimes(i int, r *routing.Route) {
	check := func(f Field, target time.Duration) {
		if r.Timeout > 0 && target > r.Timeout {
			c.add(LevelError, Place{SectionRoutes, i, f, Whole}, "%v is above the timeout %v", target, r.Timeout)
		}
	}
	check(FieldLatencyTarget, r.LatencyTarget)
	check(FieldGapTarget, r.GapTarget)
	if r.GapTarget > 0 && r.Kind != routing.KindStream {
		c.add(LevelWarning, Place{SectionRoutes, i, FieldGapTarget, Whole}, "the route is no stream, so that its answers have no gaps")
	}
}

func (c *checker) checkSplit(i int, r *routing.Route) {
	total, seen := 0.0, make(map[string]int)
	for j, s := range r.Split {
		place := Place{SectionRoutes, i, FieldSplit, j}
		service := c.services[s.Service]
		first, isDuplicate := seen[s.Service]
		switch {
		case s.Service == "":
			c.add(LevelError, place, "the route names no service")
		case service == nil:
			c.add(LevelError, place, "service %q does not exist", s.Service)
		case r.Kind == routing.KindStream && service.Engine == nil:
			c.add(LevelWarning, place, "the route is a stream, but service %q has no engines", s.Service)
		}
		if isDuplicate {
			c.add(LevelWarning, place, "share %d names service %q as well", first, s.Service)
		} else {
			seen[s.Service] = j
		}
		if s.Weight <= 0 {
			c.add(LevelWarning, place, "a share with weight 0 gets no requests")
		}
		total += s.Weight
	}
	if total <= 0 {
		c.add(LevelError, Place{SectionRoutes, i, FieldSplit, Whole}, "all shares have weight 0")
	}
}

func (c *checker) checkRegions(s Section, i int, regions quetzalhook.Regions) {
	seen := make(map[quetzalhook.Region]bool)
	for j, r := range regions.List {
		place := Place{s, i, FieldRegions, j}
		switch {
		case r == "":
			c.add(LevelError, place, "the name of the region is empty")
		case seen[r]:
			c.add(LevelWarning, place, "region %q is listed twice", r)
		case len(c.known) > 0 && !slices.Contains(c.known, r):
			c.add(LevelError, place, "region %q is unknown", r)
		}
		seen[r] = true
	}
}

// checkCommonRegion reports customers whose requests on a route may run nowhere. It is an
// error if that holds for all customers. There is one finding for each route, because a
// table may have many thousand customers.
func (c *checker) checkCommonRegion(i int, r *routing.Route) {
	if r.Public || !r.Regions.Restricted {
		return
	}
	count, first := 0, quetzalhook.CustomerID("")
	for j := range c.table.Customers {
		customer := &c.table.Customers[j]
		if common := routing.Regions(r, customer); len(common.List) > 0 {
			continue
		}
		if count == 0 {
			first = customer.ID
		}
		count++
	}
	place := Place{SectionRoutes, i, FieldRegions, Whole}
	switch {
	case count == 0:
	case count == len(c.table.Customers):
		c.add(LevelError, place, "no customer has a region in common with the route")
	default:
		c.add(LevelWarning, place, "customers without a region in common with the route: %d, the first is %q", count, first)
	}
}

func (c *checker) checkServices() {
	used := make(map[string]bool)
	for i := range c.table.Routes {
		for _, s := range c.table.Routes[i].Split {
			used[s.Service] = true
		}
	}
	names := make(map[string]int)
	for i := range c.table.Services {
		s := &c.table.Services[i]
		c.checkName(SectionServices, i, s.Name, names)
		if !used[s.Name] {
			c.add(LevelWarning, Place{SectionServices, i, FieldEntry, Whole}, "no route uses the service")
		}
		if s.HealthPath != "" && !strings.HasPrefix(s.HealthPath, "/") {
			c.add(LevelError, Place{SectionServices, i, FieldHealthPath, Whole}, "the path does not begin with a slash")
		}
		if s.ColdTime > 0 && s.ColdRate <= 0 {
			c.add(LevelWarning, Place{SectionServices, i, FieldColdTime, Whole}, "no effect without a rate for cold upstreams")
		}
		if s.ColdRate > 0 && s.ColdTime <= 0 {
			c.add(LevelWarning, Place{SectionServices, i, FieldColdRate, Whole}, "no effect without the time for which upstreams are cold")
		}
		c.checkEngine(i, s.Engine)
		c.checkScaling(i, s)
	}
}

func (c *checker) checkEngine(i int, e *routing.Engine) {
	if e == nil {
		return
	}
	if e.Slots <= 0 {
		c.add(LevelError, Place{SectionServices, i, FieldSlots, Whole}, "the engines have no slots")
	}
	switch {
	case e.MemoryTokens <= 0:
		c.add(LevelWarning, Place{SectionServices, i, FieldMemory, Whole}, "the memory is not known, so that it is not protected")
	case e.MemoryTokens < minRequestTokens:
		c.add(LevelError, Place{SectionServices, i, FieldMemory, Whole}, "%d token of memory cannot hold a request", e.MemoryTokens)
	case e.MemoryTokens < minRequestTokens*e.Slots:
		c.add(LevelWarning, Place{SectionServices, i, FieldMemory, Whole}, "%d tokens of memory cannot fill %d slots", e.MemoryTokens, e.Slots)
	}
	if e.LinkBits > 0 && e.TokenBytes <= 0 {
		c.add(LevelWarning, Place{SectionServices, i, FieldTokenBytes, Whole}, "a link is set, but not the size of a token, so that the time of a copy is not known")
	}
	if e.CanMove && e.LinkBits <= 0 {
		c.add(LevelWarning, Place{SectionServices, i, FieldMoves, Whole}, "the time of a move is not known without the bandwidth of the link")
	}
}

func (c *checker) checkScaling(i int, s *routing.Service) {
	a := s.Scaling
	if a == nil {
		return
	}
	if s.Engine == nil {
		c.add(LevelWarning, Place{SectionServices, i, FieldScaling, Whole}, "the service has no engines whose load could be followed")
	}
	if a.Min > a.Max {
		c.add(LevelError, Place{SectionServices, i, FieldMin, Whole}, "minimum %d is above maximum %d", a.Min, a.Max)
	}
	if a.Max == 0 {
		c.add(LevelWarning, Place{SectionServices, i, FieldMax, Whole}, "nothing is ordered with a maximum of 0")
	}
	switch {
	case a.CheapPrice < 0:
		c.add(LevelError, Place{SectionServices, i, FieldCheapPrice, Whole}, "price %g is negative", a.CheapPrice)
	case a.CheapPrice >= 1:
		c.add(LevelError, Place{SectionServices, i, FieldCheapPrice, Whole}, "price %g is not below the regular price, so that none is ordered", a.CheapPrice)
	}
	if len(a.ZonePrices) == 0 {
		c.add(LevelWarning, Place{SectionServices, i, FieldZonePrices, Whole}, "nothing is ordered: no zone has a price")
	}
	var negative []string
	for zone, price := range a.ZonePrices {
		if price < 0 {
			negative = append(negative, string(zone))
		}
	}
	if len(negative) > 0 {
		slices.Sort(negative)
		c.add(LevelError, Place{SectionServices, i, FieldZonePrices, Whole}, "zones with a negative price: %q", negative)
	}
}

// checkCustomers reports a key only by its place.
func (c *checker) checkCustomers() {
	names, keys := make(map[string]int), make(map[routing.KeyHash]int)
	for i := range c.table.Customers {
		customer := &c.table.Customers[i]
		c.checkName(SectionCustomers, i, string(customer.ID), names)
		if len(customer.Keys) == 0 {
			c.add(LevelWarning, Place{SectionCustomers, i, FieldKeys, Whole}, "a customer without keys cannot send requests")
		}
		for j, k := range customer.Keys {
			first, isDuplicate := keys[k]
			switch {
			case k == routing.HashKey(""):
				c.add(LevelError, Place{SectionCustomers, i, FieldKeys, j}, "the key is empty")
			case isDuplicate:
				c.add(LevelError, Place{SectionCustomers, i, FieldKeys, j}, "customer %d has the same key", first)
			default:
				keys[k] = i
			}
		}
		c.checkRegions(SectionCustomers, i, customer.Regions)
	}
}
