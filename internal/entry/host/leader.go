package host

import (
	"strconv"
	"sync"

	"quetzalhook"
	"quetzalhook/internal/fleet/division"
	"quetzalhook/internal/fleet/member"
	"quetzalhook/internal/fleet/rendezvous"
)

// roster is what follows from one list of members: who leads, and which groups
// of engines this host uses. Requests ask for it often, and the list changes a
// few times a second.
type roster struct {
	members []quetzalhook.Member // the list that it was made from
	ready   bool                 // this host was ready
	// candidates are the live hosts with the largest processor.
	candidates []quetzalhook.HostID
	position   float64

	mu      sync.Mutex
	leaders map[int]quetzalhook.HostID
}

// currentRoster returns the roster of the present list of members.
func (h *Host) currentRoster() *roster {
	members, ready := h.members.Members(), h.ready()
	r := h.roster.Load()
	if r == nil || r.ready != ready || !member.IsSameList(r.members, members) {
		r = h.newRoster(members, ready)
		h.roster.Store(r)
	}
	return r
}

func (h *Host) newRoster(members []quetzalhook.Member, ready bool) *roster {
	r := &roster{members: members, ready: ready, leaders: make(map[int]quetzalhook.HostID)}
	most := 0.0
	var live []quetzalhook.HostID
	add := func(id quetzalhook.HostID, processors float64) {
		if processors > most {
			most, r.candidates = processors, r.candidates[:0]
		}
		if processors == most {
			r.candidates = append(r.candidates, id)
		}
	}
	if ready {
		add(h.settings.Host, h.settings.ProcessorShare*h.settings.Processors)
	}
	for _, m := range members {
		if !m.Draining && !m.Unready && m.IsAlive(silenceLimit) {
			add(m.Host, m.Processors)
			live = append(live, m.Host)
		}
	}
	if len(r.candidates) == 0 {
		r.candidates = []quetzalhook.HostID{h.settings.Host}
	}
	r.position = division.Position(h.settings.Host, live)
	return r
}

// leader returns the host that places requests to a group of engines: of those
// that are alive the one with the largest processor, then by rendezvous hash.
func (h *Host) leader(group int) quetzalhook.HostID {
	r := h.currentRoster()
	r.mu.Lock()
	defer r.mu.Unlock()
	leader, ok := r.leaders[group]
	if !ok {
		leader = rendezvous.First(leaderKey(group), r.candidates)
		r.leaders[group] = leader
	}
	return leader
}

// leaderKey is the key by which hosts are ranked for the lead of a group.
func leaderKey(group int) string {
	if group == 0 {
		return "dispatcher"
	}
	return "dispatcher-" + strconv.Itoa(group)
}

// position returns the place of this host among the live hosts, from 0 to below
// 1.
func (h *Host) position() float64 { return h.currentRoster().position }
