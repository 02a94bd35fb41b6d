package probe

import (
	"testing"
	"time"

	"quetzalhook"
	"quetzalhook/internal/entry/relay"
)

// Guards against polls that grow with the number of upstreams: at 250 ms each,
// 700 upstreams took 2,800 polls/s of one host.
func TestPollsAreBounded(t *testing.T) {
	p := New(relay.NewPool(), func(quetzalhook.Load) {})
	for n, want := range map[int]time.Duration{
		1: 250 * time.Millisecond, 21: 250 * time.Millisecond, 57: 570 * time.Millisecond, 700: 2 * time.Second,
	} {
		if got := p.every(n); got != want {
			t.Errorf("%d upstreams: got %s, want %s", n, got, want)
		}
	}
}
