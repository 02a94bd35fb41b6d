package release

import (
	"flag"
	"fmt"
	"io"
	"maps"
	"os"
	"runtime"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/sirupsen/logrus"

	"quetzalhook"
	"quetzalhook/internal/fleet/peer"
	"quetzalhook/internal/platform/memory"
	"quetzalhook/internal/record/routing"
	"quetzalhook/internal/record/split"
	"quetzalhook/internal/state/invariant"
)

const testStreams = 400

// TestMain runs the tests on one thread: with several, timers in a synctest bubble
// sometimes crash the race detector's own runtime.
func TestMain(m *testing.M) {
	flag.Parse()
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}

// testCluster runs the writers and assigners of several hosts in virtual time.
type testCluster struct {
	t       *testing.T
	store   *memory.Store
	network *peer.Network
	hosts   map[string]*testHost
	leaders atomic.Pointer[[]string]     // more than one if the hosts disagree
	copied  string                       // value of the stored splits at "copy"
	earlier memory.Copy                  // of the store at "copy-store"
	cell    func(quetzalhook.HostID) int // of a host; nil if there is one cell
	out     strings.Builder
}

type testHost struct {
	store    *memory.Gate
	link     *testLink
	follower *routing.Follower
	writer   *Writer
	assigner *Assigner
}

// decodeTable decodes a table of the form VERSION TIMEOUT-SECONDS.
func decodeTable(value []byte) (*routing.Table, error) {
	t, seconds := &routing.Table{Services: []routing.Service{{Name: "s", Engine: &routing.Engine{}}}}, 0
	_, err := fmt.Sscan(string(value), &t.Version, &seconds)
	t.Routes = []routing.Route{{
		Kind: routing.KindStream, Resumable: true, Timeout: time.Duration(seconds) * time.Second, Split: []routing.Share{{Service: "s"}},
	}}
	return t, err
}

func decodeUpstream(id quetzalhook.UpstreamID, value []byte) (quetzalhook.Upstream, error) {
	u := quetzalhook.Upstream{ID: id, Service: "s", Build: quetzalhook.Build(id[:1])}
	_, err := fmt.Sscan(string(value), &u.Slots)
	if u.Slots == 0 {
		u.State = quetzalhook.UpstreamLeaving
	}
	return u, err
}

func (c *testCluster) start(name string) {
	log, clock, id := logrus.New(), quetzalhook.ClockFunc(time.Now), quetzalhook.HostID(name)
	log.SetOutput(io.Discard)
	end := c.network.Endpoint(id)
	gate := &memory.Gate{}
	if c.cell == nil {
		c.cell = singleCell
	}
	link := &testLink{host: id, cell: c.cell}
	h := &testHost{store: gate, link: link, follower: routing.New(id, linkedStore{gate.Store(c.store), link}, linkedPeers{end, link}, routing.Source{
		TableKey: "config/main", UpstreamPrefix: "servers/", SplitPrefix: "splits/", DecodeTable: decodeTable, DecodeUpstream: decodeUpstream,
	}, clock, log, invariant.New(nil))}
	c.network.Join(end, func() quetzalhook.Member {
		table, upstreams := h.follower.Versions()
		return quetzalhook.Member{ConfigVersion: table, UpstreamVersion: upstreams, SplitVersion: h.follower.SplitVersion(), Eligible: quetzalhook.RoleStoreWatcher}
	})
	h.assigner = NewAssigner(h.follower, clock)
	h.writer = NewWriter(Settings{Host: id, Store: gate.Store(c.store), Follower: h.follower, Leader: func() quetzalhook.HostID {
		if leaders := c.leaders.Load(); leaders != nil && slices.Contains(*leaders, name) {
			return id
		}
		return ""
	}}, clock, log)
	h.follower.Start()
	h.writer.Start()
	c.hosts[name] = h
}

