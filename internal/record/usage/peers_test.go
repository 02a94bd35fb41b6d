package usage

import (
	"context"
	"testing"
	"time"

	"quetzalhook"
)

// fixedPeers is a fixed list of members whose calls do nothing.
type fixedPeers []quetzalhook.Member

func (l fixedPeers) Members() []quetzalhook.Member { return l }

func (fixedPeers) Call(context.Context, quetzalhook.HostID, string, []byte) ([]byte, error) {
	return nil, nil
}

func (fixedPeers) Handle(string, quetzalhook.PeerHandler) {}

// Guards against replicas that are placed in the zone of their source in a large
// fleet because the state of hosts of other cells is updated less often.
func TestPeersInOtherCells(t *testing.T) {
	peers := fixedPeers{
		{Host: "near", Zone: "z"},
		{Host: "far", Zone: "y", Distant: true, Silent: time.Minute, Lag: time.Minute},
		{Host: "farther", Zone: "x", Distant: true, Silent: 40 * time.Second, Lag: 40 * time.Second},
		{Host: "gone", Zone: "w", Distant: true, Silent: time.Hour, Lag: 40 * time.Second},
	}
	clock := quetzalhook.ClockFunc(time.Now)
	m := New(Source{Host: "a"}, "z", nil, clock, clock, peers, NewSchedule(time.Hour))
	for _, got := range m.choosePeers() {
		if got.Host != "far" && got.Host != "farther" {
			t.Errorf("got a replica on %s, want far and farther", got.Host)
		}
	}
	if got, want := len(m.choosePeers()), replicas; got != want {
		t.Errorf("got %d peers, want %d", got, want)
	}
}
