package quetzalhook

import (
	"slices"
	"strings"
)

// Regions is a set of regions in which a request may run. The zero value holds all
// regions.
type Regions struct {
	_ struct{} `cbor:",toarray"`
	// Restricted reports that only the regions in List are allowed.
	Restricted bool
	List       []Region
}

// OnlyRegions returns the set of the given regions. Without any, it holds all regions,
// as in a configuration without a restriction.
func OnlyRegions(list ...Region) Regions {
	return Regions{Restricted: len(list) > 0, List: list}
}

// Allows reports whether the set holds a region. The empty name is that of upstreams in
// zones without a region, and only the set of all regions holds it.
func (s Regions) Allows(r Region) bool {
	return !s.Restricted || r != "" && slices.Contains(s.List, r)
}

// Intersect returns the regions that both sets hold.
func (s Regions) Intersect(o Regions) Regions {
	switch {
	case !s.Restricted:
		return o
	case !o.Restricted:
		return s
	}
	both := Regions{Restricted: true}
	for _, r := range s.List {
		if o.Allows(r) {
			both.List = append(both.List, r)
		}
	}
	return both
}

// String returns the regions for log lines, separated by commas.
func (s Regions) String() string {
	switch {
	case !s.Restricted:
		return "any"
	case len(s.List) == 0:
		return "none"
	}
	names := make([]string, len(s.List))
	for i, r := range s.List {
		names[i] = string(r)
	}
	return strings.Join(names, ",")
}

// RegionDemand is the work that arrives for requests with the same set of regions, as
// the number of engines that it keeps busy.
type RegionDemand struct {
	_       struct{} `cbor:",toarray"`
	Regions Regions
	Busy    float64
}
