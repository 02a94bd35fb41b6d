package routing

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"

	"quetzalhook"
	"quetzalhook/internal/fleet/peer"
	"quetzalhook/internal/platform/memory"
	"quetzalhook/internal/state/invariant"
)

// Guards against an answer that a small host cannot send to its cell in time:
// eleven hosts that ask at once for the changes after a list, over a link of
// 10 Mbit/s, must have 150 upstreams within the timeout of their call.
func TestSizeOfPull(t *testing.T) {
	const limit = 10_000_000 / 8 * 4 / 10 / 11 // bytes of one answer
	clock := quetzalhook.ClockFunc(time.Now)
	f := New("h", memory.New(), peer.NewNetwork(clock, 1).Endpoint("h"), testSource, clock, quiet(), invariant.New(nil))
	f.mu.Lock()
	for i := range 150 {
		id := quetzalhook.UpstreamID(fmt.Sprintf("i-%010x", i))
		f.entries[id] = &entry{version: quetzalhook.Version(1000 + i), upstream: quetzalhook.Upstream{
			ID: id, Service: "model-pool", Address: "10.1.100.100:8080", Zone: "hawassa-b", Region: "hawassa", Models: []quetzalhook.Model{"m"},
			Slots: 48, Started: 1764835200000, Cheap: true,
		}}
	}
	f.complete, f.purged = 2000, 2000
	f.mu.Unlock()
	for _, complete := range []quetzalhook.Version{0, 1140} {
		body, err := cbor.Marshal(pullRequest{Complete: complete})
		if err != nil {
			t.Fatal(err)
		}
		answer, err := f.handlePull(t.Context(), "other", body)
		if err != nil {
			t.Fatal(err)
		}
		if got := len(answer); got > limit {
			t.Errorf("answer to a host at %d: got %d bytes, want at most %d", complete, got, limit)
		}
	}
}

// Guards against hosts that give up each call to a slow host just before its
// answer arrives, and so never learn of a change: a host 300 ms away must be
// heard within 3 s.
func TestSlowPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.close()
		f.run("table 1")
		f.run("wait 2s")
		f.run("store closed h1 h2 h3 h4")
		f.run("wait 3s")
		f.network.SetFaults(peer.NetworkFaults{Delay: 300 * time.Millisecond})
		f.run("table 2")
		f.run("wait 3s")
		if got, want := f.state(), "h0 h1 h2 h3 h4: table 2, upstreams []\n"; got != want {
			t.Errorf("state: got %s, want %s", got, want)
		}
	})
}

// Guards against a full list that removes the upstreams which it names only,
// and against one that keeps an upstream which it does not name.
// Guards against a full list that removes the upstreams which it names only,
// and against one that keeps an upstream which it does not name.
func TestFullPull(t *testing.T) {
	clock := quetzalhook.ClockFunc(time.Now)
	network := peer.NewNetwork(clock, 1)
	from := New("a", memory.New(), network.Endpoint("a"), testSource, clock, quiet(), invariant.New(nil))
	to := New("b", memory.New(), network.Endpoint("b"), testSource, clock, quiet(), invariant.New(nil))
	add := func(f *Follower, id quetzalhook.UpstreamID, version quetzalhook.Version) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.set(quetzalhook.Upstream{ID: id, Service: "s"}, version)
		f.publish()
	}
	add(from, "kept", 5)
	add(from, "new", 30)
	add(to, "kept", 5)
	add(to, "gone", 6)
	from.complete, from.purged, to.complete = 40, 20, 10
	body, err := cbor.Marshal(pullRequest{Complete: 10})
	if err != nil {
		t.Fatal(err)
	}
	reply, err := from.handlePull(t.Context(), "b", body)
	if err != nil {
		t.Fatal(err)
	}
	var answer pullAnswer
	if err := cbor.Unmarshal(reply, &answer); err != nil {
		t.Fatal(err)
	}
	to.merge(answer)
	var got []quetzalhook.UpstreamID
	for _, u := range to.Upstreams() {
		got = append(got, u.ID)
	}
	if want := "[kept new]"; fmt.Sprint(got) != want {
		t.Errorf("upstreams: got %v, want %s", got, want)
	}
}
