package routing

import (
	"flag"
	"fmt"
	"io"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"quetzalhook"
	"quetzalhook/internal/fleet/peer"
	"quetzalhook/internal/platform/memory"
	"quetzalhook/internal/state/invariant"
)

// TestMain runs the tests on one thread: with several, timers in a synctest
// bubble sometimes crash the race detector's own runtime.
func TestMain(m *testing.M) {
	flag.Parse()
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}

// testFleet runs the followers of several hosts in virtual time. Each host has a
// gate to the store of its own.
type testFleet struct {
	t            *testing.T
	source       Source
	clock        quetzalhook.Clock
	store        *memory.Store
	network      *peer.Network
	inv          *invariant.Registry
	hosts        map[string]*Follower
	gates        map[string]*gate
	showWatchers bool
	showPulls    bool
	killed       []string // hosts that "kill-watchers" has killed last
	copied       memory.Copy
	// wrap, if not nil, wraps the peers of the hosts that start from now on, which then do
	// not tell what a build without eras does not know.
	wrap func(quetzalhook.Peers) quetzalhook.Peers
}

// gate holds the store that one host uses. While it is closed, the host's calls to
// the store fail.
type gate struct {
	quetzalhook.Store
	closed atomic.Bool
	lossy  atomic.Bool // watches lose their events
}

func (g *gate) unavailable(op string) error {
	return &quetzalhook.StoreError{Op: op, Kind: quetzalhook.StoreUnavailable}
}

var testSource = Source{
	TableKey: "config/main", UpstreamPrefix: "servers/",
	DecodeTable: func(value []byte) (*Table, error) {
		t := &Table{}
		_, err := fmt.Sscan(string(value), &t.Version)
		return t, err
	},
	DecodeUpstream: func(id quetzalhook.UpstreamID, value []byte) (quetzalhook.Upstream, error) {
		u := quetzalhook.Upstream{ID: id, Service: "s", Zone: quetzalhook.Zone(id[:1])}
		state, started, _ := strings.Cut(string(value), "@")
		switch state {
		case "ready":
		case "leaving":
			u.State = quetzalhook.UpstreamLeaving
		default:
			return u, errors.New("unknown state")
		}
		if started == "" {
			return u, nil
		}
		var err error
		u.Started, err = strconv.ParseInt(started, 10, 64)
		return u, err
	},
}

func discardLogger() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

func newFleet(t *testing.T) *testFleet { return newFleetOf(t, testSource) }

func newFleetOf(t *testing.T, source Source, opts ...memory.Option) *testFleet {
	clock := quetzalhook.ClockFunc(time.Now)
	f := &testFleet{
		t: t, source: source, clock: clock, store: memory.New(opts...), network: peer.NewNetwork(clock, 1), inv: invariant.New(nil),
		hosts: make(map[string]*Follower), gates: make(map[string]*gate),
	}
	for i := range 5 {
		f.startHost(fmt.Sprintf("h%d", i), discardLogger())
	}
	return f
}

func (f *testFleet) startHost(name string, log logrus.FieldLogger, opts ...Option) {
	g := &gate{Store: f.store}
	f.gates[name] = g
	endpoint := f.network.Endpoint(quetzalhook.HostID(name))
	peers, isOld := quetzalhook.Peers(endpoint), f.wrap != nil
	if isOld {
		peers = f.wrap(endpoint)
	}
	follower := New(quetzalhook.HostID(name), gatedStore{g}, peers, f.source, f.clock, log, f.inv, opts...)
	f.network.Join(endpoint, func() quetzalhook.Member {
		table, upstreams := follower.Versions()
		m := quetzalhook.Member{
			ConfigVersion: table, TableVersion: follower.TableVersion(), Kept: follower.Kept(), UpstreamVersion: upstreams, EvacuationVersion: follower.EvacuationVersion(), SplitVersion: follower.SplitVersion(), StoreAge: follower.StoreAge(),
		}
		if follower.Eligible() {
			m.Eligible = quetzalhook.RoleStoreWatcher
		}
		if follower.Watches() {
			m.Active = quetzalhook.RoleStoreWatcher
		}
		if isOld {
			return oldMember(m)
		}
		return m
	})
	f.hosts[name] = follower
	follower.Start()
}

