package limit

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"quetzalhook"

	"pgregory.net/rapid"
)

// TestMain fixes the seed of rapid. The flags -rapid.seed and -rapid.checks
// override the seed and the number of runs.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	tick   = 50 * time.Millisecond
	gossip = 250 * time.Millisecond
	hub    = 9 // value of side for a host that hears, and is heard by, all others
)

var testLimit = quetzalhook.CustomerLimit{WorkRate: 1000, WorkBurst: 5000, Concurrency: 20}

// cluster simulates several hosts that gossip with each other, with callers
// that send as much work as is admitted.
type cluster struct {
	hosts    []*Limiter
	used     [][]map[quetzalhook.CustomerID]float64 // last received use, by receiver and sender
	age      [][]time.Duration                      // age of used
	side     []int                                  // side of the partition that each host is on
	now      time.Time
	admitted float64
	level    float64 // admitted work beyond WorkRate x period, over the worst period that ends now
	worst    float64 // largest excess of level over WorkBurst so far
}

func newCluster(n int) *cluster {
	g := &cluster{now: epoch, side: make([]int, n)}
	for range n {
		h := New(n)
		h.SetLimits(epoch, map[quetzalhook.CustomerID]quetzalhook.CustomerLimit{"c": testLimit})
		g.hosts = append(g.hosts, h)
		g.used = append(g.used, make([]map[quetzalhook.CustomerID]float64, n))
		g.age = append(g.age, make([]time.Duration, n))
	}
	return g
}

// gossip delivers the demands of the hosts within each side of the partition.
func (g *cluster) gossip() {
	for i, h := range g.hosts {
		var demands []quetzalhook.PeerDemand
		for j, from := range g.hosts {
			if i == j {
				continue
			}
			if g.side[i] == g.side[j] || g.side[i] == hub || g.side[j] == hub {
				g.used[i][j], g.age[i][j] = from.Used(), 0
			} else {
				g.age[i][j] += gossip
			}
			demands = append(demands, quetzalhook.PeerDemand{
				Host: quetzalhook.HostID(fmt.Sprint(j)), Age: g.age[i][j], Demand: quetzalhook.Demand{Used: g.used[i][j]},
			})
		}
		h.ObservePeers(g.now, demands)
	}
}

// step advances the time by one tick. Each host h admits as many requests of
// size work[h] as its limiter allows.
func (g *cluster) step(work []float64) {
	g.now = g.now.Add(tick)
	if g.now.Sub(epoch)%gossip == 0 {
		g.gossip()
	}
	g.level = max(g.level-testLimit.WorkRate*tick.Seconds(), 0)
	for i, h := range g.hosts {
		h.Tick(g.now)
		for work[i] > 0 {
			if ok, _ := h.Admit(g.now, "c", work[i]); !ok {
				break
			}
			g.admitted += work[i]
			g.level += work[i]
		}
	}
	g.worst = max(g.worst, g.level-testLimit.WorkBurst)
}

// TestExcess guards against hosts that, in a network partition of any shape,
// together admit more than MaxExcess beyond the limit.
func TestExcess(t *testing.T) {
	most := 0.0
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 6).Draw(t, "hosts")
		g := newCluster(n)
		for range rapid.IntRange(1, 8).Draw(t, "phases") {
			for i := range g.side {
				g.side[i] = rapid.IntRange(0, 2).Draw(t, "side")
			}
			work := rapid.SliceOfN(rapid.SampledFrom([]float64{0, 1, 300, 6000}), n, n).Draw(t, "work")
			for range rapid.IntRange(1, 600).Draw(t, "ticks") {
				g.step(work)
			}
		}
		want := MaxExcess(testLimit, n, SilentAfter+2*gossip, 6000)
		most = max(most, g.worst/want)
		if g.worst > want {
			t.Fatalf("got excess %.0f, want at most %.0f", g.worst, want)
		}
	})
	t.Logf("largest excess: %.2f of the bound", most)
}

// TestExcessOutsideBound checks that hosts that keep the whole rate during a
// partition exceed the bound, so that TestExcess would detect them. It also
// checks that hosts that do not hear each other, but all hear an idle one, exceed
// the bound by at most the growth that MaxExcess documents.
func TestExcessOutsideBound(t *testing.T) {
	const seconds = 60
	for _, tc := range []struct {
		name   string
		silent time.Duration
		side   []int
		growth float64 // excess growth as a multiple of the rate
	}{
		{"no fallback", time.Hour, []int{0, 1, 2, 3}, 3},
		{"partial", SilentAfter, []int{hub, 1, 2, 3}, 25.0/16 - 1},
	} {
		g := newCluster(4)
		for _, h := range g.hosts {
			h.silentAfter = tc.silent
		}
		g.gossip()
		copy(g.side, tc.side)
		for range seconds * int(time.Second/tick) {
			g.step([]float64{0, 300, 300, 300})
		}
		bound := MaxExcess(testLimit, 4, SilentAfter+2*gossip, 300)
		most := bound + testLimit.WorkRate*seconds*tc.growth
		t.Logf("%s: excess %.0f, bound %.0f, with growth %.0f", tc.name, g.worst, bound, most)
		if g.worst <= bound || g.worst > most {
			t.Errorf("%s: got excess %.0f, want over %.0f and at most %.0f", tc.name, g.worst, bound, most)
		}
	}
}

// TestUse guards against a limiter that rejects work within the limit, and
// against hosts that together run more requests than MaxConcurrencyExcess
// allows.
func TestUse(t *testing.T) {
	for _, tc := range []struct {
		name    string
		callers int     // number of hosts with callers
		side    []int   // sides of the partition after 10 s
		rate    float64 // minimum admitted work as a fraction of WorkRate
		running int     // minimum number of running requests
	}{
		{"one host", 1, []int{0, 0, 0, 0}, 0.95, 17},
		{"all hosts", 4, []int{0, 0, 0, 0}, 0.95, 16},
		{"one host, one dead", 1, []int{0, 0, 0, 1}, 0.7, 13},
		{"all hosts, one dead", 3, []int{0, 0, 0, 1}, 0.7, 15},
		{"all hosts, cut", 4, []int{0, 1, 2, 3}, 0.95, 20},
	} {
		g := newCluster(4)
		work := make([]float64, 4)
		for i := range tc.callers {
			work[i] = 50
		}
		for i := range 2400 {
			if i == 200 {
				copy(g.side, tc.side)
			}
			g.step(work)
		}
		rate, running := g.admitted/(testLimit.WorkRate*120), 0
		for _, h := range g.hosts[:tc.callers] {
			for h.Acquire(g.now, "c") {
				running++
			}
		}
		t.Logf("%s: %.2f of the rate, %d of %d running", tc.name, rate, running, testLimit.Concurrency)
		most := testLimit.Concurrency + MaxConcurrencyExcess(testLimit, 4, true)
		if rate < tc.rate || running < tc.running || running > most {
			t.Errorf("%s: got %.2f and %d, want %.2f and %d to %d", tc.name, rate, running, tc.rate, tc.running, most)
		}
	}
}

// TestIdleStateIsRemoved guards against state that grows with the number of
// customers that ever sent a request.
func TestIdleStateIsRemoved(t *testing.T) {
	l := New(1)
	for i := range 1000 {
		l.Admit(epoch, quetzalhook.CustomerID(fmt.Sprint(i)), 10)
	}
	for i := range 40 {
		l.Tick(epoch.Add(2 * stateRetention).Add(time.Duration(i) * tick))
	}
	if got := l.Len(); got != 0 {
		t.Errorf("got %d customers, want 0", got)
	}
}
