package host

import (
	"crypto/tls"
	"fmt"
	"testing"
	"time"

	"quetzalhook"
)

// Guards against requests that are forwarded to a host which cannot serve them, outside the
// allowed regions, far away although a near host is free, all to one host, or to none
// although a stopping host takes them.
func TestPeerChoice(t *testing.T) {
	now := time.Unix(1000, 0)
	var members []quetzalhook.Member
	for _, m := range []quetzalhook.Member{
		{Host: "near", Zone: "z", Region: "r"},
		{Host: "near-2", Zone: "z", Region: "r"},
		{Host: "other-zone", Zone: "z2", Region: "r"},
		{Host: "far", Zone: "z3", Region: "r2"},
		{Host: "cut-off", Zone: "z", Region: "r", CutOff: true},
		{Host: "draining", Zone: "z", Region: "r", Draining: true},
		{Host: "unready", Zone: "z", Region: "r", Unready: true},
		{Host: "silent", Zone: "z", Region: "r", Silent: time.Minute},
	} {
		m.PeerAddress = "127.0.0.1:1"
		members = append(members, m)
	}
	for _, c := range []struct {
		allowed   quetzalhook.Regions
		tried     []quetzalhook.HostID
		unreached []quetzalhook.HostID
		requests  int
		want      string
	}{
		{requests: 2, want: "map[near:1 near-2:1]"},
		{requests: 1, tried: []quetzalhook.HostID{"near", "near-2"}, want: "map[other-zone:1]"},
		{requests: 1, unreached: []quetzalhook.HostID{"near", "near-2", "other-zone"}, want: "map[far:1]"},
		{requests: 2, allowed: quetzalhook.OnlyRegions("r2"), want: "map[far:2]"},
		{requests: 1, allowed: quetzalhook.OnlyRegions("r3"), want: "map[]"},
		{requests: 1, tried: []quetzalhook.HostID{"near", "near-2", "other-zone", "far"}, want: "map[draining:1]"},
		{requests: 1, allowed: quetzalhook.OnlyRegions("r"), unreached: []quetzalhook.HostID{"near", "near-2", "other-zone"}, want: "map[draining:1]"},
		{requests: 1, tried: []quetzalhook.HostID{"near", "near-2", "other-zone", "far", "draining"}, want: "map[]"},
	} {
		p := newPeerChoice("z", "r", func() []quetzalhook.Member { return members }, func(quetzalhook.HostID) *tls.Config { return nil }, quetzalhook.ClockFunc(func() time.Time { return now }))
		for _, id := range c.unreached {
			p.end(id, false)
		}
		got := make(map[quetzalhook.HostID]int)
		for range c.requests {
			if peer, ok := p.Next(c.allowed, c.tried); ok {
				got[peer.Host]++
			}
		}
		if s := fmt.Sprint(got); s != c.want {
			t.Errorf("%+v: got %s", c, s)
		}
	}
}

// Guards against a host that is never tried again, or always counts as busy.
func TestPeerChoiceForgets(t *testing.T) {
	now := time.Unix(1000, 0)
	members := []quetzalhook.Member{{Host: "a", PeerAddress: "127.0.0.1:1"}}
	p := newPeerChoice("z", "r", func() []quetzalhook.Member { return members }, func(quetzalhook.HostID) *tls.Config { return nil }, quetzalhook.ClockFunc(func() time.Time { return now }))
	peer, _ := p.Next(quetzalhook.Regions{}, nil)
	peer.End(false)
	if _, ok := p.Next(quetzalhook.Regions{}, nil); ok {
		t.Error("a host is tried at once although it could not be reached")
	}
	now = now.Add(unreachedTime)
	peer, ok := p.Next(quetzalhook.Regions{}, nil)
	if !ok {
		t.Fatal("a host is not tried again")
	}
	peer.End(true)
	if len(p.open) > 0 || len(p.unreached) > 0 {
		t.Errorf("got %v open and %v unreached, want none", p.open, p.unreached)
	}
}
