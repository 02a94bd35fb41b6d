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

// simulation runs the protocol of many hosts with a virtual clock and a virtual
// network.
type simulation struct {
	t        testing.TB
	now      time.Time
	hosts    map[string]*gossip // by heartbeat address
	order    []string
	report   func(i int) Report
	drops    func(from, to *gossip) bool
	sent     map[string]int // bytes sent, by address of the sender
	messages int            // datagrams sent
	accepted int            // datagrams accepted
}

const (
	zones = 15
	// cellFleet is a number of hosts that forms nine cells in three zones.
	cellFleet = 120
)

func newSimulation(t testing.TB, n, zones int, seeds ...string) *simulation {
	sim := &simulation{
		t: t, now: time.Unix(1000, 0), hosts: make(map[string]*gossip), sent: make(map[string]int),
		report: func(int) Report { return Report{} }, drops: func(_, _ *gossip) bool { return false },
	}
	for i := range n {
		sim.join(i, zones, 1, seeds...)
	}
	return sim
}

func address(i int) string { return fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250) }

func (sim *simulation) join(i, zones int, incarnation quetzalhook.Incarnation, seeds ...string) *gossip {
	self := Self{
		Host: quetzalhook.HostID(fmt.Sprintf("host-%04d", i)), Incarnation: incarnation,
		Zone: quetzalhook.Zone(fmt.Sprintf("zone-%02d", i%zones)), Region: "region-1",
		Address: "10.1.2.3:8080", Heartbeat: address(i), Peer: "10.1.2.3:7001",
	}
	if sim.hosts[address(i)] == nil {
		sim.order = append(sim.order, address(i))
	}
	g := newGossip(self, []byte("secret"), seeds)
	sim.hosts[address(i)] = g
	return g
}

// list makes every host read the platform's list of hosts.
func (sim *simulation) list() {
	var list []quetzalhook.HostStatus
	for _, a := range sim.order {
		s := sim.hosts[a].self
		list = append(list, quetzalhook.HostStatus{
			Host: s.Host, Incarnation: s.Incarnation, Zone: s.Zone, HeartbeatAddress: s.Heartbeat, PeerAddress: s.Peer,
			Region: s.Region, Address: s.Address, Processors: s.Processors,
		})
	}
	for _, a := range sim.order {
		sim.hosts[a].applyHostList(sim.now, list)
	}
}

// run advances the time by d; every host ticks once per heartbeat interval.
func (sim *simulation) run(d time.Duration) {
	for end := sim.now.Add(d); sim.now.Before(end); sim.now = sim.now.Add(heartbeatInterval) {
		for i, a := range sim.order {
			out, err := sim.hosts[a].tick(sim.now, sim.report(i))
			if err != nil {
				sim.t.Fatal(err)
			}
			sim.deliver(a, out)
		}
	}
}

func (sim *simulation) deliver(from string, out []datagram) {
	for _, d := range out {
		if len(d.data) > maxDatagram {
			sim.t.Fatalf("datagram: got %d bytes, want at most %d", len(d.data), maxDatagram)
		}
		sim.sent[from] += len(d.data)
		sim.messages++
		target := sim.hosts[d.to]
		if target == nil || sim.drops(sim.hosts[from], target) {
			continue
		}
		answer, err := target.receive(sim.now, d.data)
		if err != nil {
			sim.t.Fatal(err)
		}
		sim.accepted++
		if answer != nil {
			sim.deliver(d.to, []datagram{*answer})
		}
	}
}

func (sim *simulation) member(at, of int) (quetzalhook.Member, bool) {
	for _, m := range sim.hosts[address(at)].members(sim.now) {
		if m.Host == sim.hosts[address(of)].self.Host {
			return m, true
		}
	}
	return quetzalhook.Member{}, false
}

