package member

import (
	"context"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"quetzalhook"
)

const (
	// The interval between two reads of the platform's list of hosts is
	// listIntervalPerHost times the number of known hosts, so that all hosts
	// together make at most 20 reads/s, but at least minListInterval. The list
	// has an entry for each host: with a fixed interval of 30 s and 2,800 hosts,
	// it used about half of the 20 KB/s that a host has for control traffic.
	listIntervalPerHost = 50 * time.Millisecond
	minListInterval     = 30 * time.Second
	// secondListDelay is the time between the first and the second read of the
	// list. Hosts that start together register within a second, so the first
	// read of most of them misses the others.
	secondListDelay = 3 * time.Second
	// listTimeout limits one read of the list.
	listTimeout = 5 * time.Second
	// stopTimeout limits the shutdown of the socket engine.
	stopTimeout = 5 * time.Second
)

// Settings configures a Service.
type Settings struct {
	Self Self
	// Listen is the UDP address for heartbeats, host:port. With port 0, the
	// system chooses the port. If Self.Heartbeat is empty, the bound address is
	// announced.
	Listen string
	Secret []byte
	// Seeds are heartbeat addresses of some hosts, which may include this one.
	Seeds []string
	// Report returns the state to send to the other hosts. It is called four
	// times a second.
	Report func() Report
	// Hosts reads the platform's list of hosts; nil if there is none.
	Hosts quetzalhook.HostLister
	// StaleHosts, if set, is a cheaper list that may be some seconds old. It replaces
	// all reads of Hosts but the second.
	StaleHosts func(context.Context) ([]quetzalhook.HostStatus, error)
}

// Service runs the membership protocol of one host over UDP.
type Service struct {
	settings Settings
	clock    quetzalhook.Clock
	log      logrus.FieldLogger

	mu        sync.Mutex
	gossip    *gossip
	members   []quetzalhook.Member // shared with callers, never changed
	membersAt time.Time            // when members was computed

	hasList atomic.Bool // the list of hosts was read since the start

	datagrams, bytes atomic.Int64 // sent so far

	handler *handler
	conn    net.PacketConn
	cancel  context.CancelFunc
	wg      sync.WaitGroup
}

// NewService returns a service that is not started.
func NewService(settings Settings, clock quetzalhook.Clock, log logrus.FieldLogger) *Service {
	s := &Service{settings: settings, clock: clock, log: log.WithField("host", settings.Self.Host)}
	s.gossip = newGossip(settings.Self, settings.Secret, settings.Seeds)
	return s
}

// Start binds the socket and sends heartbeats until ctx ends or Close is called.
func (s *Service) Start(ctx context.Context) error {
	h := &handler{service: s, booted: make(chan struct{}), done: make(chan error, 1)}
	go func() {
		h.done <- gnet.Run(h, "udp://"+s.settings.Listen, gnet.WithLogger(s.log.WithField("part", "heartbeat-socket")))
	}()
	select {
	case <-h.booted:
	case err := <-h.done:
		return errors.Wrapf(err, "heartbeat socket %s", s.settings.Listen)
	}
	conn, err := h.duplicate()
	if err != nil {
		if stopErr := h.stop(); stopErr != nil {
			s.log.WithError(stopErr).Warn("heartbeat socket not closed")
		}
		return errors.Wrap(err, "heartbeat socket")
	}
	s.mu.Lock()
	s.handler, s.conn = h, conn
	if s.gossip.self.Heartbeat == "" {
		s.gossip.self.Heartbeat = conn.LocalAddr().String()
	}
	s.mu.Unlock()
	ctx, s.cancel = context.WithCancel(ctx)
	s.wg.Go(func() { s.sendHeartbeats(ctx) })
	if s.settings.Hosts != nil {
		s.wg.Go(func() { s.pollHostList(ctx) })
	}
	return nil
}

// Address returns the bound address of the socket.
func (s *Service) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn == nil {
		return ""
	}
	return s.conn.LocalAddr().String()
}

