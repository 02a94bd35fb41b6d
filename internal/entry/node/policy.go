package node

import (
	"hash/fnv"

	"quetzalhook"
	"quetzalhook/internal/entry/setting"
	"quetzalhook/internal/traffic/baseline"
	"quetzalhook/internal/traffic/dispatch"
	"quetzalhook/internal/traffic/placement"
)

// newPolicy returns the policy that the settings name.
func (n *Node) newPolicy() quetzalhook.Policy {
	if n.settings.Policy == setting.PolicyBaseline {
		return baseline.New(n.settings.Hosts)
	}
	seed := fnv.New64a()
	_, _ = seed.Write([]byte(n.settings.Host))
	placer := placement.New(
		placement.WithHost(n.settings.Host), placement.WithHosts(n.settings.Hosts),
		placement.WithSeed(seed.Sum64()), placement.WithInvariants(n.inv),
	)
	return dispatch.New(placer, dispatch.WithHosts(n.settings.Hosts), dispatch.WithInvariants(n.inv))
}
