package routing

import "quetzalhook"

// Regions returns the regions in which a request on a route may run, from a customer or
// nil. Without a route, only the customer's regions count.
func Regions(r *Route, c *Customer) quetzalhook.Regions {
	var allowed quetzalhook.Regions
	if r != nil {
		allowed = r.Regions
	}
	if c != nil {
		allowed = allowed.Intersect(c.Regions)
	}
	return allowed
}

// Owner returns the customer whose key a request on a route needs, or nil if it needs
// none or the key is unknown.
func (t *Table) Owner(r *Route, secret string) *Customer {
	if !t.HasCustomers() || r != nil && r.Public {
		return nil
	}
	return t.Customer(secret)
}

// HostRegions returns the regions that all restricted routes with a host name allow. It
// is unrestricted if there is no such route.
func (t *Table) HostRegions(host string) quetzalhook.Regions {
	var allowed quetzalhook.Regions
	for _, r := range t.hosts[hostName(host)] {
		allowed = allowed.Intersect(r.Regions)
	}
	return allowed
}
