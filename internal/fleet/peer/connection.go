package peer

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"

	"quetzalhook"
)

// connection is a QUIC connection to another host. Each has a socket of its
// own: if the network drops all packets of a connection, it would also drop those
// of a new connection from the same port.
type connection struct {
	host    quetzalhook.HostID
	address string
	ready   chan struct{} // closed when the handshake is done or failed
	conn    *quic.Conn
	err     error

	// Times as nanoseconds of the service's clock.
	lastAnswer atomic.Int64 // last answer to a call or ping
	lastUsed   atomic.Int64 // start of the last call
}

// Call sends a request to a host and returns the answer of its handler.
// ErrorUnreachable means that nothing was sent; after ErrorTimeout the handler
// may have run.
func (s *Service) Call(ctx context.Context, host quetzalhook.HostID, kind string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, defaultTimeout)
	defer cancel()
	if s.isBlocked(host) {
		<-ctx.Done()
		return nil, &Error{Op: kind, Host: host, Kind: ErrorTimeout, Err: ctx.Err()}
	}
	for attempt := 0; ; attempt++ {
		c, err := s.connection(ctx, host)
		if err != nil {
			return nil, &Error{Op: kind, Host: host, Kind: ErrorUnreachable, Err: err}
		}
		stream, err := c.conn.OpenStreamSync(ctx)
		if err != nil {
			// Nothing was sent. The other side may have closed the connection while
			// it was not used; try once more with a new one.
			s.disconnect(c, "no stream")
			if attempt == 0 && ctx.Err() == nil {
				continue
			}
			return nil, &Error{Op: kind, Host: host, Kind: ErrorUnreachable, Err: err}
		}
		c.lastUsed.Store(s.clock.Now().UnixNano())
		return s.exchange(ctx, c, stream, request{Kind: kind, Body: body})
	}
}

// exchange sends one request on a new stream and reads the answer.
func (s *Service) exchange(ctx context.Context, c *connection, stream *quic.Stream, req request) ([]byte, error) {
	stop := context.AfterFunc(ctx, func() {
		stream.CancelRead(0)
		stream.CancelWrite(0)
	})
	defer stop()
	if deadline, ok := ctx.Deadline(); ok {
		req.Timeout = time.Until(deadline)
	}
	var reply answer
	err := writeMessage(stream, req)
	if err == nil {
		err = readMessage(stream, &reply)
	}
	if err != nil {
		if ctx.Err() != nil {
			err = errors.Wrap(ctx.Err(), err.Error())
		}
		stream.CancelRead(0)
		stream.CancelWrite(0)
		return nil, &Error{Op: req.Kind, Host: c.host, Kind: ErrorTimeout, Err: err}
	}
	c.lastAnswer.Store(s.clock.Now().UnixNano())
	if reply.Kind != "" {
		return nil, &Error{Op: req.Kind, Host: c.host, Kind: reply.Kind, Err: errors.New(reply.Message)}
	}
	return reply.Body, nil
}

// connection returns an open connection to a host, and opens one if necessary.
func (s *Service) connection(ctx context.Context, host quetzalhook.HostID) (*connection, error) {
	address := s.addressOf(host)
	if address == "" {
		return nil, errors.New("address of the host is not known")
	}
	s.mu.Lock()
	c := s.connections[host]
	if s.closed {
		s.mu.Unlock()
		return nil, errors.New("closed")
	}
	if c != nil && c.address != address {
		old := c
		s.wg.Go(func() { s.disconnect(old, "the host has another address") })
		c = nil
	}
	if c == nil {
		c = &connection{host: host, address: address, ready: make(chan struct{})}
		s.connections[host] = c
		s.wg.Go(func() { s.maintain(c) })
	}
	s.mu.Unlock()
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-c.ready:
		return c, c.err
	}
}

func (s *Service) addressOf(host quetzalhook.HostID) string {
	for _, m := range s.settings.Directory.Members() {
		if m.Host == host {
			return m.PeerAddress
		}
	}
	return ""
}

// disconnect closes a connection; the next call opens a new one.
func (s *Service) disconnect(c *connection, reason string) {
	s.mu.Lock()
	if s.connections[c.host] == c {
		delete(s.connections, c.host)
	}
	s.mu.Unlock()
	<-c.ready
	if c.conn != nil {
		_ = c.conn.CloseWithError(0, reason)
	}
}

// maintain opens a connection, pings it while it receives no answers and closes
// it when a ping is not answered or no call has used it for unusedTimeout.
func (s *Service) maintain(c *connection) {
	transport, err := s.dial(c)
	if err != nil {
		s.log.WithError(err).WithField("peer", c.host).Debug("connection not opened")
		s.disconnect(c, "not opened")
		return
	}
	defer closeTransport(transport)
	reason := s.monitor(c)
	if s.ctx.Err() == nil {
		s.log.WithField("peer", c.host).WithField("reason", reason).Info("connection closed")
	}
	s.disconnect(c, reason)
}

// dial opens the connection, sets its error if that fails, and marks it as
// ready.
func (s *Service) dial(c *connection) (*quic.Transport, error) {
	defer close(c.ready)
	ctx, cancel := context.WithTimeout(s.ctx, handshakeTimeout)
	defer cancel()
	to, err := net.ResolveUDPAddr("udp", c.address)
	if err != nil {
		c.err = errors.Wrap(err, "resolve address")
		return nil, c.err
	}
	transport, err := bind(":0")
	if err != nil {
		c.err = err
		return nil, err
	}
	c.conn, c.err = transport.Dial(ctx, to, s.identity.config(c.host), quicConfig())
	if c.err != nil {
		closeTransport(transport)
		return nil, c.err
	}
	now := s.clock.Now().UnixNano()
	c.lastAnswer.Store(now)
	c.lastUsed.Store(now)
	return transport, nil
}

// monitor pings the connection while it receives no answers. When the connection
// has been closed or must be closed, it returns the reason.
func (s *Service) monitor(c *connection) string {
	timer := time.NewTimer(pingInterval)
	defer timer.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return "closed"
		case <-c.conn.Context().Done():
			return "closed by the other side"
		case <-timer.C:
		}
		now := s.clock.Now().UnixNano()
		if time.Duration(now-c.lastUsed.Load()) > unusedTimeout {
			return "not used"
		}
		silence := time.Duration(now - c.lastAnswer.Load())
		if silence >= pingInterval {
			if err := s.ping(c); err != nil {
				return "no answer to a ping"
			}
			silence = 0
		}
		// The next check is due one pingInterval after the last answer. A ticker
		// would delay the detection of a silent connection by up to a second.
		timer.Reset(pingInterval - silence)
	}
}

func (s *Service) ping(c *connection) error {
	ctx, cancel := context.WithTimeout(s.ctx, pingTimeout)
	defer cancel()
	stream, err := c.conn.OpenStreamSync(ctx)
	if err != nil {
		return err
	}
	_, err = s.exchange(ctx, c, stream, request{Kind: pingKind})
	return err
}
