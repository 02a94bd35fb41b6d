package lease

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"quetzalhook"
	"quetzalhook/internal/platform/memory"
	"quetzalhook/internal/state/invariant"
)

// Guards against a takeover before term + margin, a released role that others
// cannot take at once, an intent that is wrongly removed or kept, a lost
// answer that is treated as a failure or a success, an object of another
// program after which no host can hold the role, and a store that comes back from an
// older copy and gives a token or the role to two hosts.
func TestLease(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		f := newFleet(t)
		datadriven.RunTest(t, path, func(_ *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "eras" {
				f = newFleet(t, memory.WithEras())
			}
			var out strings.Builder
			for line := range strings.Lines(d.Input) {
				fmt.Fprintf(&out, "%s: %s\n", strings.TrimSpace(line), f.run(strings.Fields(line)))
			}
			fmt.Fprintf(&out, "violations: %d\n", f.inv.Violations())
			return out.String()
		})
	})
}

// fleet is a store and the hosts that use it, which share one clock.
type fleet struct {
	t        *testing.T
	store    *memory.Store
	now      time.Time
	inv      *invariant.Registry
	leases   map[string]*Lease
	adapters map[string]*adapter
	copy     memory.Copy
	starts   quetzalhook.Incarnation
	onTheWay []func() // late writes
	logs     map[string]*logtest.Hook
	hasOlder bool // whether hosts of an older build are present
}

func newFleet(t *testing.T, opts ...memory.Option) *fleet {
	return &fleet{
		t: t, store: memory.New(opts...), now: time.Unix(1000, 0), inv: invariant.New(nil),
		leases: make(map[string]*Lease), adapters: make(map[string]*adapter), logs: make(map[string]*logtest.Hook),
	}
}

// start starts a process on a host, in place of the one that runs there.
func (f *fleet) start(host string) {
	f.starts++
	clock := quetzalhook.ClockFunc(func() time.Time { return f.now })
	a := &adapter{Store: f.store, onTheWay: &f.onTheWay}
	log, hook := logtest.NewNullLogger()
	l, err := New(RoleController, quetzalhook.HostID(host), f.starts, a, clock, f.inv, WithLog(log), WithOlderBuilds(func() bool { return f.hasOlder }))
	if err != nil {
		f.t.Fatal(err)
	}
	f.leases[host], f.adapters[host], f.logs[host] = l, a, hook
}

func (f *fleet) sleep(duration string) {
	d, err := time.ParseDuration(duration)
	if err != nil {
		f.t.Fatal(err)
	}
	f.now = f.now.Add(d)
}

func (f *fleet) run(words []string) string {
	ctx := context.Background()
	if f.leases[words[0]] == nil {
		f.start(words[0])
	}
	l, a, s := f.leases[words[0]], f.adapters[words[0]], f.store
	comeBack := func() { s.Return(f.copy) }
	var err error
	switch words[1] {
	case "step":
		err = l.Step(ctx)
	case "close":
		err = l.Close()
	case "start": // a new process
		f.start(words[0])
		l = f.leases[words[0]]
	case "copy":
		f.copy = s.Copy()
	case "return":
		comeBack()
	case "return-before-write":
		a.before = comeBack
	case "return-after-write": // and wait before the answer
		a.after = func() {
			comeBack()
			f.sleep(words[2])
		}
	case "return-after-write-heard":
		a.after = func() { comeBack(); a.hear() }
	case "return-after-read-heard":
		a.afterRead = func() { comeBack(); a.hear() }
	case "hear":
		a.hear()
	case "late":
		a.late = true
	case "land":
		if len(f.onTheWay) > 0 {
			write := f.onTheWay[0]
			f.onTheWay = f.onTheWay[1:]
			write()
		}
	case "confirm":
		err = l.Confirm(ctx, words[2])
	case "order", "order-lost", "order-refused":
		sent := false
		err = l.Order(ctx, Order{ID: words[2], Target: "t"}, func(context.Context, uint64) error {
			sent = true
			switch words[1] {
			case "order-lost":
				return &quetzalhook.StoreError{Op: "order", Kind: quetzalhook.StoreUnknown}
			case "order-refused":
				return &quetzalhook.StoreError{Op: "order", Kind: quetzalhook.StoreUnavailable}
			}
			return nil
		})
		if notSent := IsKind(err, KindNotHolder) || IsKind(err, KindBlocked) || IsKind(err, KindStore); sent == notSent {
			f.t.Errorf("order: sent=%t, got %v", sent, err)
		}
	case "sleep":
		f.sleep(words[2])
	case "older":
		f.hasOlder = true
	case "overwrite": // by another program
		o, bad := s.Get(ctx, "lease/"+RoleController)
		if bad == nil {
			_, bad = s.Put(ctx, o.Key, []byte(strings.Join(words[2:], " ")), o.Version)
		}
		if bad != nil {
			f.t.Fatal(bad)
		}
	case "other": // a change of another object
		_, err = s.Put(ctx, words[2], nil, 0)
	case "fencing":
		token, _ := l.Fencing()
		return fmt.Sprint(token)
	case "log": // the last line with an era
		last := ""
		for _, e := range f.logs[words[0]].AllEntries() {
			if e.Data["era"] != nil {
				last = fmt.Sprint(e.Message, " ", e.Data)
			}
		}
		return last
	case "object":
		o, _ := s.Get(ctx, "lease/"+RoleController)
		d, _ := decode(o.Value)
		return fmt.Sprintf("holder=%s fencing=%d revision=%v", d.Holder, d.Fencing, o.Version)
	case "lose":
		a.loseAnswer = true
	case "outage":
		s.SetFaults(memory.Faults{Outage: true})
	case "heal":
		s.SetFaults(memory.Faults{})
	default:
		f.t.Fatalf("unknown command %q", words[1])
	}
	var open []string
	for _, i := range l.OpenIntents() {
		open = append(open, i.ID)
	}
	return fmt.Sprintf("held=%t open=%v err=%v", l.Held(), open, err)
}
