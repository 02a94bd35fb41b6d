package slope

import (
	"context"
	"testing"
	"time"
)

// Guards against a run whose load is not served and against counters that stay
// at 0.
func TestRun(t *testing.T) {
	rows, err := Run(context.Background(), Settings{
		Hosts: 2, Zones: 2, Upstreams: 4, Customers: 3, Window: 2 * time.Second, Rate: 5, Tokens: 5,
	})
	if err != nil {
		t.Fatal(err)
	}
	if got, want := len(rows), 2; got != want {
		t.Fatalf("rows: got %d, want %d", got, want)
	}
	for _, r := range rows {
		if r.CPU <= 0 || r.Datagrams <= 0 || r.Members != 1 || r.Polls <= 0 || r.PlatformCalls["read upstreams"] <= 0 {
			t.Errorf("%s: got %+v, want processor time, datagrams, polls and calls", r.Phase, r)
		}
	}
	if r := rows[1]; r.Requests < 4 || r.Failed > 0 {
		t.Errorf("load: got %.1f answers/s and %.1f failures/s, want 5 and 0", r.Requests, r.Failed)
	}
}
