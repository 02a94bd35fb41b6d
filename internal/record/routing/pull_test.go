package routing

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"

	"quetzalhook"
	"quetzalhook/internal/fleet/peer"
	"quetzalhook/internal/platform/memory"
	"quetzalhook/internal/state/invariant"
)

// Guards against answers that are too large for a small host to send to its cell
// in time: eleven hosts that pull at once after a list, over a link of 10 Mbit/s,
// must receive 150 upstreams within the timeout of their call.
func TestSizeOfPull(t *testing.T) {
	const limit = 10_000_000 / 8 * 4 / 10 / 11 // bytes of one answer
	clock := quetzalhook.ClockFunc(time.Now)
	f := New("h", memory.New(), peer.NewNetwork(clock, 1).Endpoint("h"), testSource, clock, discardLogger(), invariant.New(nil))
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
			t.Errorf("answer to a host at version %d: got %d bytes, want at most %d", complete, got, limit)
		}
	}
}

// Guards against hosts that never learn of a change, because each call to a slow
// host times out just before its answer arrives. Changes must be pulled within
// 3 s from a host with a network delay of 300 ms.
func TestSlowPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.close()
		f.runCommand("table 1")
		f.runCommand("wait 2s")
		f.runCommand("store closed h1 h2 h3 h4")
		f.runCommand("wait 3s")
		f.network.SetFaults(peer.NetworkFaults{Delay: 300 * time.Millisecond})
		f.runCommand("table 2")
		f.runCommand("wait 3s")
		if got, want := f.state(), "h0 h1 h2 h3 h4: table 2, upstreams []\n"; got != want {
			t.Errorf("state: got %s, want %s", got, want)
		}
	})
}

// Guards against a full answer that removes upstreams listed only by their ID in
// Unchanged, and against one that keeps an upstream which it does not list.
func TestFullPull(t *testing.T) {
	clock := quetzalhook.ClockFunc(time.Now)
	network := peer.NewNetwork(clock, 1)
	from := New("a", memory.New(), network.Endpoint("a"), testSource, clock, discardLogger(), invariant.New(nil))
	to := New("b", memory.New(), network.Endpoint("b"), testSource, clock, discardLogger(), invariant.New(nil))
	add := func(f *Follower, id quetzalhook.UpstreamID, version quetzalhook.Version) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.setUpstream(quetzalhook.Upstream{ID: id, Service: "s"}, version)
		f.markOutdated()
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

// silentPeers never answers the calls to some hosts.
type silentPeers struct {
	quetzalhook.Peers
	silent map[quetzalhook.HostID]bool
}

// Call implements quetzalhook.Peers.
func (p silentPeers) Call(ctx context.Context, host quetzalhook.HostID, kind string, body []byte) ([]byte, error) {
	if p.silent[host] {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return p.Peers.Call(ctx, host, kind, body)
}

// Guards against hosts that were just lost and hold up the pull from one that answers.
func TestLostPeersDoNotHoldUpPulls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.close()
		f.runCommand("table 7")
		f.runCommand("wait 2s")
		endpoint := f.network.Endpoint("late")
		f.network.Join(endpoint, func() quetzalhook.Member { return quetzalhook.Member{} })
		peers := silentPeers{endpoint, make(map[quetzalhook.HostID]bool)}
		late := New("late", memory.New(), peers, testSource, f.clock, discardLogger(), f.inv)
		sources, _ := late.pullSources(false)
		if got, want := len(sources), 5; got != want {
			t.Fatalf("sources: got %d hosts, want %d", got, want)
		}
		peers.silent[sources[0]], peers.silent[sources[1]] = true, true
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		start := time.Now()
		late.wg.Go(func() { newPuller(late).run(ctx) })
		for table, _ := late.Table(); table == nil; table, _ = late.Table() {
			time.Sleep(time.Millisecond)
			if time.Since(start) > time.Minute {
				t.Fatal("pull: got no answer, want the one of the third host")
			}
		}
		// The first host is asked after checkInterval.
		if got, want := time.Since(start)-checkInterval, 500*time.Millisecond; got > want {
			t.Errorf("pull beside two lost hosts: got %v, want at most %v", got, want)
		}
		if table, _ := late.Table(); table == nil || table.Version != 7 {
			t.Errorf("table: got %v, want version 7", table)
		}
		cancel()
		late.wg.Wait()
	})
}

