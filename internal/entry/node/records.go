package node

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"quetzalhook"
	"quetzalhook/internal/entry/front"
	"quetzalhook/internal/entry/operator"
	"quetzalhook/internal/fleet/controller"
	"quetzalhook/internal/fleet/lease"
	"quetzalhook/internal/fleet/loader"
	"quetzalhook/internal/platform/engine"
	"quetzalhook/internal/record/billing"
	"quetzalhook/internal/record/configuration"
	"quetzalhook/internal/record/credential"
	"quetzalhook/internal/record/journal"
	"quetzalhook/internal/record/usage"
)

const (
	replicaInterval = time.Second
	flushInterval   = time.Minute
	reportInterval  = 10 * time.Second
	reportGrace     = 3 * time.Minute
	hostGone        = 2 * time.Minute
	// windowParts shortens these intervals for short billing windows, so that
	// a window is reported within the next one.
	windowParts = 5
)

// records joins the parts of a host that keep what must last.
type records struct {
	node    *Node
	rollout *configuration.Rollout
	planner *configuration.Planner
	keys    *keyRing
	journal *callJournal
	usage   *usage.Meter
	leases  map[string]*lease.Lease

	controller *controller.Controller
	loader     *loader.Loader
	reporter   *billing.Reporter
}

func (n *Node) newRecords() (*records, error) {
	r := &records{
		node: n,
		rollout: configuration.NewRollout(
			configuration.Identity{Host: n.settings.Host, Zone: n.settings.Zone},
			n.store, n.fleet.peers, n.clock, n.log, n.inv),
		planner: configuration.NewPlanner(n.store, n.clock, n.log),
		keys: &keyRing{clock: n.clock, registry: credential.NewRegistry(
			credential.Identity{Host: n.settings.Host, Zone: n.settings.Zone},
			n.store, n.fleet.peers, n.clock, n.log, n.inv)},
		journal: newCallJournal(journal.New(n.settings.Host, n.fleet.incarnation, n.store, n.clock, n.fleet.peers, n.inv)),
		leases:  make(map[string]*lease.Lease),
	}
	return r, r.addRoles()
}

// addRoles adds the parts that only the holder of a role runs.
func (r *records) addRoles() error {
	n := r.node
	schedule := usage.NewSchedule(n.settings.BillingWindow)
	calendar := quetzalhook.ClockFunc(time.Now)
	source := usage.Source{Host: n.settings.Host, Incarnation: n.fleet.incarnation}
	part := n.settings.BillingWindow / windowParts
	r.usage = usage.New(source, n.settings.Zone, n.store, n.clock, calendar, n.fleet.peers, schedule,
		usage.WithIntervals(min(replicaInterval, part), min(flushInterval, part)))
	control, err := r.newLease(lease.RoleController)
	if err != nil {
		return err
	}
	r.controller = controller.New(control, n.provider, n.provider, &capacityPlanner{node: n}, n.clock, controller.WithLog(n.log))
	r.loader = loader.New(control, engine.New(n.pool), n.provider, n.pool.Upstreams, n.clock, loader.WithLog(n.log))
	report, err := r.newLease(lease.RoleReporter)
	if err != nil {
		return err
	}
	r.reporter = billing.New(report, n.store, n.provider, n.provider, n.inv, n.clock, calendar, schedule,
		billing.WithLog(n.log), billing.WithInterval(min(reportInterval, part)),
		billing.WithGrace(min(reportGrace, 2*part)), billing.WithGoneAfter(min(hostGone, 2*part)))
	return nil
}

// newLease returns a lease for which only some of the live hosts compete.
func (r *records) newLease(role string) (*lease.Lease, error) {
	n := r.node
	l, err := lease.New(role, n.settings.Host, n.fleet.incarnation, n.store, n.clock, n.inv,
		lease.WithCandidate(func() bool { return lease.IsCandidate(role, n.settings.Host, n.fleet.live()) }))
	if err != nil {
		return nil, err
	}
	r.leases[role] = l
	return l, nil
}

func (r *records) start(ctx context.Context) {
	r.rollout.Start(ctx)
	r.keys.registry.Start(ctx)
	for _, l := range r.leases {
		l.Start()
	}
	r.controller.Start()
	r.loader.Start()
	r.reporter.Start()
	r.usage.Start()
	r.journal.journal.Start()
}

// close ends the parts in the reverse order; leases are released after their
// users have stopped. Until ctx ends, it tries to store the last usage.
func (r *records) close(ctx context.Context) {
	_ = r.journal.journal.Close()
	if err := r.usage.Close(ctx); err != nil {
		r.node.log.WithError(err).Warn("usage not stored; peers hold the last replica")
	}
	_ = r.reporter.Close()
	_ = r.loader.Close()
	_ = r.controller.Close()
	for _, l := range r.leases {
		_ = l.Close()
	}
	_ = r.keys.registry.Close()
	_ = r.rollout.Close()
}

func (r *records) addUsage(u front.Usage) {
	r.usage.Add(u.Customer, u.Class, usage.Amount{
		Prompt: int64(u.PromptTokens), Output: int64(u.OutputTokens), Wasted: int64(u.WastedTokens), Requests: 1,
	})
}

// roles returns the state of all roles, without those that the store does not
// show.
func (r *records) roles(ctx context.Context) []operator.RoleRow {
	var rows []operator.RoleRow
	for _, role := range []string{lease.RoleController, lease.RoleReporter} {
		state, err := lease.Read(ctx, r.node.store, role)
		if err != nil {
			continue
		}
		row := operator.RoleRow{Role: role, Holder: state.Holder, Fencing: state.Fencing}
		for _, i := range state.Open {
			row.Intents = append(row.Intents, i.ID)
		}
		rows = append(rows, row)
	}
	return rows
}

// settle records an operator's statement about an open intent.
func (r *records) settle(ctx context.Context, role, intent string) error {
	if l := r.leases[role]; l != nil {
		return l.Confirm(ctx, intent)
	}
	return errors.Errorf("there is no role %q", role)
}

func (r *records) storeAge() time.Duration { return r.keys.registry.StoreAge() }
