package member

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"quetzalhook"
)

// world runs the protocol of many hosts with a virtual clock and network.
type world struct {
	t      testing.TB
	now    time.Time
	hosts  map[string]*gossip // by heartbeat address
	order  []string
	report func(i int) Report
	lose   func(from, to *gossip) bool
	sent   map[string]int // bytes by sender
	total  int            // messages
	taken  int            // messages accepted
}

const (
	zones = 15
	// cellFleet makes nine cells.
	cellFleet = 120
)

func newWorld(t testing.TB, n, zones int, seeds ...string) *world {
	w := &world{
		t: t, now: time.Unix(1000, 0), hosts: make(map[string]*gossip), sent: make(map[string]int),
		report: func(int) Report { return Report{} }, lose: func(_, _ *gossip) bool { return false },
	}
	for i := range n {
		w.join(i, zones, 1, seeds...)
	}
	return w
}

func address(i int) string { return fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250) }

func (w *world) join(i, zones int, incarnation quetzalhook.Incarnation, seeds ...string) *gossip {
	self := Self{
		Host: quetzalhook.HostID(fmt.Sprintf("host-%04d", i)), Incarnation: incarnation,
		Zone: quetzalhook.Zone(fmt.Sprintf("zone-%02d", i%zones)), Region: "region-1",
		Address: "10.1.2.3:8080", Heartbeat: address(i), Peer: "10.1.2.3:7001",
	}
	if w.hosts[address(i)] == nil {
		w.order = append(w.order, address(i))
	}
	g := newGossip(self, []byte("secret"), seeds)
	w.hosts[address(i)] = g
	return g
}

// list makes every host look at the platform's list of hosts.
func (w *world) list() {
	var list []quetzalhook.HostStatus
	for _, a := range w.order {
		s := w.hosts[a].self
		list = append(list, quetzalhook.HostStatus{
			Host: s.Host, Incarnation: s.Incarnation, Zone: s.Zone, HeartbeatAddress: s.Heartbeat, PeerAddress: s.Peer,
			Region: s.Region, Address: s.Address, Processors: s.Processors,
		})
	}
	for _, a := range w.order {
		w.hosts[a].observeList(w.now, list)
	}
}

// run passes time; the hosts' heartbeats are spread over the interval.
func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(beatInterval) {
		for i, a := range w.order {
			out, err := w.hosts[a].tick(w.now, w.report(i))
			if err != nil {
				w.t.Fatal(err)
			}
			w.deliver(a, out)
		}
	}
}

func (w *world) deliver(from string, out []datagram) {
	for _, d := range out {
		if len(d.data) > maxDatagram {
			w.t.Fatalf("datagram: got %d bytes, want at most %d", len(d.data), maxDatagram)
		}
		w.sent[from] += len(d.data)
		w.total++
		target := w.hosts[d.to]
		if target == nil || w.lose(w.hosts[from], target) {
			continue
		}
		answer, err := target.receive(w.now, d.data)
		if err != nil {
			w.t.Fatal(err)
		}
		w.taken++
		if answer != nil {
			w.deliver(d.to, []datagram{*answer})
		}
	}
}

func (w *world) member(at, of int) (quetzalhook.Member, bool) {
	for _, m := range w.hosts[address(at)].members(w.now) {
		if m.Host == w.hosts[address(of)].self.Host {
			return m, true
		}
	}
	return quetzalhook.Member{}, false
}

