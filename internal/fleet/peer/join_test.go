package peer_test

import (
	"context"
	"fmt"
	"io"
	"os"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"quetzalhook"
	"quetzalhook/internal/fleet/member"
	"quetzalhook/internal/fleet/peer"
	"quetzalhook/internal/platform/memory"
	"quetzalhook/internal/record/configuration"
	"quetzalhook/internal/record/credential"
	"quetzalhook/internal/state/invariant"
)

// host runs membership, calls, configuration and keys of one host on real
// sockets.
type host struct {
	members *member.Service
	calls   *peer.Service
	rollout *configuration.Rollout
	keys    *credential.Registry
}

func newHost(t *testing.T, i int, store quetzalhook.Store, inv quetzalhook.Invariants, seed string) *host {
	t.Helper()
	log := logrus.New()
	log.SetOutput(t.Output())
	log.SetLevel(logrus.DebugLevel)
	clock := quetzalhook.ClockFunc(time.Now)
	h := &host{}
	id, zone := quetzalhook.HostID(fmt.Sprintf("host-%d", i)), quetzalhook.Zone("zone-1")
	h.members = member.NewService(member.Settings{
		Self:   member.Self{Host: id, Incarnation: 1, Zone: zone},
		Listen: "127.0.0.1:0", Secret: []byte("secret"), Seeds: []string{seed},
		Report: func() member.Report {
			count, hash := h.keys.Digest()
			return member.Report{
				ConfigVersion: h.rollout.Version(), StoreAge: h.keys.StoreAge(), WithdrawnCount: count, WithdrawnHash: hash,
			}
		},
	}, clock, log)
	var err error
	h.calls, err = peer.NewService(peer.Settings{Host: id, Listen: "127.0.0.1:0", Secret: []byte("secret"), Directory: h.members}, clock, log)
	if err != nil {
		t.Fatal(err)
	}
	h.rollout = configuration.NewRollout(configuration.Identity{Host: id, Zone: zone}, store, h.calls, clock, log, inv)
	h.keys = credential.NewRegistry(credential.Identity{Host: id, Zone: zone}, store, h.calls, clock, log, inv)
	if err := h.calls.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	h.members.SetPeerAddress(h.calls.Address())
	if err := h.members.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	h.rollout.Start(context.Background())
	h.keys.Start(context.Background())
	t.Cleanup(func() { h.close(t) })
	return h
}

func (h *host) close(t *testing.T) {
	for _, c := range []io.Closer{h.keys, h.rollout, h.members, h.calls} {
		if err := c.Close(); err != nil {
			t.Error(err)
		}
	}
}

// Guards against services that work separately but not together on real sockets:
// a confirmed configuration version, and the withdrawal of a key during a store
// outage, must reach all hosts.
func TestHostsTogether(t *testing.T) {
	store, inv := memory.New(), invariant.New(nil)
	t.Cleanup(func() {
		if inv.Violations() > 0 {
			t.Error(inv.Details())
		}
	})
	hosts := []*host{newHost(t, 0, store, inv, "")}
	for i := 1; i < 4; i++ {
		hosts = append(hosts, newHost(t, i, store, inv, hosts[0].members.Address()))
	}
	ctx, cancel := context.WithTimeout(t.Context(), 8*time.Second)
	defer cancel()
	wait(ctx, t, "members", func() bool {
		for _, h := range hosts {
			if len(h.members.Members()) != 3 {
				return false
			}
		}
		return true
	})
	confirm(t, store)
	wait(ctx, t, "version 1", func() bool {
		for _, h := range hosts {
			if h.rollout.Version() != 1 {
				return false
			}
		}
		return true
	})
	_, id, err := hosts[1].keys.Issue(ctx, "seller-bled")
	if err != nil {
		t.Fatal(err)
	}
	store.SetFaults(memory.Faults{Outage: true})
	result, err := hosts[2].keys.Withdraw(ctx, id)
	if got, want := result.Reached, 3; got != want || err != nil || result.Persisted {
		t.Errorf("withdrawal: got %+v, %v, want %d hosts reached", result, err, want)
	}
	for i, h := range hosts {
		withdrawn, release := h.keys.Withdrawn(id)
		select {
		case <-withdrawn:
		case <-ctx.Done():
			t.Errorf("host %d: streams of the withdrawn key are not ended", i)
		}
		release()
	}
}

func confirm(t *testing.T, store quetzalhook.Store) {
	t.Helper()
	data, err := os.ReadFile("../../../examples/foundry.yaml")
	if err != nil {
		t.Fatal(err)
	}
	d, err := configuration.Parse(data)
	if err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	planner := configuration.NewPlanner(store, quetzalhook.ClockFunc(time.Now), log)
	plan, err := planner.Plan(t.Context(), d)
	if err == nil {
		_, err = planner.Confirm(t.Context(), plan.ID)
	}
	if err != nil {
		t.Fatal(err)
	}
}

func wait(ctx context.Context, t *testing.T, what string, f func() bool) {
	t.Helper()
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for !f() {
		select {
		case <-ctx.Done():
			t.Fatalf("%s: not seen in 8 s", what)
		case <-ticker.C:
		}
	}
}
