package dispatcher

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"quetzalhook"
)

// Guards against a leader that its own queue overloads: every waiting request made
// ten calls a second, so that 500 of them took the leader's whole processor, its
// answers came late, and all hosts placed their requests without a common view.
func TestWaitingRequestsCallRarely(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t)
		defer c.close()
		c.engines(1, 1)
		c.submitAndWait("h0", "running", 10*time.Second)
		const waiting = 100
		before := c.hosts["h0"].AssignCalls()
		var wg sync.WaitGroup
		for i := range waiting {
			ticket := c.submit("h1", fmt.Sprintf("w%d", i), 10*time.Second)
			wg.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
				defer cancel()
				_, _ = ticket.Next(ctx)
				ticket.Close()
			})
		}
		wg.Wait()
		// One call that queues the request, and one for each queuedWait of the 4 s.
		if got, want := c.hosts["h0"].AssignCalls()-before, int64(waiting*7); got > want {
			t.Errorf("calls of %d requests that wait for 4 s: got %d, want at most %d", waiting, got, want)
		}
	})
}

// Guards against a stampede: a leader that answers some calls late is slow, not
// failed. A host that places its requests itself instead does not know those of
// the other hosts, and all of them together overload the engines.
func TestSlowLeaderKeepsPlacing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t)
		defer c.close()
		c.engines(2, 4)
		c.submitAndWait("h1", "a", 10*time.Second) // answered at once
		c.change(func() { c.cut["h0"] = true })
		go func() {
			time.Sleep(200 * time.Millisecond) // the first call gets no answer
			c.change(func() { c.cut["h0"] = false })
		}()
		c.submitAndWait("h1", "b", 10*time.Second)
		if got, want := c.hosts["h0"].AssignCalls(), int64(2); got < want {
			t.Errorf("requests of h1 that the slow leader has placed: got %d, want %d", got, want)
		}
	})
}

// Guards against a decision that is lost because it is made after one call of a
// waiting request has returned and before the next one arrives.
func TestDecisionBetweenCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t)
		defer c.close()
		c.engines(1, 1)
		c.submitAndWait("h0", "a", 10*time.Second)
		running := c.tickets["a"]
		c.change(func() { c.delay = 12 * time.Millisecond })
		c.setFaults()
		go func() {
			// The first call arrives after 12 ms and returns after assignWait; the next
			// one arrives 24 ms later.
			time.Sleep(12*time.Millisecond + assignWait + 12*time.Millisecond)
			running.End(quetzalhook.AttemptEnd{End: quetzalhook.EndFinished})
		}()
		start := time.Now()
		c.submitAndWait("h2", "b", 10*time.Second)
		if got, limit := time.Since(start), 12*time.Millisecond+assignWait+50*time.Millisecond; got > limit {
			t.Errorf("wait for a decision made between two calls: got %v, want at most %v", got, limit)
		}
	})
}

// submitAndWait submits a request on a host and fails the test unless it is placed.
func (c *testCluster) submitAndWait(host, id string, callerTimeout time.Duration) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	if _, err := c.submit(host, id, callerTimeout).Next(ctx); err != nil {
		c.t.Fatalf("request %s on %s: got %v, want it placed", id, host, err)
	}
}
