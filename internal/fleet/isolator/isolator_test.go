package isolator

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"quetzalhook"
	"quetzalhook/internal/fleet/peer"
	"quetzalhook/internal/platform/memory"
	"quetzalhook/internal/traffic/quarantine"
)

// testCluster runs the isolators of several hosts in virtual time. It also
// implements the dispatcher and the detector that they use.
type testCluster struct {
	t       *testing.T
	network *peer.Network
	store   *memory.Store
	hosts   map[string]*Isolator
	logs    map[string]*logtest.Hook
	copied  memory.Copy
	out     strings.Builder
	waiting sync.WaitGroup

	mu      sync.Mutex
	called  map[string]map[quetzalhook.HostID]bool // hosts that each host has called
	bytes   int                                    // of exchanges
	leader  string
	cut     map[string]bool
	crashed map[quetzalhook.UpstreamID]bool
	silent  map[quetzalhook.UpstreamID]bool
	sent    int // attempts that a host may send
	engines int // that bursts have used
	reached int // requests of bursts that were sent
}

func newTestCluster(t *testing.T) *testCluster {
	c := &testCluster{
		t: t, network: peer.NewNetwork(quetzalhook.ClockFunc(time.Now), 1), store: memory.New(), hosts: make(map[string]*Isolator), leader: "a",
		logs:   make(map[string]*logtest.Hook),
		called: make(map[string]map[quetzalhook.HostID]bool),
		cut:    make(map[string]bool), crashed: make(map[quetzalhook.UpstreamID]bool), silent: make(map[quetzalhook.UpstreamID]bool),
	}
	c.network.SetFaults(peer.NetworkFaults{Delay: 5 * time.Millisecond, Cut: func(x, y quetzalhook.HostID) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.cut[string(x)] || c.cut[string(y)]
	}})
	return c
}

// testPeers records the hosts that a host calls.
type testPeers struct {
	quetzalhook.Peers
	cluster *testCluster
	host    string
}

// Call implements quetzalhook.Peers.
func (p testPeers) Call(ctx context.Context, to quetzalhook.HostID, kind string, body []byte) ([]byte, error) {
	p.cluster.mu.Lock()
	p.cluster.called[p.host][to] = true
	p.cluster.mu.Unlock()
	answer, err := p.Peers.Call(ctx, to, kind, body)
	if kind == exchangeKind {
		p.cluster.mu.Lock()
		p.cluster.bytes += len(body) + len(answer)
		p.cluster.mu.Unlock()
	}
	return answer, err
}

func (c *testCluster) start(name string) {
	log, logged := logtest.NewNullLogger()
	c.logs[name] = logged
	end := c.network.Endpoint(quetzalhook.HostID(name))
	c.mu.Lock() // other hosts may be running
	c.called[name] = make(map[quetzalhook.HostID]bool)
	c.mu.Unlock()
	i := New(Settings{
		Host: quetzalhook.HostID(name), Next: c, Detector: c, Store: c.store,
		Leader: func() quetzalhook.HostID {
			c.mu.Lock()
			defer c.mu.Unlock()
			return quetzalhook.HostID(c.leader)
		},
	}, testPeers{end, c, name}, quetzalhook.ClockFunc(time.Now), log)
	c.network.Join(end, func() quetzalhook.Member { return quetzalhook.Member{} })
	c.hosts[name] = i
	i.Start()
}

func (c *testCluster) stop(name string) {
	if err := c.hosts[name].Close(); err != nil {
		c.t.Error(err)
	}
	c.network.Leave(quetzalhook.HostID(name))
	delete(c.hosts, name)
}

// HasCrashed implements quetzalhook.CrashDetector.
func (c *testCluster) HasCrashed(_ context.Context, u quetzalhook.Upstream) (bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.silent[u.ID] {
		return false, errors.New("no answer")
	}
	return c.crashed[u.ID], nil
}

// testTicket is a ticket of the dispatcher behind an isolator; the service of its
// request names the engine, or is empty if the request waits for one.
type testTicket struct {
	cluster *testCluster
	request quetzalhook.Request
}

// Submit implements quetzalhook.Dispatcher.
func (c *testCluster) Submit(_ context.Context, r quetzalhook.Request) quetzalhook.Ticket {
	return &testTicket{cluster: c, request: r}
}

