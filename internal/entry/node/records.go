package node

import (
	"context"
	"sync"
	"time"

	"quetzalhook"
	"quetzalhook/internal/entry/front"
	"quetzalhook/internal/entry/operator"
	"quetzalhook/internal/fleet/lease"
	"quetzalhook/internal/record/configuration"
	"quetzalhook/internal/record/credential"
)

// records joins the parts of a host that keep what must last.
type records struct {
	node    *Node
	rollout *configuration.Rollout
	planner *configuration.Planner
	keys    *keyRing
	journal quetzalhook.CallJournal

	mu    sync.Mutex
	usage map[quetzalhook.CustomerID]front.Usage
}

func (n *Node) newRecords() (*records, error) {
	return &records{
		node: n,
		rollout: configuration.NewRollout(
			configuration.Identity{Host: n.settings.Host, Zone: n.settings.Zone},
			n.platform, n.fleet.peers, n.clock, n.log, n.inv),
		planner: configuration.NewPlanner(n.platform, n.clock, n.log),
		keys: &keyRing{clock: n.clock, registry: credential.NewRegistry(
			credential.Identity{Host: n.settings.Host, Zone: n.settings.Zone},
			n.platform, n.fleet.peers, n.clock, n.log, n.inv)},
		usage: make(map[quetzalhook.CustomerID]front.Usage),
	}, nil
}

func (r *records) start(ctx context.Context) {
	r.rollout.Start(ctx)
	r.keys.registry.Start(ctx)
}

func (r *records) close() {
	_ = r.keys.registry.Close()
	_ = r.rollout.Close()
}

func (r *records) kill() {}

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

func (r *records) settle(context.Context, string, string) error { return nil }

func (r *records) storeAge() time.Duration { return r.keys.registry.StoreAge() }
