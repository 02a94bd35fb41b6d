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
	// The platform's list of hosts is read every listPerHost for each known
	// host, so that all hosts together make at most 20 reads/s, but not more
	// often than every listMin. The list has an entry for each host: read every
	// 30 s in a fleet of 2,800, it alone took about half of the 20 KB/s that a
	// host has for control traffic.
	listPerHost = 50 * time.Millisecond
	listMin     = 30 * time.Second
	// listAgain is when the list is read for the second time: hosts that start
	// together register within a second, after the first read of most of them.
	listAgain = 3 * time.Second
	// listTimeout bounds one look.
	listTimeout = 5 * time.Second
	// stopTimeout bounds the stop of the socket engine.
	stopTimeout = 5 * time.Second
)

// Settings hold what a Service needs to know.
type Settings struct {
	Self Self
	// Listen is the UDP address for heartbeats, host:port. Port 0 chooses one.
	// Without Self.Heartbeat, the bound address is announced.
	Listen string
	Secret []byte
	// Seeds are heartbeat addresses of some hosts, which may include this one.
	Seeds []string
	// Report returns what to tell the other hosts; it is called four times a
	// second.
	Report func() Report
	// Hosts is the platform's list; nil for none.
	Hosts quetzalhook.HostLister
}

// Service runs the membership protocol of one host over UDP.
type Service struct {
	settings Settings
	clock    quetzalhook.Clock
	log      logrus.FieldLogger

	mu      sync.Mutex
	gossip  *gossip
	members []quetzalhook.Member // shared with callers, never changed
	taken   time.Time            // when members was made

	datagrams, bytes atomic.Int64 // sent

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

// Start binds the socket and begins to send heartbeats, until ctx ends or
// Close is called.
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
	s.wg.Go(func() { s.beat(ctx) })
	if s.settings.Hosts != nil {
		s.wg.Go(func() { s.followList(ctx) })
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

// SetPeerAddress sets the announced address for calls, once it is bound.
func (s *Service) SetPeerAddress(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gossip.self.Peer = address
}

// SetSeeds replaces the heartbeat addresses of some hosts that this one
// introduces itself to.
func (s *Service) SetSeeds(seeds []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gossip.seeds = slices.Clone(seeds)
}

// Block drops all traffic from and to the hosts for which f returns true, as
// a network partition does. It is for tests; nil ends it.
func (s *Service) Block(f func(quetzalhook.HostID) bool) {
	if f == nil {
		f = func(quetzalhook.HostID) bool { return false }
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gossip.blocked = f
}

// Members returns the other hosts that are alive or not heard from, by name.
// A host is missing from it after a planned stop, or when it has been silent
// for 30 s and the platform does not list it. The result is up to 250 ms old
// and must not be changed.
func (s *Service) Members() []quetzalhook.Member {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.members == nil || now.Sub(s.taken) >= beatInterval {
		s.members, s.taken = s.gossip.members(now), now
	}
	return s.members
}

// IsSameList reports whether b is the very list of Members that a was; a new one
// is made every 250 ms. Empty lists are not.
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

// Owns reports whether the hosts of the own cell use an upstream: each upstream
// belongs to one cell, and all to the cell of a fleet that has only one.
func (s *Service) Owns(id quetzalhook.UpstreamID, zone quetzalhook.Zone) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gossip.arrange()
	return s.gossip.cells.ofUpstream(id, zone) == s.gossip.cell
}

// Health is what the silence of a host says about it.
type Health string

const (
	// Alive is a host heard within the last second.
	Alive Health = "alive"
	// Suspect is a host that has missed four heartbeats.
	Suspect Health = "suspect"
	// Gone is a host that has been silent for 3 s.
	Gone Health = "gone"
)

// HealthOf judges a member of the own cell. Hosts of other cells are heard of
// through summaries, which are up to 30 s old in a large fleet.
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

// beat sends heartbeats.
func (s *Service) beat(ctx context.Context) {
	ticker := time.NewTicker(beatInterval)
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

// send sends datagrams. The socket engine delivers datagrams before Start has
// the socket; answers to those are dropped, since heartbeats are repeated.
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

// receive takes one datagram from the socket.
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

// followList looks at the platform's list of hosts.
func (s *Service) followList(ctx context.Context) {
	for again := false; ; again = true {
		callCtx, cancel := context.WithTimeout(ctx, listTimeout)
		list, err := s.settings.Hosts.Hosts(callCtx)
		cancel()
		if err == nil {
			s.mu.Lock()
			s.gossip.observeList(s.clock.Now(), list)
			s.mu.Unlock()
		} else {
			s.log.WithError(err).Debug("list of hosts not read")
		}
		wait := listAgain
		if again {
			wait = listWait(len(s.Members()) + 1)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

// listWait returns the time between two reads of the list in a fleet of hosts.
func listWait(hosts int) time.Duration {
	return max(time.Duration(hosts)*listPerHost, listMin)
}

// Leave tells the other hosts that this host stops now, as planned, so that
// they do not count it as missing. Close follows.
func (s *Service) Leave() {
	s.mu.Lock()
	out, err := s.gossip.farewell(s.clock.Now())
	s.mu.Unlock()
	if err != nil {
		s.log.WithError(err).Error("planned stop not announced")
		return
	}
	// Twice, because one datagram may be lost; the second is a replay if not.
	s.send(slices.Concat(out, out))
}

// Close stops and waits. Without Leave, others count the host as missing.
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

// handler receives the events of the socket engine.
type handler struct {
	gnet.BuiltinEventEngine
	service *Service
	engine  gnet.Engine
	booted  chan struct{}
	done    chan error
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

// duplicate returns the engine's socket as a connection to send on.
func (h *handler) duplicate() (net.PacketConn, error) {
	fd, err := h.engine.Dup()
	if err != nil {
		return nil, errors.Wrap(err, "duplicate socket")
	}
	file := os.NewFile(uintptr(fd), "heartbeat")
	defer func() { _ = file.Close() }() // FilePacketConn has its own duplicate
	conn, err := net.FilePacketConn(file)
	return conn, errors.Wrap(err, "use socket")
}

// stop ends the engine and waits for it.
func (h *handler) stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := h.engine.Stop(ctx); err != nil {
		return err
	}
	return <-h.done
}
