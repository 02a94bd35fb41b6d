package routing

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"

	"quetzalhook"
	"quetzalhook/internal/fleet/peer"
	"quetzalhook/internal/platform/memory"
	"quetzalhook/internal/state/invariant"
)

// link is the sending side of a host's network link. Concurrent answers share it.
type link struct{ busy chan struct{} }

const (
	linkRate   = 10_000_000 / 8 // bytes/s
	packetSize = 1200
)

// send takes the time to send n bytes, or returns false when ctx ends. Bytes that were
// sent by then have used the link all the same.
func (l *link) send(ctx context.Context, n int) bool {
	for ; n > 0; n -= packetSize {
		select {
		case l.busy <- struct{}{}:
		case <-ctx.Done():
			return false
		}
		time.Sleep(time.Second * packetSize / linkRate)
		<-l.busy
		if ctx.Err() != nil {
			return false
		}
	}
	return true
}

// linkedPeers are the peers of a host in a zone. Answers to it pass through the links of
// the hosts that send them, and the hosts of other zones are distant.
type linkedPeers struct {
	quetzalhook.Peers
	fleet *linkedFleet
	zone  int
}

// Call implements quetzalhook.Peers.
func (p linkedPeers) Call(ctx context.Context, host quetzalhook.HostID, kind string, body []byte) ([]byte, error) {
	answer, err := p.Peers.Call(ctx, host, kind, body)
	if err == nil && !p.fleet.link(host).send(ctx, len(answer)) {
		err = ctx.Err()
	}
	return answer, err
}

// Members implements quetzalhook.Peers.
func (p linkedPeers) Members() []quetzalhook.Member {
	list := p.Peers.Members()
	for i := range list {
		list[i].Distant = p.fleet.zone(list[i].Host) != p.zone
	}
	return list
}

// linkedFleet holds the followers of hosts in several zones, each of which is one cell.
type linkedFleet struct {
	hosts map[quetzalhook.HostID]*Follower
	mu    sync.Mutex
	links map[quetzalhook.HostID]*link
}

func (f *linkedFleet) link(host quetzalhook.HostID) *link {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.links[host] == nil {
		f.links[host] = &link{busy: make(chan struct{}, 1)}
	}
	return f.links[host]
}

func (f *linkedFleet) zone(host quetzalhook.HostID) int {
	var zone, n int
	_, _ = fmt.Sscanf(string(host), "z%d-%d", &zone, &n)
	return zone
}

// wideTable returns a version of a table with n routes and 24 customers. The names are
// random, as those of a deployment.
func wideTable(version int64, n int) *Table {
	random := rand.New(rand.NewPCG(1, 1))
	name := func() string { return fmt.Sprintf("%x", random.Uint32()) }
	t := &Table{Version: version}
	for i := range n {
		t.Routes = append(t.Routes, Route{
			Name: fmt.Sprintf("route-%d", i), Host: name() + ".example", Prefix: "/" + name() + "/", Kind: Kind(i % 3),
			Timeout: 12 * time.Second, LatencyTarget: time.Second, Attempts: 2, Split: []Share{{Service: "model-pool", Weight: 1}},
		})
	}
	for range 24 {
		t.Customers = append(t.Customers, Customer{ID: quetzalhook.CustomerID(name()), Keys: []KeyHash{HashKey(name()), HashKey(name())}})
	}
	return t
}

// newLinkedFleet starts the hosts of a fleet. configure returns the store that a host uses, and
// its options.
func newLinkedFleet(t *testing.T, zones, perZone int, configure func(quetzalhook.HostID) (quetzalhook.Store, []Option)) *linkedFleet {
	clock := quetzalhook.ClockFunc(time.Now)
	network := peer.NewNetwork(clock, 1)
	f := &linkedFleet{hosts: make(map[quetzalhook.HostID]*Follower), links: make(map[quetzalhook.HostID]*link)}
	source := testSource
	source.DecodeTable = func(value []byte) (*Table, error) {
		table := &Table{}
		return table, cbor.Unmarshal(value, table)
	}
	for zone := range zones {
		for n := range perZone {
			host := quetzalhook.HostID(fmt.Sprintf("z%d-%d", zone, n))
			endpoint := network.Endpoint(host)
			store, opts := configure(host)
			follower := New(host, store, linkedPeers{endpoint, f, zone}, source, clock, discardLogger(), invariant.New(nil), opts...)
			network.Join(endpoint, func() quetzalhook.Member {
				m := quetzalhook.Member{StoreAge: follower.StoreAge(), TableVersion: follower.TableVersion(), Kept: follower.Kept()}
				m.ConfigVersion, m.UpstreamVersion = follower.Versions()
				if follower.Eligible() {
					m.Eligible = quetzalhook.RoleStoreWatcher
				}
				if follower.Watches() {
					m.Active = quetzalhook.RoleStoreWatcher
				}
				return m
			})
			f.hosts[host] = follower
			follower.Start()
		}
	}
	t.Cleanup(func() {
		for _, h := range f.hosts {
			if err := h.Close(); err != nil {
				t.Error(err)
			}
		}
	})
	return f
}

// Guards against a large table that is late at hosts which read it from others over links
// of 10 Mbit/s.
func TestLargeTableInForceOnSmallLinks(t *testing.T) {
	for _, test := range []struct {
		name   string
		before int // routes before the change, of 1,441 after it
	}{{"one-route-added", 1440}, {"most-routes-added", 40}} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkTimeToForce(t, wideTable(1, test.before), wideTable(2, 1441)) })
		})
	}
}

// checkTimeToForce checks that a change of the table is in force at all hosts in time.
func checkTimeToForce(t *testing.T, before, after *Table) {
	store := memory.New()
	putTable(t, store, before)
	f := newLinkedFleet(t, 6, 12, func(quetzalhook.HostID) (quetzalhook.Store, []Option) { return store, nil })
	time.Sleep(5 * time.Second)
	putTable(t, store, after)
	f.waitForTable(t, after.Version, 4*time.Second)
}

// putTable writes a table to the store.
func putTable(t *testing.T, store *memory.Store, table *Table) {
	t.Helper()
	value, err := cbor.Marshal(table)
	if err != nil {
		t.Fatal(err)
	}
	o, err := store.Get(t.Context(), testSource.TableKey)
	if err != nil && quetzalhook.StoreKind(err, "") != quetzalhook.StoreNotFound {
		t.Fatal(err)
	}
	if _, err := store.Put(t.Context(), testSource.TableKey, value, o.Version); err != nil {
		t.Fatal(err)
	}
}

// waitForTable checks that all hosts have a version of the table in time.
func (f *linkedFleet) waitForTable(t *testing.T, version int64, bound time.Duration) {
	t.Helper()
	start := time.Now()
	for late := len(f.hosts); late > 0; {
		time.Sleep(100 * time.Millisecond)
		late = 0
		for _, h := range f.hosts {
			if table, _ := h.Table(); table == nil || table.Version < version {
				late++
			}
		}
		if since := time.Since(start); late > 0 && since > bound {
			t.Fatalf("hosts without the table %v after the change: got %d, want 0", since, late)
		}
	}
	t.Logf("in force at all hosts after %v", time.Since(start))
}