// Guards against a host that keeps an old table because no other host answers it, although
// the store does.
func TestTableReadFromStoreBesideSilentPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.close()
		f.runCommand("table 7")
		f.runCommand("wait 2s")
		endpoint := f.network.Endpoint("late")
		f.network.Join(endpoint, func() quetzalhook.Member { return quetzalhook.Member{} })
		peers := silentPeers{endpoint, map[quetzalhook.HostID]bool{"h0": true, "h1": true, "h2": true, "h3": true, "h4": true}}
		late := New("late", f.store, peers, testSource, f.clock, discardLogger(), f.inv)
		ctx, cancel := context.WithCancel(t.Context())
		late.wg.Go(func() { newPuller(late).run(ctx) })
		time.Sleep(2500 * time.Millisecond)
		if table, _ := late.Table(); table == nil || table.Version != 7 {
			t.Errorf("table: got %v, want version 7", table)
		}
		cancel()
		late.wg.Wait()
	})
}

// Guards against pulls without end of a version that is announced and that no answer carries.
func TestPullsEndWithoutChange(t *testing.T) {
	for _, test := range []struct{ name, command string }{
		{"table-stored-again", "table 7"},
		{"other-object-stored", "evacuate z"},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t)
				defer f.close()
				for _, command := range []string{"table 7", "wait 2s", test.command, "wait 1s", "start h9", "wait 1s"} {
					f.runCommand(command)
				}
				before := f.answeredPulls()
				time.Sleep(10 * time.Second)
				if got := f.answeredPulls() - before; got > 0 {
					t.Errorf("pulls in 10s without a change: got %d, want 0", got)
				}
			})
		})
	}
}

// Guards against hosts that send heartbeats but answer no call, and hold up the pull of a
// host that the store rejects.
func TestSilentCallsDoNotHoldUpPulls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.close()
		f.runCommand("table 7")
		f.runCommand("wait 2s")
		endpoint := f.network.Endpoint("late")
		f.network.Join(endpoint, func() quetzalhook.Member { return quetzalhook.Member{} })
		peers := silentPeers{endpoint, make(map[quetzalhook.HostID]bool)}
		g := &gate{Store: f.store}
		g.closed.Store(true)
		late := New("late", gatedStore{g}, peers, testSource, f.clock, discardLogger(), f.inv)
		sources, _ := late.pullSources(false)
		for _, h := range sources[:4] {
			peers.silent[h] = true
		}
		ctx, cancel := context.WithCancel(t.Context())
		late.wg.Go(func() { newPuller(late).run(ctx) })
		time.Sleep(2500 * time.Millisecond)
		if table, _ := late.Table(); table == nil || table.Version != 7 {
			t.Errorf("table: got %v, want version 7", table)
		}
		cancel()
		late.wg.Wait()
	})
}

// restartedPeers answer no call until they have restarted, with another incarnation.
type restartedPeers struct {
	quetzalhook.Peers
	restarted atomic.Bool
}

// Call implements quetzalhook.Peers.
func (p *restartedPeers) Call(ctx context.Context, host quetzalhook.HostID, kind string, body []byte) ([]byte, error) {
	if !p.restarted.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return p.Peers.Call(ctx, host, kind, body)
}

// Members implements quetzalhook.Peers.
func (p *restartedPeers) Members() []quetzalhook.Member {
	list := p.Peers.Members()
	for i := range list {
		if p.restarted.Load() {
			list[i].Incarnation++
		}
	}
	return list
}

// Guards against calls that wait for a process which has been replaced.
func TestPullsFromRestartedHostsAreRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.close()
		f.runCommand("table 7")
		f.runCommand("wait 2s")
		endpoint := f.network.Endpoint("late")
		f.network.Join(endpoint, func() quetzalhook.Member { return quetzalhook.Member{} })
		peers := &restartedPeers{Peers: endpoint}
		late := New("late", memory.New(), peers, testSource, f.clock, discardLogger(), f.inv)
		ctx, cancel := context.WithCancel(t.Context())
		late.wg.Go(func() { newPuller(late).run(ctx) })
		time.Sleep(2 * time.Second)
		peers.restarted.Store(true)
		time.Sleep(500 * time.Millisecond)
		if table, _ := late.Table(); table == nil || table.Version != 7 {
			t.Errorf("table: got %v, want version 7", table)
		}
		cancel()
		late.wg.Wait()
	})
}
