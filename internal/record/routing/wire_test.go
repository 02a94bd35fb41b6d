package routing

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"

	"quetzalhook"
	"quetzalhook/internal/platform/memory"
)

// oldRequest and oldAnswer are the parts of a pull with versions, as hosts of a build without
// eras know them. What they do not know is lost.
type oldRequest struct {
	Table       int64 `cbor:"1,keyasint"`
	Complete    int64 `cbor:"2,keyasint"`
	Evacuations int64 `cbor:"3,keyasint,omitempty"`
	Splits      int64 `cbor:"4,keyasint,omitempty"`
}

type oldAnswer struct {
	Table        *Table                   `cbor:"1,keyasint,omitempty"`
	TableVersion int64                    `cbor:"2,keyasint,omitempty"`
	Upstreams    []oldUpstream            `cbor:"3,keyasint,omitempty"`
	Complete     int64                    `cbor:"4,keyasint"`
	Full         bool                     `cbor:"5,keyasint,omitempty"`
	Unchanged    []quetzalhook.UpstreamID `cbor:"6,keyasint,omitempty"`
	Evacuations  *oldEvacuations          `cbor:"7,keyasint,omitempty"`
}

type oldUpstream struct {
	ID         quetzalhook.UpstreamID    `cbor:"1,keyasint"`
	Version    int64                     `cbor:"2,keyasint"`
	Removed    bool                      `cbor:"3,keyasint,omitempty"`
	GraceLeft  time.Duration             `cbor:"4,keyasint,omitempty"`
	Service    string                    `cbor:"5,keyasint,omitempty"`
	Zone       quetzalhook.Zone          `cbor:"7,keyasint,omitempty"`
	State      quetzalhook.UpstreamState `cbor:"10,keyasint,omitempty"`
	Started    int64                     `cbor:"13,keyasint,omitempty"`
	Registered int64                     `cbor:"15,keyasint,omitempty"`
}

type oldEvacuations struct {
	_       struct{} `cbor:",toarray"`
	Listed  int64
	Latest  int64
	Changes []struct {
		_         struct{} `cbor:",toarray"`
		Zone      quetzalhook.Zone
		Version   int64
		Evacuated bool
	}
}

// versions returns all versions in the answer.
func (a oldAnswer) versions() []int64 {
	list := []int64{a.TableVersion, a.Complete}
	for _, u := range a.Upstreams {
		list = append(list, u.Version, u.Registered)
	}
	if e := a.Evacuations; e != nil {
		list = append(list, e.Listed, e.Latest)
		for _, c := range e.Changes {
			list = append(list, c.Version)
		}
	}
	return list
}

// oldPeers are the peers of a host of a build without eras.
type oldPeers struct {
	quetzalhook.Peers
	t *testing.T
}

func recode[T any](t *testing.T, data []byte) (T, []byte) {
	var v T
	if err := cbor.Unmarshal(data, &v); err != nil {
		t.Error(err)
	}
	data, err := cbor.Marshal(v)
	if err != nil {
		t.Error(err)
	}
	return v, data
}

// Call implements quetzalhook.Peers.
func (p oldPeers) Call(ctx context.Context, host quetzalhook.HostID, kind string, body []byte) ([]byte, error) {
	_, body = recode[oldRequest](p.t, body)
	answer, err := p.Peers.Call(ctx, host, kind, body)
	if err != nil {
		return nil, err
	}
	decoded, answer := recode[oldAnswer](p.t, answer)
	for _, v := range decoded.versions() {
		if quetzalhook.Version(v).Era() != 0 {
			p.t.Errorf("version in an answer to a host of an older build: got %d with an era, want a revision", v)
		}
	}
	return answer, nil
}

