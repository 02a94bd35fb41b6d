package trial

import (
	"quetzalhook"
	"quetzalhook/internal/traffic/baseline"
	"quetzalhook/internal/traffic/dispatch"
	"quetzalhook/internal/traffic/placement"
)

// Policy is a named constructor.
type Policy struct {
	Name  string
	Build Constructor
}

// Policies returns the policies that are compared: the baseline, the
// product's own, and the own one with the other strategies of placement.
func Policies() []Policy {
	return []Policy{
		{Name: "baseline", Build: func(env Env) quetzalhook.Policy { return baseline.New(env.Hosts) }},
		{Name: "own", Build: own(placement.SlotShares)},
		{Name: "power-of-two", Build: own(placement.PowerOfTwo)},
		{Name: "least-loaded", Build: own(placement.LeastLoaded)},
	}
}

func own(s placement.Strategy, opts ...placement.Option) Constructor {
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
