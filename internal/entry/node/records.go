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
	// replicaInterval is the time between two replications of the usage to other hosts.
	replicaInterval = time.Second
	// flushInterval is the time between two writes of the usage to the store.
	flushInterval = time.Minute
	// reportInterval is the time between two checks for billing windows to report.
	reportInterval = 10 * time.Second
	// reportGrace is the shortest time between the end of a window and its report.
	reportGrace = 3 * time.Minute
	// hostGoneAfter is how long a host must be missing from the platform's list of hosts
	// before a window is closed although that host has not marked it as final.
	hostGoneAfter = 2 * time.Minute
	// intervalsPerWindow limits the three intervals above to a fraction of the billing
	// window, and reportGrace and hostGoneAfter to twice that fraction, so that a short
	// window too is reported before the next one ends.
	intervalsPerWindow = 5
)

// records holds the components of a host that use the store: the configuration, keys,
// the journal of calls, usage, and the roles that only one host holds at a time.
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

// newRecords creates the components that use the store.
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

// addRoles creates the usage meter, and the components that act only while this host
// holds a role: the controller and the loader for one role, the reporter for another.
func (r *records) addRoles() error {
	n := r.node
	schedule := usage.NewSchedule(n.settings.BillingWindow)
	calendar := quetzalhook.ClockFunc(time.Now)
	source := usage.Source{Host: n.settings.Host, Incarnation: n.fleet.incarnation}
	maxInterval := n.settings.BillingWindow / intervalsPerWindow
	r.usage = usage.New(source, n.settings.Zone, n.store, n.clock, calendar, n.fleet.peers, schedule,
		usage.WithIntervals(min(replicaInterval, maxInterval), min(flushInterval, maxInterval)))
	controllerLease, err := r.newLease(lease.RoleController)
	if err != nil {
		return err
	}
	r.controller = controller.New(controllerLease, n.provider, n.provider, &capacityPlanner{node: n}, n.clock, controller.WithLog(n.log))
	r.loader = loader.New(controllerLease, engine.New(n.pool), n.provider, n.pool.Upstreams, n.clock, loader.WithLog(n.log))
	reporterLease, err := r.newLease(lease.RoleReporter)
	if err != nil {
		return err
	}
	r.reporter = billing.New(reporterLease, n.store, n.provider, n.provider, n.inv, n.clock, calendar, schedule,
		billing.WithLog(n.log), billing.WithInterval(min(reportInterval, maxInterval)),
		billing.WithGrace(min(reportGrace, 2*maxInterval)), billing.WithGoneAfter(min(hostGoneAfter, 2*maxInterval)))
	return nil
}

// newLease creates the lease of a role. Only the hosts that lease.IsCandidate selects
// among the live ones try to acquire it.
func (r *records) newLease(role string) (*lease.Lease, error) {
	n := r.node
	l, err := lease.New(role, n.settings.Host, n.fleet.incarnation, n.store, n.clock, n.inv,
		lease.WithCandidate(func() bool { return lease.IsCandidate(role, n.settings.Host, n.fleet.liveHosts()) }))
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

// close closes the components in the reverse order of start, so that leases are
// released after the components that use them have stopped. Until ctx ends, it tries to
// store the usage that is not stored yet.
func (r *records) close(ctx context.Context) {
	_ = r.journal.journal.Close()
	if err := r.usage.Close(ctx); err != nil {
		r.node.log.WithError(err).Warn("usage not stored; other hosts have the last replica")
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

// addUsage counts the usage of a request.
func (r *records) addUsage(u front.Usage) {
	r.usage.Add(u.Customer, u.Class, usage.Amount{
		Prompt: int64(u.PromptTokens), Output: int64(u.OutputTokens), Wasted: int64(u.WastedTokens), Requests: 1,
	})
}

// roles returns the state of the roles that can be read from the store.
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

// settle records an operator's confirmation that the process that wrote an open intent
// of a role sends nothing more.
func (r *records) settle(ctx context.Context, role, intent string) error {
	if l := r.leases[role]; l != nil {
		return l.Confirm(ctx, intent)
	}
	return errors.Errorf("unknown role %q", role)
}

// storeAge returns the time since this host last reached the store.
func (r *records) storeAge() time.Duration { return r.keys.registry.StoreAge() }
