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
	// retryRatio bounds retries to a fraction of the traffic, so that they do not
	// multiply the load on failing upstreams.
	retryRatio = 0.1
	// minRetries is the number of retries that are allowed in any case. It lets a
	// host with little traffic resume the streams of one failed upstream.
	minRetries = 32
)

// newPolicy returns the scheduling policy chosen by the settings.
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
		dispatch.WithRetryBudget(health.NewBudget(retryRatio, minRetries)))
}

// setRegion sets the region of this host, which only the configuration contains. The
// policy uses it from the next update of its upstreams on.
func (n *Node) setRegion(r quetzalhook.Region) {
	n.region.Store(r)
	if n.planner != nil {
		n.broker.Do(func() { n.planner.SetRegion(r) })
	}
}
