package lease

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"quetzalhook"
	"quetzalhook/internal/platform/memory"
	"quetzalhook/internal/state/invariant"
)

// Guards against a takeover before term + margin, a released role that others
// cannot take at once, an intent that is wrongly removed or kept, and a lost
// answer that is treated as a failure or a success, and an object of another
// program after which no host can hold the role.
func TestLease(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		ctx := context.Background()
		now := time.Unix(1000, 0)
		inv := invariant.New(nil)
		s := memory.New()
		hosts := make(map[string]*Lease)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var out strings.Builder
			for line := range strings.Lines(d.Input) {
				f := strings.Fields(line)
				l, known := hosts[f[0]]
				if !known {
					l = newLease(t, f[0], s, &now, inv)
					hosts[f[0]] = l
				}
				fmt.Fprintf(&out, "%s: %s\n", strings.TrimSpace(line), run(ctx, t, l, s, &now, f))
			}
			fmt.Fprintf(&out, "violations: %d\n", inv.Violations())
			return out.String()
		})
	})
}

func newLease(t *testing.T, host string, s *memory.Store, now *time.Time, inv quetzalhook.Invariants) *Lease {
	clock := quetzalhook.ClockFunc(func() time.Time { return *now })
	l, err := New(RoleController, quetzalhook.HostID(host), 1, s, clock, inv)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func run(ctx context.Context, t *testing.T, l *Lease, s *memory.Store, now *time.Time, f []string) string {
	var err error
	switch f[1] {
	case "step":
		err = l.Step(ctx)
	case "close":
		err = l.Close()
	case "confirm":
		err = l.Confirm(ctx, f[2])
	case "order", "order-lost", "order-refused":
		err = l.Order(ctx, Order{ID: f[2], Target: "t"}, func(context.Context, uint64) error {
			switch f[1] {
			case "order-lost":
				return &quetzalhook.StoreError{Op: "order", Kind: quetzalhook.StoreUnknown}
			case "order-refused":
				return &quetzalhook.StoreError{Op: "order", Kind: quetzalhook.StoreUnavailable}
			}
			return nil
		})
	case "sleep":
		d, bad := time.ParseDuration(f[2])
		if bad != nil {
			t.Fatal(bad)
		}
		*now = now.Add(d)
	case "overwrite": // by another program
		o, bad := s.Get(ctx, "lease/"+string(RoleController))
		if bad == nil {
			_, bad = s.Put(ctx, o.Key, []byte(strings.Join(f[2:], " ")), o.Version)
		}
		if bad != nil {
			t.Fatal(bad)
		}
	case "fencing":
		token, _ := l.Fencing()
		return fmt.Sprint(token)
	case "lose":
		s.SetFaults(memory.Faults{LoseAnswers: 1})
	case "outage":
		s.SetFaults(memory.Faults{Outage: true})
	case "heal":
		s.SetFaults(memory.Faults{})
	}
	var open []string
	for _, i := range l.OpenIntents() {
		open = append(open, i.ID)
	}
	return fmt.Sprintf("held=%t open=%v err=%v", l.Held(), open, err)
}
