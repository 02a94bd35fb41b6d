package setting

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// Guards against invalid settings that are accepted, and against errors that name
// only the first mistake. Each test block changes a valid file: a line replaces the
// line with the same key, and "-KEY" removes it.
func TestHostSettings(t *testing.T) {
	valid, err := os.ReadFile("testdata/sound.yaml")
	if err != nil {
		t.Fatal(err)
	}
	datadriven.Walk(t, "testdata/host", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			text := string(valid)
			for line := range strings.Lines(d.Input) {
				key, _, _ := strings.Cut(strings.TrimPrefix(strings.TrimSpace(line), "-"), ":")
				var kept []string
				for old := range strings.Lines(text) {
					if !strings.HasPrefix(strings.TrimSpace(old), key+":") {
						kept = append(kept, old)
					} else if !strings.HasPrefix(line, "-") {
						kept = append(kept, strings.TrimRight(line, "\n")+"\n")
					}
				}
				text = strings.Join(kept, "")
			}
			file := filepath.Join(t.TempDir(), "host.yaml")
			if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
			h, err := LoadHost(file)
			if err != nil {
				return strings.ReplaceAll(err.Error(), "; ", "\n") + "\n"
			}
			return fmt.Sprintf("heartbeat %s, peer %s, metrics %s, seeds %v\n", h.Heartbeat(h.IP()), h.Peer(h.IP()), h.Metrics(h.IP()), h.SeedHeartbeats())
		})
	})
	if _, err := LoadHost(filepath.Join(t.TempDir(), "none.yaml")); err == nil {
		t.Error("missing file: got no error, want one")
	}
}
