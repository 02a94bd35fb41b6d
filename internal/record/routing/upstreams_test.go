package routing

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"quetzalhook"
	"quetzalhook/internal/fleet/peer"
	"quetzalhook/internal/platform/memory"
	"quetzalhook/internal/state/invariant"
)

// Guards against a cost per changed upstream that grows with the number of
// upstreams: when 1,000 upstreams changed at once, hosts spent seconds rebuilding
// lists and learned of removals 4 s late.
func TestCostOfChange(t *testing.T) {
	const upstreams, changes, limit = 3000, 100, 20_000 // limit in allocated bytes per change
	clock := quetzalhook.ClockFunc(time.Now)
	f := New("h", memory.New(), peer.NewNetwork(clock, 1).Endpoint("h"), testSource, clock, discardLogger(), invariant.New(nil))
	change := func(i int, state string, version int) {
		f.applyUpstreams(nil, &quetzalhook.Object{
			Key: fmt.Sprintf("servers/i%d", i), Value: []byte(state), Version: quetzalhook.Version(version),
		})
	}
	for i := range upstreams {
		change(i, "ready", i+1)
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for i := range changes {
		change(i, "leaving", upstreams+i+1)
	}
	runtime.ReadMemStats(&after)
	if got := (after.TotalAlloc - before.TotalAlloc) / changes; got > limit {
		t.Errorf("bytes allocated per change: got %d, want at most %d", got, limit)
	}
	leaving := 0
	for _, u := range f.Upstreams() {
		if u.State == quetzalhook.UpstreamLeaving {
			leaving++
		}
	}
	if got, want := leaving, changes; got != want {
		t.Errorf("leaving upstreams: got %d, want %d", got, want)
	}
}
