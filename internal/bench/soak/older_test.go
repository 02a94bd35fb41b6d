package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// Commits of earlier builds: hosts of the first one know eras of the store.
const (
	firstBuildWithEras   = "4eb5663"
	lastBuildWithoutEras = "348c612"
)

// buildOlder builds the program of an earlier commit and returns its path.
func buildOlder(t *testing.T, commit string) string {
	t.Helper()
	root, err := exec.CommandContext(t.Context(), "git", "rev-parse", "--show-toplevel").Output()
	if err != nil {
		t.Skipf("not in a repository: %v", err)
	}
	source, program := t.TempDir(), filepath.Join(t.TempDir(), "quetzalhook")
	run := func(name string, args ...string) error {
		c := exec.CommandContext(t.Context(), name, args...)
		c.Dir = source
		out, err := c.CombinedOutput()
		if err != nil {
			t.Logf("%s %q: %s", name, args, out)
		}
		return err
	}
	top := string(root[:len(root)-1])
	if run("git", "-C", top, "cat-file", "-e", commit) != nil {
		t.Skipf("the history does not reach back to %s", commit)
	}
	archive := filepath.Join(source, "source.tar")
	if err := run("git", "-C", top, "archive", "--output", archive, commit, "--", ".", ":!journal"); err != nil {
		t.Fatal(err)
	}
	if err := run("tar", "-xf", archive); err != nil {
		t.Fatal(err)
	}
	if err := run("go", "build", "-buildvcs=false", "-o", program, "./cmd/quetzalhook"); err != nil {
		t.Fatal(err)
	}
	if _, err := os.Stat(program); err != nil {
		t.Fatal(err)
	}
	return program
}