// SetPeerAddress sets the address that is announced for calls of other hosts. It
// is called once that address is bound.
func (s *Service) SetPeerAddress(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gossip.self.Peer = address
}

// SetSeeds replaces the seeds, the heartbeat addresses that this host sends
// greetings to.
func (s *Service) SetSeeds(seeds []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gossip.seeds = slices.Clone(seeds)
}

// Block drops all traffic from and to the hosts for which f returns true, to
// simulate a network partition in tests; nil ends it.
func (s *Service) Block(f func(quetzalhook.HostID) bool) {
	if f == nil {
		f = func(quetzalhook.HostID) bool { return false }
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gossip.blocked = f
}

// Members returns the other hosts, sorted by name, including those that are not
// heard. It omits a host after a planned stop, or when the host has been silent
// for 30 s and the platform does not list it. The result is up to 250 ms old and
// must not be modified.
func (s *Service) Members() []quetzalhook.Member {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.members == nil || now.Sub(s.membersAt) >= heartbeatInterval {
		s.members, s.membersAt = s.gossip.members(now), now
	}
	return s.members
}

// IsIntroduced reports whether this host has learnt of the others since its start: it has
// read the list of hosts or heard a heartbeat.
func (s *Service) IsIntroduced() bool {
	return s.hasList.Load() || len(s.Members()) > 0
}

// IsSameList reports whether a and b are the same slice returned by Members,
// which makes a new one at most every 250 ms. It returns false for empty lists.
func IsSameList(a, b []quetzalhook.Member) bool {
	return len(a) > 0 && len(a) == len(b) && &a[0] == &b[0]
}

// Traffic returns the number of datagrams sent so far and their size in bytes
// without the headers of UDP and IP.
func (s *Service) Traffic() (datagrams, bytes int64) { return s.datagrams.Load(), s.bytes.Load() }

// Cells returns the totals of the other cells.
func (s *Service) Cells() []CellSummary {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gossip.cellSummaries(s.clock.Now())
}

// Owns reports whether the hosts of the own cell use an upstream. Each upstream
// belongs to exactly one cell; in a fleet with a single cell, all belong to it.
func (s *Service) Owns(id quetzalhook.UpstreamID, zone quetzalhook.Zone) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gossip.updateCells()
	return s.gossip.cells.cellOfUpstream(id, zone) == s.gossip.cell
}

// Health classifies a host by how long it has been silent.
type Health string

const (
	// Alive is a host heard within the last second.
	Alive Health = "alive"
	// Suspect is a host that has missed four heartbeats.
	Suspect Health = "suspect"
	// Gone is a host that has been silent for 3 s.
	Gone Health = "gone"
)

// HealthOf returns the health of a member of the own cell. It does not apply to
// hosts of other cells, which are known only through summaries that are up to
// 30 s old in a large fleet.
func HealthOf(m quetzalhook.Member) Health {
	switch {
	case m.Silent < suspectAfter:
		return Alive
	case m.Silent < goneAfter:
		return Suspect
	default:
		return Gone
	}
}

