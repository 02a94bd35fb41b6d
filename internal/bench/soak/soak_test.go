package soak

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// Guards against a guarantee that the real processes violate under injected
// faults: one short run with a fixed seed. cmd/soak does longer runs.
func TestSoak(t *testing.T) {
	program := filepath.Join(t.TempDir(), "quetzalhook")
	build := exec.CommandContext(t.Context(), "go", "build", "-o", program, "quetzalhook/cmd/quetzalhook")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v: %s", err, out)
	}
	r, err := Run(t.Context(), Settings{Seed: 1, Program: program, Directory: t.TempDir(), Hosts: 4, Callers: 8, Length: 6 * time.Second})
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range r.Violations {
		t.Errorf("%s", v)
	}
	if t.Failed() {
		for _, f := range r.Script {
			t.Logf("fault %s", f)
		}
	}
	for _, name := range []Check{CheckRunOnce, CheckWholeAnswer, CheckUnchanged, CheckConfiguration, CheckReport, CheckHolder} {
		if r.Checked[name] == 0 {
			t.Errorf("%s: got no check, want some", name)
		}
	}
}
