package member

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"quetzalhook"
)

func startService(t *testing.T, host quetzalhook.HostID, listen string, seeds ...string) *Service {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := NewService(Settings{
		Self:   Self{Host: host, Incarnation: 1, Zone: "zone-1", Peer: "127.0.0.1:1"},
		Listen: listen, Secret: []byte("secret"), Seeds: seeds,
		Report: func() Report { return Report{ConfigVersion: 4} },
	}, quetzalhook.ClockFunc(time.Now), log)
	if err := s.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	return s
}

// eventually waits until f returns true, for at most 5 s.
func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for !f() {
		select {
		case <-ctx.Done():
			t.Fatalf("%s: not seen in 5 s", what)
		case <-ticker.C:
		}
	}
}

// Guards against heartbeats that do not arrive over real sockets, hosts that do
// not find each other again after a partition, a planned stop that is treated as
// a crash, and a Close that leaves the port bound.
func TestServiceSockets(t *testing.T) {
	a := startService(t, "a", "127.0.0.1:0")
	b := startService(t, "b", "127.0.0.1:0", a.Address())
	hears := func(s *Service) bool {
		m := s.Members()
		return len(m) == 1 && HealthOf(m[0]) == Alive && m[0].ConfigVersion == 4
	}
	eventually(t, "both hosts", func() bool { return hears(a) && hears(b) })
	a.Block(func(quetzalhook.HostID) bool { return true })
	eventually(t, "partition", func() bool { return HealthOf(a.Members()[0]) == Suspect })
	a.Block(nil)
	eventually(t, "healed", func() bool { return hears(a) && hears(b) })
	b.Leave()
	eventually(t, "planned stop", func() bool { return len(a.Members()) == 0 })
	address := a.Address()
	for _, s := range []*Service{b, a} {
		if err := s.Close(); err != nil {
			t.Error(err)
		}
	}
	c := startService(t, "c", address)
	if err := c.Close(); err != nil {
		t.Error(err)
	}
}

// Guards against a list of members that counts as new although it is the same
// slice, and against a new list that counts as the same.
func TestSameList(t *testing.T) {
	a, b := make([]quetzalhook.Member, 2), make([]quetzalhook.Member, 2)
	for _, c := range []struct {
		a, b []quetzalhook.Member
		want bool
	}{{nil, a, false}, {a, a, true}, {a, b, false}, {a, a[:1], false}, {nil, nil, false}} {
		if got := IsSameList(c.a, c.b); got != c.want {
			t.Errorf("lists of %d and %d: got %t, want %t", len(c.a), len(c.b), got, c.want)
		}
	}
}
