package routing

import (
	"context"
	"testing"
	"testing/synctest"

	"quetzalhook"
	"quetzalhook/internal/platform/memory"
)

// fixedStaleStore is a store whose stale lists are some seconds old: older than its return.
type fixedStaleStore struct {
	*memory.Store
	lists map[string]quetzalhook.Listing
}

// ListStale implements quetzalhook.Store. The era is that of the answer.
func (s fixedStaleStore) ListStale(_ context.Context, prefix string) (quetzalhook.Listing, error) {
	list := s.lists[prefix]
	list.Version = quetzalhook.NewVersion(s.Store.Era(), list.Version.Revision())
	for i, o := range list.Objects {
		list.Objects[i].Version = quetzalhook.NewVersion(s.Store.Era(), o.Version.Revision())
	}
	return list, nil
}

// Guards against changes that the whole fleet ignores since one host has started after a return of
// the store with a stale list of before, whose revisions the store has lost.
func TestStaleListOfBeforeReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleetOf(t, testSource, memory.WithEras())
		defer f.close()
		f.runCommands("table 1|upstream a ready@1|upstream b ready@1|wait 1s|copy")
		for range 10 {
			f.runCommands("upstream b leaving@1|upstream b ready@1")
		}
		f.runCommands("upstream a ready@1|wait 1s")
		list, err := f.store.List(t.Context(), "servers/")
		if err != nil {
			t.Fatal(err)
		}
		f.runCommands("restore|wait 1s")
		store := fixedStaleStore{f.store, map[string]quetzalhook.Listing{"servers/": list}}
		f.startHost("new", discardLogger(), func(h *Follower) { h.store = store })
		f.runCommands("wait 1s|upstream a leaving@1|wait 3s")
		if got, want := f.state(), "h0 h1 h2 h3 h4 new: table 1, upstreams [a(leaving)@1 b@1]\n"; got != want {
			t.Errorf("state: got %s, want %s", got, want)
		}
	})
}