func (f *testFleet) close() {
	for _, h := range f.hosts {
		if err := h.Close(); err != nil {
			f.t.Error(err)
		}
	}
}

// stateOf describes what a host knows.
func (f *testFleet) stateOf(h *Follower) string {
	version := int64(0)
	if t, _ := h.Table(); t != nil {
		version = t.Version
	}
	var up []string
	for _, u := range h.Upstreams() {
		entry := string(u.ID)
		if u.State == quetzalhook.UpstreamLeaving {
			entry += "(leaving)"
		}
		if u.Started != 0 {
			entry += fmt.Sprintf("@%d", u.Started)
		}
		if u.Evacuated {
			entry += "(evacuated)"
		}
		if u.Evacuated == h.IsUsable(u) && u.State == quetzalhook.UpstreamReady {
			f.t.Errorf("%s: usable: got %v, want %v", u.ID, u.Evacuated, !u.Evacuated)
		}
		up = append(up, entry)
	}
	summary := fmt.Sprintf("table %d, upstreams [%s]", version, strings.Join(up, " "))
	if f.source.SplitPrefix != "" {
		s := h.Split("s")
		summary += fmt.Sprintf(", split %d of %v, superseded: %v", s.Epoch(), s.Newest(), s.HasSuperseded())
	}
	return summary
}

// state describes the table version and the upstreams that the hosts know, with
// one line for all hosts that know the same.
func (f *testFleet) state() string {
	hostsByState := make(map[string][]string)
	for name, h := range f.hosts {
		summary := f.stateOf(h)
		hostsByState[summary] = append(hostsByState[summary], name)
	}
	var lines []string
	for summary, names := range hostsByState {
		slices.Sort(names)
		lines = append(lines, strings.Join(names, " ")+": "+summary)
	}
	if f.showWatchers {
		watching := 0
		for _, h := range f.hosts {
			if h.Watches() {
				watching++
			}
		}
		lines = append(lines, fmt.Sprintf("hosts that watch the store: %d", watching))
	}
	if f.showPulls {
		before := f.answeredPulls()
		time.Sleep(10 * time.Second) // virtual time
		lines = append(lines, fmt.Sprintf("pulls in the next 10s: %d", f.answeredPulls()-before))
	}
	slices.Sort(lines)
	return strings.Join(lines, "\n") + "\n"
}

// answeredPulls returns the number of pulls that all hosts have answered.
func (f *testFleet) answeredPulls() (n int64) {
	for _, h := range f.hosts {
		_, answers, _ := h.PullCounts()
		n += answers
	}
	return n
}

// runCommands runs commands that are separated by "|".
func (f *testFleet) runCommands(list string) {
	for line := range strings.SplitSeq(list, "|") {
		f.runCommand(line)
	}
}

