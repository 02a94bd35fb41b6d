package dispatcher

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"quetzalhook"
)

// Guards against the late end of an attempt that ends the same request at the host to which
// it was forwarded.
func TestLateEndOfForwardedRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t)
		defer c.close()
		c.engines(2, 4)
		first := c.submit("h1", "r", time.Minute)
		defer first.Close()
		if _, err := first.Next(context.Background()); err != nil {
			t.Fatal(err)
		}
		first.End(quetzalhook.AttemptEnd{End: quetzalhook.EndNotSent, Unsent: true, Lost: true})
		second := c.submit("h2", "r", time.Minute)
		defer second.Close()
		if _, err := second.Next(context.Background()); err != nil {
			t.Fatal(err)
		}
		leader := c.hosts["h0"].groups.scheduler(0)
		check := func(when string) {
			t.Helper()
			leader.mu.Lock()
			defer leader.mu.Unlock()
			if owner, running := leader.owners["r"], leader.scheduler.Running(); owner != "h2" || running != 1 {
				t.Errorf("%s: the leader knows %d running requests, that of %q", when, running, owner)
			}
		}
		check("placed")
		time.Sleep(2 * reportInterval)
		synctest.Wait()
		check("after the report of the first host")
	})
}