func (t *testTicket) Next(ctx context.Context) (quetzalhook.Attempt, error) {
	if t.request.Service == "" {
		<-ctx.Done()
		return quetzalhook.Attempt{}, context.Cause(ctx)
	}
	t.cluster.mu.Lock()
	defer t.cluster.mu.Unlock()
	t.cluster.sent++
	return quetzalhook.Attempt{Upstream: quetzalhook.Upstream{ID: quetzalhook.UpstreamID(t.request.Service), Started: 1}}, nil
}

func (t *testTicket) Observe(quetzalhook.Verdict) {}
func (t *testTicket) Progress(int)                {}
func (t *testTicket) End(quetzalhook.AttemptEnd)  {}
func (t *testTicket) Close()                      {}

// request returns a request to an engine whose prompt has shared parts, named by
// letters, and a last part.
func testRequest(engine string, parts []string) quetzalhook.Request {
	r := quetzalhook.Request{Model: "m", Service: engine}
	for _, p := range append(slices.Clone(parts), "!") {
		r.Parts = append(r.Parts, quetzalhook.PromptPart{Hash: uint64(p[0]), Tokens: 10})
	}
	return r
}

// begin submits a request and returns its ticket if it may be sent.
func (c *testCluster) begin(host, engine string, parts []string) quetzalhook.Ticket {
	ticket := c.hosts[host].Submit(c.t.Context(), testRequest(engine, parts))
	_, err := ticket.Next(c.t.Context())
	var refusal *quetzalhook.Refusal
	switch {
	case errors.As(err, &refusal):
		fmt.Fprintf(&c.out, "refused: %s, retry after %v\n", refusal.Kind, refusal.RetryAfter.Round(time.Second))
	case err != nil:
		fmt.Fprintf(&c.out, "error: %v\n", err)
	default:
		return ticket
	}
	return nil
}

