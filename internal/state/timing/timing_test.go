package timing

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a wait that outlives its context, and against one that does
// not tell that the context has ended.
func TestSleep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begin := time.Now()
		if got, want := Sleep(t.Context(), time.Second), true; got != want {
			t.Errorf("open context: got %v, want %v", got, want)
		}
		if got, want := time.Since(begin), time.Second; got != want {
			t.Errorf("waited: got %v, want %v", got, want)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		begin = time.Now()
		if got, want := Sleep(ctx, time.Minute), false; got != want {
			t.Errorf("ended context: got %v, want %v", got, want)
		}
		if got, want := time.Since(begin), time.Second; got != want {
			t.Errorf("waited: got %v, want %v", got, want)
		}
		if got, want := Sleep(ctx, 0), false; got != want {
			t.Errorf("no wait with an ended context: got %v, want %v", got, want)
		}
	})
}

// Guards against calls that go on after the context has ended.
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
