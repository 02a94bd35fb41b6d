package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
	"github.com/sirupsen/logrus"

	"quetzalhook"
)

const (
	// pingInterval is how long a connection may receive no answer before it is
	// pinged.
	pingInterval = time.Second
	// pingTimeout is how long to wait for the answer to a ping before the
	// connection is closed.
	pingTimeout = 2 * time.Second
	// handshakeTimeout limits the time to open a connection.
	handshakeTimeout = 2 * time.Second
	// unusedTimeout is how long a connection is kept without calls.
	unusedTimeout = time.Minute
	// idleTimeout is the QUIC idle timeout. It makes the accepting side close
	// silent connections; the other side pings live ones every second.
	idleTimeout = 10 * time.Second
	// defaultTimeout limits every call, also one whose context has no deadline.
	defaultTimeout = 10 * time.Second
	// maxStreams limits the concurrent calls of one host on a connection.
	maxStreams = 1000
)

// Directory lists the other hosts and their addresses.
type Directory interface {
	Members() []quetzalhook.Member
}

// Settings configures a Service.
type Settings struct {
	Host quetzalhook.HostID
	// Listen is the UDP address, host:port. With port 0, the system chooses the
	// port.
	Listen    string
	Secret    []byte
	Directory Directory
}

// Service makes and answers calls of one host over QUIC. It implements
// quetzalhook.Peers, with Members from its Directory.
type Service struct {
	settings Settings
	clock    quetzalhook.Clock
	log      logrus.FieldLogger
	identity identity

	ctx    context.Context // cancelled by Close or the end of Start's context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu          sync.Mutex
	handlers    map[string]quetzalhook.PeerHandler
	connections map[quetzalhook.HostID]*connection
	blocked     func(quetzalhook.HostID) bool
	closed      bool
	transport   *quic.Transport
	listener    *quic.Listener
}

// NewService returns a service that is not started. Handlers can be registered
// before Start.
func NewService(settings Settings, clock quetzalhook.Clock, log logrus.FieldLogger) (*Service, error) {
	id, err := newIdentity(settings.Host, settings.Secret)
	if err != nil {
		return nil, &Error{Op: "start", Host: settings.Host, Kind: ErrorProtocol, Err: err}
	}
	s := &Service{
		settings: settings, clock: clock, log: log.WithField("host", settings.Host), identity: id,
		handlers: make(map[string]quetzalhook.PeerHandler), connections: make(map[quetzalhook.HostID]*connection),
		blocked: func(quetzalhook.HostID) bool { return false },
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s, nil
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout: handshakeTimeout, MaxIdleTimeout: idleTimeout,
		MaxIncomingStreams: maxStreams, MaxIncomingUniStreams: -1,
	}
}

// Start binds the socket and accepts calls until ctx ends or Close is called.
func (s *Service) Start(ctx context.Context) error {
	transport, err := bind(s.settings.Listen)
	if err != nil {
		return &Error{Op: "start", Host: s.settings.Host, Kind: ErrorUnreachable, Err: err}
	}
	listener, err := transport.Listen(s.identity.config(""), quicConfig())
	if err != nil {
		closeTransport(transport)
		return &Error{Op: "start", Host: s.settings.Host, Kind: ErrorUnreachable, Err: err}
	}
	s.mu.Lock()
	s.transport, s.listener = transport, listener
	s.mu.Unlock()
	context.AfterFunc(ctx, s.cancel)
	s.spawn(s.accept)
	return nil
}

// bind returns a QUIC transport on a new socket bound to a UDP address.
func bind(address string) (*quic.Transport, error) {
	a, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, errors.Wrap(err, "resolve address")
	}
	conn, err := net.ListenUDP("udp", a)
	if err != nil {
		return nil, errors.Wrap(err, "bind")
	}
	return &quic.Transport{Conn: conn}, nil
}

