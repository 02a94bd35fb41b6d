package timing

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a sleep that continues after its context has ended, or that does
// not report that it has ended.
func TestSleep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		if got, want := Sleep(t.Context(), time.Second), true; got != want {
			t.Errorf("context that does not end: got %v, want %v", got, want)
		}
		if got, want := time.Since(start), time.Second; got != want {
			t.Errorf("waited: got %v, want %v", got, want)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		start = time.Now()
		if got, want := Sleep(ctx, time.Minute), false; got != want {
			t.Errorf("ended context: got %v, want %v", got, want)
		}
		if got, want := time.Since(start), time.Second; got != want {
			t.Errorf("waited: got %v, want %v", got, want)
		}
		if got, want := Sleep(ctx, 0), false; got != want {
			t.Errorf("zero duration with an ended context: got %v, want %v", got, want)
		}
	})
}

// Guards against calls after the context has ended.
func TestEvery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		calls := 0
		Every(ctx, time.Second, func() {
			if calls++; calls == 3 {
				cancel()
			}
		})
		if got, want := calls, 3; got != want {
			t.Errorf("calls: got %d, want %d", got, want)
		}
	})
}
