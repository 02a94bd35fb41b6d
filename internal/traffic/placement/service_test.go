package placement

import (
	"testing"

	"quetzalhook"
)

// Guards against a planner that finds no upstream for a service. Hosts request
// a service by a model name of its own, here "service:desk".
func TestPlaceOnService(t *testing.T) {
	p := New(WithHost("a"), WithHosts(1), WithSeed(1))
	p.SetUpstreams(start, []quetzalhook.Upstream{{
		ID: "desk-1", Kind: quetzalhook.KindService, Service: "desk", Models: []quetzalhook.Model{"service:desk"}, Slots: 2,
	}})
	r := request(1)
	r.Model = "service:desk"
	if got, ok := p.Place(start, r); !ok || got != "desk-1" {
		t.Errorf("got %q %t, want desk-1", got, ok)
	}
}