// Guards against hosts that do not find each other through one seed, lose parts
// of the demand, or do not notice a crash, a restart or a planned stop.
func TestMembership(t *testing.T) {
	sim := newSimulation(t, 8, 3, address(0))
	inFlight := make(map[quetzalhook.UpstreamID]int)
	for i := range 60 {
		inFlight[quetzalhook.UpstreamID(fmt.Sprintf("sellers-chat-ljubljana-%d", i))] = i + 1
	}
	demand := quetzalhook.Demand{
		Requests: [quetzalhook.TierCount]int{3, 0, 2, 1}, InFlight: inFlight,
		Used: map[quetzalhook.CustomerID]float64{"seller": 7},
	}
	sim.report = func(int) Report { return Report{ConfigVersion: 3, WithdrawnHash: 9, Demand: demand} }
	sim.run(12 * time.Second)
	for i := 1; i < 8; i++ {
		m, ok := sim.member(0, i)
		if !ok || m.Silent > heartbeatInterval || m.ConfigVersion != 3 || m.WithdrawnHash != 9 || m.PeerAddress != "10.1.2.3:7001" {
			t.Errorf("host %d: got %+v, %t", i, m, ok)
		}
		if got, want := fmt.Sprint(m.Demand.Requests, m.Demand.InFlight, m.Demand.Used), fmt.Sprint(demand.Requests, inFlight, demand.Used); got != want {
			t.Errorf("host %d: demand: got %s, want %s", i, got, want)
		}
	}
	clear(inFlight)
	lost := sim.hosts[address(7)]
	sim.drops = func(from, to *gossip) bool { return from == lost || to == lost }
	sim.run(goneAfter)
	if m, ok := sim.member(1, 7); !ok || m.Silent < suspectAfter {
		t.Errorf("crashed host: got silent for %s, %t", m.Silent, ok)
	}
	if m, _ := sim.member(1, 2); len(m.Demand.InFlight) > 0 {
		t.Errorf("ended requests: got %v, want none", m.Demand.InFlight)
	}
	sim.join(7, 3, 2, address(0))
	out, err := sim.hosts[address(2)].leaveDatagrams(sim.now)
	if err != nil {
		t.Fatal(err)
	}
	sim.deliver(address(2), out)
	sim.run(2 * time.Second)
	if m, _ := sim.member(1, 7); m.Silent > heartbeatInterval || m.Incarnation != 2 {
		t.Errorf("restarted host: got %+v", m)
	}
	stopped := sim.hosts[address(2)]
	sim.drops = func(from, to *gossip) bool { return from == stopped || to == stopped }
	if _, ok := sim.member(1, 2); ok {
		t.Error("stopped host: got a member, want none")
	}
}

// Guards against replayed datagrams that make a host look alive or change its
// known state, also after a restart of the receiver.
func TestReplay(t *testing.T) {
	sim := newSimulation(t, 2, 1, address(0))
	sim.report = func(int) Report { return Report{ConfigVersion: 1} }
	sim.run(3 * time.Second)
	old, err := sim.hosts[address(1)].tick(sim.now, Report{ConfigVersion: 5})
	if err != nil {
		t.Fatal(err)
	}
	sim.deliver(address(1), old)
	sim.report = func(int) Report { return Report{ConfigVersion: 6} }
	sim.run(time.Second)
	if _, err := sim.hosts[address(0)].receive(sim.now, old[0].data); err != errReplay {
		t.Errorf("replay: got %v, want %v", err, errReplay)
	}
	g := sim.join(0, 1, 2)
	if _, err := g.receive(sim.now, old[0].data); err != nil {
		t.Error(err)
	}
	for _, m := range g.members(sim.now) {
		if m.ConfigVersion != 0 {
			t.Errorf("replay to a restarted host: got version %d, want 0", m.ConfigVersion)
		}
	}
	forged := bytes.Clone(old[0].data)
	forged[headerSize+3] ^= 1
	if _, err := g.receive(sim.now, forged); err != errMAC {
		t.Errorf("forged datagram: got %v, want %v", err, errMAC)
	}
}

// Guards against a live host that has no address, or that of its last run, because
// the datagram with its profile was overtaken.
func TestOvertakenProfile(t *testing.T) {
	for _, listed := range []bool{false, true} {
		sim := newSimulation(t, 1, 1)
		g := sim.hosts[address(0)]
		sender := newGossip(Self{Host: "b", Incarnation: 2, Heartbeat: "b:1", Peer: "b:2"}, []byte("secret"), nil)
		if listed {
			g.applyHostList(sim.now, []quetzalhook.HostStatus{{Host: "b", Incarnation: 1, HeartbeatAddress: "a:1", PeerAddress: "a:2"}})
		}
		sender.addProfile(sim.now, g.profile())
		sender.updateCells()
		greeting, err := sender.newGreeting(address(0), 1)
		if err != nil {
			t.Fatal(err)
		}
		sender.peers[g.self.Host].lastHeard = sim.now
		heartbeats, err := sender.heartbeats(sim.now, false)
		if err != nil || len(heartbeats) != 1 {
			t.Fatalf("heartbeats: got %d, %v, want 1", len(heartbeats), err)
		}
		if _, err := g.receive(sim.now, heartbeats[0].data); err != nil {
			t.Fatal(err)
		}
		out, err := g.tick(sim.now, Report{})
		if err != nil {
			t.Fatal(err)
		}
		for _, d := range out {
			if d.to == "" {
				t.Errorf("listed %v: got a datagram to an unknown address", listed)
			}
		}
		if _, err := g.receive(sim.now, greeting.data); err != errReplay {
			t.Errorf("listed %v, overtaken greeting: got %v, want %v", listed, err, errReplay)
		}
		m := g.members(sim.now)[0]
		if got, want := m.PeerAddress, "b:2"; got != want || m.Incarnation != 2 {
			t.Errorf("listed %v: got address %q of incarnation %d, want %q of 2", listed, got, m.Incarnation, want)
		}
	}
}

