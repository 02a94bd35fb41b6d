package probe

import (
	"testing"
	"time"

	"quetzalhook"
	"quetzalhook/internal/entry/relay"
)

// Guards against a poll rate that grows with the number of upstreams: at an interval
// of 250 ms each, one host polled 700 upstreams 2,800 times/s.
func TestPollsAreBounded(t *testing.T) {
	p := New(relay.NewPool(), func(quetzalhook.Load) {})
	for n, want := range map[int]time.Duration{
		1: 250 * time.Millisecond, 21: 250 * time.Millisecond, 57: 570 * time.Millisecond, 700: 2 * time.Second,
	} {
		if got := p.pollInterval(n); got != want {
			t.Errorf("%d upstreams: got %s, want %s", n, got, want)
		}
	}
}
