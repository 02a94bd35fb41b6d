package journal

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"quetzalhook"
	"quetzalhook/internal/platform/memory"
	"quetzalhook/internal/state/invariant"
)

// Guards against a configured retention that does not take effect in a running
// journal, and against keys that are forgotten before it has passed.
func TestSetRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		j := New("a", 1, memory.New(), quetzalhook.ClockFunc(time.Now), nil, invariant.New(nil), WithShards(1))
		defer func() { _ = j.Close() }()
		const period = 48 * time.Second
		j.SetRetention(period)
		j.Start()
		call := Call{Customer: "c", Route: "/orders", Key: "k"}
		claim := func(want ResultKind) Result {
			t.Helper()
			r, err := j.Claim(ctx, call)
			if err != nil || r.Kind != want {
				t.Fatalf("claim: got %q, %v, want %q", r.Kind, err, want)
			}
			return r
		}
		if err := j.Finish(ctx, claim(Claimed).Claim, []byte("done")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(period - time.Second)
		claim(Replay)
		// Epochs advance only with writes, here of other claims.
		for i := range epochsPerRetention + 1 {
			if _, err := j.Claim(ctx, Call{Key: fmt.Sprint("other-", i)}); err != nil {
				t.Fatal(err)
			}
			time.Sleep(period / epochsPerRetention)
		}
		claim(Claimed)
	})
}