func (f *testFleet) runCommand(line string) {
	w := strings.Fields(line)
	switch w[0] {
	case "table":
		f.put("config/main", w[1])
	case "upstream":
		f.put("servers/"+w[1], w[2])
	case "evacuate": // a zone
		f.put("evacuations/"+w[1], "{}")
	case "split": // of the service s
		f.put("splits/s", strings.Join(w[1:], " "))
	case "lose-events": // yes or no, of all watches, except those of the named hosts
		for name, g := range f.gates {
			g.lossy.Store(w[1] == "yes" && !slices.Contains(w[2:], name))
		}
	case "restart-host": // name, closed or open: whether the store answers it
		name := w[1]
		f.network.Leave(quetzalhook.HostID(name))
		if err := f.hosts[name].Close(); err != nil {
			f.t.Error(err)
		}
		f.startHost(name, discardLogger(), func(*Follower) { f.gates[name].closed.Store(w[2] == "closed") })
	case "gone", "return": // deletes the record of an upstream, or ends an evacuation
		key := "servers/" + w[1]
		if w[0] == "return" {
			key = "evacuations/" + w[1]
		}
		o, err := f.store.Get(f.t.Context(), key)
		if err == nil {
			err = f.store.Delete(f.t.Context(), o.Key, o.Version)
		}
		if err != nil {
			f.t.Fatal(err)
		}
	case "store": // closed or open, for the named hosts
		for _, name := range w[2:] {
			f.gates[name].closed.Store(w[1] == "closed")
		}
		f.store.EndWatches()
	case "start":
		f.startHost(w[1], discardLogger())
	case "kill-watchers": // kills the hosts that watch the store
		f.killed = nil
		for name, h := range f.hosts {
			if h.Watches() {
				f.killed = append(f.killed, name)
			}
		}
		for _, name := range f.killed {
			f.network.Leave(quetzalhook.HostID(name))
			if err := f.hosts[name].Close(); err != nil {
				f.t.Error(err)
			}
			delete(f.hosts, name)
		}
	case "restart": // starts the killed hosts, which settle after the given time
		settle, err := time.ParseDuration(w[1])
		if err != nil {
			f.t.Fatal(err)
		}
		settled := time.Now().Add(settle)
		for _, name := range f.killed {
			f.startHost(name, discardLogger(), WithSettled(func() bool { return !time.Now().Before(settled) }))
		}
	case "show-watchers":
		f.showWatchers = true
	case "show-pulls": // counts those that follow the state
		f.showPulls = true
	case "forget-history":
		f.store.ForgetHistory()
	case "copy": // of the store
		f.copied = f.store.Copy()
	case "restore": // brings the store back from the copy
		f.store.Return(f.copied)
	case "wait":
		d, err := time.ParseDuration(w[1])
		if err != nil {
			f.t.Fatal(err)
		}
		time.Sleep(d) // virtual time
		synctest.Wait()
	default:
		f.t.Fatalf("unknown command %q", line)
	}
}

func (f *testFleet) put(key, value string) {
	base := quetzalhook.Version(0)
	if o, err := f.store.Get(f.t.Context(), key); err == nil {
		base = o.Version
	}
	if _, err := f.store.Put(f.t.Context(), key, []byte(value), base); err != nil {
		f.t.Fatal(err)
	}
}

// Guards against a change that a host learns of late or never. The scripts cover
// an outage of the store for some or all hosts, a store that has dropped its
// history, records that expired during an outage, of upstreams that register again
// and of others, and hosts that are killed while they watch.
func TestFollower(t *testing.T) { runScripts(t, "testdata/follower", testSource) }

// Guards against an evacuation that a host learns of late or never, or whose end it misses:
// an event that is lost, a store that has dropped its history or answers only other hosts,
// an end while a host is cut off, and a host that starts.
func TestEvacuations(t *testing.T) {
	source := testSource
	source.EvacuationPrefix = "evacuations/"
	runScripts(t, "testdata/evacuations", source)
}

// Guards against a split that a host learns of late or never: a store that answers only
// other hosts, a host that starts, a store that comes back from an older copy, and odd objects.
func TestSplits(t *testing.T) {
	source := testSource
	source.SplitPrefix = "splits/"
	runScripts(t, "testdata/splits", source)
}

// Guards against hosts that act on an older state, or do not act on a newer one, after the
// store has come back from an older copy: of the table, the upstreams or the evacuated zones.
func TestStoreReturnsOlder(t *testing.T) {
	source := testSource
	source.EvacuationPrefix = "evacuations/"
	runScripts(t, "testdata/returns", source, memory.WithEras())
}

func runScripts(t *testing.T, dir string, source Source, opts ...memory.Option) {
	datadriven.Walk(t, dir, func(t *testing.T, path string) {
		// A synctest bubble cannot outlive the call for one step, so each step runs
		// all steps before it again.
		var script []*datadriven.TestData
		datadriven.RunTest(t, path, func(_ *testing.T, d *datadriven.TestData) string {
			copied := *d
			script = append(script, &copied)
			var out string
			synctest.Test(t, func(t *testing.T) {
				f := newFleetOf(t, source, opts...)
				defer f.close()
				f.runCommand("wait 2s")
				for _, step := range script {
					for line := range strings.Lines(step.Input) {
						f.runCommand(strings.TrimSpace(line))
					}
				}
				out = f.state()
				if n := f.inv.Violations(); n != 0 {
					out += fmt.Sprintf("violations: %d\n", n)
				}
			})
			return out
		})
	})
}
