package member

import (
	"testing"
	"time"
)

// Guards against a host that hears others again after a short cut and takes the version of
// the splits from before the cut for the newest.
func TestHeartbeatAfterCutTellsSplitVersion(t *testing.T) {
	for cut := heartbeatInterval; cut <= 2*time.Second; cut += heartbeatInterval {
		sim := newSimulation(t, 6, 2, address(0))
		version := int64(1 << 16)
		sim.report = func(int) Report { return Report{SplitVersion: version} }
		sim.list()
		sim.run(5 * time.Second)
		alone := sim.hosts[address(3)]
		sim.drops = func(from, to *gossip) bool { return from == alone || to == alone }
		version = 2 << 16
		sim.run(cut)
		sim.drops = func(_, _ *gossip) bool { return false }
		sim.run(heartbeatInterval)
		for _, m := range alone.members(sim.now) {
			if m.Silent <= heartbeatInterval && m.SplitVersion != version {
				t.Errorf("after %v: version of %s, silent for %v: got %d, want %d", cut, m.Host, m.Silent, m.SplitVersion, version)
			}
		}
	}
}
