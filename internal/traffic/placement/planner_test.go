package placement

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"quetzalhook"
	"quetzalhook/internal/state/invariant"
)

var start = time.Unix(1_000_000, 0)

// TestMain fixes the seed; the flags -rapid.seed and -rapid.checks set another
// seed and number of cases.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

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

// TestPlaceUsesOwnSlotsOnly guards against a planner that sends more to an
// upstream than the host's slots, or that loses slots when requests end.
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
		t.Fatalf("all slots in use: got %s, want none", u)
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

// TestLeavingGetsNoWork guards against requests sent to an upstream that leaves
// according to its load report or to the list of upstreams, and against an
// invariant check that does not count them.
func TestLeavingGetsNoWork(t *testing.T) {
	checks := invariant.New(nil)
	p := New(WithSeed(1), WithInvariants(checks))
	list := engines(2)
	p.SetUpstreams(start, list)
	p.ObserveLoad(start, quetzalhook.Load{Upstream: list[0].ID, Leaving: true})
	if u, ok := p.Place(start, request(1)); !ok || u != list[1].ID {
		t.Errorf("one leaves according to its report: got %q, want %s", u, list[1].ID)
	}
	list[1].State = quetzalhook.UpstreamLeaving
	p.SetUpstreams(start, list)
	if u, ok := p.Place(start, request(2)); ok {
		t.Errorf("both leave: got %s, want none", u)
	}
	if got := p.Unfit(start); len(got) != 2 {
		t.Errorf("unfit: got %v, want both", got)
	}
	p.Started(start, request(3), list[1].ID)
	if got := checks.Violations(); got != 1 {
		t.Errorf("start on a leaving upstream: got %d violations, want 1", got)
	}
}

// TestNoHerdAfterLaggingReport guards against hosts that all send their next
// requests to the one upstream that is idle according to an old load report.
func TestNoHerdAfterLaggingReport(t *testing.T) {
	const hosts, requests = 6, 40
	for name, tc := range map[string]struct {
		strategy Strategy
		herds    bool
	}{"shares": {SlotShares, false}, "least-loaded": {LeastLoaded, true}} {
		perUpstream := map[quetzalhook.UpstreamID]int{}
		for h := range hosts {
			p := New(WithHost(hostID(h)), WithHosts(hosts), WithSeed(uint64(h)), WithStrategy(tc.strategy))
			list := engines(18)
			p.SetUpstreams(start, list)
			for i, u := range list {
				p.ObserveLoad(start, quetzalhook.Load{Upstream: u.ID, Running: 14 * min(i, 1), Age: 2 * time.Second})
			}
			p.ObservePeers(start, idlePeers(hosts, h))
			for i := range requests {
				if u, ok := p.Place(start, request(100*h+i)); ok {
					p.Started(start, request(100*h+i), u)
					perUpstream[u]++
				}
			}
		}
		most := 0
		for _, n := range perUpstream {
			most = max(most, n)
		}
		if herds := most > 16; herds != tc.herds {
			t.Errorf("%s: got %d requests of all hosts on an upstream of 16 slots, want herding %v", name, most, tc.herds)
		}
	}
}

func hostID(i int) quetzalhook.HostID { return quetzalhook.HostID(fmt.Sprintf("host-%d", i)) }

func idlePeers(hosts, self int) []quetzalhook.PeerDemand {
	var peers []quetzalhook.PeerDemand
	for h := range hosts {
		if h != self {
			peers = append(peers, quetzalhook.PeerDemand{Host: hostID(h)})
		}
	}
	return peers
}

