package routing

import (
	"fmt"
	"testing"
	"time"

	"quetzalhook"
	"quetzalhook/internal/fleet/peer"
	"quetzalhook/internal/platform/memory"
	"quetzalhook/internal/state/invariant"
)

// Guards against a host that learns of no change after a return of the store, since the hosts that
// watch are of an older build, whose versions have no era.
func TestWatchersOfOlderBuild(t *testing.T) {
	clock := quetzalhook.ClockFunc(time.Now)
	network := peer.NewNetwork(clock, 1)
	endpoint := network.Endpoint("new")
	f := New("new", memory.New(), endpoint, testSource, clock, discardLogger(), invariant.New(nil))
	network.Join(endpoint, func() quetzalhook.Member { return quetzalhook.Member{} })
	for i := range 20 {
		network.Join(network.Endpoint(quetzalhook.HostID(fmt.Sprintf("old%d", i))), func() quetzalhook.Member {
			return quetzalhook.Member{
				Eligible: quetzalhook.RoleStoreWatcher, Active: quetzalhook.RoleStoreWatcher,
				ConfigVersion: 1000, UpstreamVersion: quetzalhook.NewVersion(0, 1000),
			}
		})
	}
	for i, wantSources := range []int{20, 0} {
		era := int64(i + 1)
		f.install(&Table{Version: era}, quetzalhook.NewVersion(era, 800), "store")
		f.applyUpstreams(&listing{Listing: quetzalhook.Listing{Version: quetzalhook.NewVersion(era, 900)}}, nil)
		sources, _ := f.pullSources(false)
		if got, want := f.isWatcher(), wantSources == 0; got != want || len(sources) != wantSources {
			t.Errorf("era %d: got watcher %t and %d sources, want %t and %d", era, got, len(sources), want, wantSources)
		}
	}
}

// Guards against a host that starts after a return of the store, takes what one of an older build
// knows from before for the newest state, and ignores the store.
func TestOlderBuildBesideFirstEra(t *testing.T) {
	clock := quetzalhook.ClockFunc(time.Now)
	network := peer.NewNetwork(clock, 1)
	f := New("new", memory.New(), network.Endpoint("new"), testSource, clock, discardLogger(), invariant.New(nil))
	at := func(revision int64) quetzalhook.Version { return quetzalhook.NewVersion(2, revision) }
	record := quetzalhook.Object{Key: "servers/a", Value: []byte("ready@1"), Version: at(800)}
	f.applyUpstreams(&listing{Listing: quetzalhook.Listing{Version: at(900), Objects: []quetzalhook.Object{record}}}, nil)
	answer := pullAnswer{Complete: 1000, Upstreams: []pulledUpstream{{ID: "a", Version: 1000, Service: "s", Started: 1}}}
	answer.addEras(&f.era)
	f.merge(answer)
	record.Value, record.Version = []byte("leaving@1"), at(950)
	f.applyUpstreams(nil, &record)
	if got := f.Upstreams(); len(got) != 1 || got[0].State != quetzalhook.UpstreamLeaving {
		t.Errorf("got %+v, want a leaving", got)
	}
}