// sendHeartbeats sends the datagrams of each tick until ctx ends.
func (s *Service) sendHeartbeats(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		report := s.settings.Report()
		s.mu.Lock()
		out, err := s.gossip.tick(s.clock.Now(), report)
		s.mu.Unlock()
		if err != nil {
			s.log.WithError(err).Error("heartbeat not sent")
		}
		s.send(out)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// send sends datagrams. The socket engine may deliver datagrams before Start has
// set the socket; answers to these are dropped, which has no lasting effect because
// greetings and heartbeats are repeated.
func (s *Service) send(out []datagram) {
	s.mu.Lock()
	conn := s.conn
	s.mu.Unlock()
	if conn == nil {
		return
	}
	for _, d := range out {
		to, err := net.ResolveUDPAddr("udp", d.to)
		if err == nil {
			_, err = conn.WriteTo(d.data, to)
			s.datagrams.Add(1)
			s.bytes.Add(int64(len(d.data)))
		}
		if err != nil {
			s.log.WithError(err).WithField("to", d.to).Debug("datagram not sent")
		}
	}
}

// receive processes a datagram from the socket and sends the answer, if any.
func (s *Service) receive(data []byte) {
	now := s.clock.Now()
	s.mu.Lock()
	answer, err := s.gossip.receive(now, data)
	s.mu.Unlock()
	if err != nil {
		s.log.WithError(err).Debug("datagram dropped")
	}
	if answer != nil {
		s.send([]datagram{*answer})
	}
}

// pollHostList reads the platform's list of hosts regularly until ctx ends.
func (s *Service) pollHostList(ctx context.Context) {
	for round := 0; ; round++ {
		callCtx, cancel := context.WithTimeout(ctx, listTimeout)
		// Only the second read must be current: it finds the hosts that started at
		// the same time as this one.
		read := s.settings.Hosts.Hosts
		if round != 1 && s.settings.StaleHosts != nil {
			read = s.settings.StaleHosts
		}
		list, err := read(callCtx)
		cancel()
		if err == nil {
			s.mu.Lock()
			s.gossip.applyHostList(s.clock.Now(), list)
			s.members = nil // computed again with the hosts of the list
			s.mu.Unlock()
			s.hasList.Store(true)
		} else {
			s.log.WithError(err).Debug("list of hosts not read")
		}
		wait := secondListDelay
		if round > 0 {
			wait = listInterval(len(s.Members()) + 1)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

// listInterval returns the time between two reads of the list in a fleet with the
// given number of hosts.
func listInterval(hosts int) time.Duration {
	return max(time.Duration(hosts)*listIntervalPerHost, minListInterval)
}

// Leave tells the other hosts that this host is stopping as planned, so that they
// do not count it as missing. The caller then calls Close.
func (s *Service) Leave() {
	s.mu.Lock()
	out, err := s.gossip.leaveDatagrams(s.clock.Now())
	s.mu.Unlock()
	if err != nil {
		s.log.WithError(err).Error("planned stop not announced")
		return
	}
	// Sent twice, because a datagram may be lost. If the first arrives, the
	// receiver drops the second as a replay.
	s.send(slices.Concat(out, out))
}

// Close stops the service and waits for its goroutines. Without a call of Leave,
// the other hosts count this one as missing.
func (s *Service) Close() error {
	if s.cancel == nil {
		return nil
	}
	s.cancel()
	s.wg.Wait()
	err := s.conn.Close()
	if stopErr := s.handler.stop(); stopErr != nil {
		err = stopErr
	}
	return errors.Wrap(err, "close heartbeat socket")
}

// handler handles the events of the socket engine, which is gnet.
type handler struct {
	gnet.BuiltinEventEngine
	service *Service
	engine  gnet.Engine
	booted  chan struct{} // closed when engine is set
	done    chan error    // receives the result of gnet.Run
}

// OnBoot implements gnet.EventHandler.
func (h *handler) OnBoot(engine gnet.Engine) gnet.Action {
	h.engine = engine
	close(h.booted)
	return gnet.None
}

// OnTraffic implements gnet.EventHandler.
func (h *handler) OnTraffic(c gnet.Conn) gnet.Action {
	if data, err := c.Next(-1); err == nil {
		h.service.receive(data)
	}
	return gnet.None
}

// duplicate returns a connection for sending on a duplicate of the engine's
// socket.
func (h *handler) duplicate() (net.PacketConn, error) {
	fd, err := h.engine.Dup()
	if err != nil {
		return nil, errors.Wrap(err, "duplicate socket")
	}
	file := os.NewFile(uintptr(fd), "heartbeat")
	defer func() { _ = file.Close() }() // FilePacketConn uses a duplicate of its own
	conn, err := net.FilePacketConn(file)
	return conn, errors.Wrap(err, "use socket")
}

// stop stops the engine and waits until it has ended.
func (h *handler) stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	ended := make(chan error, 1)
	go func() {
		ended <- <-h.done
		cancel() // Stop would look for the end only every 500 ms
	}()
	if err := h.engine.Stop(ctx); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return <-ended
}