// TestUnusedShareGoesToOthers guards against idle slots while another host has
// work, and against slots of a failed host that no other host takes over.
func TestUnusedShareGoesToOthers(t *testing.T) {
	p := New(WithHost(hostID(0)), WithHosts(6), WithSeed(1))
	p.SetUpstreams(start, engines(18))
	peers := idlePeers(6, 0)
	for i := range peers {
		peers[i].Demand.Requests[2] = 48 // an equal share of the 288 slots
	}
	own := quetzalhook.Demand{}
	own.Requests[2] = 200
	now := start
	slots := func() int {
		for range 4 {
			now = now.Add(250 * time.Millisecond)
			p.ObserveDemand(now, own)
			p.ObservePeers(now, peers)
		}
		total, _ := p.Slots(now, "small")
		return total
	}
	if got := slots(); got < 46 || got > 50 {
		t.Errorf("all hosts busy: got %d slots, want about an equal share of 48", got)
	}
	peers[0].Demand.Requests[2] = 0
	if got := slots(); got < 90 || got > 102 {
		t.Errorf("one host idle: got %d slots, want about 96", got)
	}
	peers[1].Age = peerTimeout + 1
	if got := slots(); got < 138 || got > 150 {
		t.Errorf("one idle, one failed: got %d slots, want about 144", got)
	}
}

// TestDemandInTokens guards against a planner that assigns too many slots to a
// peer whose demand is known in tokens only: a few long requests must not count
// as many short ones.
func TestDemandInTokens(t *testing.T) {
	p := New(WithHost(hostID(0)), WithHosts(2), WithSeed(1))
	p.SetUpstreams(start, engines(18))
	own := quetzalhook.Demand{}
	own.Requests[0], own.Requests[2] = 100, 60
	own.Running[0], own.Running[2] = 100*300, 60*9000
	peers := idlePeers(2, 0)
	peers[0].Demand.Running[0], peers[0].Demand.Running[2] = 100*300, 60*9000
	now := start
	for range 100 {
		now = now.Add(250 * time.Millisecond)
		p.ObserveDemand(now, own)
		p.ObservePeers(now, peers)
	}
	if got, _ := p.Slots(now, "small"); got < 138 || got > 150 {
		t.Errorf("two hosts with the same work: got %d of 288 slots, want about 144", got)
	}
}

// TestPrefixCache guards against a planner that ignores cached prompts, or
// still counts them in full after an eviction or a gap in the cache events.
func TestPrefixCache(t *testing.T) {
	p := New(WithSeed(1))
	list := engines(3)
	p.SetUpstreams(start, list)
	r := request(1)
	r.PromptTokens, r.Prefixes, r.PrefixTokens = 8000, []uint64{11, 12, 13}, 2000
	cold := p.FirstToken(start, r, list[2].ID)
	p.ObserveLoad(start, quetzalhook.Load{Upstream: list[2].ID, Prefixes: []uint64{11, 12, 13}})
	if u, _ := p.Place(start, r); u != list[2].ID {
		t.Errorf("place: got %s, want %s with the cached prompt", u, list[2].ID)
	}
	warm := p.FirstToken(start, r, list[2].ID)
	if got := cold - warm; got != 750*time.Millisecond {
		t.Errorf("6000 cached tokens: got %v saved, want 750ms", got)
	}
	p.ObserveLoad(start.Add(1), quetzalhook.Load{Upstream: list[2].ID, Evicted: []uint64{13}, PrefixGap: true})
	if got := cold - p.FirstToken(start, r, list[2].ID); got != 250*time.Millisecond {
		t.Errorf("4000 uncertain tokens: got %v saved, want 250ms", got)
	}
}

// TestUpstreamWithoutReportsIsAvoided guards against requests sent to an upstream
// whose load reports stopped, and against a penalty for every upstream if all
// reports are equally old.
func TestUpstreamWithoutReportsIsAvoided(t *testing.T) {
	p := New(WithSeed(1))
	list := engines(2)
	list[1].Distance = list[0].Distance + 50*time.Millisecond
	p.SetUpstreams(start, list)
	report := func(now time.Time, u int, age time.Duration) {
		p.ObserveLoad(now, quetzalhook.Load{Upstream: list[u].ID, Running: 1, Age: age})
	}
	for u := range list {
		report(start, u, 3*time.Second)
	}
	if u, _ := p.Place(start, request(1)); u != list[0].ID {
		t.Errorf("all reports old: got %s, want the nearer %s", u, list[0].ID)
	}
	now := start.Add(2 * time.Second)
	report(now, 1, 0)
	if u, _ := p.Place(now, request(2)); u != list[1].ID {
		t.Errorf("reports of one stopped: got %s, want %s", u, list[1].ID)
	}
}

