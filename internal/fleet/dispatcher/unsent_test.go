package dispatcher

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"

	"quetzalhook"
	"quetzalhook/internal/traffic/reach"
)

// Guards against attempts that were never sent and use up the retry budget, against
// attempts without a bound, and against sent ones that the budget does not count.
func TestRetryBudgetOfUnsentAttempts(t *testing.T) {
	for _, c := range []struct {
		name     string
		end      quetzalhook.AttemptEnd
		attempts int
		refusal  quetzalhook.RefuseKind
		left     int // of a budget of 2
	}{
		{"never sent", quetzalhook.AttemptEnd{End: quetzalhook.EndNotSent, Unsent: true}, maxUnsent, quetzalhook.RefuseNoUpstream, 2},
		{"refused", quetzalhook.AttemptEnd{End: quetzalhook.EndNotSent, Verdict: quetzalhook.Verdict{NotRun: true}}, 3, quetzalhook.RefuseRetryBudget, 0},
	} {
		synctest.Test(t, func(t *testing.T) {
			budget := &fixedBudget{left: 2}
			cluster := newTestCluster(t, func(s *Settings) { s.Budget = budget })
			defer cluster.close()
			cluster.engines(12, 4)
			ticket := cluster.submit("h1", "r", time.Minute)
			defer ticket.Close()
			attempts := 0
			var refusal *quetzalhook.Refusal
			for refusal == nil {
				if _, err := ticket.Next(context.Background()); err != nil {
					if !errors.As(err, &refusal) {
						t.Fatal(err)
					}
					break
				}
				attempts++
				ticket.End(c.end)
			}
			if attempts != c.attempts || refusal.Kind != c.refusal {
				t.Errorf("%s: got %d attempts and %s, want %d and %s", c.name, attempts, refusal.Kind, c.attempts, c.refusal)
			}
			if got := max(budget.left, 0); got != c.left {
				t.Errorf("%s: left of the budget: got %d, want %d", c.name, got, c.left)
			}
		})
	}
}

// Guards against a budget that keeps the retry of a request whose first attempt was sent,
// while the retry was not.
func TestUnsentRetryIsReturned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := &fixedBudget{left: 1}
		cluster := newTestCluster(t, func(s *Settings) { s.Budget = budget })
		defer cluster.close()
		cluster.engines(12, 4)
		ticket := cluster.submit("h1", "r", time.Minute)
		defer ticket.Close()
		for i, end := range []quetzalhook.AttemptEnd{
			{End: quetzalhook.EndNotSent, Verdict: quetzalhook.Verdict{NotRun: true}},
			{End: quetzalhook.EndNotSent, Unsent: true},
			{End: quetzalhook.EndNotSent, Unsent: true},
			{End: quetzalhook.EndFinished},
		} {
			if _, err := ticket.Next(context.Background()); err != nil {
				t.Fatalf("attempt %d: %v", i, err)
			}
			ticket.End(end)
		}
		if got, want := budget.left, 0; got != want {
			t.Errorf("left of the budget: got %d, want %d", got, want)
		}
	})
}

// Guards against a leader that does not learn why an attempt has failed.
func TestEndReachesLeader(t *testing.T) {
	want := quetzalhook.AttemptEnd{End: quetzalhook.EndNotSent, Lost: true, Unsent: true, NoPath: true}
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t)
		defer c.close()
		c.engines(1, 4)
		ticket := c.submit("h1", "r", time.Minute)
		defer ticket.Close()
		if _, err := ticket.Next(context.Background()); err != nil {
			t.Fatal(err)
		}
		ticket.End(want)
		d := c.hosts["h1"]
		d.mu.Lock()
		defer d.mu.Unlock()
		for _, e := range d.events[0] {
			data, err := cbor.Marshal(e)
			if err != nil {
				t.Fatal(err)
			}
			var got event
			if err := cbor.Unmarshal(data, &got); err != nil || got.end() != want {
				t.Errorf("got %+v, %v, want %+v", got.end(), err, want)
			}
		}
		if len(d.events[0]) == 0 {
			t.Error("no event")
		}
	})
}

// Guards against requests of a host that the leader goes on placing at an engine which the
// host does not reach, against other hosts that avoid it, and against a host that avoids it
// for ever.
func TestUnreachedEngineIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := reach.New()
		c := newTestCluster(t, func(s *Settings) {
			if s.Host == "h1" {
				s.Reach = tracker
			}
		})
		defer c.close()
		c.engines(2, 64)
		placed := func(host string) (ids []quetzalhook.UpstreamID) {
			for i := range 8 {
				ticket := c.submit(host, host+strconv.Itoa(i)+time.Now().String(), time.Second)
				defer ticket.Close()
				a, err := ticket.Next(context.Background())
				if err != nil {
					t.Fatal(err)
				}
				if !slices.Contains(ids, a.Upstream.ID) {
					ids = append(ids, a.Upstream.ID)
				}
			}
			slices.Sort(ids)
			return ids
		}
		tracker.Failed(time.Now(), "e0", 0)
		if got := placed("h1"); slices.Contains(got, "e0") {
			t.Errorf("h1: got %v, want no e0", got)
		}
		if got := placed("h2"); !slices.Contains(got, "e0") {
			t.Errorf("h2: got %v, want e0 too", got)
		}
		time.Sleep(5 * time.Second)
		if got := placed("h1"); !slices.Contains(got, "e0") {
			t.Errorf("h1, later: got %v, want e0 too", got)
		}
	})
}