// Guards against hosts of other cells whose size is unknown until their profile
// arrives, so that each cell chooses another host as the largest. The list of
// hosts contains everything that the choice needs.
func TestListDescribesHosts(t *testing.T) {
	g := newGossip(Self{Host: "a", Incarnation: 1, Zone: "z"}, []byte("secret"), nil)
	g.applyHostList(time.Unix(1000, 0), []quetzalhook.HostStatus{{
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

// Guards against a host that counts as ready before it has reported so: a
// restarted host without a configuration was chosen as the leader until its
// first heartbeat and refused every request.
func TestUnreadyUntilHeard(t *testing.T) {
	sim := newSimulation(t, 3, 1, address(0))
	sim.run(3 * time.Second)
	if m, ok := sim.member(0, 1); !ok || m.Unready {
		t.Fatalf("running host: got %+v, want it ready", m)
	}
	sim.report = func(i int) Report { return Report{Unready: i == 1} }
	sim.join(1, 1, 2, address(0))
	for range 20 {
		sim.run(heartbeatInterval)
		if m, ok := sim.member(0, 1); ok && m.Incarnation == 2 && !m.Unready {
			t.Fatalf("restarted host: got %+v, want it unready", m)
		}
	}
	sim.report = func(int) Report { return Report{} }
	sim.run(2 * time.Second)
	if m, ok := sim.member(0, 1); !ok || m.Unready || m.Incarnation != 2 {
		t.Errorf("restarted host that is ready: got %+v, want it ready", m)
	}
}

// Guards, in a fleet of several cells that loses 20% of its datagrams, against
// live hosts that others no longer hear of, against traffic that grows with the
// fleet, and against a version or a planned stop that does not become known to
// all hosts.
func TestCells(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	sim := newSimulation(t, cellFleet, 3)
	sim.drops = func(_, _ *gossip) bool { return rng.Float64() < 0.2 }
	version := make([]int64, cellFleet)
	sim.report = func(i int) Report {
		for _, m := range sim.hosts[address(i)].members(sim.now) {
			version[i] = max(version[i], m.ConfigVersion)
		}
		return Report{ConfigVersion: version[i]}
	}
	sim.list()
	sim.run(8 * time.Second)
	clear(sim.sent)
	version[0] = 2
	sim.run(5 * time.Second)
	worst := time.Duration(0)
	for i := range cellFleet {
		for _, m := range sim.hosts[address(i)].members(sim.now) {
			worst = max(worst, m.Silent)
		}
		if got, limit := sim.sent[address(i)]/5, 20_000; got > limit {
			t.Errorf("host %d: sent %d bytes/s, want under %d", i, got, limit)
		}
		if got, want := version[i], int64(2); got != want {
			t.Errorf("host %d: version: got %d, want %d", i, got, want)
		}
	}
	// While the store is down, hosts refuse requests if they have not heard of a
	// live host for longer than the currency limit of keys, 10 s by default.
	if limit := 10 * time.Second; worst > limit {
		t.Errorf("longest silence: got %s, want at most %s", worst, limit)
	}
	out, err := sim.hosts[address(7)].leaveDatagrams(sim.now)
	if err != nil {
		t.Fatal(err)
	}
	stopped := sim.hosts[address(7)]
	sim.deliver(address(7), out)
	sim.drops = func(from, to *gossip) bool { return from == stopped || to == stopped }
	sim.run(8 * time.Second)
	for i := range cellFleet {
		if _, ok := sim.member(i, 7); ok && i != 7 {
			t.Errorf("host %d: planned stop of host 7 is not known", i)
		}
	}
}

func FuzzReceive(f *testing.F) {
	sim := newSimulation(f, 2, 1, address(0))
	out, err := sim.hosts[address(1)].tick(sim.now, Report{ConfigVersion: 5})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(out[0].data[headerSize : len(out[0].data)-macSize])
	f.Fuzz(func(t *testing.T, body []byte) {
		g := newSimulation(t, 2, 1).hosts[address(0)]
		if _, err := g.receive(sim.now, body); err == nil {
			t.Error("unsigned datagram: got no error")
		}
		if _, err := g.receive(sim.now, g.seal.seal(g.self.Incarnation, body)); err == nil {
			g.members(sim.now)
			if _, err := g.tick(sim.now, Report{}); err != nil {
				t.Error(err)
			}
		}
	})
}

// BenchmarkFleet measures, over 5 s of virtual time in fleets of several sizes,
// the traffic, the processing time per message, the longest silence of a host
// and the number of known cells.
func BenchmarkFleet(b *testing.B) {
	for _, n := range []int{2, 16, 64, 300, 1000, 2800} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			sim := newSimulation(b, n, min(zones, 1+n/20))
			inFlight := make(map[quetzalhook.UpstreamID]int)
			for i := range 57 {
				inFlight[quetzalhook.UpstreamID(fmt.Sprintf("engine-zone-07-%d", i))] = 1 + i%8
			}
			sim.report = func(int) Report { return Report{ConfigVersion: 77, Demand: quetzalhook.Demand{InFlight: inFlight}} }
			sim.list()
			sim.run(120 * time.Second)
			for b.Loop() {
				clear(sim.sent)
				sim.messages = 0
				sim.run(5 * time.Second)
			}
			var worst int
			sum := 0
			for _, bytes := range sim.sent {
				worst, sum = max(worst, bytes/5), sum+bytes/5
			}
			var silent time.Duration
			cellsKnown := 0
			for _, a := range sim.order[:min(n, 50)] {
				g := sim.hosts[a]
				cellsKnown = max(cellsKnown, len(g.cellViews)+1)
				for _, m := range g.members(sim.now) {
					silent = max(silent, m.Silent)
				}
			}
			b.ReportMetric(float64(sum)/float64(n), "B/s-mean")
			b.ReportMetric(float64(worst), "B/s-worst")
			b.ReportMetric(float64(sim.messages)/5/float64(n), "messages/s")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(sim.messages), "ns/message")
			b.ReportMetric(silent.Seconds(), "s-silent-worst")
			b.ReportMetric(float64(cellsKnown), "cells")
		})
	}
}

