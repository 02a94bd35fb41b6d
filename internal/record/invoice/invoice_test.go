package invoice

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"os"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/sirupsen/logrus"

	"quetzalhook"
	"quetzalhook/internal/fleet/lease"
	"quetzalhook/internal/fleet/peer"
	"quetzalhook/internal/platform/memory"
	"quetzalhook/internal/record/tally"
	"quetzalhook/internal/state/calendar"
	"quetzalhook/internal/state/invariant"
)

// TestMain runs the tests on one thread: with several, timers in a synctest
// bubble sometimes crash the runtime of the race detector.
func TestMain(m *testing.M) {
	flag.Parse()
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}

// receiver is the platform that receives the reports. It records violations:
// reports of one window with different counts, and fencing tokens that decrease.
type receiver struct {
	mu          sync.Mutex
	reports     map[int64]string
	fencing     uint64
	violations  []string
	lostAnswers int // number of next reports whose answer is lost
	down        bool
}

func (r *receiver) report(fencing uint64, window int64, counts map[quetzalhook.CustomerID]int64) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down {
		return errors.New("down")
	}
	var parts []string
	for _, c := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s=%d", c, counts[c]))
	}
	text := strings.Join(parts, " ")
	if before, ok := r.reports[window]; ok && before != text {
		r.violations = append(r.violations, fmt.Sprintf("window %d: %q after %q", window, text, before))
	}
	if fencing < r.fencing {
		r.violations = append(r.violations, fmt.Sprintf("fencing token %d after %d", fencing, r.fencing))
	}
	r.fencing = max(r.fencing, fencing)
	r.reports[window] = text
	if r.lostAnswers > 0 {
		r.lostAnswers--
		return errors.New("the answer is lost")
	}
	return nil
}

// setFaults sets the number of next reports whose answer is lost, and whether the
// receiver is down.
func (r *receiver) setFaults(lostAnswers int, down bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lostAnswers, r.down = lostAnswers, down
}

// host is one simulated host. Its gate can pause or kill it.
type host struct {
	name     string
	gate     *memory.Gate
	counter  *tally.Counter
	duty     *lease.Lease
	reporter *Reporter
	stop     context.CancelFunc
	done     chan struct{}
}

// sink implements Sink. It passes reports on to receiver, waits while the host is
// paused, and sends nothing after the host is killed.
type sink struct {
	gate     *memory.Gate
	receiver *receiver
}

func (s sink) ReportUsage(_ context.Context, fencing uint64, window int64, counts map[quetzalhook.CustomerID]int64) error {
	if s.gate.Pass() != nil {
		return errors.New("killed")
	}
	return s.receiver.report(fencing, window, counts)
}

// testCluster runs several hosts on virtual time, with a shared store, network and
// receiver.
type testCluster struct {
	t           *testing.T
	clock       quetzalhook.Clock
	store       *memory.Store
	network     *peer.Network
	inv         *invariant.Registry
	receiver    *receiver
	hosts       map[string]*host
	counted     map[int64]map[string]int // counted requests by window and customer
	copied      memory.Copy
	incarnation quetzalhook.Incarnation
}

const window = 5 * time.Second

func newTestCluster(t *testing.T, n int, opts ...memory.Option) *testCluster {
	clock := quetzalhook.ClockFunc(time.Now)
	c := &testCluster{
		t: t, clock: clock, store: memory.New(opts...), network: peer.NewNetwork(clock, 1), inv: invariant.New(nil),
		receiver: &receiver{reports: make(map[int64]string)}, hosts: make(map[string]*host), counted: make(map[int64]map[string]int),
	}
	for i := range n {
		c.startHost(fmt.Sprintf("h%d", i))
	}
	return c
}

