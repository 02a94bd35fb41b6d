package routing

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"quetzalhook"
	"quetzalhook/internal/platform/memory"
)

var (
	convergeSeed  = flag.Uint64("converge.seed", 1, "first seed of TestHostsConverge")
	convergeSeeds = flag.Uint64("converge.seeds", 3, "number of seeds of TestHostsConverge")
)

const (
	// maxStaleness is how old a stale list may be.
	maxStaleness = 3 * time.Second
	// changeBound is how long after a change, or after the end of the last fault, all hosts
	// must have it.
	changeBound = 2500 * time.Millisecond
	settleTime  = time.Second // of a host that starts
)

// snapshots are the lists of a store at the times of its changes.
type snapshots struct {
	store *memory.Store
	mu    sync.Mutex
	times []time.Time
	lists []quetzalhook.Listing
}

// take records the state of the store.
func (s *snapshots) take(t *testing.T) {
	list, err := s.store.List(t.Context(), "")
	if err != nil {
		t.Fatal(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.times, s.lists = append(s.times, time.Now()), append(s.lists, list)
}

// at returns the list under a prefix as it was at a time.
func (s *snapshots) at(at time.Time, prefix string) quetzalhook.Listing {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := max(0, len(s.times)-1)
	for i > 0 && s.times[i].After(at) {
		i--
	}
	list := s.lists[i]
	list.Objects = slices.DeleteFunc(slices.Clone(list.Objects), func(o quetzalhook.Object) bool { return !strings.HasPrefix(o.Key, prefix) })
	return list
}

// staleStore is the store of one host. Its stale lists are up to maxStaleness old and, as those
// of the platform, have the version of their newest object. Its lists may arrive late.
type staleStore struct {
	gatedStore
	snapshots *snapshots
	random    func(time.Duration) time.Duration
}

// ListStale implements quetzalhook.Store.
func (s staleStore) ListStale(ctx context.Context, prefix string) (quetzalhook.Listing, error) {
	list, err := s.List(ctx, prefix)
	if err == nil {
		list = s.snapshots.at(time.Now().Add(-s.random(maxStaleness)), prefix)
		list.Version = 0
		for _, o := range list.Objects {
			list.Version = max(list.Version, o.Version)
		}
	}
	return list, err
}

// List implements quetzalhook.Store.
func (s staleStore) List(ctx context.Context, prefix string) (quetzalhook.Listing, error) {
	list, err := s.gatedStore.List(ctx, prefix)
	time.Sleep(s.random(300 * time.Millisecond))
	return list, err
}

// cellPeers are the peers of a host; those of the other cell are distant.
type cellPeers struct {
	quetzalhook.Peers
	cell byte
}

func cellOf(host string) byte { return (host[1] - '0') % 2 }

// Members implements quetzalhook.Peers.
func (p cellPeers) Members() []quetzalhook.Member {
	list := p.Peers.Members()
	for i := range list {
		list[i].Distant = cellOf(string(list[i].Host)) != p.cell
	}
	return list
}

// convergence is one run of TestHostsConverge.
type convergence struct {
	*testFleet
	random    *rand.Rand
	mu        sync.Mutex // for random
	cells     bool
	snapshots *snapshots
	table     int64
	changed   map[string]time.Time // by key
	faultEnd  time.Time            // of the latest fault
	started   map[string]time.Time // of hosts
	seen      map[string]int64     // newest versions by host and key
	log       []string
}

func (c *convergence) upTo(d time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(c.random.Int64N(int64(d)))
}

func (c *convergence) note(format string, args ...any) {
	c.log = append(c.log, fmt.Sprintf("%7.3f ", time.Since(time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)).Seconds())+fmt.Sprintf(format, args...))
}

func (c *convergence) start(name string) {
	c.started[name] = time.Now()
	settled := time.Now().Add(settleTime)
	c.mu.Lock()
	random := rand.New(rand.NewPCG(c.random.Uint64(), 2))
	c.mu.Unlock()
	var mu sync.Mutex
	upTo := func(d time.Duration) time.Duration {
		mu.Lock()
		defer mu.Unlock()
		return time.Duration(random.Int64N(int64(d)))
	}
	c.startHost(name, discardLogger(), WithSettled(func() bool { return !time.Now().Before(settled) }), func(f *Follower) {
		f.store = staleStore{gatedStore{c.gates[name]}, c.snapshots, upTo}
		if c.cells {
			f.peers = cellPeers{f.peers, cellOf(name)}
		}
	})
	maps.DeleteFunc(c.seen, func(key string, _ int64) bool { return strings.HasPrefix(key, name+" ") })
}

func (c *convergence) kill(name string) {
	c.network.Leave(quetzalhook.HostID(name))
	if err := c.hosts[name].Close(); err != nil {
		c.t.Error(err)
	}
	delete(c.hosts, name)
}

// change writes or deletes an object.
func (c *convergence) change(key, value string) {
	o, err := c.store.Get(c.t.Context(), key)
	switch {
	case value == "" && err != nil || err == nil && string(o.Value) == value:
		return
	case value == "":
		if err := c.store.Delete(c.t.Context(), key, o.Version); err != nil {
			c.t.Fatal(err)
		}
	default:
		c.put(key, value)
	}
	c.changed[key] = time.Now()
	c.snapshots.take(c.t)
	c.note("%s %s", key, value)
}

// step makes a random change or fault.
func (c *convergence) step() {
	hosts := slices.Sorted(maps.Keys(c.hosts))
	some := hosts[:0:0]
	for _, h := range hosts {
		if c.upTo(100) < 40 {
			some = append(some, h)
		}
	}
	upstream := fmt.Sprintf("servers/u%d", c.upTo(6))
	switch n := c.upTo(100); {
	case n < 25:
		c.table += 1 + int64(c.upTo(5))
		c.change("config/main", fmt.Sprint(c.table))
	case n < 45:
		c.change(upstream, "leaving")
	case n < 65:
		c.change(upstream, "ready")
	case n < 75:
		c.change(upstream, "")
	case n < 79:
		c.note("forget history")
		c.store.ForgetHistory()
	case n < 83 && len(hosts) > 4:
		name := hosts[c.upTo(time.Duration(len(hosts)))]
		c.note("kill %s", name)
		c.kill(name)
	case n < 88:
		for i := range 8 {
			if name := fmt.Sprintf("h%d", i); c.hosts[name] == nil {
				c.note("start %s", name)
				c.start(name)
				break
			}
		}
	case n < 96:
		c.fault(some, n < 92)
	default:
		c.outage()
	}
}

// fault closes the store for some hosts, or makes their watches lose events, while changes are
// made. Afterwards the watches end and the history may be gone.
func (c *convergence) fault(hosts []string, closes bool) {
	c.note("store closed=%v silent=%v for %v", closes, !closes, hosts)
	gates := make([]*gate, 0, len(hosts))
	for _, h := range hosts {
		gates = append(gates, c.gates[h])
	}
	for _, g := range gates {
		g.closed.Store(closes)
		g.lossy.Store(!closes)
	}
	if closes {
		c.store.EndWatches()
	}
	c.disturbed(c.upTo(3 * time.Second))
	for _, g := range gates {
		g.closed.Store(false)
		g.lossy.Store(false)
	}
	c.store.EndWatches()
}

// outage makes the store fail for all hosts.
func (c *convergence) outage() {
	c.note("outage")
	c.store.SetFaults(memory.Faults{Outage: true})
	c.store.EndWatches()
	time.Sleep(c.upTo(3 * time.Second))
	c.store.SetFaults(memory.Faults{})
	c.faultEnd = time.Now()
}

// disturbed makes changes while a fault lasts.
func (c *convergence) disturbed(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(c.upTo(400 * time.Millisecond)) {
		c.change("config/main", fmt.Sprint(c.table+1))
		c.table++
		c.change(fmt.Sprintf("servers/u%d", c.upTo(6)), []string{"ready", "leaving", ""}[c.upTo(3)])
		c.faultEnd = time.Now()
		c.check()
	}
	if c.upTo(2) == 0 {
		c.note("forget history")
		c.store.ForgetHistory()
	}
	c.note("end of fault")
	c.faultEnd = time.Now()
}

// check reports hosts that lack a change for too long, or that have gone back.
func (c *convergence) check() {
	synctest.Wait()
	for name, h := range c.hosts {
		since := func(key string) time.Duration {
			return min(time.Since(c.changed[key]), time.Since(c.faultEnd), time.Since(c.started[name])-settleTime)
		}
		table, _ := h.Table()
		version := int64(0)
		if table != nil {
			version = table.Version
		}
		c.forward(name, "config/main", version)
		if version != c.table && since("config/main") > changeBound {
			c.fail("%s has table %d, want %d after %v", name, version, c.table, since("config/main"))
		}
		got := make(map[string]string)
		for _, u := range h.Upstreams() {
			got["servers/"+string(u.ID)] = map[quetzalhook.UpstreamState]string{quetzalhook.UpstreamReady: "ready", quetzalhook.UpstreamLeaving: "leaving"}[u.State]
		}
		for key := range c.changed {
			if key == "config/main" {
				continue
			}
			o, _ := c.store.Get(c.t.Context(), key)
			want, bound := string(o.Value), changeBound
			if want == "" && got[key] == "ready" {
				bound += missingGrace // it may return
			}
			if got[key] != want && since(key) > bound {
				c.fail("%s has %s as %q, want %q after %v", name, key, got[key], want, since(key))
			}
		}
		h.mu.Lock()
		for id, e := range h.entries {
			c.forward(name, string(id), int64(e.version))
		}
		h.mu.Unlock()
	}
}

func (c *convergence) forward(name, key string, version int64) {
	if k := name + " " + key; version < c.seen[k] {
		c.fail("%s went back from %d to %d of %s", name, c.seen[k], version, key)
	} else {
		c.seen[k] = version
	}
}

func (c *convergence) fail(format string, args ...any) {
	c.note(format, args...)
	c.t.Fatalf("%s", strings.Join(c.log[max(0, len(c.log)-30):], "\n"))
}

// Guards against a host that learns of a change late or never, or goes back, because it takes a
// stale or late list, a cut watch or another host's state for the newest.
func TestHostsConverge(t *testing.T) {
	for seed := *convergeSeed; seed < *convergeSeed+*convergeSeeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t)
				f.close()
				for name := range f.hosts {
					f.network.Leave(quetzalhook.HostID(name))
				}
				clear(f.hosts)
				c := &convergence{
					testFleet: f, random: rand.New(rand.NewPCG(seed, 1)), cells: seed%2 == 0, snapshots: &snapshots{store: f.store},
					changed: make(map[string]time.Time), started: make(map[string]time.Time), seen: make(map[string]int64),
				}
				defer f.close()
				c.table = 1
				c.change("config/main", "1")
				for i := range 8 {
					c.start(fmt.Sprintf("h%d", i))
				}
				for range 100 {
					c.step()
					time.Sleep(c.upTo(500 * time.Millisecond))
					c.check()
					if c.upTo(10) == 0 {
						for range 30 {
							time.Sleep(100 * time.Millisecond)
							c.check()
						}
					}
				}
				if n := f.inv.Violations(); n != 0 {
					t.Errorf("violations: got %d, want 0", n)
				}
			})
		})
	}
}
