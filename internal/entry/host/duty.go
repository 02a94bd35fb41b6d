package host

import (
	"context"
	"time"

	"quetzalhook/internal/entry/setting"
	"quetzalhook/internal/fleet/lease"
	"quetzalhook/internal/fleet/provisioner"
	"quetzalhook/internal/fleet/rendezvous"
	"quetzalhook/internal/record/invoice"
	"quetzalhook/internal/record/tally"
	"quetzalhook/internal/state/calendar"
	"quetzalhook/internal/state/timing"

	"quetzalhook"
)

const (
	// dutyInterval is the time between two runs of the duties.
	dutyInterval = 250 * time.Millisecond
	// dutyMargin is the time after the term of the lease for which a candidate waits
	// before it takes over the lease.
	dutyMargin = time.Second
	// maxCandidates is the number of hosts, chosen by rendezvous hash, that try to
	// acquire the lease. It is small because each reads the lease several times per
	// term.
	maxCandidates = 2
)

// assembleDuties creates the components for the duties: reporting usage and
// ordering upstreams. Only the holder of the lease performs them, for all hosts.
// One lease covers both, since each lease costs calls to the store.
func (h *Host) assembleDuties() error {
	s := h.settings
	h.calendar = calendar.New(h.clock, time.Now())
	source := tally.Source{Host: s.Host, Incarnation: h.incarnation}
	h.usageCounter = tally.New(source, s.Zone, h.peers, h.calendar, setting.Seconds(s.UsageWindowS), h.log)
	var err error
	h.dutyLease, err = lease.New(lease.RoleController, s.Host, h.incarnation, h.adapter.Store, h.clock, h.inv,
		lease.WithTerm(time.Duration(s.LeaseMS)*time.Millisecond, dutyMargin), lease.WithCandidate(h.isCandidate), lease.WithLog(h.log),
		lease.WithOlderBuilds(h.follower.HasOlderBuilds))
	if err != nil {
		return err
	}
	h.usageReporter = invoice.New(h.dutyLease, h.adapter.Store, h.adapter.Duties, h.usageCounter, h.calendar, h.inv, h.log)
	h.upstreamOrders = provisioner.New(h.dutyLease, h.adapter.Duties, h.follower, h.engineDispatcher.Load, h.clock, h.log, provisioner.WithRegions(s.Zones))
	return nil
}

// runDuties runs the duties periodically until ctx ends. The components act only
// while this host holds the lease.
func (h *Host) runDuties(ctx context.Context) {
	leaders := make(map[int]quetzalhook.HostID)
	timing.Every(ctx, dutyInterval, func() {
		h.logLeaders(leaders)
		h.usageReporter.Step(ctx)
		h.upstreamOrders.Step(ctx)
	})
}

// logLeaders logs each group of engines whose leader has changed and stores the
// new leaders in last.
func (h *Host) logLeaders(last map[int]quetzalhook.HostID) {
	for group := range h.engineDispatcher.Groups() {
		if leader := h.leader(group); leader != last[group] {
			h.log.WithField("group", group).WithField("leader", leader).WithField("last", last[group]).
				WithField("members", len(h.members.Members())).Info("leader chosen")
			last[group] = leader
		}
	}
}

// isCandidate reports whether this host tries to acquire the lease. Candidates are
// the leader of group 0 of the engines, which knows the load, and the first
// maxCandidates live hosts by rendezvous hash.
func (h *Host) isCandidate() bool {
	if !h.ready() || !h.settled(leaseSettleTime)() {
		return false
	}
	self := h.settings.Host
	if h.leader(0) == self {
		return true
	}
	hosts := []quetzalhook.HostID{self}
	for _, m := range h.members.Members() {
		if m.Eligible.Has(quetzalhook.RoleLeaseCandidate) && !m.Draining && !m.Unready && m.IsAlive(maxSilence) {
			hosts = append(hosts, m.Host)
		}
	}
	for i, id := range rendezvous.Rank("duty", hosts) {
		if id == self {
			return i < maxCandidates
		}
	}
	return false
}