func (c *testCluster) stop(name string) {
	c.network.Leave(quetzalhook.HostID(name))
	if err := c.hosts[name].writer.Close(); err != nil {
		c.t.Error(err)
	}
	if err := c.hosts[name].follower.Close(); err != nil {
		c.t.Error(err)
	}
	delete(c.hosts, name)
}

func (c *testCluster) put(key, value string) {
	o, _ := c.store.Get(c.t.Context(), key)
	if _, err := c.store.Put(c.t.Context(), key, []byte(value), o.Version); err != nil {
		c.t.Fatal(err)
	}
}

// show prints what is stored, and how many streams each host assigns to builds and takes up.
func (c *testCluster) show() {
	if o, err := c.store.Get(c.t.Context(), "splits/s"); err == nil {
		h, err := split.Decode(time.Now(), o.Value)
		fmt.Fprintf(&c.out, "stored: epoch %d, %v, superseded: %v, error: %v\n", h.Epoch(), h.Newest(), h.HasSuperseded(), err)
	}
	for _, name := range slices.Sorted(maps.Keys(c.hosts)) {
		a, builds, known := c.hosts[name].assigner, make(map[quetzalhook.Build]int), 0
		a.SetUpstreams(c.hosts[name].follower.Upstreams())
		for i := range testStreams {
			id := quetzalhook.RequestID(fmt.Sprint("request-", i))
			b, _ := a.Assign("s", id)
			builds[b]++
			if _, ok := a.Origin("s", id, 20*time.Second); ok {
				known++
			}
		}
		fmt.Fprintf(&c.out, "%s: %v, known origins: %d\n", name, builds, known)
	}
}

func (c *testCluster) play(line string) {
	f := strings.Fields(line)
	switch f[0] {
	case "start":
		c.start(f[1])
	case "kill":
		c.stop(f[1])
	case "leaders":
		leaders := f[1:]
		c.leaders.Store(&leaders)
	case "upstream": // NAME SLOTS; the first letter is its build, and one without slots leaves
		c.put("servers/"+f[1], f[2])
	case "store":
		c.store.SetFaults(memory.Faults{Outage: f[1] == "down"})
	case "copy":
		o, _ := c.store.Get(c.t.Context(), "splits/s")
		c.copied = string(o.Value)
	case "restore": // what was copied, or something odd
		c.put("splits/s", strings.Join(f[1:], " ")+c.copied)
	case "copy-store":
		c.earlier = c.store.Copy()
	case "return": // the store comes back from the copy, and the upstreams write again
		list, _ := c.store.List(c.t.Context(), "servers/")
		c.store.Return(c.earlier)
		for _, o := range list.Objects {
			c.put(o.Key, string(o.Value))
		}
	case "wait":
		d, err := time.ParseDuration(f[1])
		if err != nil {
			c.t.Fatal(err)
		}
		time.Sleep(d)
		synctest.Wait()
	case "show":
		c.show()
	}
}

// Guards against streams that begin at a build before the store has the split, against
// splits that hosts lose, and against origins that hosts know otherwise than each other.
func TestRelease(t *testing.T) {
	datadriven.RunTest(t, "testdata/release", func(t *testing.T, d *datadriven.TestData) (out string) {
		synctest.Test(t, func(t *testing.T) {
			c := &testCluster{t: t, store: memory.New(), network: peer.NewNetwork(quetzalhook.ClockFunc(time.Now), 1), hosts: make(map[string]*testHost)}
			if d.Cmd == "run-eras" {
				c.store = memory.New(memory.WithEras())
			}
			c.put("config/main", "1 20")
			for line := range strings.Lines(d.Input) {
				c.play(line)
			}
			for name := range c.hosts {
				c.stop(name)
			}
			out = c.out.String()
		})
		return out
	})
}

// currentSplits are the splits of a follower that takes them for the newest.
type currentSplits struct{ *routing.Follower }

func (currentSplits) SplitAge() time.Duration { return 0 }