// closeTransport closes a transport and its socket, which quic-go does not close.
func closeTransport(t *quic.Transport) {
	_ = t.Close()
	_ = t.Conn.Close()
}

// spawn runs f in the background unless the service is closed.
func (s *Service) spawn(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		s.wg.Go(f)
	}
}

// Address returns the bound address.
func (s *Service) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener == nil {
		return ""
	}
	return s.listener.Addr().String()
}

// Members returns the other hosts from the directory.
func (s *Service) Members() []quetzalhook.Member { return s.settings.Directory.Members() }

// Handle registers the handler for calls of a kind.
func (s *Service) Handle(kind string, h quetzalhook.PeerHandler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handlers[kind] = h
}

// Block drops all calls from and to the hosts for which f returns true, to
// simulate a network partition in tests: their callers wait until their
// deadline. A nil f ends the partition.
func (s *Service) Block(f func(quetzalhook.HostID) bool) {
	if f == nil {
		f = func(quetzalhook.HostID) bool { return false }
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.blocked = f
}

func (s *Service) isBlocked(host quetzalhook.HostID) bool {
	s.mu.Lock()
	f := s.blocked
	s.mu.Unlock()
	return f(host)
}

// accept accepts and serves connections of other hosts.
func (s *Service) accept() {
	for {
		conn, err := s.listener.Accept(s.ctx)
		if err != nil {
			return // the listener or the service is closed
		}
		s.spawn(func() { s.serveConn(conn) })
	}
}

// serveConn answers the calls on one connection.
func (s *Service) serveConn(conn *quic.Conn) {
	from, err := s.identity.verify(conn.ConnectionState().TLS)
	if err != nil {
		return
	}
	for {
		stream, err := conn.AcceptStream(s.ctx)
		if err != nil {
			break
		}
		s.spawn(func() { s.handleStream(conn, stream, from) })
	}
	_ = conn.CloseWithError(0, "closed")
}

// handleStream serves one call.
func (s *Service) handleStream(conn *quic.Conn, stream *quic.Stream, from quetzalhook.HostID) {
	defer stream.CancelRead(0)
	_ = stream.SetDeadline(time.Now().Add(defaultTimeout)) // real time, as quic-go uses
	var req request
	if err := readMessage(stream, &req); err != nil {
		stream.CancelWrite(0)
		return
	}
	timeout := req.Timeout
	if timeout <= 0 || timeout > defaultTimeout {
		timeout = defaultTimeout
	}
	ctx, cancel := context.WithTimeout(conn.Context(), timeout)
	defer cancel()
	stop := context.AfterFunc(s.ctx, cancel)
	defer stop()
	if s.isBlocked(from) {
		<-ctx.Done()
		stream.CancelWrite(0)
		return
	}
	reply := s.callHandler(ctx, from, req)
	_ = stream.SetDeadline(time.Now().Add(defaultTimeout))
	if err := writeMessage(stream, reply); err != nil {
		s.log.WithError(err).WithFields(logrus.Fields{"peer": from, "kind": req.Kind}).Debug("answer not sent")
		stream.CancelWrite(0)
	}
}

func (s *Service) callHandler(ctx context.Context, from quetzalhook.HostID, req request) answer {
	if req.Kind == pingKind {
		return answer{Body: req.Body}
	}
	s.mu.Lock()
	h := s.handlers[req.Kind]
	s.mu.Unlock()
	if h == nil {
		return answer{Kind: ErrorNoHandler, Message: "no handler of kind " + req.Kind}
	}
	body, err := h(ctx, from, req.Body)
	if err != nil {
		return answer{Kind: ErrorHandler, Message: err.Error()}
	}
	return answer{Body: body}
}

// Close ends all calls and connections and waits for their goroutines to return.
func (s *Service) Close() error {
	s.mu.Lock()
	s.closed = true
	transport := s.transport
	s.mu.Unlock()
	s.cancel()
	if transport != nil {
		closeTransport(transport)
	}
	s.wg.Wait()
	return nil
}
