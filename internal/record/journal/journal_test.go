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

// script runs the commands of one scenario on named hosts.
type script struct {
	store  *memory.Store
	net    *memory.Network
	inv    *invariant.Registry
	hosts  map[string]*Journal
	claims map[string]Claim
	down   bool // an outage begins after the next change
}

// put makes a change and then starts the outage that the script asked for.
func (s *script) put(ctx context.Context, key string, value []byte, base quetzalhook.Version) (quetzalhook.Version, error) {
	v, err := s.store.Put(ctx, key, value, base)
	if s.down {
		s.store.SetFaults(memory.Faults{Outage: true})
		s.down = false
	}
	return v, err
}

func (s *script) host(name string) *Journal {
	if s.hosts[name] == nil {
		peer := s.net.Join(quetzalhook.Member{Host: quetzalhook.HostID(name)}, &memory.Gate{})
		s.hosts[name] = New(quetzalhook.HostID(name), 1, overridden{s.store, s},
			quetzalhook.ClockFunc(time.Now), peer, s.inv, WithShards(1), WithRetention(time.Hour))
	}
	return s.hosts[name]
}

// overridden is a store whose changes go through another one.
type overridden struct {
	quetzalhook.Store
	script *script
}

func (o overridden) Put(ctx context.Context, key string, value []byte, base quetzalhook.Version) (quetzalhook.Version, error) {
	return o.script.put(ctx, key, value, base)
}

func (s *script) run(f []string) string {
	ctx := context.Background()
	j := s.host(f[0])
	switch f[1] {
	case "claim": // KEY BODY
		r, err := j.Claim(ctx, Call{Customer: "c", Route: "r", Key: f[2], Fingerprint: Fingerprint([]byte(f[3]))})
		var e *Error
		if errors.As(err, &e) {
			return fmt.Sprintf("error %s %s", e.Kind, e.Outcome)
		}
		if r.Kind == Claimed {
			s.claims[f[2]] = r.Claim
		}
		return fmt.Sprintf("%s %.20s", r.Kind, r.Response)
	case "finish": // KEY RESPONSE REPEAT
		var n int
		_, _ = fmt.Sscan(f[4], &n)
		return fmt.Sprint(j.Finish(ctx, s.claims[f[2]], bytes.Repeat([]byte(f[3]), n)))
	case "release":
		return fmt.Sprint(j.Release(ctx, s.claims[f[2]]))
	case "sleep":
		d, _ := time.ParseDuration(f[2])
		time.Sleep(d)
	case "age": // HOURS, with a write in each epoch
		var hours int
		_, _ = fmt.Sscan(f[2], &hours)
		for i := range hours * retentionParts {
			_, _ = j.Claim(ctx, Call{Key: fmt.Sprint("age-", i, time.Now())})
			time.Sleep(time.Hour / retentionParts)
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
		s.down = true
	case "heal":
		s.store.SetFaults(memory.Faults{})
	case "cut":
		s.net.Cut(quetzalhook.HostID(f[0]), quetzalhook.HostID(f[2]), true)
	case "lose-calls":
		s.net.LoseAnswers(1)
	}
	return "ok"
}

// Guards against a second run of a key, a refusal that says not-run for a
// claim that may be in the store, a wrong replay, and entries that leave
// before their retention or without an outcome.
func TestScripts(t *testing.T) {
	datadriven.RunTest(t, "testdata/journal.txt", func(t *testing.T, d *datadriven.TestData) string {
		var out strings.Builder
		synctest.Test(t, func(*testing.T) {
			s := &script{
				store: memory.New(), net: memory.NewNetwork(), inv: invariant.New(nil),
				hosts: make(map[string]*Journal), claims: make(map[string]Claim),
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
			time.Sleep(time.Minute) // late changes end
			fmt.Fprintf(&out, "violations: %d\n", s.inv.Violations())
		})
		return out.String()
	})
}