// cutOff cuts a host off from the store and the other hosts.
func (c *testCluster) cutOff(name string) {
	c.network.SetFaults(peer.NetworkFaults{Cut: func(a, b quetzalhook.HostID) bool { return string(a) == name || string(b) == name }})
	c.hosts[name].store.Kill()
	c.store.EndWatches()
}

// countWrong returns how many streams that begin now at a host go on at another build when
// they are taken up at a second host after a time.
func (c *testCluster) countWrong(first, second string, after time.Duration) int {
	wrong, builds := 0, make(map[quetzalhook.RequestID]quetzalhook.Build)
	for i := range testStreams {
		id := quetzalhook.RequestID(fmt.Sprint("request-", i))
		if b, ok := c.hosts[first].assigner.Assign("s", id); ok {
			builds[id] = b
		}
	}
	time.Sleep(after)
	for id, began := range builds {
		if b, ok := c.hosts[second].assigner.Origin("s", id, 20*time.Second); ok && b != began {
			wrong++
		}
	}
	return wrong
}

// Guards against a stream that changes its build because a host is cut off from the store
// and all other hosts while a second build appears.
func TestOriginAtHostThatIsCutOff(t *testing.T) {
	for _, test := range []struct {
		name, first, second string
		wait                time.Duration // from the second build to the first events
	}{
		{"begun at the others", "h1", "h2", 4 * time.Second},
		{"begun at the host that is cut off", "h2", "h1", 40 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := &testCluster{t: t, store: memory.New(), network: peer.NewNetwork(quetzalhook.ClockFunc(time.Now), 1), hosts: make(map[string]*testHost)}
				c.put("config/main", "1 20")
				for _, line := range []string{"start h1", "start h2", "leaders h1", "upstream a1 30", "wait 4s"} {
					c.play(line)
				}
				c.cutOff("h2")
				c.play("upstream b1 30")
				time.Sleep(test.wait)
				if got := c.countWrong(test.first, test.second, time.Second); got > 0 {
					t.Errorf("streams that go on at another build: got %d of %d, want 0", got, testStreams)
				}
				c.stop("h1")
				c.stop("h2")
			})
		})
	}
}

// Guards against take-ups that are refused at the host that began the stream, and against
// one that goes on at either of two builds that began streams with one ID.
func TestAssignerRemembers(t *testing.T) {
	now := time.Unix(0, 0)
	clock := quetzalhook.ClockFunc(func() time.Time { return now })
	a := NewAssigner(currentSplits{routing.New("a", nil, peer.NewNetwork(clock, 1).Endpoint("a"), routing.Source{}, clock, nil, nil)}, clock)
	list := func(builds ...quetzalhook.Build) {
		var list []quetzalhook.Upstream
		for _, b := range builds {
			list = append(list, quetzalhook.Upstream{Service: "s", Build: b})
		}
		a.SetUpstreams(list)
	}
	for i, c := range []struct {
		before func()
		id     quetzalhook.RequestID
		want   quetzalhook.Build
		ok     bool
	}{
		{func() {}, "x", "", false},
		{func() { list("") }, "x", "", true}, // no upstream names its build
		{func() { list("", "1") }, "", "1", true},
		{func() { list("1", "2") }, "", "", false},
		{func() { a.Began("s", "x", "2") }, "x", "2", true},
		{func() { a.Began("s", "y", "1"); a.Began("s", "y", "2") }, "y", "", false},
		{func() { now = now.Add(split.MaxLife); a.Began("s", "z", "1") }, "x", "2", true},
		{func() { now = now.Add(split.MaxLife); a.Began("s", "z", "1") }, "x", "", false},
	} {
		c.before()
		if got, ok := a.Origin("s", c.id, time.Second); got != c.want || ok != c.ok {
			t.Errorf("case %d: origin: got %q, %v, want %q, %v", i, got, ok, c.want, c.ok)
		}
	}
	if known, unknown := a.TakeUps(); known != 4 || unknown != 4 {
		t.Errorf("take-ups: got %d and %d, want 4 and 4", known, unknown)
	}
}
