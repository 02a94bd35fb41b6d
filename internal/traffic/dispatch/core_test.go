package dispatch

import (
	"testing"
	"time"

	"quetzalhook"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func upstream(id string, slots int) quetzalhook.Upstream {
	return quetzalhook.Upstream{ID: quetzalhook.UpstreamID(id), Models: []quetzalhook.Model{"m"}, Slots: slots}
}

func request(id string, class quetzalhook.Class) quetzalhook.Request {
	return quetzalhook.Request{
		ID: quetzalhook.RequestID(id), Customer: "c", Class: class, Model: "m", PromptTokens: 100, Repeatable: true,
	}
}

// TestPreemptForUrgent guards against an urgent request that waits behind
// lower-tier work and against a lost resume point.
func TestPreemptForUrgent(t *testing.T) {
	urgent := quetzalhook.NewClass("permit-question", 0)
	long := quetzalhook.NewClass("rulebook-question", 2)
	c := New(newFakePlacer())
	c.SetUpstreams(epoch, []quetzalhook.Upstream{upstream("u", 1)})
	c.Submit(epoch, request("a", long))
	c.Progress(epoch, "a", 7)
	got := c.Submit(epoch, request("b", urgent))
	if len(got) != 1 || got[0].Kind != quetzalhook.ActionCancel || got[0].Request != "a" {
		t.Fatalf("got %+v, want a cancel of a", got)
	}
	got = c.End(epoch, "a", quetzalhook.EndCancelled)
	if len(got) != 1 || got[0].Kind != quetzalhook.ActionStart || got[0].Request != "b" {
		t.Fatalf("got %+v, want a start of b", got)
	}
	got = c.End(epoch, "b", quetzalhook.EndFinished)
	if len(got) != 1 || got[0].Request != "a" || got[0].Offset != 7 {
		t.Fatalf("got %+v, want a start of a at 7", got)
	}
}
