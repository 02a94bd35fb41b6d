package reach

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"quetzalhook"
)

func upstreams(service string, n int) []quetzalhook.Upstream {
	var list []quetzalhook.Upstream
	for i := range n {
		list = append(list, quetzalhook.Upstream{ID: quetzalhook.UpstreamID(fmt.Sprint(service, i)), Service: service})
	}
	return list
}

// Guards against a host that is taken to be cut off since one upstream or all of one
// service have failed, and against one that is cut off and is not taken to be.
func TestCutOff(t *testing.T) {
	const ms = time.Millisecond
	start := time.Unix(1000, 0)
	list := append(upstreams("a", 18), upstreams("b", 18)...)
	random := rand.New(rand.NewPCG(1, 1))
	for _, c := range []struct {
		name    string
		failing func(u quetzalhook.Upstream) bool
		dials   int // of requests, one every 100 ms, at upstreams in turn
		want    bool
	}{
		{"one upstream fails", func(u quetzalhook.Upstream) bool { return u.ID == "a0" }, 200, false},
		{"a service fails", func(u quetzalhook.Upstream) bool { return u.Service == "a" }, 200, false},
		{"half of the upstreams fail", func(u quetzalhook.Upstream) bool { return u.ID[len(u.ID)-1]%2 == 0 }, 200, false},
		{"all fail", func(quetzalhook.Upstream) bool { return true }, 2, true},
		{"one is tried, and fails", func(quetzalhook.Upstream) bool { return true }, 1, false},
	} {
		tracker := New(WithRandom(random))
		dial := func(now time.Time, u quetzalhook.Upstream) bool {
			if c.failing(u) {
				tracker.Failed(now, u.ID, u.Started)
				return false
			}
			tracker.Opened(now, u.ID)
			return true
		}
		for i := range c.dials {
			now := start.Add(time.Duration(i) * 100 * ms)
			dial(now, list[i%18])
			checked := tracker.Check(now, list)
			if len(checked) > checkedUpstreams {
				t.Fatalf("%s: a check tries %d upstreams", c.name, len(checked))
			}
			opened := false
			for _, u := range checked {
				opened = dial(now.Add(ms), u) || opened
			}
			if len(checked) > 0 && !opened {
				tracker.Conclude(now)
			}
		}
		if got := tracker.IsCutOff(); got != c.want {
			t.Errorf("%s: cut off: got %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against a host that stays cut off although it reaches an upstream again, and
// against more than one connection a second meanwhile.
func TestReturn(t *testing.T) {
	start := time.Unix(1000, 0)
	list := upstreams("a", 18)
	tracker := New(WithRandom(rand.New(rand.NewPCG(1, 1))))
	for _, u := range list[:2] {
		tracker.Failed(start, u.ID, 0)
	}
	tracker.Check(start, list)
	tracker.Conclude(start)
	reaching := tracker.Reaching()
	if reaching.Err() == nil {
		t.Fatal("not cut off")
	}
	tried := make(map[quetzalhook.UpstreamID]bool)
	n := 0
	for i := range 100 { // 10 s
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		for _, u := range tracker.Check(now, list) {
			tried[u.ID], n = true, n+1
			tracker.Failed(now, u.ID, 0)
		}
	}
	if n > 10 || len(tried) < 3 {
		t.Errorf("got %d connections to %d upstreams in 10 s, want at most 10 to various ones", n, len(tried))
	}
	tracker.Opened(start.Add(10*time.Second), "a5")
	if tracker.IsCutOff() || len(tracker.Barred(start.Add(10*time.Second))) > 0 {
		t.Error("still cut off, or upstreams are avoided, after a connection was opened")
	}
}

// Guards against an upstream that is avoided for ever, or after it has started again, and
// against a record that grows without a bound.
func TestAvoided(t *testing.T) {
	start := time.Unix(1000, 0)
	tracker := New(WithRandom(rand.New(rand.NewPCG(1, 1))))
	now := start
	for _, want := range []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second, 4 * time.Second} {
		tracker.Failed(now, "a", 1)
		tracker.Failed(now.Add(time.Millisecond), "a", 1) // opened at the same time
		if tracker.Avoids(now, "a", 2) {
			t.Error("an upstream is avoided that has started again")
		}
		if !tracker.Avoids(now.Add(want-1), "a", 1) || tracker.Avoids(now.Add(want), "a", 1) {
			t.Errorf("not avoided for %v", want)
		}
		now = now.Add(want + time.Millisecond)
	}
	tracker.Opened(now, "a")
	tracker.Failed(now, "a", 1)
	if tracker.Avoids(now.Add(minAvoid), "a", 1) {
		t.Error("the time was not reset by a connection that was opened")
	}
	for i := range 3 * maxFailures {
		tracker.Failed(now, quetzalhook.UpstreamID(fmt.Sprint(i)), 1)
	}
	if got := len(tracker.Barred(now)); got > maxFailures {
		t.Errorf("avoided upstreams: got %d, want at most %d", got, maxFailures)
	}
}
