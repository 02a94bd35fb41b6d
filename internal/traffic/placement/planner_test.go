package placement

import (
	"fmt"
	"testing"
	"time"

	"quetzalhook"
)

var start = time.Unix(1_000_000, 0)

func engines(n int) []quetzalhook.Upstream {
	list := make([]quetzalhook.Upstream, n)
	for i := range list {
		region := i % 3
		list[i] = quetzalhook.Upstream{
			ID:     quetzalhook.UpstreamID(fmt.Sprintf("engine-%03d", i)),
			Zone:   quetzalhook.Zone(fmt.Sprintf("zone-%d", region)),
			Region: quetzalhook.Region(fmt.Sprintf("region-%d", region)),
			Models: []quetzalhook.Model{"small"}, Slots: 16, TokenRate: 50, PrefillRate: 8000,
			Distance: time.Duration(1+11*min(region, 1)) * time.Millisecond,
		}
	}
	return list
}

func request(i int) quetzalhook.Request {
	return quetzalhook.Request{
		ID: quetzalhook.RequestID(fmt.Sprintf("request-%d", i)), Model: "small", PromptTokens: 500,
		Class: quetzalhook.NewClass("question", quetzalhook.TierUrgent), Region: "region-0",
		Prefixes: []uint64{1, 2, uint64(i)}, PrefixTokens: 128, Repeatable: true,
	}
}

// Guards against a planner that sends more to an upstream than the host's
// slots, or that loses slots when requests end.
func TestPlaceUsesOwnSlotsOnly(t *testing.T) {
	p := New(WithHost("a"), WithHosts(4), WithRegion("region-0"), WithSeed(1))
	p.SetUpstreams(start, engines(18))
	total, free := p.Slots(start, "small")
	if total != 18*4 || free != total {
		t.Fatalf("slots: got %d, %d, want 72, 72", total, free)
	}
	perUpstream := map[quetzalhook.UpstreamID]int{}
	for i := range total {
		u, ok := p.Place(start, request(i))
		if !ok {
			t.Fatalf("request %d: got no upstream, want one", i)
		}
		p.Started(start, request(i), u)
		perUpstream[u]++
	}
	if u, ok := p.Place(start, request(total)); ok {
		t.Fatalf("full: got %s, want none", u)
	}
	for u, n := range perUpstream {
		if n != 4 {
			t.Errorf("%s: got %d requests, want 4", u, n)
		}
	}
	for i := range total {
		p.Ended(start, request(i).ID, quetzalhook.EndFinished)
	}
	if _, got := p.Slots(start, "small"); got != total {
		t.Errorf("free after the end: got %d, want %d", got, total)
	}
}