// play runs one line of a script.
func (c *testCluster) play(line string) {
	f := strings.Fields(line)
	switch f[0] {
	case "start":
		c.start(f[1])
	case "kill":
		c.stop(f[1])
	case "sleep":
		d, err := time.ParseDuration(f[1])
		if err != nil {
			c.t.Fatal(err)
		}
		time.Sleep(d)
	case "cut", "heal":
		c.mu.Lock()
		c.cut[f[1]] = f[0] == "cut"
		c.mu.Unlock()
	case "leader":
		c.mu.Lock()
		c.leader = f[1]
		c.mu.Unlock()
	case "store":
		c.store.SetFaults(memory.Faults{Outage: f[1] == "down"})
	case "copy":
		c.copied = c.store.Copy()
	case "return": // the store comes back from the copy
		c.store.Return(c.copied)
	case "answer": // HOST ENGINE PART...
		if ticket := c.begin(f[1], f[2], f[3:]); ticket != nil {
			ticket.Progress(1)
			ticket.End(quetzalhook.AttemptEnd{End: quetzalhook.EndFinished, Tokens: 1})
			fmt.Fprintln(&c.out, "answered")
		}
	case "crash", "silent-crash", "break", "fail": // HOST ENGINE PART...
		ticket := c.begin(f[1], f[2], f[3:])
		if ticket == nil {
			return
		}
		c.mu.Lock()
		c.crashed[quetzalhook.UpstreamID(f[2])] = strings.HasSuffix(f[0], "crash")
		c.silent[quetzalhook.UpstreamID(f[2])] = f[0] == "silent-crash"
		c.mu.Unlock()
		ticket.End(quetzalhook.AttemptEnd{End: quetzalhook.EndBroken, Verdict: quetzalhook.Verdict{Failed: f[0] == "fail"}})
	case "restart-engine": // an engine that was silent answers again
		c.mu.Lock()
		c.silent[quetzalhook.UpstreamID(f[1])] = false
		c.mu.Unlock()
	case "crash-early", "crash-late": // HOST ENGINE PART...: the engine crashes 300 ms or 700 ms after the first event
		ticket := c.begin(f[1], f[2], f[3:])
		if ticket == nil {
			return
		}
		ticket.Progress(1)
		time.Sleep(300 * time.Millisecond)
		if f[0] == "crash-late" {
			time.Sleep(400 * time.Millisecond)
		}
		ticket.Progress(2)
		c.mu.Lock()
		c.crashed[quetzalhook.UpstreamID(f[2])] = true
		c.mu.Unlock()
		ticket.End(quetzalhook.AttemptEnd{End: quetzalhook.EndBroken, Tokens: 1})
	case "burst": // N PART...: N requests at once, at all hosts, each of which crashes an engine 100 ms after it was sent
		n, _ := strconv.Atoi(f[1])
		names := slices.Sorted(maps.Keys(c.hosts))
		for i := range n {
			c.engines++
			engine := fmt.Sprintf("b%d", c.engines)
			c.waiting.Go(func() {
				ticket := c.hosts[names[i%len(names)]].Submit(c.t.Context(), testRequest(engine, f[2:]))
				if _, err := ticket.Next(c.t.Context()); err != nil {
					return
				}
				c.mu.Lock()
				c.reached++
				c.mu.Unlock()
				time.Sleep(100 * time.Millisecond)
				c.mu.Lock()
				c.crashed[quetzalhook.UpstreamID(engine)] = true
				c.mu.Unlock()
				ticket.End(quetzalhook.AttemptEnd{End: quetzalhook.EndBroken})
			})
		}
	case "reached": // prints how many requests of bursts were sent to engines
		c.mu.Lock()
		fmt.Fprintf(&c.out, "sent: %d\n", c.reached)
		c.mu.Unlock()
	case "wait": // HOST PART...
		c.waiting.Go(func() {
			if c.begin(f[1], "", f[2:]) != nil {
				c.t.Error("waiting request: got an attempt, want a refusal")
			}
		})
	case "quarantines":
		list := c.hosts[f[1]].Quarantines()
		for _, name := range slices.Sorted(mapKeys(list)) {
			fmt.Fprintf(&c.out, "%s for %s\n", name, list[name])
		}
		if len(list) == 0 {
			fmt.Fprintln(&c.out, "none")
		}
	case "stored":
		list, err := c.store.List(c.t.Context(), keyPrefix)
		if err != nil {
			c.t.Fatal(err)
		}
		fmt.Fprintf(&c.out, "stored: %d\n", len(list.Objects))
	case "ignored": // HOST: prints why it ignored stored quarantines
		for _, e := range c.logs[f[1]].AllEntries() {
			if e.Message == "stored quarantine ignored" {
				fmt.Fprintf(&c.out, "%v: %v\n", e.Data["key"], e.Data[logrus.ErrorKey])
			}
		}
	case "overwrite": // PART TEXT: an odd object in the place of a quarantine
		f[2] = strings.Join(f[2:], " ")
		key, base := storeKey(quarantine.Fact{Parts: []quarantine.Part{{Hash: uint64(f[1][0]), Model: "m"}}}), quetzalhook.Version(0)
		if o, err := c.store.Get(c.t.Context(), key); err == nil {
			base = o.Version
		}
		if _, err := c.store.Put(c.t.Context(), key, []byte(f[2]), base); err != nil {
			c.t.Fatal(err)
		}
	case "not-stored": // HOST: prints how often a quarantine was not stored
		n := 0
		for _, e := range c.logs[f[1]].AllEntries() {
			if e.Message == "quarantine not stored" {
				n++
			}
		}
		fmt.Fprintf(&c.out, "not stored: %d\n", n)
	case "corrupt":
		for name, value := range map[string]string{"x": "no record", "y": "{}", "z": `{"parts":["no part"]}`} {
			if _, err := c.store.Put(c.t.Context(), keyPrefix+name, []byte(value), 0); err != nil {
				c.t.Fatal(err)
			}
		}
	}
	synctest.Wait()
}

func mapKeys(m map[string]string) func(func(string) bool) {
	return func(yield func(string) bool) {
		for k := range m {
			if !yield(k) {
				return
			}
		}
	}
}

// Guards against requests that are sent although their prompt parts crash engines,
// on any host, after the loss of hosts, of the store or of connections, and against
// the refusal of requests that failed for another reason.
func TestIsolator(t *testing.T) {
	datadriven.RunTest(t, "testdata/isolator", func(t *testing.T, d *datadriven.TestData) string {
		var out string
		synctest.Test(t, func(t *testing.T) {
			c := newTestCluster(t)
			if d.Cmd == "play-eras" {
				c.store = memory.New(memory.WithEras())
			}
			for line := range strings.Lines(d.Input) {
				c.play(line)
			}
			c.waiting.Wait()
			for name := range c.hosts {
				c.stop(name)
			}
			out = c.out.String()
		})
		return out
	})
}

