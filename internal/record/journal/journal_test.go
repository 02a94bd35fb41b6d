package journal

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"

	"quetzalhook"
	"quetzalhook/internal/platform/memory"
	"quetzalhook/internal/state/invariant"
)

// script runs the commands of one test scenario on named hosts.
type script struct {
	store      *memory.Store
	net        *memory.Network
	inv        *invariant.Registry
	hosts      map[string]*Journal
	claims     map[string]Claim
	outageNext bool // an outage starts after the next Put
}

// put writes an object and then starts an outage if the script has requested
// one.
func (s *script) put(ctx context.Context, key string, value []byte, base quetzalhook.Version) (quetzalhook.Version, error) {
	v, err := s.store.Put(ctx, key, value, base)
	if s.outageNext {
		s.store.SetFaults(memory.Faults{Outage: true})
		s.outageNext = false
	}
	return v, err
}

func (s *script) host(name string) *Journal {
	if s.hosts[name] == nil {
		peer := s.net.Join(quetzalhook.Member{Host: quetzalhook.HostID(name)}, &memory.Gate{})
		s.hosts[name] = New(quetzalhook.HostID(name), 1, scriptedStore{s.store, s},
			quetzalhook.ClockFunc(time.Now), peer, s.inv, WithShards(1), WithRetention(time.Hour))
	}
	return s.hosts[name]
}

// scriptedStore is a store whose Put calls script.put.
type scriptedStore struct {
	quetzalhook.Store
	script *script
}

func (o scriptedStore) Put(ctx context.Context, key string, value []byte, base quetzalhook.Version) (quetzalhook.Version, error) {
	return o.script.put(ctx, key, value, base)
}

func (s *script) run(args []string) string {
	ctx := context.Background()
	j := s.host(args[0])
	switch args[1] {
	case "claim": // KEY BODY
		r, err := j.Claim(ctx, Call{Customer: "c", Route: "r", Key: args[2], Fingerprint: Fingerprint([]byte(args[3]))})
		var e *Error
		if errors.As(err, &e) {
			return fmt.Sprintf("error %s %s", e.Kind, e.Outcome)
		}
		if r.Kind == Claimed {
			s.claims[args[2]] = r.Claim
		}
		return fmt.Sprintf("%s %.20s", r.Kind, r.Response)
	case "finish": // KEY RESPONSE REPEAT
		var n int
		_, _ = fmt.Sscan(args[4], &n)
		return fmt.Sprint(j.Finish(ctx, s.claims[args[2]], bytes.Repeat([]byte(args[3]), n)))
	case "release":
		return fmt.Sprint(j.Release(ctx, s.claims[args[2]]))
	case "sleep":
		d, _ := time.ParseDuration(args[2])
		time.Sleep(d)
	case "age": // HOURS, with a write in each epoch
		var hours int
		_, _ = fmt.Sscan(args[2], &hours)
		for i := range hours * epochsPerRetention {
			_, _ = j.Claim(ctx, Call{Key: fmt.Sprint("age-", i, time.Now())})
			time.Sleep(time.Hour / epochsPerRetention)
		}
	case "compact":
		return fmt.Sprint(j.Compact(ctx))
	case "objects":
		list, _ := s.store.List(ctx, "journal/response/")
		return fmt.Sprint(len(list.Objects), " responses")
	case "lose":
		s.store.SetFaults(memory.Faults{LoseAnswers: 1})
	case "late":
		s.store.SetFaults(memory.Faults{LateChanges: 1, LateBy: time.Second})
	case "outage":
		s.store.SetFaults(memory.Faults{Outage: true})
	case "outage-after-change":
		s.outageNext = true
	case "return": // the store comes back from an empty copy
		s.store.Return(memory.New().Copy())
	case "heal":
		s.store.SetFaults(memory.Faults{})
	case "cut":
		s.net.Cut(quetzalhook.HostID(args[0]), quetzalhook.HostID(args[2]), true)
	case "rejoin":
		s.net.Cut(quetzalhook.HostID(args[0]), quetzalhook.HostID(args[2]), false)
	case "lose-calls":
		s.net.LoseAnswers(1)
	}
	return "ok"
}

// Guards against a second execution of a call, an outcome of not-run for a
// claim that may be in the store, a wrong replay, and entries that are removed
// before their retention has passed or without an outcome.
func TestScripts(t *testing.T) {
	datadriven.RunTest(t, "testdata/journal.txt", func(t *testing.T, d *datadriven.TestData) string {
		var out strings.Builder
		synctest.Test(t, func(*testing.T) {
			s := &script{
				store: memory.New(), net: memory.NewNetwork(), inv: invariant.New(nil),
				hosts: make(map[string]*Journal), claims: make(map[string]Claim),
			}
			if d.Cmd == "play-eras" {
				s.store = memory.New(memory.WithEras())
			}
			for _, h := range []string{"a", "b"} {
				s.host(h)
			}
			for line := range strings.Lines(d.Input) {
				start := time.Now()
				result := s.run(strings.Fields(line))
				fmt.Fprintf(&out, "%s: %s (%v)\n", strings.TrimSpace(line), result, time.Since(start).Round(time.Millisecond))
			}
			for _, j := range s.hosts {
				_ = j.Close()
			}
			time.Sleep(time.Minute) // wait for late changes
			fmt.Fprintf(&out, "violations: %d\n", s.inv.Violations())
		})
		return out.String()
	})
}
