package calendar

import (
	"testing"
	"time"

	"quetzalhook"
)

// Guards against a clock that was wrong at the start and is not corrected, and
// against one that is corrected to the wrong time of a single other host.
func TestCorrection(t *testing.T) {
	truth := time.Unix(1_000_000, 0)
	for _, tt := range []struct {
		name string
		// own and others are the errors of this host's and the other hosts' clocks.
		own    time.Duration
		others []time.Duration
		want   time.Duration // largest allowed error after correction
	}{
		{"right clock, right others", 0, []time.Duration{0, 20 * time.Millisecond}, 20 * time.Millisecond},
		{"wrong clock, right others", 2400 * time.Millisecond, []time.Duration{0, 0}, 20 * time.Millisecond},
		{"right clock, one wrong other", 0, []time.Duration{-2400 * time.Millisecond, 0}, 20 * time.Millisecond},
		{"wrong clock, one right other", -2400 * time.Millisecond, []time.Duration{0}, 2400 * time.Millisecond},
	} {
		monotonic := time.Unix(5, 0)
		c := New(quetzalhook.ClockFunc(func() time.Time { return monotonic }), truth.Add(tt.own))
		now := truth
		for range 3 {
			for i, e := range tt.others {
				c.Observe(quetzalhook.HostID(rune('a'+i)), now.Add(e))
			}
			monotonic, now = monotonic.Add(time.Second), now.Add(time.Second)
		}
		if got := c.Now().Sub(now).Abs(); got > tt.want {
			t.Errorf("%s: got an error of %v, want at most %v", tt.name, got, tt.want)
		}
	}
}

// Guards against expired samples that still correct the clock.
func TestOldSamplesDoNotCount(t *testing.T) {
	monotonic := time.Unix(5, 0)
	truth := time.Unix(1_000_000, 0)
	c := New(quetzalhook.ClockFunc(func() time.Time { return monotonic }), truth)
	c.Observe("a", truth.Add(time.Hour))
	monotonic = monotonic.Add(2 * sampleMaxAge)
	c.Observe("b", truth.Add(2*sampleMaxAge).Add(time.Hour))
	if got, want := c.Now(), truth.Add(2*sampleMaxAge); !got.Equal(want) {
		t.Errorf("wall-clock time: got %v, want %v", got, want)
	}
}
