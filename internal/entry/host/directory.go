package host

import (
	"cmp"
	"slices"
	"time"

	"quetzalhook"
	"quetzalhook/internal/entry/setting"
)

const (
	// maxSilence is how long a host of the same cell may be silent and still be listed
	// for callers, or chosen as a leader or as a candidate for the lease: four
	// heartbeats.
	maxSilence = 1100 * time.Millisecond
	// maxSharingSilence is how long a host of the same cell may be silent and still
	// count among the hosts that share limits. It is longer than maxSilence because
	// the host may be unreachable from this host only.
	maxSharingSilence = 10 * time.Second
	// minLocalHosts is the number of hosts that a list must have from the cell of this
	// host for those of other cells to be left out.
	minLocalHosts = 4
	// maxListed is the maximum number of hosts in a list.
	maxListed = 64
	// maxListTTL is the longest time for which callers may cache a list of hosts. It
	// is short so that callers soon stop using a failed host.
	maxListTTL = time.Second
)

// listTTL returns how long callers may cache a list of hosts: the time in the
// settings, but at most maxListTTL.
func listTTL(s setting.Host) time.Duration { return min(maxListTTL, setting.Seconds(s.AnswerLifeS)) }

// candidate is a host that a list may have.
type candidate struct {
	address   string
	region    quetzalhook.Region
	distance  int
	otherCell bool
}

// inRegions returns the hosts that callers in a region should use for a host name some of
// whose routes allow certain regions only: those of the caller's region or, if there are
// none, those in regions that all these routes allow. Without such routes it returns all.
func inRegions(list []candidate, allowed quetzalhook.Regions, region quetzalhook.Region) []candidate {
	if !allowed.Restricted {
		return list
	}
	own := slices.DeleteFunc(slices.Clone(list), func(c candidate) bool { return c.region != region })
	if len(own) > 0 {
		return own
	}
	return slices.DeleteFunc(list, func(c candidate) bool { return !allowed.Allows(c.region) })
}

// hosts returns the addresses of up to maxListed hosts that callers in a zone
// should use for a host name. A stopping host lists itself only if it knows no other
// host.
func (h *Host) hosts(name string, region quetzalhook.Region, zone quetzalhook.Zone) []string {
	var allowed quetzalhook.Regions
	if t, _ := h.follower.Table(); t != nil {
		allowed = t.HostRegions(name)
	}
	distanceOf := func(r quetzalhook.Region, z quetzalhook.Zone) int {
		switch {
		case z == zone:
			return 0
		case r == region:
			return 1
		}
		return 2
	}
	var list []candidate
	if h.ready() {
		list = append(list, candidate{h.settings.Listen.Callers, h.settings.Region, distanceOf(h.settings.Region, h.settings.Zone), false})
	}
	for _, m := range h.members.Members() {
		if m.Draining || m.Unready || m.Address == "" || !m.IsAlive(maxSilence) {
			continue
		}
		list = append(list, candidate{m.Address, m.Region, distanceOf(m.Region, m.Zone), m.Distant})
	}
	list = inRegions(list, allowed, region)
	if len(list) == 0 && h.hasTable() {
		list = inRegions([]candidate{{address: h.settings.Listen.Callers, region: h.settings.Region}}, allowed, region)
	}
	local := slices.DeleteFunc(slices.Clone(list), func(c candidate) bool { return c.otherCell })
	if len(local) >= minLocalHosts {
		// The failure or stop of a host of another cell becomes known here only
		// seconds later.
		list = local
	}
	if len(list) > maxListed {
		slices.SortStableFunc(list, func(a, b candidate) int { return cmp.Compare(a.distance, b.distance) })
		list = list[:maxListed]
	}
	addresses := make([]string, len(list))
	for i, c := range list {
		addresses[i] = c.address
	}
	return addresses
}
