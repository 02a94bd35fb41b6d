package host

import (
	"slices"
	"strconv"
	"sync"
	"time"

	"quetzalhook"
	"quetzalhook/internal/fleet/division"
	"quetzalhook/internal/fleet/member"
	"quetzalhook/internal/fleet/rendezvous"
)

// memberSnapshot caches what is computed from one list of members: the leaders of
// the groups of engines and this host's position. Every request needs them, but the
// list changes only a few times a second.
type memberSnapshot struct {
	members []quetzalhook.Member // the list it was computed from
	ready   bool                 // whether this host was ready
	// candidates are the live hosts that have the most processor time; see
	// Host.leader.
	candidates []quetzalhook.HostID
	position   float64 // see Host.position
	// known are all hosts that do not stop, with those that have been silent for less
	// than knownSilence, and alive is the number of live hosts among them.
	known []quetzalhook.HostID
	alive int

	mu      sync.Mutex
	leaders map[int]quetzalhook.HostID
}

// currentSnapshot returns the snapshot of the current list of members. It computes
// a new one only if the list or the readiness of this host has changed.
func (h *Host) currentSnapshot() *memberSnapshot {
	members, ready := h.members.Members(), h.ready()
	s := h.memberSnapshot.Load()
	if s == nil || s.ready != ready || !member.IsSameList(s.members, members) {
		s = h.newSnapshot(members, ready)
		h.memberSnapshot.Store(s)
	}
	return s
}

// newSnapshot computes a snapshot from a list of members.
func (h *Host) newSnapshot(members []quetzalhook.Member, ready bool) *memberSnapshot {
	s := &memberSnapshot{members: members, ready: ready, leaders: make(map[int]quetzalhook.HostID)}
	maxProcessors := 0.0
	var live []quetzalhook.HostID
	add := func(id quetzalhook.HostID, processors float64) {
		if processors > maxProcessors {
			maxProcessors, s.candidates = processors, s.candidates[:0]
		}
		if processors == maxProcessors {
			s.candidates = append(s.candidates, id)
		}
	}
	if ready {
		add(h.settings.Host, h.settings.ProcessorShare*h.settings.Processors)
	}
	s.known, s.alive = []quetzalhook.HostID{h.settings.Host}, 1
	for _, m := range members {
		if !m.Draining && m.IsAlive(knownSilence) {
			s.known = append(s.known, m.Host)
			if !m.Unready && m.IsAlive(maxSilence) && (!m.Distant || m.Lag < recentSummary) {
				s.alive++
			}
		}
		if !m.Draining && !m.Unready && m.IsAlive(maxSilence) {
			add(m.Host, m.Processors)
			live = append(live, m.Host)
		}
	}
	if len(s.candidates) == 0 {
		s.candidates = []quetzalhook.HostID{h.settings.Host}
	}
	s.position = division.Position(h.settings.Host, live)
	return s
}

// leader returns the host that schedules the requests to a group of engines. It is
// chosen by rendezvous hash among the live hosts that have the most processor time.
func (h *Host) leader(group int) quetzalhook.HostID {
	s := h.currentSnapshot()
	s.mu.Lock()
	defer s.mu.Unlock()
	leader, ok := s.leaders[group]
	if !ok {
		leader = rendezvous.First(leaderKey(group), s.candidates)
		s.leaders[group] = leader
	}
	return leader
}

// leaderKey returns the key of the rendezvous hash that chooses the leader of a
// group.
func leaderKey(group int) string {
	if group == 0 {
		return "dispatcher"
	}
	return "dispatcher-" + strconv.Itoa(group)
}

// limitRank returns the rank of this host among the live hosts for an upstream, by
// rendezvous hash, and their number.
func (h *Host) limitRank(id quetzalhook.UpstreamID) (rank, hosts int) {
	live := []quetzalhook.HostID{h.settings.Host}
	for _, m := range h.members.Members() {
		if !m.Draining && m.IsAlive(maxSharingSilence) {
			live = append(live, m.Host)
		}
	}
	return slices.Index(rendezvous.Rank("limit-"+string(id), live), h.settings.Host), len(live)
}

const (
	// knownSilence is how long a silent host counts among the hosts that may use
	// engines. Callers wait for less, so that none of its requests runs any more.
	knownSilence = 15 * time.Second
	// recentSummary is the age below which the summary of another cell shows that its
	// hosts are alive: summaries are up to 30 s old in a large fleet.
	recentSummary = 30 * time.Second
	// introductionTime is how long a host waits after its start until it has read a
	// list of hosts or heard another. It bounds the wait of a host that can reach
	// neither.
	introductionTime = 3 * time.Second
)

// knownHosts returns the number of known hosts, with those that are silent, and how many
// of them are alive. The numbers are 0 until this host has learnt of the others.
func (h *Host) knownHosts() (known, alive int) {
	if !h.members.IsIntroduced() && !h.settled(introductionTime)() {
		return 0, 0
	}
	s := h.currentSnapshot()
	return len(s.known), s.alive
}

// memoryRank returns the rank of this host among all known hosts for an engine, by
// rendezvous hash. Silent hosts count, so that the parts of a divided fleet rank alike.
func (h *Host) memoryRank(id quetzalhook.UpstreamID) int {
	return rendezvous.Position("memory-"+string(id), h.settings.Host, h.currentSnapshot().known)
}

// position returns the position of this host among the live hosts, in [0, 1).
func (h *Host) position() float64 { return h.currentSnapshot().position }
