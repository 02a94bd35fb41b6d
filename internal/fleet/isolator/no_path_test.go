package isolator

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"quetzalhook"
)

// Guards against parts that are put in quarantine since a host without paths, whose
// connections are refused, takes the engines to have crashed.
func TestNoPathIsNoCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t)
		c.start("a")
		c.start("b")
		defer c.stop("a")
		defer c.stop("b")
		for n := range 6 {
			engine := fmt.Sprint("e", n)
			ticket := c.begin("a", engine, []string{"A", "D"})
			if ticket == nil {
				break
			}
			c.mu.Lock()
			c.crashed[quetzalhook.UpstreamID(engine)] = true // its port is closed to this host
			c.mu.Unlock()
			ticket.End(quetzalhook.AttemptEnd{End: quetzalhook.EndBroken, Lost: true, NoPath: true})
			time.Sleep(time.Second)
		}
		if c.begin("b", "e9", []string{"A", "D"}) == nil {
			t.Errorf("another host refuses the parts: %s", c.out.String())
		}
	})
}

// Guards against an engine crash that is not seen, since the request was forwarded after an
// attempt that had no answer.
func TestCrashOfForwardedRepeat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t)
		c.start("a")
		defer c.stop("a")
		for n := range 6 {
			engine := fmt.Sprint("e", n)
			r := testRequest(engine, []string{"D"})
			r.Repeat = true // as gateway.exchange.request sets it for a hop
			ticket := c.hosts["a"].Submit(t.Context(), r)
			if _, err := ticket.Next(t.Context()); err != nil {
				return
			}
			c.mu.Lock()
			c.crashed[quetzalhook.UpstreamID(engine)] = true
			c.mu.Unlock()
			ticket.End(quetzalhook.AttemptEnd{End: quetzalhook.EndBroken, Lost: true})
			time.Sleep(time.Second)
		}
		t.Error("six crashes, and the part is not in quarantine")
	})
}
