package registration

import (
	"io"
	"testing"

	"github.com/sirupsen/logrus"

	"quetzalhook"
	"quetzalhook/internal/platform/memory"
)

func newRegistry(store quetzalhook.Store, host quetzalhook.HostID, incarnation quetzalhook.Incarnation) *Registry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return New(store, quetzalhook.HostStatus{
		Host: host, Incarnation: incarnation, Zone: "z", HeartbeatAddress: string(host) + ":1", PeerAddress: string(host) + ":2",
		Region: "r", Address: string(host) + ":3", Processors: 0.8,
	}, log)
}

// Guards against a host that other hosts cannot find after its restart, and
// against an earlier incarnation that removes the entry of a later one.
func TestRegistration(t *testing.T) {
	ctx := t.Context()
	store := memory.New()
	first, second, other := newRegistry(store, "a", 1), newRegistry(store, "a", 2), newRegistry(store, "b", 7)
	for _, r := range []*Registry{first, second, other} {
		if err := r.register(ctx); err != nil {
			t.Fatal(err)
		}
	}
	if err := first.Leave(ctx); err != nil {
		t.Fatal(err)
	}
	incarnations := func() map[quetzalhook.HostID]quetzalhook.Incarnation {
		list, err := other.Hosts(ctx)
		if err != nil {
			t.Fatal(err)
		}
		got := make(map[quetzalhook.HostID]quetzalhook.Incarnation)
		for _, h := range list {
			got[h.Host] = h.Incarnation
		}
		return got
	}
	if got := incarnations(); len(got) != 2 || got["a"] != 2 || got["b"] != 7 {
		t.Errorf("hosts: got %v, want a of incarnation 2 and b of 7", got)
	}
	if err := second.Leave(ctx); err != nil {
		t.Fatal(err)
	}
	if got := incarnations(); len(got) != 1 || got["b"] != 7 {
		t.Errorf("hosts after a has left: got %v, want b only", got)
	}
	if err := second.Leave(ctx); err != nil {
		t.Errorf("leave again: got %v, want no error", err)
	}
}

// Guards against an entry that cannot be decoded and makes the whole list fail.
func TestUnreadableEntry(t *testing.T) {
	ctx := t.Context()
	store := memory.New()
	if _, err := store.Put(ctx, "hosts/x", []byte("rubbish"), 0); err != nil {
		t.Fatal(err)
	}
	r := newRegistry(store, "a", 1)
	if err := r.register(ctx); err != nil {
		t.Fatal(err)
	}
	list, err := r.Hosts(ctx)
	if err != nil || len(list) != 1 || list[0] != r.self {
		t.Errorf("hosts: got %v, %v, want %v only", list, err, r.self)
	}
}
