package member

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"quetzalhook"
)

// oldVersions are the versions in a hostState, as hosts of a build without eras know them.
type oldVersions struct {
	ConfigVersion     int64 `cbor:"3,keyasint,omitempty"`
	UpstreamVersion   int64 `cbor:"11,keyasint,omitempty"`
	EvacuationVersion int64 `cbor:"14,keyasint,omitempty"`
	SplitVersion      int64 `cbor:"15,keyasint,omitempty"`
}

func reportWithEra(era int64) Report {
	return Report{
		ConfigVersion: 1 << 40, TableVersion: 1 << 40, UpstreamVersion: quetzalhook.NewVersion(era, 1<<40), EvacuationVersion: quetzalhook.NewVersion(era, 7),
		SplitVersion: 3 << 16, Kept: 1 << 31,
	}
}

// Guards against a host of an older build that takes a version with an era for a revision.
func TestHeartbeatHoldsPlainRevisions(t *testing.T) {
	data, err := cbor.Marshal(toHostState(reportWithEra(5)))
	if err != nil {
		t.Fatal(err)
	}
	var got oldVersions
	if err := cbor.Unmarshal(data, &got); err != nil {
		t.Fatal(err)
	}
	if want := (oldVersions{ConfigVersion: 1 << 40, UpstreamVersion: 1 << 40, EvacuationVersion: 7, SplitVersion: 3 << 16}); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// Guards against a version of an older build that is read with an era.
func TestHeartbeatOfOlderBuild(t *testing.T) {
	data, err := cbor.Marshal(oldVersions{ConfigVersion: 9, UpstreamVersion: 8, EvacuationVersion: 7})
	if err != nil {
		t.Fatal(err)
	}
	var state hostState
	if err := cbor.Unmarshal(data, &state); err != nil {
		t.Fatal(err)
	}
	if got, want := state.versions(), (storeVersions{config: 9, upstreams: 8, evacuations: 7}); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// Guards against versions that other hosts, of this cell or another one, do not get as they
// are, and against heartbeats with eras that are too large.
func TestMembersTellVersions(t *testing.T) {
	sim := newSimulation(t, cellFleet, 3)
	sim.report = func(int) Report { return reportWithEra(1 << 18) }
	sim.list()
	sim.run(3 * time.Second)
	from, want := sim.hosts[address(0)], reportWithEra(1<<18)
	for _, to := range sim.hosts {
		if to == from {
			continue
		}
		d, err := from.summaryAnswer(sim.now, from.peers[to.self.Host])
		if err != nil {
			t.Fatal(err)
		}
		if len(d.data) > maxDatagram {
			t.Errorf("datagram: got %d bytes, want at most %d", len(d.data), maxDatagram)
		}
		if _, err := to.receive(sim.now, d.data); err != nil {
			t.Fatal(err)
		}
		for _, m := range to.members(sim.now) {
			if m.Host != from.self.Host {
				continue
			}
			got := Report{
				ConfigVersion: m.ConfigVersion, TableVersion: m.TableVersion, UpstreamVersion: m.UpstreamVersion, EvacuationVersion: m.EvacuationVersion,
				SplitVersion: m.SplitVersion, Kept: m.Kept,
			}
			if got.ConfigVersion != want.ConfigVersion || got.TableVersion != want.TableVersion || got.UpstreamVersion != want.UpstreamVersion ||
				got.EvacuationVersion != want.EvacuationVersion || got.Kept != want.Kept {
				t.Errorf("%s: got %+v, want %+v", to.self.Host, got, want)
			}
		}
	}
}
