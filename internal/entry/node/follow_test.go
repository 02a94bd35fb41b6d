package node

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"quetzalhook"
	"quetzalhook/internal/fleet/member"
)

// Guards against reads of the list of upstreams that exceed the platform's rate limit in
// a large fleet: with an interval of at most 5 s, 2,800 hosts made 560 reads/s.
func TestPlatformReadsAreBounded(t *testing.T) {
	const limit = 200.0 // reads/s of the whole fleet
	for _, hosts := range []int{1, 8, 200, 1000, 2800} {
		if got := float64(hosts) / platformInterval(hosts, 18).Seconds(); got > limit {
			t.Errorf("%d hosts: got %.0f reads/s, want at most %.0f", hosts, got, limit)
		}
	}
	if got, want := platformInterval(8, 21), time.Second; got != want {
		t.Errorf("8 hosts and 21 upstreams: got %s, want %s", got, want)
	}
	const itemBytes, share = 74, 8_000 // bytes per upstream in the list; limit in bytes/s, of 20 KB/s for all control traffic
	for _, upstreams := range []int{21, 700, 10_000} {
		if got := float64(itemBytes*upstreams) / platformInterval(8, upstreams).Seconds(); got > share {
			t.Errorf("%d upstreams: got %.0f bytes/s, want at most %d", upstreams, got, share)
		}
	}
}

// Guards against a host that uses, and therefore polls, every engine of a large fleet,
// and against a selection that excludes services, or engines of a small fleet.
func TestSelectUpstreams(t *testing.T) {
	list := func(engines int) []quetzalhook.Upstream {
		upstreams := []quetzalhook.Upstream{{ID: "desk", Kind: quetzalhook.KindService}}
		for i := range engines {
			upstreams = append(upstreams, quetzalhook.Upstream{ID: quetzalhook.UpstreamID(fmt.Sprint("engine-", i))})
		}
		return upstreams
	}
	owns := func(id quetzalhook.UpstreamID, _ quetzalhook.Zone) bool { return strings.HasSuffix(string(id), "7") }
	for engines, want := range map[int]int{18: 19, allEnginesLimit: allEnginesLimit + 1, 10_000: 1001} {
		if got := len(selectUpstreams(list(engines), owns)); got != want {
			t.Errorf("%d engines: got %d upstreams in use, want %d", engines, got, want)
		}
	}
}

// Guards against a sum of demand that contains only one cell of a large fleet, or
// counts the hosts of other cells twice.
func TestDemandOfAllCells(t *testing.T) {
	requests := func(n int) (d quetzalhook.Demand) {
		d.Requests[0] = n
		return d
	}
	got := sumDemand(requests(1), []quetzalhook.Member{
		{Demand: requests(2)}, {Silent: time.Minute, Demand: requests(4)}, {Distant: true, Demand: requests(8)},
	}, []member.CellSummary{
		{Age: time.Minute, Requests: requests(16).Requests}, {Age: time.Hour, Requests: requests(32).Requests},
	})
	if want := 19.0; got[0] != want {
		t.Errorf("got %g requests, want %g", got[0], want)
	}
}
