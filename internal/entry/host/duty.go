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
	// dutyInterval is the time between two looks at what the duties have to do.
	dutyInterval = 250 * time.Millisecond
	// dutyMargin is how much longer than the term of the lease a challenger
	// waits.
	dutyMargin = time.Second
	// challengers is the number of hosts that try to get the duty; each reads the
	// lease several times in a term.
	challengers = 2
)

// assembleDuties makes the parts that act for all hosts while this one holds
// the lease. One lease covers both duties, since each costs calls of the store.
func (h *Host) assembleDuties() error {
	s := h.settings
	h.calendar = calendar.New(h.clock, time.Now())
	source := tally.Source{Host: s.Host, Incarnation: h.incarnation}
	h.counter = tally.New(source, s.Zone, h.peers, h.calendar, setting.Seconds(s.UsageWindowS), h.log)
	var err error
	h.duty, err = lease.New(lease.RoleController, s.Host, h.incarnation, h.adapter.Store, h.clock, h.inv,
		lease.WithTerm(time.Duration(s.LeaseMS)*time.Millisecond, dutyMargin), lease.WithCandidate(h.isCandidate))
	if err != nil {
		return err
	}
	h.reporter = invoice.New(h.duty, h.adapter.Store, h.adapter.Duties, h.counter, h.calendar, h.inv, h.log)
	h.orders = provisioner.New(h.duty, h.adapter.Duties, h.follower, func(ctx context.Context) (float64, error) {
		load, err := h.engines.Load(ctx)
		return load.Busy, err
	}, h.clock, h.log)
	return nil
}

// runDuties does what the duties require while this host holds the lease.
func (h *Host) runDuties(ctx context.Context) {
	leaders := make(map[int]quetzalhook.HostID)
	timing.Every(ctx, dutyInterval, func() {
		h.noteLeaders(leaders)
		h.reporter.Step(ctx)
		h.orders.Step(ctx)
	})
}

// noteLeaders writes a line of the log when another host than the last one places
// the requests to a group of engines.
func (h *Host) noteLeaders(last map[int]quetzalhook.HostID) {
	for group := range h.engines.Groups() {
		if leader := h.leader(group); leader != last[group] {
			h.log.WithField("group", group).WithField("leader", leader).WithField("last", last[group]).
				WithField("members", len(h.members.Members())).Info("leader chosen")
			last[group] = leader
		}
	}
}

// isCandidate reports whether this host tries to get the lease: the leader,
// which knows the load, and the next of the live hosts by rendezvous hash.
func (h *Host) isCandidate() bool {
	if !h.ready() {
		return false
	}
	self := h.settings.Host
	if h.leader(0) == self {
		return true
	}
	hosts := []quetzalhook.HostID{self}
	for _, m := range h.members.Members() {
		if !m.Draining && !m.Unready && m.IsAlive(silenceLimit) {
			hosts = append(hosts, m.Host)
		}
	}
	for i, id := range rendezvous.Rank("duty", hosts) {
		if id == self {
			return i < challengers
		}
	}
	return false
}
