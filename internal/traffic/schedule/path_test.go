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
