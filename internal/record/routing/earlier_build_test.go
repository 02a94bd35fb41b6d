package routing

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"

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

// Guards against hosts of an older build that go on with the state from before a return of the
// store, since revisions are lower after it.
func TestOlderBuildAfterReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleetOf(t, testSource, memory.WithEras())
		defer f.close()
		f.runCommands("table 1|upstream a ready@1|wait 1s|copy")
		for range 15 {
			f.runCommands("upstream b leaving@1|upstream b ready@1")
		}
		f.runCommands("wait 1s")
		lost := f.revision()
		f.runCommands("restore|table 2|upstream a leaving@1|wait 3s")
		if got := f.revision(); got >= lost {
			t.Fatalf("revision without a host of an older build: got %d, want below %d", got, lost)
		}
		old, known := f.network.Endpoint("old"), lost
		f.network.Join(old, func() quetzalhook.Member {
			return quetzalhook.Member{ConfigVersion: known, UpstreamVersion: quetzalhook.NewVersion(0, known)}
		})
		f.runCommands("wait 2s")
		if left, err := f.store.List(t.Context(), raisePrefix); err != nil || len(left.Objects) > 0 {
			t.Errorf("objects left: got %v, %v, want none", left.Objects, err)
		}
		told := 0
		for name, h := range f.hosts {
			table, upstreams := h.Versions()
			if table <= lost || upstreams.Revision() <= lost {
				continue
			}
			told++
			known = max(known, table, upstreams.Revision())
			body, err := cbor.Marshal(pullRequest{Table: 1, Complete: quetzalhook.NewVersion(0, lost)})
			if err != nil {
				t.Fatal(err)
			}
			reply, err := old.Call(t.Context(), quetzalhook.HostID(name), pullKind, body)
			var answer pullAnswer
			if err == nil {
				err = cbor.Unmarshal(reply, &answer)
			}
			if err != nil {
				t.Fatal(err)
			}
			i := slices.IndexFunc(answer.Upstreams, func(p pulledUpstream) bool { return p.ID == "a" })
			if answer.Table == nil || answer.Table.Version != 2 || answer.TableVersion.Revision() <= lost {
				t.Errorf("%s: got table %v of revision %v, want 2 above %d", name, answer.Table, answer.TableVersion, lost)
			}
			if i < 0 || answer.Upstreams[i].State != quetzalhook.UpstreamLeaving || answer.Upstreams[i].Version.Revision() <= lost {
				t.Errorf("%s: got upstreams %+v, want a leaving above %d", name, answer.Upstreams, lost)
			}
		}
		if told == 0 {
			t.Errorf("got no host that tells revisions above %d", lost)
		}
		want := f.revision()
		f.runCommands("wait 5s")
		if got := f.revision(); got != want {
			t.Errorf("revision after the host of the older build was told: got %d, want %d", got, want)
		}
	})
}

// revision returns the revision of the store.
func (f *testFleet) revision() int64 {
	list, err := f.store.List(f.t.Context(), "")
	if err != nil {
		f.t.Fatal(err)
	}
	return list.Version.Revision()
}
