package node

import (
	"hash/fnv"

	"quetzalhook"
	"quetzalhook/internal/entry/setting"
	"quetzalhook/internal/traffic/baseline"
	"quetzalhook/internal/traffic/dispatch"
	"quetzalhook/internal/traffic/health"
	"quetzalhook/internal/traffic/placement"
)

const (
	// retryRatio is the share of traffic that may be retries, so that retries
	// do not multiply the load of upstreams that fail.
	retryRatio = 0.1
	// retryMinimum lets the streams of one lost upstream be resumed, also on a
	// quiet host.
	retryMinimum = 32
)

// newPolicy returns the policy that the settings name.
func (n *Node) newPolicy() quetzalhook.Policy {
	if n.settings.Policy == setting.PolicyBaseline {
		return baseline.New(n.settings.Hosts)
	}
	seed := fnv.New64a()
	_, _ = seed.Write([]byte(n.settings.Host))
	n.planner = placement.New(
		placement.WithHost(n.settings.Host), placement.WithHosts(n.settings.Hosts),
		placement.WithSeed(seed.Sum64()), placement.WithInvariants(n.inv),
	)
	return dispatch.New(n.planner, dispatch.WithHosts(n.settings.Hosts), dispatch.WithInvariants(n.inv),
		dispatch.WithRetryBudget(health.NewBudget(retryRatio, retryMinimum)))
}

// setRegion tells the policy where the host is, which only the configuration
// says. The next list of upstreams makes it effective.
func (n *Node) setRegion(r quetzalhook.Region) {
	n.region.Store(r)
	if n.planner != nil {
		n.broker.Do(func() { n.planner.SetRegion(r) })
	}
}