// BenchmarkReceive measures encoding a heartbeat for 15 hosts and processing it
// on one of them.
func BenchmarkReceive(b *testing.B) {
	sim := newSimulation(b, 16, 1)
	sim.list()
	sim.run(3 * time.Second)
	from, to := sim.hosts[address(1)], sim.hosts[address(0)]
	b.ReportAllocs()
	for b.Loop() {
		out, err := from.tick(sim.now, Report{ConfigVersion: 5})
		if err != nil {
			b.Fatal(err)
		}
		for _, d := range out {
			if d.to == address(0) {
				if _, err := to.receive(sim.now, d.data); err != nil {
					b.Fatal(err)
				}
			}
		}
	}
}

// BenchmarkMemory measures the memory that a host uses per other host.
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
			instances := make([]*gossip, 0, 100)
			runtime.GC()
			runtime.ReadMemStats(&before)
			for b.Loop() {
				g := newGossip(Self{Host: "self", Incarnation: 1, Zone: "zone-1"}, nil, nil)
				g.applyHostList(time.Unix(1, 0), list)
				g.updateCells()
				if len(instances) < cap(instances) {
					instances = append(instances, g)
				}
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(len(instances)*n), "B/member")
			runtime.KeepAlive(instances)
		})
	}
}

// BenchmarkMemberList measures gossip.members, which a host calls at most four
// times a second.
func BenchmarkMemberList(b *testing.B) {
	for _, n := range []int{16, 300, 2800} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			sim := newSimulation(b, n, zones)
			sim.list()
			g := sim.hosts[address(0)]
			for b.Loop() {
				if got, want := len(g.members(sim.now)), n-1; got != want {
					b.Fatalf("members: got %d, want %d", got, want)
				}
			}
		})
	}
}
