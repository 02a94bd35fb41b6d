package dispatcher

import (
	"context"
	"flag"
	"fmt"
	"io"
	"maps"
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
	"quetzalhook/internal/fleet/peer"
)

// TestMain runs the tests on one thread: with several, timers in a synctest
// bubble sometimes crash the race detector's own runtime.
func TestMain(m *testing.M) {
	flag.Parse()
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}

// generous allows a number of repeats.
type generous struct{ left int }

func (g *generous) Count(time.Time, string) {}

func (g *generous) Take(time.Time, string) bool {
	g.left--
	return g.left >= 0
}

// world runs the dispatchers of some hosts in virtual time.
type world struct {
	t       *testing.T
	network *peer.Network
	hosts   map[string]*Dispatcher
	tickets map[string]quetzalhook.Ticket
	out     strings.Builder

	mu      sync.Mutex     // guards what the dispatchers' own goroutines read
	leader  string         // of the first group
	leaders map[int]string // of the others
	delay   time.Duration
	cut     map[string]bool
	gone    map[quetzalhook.UpstreamID]bool // known to all but the leader
}

func newWorld(t *testing.T) *world {
	clock := quetzalhook.ClockFunc(time.Now)
	w := &world{
		t: t, network: peer.NewNetwork(clock, 1), hosts: make(map[string]*Dispatcher), leader: "h0", leaders: map[int]string{1: "h2"},
		cut: make(map[string]bool), gone: make(map[quetzalhook.UpstreamID]bool), tickets: make(map[string]quetzalhook.Ticket),
	}
	w.setFaults()
	log := logrus.New()
	log.SetOutput(io.Discard)
	for i := range 3 {
		name := fmt.Sprintf("h%d", i)
		end := w.network.Endpoint(quetzalhook.HostID(name))
		d := New(Settings{
			Host: quetzalhook.HostID(name), Leader: w.leading, Position: w.position(i), Usable: w.usable, Budget: &generous{left: 5},
		}, end, clock, log)
		w.network.Join(end, func() quetzalhook.Member { return quetzalhook.Member{} })
		w.hosts[name] = d
		d.Start()
	}
	return w
}

// setFaults puts the delay and the cuts of the script in force.
func (w *world) setFaults() {
	w.network.SetFaults(peer.NetworkFaults{Delay: w.delay, Cut: func(a, b quetzalhook.HostID) bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.cut[string(a)] || w.cut[string(b)]
	}})
}

func (w *world) leading(group int) quetzalhook.HostID {
	w.mu.Lock()
	defer w.mu.Unlock()
	if group > 0 {
		return quetzalhook.HostID(w.leaders[group])
	}
	return quetzalhook.HostID(w.leader)
}

// position puts the first of three hosts into the first third, and so on.
func (w *world) position(i int) func() float64 {
	return func() float64 { return float64(i) / 3 }
}

func (w *world) usable(u quetzalhook.Upstream) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.gone[u.ID]
}

// change applies a change to what the dispatchers' own goroutines read.
func (w *world) change(apply func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	apply()
}

func (w *world) close() {
	for _, d := range w.hosts {
		if err := d.Close(); err != nil {
			w.t.Error(err)
		}
	}
}

// engines gives all hosts a number of engines with the given slots.
func (w *world) engines(n, slots int) {
	var list []quetzalhook.Upstream
	for i := range n {
		list = append(list, quetzalhook.Upstream{
			ID: quetzalhook.UpstreamID(fmt.Sprintf("e%d", i)), Service: "s", Models: []quetzalhook.Model{"m"}, Slots: slots,
		})
	}
	for _, d := range w.hosts {
		d.SetUpstreams(list)
	}
}

// fill submits requests on a host one after the other and counts them by group.
func (w *world) fill(host, prefix string, count int) {
	placed := make(map[int]int)
	refused := 0
	for i := range count {
		id := fmt.Sprintf("%s%d", prefix, i)
		t := w.submit(host, id, 100*time.Millisecond)
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		a, err := t.Next(ctx)
		cancel()
		if err != nil {
			refused++
			continue
		}
		placed[w.hosts[host].groups.of(a.Upstream.ID)]++
	}
	fmt.Fprintf(&w.out, "placed by group: %v, not placed: %d\n", placed, refused)
}

