package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Partition says how the connections of a host to all upstreams fail.
type Partition string

const (
	// PartitionSilent loses all packets, also those that open connections.
	PartitionSilent Partition = "silent"
	// PartitionReset resets the open connections and loses packets that open new ones.
	PartitionReset Partition = "reset"
	// PartitionResetRefuse resets the open connections and refuses new ones.
	PartitionResetRefuse Partition = "reset-refuse"
	// PartitionRefuse refuses new connections; the open ones live on.
	PartitionRefuse Partition = "refuse"
)

const (
	partitionSequence = 6 // draws of the faults
	// minPartition and maxPartition bound the length of a partition.
	minPartition = 4 * time.Second
	maxPartition = 12 * time.Second
	// listenRetry is the pause before a closed listener is opened again after a failure.
	listenRetry    = 10 * time.Millisecond
	maxListenTries = 100
)

// partitionKinds returns the kinds of partitions between hosts and all upstreams.
func partitionKinds() []faultKind {
	variants := []string{string(PartitionSilent), string(PartitionReset), string(PartitionResetRefuse), string(PartitionRefuse)}
	kind := func(name string, hosts func(*system, fault) []*host) faultKind {
		return faultKind{
			name: name, weight: 1, minDuration: minPartition, maxDuration: maxPartition, variants: variants,
			inject: func(s *system, f fault) { s.partition(hosts(s, f), f) },
		}
	}
	return []faultKind{
		kind("partition-one", func(s *system, f fault) []*host { return []*host{s.host(f)} }),
		kind("partition-half", (*system).halfOfHosts),
		kind("partition-zone", (*system).hostsOfZone),
	}
}

// halfOfHosts returns half of the hosts, from the target on.
func (s *system) halfOfHosts(f fault) []*host {
	var hosts []*host
	for i := range max(len(s.hosts)/2, 1) {
		hosts = append(hosts, s.hosts[(f.target+i)%len(s.hosts)])
	}
	return hosts
}

// hostsOfZone returns the hosts in the zone of the target.
func (s *system) hostsOfZone(f fault) []*host {
	zone := s.host(f).zone
	return slices.DeleteFunc(slices.Clone(s.hosts), func(h *host) bool { return h.zone != zone })
}

// addPartitions adds partitions to a script, one after another, if only names kinds of
// them, since the hosts are then built with redirected connections.
func addPartitions(script []fault, seed uint64, length time.Duration, only []string) []fault {
	all := selectKinds(partitionKinds(), only)
	if len(all) == 0 {
		return script
	}
	random := rand.New(rand.NewPCG(seed, partitionSequence))
	between := func(a, b time.Duration) time.Duration { return a + time.Duration(random.Float64()*float64(b-a)) }
	for at := stableWindow + between(0, time.Second); at < length; {
		k := all[random.IntN(len(all))]
		f := fault{
			at: at, kind: k.name, target: random.IntN(targetNumbers), duration: between(k.minDuration, k.maxDuration),
			variant: k.variants[random.IntN(len(k.variants))],
		}
		script = append(script, f)
		at += f.duration + between(stableWindow, 2*stableWindow)
	}
	slices.SortStableFunc(script, func(a, b fault) int { return int(a.at - b.at) })
	return script
}

// hasPartitions reports whether the hosts of the run can be partitioned from the upstreams.
func (s *system) hasPartitions() bool {
	return len(selectKinds(partitionKinds(), s.settings.Kinds)) > 0
}

// partition partitions hosts from all upstreams for the duration of the fault. Hosts that
// are partitioned already are left out.
func (s *system) partition(hosts []*host, f fault) {
	hosts = slices.DeleteFunc(slices.Clone(hosts), func(h *host) bool { return h.isPartitioned() })
	begin := time.Now()
	for _, h := range hosts {
		s.checker.HostPartitioned(begin, h.name)
		if err := h.partitionLinks(Partition(f.variant)); err != nil {
			s.checker.Fail(CheckProcess, "%s: %v", h.name, err)
		}
	}
	time.Sleep(f.duration)
	for _, h := range hosts {
		s.checker.HostRejoined(time.Now(), h.name)
		if err := h.rejoinLinks(); err != nil {
			s.checker.Fail(CheckProcess, "%s: %v", h.name, err)
		}
	}
}

// Partition makes connections fail until Rejoin is called.
func (p *Proxy) Partition(how Partition) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if how == PartitionReset || how == PartitionResetRefuse {
		for c := range p.conns {
			c.reset()
		}
	}
	p.partition = how
	if how == PartitionRefuse || how == PartitionResetRefuse {
		return p.listener.Close()
	}
	if how == PartitionSilent {
		p.setMode(ModeCut)
		for c := range p.conns {
			_ = dropPackets(c.in) // fails if the connection is closed already
		}
	}
	return dropPackets(p.listener)
}

// Rejoin ends a partition. Connections that lived through it go on.
func (p *Proxy) Rejoin() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	how := p.partition
	p.partition = ""
	if p.closed {
		return nil
	}
	if how == PartitionRefuse || how == PartitionResetRefuse {
		return p.listenAgain()
	}
	for c := range p.conns {
		_ = passPackets(c.in) // fails if the connection is closed already, or was opened later
	}
	p.setMode(ModePass)
	return passPackets(p.listener)
}

// listenAgain opens the listener again. The caller must hold p.mu.
func (p *Proxy) listenAgain() error {
	var err error
	for range maxListenTries {
		var l net.Listener
		if l, err = listen(p.Address()); err == nil {
			p.listener = l
			p.wg.Go(func() { p.accept(l) })
			return nil
		}
		time.Sleep(listenRetry)
	}
	return err
}

// joinPartition applies the partition in force to a connection that was accepted before.
// The caller must hold p.mu.
func (p *Proxy) joinPartition(c *proxiedConn) {
	switch p.partition {
	case PartitionSilent:
		_ = dropPackets(c.in) // fails if the connection is closed already
	case PartitionReset, PartitionResetRefuse:
		c.reset()
	}
}

// dropPackets makes the kernel drop all packets that arrive for a listener or a connection.
// They are not acknowledged, so that the sender sends them again.
func dropPackets(c any) error {
	none := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K}}
	return control(c, func(fd int) error {
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: uint16(len(none)), Filter: &none[0]})
	})
}

// passPackets ends the effect of dropPackets.
func passPackets(c any) error {
	return control(c, func(fd int) error { return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0) })
}

// control calls f with the descriptor of a listener or a connection.
func control(c any, f func(fd int) error) error {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return &Error{Op: "filter", Kind: ErrorSetup, Err: fmt.Errorf("%T has no descriptor", c)}
	}
	raw, err := sc.SyscallConn()
	if err == nil {
		var inner error
		if err = raw.Control(func(fd uintptr) { inner = f(int(fd)) }); err == nil {
			err = inner
		}
	}
	if err != nil {
		return &Error{Op: "filter", Kind: ErrorSetup, Err: err}
	}
	return nil
}
