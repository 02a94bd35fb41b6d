package reliability

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestRecord guards against an upstream that is chosen as before although it
// fails, against one that is avoided forever, and against a response that
// begins but does not complete being counted as a success.
func TestRecord(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var r Record
			now := time.Unix(1000, 0)
			var out strings.Builder
			for line := range strings.Lines(d.Input) {
				f := strings.Fields(line)
				switch f[0] {
				case "failed":
					r.Failed(now)
				case "answers":
					r.ResponseStarted()
				case "worked":
					r.Succeeded(now)
				case "refused":
					r.Refused(now, 50*time.Millisecond)
				case "wait":
					wait, err := time.ParseDuration(f[1])
					if err != nil {
						t.Fatal(err)
					}
					now = now.Add(wait)
				case "show":
					fmt.Fprintf(&out, "avoided=%v probability=%.2f\n", r.IsAvoided(now), r.FailureProbability(now))
				default:
					t.Fatalf("unknown command %q", line)
				}
			}
			return out.String()
		})
	})
}
