package balance

import (
	"context"
	"errors"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"quetzalhook"
	"quetzalhook/internal/traffic/retry"
)

// Guards against calls that are refused although their callers can wait for the end of
// a pause, and against refusals whose wait callers don't honour.
func TestCallsWhileAllPause(t *testing.T) {
	for _, c := range []struct {
		pause, timeout time.Duration
		want           string
	}{
		{pause: 500 * time.Millisecond, timeout: 3 * time.Second, want: "after 500ms"},
		{pause: 2 * time.Second, timeout: 3 * time.Second, want: "refused, retry after 1s"},
		{pause: 5 * time.Second, timeout: time.Minute, want: "after 5s"},
		{pause: time.Minute, timeout: time.Hour, want: "refused, retry after 10s"},
	} {
		synctest.Test(t, func(t *testing.T) {
			clock := quetzalhook.ClockFunc(time.Now)
			b := New("r", rand.New(rand.NewPCG(1, 1)))
			d := NewDispatcher(b, retry.New(0.2, 10, time.Second, func() int { return 1 }), clock)
			u := quetzalhook.Upstream{ID: "a", Service: "s", Region: "r", Slots: 4}
			d.SetUpstreams([]quetzalhook.Upstream{u})
			b.Answered(clock.Now(), u, quetzalhook.Verdict{NotRun: true, Pause: c.pause})
			begin := clock.Now()
			ticket := d.Submit(t.Context(), quetzalhook.Request{
				ID: "r", Service: "s", CallerTimeout: c.timeout,
				Class: quetzalhook.NewClass("c", 0, quetzalhook.WithTTFTTarget(300*time.Millisecond)),
			})
			defer ticket.Close()
			_, err := ticket.Next(context.Background())
			got := "after " + clock.Now().Sub(begin).String()
			var r *quetzalhook.Refusal
			if errors.As(err, &r) {
				got = "refused, retry after " + r.RetryAfter.String()
			}
			if got != c.want {
				t.Errorf("pause %v, timeout %v: got %s, want %s", c.pause, c.timeout, got, c.want)
			}
		})
	}
}
