package tally

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"quetzalhook"
	"quetzalhook/internal/fleet/peer"
	"quetzalhook/internal/state/calendar"
)

func newCounters(names ...quetzalhook.HostID) map[quetzalhook.HostID]*Counter {
	clock := quetzalhook.ClockFunc(time.Now)
	network := peer.NewNetwork(clock, 1)
	log := logrus.New()
	log.SetOutput(io.Discard)
	counters := make(map[quetzalhook.HostID]*Counter)
	for _, name := range names {
		end := network.Endpoint(name)
		counters[name] = New(Source{Host: name, Incarnation: 1}, quetzalhook.Zone(name), end, calendar.New(clock, time.Now()), time.Second, log)
		network.Join(end, func() quetzalhook.Member { return quetzalhook.Member{Zone: quetzalhook.Zone(name)} })
	}
	return counters
}

// Guards against counts that are sent while a host knows other ones, and against a third
// host that learns of only one of them.
func TestSentCountsDiffer(t *testing.T) {
	ctx, counters := t.Context(), newCounters("a", "b", "c")
	w := counters["a"].At(time.Now())
	for i, c := range []struct {
		host   quetzalhook.HostID
		counts Counts
		want   bool
	}{
		{"a", Counts{}, true},
		{"a", Counts{}, true},
		{"b", Counts{}, true},
		{"b", Counts{"x": 1}, false},
		{"a", Counts{}, false},
	} {
		if got := counters[c.host].AddSent(ctx, w, c.counts); got != c.want {
			t.Errorf("case %d: got %v, want %v", i, got, c.want)
		}
	}
	if got, err := counters["c"].Collect(ctx, w); err != nil || len(got.Sent) != 2 || len(got.Missing) != 0 {
		t.Errorf("got %v, %v, want two different counts", got, err)
	}
	counters["a"].dropOldWindows(w + keptWindows + 1)
	if got := counters["a"].keepSent(w); len(got) != 0 {
		t.Errorf("old window: got %v, want nothing", got)
	}
}

// Guards against answers that hosts of an earlier build cannot read, and against theirs.
func TestCollectBetweenBuilds(t *testing.T) {
	type earlier struct {
		Source Source `cbor:"1,keyasint"`
		Counts Counts `cbor:"2,keyasint"`
	}
	counters := newCounters("a", "b")
	a, b := counters["a"], counters["b"]
	b.ObserveEra(3)
	b.Add("x")
	w := b.At(time.Now())
	b.keepSent(w, Counts{"x": 5})
	body, err := cbor.Marshal(b.localCounts(w))
	if err != nil {
		t.Fatal(err)
	}
	var list []earlier
	if err := cbor.Unmarshal(body, &list); err != nil || len(list) != 1 || list[0].Source != b.self || len(list[0].Counts) > 1 {
		t.Errorf("read by an earlier build: got %v, %v, want the counts of b", list, err)
	}
	b.peers.Handle(collectKind, func(context.Context, quetzalhook.HostID, []byte) ([]byte, error) {
		return cbor.Marshal([]earlier{{Source: b.self, Counts: Counts{"x": 7}}})
	})
	a.ObserveEra(3)
	if got, err := a.Collect(t.Context(), w); err != nil || got.Counts["x"] != 7 || len(got.Sent) > 0 || len(got.Missing) > 0 {
		t.Errorf("answer of an earlier build: got %+v, %v, want 7 requests", got, err)
	}
}
