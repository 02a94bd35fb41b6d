package registration

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"quetzalhook"
	"quetzalhook/internal/platform/memory"
)

func newRegistry(store quetzalhook.Store, host quetzalhook.HostID, incarnation quetzalhook.Incarnation) *Registry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return New(store, quetzalhook.HostStatus{
		Host: host, Incarnation: incarnation, Zone: "z", HeartbeatAddress: "10.0.0.1:1", PeerAddress: "10.0.0.1:2",
		Region: "r", Address: "10.0.0.1:3", Processors: 0.8,
	}, log)
}

// Guards against a host that other hosts cannot find after its restart, and
// against an earlier incarnation that removes the entry of a later one.
func TestRegistration(t *testing.T) {
	ctx := t.Context()
	store := memory.New()
	first, second, other := newRegistry(store, "a", 1), newRegistry(store, "a", 2), newRegistry(store, "b", 7)
	for _, r := range []*Registry{first, second, other} {
		if _, err := r.register(ctx); err != nil {
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

// Guards against a host that other hosts cannot find since the store has come back from an
// older copy, against needless writes, and against entries of hosts that have stopped or
// restarted.
func TestRegistersAgainAfterReturn(t *testing.T) {
	own := func(incarnation quetzalhook.Incarnation) func(*testing.T, *memory.Store) {
		return func(t *testing.T, s *memory.Store) {
			if _, err := newRegistry(s, "a", incarnation).register(t.Context()); err != nil {
				t.Fatal(err)
			}
		}
	}
	odd := func(t *testing.T, s *memory.Store) {
		if _, err := s.Put(t.Context(), "hosts/a", []byte("odd"), 0); err != nil {
			t.Fatal(err)
		}
	}
	for _, test := range []struct {
		name          string
		copied        func(*testing.T, *memory.Store) // nil if the copy is empty
		leaves        bool
		want          quetzalhook.Incarnation // listed in the end; 0 for none
		reads, writes int64                   // after the return
	}{
		{"entry is lost", nil, false, 2, 1, 1},
		{"entry is in the copy", own(2), false, 2, 1, 0},
		{"entry of the process before", own(1), false, 2, 1, 1},
		{"entry of a later process", own(3), false, 3, 1, 0},
		{"odd entry", odd, false, 2, 1, 1},
		{"host has stopped", nil, true, 0, 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := memory.New(memory.WithEras())
				if test.copied != nil {
					test.copied(t, store)
				}
				copied := store.Copy()
				r := newRegistry(store, "a", 2)
				r.Start()
				time.Sleep(time.Minute)
				if test.leaves {
					if err := r.Leave(t.Context()); err != nil {
						t.Error(err)
					}
				}
				before := store.Counts()
				for range 2 {
					store.Return(copied)
					time.Sleep(time.Minute)
				}
				after := store.Counts()
				if reads, writes := after.Reads-before.Reads, after.Writes-before.Writes; reads != 2*test.reads || writes != 2*test.writes {
					t.Errorf("two returns: got %d reads and %d writes, want %d and %d", reads, writes, 2*test.reads, 2*test.writes)
				}
				list, err := r.Hosts(t.Context())
				var got quetzalhook.Incarnation
				if len(list) > 0 {
					got = list[0].Incarnation
				}
				if err != nil || got != test.want {
					t.Errorf("incarnation: got %v, %v, want %v", got, err, test.want)
				}
				if err := r.Close(); err != nil {
					t.Error(err)
				}
			})
		})
	}
}

// Guards against an odd entry that ends a list, is taken for a host, or is logged often.
func TestOddEntryIsNoHost(t *testing.T) {
	ctx := t.Context()
	store := memory.New()
	odd := []string{
		"rubbish", "null", `{"host":""}`, `{"host":"a","incarnation":9000000000000000000,"heartbeat":"10.0.0.1:1"}`,
		`{"host":"x4","heartbeat":"host.example:70"}`, `{"host":"x5","peer":"10.0.0.1:70000"}`, `{"host":"x6","callers":"10.0.0.1:0"}`,
		`{"host":"x7","processors":1e300}`, `{"host":"x8","processors":-1}`, `{"host":"x9","incarnation":-1}`, `{"host":["x10"]}`,
		strings.Repeat("[", 10_001) + strings.Repeat("]", 10_001),
	}
	for i, value := range odd {
		if _, err := store.Put(ctx, fmt.Sprintf("hosts/x%d", i), []byte(value), 0); err != nil {
			t.Fatal(err)
		}
	}
	r := newRegistry(store, "a", 1)
	log, logged := logtest.NewNullLogger()
	r.log = log
	if _, err := r.register(ctx); err != nil {
		t.Fatal(err)
	}
	for range 3 {
		list, err := r.Hosts(ctx)
		if err != nil || len(list) != 1 || list[0] != r.self {
			t.Errorf("hosts: got %v, %v, want %v only", list, err, r.self)
		}
	}
	if got, want := len(logged.AllEntries()), len(odd); got != want {
		t.Errorf("log lines: got %d, want %d", got, want)
	}
}
