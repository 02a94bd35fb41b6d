package node

import (
	"testing"
	"time"
)

// Guards against a fleet whose reads of the list of upstreams use up the
// platform's rate: an upper bound of 5 s let 2,800 hosts make 560 reads/s.
func TestPlatformReadsAreBounded(t *testing.T) {
	const limit = 200.0 // reads/s of the whole fleet
	for _, hosts := range []int{1, 8, 200, 1000, 2800} {
		if got := float64(hosts) / platformWait(hosts).Seconds(); got > limit {
			t.Errorf("%d hosts: got %.0f reads/s, want at most %.0f", hosts, got, limit)
		}
	}
	if got, want := platformWait(8), time.Second; got != want {
		t.Errorf("8 hosts: got %s, want %s", got, want)
	}
}
