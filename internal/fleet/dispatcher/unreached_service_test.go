package dispatcher

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"quetzalhook"
	"quetzalhook/internal/traffic/reach"
)

// Guards against requests that wait for the end of a bar, and are not forwarded, while their
// host reaches no engine of the service.
func TestUnreachedServiceDoesNotWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := reach.New()
		c := newTestCluster(t, func(s *Settings) {
			if s.Host == "h1" {
				s.Reach = tracker
			}
		})
		defer c.close()
		c.engines(2, 4)
		for range 4 { // several failures in a row
			tracker.Failed(time.Now(), "e0", 0)
			tracker.Failed(time.Now(), "e1", 0)
			time.Sleep(5 * time.Second)
		}
		tracker.Failed(time.Now(), "e0", 0)
		tracker.Failed(time.Now(), "e1", 0)
		for _, timeout := range []time.Duration{2 * time.Second, 10 * time.Second} {
			ticket := c.submit("h1", "r"+timeout.String(), timeout)
			start := time.Now()
			a, err := ticket.Next(context.Background())
			ticket.Close()
			var refusal *quetzalhook.Refusal
			if took := time.Since(start); took > 500*time.Millisecond || !errors.As(err, &refusal) || refusal.Kind != quetzalhook.RefuseUnreached {
				t.Errorf("timeout %v: got %v, %v after %v, want the refusal %s at once", timeout, a.Upstream.ID, err, took, quetzalhook.RefuseUnreached)
			}
		}
	})
}
