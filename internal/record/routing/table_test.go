package routing

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// Guards against a request that gets the route of another host name or of a
// shorter prefix, and against a key that is attributed to another customer.
func TestLookups(t *testing.T) {
	datadriven.RunTest(t, "testdata/lookups", func(t *testing.T, d *datadriven.TestData) string {
		table := &Table{
			Routes: []Route{
				{Name: "short", Host: "a.example", Prefix: "/x/"},
				{Name: "long", Host: "a.example", Prefix: "/x/y/"},
				{Name: "other", Host: "b.example", Prefix: "/x/"},
			},
			Customers: []Customer{
				{ID: "one", Keys: []KeyHash{HashKey("k1"), HashKey("k2")}},
				{ID: "two", Keys: []KeyHash{HashKey("k3")}},
			},
		}
		table.Index()
		var out strings.Builder
		for line := range strings.Lines(d.Input) {
			f := strings.Fields(line)
			got := "none"
			switch d.Cmd {
			case "route":
				if r := table.Route(f[0], f[1]); r != nil {
					got = r.Name
				}
			case "customer":
				if c := table.Customer(f[0]); c != nil {
					got = string(c.ID)
				}
			}
			fmt.Fprintln(&out, got)
		}
		return out.String()
	})
}
