package soak

import (
	"fmt"
	"testing"
	"time"
)

// Guards against scripts with restores that differ between two runs, and against restores in
// the scripts of other kinds.
func TestAddRestores(t *testing.T) {
	only := []string{"restore", "kill"}
	variants := make(map[string]bool)
	for seed := range uint64(20) {
		script := addRestores(nil, seed, 40*time.Second, only)
		if got, want := fmt.Sprint(addRestores(nil, seed, 40*time.Second, only)), fmt.Sprint(script); got != want {
			t.Fatalf("seed %d: got %s, want %s", seed, got, want)
		}
		for _, f := range script {
			variants[f.variant] = true
		}
	}
	if got, want := len(variants), len(restoreCompanions()); got != want {
		t.Errorf("variants in 20 seeds: got %d, want %d", got, want)
	}
	if got := addRestores(nil, 1, 40*time.Second, nil); len(got) > 0 {
		t.Errorf("got %v in a run of all kinds, want none unless they are named", got)
	}
}

// Guards against hosts that keep an older configuration, or send to an upstream that leaves,
// because the store has returned from a copy and gives out its revisions again.
func TestStoreReturnsFromCopy(t *testing.T) {
	runReturn(t, Settings{Seed: 7201})
}

// Guards against hosts of an older build that do so after the others have been upgraded.
func TestStoreReturnsBesideOlderBuild(t *testing.T) {
	for _, build := range []string{firstBuildWithEras, lastBuildWithoutEras} {
		t.Run(build, func(t *testing.T) {
			runReturn(t, Settings{Seed: 7201, Older: buildOlder(t, build), OlderHosts: OlderHalf})
		})
	}
}

// runReturn makes the store return from a copy from before changes of the configuration and of
// an upstream, and makes further changes whose revisions the store has given out before.
func runReturn(t *testing.T, cfg Settings) {
	t.Helper()
	const age = time.Second
	script := []fault{{kind: "restore", duration: age, variant: "alone"}}
	for at := 50 * time.Millisecond; at < age; at += 100 * time.Millisecond {
		script = append(script, fault{at: at, kind: "configure"})
	}
	script = append(script,
		fault{at: age - 50*time.Millisecond, kind: "leave", target: minEngines},
		fault{at: age + maxAway + minRewrite, kind: "configure"},
		fault{at: age + maxAway + minRewrite, kind: "leave", target: minEngines})
	cfg.Hosts, cfg.Callers, cfg.Length, cfg.Routes = 6, 24, age, 20
	cfg.Kinds, cfg.script = []string{"restore", "configure", "leave"}, script
	runSoak(t, cfg, CheckConfiguration, CheckRoute, CheckWithdrawnKey)
}
