package schedule

import (
	"testing"
	"time"

	"quetzalhook"
)

// Guards against an engine that is taken to fail, for all hosts, since one host does not
// reach it; and against one that has failed and is not taken to.
func TestPathFaults(t *testing.T) {
	unsent := quetzalhook.AttemptEnd{End: quetzalhook.EndNotSent, Unsent: true, Lost: true}
	for _, c := range []struct {
		name     string
		end      quetzalhook.AttemptEnd
		answers  bool // to another request during the attempt
		failed   bool
		attempts int
	}{
		{"never sent", unsent, false, true, 2},
		{"never sent, another request is answered", unsent, true, false, 2},
		{"broken, another request is answered", quetzalhook.AttemptEnd{End: quetzalhook.EndBroken, Lost: true}, true, true, 2},
		{"never sent, the host reaches no engine", quetzalhook.AttemptEnd{End: quetzalhook.EndNotSent, Unsent: true, Lost: true, NoPath: true}, false, false, 4},
		{"broken, the host reaches no engine", quetzalhook.AttemptEnd{End: quetzalhook.EndBroken, Lost: true, NoPath: true}, false, false, 4},
	} {
		now := time.Unix(1000, 0)
		s := New()
		s.SetUpstreams(now, []quetzalhook.Upstream{{ID: "e", Address: "e", Service: "s", Models: []quetzalhook.Model{"m"}, Slots: 4}})
		submit := func(id quetzalhook.RequestID) {
			decisions := s.Submit(now, quetzalhook.Request{ID: id, Service: "s", Model: "m", PromptTokens: 100, MaxTokens: 10, Class: chat})
			if len(decisions) != 1 || decisions[0].Upstream.ID != "e" {
				t.Fatalf("%s: %s: got %v, want an attempt at e", c.name, id, decisions)
			}
		}
		for i := range c.attempts {
			failing := quetzalhook.RequestID(rune('a' + i))
			submit(failing)
			if c.answers {
				other := failing + "-other"
				submit(other)
				now = now.Add(100 * time.Millisecond)
				s.Progress(now, other, 1)
			}
			now = now.Add(100 * time.Millisecond)
			s.End(now, failing, c.end)
		}
		if got := s.engines["e"].record.FailureProbability(now) > 0; got != c.failed {
			t.Errorf("%s: counted as failures: got %v, want %v", c.name, got, c.failed)
		}
	}
}

// Guards against an engine that stays idle, and requests that wait for it, since more urgent
// ones of a host that does not reach it come first.
func TestBarredRequestsHoldUpNoOthers(t *testing.T) {
	now := time.Unix(1000, 0)
	s := New()
	var list []quetzalhook.Upstream
	for _, id := range []quetzalhook.UpstreamID{"a", "b"} {
		list = append(list, quetzalhook.Upstream{ID: id, Address: string(id), Service: "s", Models: []quetzalhook.Model{"m"}, Slots: 1})
	}
	s.SetUpstreams(now, list)
	submit := func(id quetzalhook.RequestID, class quetzalhook.Class, barred ...quetzalhook.UpstreamID) []Decision {
		r := quetzalhook.Request{ID: id, Service: "s", Model: "m", PromptTokens: 100, MaxTokens: 10, Class: class, CallerTimeout: 20 * time.Second}
		for _, u := range barred {
			r.Barred = append(r.Barred, quetzalhook.Bar{Upstream: u, For: 4 * time.Second})
		}
		return s.Submit(now, r)
	}
	running := make(map[quetzalhook.UpstreamID]quetzalhook.RequestID)
	for _, id := range []quetzalhook.RequestID{"1", "2"} {
		for _, d := range submit(id, digest) {
			running[d.Upstream.ID] = id
		}
	}
	for i := range maxCandidates + 1 {
		if d := submit(quetzalhook.RequestID("barred-"+string(rune('a'+i))), draft, "a"); len(d) > 0 {
			t.Fatalf("got %v, want no decision while the engines are full", d)
		}
	}
	submit("free", digest)
	now = now.Add(100 * time.Millisecond)
	decisions := s.End(now, running["a"], quetzalhook.AttemptEnd{End: quetzalhook.EndFinished})
	if len(decisions) != 1 || decisions[0].Request != "free" || decisions[0].Upstream.ID != "a" {
		t.Errorf("got %v, want the request that may use the engine", decisions)
	}
}