func (c *testCluster) startHost(name string) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	c.incarnation++
	h := &host{name: name, gate: &memory.Gate{}, done: make(chan struct{})}
	id := quetzalhook.HostID(name)
	endpoint := c.network.Endpoint(id)
	zone := quetzalhook.Zone("z" + name[len(name)-1:])
	clock := h.gate.Clock(c.clock)
	cal := calendar.New(c.clock, time.Now())
	h.counter = tally.New(tally.Source{Host: id, Incarnation: c.incarnation}, zone, endpoint, cal, window, log)
	c.network.Join(endpoint, func() quetzalhook.Member { return quetzalhook.Member{Zone: zone} })
	store := h.gate.Store(c.store)
	var err error
	h.duty, err = lease.New("duty", id, c.incarnation, store, clock, c.inv, lease.WithTerm(3*time.Second, time.Second))
	if err != nil {
		c.t.Fatal(err)
	}
	h.reporter = New(h.duty, store, sink{h.gate, c.receiver}, h.counter, cal, c.inv, log)
	ctx, cancel := context.WithCancel(context.Background())
	h.stop = cancel
	h.counter.Start()
	h.duty.Start()
	go func() {
		defer close(h.done)
		for ctx.Err() == nil {
			h.reporter.Step(ctx)
			time.Sleep(250 * time.Millisecond)
		}
	}()
	c.hosts[name] = h
}

// stopHost stops a host. If kill is true, the host is killed: it sends and writes
// nothing any more.
func (c *testCluster) stopHost(name string, kill bool) {
	h := c.hosts[name]
	delete(c.hosts, name)
	if kill {
		h.gate.Kill()
		c.network.Leave(quetzalhook.HostID(name))
	}
	h.stop()
	<-h.done
	_ = h.duty.Close()
	_ = h.counter.Close()
	c.network.Leave(quetzalhook.HostID(name))
}

// pause pauses a host for some seconds.
func (h *host) pause() {
	h.gate.Pause()
	time.AfterFunc(8*time.Second, h.gate.Resume)
}

// count counts n requests of a customer on a host, and records them in counted.
func (c *testCluster) count(name, customer string, n int) {
	at := int64(c.hosts[name].counter.At(time.Now()))
	if c.counted[at] == nil {
		c.counted[at] = make(map[string]int)
	}
	for range n {
		c.hosts[name].counter.Add(quetzalhook.CustomerID(customer))
	}
	c.counted[at][customer] += n
}

// holder returns the name of the host that holds the duty, or "nobody".
func (c *testCluster) holder() string {
	for _, name := range slices.Sorted(maps.Keys(c.hosts)) {
		if c.hosts[name].duty.Held() {
			return name
		}
	}
	return "nobody"
}

// hostName returns s, or the name of the current holder if s is "holder", and of the last
// other host if s is "other".
func (c *testCluster) hostName(s string) string {
	switch s {
	case "holder":
		return c.holder()
	case "other":
		names := slices.Sorted(maps.Keys(c.hosts))
		return slices.Max(slices.DeleteFunc(names, func(name string) bool { return name == c.holder() }))
	}
	return s
}

// runCommand runs one line of a test script.
func (c *testCluster) runCommand(line string) {
	f := strings.Fields(line)
	switch f[0] {
	case "count":
		var n int
		if _, err := fmt.Sscan(f[3], &n); err != nil {
			c.t.Fatal(err)
		}
		c.count(c.hostName(f[1]), f[2], n)
	case "wait":
		d, err := time.ParseDuration(f[1])
		if err != nil {
			c.t.Fatal(err)
		}
		time.Sleep(d) // virtual time
		synctest.Wait()
	case "kill":
		c.stopHost(c.hostName(f[1]), true)
	case "stop":
		c.stopHost(c.hostName(f[1]), false)
	case "start":
		c.startHost(f[1])
	case "pause":
		c.hosts[c.hostName(f[1])].pause()
	case "pause-others":
		for name, h := range c.hosts {
			if name != f[1] {
				h.pause()
			}
		}
	case "kill-others":
		kept := c.hostName(f[1])
		for _, name := range slices.Sorted(maps.Keys(c.hosts)) {
			if name != kept {
				c.stopHost(name, true)
			}
		}
	case "lose":
		c.receiver.setFaults(2, false)
	case "platform":
		c.receiver.setFaults(0, f[1] == "down")
	case "store":
		c.store.SetFaults(memory.Faults{Outage: f[1] == "down"})
	case "odd": // another program writes the objects of all windows
		for i := range frozenObjects {
			key, base := fmt.Sprintf("usage/%d", i), quetzalhook.Version(0)
			if o, err := c.store.Get(c.t.Context(), key); err == nil {
				base = o.Version
			}
			if _, err := c.store.Put(c.t.Context(), key, []byte(f[1]), base); err != nil {
				c.t.Fatal(err)
			}
		}
	case "copy":
		c.copied = c.store.Copy()
	case "return": // the store comes back from the copy
		c.store.Return(c.copied)
	case "cut": // a host off from all others, or none
		var name string
		if len(f) > 1 {
			name = c.hostName(f[1])
		}
		c.network.SetFaults(peer.NetworkFaults{Cut: func(a, b quetzalhook.HostID) bool { return string(a) == name || string(b) == name }})
	case "lose-changes":
		c.store.SetFaults(memory.Faults{LoseAnswers: 3})
	}
}