// TestPrefixIndexIsBounded guards against an index that grows without limit.
func TestPrefixIndexIsBounded(t *testing.T) {
	x, u := newPrefixIndex(100), &upstream{}
	for i := range uint64(1000) {
		x.add(i, u)
	}
	if got := len(x.entries); got != 100 {
		t.Errorf("entries: got %d, want 100", got)
	}
}

// TestRandom applies random events and compares the lists of free upstreams and
// the slot counts with a recount after each. No rule of the planner may be
// violated.
func TestRandom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rules := invariant.New(nil)
		p := New(WithHost(hostID(0)), WithHosts(3), WithRegion("region-0"), WithRules(ruleCounter{rules}), WithInvariants(rules))
		list := engines(rapid.IntRange(1, 12).Draw(t, "upstreams"))
		now := start
		p.SetUpstreams(now, list)
		running := map[int]bool{}
		for step := range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			u := rapid.IntRange(0, len(list)-1).Draw(t, "upstream")
			switch rapid.IntRange(0, 7).Draw(t, "event") {
			case 0, 1, 2:
				if id, ok := p.Place(now, request(step)); ok {
					p.Started(now, request(step), id)
					running[step] = true
				}
			case 3:
				other := rapid.IntRange(0, step).Draw(t, "other")
				p.Ended(now, request(other).ID, quetzalhook.End(rapid.IntRange(1, 5).Draw(t, "end")))
				delete(running, other)
			case 4:
				list[u].State = quetzalhook.UpstreamState(rapid.IntRange(0, 2).Draw(t, "state"))
				p.SetUpstreams(now, list)
			case 5:
				p.ObserveLoad(now, quetzalhook.Load{Upstream: list[u].ID, Running: 5, Age: time.Second})
			case 6:
				again := rapid.IntRange(0, step).Draw(t, "again")
				if id, ok := p.Place(now, request(again)); ok && running[again] {
					p.Started(now, request(again), id)
				}
			case 7:
				peers := idlePeers(3, 0)
				peers[0].Demand.InFlight = map[quetzalhook.UpstreamID]int{list[u].ID: rapid.IntRange(0, 20).Draw(t, "in flight")}
				peers[1].Demand.Requests[0] = rapid.IntRange(0, 99).Draw(t, "need")
				p.ObservePeers(now, peers)
			}
			checkPools(t, p, len(running))
		}
		if got := rules.Violations(); got > 0 {
			t.Fatalf("violations: got %d, want 0: %v", got, rules.Details())
		}
	})
}

// ruleCounter counts checks of the planner's rules as checks of a named
// invariant.
type ruleCounter struct{ r *invariant.Registry }

func (o ruleCounter) Check(name string, ok bool, details ...any) {
	o.r.Check(invariant.LegalTransition, ok, append(details, "rule", name)...)
}

// checkPools compares the list of free upstreams and the slot counts of the
// pool with a recount.
func checkPools(t *rapid.T, p *Planner, running int) {
	ownInFlight, free, freeSlots := 0, 0, 0
	for _, u := range p.upstreams {
		ownInFlight += u.ownInFlight
		if n := p.slots(u) - u.ownInFlight; n > 0 {
			free++
			freeSlots += n
		}
	}
	for _, u := range p.removed {
		if p.byID[u.ID] == nil {
			ownInFlight += u.ownInFlight
		}
	}
	if ownInFlight != running {
		t.Fatalf("requests in flight: got %d, want %d", ownInFlight, running)
	}
	if pl := p.pools["small"]; pl != nil && (len(pl.free) != free || pl.freeSlots != freeSlots) {
		t.Fatalf("pool: got %d free upstreams, %d slots, want %d, %d", len(pl.free), pl.freeSlots, free, freeSlots)
	}
}
