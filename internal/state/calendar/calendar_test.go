package calendar

import (
	"testing"
	"time"

	"quetzalhook"
)

// Guards against a host whose time of day was wrong when it started and stays
// wrong, and against one that follows a single wrong host.
func TestCorrection(t *testing.T) {
	truth := time.Unix(1_000_000, 0)
	for _, tt := range []struct {
		name string
		// own and others are errors of the clocks.
		own    time.Duration
		others []time.Duration
		want   time.Duration // bound on the error that is left
	}{
		{"right with right ones", 0, []time.Duration{0, 20 * time.Millisecond}, 20 * time.Millisecond},
		{"wrong with right ones", 2400 * time.Millisecond, []time.Duration{0, 0}, 20 * time.Millisecond},
		{"right with a wrong one", 0, []time.Duration{-2400 * time.Millisecond, 0}, 20 * time.Millisecond},
		{"wrong and alone with one", -2400 * time.Millisecond, []time.Duration{0}, 2400 * time.Millisecond},
	} {
		steady := time.Unix(5, 0)
		c := New(quetzalhook.ClockFunc(func() time.Time { return steady }), truth.Add(tt.own))
		now := truth
		for range 3 {
			for i, e := range tt.others {
				c.Observe(quetzalhook.HostID(rune('a'+i)), now.Add(e))
			}
			steady, now = steady.Add(time.Second), now.Add(time.Second)
		}
		if got := c.Now().Sub(now).Abs(); got > tt.want {
			t.Errorf("%s: got an error of %v, want at most %v", tt.name, got, tt.want)
		}
	}
}

// Guards against hosts that are gone and still correct the clock.
func TestOldSamplesDoNotCount(t *testing.T) {
	steady := time.Unix(5, 0)
	truth := time.Unix(1_000_000, 0)
	c := New(quetzalhook.ClockFunc(func() time.Time { return steady }), truth)
	c.Observe("a", truth.Add(time.Hour))
	steady = steady.Add(2 * sampleLife)
	c.Observe("b", truth.Add(2*sampleLife).Add(time.Hour))
	if got, want := c.Now(), truth.Add(2*sampleLife); !got.Equal(want) {
		t.Errorf("time of day: got %v, want %v", got, want)
	}
}
