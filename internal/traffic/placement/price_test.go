package placement

import "testing"

// Guards against a configured price of traffic between regions that has no
// effect on the choice of an upstream.
func TestTrafficPriceKeepsRequestsLocal(t *testing.T) {
	localFirst := func(price float64) int {
		p := New(WithHost("a"), WithHosts(1), WithRegion("region-0"), WithSeed(1))
		list := engines(2)
		list[1].TrafficPrice = price
		p.SetUpstreams(start, list)
		for i := range list[0].Slots {
			r := request(i)
			u, ok := p.Place(start, r)
			if !ok {
				t.Fatalf("request %d: got no upstream, want one", i)
			}
			if u != list[0].ID {
				return i
			}
			p.Started(start, r, u)
		}
		return list[0].Slots
	}
	cheap, costly := localFirst(0.02), localFirst(20)
	if costly <= cheap {
		t.Errorf("local requests before the first remote one: got %d at a high price, want more than the %d at a low one", costly, cheap)
	}
}
