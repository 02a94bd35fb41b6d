package node

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"quetzalhook"
	"quetzalhook/internal/entry/front"
	"quetzalhook/internal/entry/operator"
	"quetzalhook/internal/fleet/controller"
	"quetzalhook/internal/fleet/lease"
	"quetzalhook/internal/record/configuration"
	"quetzalhook/internal/record/credential"
	"quetzalhook/internal/record/journal"
)

// records joins the parts of a host that keep what must last.
type records struct {
	node    *Node
	rollout *configuration.Rollout
	planner *configuration.Planner
	keys    *keyRing
	journal *callJournal
	leases  []*lease.Lease

	controller *controller.Controller

	mu    sync.Mutex
	usage map[quetzalhook.CustomerID]front.Usage
}

func (n *Node) newRecords() (*records, error) {
	r := &records{
		node: n,
		rollout: configuration.NewRollout(
			configuration.Identity{Host: n.settings.Host, Zone: n.settings.Zone},
			n.platform, n.fleet.peers, n.clock, n.log, n.inv),
		planner: configuration.NewPlanner(n.platform, n.clock, n.log),
		keys: &keyRing{clock: n.clock, registry: credential.NewRegistry(
			credential.Identity{Host: n.settings.Host, Zone: n.settings.Zone},
			n.platform, n.fleet.peers, n.clock, n.log, n.inv)},
		journal: newCallJournal(journal.New(n.settings.Host, n.fleet.incarnation, n.platform, n.clock, n.fleet.peers, n.inv)),
		usage:   make(map[quetzalhook.CustomerID]front.Usage),
	}
	role, err := r.newLease(lease.RoleController)
	if err != nil {
		return nil, err
	}
	r.controller = controller.New(role, n.platform, n.platform, &capacityPlanner{node: n}, n.clock, controller.WithLog(n.log))
	return r, nil
}

// newLease returns a lease for which only some of the live hosts compete.
func (r *records) newLease(role string) (*lease.Lease, error) {
	n := r.node
	l, err := lease.New(role, n.settings.Host, n.fleet.incarnation, n.platform, n.clock, n.inv,
		lease.WithCandidate(func() bool { return lease.IsCandidate(role, n.settings.Host, n.fleet.live()) }))
	if err != nil {
		return nil, err
	}
	r.leases = append(r.leases, l)
	return l, nil
}

func (r *records) start(ctx context.Context) {
	r.rollout.Start(ctx)
	r.keys.registry.Start(ctx)
	for _, l := range r.leases {
		l.Start()
	}
	r.controller.Start()
	r.journal.journal.Start()
}

// close ends the parts in the reverse order; leases are released after their
// users have stopped.
func (r *records) close() {
	_ = r.journal.journal.Close()
	_ = r.controller.Close()
	for _, l := range r.leases {
		_ = l.Close()
	}
	_ = r.keys.registry.Close()
	_ = r.rollout.Close()
}

func (r *records) addUsage(u front.Usage) {
	r.mu.Lock()
	defer r.mu.Unlock()
	total := r.usage[u.Customer]
	total.PromptTokens += u.PromptTokens
	total.OutputTokens += u.OutputTokens
	r.usage[u.Customer] = total
}

// roles returns the state of all roles, without those that the store does not
// show.
func (r *records) roles(ctx context.Context) []operator.RoleRow {
	var rows []operator.RoleRow
	for _, role := range []string{lease.RoleController, lease.RoleReporter} {
		state, err := lease.Read(ctx, r.node.platform, role)
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
	for i, name := range []string{lease.RoleController} {
		if name == role {
			return r.leases[i].Confirm(ctx, intent)
		}
	}
	return errors.Errorf("there is no role %q", role)
}

func (r *records) storeAge() time.Duration { return r.keys.registry.StoreAge() }
