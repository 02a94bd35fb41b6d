package routing

import (
	"testing"

	"github.com/fxamacker/cbor/v2"

	"quetzalhook"
)

// Guards against versions that a host of the same build reads otherwise than they were sent.
func TestErasOfPullsAreKept(t *testing.T) {
	v := func(n int64) quetzalhook.Version { return quetzalhook.NewVersion(3, n) }
	newAnswer := func() *pullAnswer {
		return &pullAnswer{
			TableVersion: quetzalhook.NewVersion(2, 9), Complete: v(7), Upstreams: []pulledUpstream{{ID: "a", Version: v(5), Registered: quetzalhook.NewVersion(2, 8)}},
			Evacuations: &wireEvacuations{Listed: v(6), Latest: v(6), Changes: []zoneChange{{Zone: "z", Version: v(4), Evacuated: true}}, start: v(3)},
		}
	}
	got, want := newAnswer(), newAnswer()
	got.splitEras()
	data, err := cbor.Marshal(got)
	if err != nil {
		t.Fatal(err)
	}
	got = &pullAnswer{}
	if err := cbor.Unmarshal(data, got); err != nil {
		t.Fatal(err)
	}
	got.addEras(&knownEra{newest: 1, hasRisen: true})
	if got.TableVersion != want.TableVersion || got.Complete != want.Complete || got.Upstreams[0].Version != want.Upstreams[0].Version ||
		got.Upstreams[0].Registered != want.Upstreams[0].Registered {
		t.Errorf("answer: got %+v, want %+v", got, want)
	}
	if e, w := got.Evacuations, want.Evacuations; e.Listed != w.Listed || e.Latest != w.Latest || e.Changes[0] != w.Changes[0] || e.start != w.start {
		t.Errorf("evacuations: got %+v, want %+v", e, w)
	}
}

// Guards against a version without an era that counts as newer than those after a return.
func TestVersionWithoutEra(t *testing.T) {
	var k knownEra
	for _, step := range []struct {
		seen, want quetzalhook.Version
	}{{0, 9}, {quetzalhook.NewVersion(4, 1), quetzalhook.NewVersion(4, 9)}, {quetzalhook.NewVersion(5, 1), 9}} {
		k.observe(step.seen)
		if got := k.versionOf(9); got != step.want {
			t.Errorf("after %v: got %v, want %v", step.seen, got, step.want)
		}
	}
}
