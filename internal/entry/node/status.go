package node

import (
	"context"
	"math"
	"slices"
	"strings"

	"quetzalhook"
	"quetzalhook/internal/entry/operator"
	"quetzalhook/internal/platform/provider"
)

// Status returns the state of the whole system as known to this host.
func (n *Node) Status(ctx context.Context) operator.Status {
	members := n.fleet.peers.Members()
	demands := []quetzalhook.Demand{n.broker.Demand()}
	for _, m := range members {
		demands = append(demands, m.Demand)
	}
	return operator.Status{
		Host:       n.settings.Host,
		Version:    n.Version(),
		Hosts:      n.hostRows(members),
		Upstreams:  n.upstreamRows(demands),
		Queues:     queueRows(demands),
		Roles:      n.records.roles(ctx),
		Invariants: n.inv.Counts(),
	}
}

// hostRows returns the rows of all hosts, sorted by ID.
func (n *Node) hostRows(members []quetzalhook.Member) []operator.HostRow {
	rows := []operator.HostRow{{
		Host: n.settings.Host, Incarnation: n.fleet.incarnation, Zone: n.settings.Zone, Address: n.Address(),
		State: stateOf(quetzalhook.Member{Draining: n.draining.Load(), Unready: !n.canServe()}), Version: n.Version(), StoreAgeMS: n.records.storeAge().Milliseconds(),
		Free: math.Float64frombits(n.free.Load()),
	}}
	for _, m := range members {
		rows = append(rows, operator.HostRow{
			Host: m.Host, Incarnation: m.Incarnation, Zone: m.Zone, Address: m.Address,
			State: stateOf(m), SilentMS: m.Silent.Milliseconds(),
			Version: m.ConfigVersion, StoreAgeMS: m.StoreAge.Milliseconds(), Free: m.FreeCapacity,
		})
	}
	slices.SortFunc(rows, func(a, b operator.HostRow) int { return strings.Compare(string(a.Host), string(b.Host)) })
	return rows
}

// stateOf returns the state of a host for operator.HostRow.State.
func stateOf(m quetzalhook.Member) string {
	switch {
	case m.Silent > maxSilence:
		return "silent"
	case m.Draining:
		return "draining"
	case m.Unready:
		return "starting"
	}
	return "serving"
}

var kindNames = map[quetzalhook.UpstreamKind]string{
	quetzalhook.KindEngine: "engine", quetzalhook.KindService: "service",
}

// upstreamRows returns the rows of the upstreams that this host uses, sorted by ID.
func (n *Node) upstreamRows(demands []quetzalhook.Demand) []operator.UpstreamRow {
	var rows []operator.UpstreamRow
	for _, u := range n.pool.Upstreams() {
		row := operator.UpstreamRow{
			ID: u.ID, Zone: u.Zone, Kind: kindNames[u.Kind], State: provider.StateName(u.State), Cheap: u.Cheap, Slots: u.Slots,
		}
		for _, d := range demands {
			row.InFlight += d.InFlight[u.ID]
		}
		rows = append(rows, row)
	}
	slices.SortFunc(rows, func(a, b operator.UpstreamRow) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return rows
}

// queueRows returns one row for each tier, with the sums over all hosts.
func queueRows(demands []quetzalhook.Demand) []operator.QueueRow {
	rows := make([]operator.QueueRow, quetzalhook.TierCount)
	for tier := range rows {
		rows[tier].Tier = tier
		for _, d := range demands {
			rows[tier].Waiting += d.Waiting[tier]
			rows[tier].Running += d.Running[tier]
		}
	}
	return rows
}