// Guards against a window that is not reported, or is reported twice with different
// counts by two hosts that both act as holder of the duty. The faults are a holder
// that is killed, stopped or paused, lost answers, outages of the store or the platform, a
// store that comes back from an older copy, and objects of another program. Also guards
// against lost counts of a killed host.
func TestReports(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var out strings.Builder
			synctest.Test(t, func(t *testing.T) {
				var opts []memory.Option
				if d.Cmd == "play-eras" {
					opts = append(opts, memory.WithEras())
				}
				c := newTestCluster(t, 4, opts...)
				// A window begins one second from now.
				now := time.Now()
				time.Sleep(now.Truncate(window).Add(2 * window).Sub(now))
				first := int64(c.hosts["h0"].counter.At(time.Now()))
				for line := range strings.Lines(d.Input) {
					c.runCommand(strings.TrimSpace(line))
				}
				for _, name := range slices.Sorted(maps.Keys(c.hosts)) {
					c.stopHost(name, false)
				}
				for at := first; c.receiver.reports[at] != "" || c.counted[at] != nil; at++ {
					fmt.Fprintf(&out, "window %d: %s\n", at-first, c.receiver.reports[at])
				}
				for _, f := range c.receiver.violations {
					fmt.Fprintln(&out, "FAULT:", f)
				}
				if n := c.inv.Violations(); n > 0 {
					fmt.Fprintf(&out, "violations: %d\n", n)
				}
			})
			return out.String()
		})
	})
}

// Guards against a second report of a window with other counts under random faults and
// returns of the store. A paused host may send late, with an old fencing token.
func TestReportsRandom(t *testing.T) {
	steps := strings.Split("count HOST a 1,count HOST b 2,copy,return,kill HOST,start NEW,pause HOST,cut HOST,cut,lose,lose-changes,store down,store up", ",")
	for seed := range uint64(50) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 0))
			c := newTestCluster(t, 4, memory.WithEras())
			c.copied = c.store.Copy()
			for n := range 120 {
				names := slices.Sorted(maps.Keys(c.hosts))
				host := names[random.IntN(len(names))]
				if h := c.holder(); h != "nobody" && random.IntN(2) == 0 {
					host = h
				}
				if step := steps[random.IntN(len(steps))]; len(names) > 2 || step != "kill HOST" {
					c.runCommand(strings.NewReplacer("HOST", host, "NEW", fmt.Sprint("h", len(names)+n)).Replace(step))
				}
				time.Sleep(time.Duration(random.IntN(1200)) * time.Millisecond)
			}
			for _, name := range slices.Sorted(maps.Keys(c.hosts)) {
				c.stopHost(name, false)
			}
			for _, v := range c.receiver.violations {
				if strings.HasPrefix(v, "window") {
					t.Errorf("seed %d: %s", seed, v)
				}
			}
		})
	}
}
