package trial

import (
	"reflect"
	"testing"
	"time"

	"quetzalhook"
	"quetzalhook/internal/state/invariant"
	"quetzalhook/internal/traffic/placement"
)

func row(t *testing.T, name string) Row {
	t.Helper()
	for _, r := range Rows() {
		if r.Name == name {
			return r
		}
	}
	t.Fatalf("row %q does not exist", name)
	return Row{}
}

func config(wl Workload) Config {
	return Config{Workload: wl, Seed: 1, Hosts: 6, Duration: 32 * time.Second}
}

// TestOwnPolicy guards the invariants and the targets for urgent and long work
// under the faults in which urgent work fits the remaining capacity.
func TestOwnPolicy(t *testing.T) {
	t.Parallel()
	for name, wl := range map[string]Workload{
		"burst-fits": Association(), "lagging-reports": Association(), "straggler": Foundry(),
		"reclaim-fits": Association(), "reclaim-sudden": Foundry(), "silent": Foundry(), "silent-streams": Association(), "three-faults": Association(),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := row(t, name)
			got := Run(config(wl), r, "own", own(placement.SlotShares))
			if got.Violations > 0 {
				t.Errorf("got %d violations, want none: %v", got.Violations, got.Details)
			}
			if got.Wasted > 0.02 {
				t.Errorf("got %.2f%% wasted tokens, want at most 2%%", 100*got.Wasted)
			}
			if a := got.Classes[0].Attainment; r.Fits && a < 0.99 {
				t.Errorf("got %.2f%% urgent attainment, want 99%%", 100*a)
			}
		})
	}
}

// TestLaggingReports guards against herding: with reports of 2 s age no engine
// may get many more requests than it has slots.
func TestLaggingReports(t *testing.T) {
	t.Parallel()
	peak := func(s placement.Strategy) float64 {
		return Run(config(Association()), row(t, "lagging-reports"), "", own(s)).PeakOverload
	}
	if got := peak(placement.SlotShares); got > 1.5 {
		t.Errorf("shares: got %.2f requests for each slot, want at most 1.5", got)
	}
	if got := peak(placement.LeastLoaded); got < 2 {
		t.Errorf("least loaded: got %.2f requests for each slot, want herding in this row", got)
	}
}

// TestSameSeedSameResult guards against results that depend on map order or
// on the clock.
func TestSameSeedSameResult(t *testing.T) {
	t.Parallel()
	cfg := config(Foundry())
	cfg.Duration = 25 * time.Second
	a := Run(cfg, row(t, "reclaim-fits"), "own", own(placement.SlotShares))
	b := Run(cfg, row(t, "reclaim-fits"), "own", own(placement.SlotShares))
	if !reflect.DeepEqual(a, b) {
		t.Errorf("two runs of seed 1: got %+v and %+v, want the same", a, b)
	}
}

// TestDemandCountsRequests guards the input of slot shares: with tokens only,
// a host of short requests got a slot or two while others stood idle.
func TestDemandCountsRequests(t *testing.T) {
	p := own(placement.SlotShares)(Env{Host: "a", Hosts: 1, Invariants: invariant.New(nil)})
	p.SetUpstreams(epoch, Association().upstreams())
	class := Association().kinds[0].class
	p.Submit(epoch, quetzalhook.Request{ID: "r", Class: class, Model: model, PromptTokens: 100, Repeatable: true})
	if got := p.Demand(epoch).Requests[class.Tier()]; got != 1 {
		t.Errorf("requests in the demand: got %d, want 1", got)
	}
}

// faulty changes the actions of a policy, or refuses urgent requests.
type faulty struct {
	quetzalhook.Policy
	change func([]quetzalhook.Action) []quetzalhook.Action
	refuse bool
}

func (f *faulty) Submit(now time.Time, r quetzalhook.Request) []quetzalhook.Action {
	if f.refuse && r.Class.IsUrgent() {
		return []quetzalhook.Action{{
			Kind: quetzalhook.ActionRefuse, Request: r.ID, Refusal: quetzalhook.RefuseOverload,
			Outcome: quetzalhook.OutcomeNotRun,
		}}
	}
	return f.change(f.Policy.Submit(now, r))
}

func (f *faulty) End(now time.Time, id quetzalhook.RequestID, end quetzalhook.End) []quetzalhook.Action {
	return f.change(f.Policy.End(now, id, end))
}

func (f *faulty) Tick(now time.Time) []quetzalhook.Action { return f.change(f.Policy.Tick(now)) }

// each applies f to every action of a kind.
func each(kind quetzalhook.ActionKind, f func(*quetzalhook.Action)) func([]quetzalhook.Action) []quetzalhook.Action {
	return func(list []quetzalhook.Action) []quetzalhook.Action {
		for i := range list {
			if list[i].Kind == kind {
				f(&list[i])
			}
		}
		return list
	}
}

// TestChecksSeeFaults guards against checks of the runner that are blind.
func TestChecksSeeFaults(t *testing.T) {
	t.Parallel()
	seen := map[quetzalhook.RequestID]bool{}
	leaving := Association().upstreams()[0].ID
	for want, tc := range map[string]struct {
		row    string
		change func([]quetzalhook.Action) []quetzalhook.Action
	}{
		invariant.WholeAnswer: {"burst", each(quetzalhook.ActionStart, func(a *quetzalhook.Action) { a.Offset = 0 })},
		invariant.TrueRefusal: {"burst", func(list []quetzalhook.Action) []quetzalhook.Action {
			for i, a := range list {
				if a.Kind == quetzalhook.ActionStart && seen[a.Request] {
					list[i] = quetzalhook.Action{
						Kind: quetzalhook.ActionRefuse, Request: a.Request, Refusal: quetzalhook.RefuseOverload,
						Outcome: quetzalhook.OutcomeNotRun,
					}
				}
				seen[a.Request] = true
			}
			return list
		}},
		invariant.NoStarvation: {"burst", each(quetzalhook.ActionCancel, func(a *quetzalhook.Action) {
			a.Cause = quetzalhook.CauseLate
		})},
		invariant.LeavingUpstream: {"reclaim", each(quetzalhook.ActionStart, func(a *quetzalhook.Action) { a.Upstream = leaving })},
		invariant.UrgentNotShed:   {"calm", each(quetzalhook.ActionStart, func(*quetzalhook.Action) {})},
		invariant.LegalTransition: {"calm", func(list []quetzalhook.Action) []quetzalhook.Action {
			return append(list, list...)
		}},
	} {
		t.Run(want, func(t *testing.T) {
			t.Parallel()
			if violationsOf(t, want, tc.row, tc.change) == 0 {
				t.Error("got no violation: the check is blind")
			}
		})
	}
}

// violationsOf runs a faulty policy and returns the violations that the runner
// counts of one invariant.
func violationsOf(t *testing.T, name, rowName string, change func([]quetzalhook.Action) []quetzalhook.Action) int64 {
	build := func(env Env) quetzalhook.Policy {
		env.Invariants = invariant.New(nil) // count only what the runner sees
		return &faulty{own(placement.SlotShares)(env), change, name == invariant.UrgentNotShed}
	}
	cfg := config(Association())
	cfg.Duration = 26 * time.Second
	for _, c := range Run(cfg, row(t, rowName), "faulty", build).Invariants {
		if c.Name == name {
			return c.Violated
		}
	}
	return 0
}