func (w *world) submit(host, id string, patience time.Duration) quetzalhook.Ticket {
	t := w.hosts[host].Submit(context.Background(), quetzalhook.Request{
		ID: quetzalhook.RequestID(id), Service: "s", Model: "m", PromptTokens: 100, MaxTokens: 10, Patience: patience, Attempts: 2,
		Class: quetzalhook.NewClass("c", 0, quetzalhook.WithTTFTTarget(time.Second)),
	})
	w.tickets[id] = t
	return t
}

// ask submits a request on a host and waits for its upstream.
func (w *world) ask(host, id string, patience time.Duration) {
	t := w.tickets[id]
	if t == nil {
		t = w.submit(host, id, patience)
	}
	begin := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	a, err := t.Next(ctx)
	took := time.Since(begin).Round(10 * time.Millisecond)
	if err != nil {
		fmt.Fprintf(&w.out, "%s: %v after %v\n", id, err, took)
		return
	}
	fmt.Fprintf(&w.out, "%s: placed after %v", id, took)
	if g := w.hosts[host].groups; g.count() > 1 {
		fmt.Fprintf(&w.out, " in group %d", g.of(a.Upstream.ID))
	}
	fmt.Fprintln(&w.out)
}

func (w *world) run(line string) {
	f := strings.Fields(line)
	n := func(i int) int {
		var v int
		if _, err := fmt.Sscan(f[i], &v); err != nil {
			w.t.Fatal(err)
		}
		return v
	}
	switch f[0] {
	case "engines":
		w.engines(n(1), n(2))
	case "no-engines": // host
		w.hosts[f[1]].SetUpstreams(nil)
	case "ask": // host id patience-ms
		w.ask(f[1], f[2], time.Duration(n(3))*time.Millisecond)
	case "delay": // between two hosts, one way
		w.delay = time.Duration(n(1)) * time.Millisecond
		w.setFaults()
	case "end": // id end
		ends := map[string]quetzalhook.End{"finished": quetzalhook.EndFinished, "broken": quetzalhook.EndBroken, "not-sent": quetzalhook.EndNotSent}
		w.tickets[f[1]].End(quetzalhook.AttemptEnd{End: ends[f[2]]})
	case "see": // id: the number of requests that its engine tells
		w.tickets[f[1]].Observe(quetzalhook.Verdict{HasLoad: true, Running: n(2)})
		w.tickets[f[1]].Progress(1)
	case "foreign": // host: the requests of others that its scheduler counts with
		fmt.Fprintf(&w.out, "%s counts with %.1f foreign requests\n", f[1], w.hosts[f[1]].groups.desk(0).load().Foreign)
	case "progress":
		w.tickets[f[1]].Progress(n(2))
	case "leader": // host [group]
		w.change(func() {
			if len(f) > 2 {
				w.leaders[n(2)] = f[1]
				return
			}
			w.leader = f[1]
		})
	case "fill": // host prefix count
		w.fill(f[1], f[2], n(3))
	case "cut":
		w.change(func() { w.cut[f[1]] = true })
	case "heal":
		w.change(func() { delete(w.cut, f[1]) })
	case "gone":
		w.change(func() { w.gone[quetzalhook.UpstreamID(f[1])] = true })
	case "wait":
		d, err := time.ParseDuration(f[1])
		if err != nil {
			w.t.Fatal(err)
		}
		time.Sleep(d) // virtual time
		synctest.Wait()
	case "knows": // host [group]: the requests that its scheduler counts as running
		group := 0
		if len(f) > 2 {
			group = n(2)
		}
		d := w.hosts[f[1]].groups.desk(group)
		d.mu.Lock()
		var ids []string
		for id := range maps.Keys(d.owners) {
			ids = append(ids, string(id))
		}
		d.mu.Unlock()
		slices.Sort(ids)
		fmt.Fprintf(&w.out, "%s knows: %s\n", f[1], strings.Join(ids, " "))
	default:
		w.t.Fatalf("unknown command %q", line)
	}
}

// Guards against a request that waits for a lost leader, against one that a
// leader refuses because it knows no engines, against a leader that
// does not learn of requests that run, or never forgets them, against load by
// hosts that are cut off from the leader, of which it does not learn, against a
// decision that is lost because its host is between two calls, against a request
// that is sent again beyond what its route allows, and, in a fleet of several
// groups of engines, against requests that wait in one group while another has
// room, or whose leader of a group does not learn of them.
func TestDispatching(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var out string
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t)
				defer w.close()
				for line := range strings.Lines(d.Input) {
					w.run(strings.TrimSpace(line))
				}
				out = w.out.String()
			})
			return out
		})
	})
}
