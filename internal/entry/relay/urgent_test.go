package relay_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"quetzalhook"
	"quetzalhook/internal/entry/relay"
	"quetzalhook/internal/standin/engine"
)

// Guards against an urgent request that misses its target because it waits for
// a silent upstream while another one is free.
func TestUrgentLeavesSilentUpstream(t *testing.T) {
	const target = 2 * time.Second
	silent, healthy := engine.New(), engine.New(engine.WithTokenRate(2000))
	h := newHarness(t, []quetzalhook.Upstream{engineUpstream(t, silent, "a"), engineUpstream(t, healthy, "b")})
	if err := silent.SetFaults(engine.Faults{SlowMS: 60000}); err != nil {
		t.Fatal(err)
	}
	for i := range 2 { // the policy alternates between the upstreams
		chat, err := relay.ParseChat([]byte(chatBody(true, 10)))
		if err != nil {
			t.Fatal(err)
		}
		class := quetzalhook.NewClass("question", quetzalhook.TierUrgent, quetzalhook.WithTTFTTarget(target))
		w := &hookWriter{ResponseRecorder: httptest.NewRecorder()}
		call := relay.Call{
			Request: quetzalhook.Request{ID: quetzalhook.RequestID(rune('a' + i)), Class: class, Model: testModel, Repeatable: true},
			Chat:    chat, Answer: relay.NewAnswer(w, "r1", chat, time.Now), Guard: relay.Guard{Sent: &h.sent},
		}
		begin := time.Now()
		ticket, err := h.broker.Submit(context.Background(), call.Request)
		if err != nil {
			t.Fatal(err)
		}
		if err := h.relay.Chat(ticket, call); err != nil {
			t.Fatal(err)
		}
		if got := call.Answer.FirstToken().Sub(begin); got > target {
			t.Errorf("first token of request %d: got after %s, want within %s", i, got, target)
		}
	}
}
