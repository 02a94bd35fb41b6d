package trial

import (
	"reflect"
	"testing"
	"time"

	"quetzalhook"
	"quetzalhook/internal/state/invariant"
	"quetzalhook/internal/traffic/placement"
)

func findRow(t *testing.T, name string) Row {
	t.Helper()
	for _, r := range Rows() {
		if r.Name == name {
			return r
		}
	}
	t.Fatalf("row %q does not exist", name)
	return Row{}
}

func testConfig(wl Workload) Config {
	return Config{Workload: wl, Seed: 1, Hosts: 6, Duration: 32 * time.Second}
}

// TestOwnPolicy guards against violations of invariants and against wasted tokens
// under faults. Where the remaining capacity is enough for the urgent requests,
// it also guards their attainment.
func TestOwnPolicy(t *testing.T) {
	t.Parallel()
	for name, wl := range map[string]Workload{
		"burst-fits": Association(), "lagging-reports": Association(), "straggler": Foundry(),
		"reclaim-fits": Association(), "reclaim-sudden": Foundry(), "silent": Foundry(), "silent-streams": Association(), "three-faults": Association(),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := findRow(t, name)
			got := Run(testConfig(wl), r, "own", ownPolicy(placement.SlotShares))
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

// TestLaggingReports guards against herding: even if load reports are 2 s old, no
// engine may get many more requests than it has slots.
func TestLaggingReports(t *testing.T) {
	t.Parallel()
	peak := func(s placement.Strategy) float64 {
		return Run(testConfig(Association()), findRow(t, "lagging-reports"), "", ownPolicy(s)).PeakOverload
	}
	if got := peak(placement.SlotShares); got > 1.5 {
		t.Errorf("shares: got %.2f requests for each slot, want at most 1.5", got)
	}
	if got := peak(placement.LeastLoaded); got < 2 {
		t.Errorf("least loaded: got %.2f requests for each slot, want herding in this row", got)
	}
}

// TestSameSeedSameResult guards against results that depend on the iteration
// order of maps or on the clock.
func TestSameSeedSameResult(t *testing.T) {
	t.Parallel()
	cfg := testConfig(Foundry())
	cfg.Duration = 25 * time.Second
	a := Run(cfg, findRow(t, "reclaim-fits"), "own", ownPolicy(placement.SlotShares))
	b := Run(cfg, findRow(t, "reclaim-fits"), "own", ownPolicy(placement.SlotShares))
	if !reflect.DeepEqual(a, b) {
		t.Errorf("two runs of seed 1: got %+v and %+v, want the same", a, b)
	}
}

// TestDemandCountsRequests guards against a demand without the number of requests,
// from which slot shares are computed. When they were computed from tokens alone,
// a host with short requests got only one or two slots while others were idle.
func TestDemandCountsRequests(t *testing.T) {
	p := ownPolicy(placement.SlotShares)(Env{Host: "a", Hosts: 1, Invariants: invariant.New(nil)})
	p.SetUpstreams(epoch, Association().upstreams())
	class := Association().classes[0].class
	p.Submit(epoch, quetzalhook.Request{ID: "r", Class: class, Model: model, PromptTokens: 100, Repeatable: true})
	if got := p.Demand(epoch).Requests[class.Tier()]; got != 1 {
		t.Errorf("requests in the demand: got %d, want 1", got)
	}
}

// faultyPolicy changes the actions of a policy or, with refuse, refuses all urgent
// requests.
type faultyPolicy struct {
	quetzalhook.Policy
	change func([]quetzalhook.Action) []quetzalhook.Action
	refuse bool
}

func (f *faultyPolicy) Submit(now time.Time, r quetzalhook.Request) []quetzalhook.Action {
	if f.refuse && r.Class.IsUrgent() {
		return []quetzalhook.Action{{
			Kind: quetzalhook.ActionRefuse, Request: r.ID, Refusal: quetzalhook.RefuseOverload,
			Outcome: quetzalhook.OutcomeNotRun,
		}}
	}
	return f.change(f.Policy.Submit(now, r))
}

func (f *faultyPolicy) End(now time.Time, id quetzalhook.RequestID, end quetzalhook.End) []quetzalhook.Action {
	return f.change(f.Policy.End(now, id, end))
}

func (f *faultyPolicy) Tick(now time.Time) []quetzalhook.Action { return f.change(f.Policy.Tick(now)) }

// changeEach returns a function that applies f to every action of a kind.
func changeEach(kind quetzalhook.ActionKind, f func(*quetzalhook.Action)) func([]quetzalhook.Action) []quetzalhook.Action {
	return func(list []quetzalhook.Action) []quetzalhook.Action {
		for i := range list {
			if list[i].Kind == kind {
				f(&list[i])
			}
		}
		return list
	}
}

// TestChecksSeeFaults guards against checks of the simulation that do not detect
// violations: for each invariant it runs a policy that violates it.
func TestChecksSeeFaults(t *testing.T) {
	t.Parallel()
	seen := map[quetzalhook.RequestID]bool{}
	leaving := Association().upstreams()[0].ID
	for want, tc := range map[string]struct {
		row    string
		change func([]quetzalhook.Action) []quetzalhook.Action
	}{
		invariant.WholeAnswer: {"burst", changeEach(quetzalhook.ActionStart, func(a *quetzalhook.Action) { a.Offset = 0 })},
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
		invariant.NoStarvation: {"burst", changeEach(quetzalhook.ActionCancel, func(a *quetzalhook.Action) {
			a.Cause = quetzalhook.CauseLate
		})},
		invariant.LeavingUpstream: {"reclaim", changeEach(quetzalhook.ActionStart, func(a *quetzalhook.Action) { a.Upstream = leaving })},
		invariant.UrgentNotShed:   {"calm", changeEach(quetzalhook.ActionStart, func(*quetzalhook.Action) {})},
		invariant.LegalTransition: {"calm", func(list []quetzalhook.Action) []quetzalhook.Action {
			return append(list, list...)
		}},
	} {
		t.Run(want, func(t *testing.T) {
			t.Parallel()
			if countViolations(t, want, tc.row, tc.change) == 0 {
				t.Error("got no violation, want at least one")
			}
		})
	}
}

// countViolations runs a faulty policy and returns how many violations of one
// invariant the simulation counts.
func countViolations(t *testing.T, name, rowName string, change func([]quetzalhook.Action) []quetzalhook.Action) int64 {
	build := func(env Env) quetzalhook.Policy {
		env.Invariants = invariant.New(nil) // count only the checks of the simulation
		return &faultyPolicy{ownPolicy(placement.SlotShares)(env), change, name == invariant.UrgentNotShed}
	}
	cfg := testConfig(Association())
	cfg.Duration = 26 * time.Second
	for _, c := range Run(cfg, findRow(t, rowName), "faulty", build).Invariants {
		if c.Name == name {
			return c.Violated
		}
	}
	return 0
}