// Guards against hosts that do not find each other from one seed, lose parts
// of the demand, or do not see a crash, a restart or a planned stop.
func TestMembership(t *testing.T) {
	w := newWorld(t, 8, 3, address(0))
	inFlight := make(map[quetzalhook.UpstreamID]int)
	for i := range 60 {
		inFlight[quetzalhook.UpstreamID(fmt.Sprintf("sellers-chat-ljubljana-%d", i))] = i + 1
	}
	demand := quetzalhook.Demand{
		Requests: [quetzalhook.TierCount]int{3, 0, 2, 1}, InFlight: inFlight,
		Used: map[quetzalhook.CustomerID]float64{"seller": 7},
	}
	w.report = func(int) Report { return Report{ConfigVersion: 3, WithdrawnHash: 9, Demand: demand} }
	w.run(12 * time.Second)
	for i := 1; i < 8; i++ {
		m, ok := w.member(0, i)
		if !ok || m.Silent > beatInterval || m.ConfigVersion != 3 || m.WithdrawnHash != 9 || m.PeerAddress != "10.1.2.3:7001" {
			t.Errorf("host %d: got %+v, %t", i, m, ok)
		}
		if got, want := fmt.Sprint(m.Demand.Requests, m.Demand.InFlight, m.Demand.Used), fmt.Sprint(demand.Requests, inFlight, demand.Used); got != want {
			t.Errorf("host %d: demand: got %s, want %s", i, got, want)
		}
	}
	clear(inFlight)
	lost := w.hosts[address(7)]
	w.lose = func(from, to *gossip) bool { return from == lost || to == lost }
	w.run(goneAfter)
	if m, ok := w.member(1, 7); !ok || m.Silent < suspectAfter {
		t.Errorf("crashed host: got silent for %s, %t", m.Silent, ok)
	}
	if m, _ := w.member(1, 2); len(m.Demand.InFlight) > 0 {
		t.Errorf("ended requests: got %v, want none", m.Demand.InFlight)
	}
	w.join(7, 3, 2, address(0))
	out, err := w.hosts[address(2)].farewell(w.now)
	if err != nil {
		t.Fatal(err)
	}
	w.deliver(address(2), out)
	w.run(2 * time.Second)
	if m, _ := w.member(1, 7); m.Silent > beatInterval || m.Incarnation != 2 {
		t.Errorf("restarted host: got %+v", m)
	}
	stopped := w.hosts[address(2)]
	w.lose = func(from, to *gossip) bool { return from == stopped || to == stopped }
	if _, ok := w.member(1, 2); ok {
		t.Error("stopped host: got a member, want none")
	}
}

// Guards against recorded datagrams that make a host look alive or change
// what is known of it, also after a restart of the receiver.
func TestReplay(t *testing.T) {
	w := newWorld(t, 2, 1, address(0))
	w.report = func(int) Report { return Report{ConfigVersion: 1} }
	w.run(3 * time.Second)
	old, err := w.hosts[address(1)].tick(w.now, Report{ConfigVersion: 5})
	if err != nil {
		t.Fatal(err)
	}
	w.deliver(address(1), old)
	w.report = func(int) Report { return Report{ConfigVersion: 6} }
	w.run(time.Second)
	if _, err := w.hosts[address(0)].receive(w.now, old[0].data); err != errReplay {
		t.Errorf("replay: got %v, want %v", err, errReplay)
	}
	g := w.join(0, 1, 2)
	if _, err := g.receive(w.now, old[0].data); err != nil {
		t.Error(err)
	}
	for _, m := range g.members(w.now) {
		if m.ConfigVersion != 0 {
			t.Errorf("replay to a restarted host: got version %d, want 0", m.ConfigVersion)
		}
	}
	forged := bytes.Clone(old[0].data)
	forged[headerSize+3] ^= 1
	if _, err := g.receive(w.now, forged); err != errMAC {
		t.Errorf("forged datagram: got %v, want %v", err, errMAC)
	}
}

// Guards against hosts of other cells whose size is not known until they happen
// to be introduced, so that each cell chooses another host as the largest: the
// list tells all that a choice needs.
func TestListDescribesHosts(t *testing.T) {
	g := newGossip(Self{Host: "a", Incarnation: 1, Zone: "z"}, []byte("secret"), nil)
	g.observeList(time.Unix(1000, 0), []quetzalhook.HostStatus{{
		Host: "b", Incarnation: 2, Zone: "y", HeartbeatAddress: "10.0.0.2:1", PeerAddress: "10.0.0.2:2",
		Region: "r", Address: "10.0.0.2:3", Processors: 0.8,
	}})
	list := g.members(time.Unix(1000, 0))
	if len(list) != 1 {
		t.Fatalf("members: got %d, want 1", len(list))
	}
	if m := list[0]; m.Region != "r" || m.Address != "10.0.0.2:3" || m.Processors != 0.8 {
		t.Errorf("member: got region %q, address %q, %g processors, want r, 10.0.0.2:3, 0.8", m.Region, m.Address, m.Processors)
	}
}

