package trial

import (
	"quetzalhook"
	"quetzalhook/internal/traffic/baseline"
	"quetzalhook/internal/traffic/dispatch"
	"quetzalhook/internal/traffic/placement"
)

// Policy is a named Constructor.
type Policy struct {
	Name  string
	Build Constructor
}

// Policies returns the policies to compare: the baseline, the policy of
// quetzalhook ("own"), and that policy with two other placement strategies.
func Policies() []Policy {
	return []Policy{
		{Name: "baseline", Build: func(env Env) quetzalhook.Policy { return baseline.New(env.Hosts) }},
		{Name: "own", Build: ownPolicy(placement.SlotShares)},
		{Name: "power-of-two", Build: ownPolicy(placement.PowerOfTwo)},
		{Name: "least-loaded", Build: ownPolicy(placement.LeastLoaded)},
	}
}

// ownPolicy returns a Constructor for the policy of quetzalhook with a placement
// strategy.
func ownPolicy(s placement.Strategy, opts ...placement.Option) Constructor {
	return func(env Env) quetzalhook.Policy {
		all := append([]placement.Option{
			placement.WithHost(env.Host), placement.WithHosts(env.Hosts), placement.WithRegion(env.Region),
			placement.WithSeed(env.Seed), placement.WithStrategy(s), placement.WithInvariants(env.Invariants),
			placement.WithRules(env.Rules),
		}, opts...)
		return dispatch.New(placement.New(all...),
			dispatch.WithInvariants(env.Invariants), dispatch.WithHosts(env.Hosts))
	}
}
