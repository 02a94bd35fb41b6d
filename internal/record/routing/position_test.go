package routing

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"quetzalhook"
	"quetzalhook/internal/fleet/peer"
	"quetzalhook/internal/platform/memory"
	"quetzalhook/internal/state/invariant"
)

// pagedStore is a store in which an upstream of the first page of each list is changed, and then
// one of the second, before the second page is read.
type pagedStore struct {
	*memory.Store
	change func()
}

// List implements quetzalhook.Store.
func (s pagedStore) List(ctx context.Context, prefix string) (quetzalhook.Listing, error) {
	list, err := s.Store.List(ctx, prefix)
	if err != nil || len(list.Objects) < 2 {
		return list, err
	}
	time.Sleep(500 * time.Millisecond) // hosts pull what they lack meanwhile
	s.change()
	later, err := s.Store.List(ctx, prefix)
	list.Objects[1] = later.Objects[1]
	return list, err
}

// ListStale implements quetzalhook.Store.
func (s pagedStore) ListStale(ctx context.Context, prefix string) (quetzalhook.Listing, error) {
	return s.List(ctx, prefix)
}

// Guards against a change that is missed since it was made between two pages of a list, and a
// later change was on the second page: at a host that watches, and at one that pulls.
func TestChangeBetweenPages(t *testing.T) {
	for _, watches := range []bool{true, false} {
		t.Run(fmt.Sprint(watches), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t)
				defer f.close()
				for _, h := range f.hosts {
					if watches {
						f.network.Leave(h.host) // the host under test is the only one
					}
				}
				for _, line := range []string{"upstream a ready", "upstream b ready", "wait 2s"} {
					f.runCommand(line)
				}
				store := pagedStore{f.store, func() {
					f.put("servers/a", "leaving")
					f.put("servers/b", "leaving")
				}}
				f.startHost("paged", discardLogger(), func(h *Follower) { h.store = store }, WithSettled(func() bool { return watches }))
				f.runCommand("wait 3s")
				for _, u := range f.hosts["paged"].Upstreams() {
					if u.State != quetzalhook.UpstreamLeaving {
						t.Errorf("%s: got state %v, want %v", u.ID, u.State, quetzalhook.UpstreamLeaving)
					}
				}
			})
		})
	}
}

// newPullChain returns the followers of three hosts, and a function that makes one pull from
// another.
func newPullChain(t *testing.T) (map[string]*Follower, func(to string, from quetzalhook.HostID)) {
	clock := quetzalhook.ClockFunc(time.Now)
	network := peer.NewNetwork(clock, 1)
	hosts := make(map[string]*Follower)
	for _, name := range []string{"a", "b", "c"} {
		endpoint := network.Endpoint(quetzalhook.HostID(name))
		hosts[name] = New(quetzalhook.HostID(name), memory.New(), endpoint, testSource, clock, discardLogger(), invariant.New(nil))
		network.Join(endpoint, func() quetzalhook.Member { return quetzalhook.Member{} })
	}
	return hosts, func(to string, from quetzalhook.HostID) {
		if err := hosts[to].pullLogged(t.Context(), from); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against a removal that a host does not pass on, since it knew an earlier removal of the
// upstream and missed its return.
func TestSecondRemovalIsPassedOn(t *testing.T) {
	hosts, pull := newPullChain(t)
	event := func(version quetzalhook.Version, value string, names ...string) {
		for _, name := range names {
			hosts[name].applyUpstreams(nil, &quetzalhook.Object{Key: "servers/u", Value: []byte(value), Version: version, Deleted: value == ""})
		}
	}
	event(1, "ready", "a", "b", "c")
	event(2, "", "a", "b", "c")
	event(3, "ready", "a", "c")
	event(4, "", "a")
	pull("b", "a")
	pull("c", "b")
	if list := hosts["c"].Upstreams(); len(list) != 0 {
		t.Errorf("upstreams: got %v, want none", list)
	}
}

// Guards against a removal that a host neither knows nor passes on, since it pulled a full list.
func TestRemovalBeforeFullListIsPassedOn(t *testing.T) {
	hosts, pull := newPullChain(t)
	hosts["c"].applyUpstreams(nil, &quetzalhook.Object{Key: "servers/u", Value: []byte("ready"), Version: 5})
	hosts["a"].applyUpstreams(&listing{Listing: quetzalhook.Listing{Version: 10}}, nil)
	pull("b", "a")
	pull("c", "b")
	if list := hosts["c"].Upstreams(); len(list) != 0 {
		t.Errorf("upstreams: got %v, want none", list)
	}
}

// Guards against a removed upstream that a list of the store, or of another host, shows again,
// since it arrives after a full list that was newer.
func TestLateListShowsNoRemovedUpstream(t *testing.T) {
	for _, from := range []string{"store", "host"} {
		hosts, pull := newPullChain(t)
		hosts["a"].applyUpstreams(&listing{Listing: quetzalhook.Listing{Version: 6}}, nil)
		pull("b", "a")
		if from == "store" {
			objects := []quetzalhook.Object{{Key: "servers/u", Value: []byte("leaving"), Version: 3}}
			hosts["b"].applyUpstreams(&listing{Listing: quetzalhook.Listing{Objects: objects, Version: 3}}, nil)
		} else {
			hosts["c"].applyUpstreams(nil, &quetzalhook.Object{Key: "servers/u", Value: []byte("leaving"), Version: 3})
			late := pullAnswer{Complete: 3, Upstreams: []pulledUpstream{newPulledUpstream(hosts["c"].entries["u"], time.Now())}}
			hosts["b"].merge(late)
		}
		if list := hosts["b"].Upstreams(); len(list) != 0 {
			t.Errorf("upstreams after a late list from a %s: got %v, want none", from, list)
		}
	}
}

// Guards against a change that no heartbeat announces, since it was on a later page of a list.
func TestChangeOnLaterPageIsAnnounced(t *testing.T) {
	hosts, _ := newPullChain(t)
	changed := quetzalhook.Object{Key: "servers/u", Value: []byte("leaving"), Version: 11}
	hosts["a"].applyUpstreams(&listing{Listing: quetzalhook.Listing{Version: 10, Objects: []quetzalhook.Object{changed}}}, nil)
	hosts["a"].applyUpstreams(nil, &changed)
	if _, got := hosts["a"].Versions(); got != changed.Version {
		t.Errorf("announced version: got %v, want %v", got, changed.Version)
	}
}