// Guards against a host that counts as ready before it has told so: a restarted
// host without a configuration was chosen as the leader until its first
// heartbeat, and refused every request.
func TestUnreadyUntilHeard(t *testing.T) {
	w := newWorld(t, 3, 1, address(0))
	w.run(3 * time.Second)
	if m, ok := w.member(0, 1); !ok || m.Unready {
		t.Fatalf("running host: got %+v, want it ready", m)
	}
	w.report = func(i int) Report { return Report{Unready: i == 1} }
	w.join(1, 1, 2, address(0))
	for range 20 {
		w.run(beatInterval)
		if m, ok := w.member(0, 1); ok && m.Incarnation == 2 && !m.Unready {
			t.Fatalf("restarted host: got %+v, want it unready", m)
		}
	}
	w.report = func(int) Report { return Report{} }
	w.run(2 * time.Second)
	if m, ok := w.member(0, 1); !ok || m.Unready || m.Incarnation != 2 {
		t.Errorf("restarted host that is ready: got %+v, want it ready", m)
	}
}

// Guards against a fleet of several cells that loses sight of hosts, against
// traffic that grows with the fleet, and against a version that does not
// spread. Loss is 20%.
func TestCells(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	w := newWorld(t, cellFleet, 3)
	w.lose = func(_, _ *gossip) bool { return rng.Float64() < 0.2 }
	version := make([]int64, cellFleet)
	w.report = func(i int) Report {
		for _, m := range w.hosts[address(i)].members(w.now) {
			version[i] = max(version[i], m.ConfigVersion)
		}
		return Report{ConfigVersion: version[i]}
	}
	w.list()
	w.run(8 * time.Second)
	clear(w.sent)
	version[0] = 2
	w.run(5 * time.Second)
	worst := time.Duration(0)
	for i := range cellFleet {
		for _, m := range w.hosts[address(i)].members(w.now) {
			worst = max(worst, m.Silent)
		}
		if got, limit := w.sent[address(i)]/5, 20_000; got > limit {
			t.Errorf("host %d: sent %d bytes/s, want under %d", i, got, limit)
		}
		if got, want := version[i], int64(2); got != want {
			t.Errorf("host %d: version: got %d, want %d", i, got, want)
		}
	}
	// The default currency limit of keys: a live host silent for longer would
	// make others refuse requests while the store is down.
	if limit := 10 * time.Second; worst > limit {
		t.Errorf("longest silence: got %s, want at most %s", worst, limit)
	}
	out, err := w.hosts[address(7)].farewell(w.now)
	if err != nil {
		t.Fatal(err)
	}
	stopped := w.hosts[address(7)]
	w.deliver(address(7), out)
	w.lose = func(from, to *gossip) bool { return from == stopped || to == stopped }
	w.run(8 * time.Second)
	for i := range cellFleet {
		if _, ok := w.member(i, 7); ok && i != 7 {
			t.Errorf("host %d: planned stop of host 7 is not known", i)
		}
	}
}

func FuzzReceive(f *testing.F) {
	w := newWorld(f, 2, 1, address(0))
	out, err := w.hosts[address(1)].tick(w.now, Report{ConfigVersion: 5})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(out[0].data[headerSize : len(out[0].data)-macSize])
	f.Fuzz(func(t *testing.T, body []byte) {
		g := newWorld(t, 2, 1).hosts[address(0)]
		if _, err := g.receive(w.now, body); err == nil {
			t.Error("unsigned datagram: got no error")
		}
		if _, err := g.receive(w.now, g.seal.seal(g.self.Incarnation, body)); err == nil {
			g.members(w.now)
			if _, err := g.tick(w.now, Report{}); err != nil {
				t.Error(err)
			}
		}
	})
}