// Guards against hosts that open connections to all others, so that the cost of a
// host grows with the fleet, and against tables that no longer reach all hosts.
func TestExchangeUsesFewHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t)
		const n = 48
		for i := range n {
			c.play(fmt.Sprintf("start h%02d", i))
		}
		for i := range 3 {
			c.play("answer h00 e0 B")
			c.play(fmt.Sprintf("crash h%02d e%d D", i*16, i+1))
			c.play("sleep 1s")
		}
		for name, i := range c.hosts {
			if got, want := len(i.Quarantines()), 1; got != want {
				t.Errorf("%s: got %d quarantines 1 s after the last crash, want %d", name, got, want)
			}
		}
		time.Sleep(20 * time.Second)
		for name := range c.hosts {
			c.stop(name)
		}
		for name, hosts := range c.called {
			if got := len(hosts); got > fanOut {
				t.Errorf("%s: got calls to %d hosts, want at most %d", name, got, fanOut)
			}
		}
	})
}

// Guards against hosts that send each other all facts at every change: 59 hosts sent
// 20 MB/s while 34 engines crashed.
func TestExchangeSendsWhatIsNew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const hosts, crashes, requests = 12, 40, 20
		c := newTestCluster(t)
		for n := range hosts {
			c.start(fmt.Sprintf("h%02d", n))
		}
		size := 0
		for n := range crashes {
			fact := quarantine.CrashFact{Run: quarantine.EngineRun{Upstream: quetzalhook.UpstreamID(fmt.Sprint("e", n)), Started: 1}}
			for r := range requests {
				fact.Requests = append(fact.Requests, quarantine.RequestFact{ID: uint64(n*requests + r), Model: "m", Hashes: []uint64{uint64(1000*n + r), uint64(r)}})
			}
			facts := quarantine.Facts{Crashes: []quarantine.CrashFact{fact}}
			body, err := cbor.Marshal(facts)
			if err != nil {
				t.Fatal(err)
			}
			size += len(body)
			c.hosts[fmt.Sprintf("h%02d", n%hosts)].add(facts)
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(3 * compareInterval)
		for name, i := range c.hosts {
			if got, want := i.digests().Sum(), c.hosts["h00"].digests().Sum(); got != want {
				t.Errorf("%s: got facts other than those of h00, want the same", name)
			}
		}
		c.mu.Lock()
		// Each host sends a fact to its partners once, and digests to a few hosts a second.
		if got, want := c.bytes, 2*hosts*fanOut*size; got > want {
			t.Errorf("exchanged: got %d bytes for %d bytes of facts, want at most %d", got, size, want)
		}
		c.mu.Unlock()
		for n := range hosts {
			c.stop(fmt.Sprintf("h%02d", n))
		}
	})
}

// Guards against digests that are kept for every host that was a partner once, in a fleet
// whose hosts are replaced.
func TestDigestsOfFormerPartnersAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t)
		c.start("h")
		facts := func(n int) quarantine.Facts {
			fact := quarantine.CrashFact{Run: quarantine.EngineRun{Upstream: quetzalhook.UpstreamID(fmt.Sprint("e", n)), Started: 1}}
			fact.Requests = []quarantine.RequestFact{{ID: uint64(n), Model: "m", Hashes: []uint64{uint64(n)}}}
			return quarantine.Facts{Crashes: []quarantine.CrashFact{fact}}
		}
		for n := range 20 {
			name := fmt.Sprintf("p%02d", n)
			c.start(name)
			time.Sleep(time.Second)
			c.hosts["h"].add(facts(n))
			time.Sleep(time.Second)
			c.stop(name)
			time.Sleep(2 * maxSilence)
		}
		c.start("last")
		time.Sleep(time.Second)
		c.hosts["h"].add(facts(20))
		time.Sleep(3 * compareInterval)
		i := c.hosts["h"]
		i.mu.Lock()
		if got, want := len(i.sent), 1; got != want {
			t.Errorf("hosts with kept digests: got %d, want %d, the present partner", got, want)
		}
		i.mu.Unlock()
		c.stop("last")
		c.stop("h")
	})
}
