package host

import (
	"cmp"
	"slices"
	"time"

	"quetzalhook"
	"quetzalhook/internal/entry/setting"
)

const (
	// silenceLimit is the longest silence of a host that callers are still sent
	// to: four heartbeats.
	silenceLimit = 1100 * time.Millisecond
	// forgetLimit is the longest silence of a host that still counts as one that
	// shares limits: it may be cut off from this host only.
	forgetLimit = 10 * time.Second
	// enoughNear is the number of hosts of the own cell from which on callers are
	// not sent to others.
	enoughNear = 4
	// maxListed bounds the hosts in one answer to a caller.
	maxListed = 64
	// wantedLife is how long callers may keep the answer, unless the platform
	// allows less. A short one takes them off a lost host soon.
	wantedLife = time.Second
)

func answerLife(s setting.Host) time.Duration { return min(wantedLife, setting.Seconds(s.AnswerLifeS)) }

// hosts returns the addresses that callers in a zone should use. Without any
// other, a host that stops still names itself.
func (h *Host) hosts(region quetzalhook.Region, zone quetzalhook.Zone) []string {
	type candidate struct {
		address string
		far     int
		distant bool
	}
	distance := func(r quetzalhook.Region, z quetzalhook.Zone) int {
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
		list = append(list, candidate{h.settings.Listen.Callers, distance(h.settings.Region, h.settings.Zone), false})
	}
	for _, m := range h.members.Members() {
		if m.Draining || m.Unready || m.Address == "" || !m.IsAlive(silenceLimit) {
			continue
		}
		list = append(list, candidate{m.Address, distance(m.Region, m.Zone), m.Distant})
	}
	if len(list) == 0 && h.hasTable() {
		list = append(list, candidate{address: h.settings.Listen.Callers})
	}
	near := slices.DeleteFunc(slices.Clone(list), func(c candidate) bool { return c.distant })
	if len(near) >= enoughNear {
		// It takes seconds to hear that a host of another cell is lost or stops.
		list = near
	}
	if len(list) > maxListed {
		slices.SortStableFunc(list, func(a, b candidate) int { return cmp.Compare(a.far, b.far) })
		list = list[:maxListed]
	}
	addresses := make([]string, len(list))
	for i, c := range list {
		addresses[i] = c.address
	}
	return addresses
}
