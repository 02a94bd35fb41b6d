package chart

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"quetzalhook/internal/state/invariant"
)

// Guards against chart files that accept an illegal transition, and against an
// illegal event that changes the state or is not counted as a violation.
func TestCharts(t *testing.T) {
	datadriven.RunTest(t, "testdata/charts.txt", func(t *testing.T, d *datadriven.TestData) string {
		switch d.Cmd {
		case "parse":
			_, err := Parse([]byte(d.Input))
			return fmt.Sprintln(err)
		case "fire":
			c, err := Load(d.CmdArgs[0].Key)
			if err != nil {
				return fmt.Sprintln(err)
			}
			inv := invariant.New(nil)
			m := c.NewMachine("test", inv)
			var b strings.Builder
			for _, e := range strings.Fields(d.Input) {
				if err := m.Fire(Event(e)); err != nil {
					fmt.Fprintln(&b, err)
				}
				fmt.Fprintln(&b, e, "->", m.State())
			}
			fmt.Fprintf(&b, "final=%t violations=%d\n", m.IsFinal(), inv.Violations())
			return b.String()
		}
		return "unknown command"
	})
}
