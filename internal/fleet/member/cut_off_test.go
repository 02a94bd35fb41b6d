package member

import (
	"testing"
	"time"
)

// Guards against hosts that do not learn that another one, of their cell or of another,
// reaches no upstreams, or that it does again.
func TestCutOffIsTold(t *testing.T) {
	sim := newSimulation(t, cellFleet, 3)
	sim.list()
	cutOff := true
	sim.report = func(i int) Report { return Report{CutOff: cutOff && i%2 == 0} }
	check := func() {
		for i := range cellFleet {
			own := sim.hosts[address(i)]
			for j := range cellFleet {
				other := sim.hosts[address(j)]
				for _, m := range own.members(sim.now) {
					if m.Host == other.self.Host && m.CutOff != (cutOff && j%2 == 0) {
						t.Fatalf("host %d: host %d is cut off: got %v", i, j, m.CutOff)
					}
				}
			}
		}
	}
	sim.run(15 * time.Second)
	check()
	cutOff = false
	sim.run(15 * time.Second)
	check()
}