// BenchmarkFleet measures the traffic, the time for each message and the
// knowledge of other cells of a whole fleet, for 5 s of virtual time.
func BenchmarkFleet(b *testing.B) {
	for _, n := range []int{2, 16, 64, 300, 1000, 2800} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			w := newWorld(b, n, min(zones, 1+n/20))
			inFlight := make(map[quetzalhook.UpstreamID]int)
			for i := range 57 {
				inFlight[quetzalhook.UpstreamID(fmt.Sprintf("engine-zone-07-%d", i))] = 1 + i%8
			}
			w.report = func(int) Report { return Report{ConfigVersion: 77, Demand: quetzalhook.Demand{InFlight: inFlight}} }
			w.list()
			w.run(120 * time.Second)
			for b.Loop() {
				clear(w.sent)
				w.total = 0
				w.run(5 * time.Second)
			}
			var worst int
			sum := 0
			for _, bytes := range w.sent {
				worst, sum = max(worst, bytes/5), sum+bytes/5
			}
			var silent time.Duration
			cellsKnown := 0
			for _, a := range w.order[:min(n, 50)] {
				g := w.hosts[a]
				cellsKnown = max(cellsKnown, len(g.regions)+1)
				for _, m := range g.members(w.now) {
					silent = max(silent, m.Silent)
				}
			}
			b.ReportMetric(float64(sum)/float64(n), "B/s-mean")
			b.ReportMetric(float64(worst), "B/s-worst")
			b.ReportMetric(float64(w.total)/5/float64(n), "messages/s")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(w.total), "ns/message")
			b.ReportMetric(silent.Seconds(), "s-silent-worst")
			b.ReportMetric(float64(cellsKnown), "cells")
		})
	}
}

// BenchmarkReceive measures making one heartbeat for 15 hosts and taking it on
// one of them.
func BenchmarkReceive(b *testing.B) {
	w := newWorld(b, 16, 1)
	w.list()
	w.run(3 * time.Second)
	from, to := w.hosts[address(1)], w.hosts[address(0)]
	b.ReportAllocs()
	for b.Loop() {
		out, err := from.tick(w.now, Report{ConfigVersion: 5})
		if err != nil {
			b.Fatal(err)
		}
		for _, d := range out {
			if d.to == address(0) {
				if _, err := to.receive(w.now, d.data); err != nil {
					b.Fatal(err)
				}
			}
		}
	}
}

// BenchmarkMemory measures the memory of the view of other hosts.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{16, 300, 2800} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			var list []quetzalhook.HostStatus
			for i := range n {
				list = append(list, quetzalhook.HostStatus{
					Host: quetzalhook.HostID(fmt.Sprintf("host-%04d", i)), Incarnation: 1,
					Zone: quetzalhook.Zone(fmt.Sprint("zone-", i%zones)), HeartbeatAddress: address(i), PeerAddress: address(i),
				})
			}
			var before, after runtime.MemStats
			views := make([]*gossip, 0, 100)
			runtime.GC()
			runtime.ReadMemStats(&before)
			for b.Loop() {
				g := newGossip(Self{Host: "self", Incarnation: 1, Zone: "zone-1"}, nil, nil)
				g.observeList(time.Unix(1, 0), list)
				g.arrange()
				if len(views) < cap(views) {
					views = append(views, g)
				}
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(len(views)*n), "B/member")
			runtime.KeepAlive(views)
		})
	}
}

// BenchmarkMemberList measures the list that a host makes at most four times a
// second.
func BenchmarkMemberList(b *testing.B) {
	for _, n := range []int{16, 300, 2800} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			w := newWorld(b, n, zones)
			w.list()
			g := w.hosts[address(0)]
			for b.Loop() {
				if got, want := len(g.members(w.now)), n-1; got != want {
					b.Fatalf("members: got %d, want %d", got, want)
				}
			}
		})
	}
}
