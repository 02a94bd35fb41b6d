package routing

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"quetzalhook"
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

// Guards against a patient route of a customer with a priority that is served before
// an urgent one of the same or of an equal customer.
func TestTiers(t *testing.T) {
	datadriven.RunTest(t, "testdata/tiers", func(t *testing.T, d *datadriven.TestData) string {
		table := &Table{}
		var out strings.Builder
		for line := range strings.Lines(d.Input) {
			var name string
			var priority int
			n, err := fmt.Sscan(line[strings.Index(line, " "):], &name, &priority)
			switch verb, _, _ := strings.Cut(line, " "); {
			case verb == "route" && n == 2, verb == "public" && n == 2:
				table.Routes = append(table.Routes, Route{Name: name, Priority: priority, Public: verb == "public"})
			case verb == "customer" && n == 2:
				table.Customers = append(table.Customers, Customer{ID: quetzalhook.CustomerID(name), Priority: &priority})
			case verb == "customer" && n == 1:
				table.Customers = append(table.Customers, Customer{ID: quetzalhook.CustomerID(name)})
			default:
				t.Fatalf("line %q: %v", line, err)
			}
		}
		table.Index()
		for i := range table.Routes {
			r := &table.Routes[i]
			if r.Public || !table.HasCustomers() {
				fmt.Fprintf(&out, "%s: %d\n", r.Name, table.Tier(r, nil))
				continue
			}
			for j := range table.Customers {
				c := &table.Customers[j]
				fmt.Fprintf(&out, "%s of %s: %d\n", r.Name, c.ID, table.Tier(r, c))
			}
		}
		return out.String()
	})
}