// Handle implements quetzalhook.Peers.
func (p oldPeers) Handle(kind string, h quetzalhook.PeerHandler) {
	p.Peers.Handle(kind, func(ctx context.Context, from quetzalhook.HostID, body []byte) ([]byte, error) {
		if request, _ := recode[oldRequest](p.t, body); quetzalhook.Version(request.Complete).Era() != 0 || quetzalhook.Version(request.Evacuations).Era() != 0 {
			p.t.Errorf("versions in a request: got %+v with eras, want revisions", request)
		}
		_, body = recode[oldRequest](p.t, body)
		answer, err := h(ctx, from, body)
		if err == nil {
			_, answer = recode[oldAnswer](p.t, answer)
		}
		return answer, err
	})
}

// Members implements quetzalhook.Peers.
func (p oldPeers) Members() []quetzalhook.Member {
	list := p.Peers.Members()
	for i := range list {
		list[i] = oldMember(list[i])
	}
	return list
}

// oldMember returns what a host of a build without eras tells or understands of a member.
func oldMember(m quetzalhook.Member) quetzalhook.Member {
	m.TableVersion, m.Kept = 0, 0
	m.UpstreamVersion = quetzalhook.NewVersion(0, m.UpstreamVersion.Revision())
	m.EvacuationVersion = quetzalhook.NewVersion(0, m.EvacuationVersion.Revision())
	return m
}

// Guards against changes that do not pass between hosts of builds with and without eras in an
// upgrade, and against older versions that overrule newer ones after a return.
func TestPullsBetweenBuilds(t *testing.T) {
	source := testSource
	source.EvacuationPrefix = "evacuations/"
	steps := []struct{ commands, old, want string }{
		{"table 1|upstream a ready@1|upstream b ready@1|evacuate b|wait 1s", "", "table 1, upstreams [a@1 b@1(evacuated)]"},
		{"store closed old|table 2|upstream a leaving@1|return b|wait 1s", "", "table 2, upstreams [a(leaving)@1 b@1]"},
		{"store open old|store closed h0 h1 h2 h3 h4|wait 3s|table 3|upstream c ready@1|evacuate c|wait 2s", "", "table 3, upstreams [a(leaving)@1 b@1 c@1(evacuated)]"},
		{"copy|store open h0 h1 h2 h3 h4|wait 2s|store closed old|upstream b leaving@1|return c|table 4|wait 1s", "", "table 4, upstreams [a(leaving)@1 b(leaving)@1 c@1]"},
		{"restore|wait 4s|return c|table 5|wait 2s", "any", "table 5, upstreams [a(leaving)@1 b(leaving)@1 c@1]"},
	}
	synctest.Test(t, func(t *testing.T) {
		f := newFleetOf(t, source, memory.WithEras())
		defer f.close()
		f.wrap = func(p quetzalhook.Peers) quetzalhook.Peers { return oldPeers{p, t} }
		f.startHost("old", discardLogger())
		f.runCommand("wait 2s")
		for _, step := range steps {
			f.runCommands(step.commands)
			for name, h := range f.hosts {
				if got := f.stateOf(h); got != step.want && (name != "old" || step.old == "") {
					t.Errorf("%s after %q: got %s, want %s", name, step.commands, got, step.want)
				}
			}
		}
		before := f.answeredPulls()
		time.Sleep(10 * time.Second)
		if got := f.answeredPulls() - before; got > 0 {
			t.Errorf("pulls in 10s without a change: got %d, want 0", got)
		}
	})
}

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
	if e, w := got.Evacuations, want.Evacuations; e.Listed != w.Listed || e.Latest != w.Latest || e.start != w.start || e.Changes[0] != w.Changes[0] {
		t.Errorf("evacuations: got %+v, want %+v", e, w)
	}
}

// Guards against a version without an era that counts as newer than those after a return.
func TestVersionWithoutEra(t *testing.T) {
	var k knownEra
	for _, step := range []struct {
		seen, want quetzalhook.Version
	}{{0, 9}, {quetzalhook.NewVersion(1, 1), quetzalhook.NewVersion(1, 9)}, {quetzalhook.NewVersion(2, 1), 9}} {
		k.observe(step.seen)
		if got := k.versionOf(9); got != step.want {
			t.Errorf("after %v: got %v, want %v", step.seen, got, step.want)
		}
	}
}
