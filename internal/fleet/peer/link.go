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

// link is a connection to another host. It has a socket of its own: a new
// connection on the old socket would be dropped by whatever made the old one
// silent.
type link struct {
	host    quetzalhook.HostID
	address string
	ready   chan struct{} // closed when the handshake is done or failed
	conn    *quic.Conn
	err     error

	// Times as nanoseconds of the service's clock.
	answered atomic.Int64 // last answer
	used     atomic.Int64 // last call
}

// Call sends body to a host and waits for its answer. ErrorUnreachable means
// that nothing was sent; after ErrorTimeout the call may have run.
func (s *Service) Call(ctx context.Context, host quetzalhook.HostID, kind string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, defaultTimeout)
	defer cancel()
	if s.isBlocked(host) {
		<-ctx.Done()
		return nil, &Error{Op: kind, Host: host, Kind: ErrorTimeout, Err: ctx.Err()}
	}
	for attempt := 0; ; attempt++ {
		l, err := s.link(ctx, host)
		if err != nil {
			return nil, &Error{Op: kind, Host: host, Kind: ErrorUnreachable, Err: err}
		}
		stream, err := l.conn.OpenStreamSync(ctx)
		if err != nil {
			// Nothing was sent. The connection may have been closed by the other
			// side while it was not used, which a new one cures.
			s.drop(l, "no stream")
			if attempt == 0 && ctx.Err() == nil {
				continue
			}
			return nil, &Error{Op: kind, Host: host, Kind: ErrorUnreachable, Err: err}
		}
		l.used.Store(s.clock.Now().UnixNano())
		return s.exchange(ctx, l, stream, request{Kind: kind, Body: body})
	}
}

// exchange sends one request on a new stream and reads the answer.
func (s *Service) exchange(ctx context.Context, l *link, stream *quic.Stream, req request) ([]byte, error) {
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
		return nil, &Error{Op: req.Kind, Host: l.host, Kind: ErrorTimeout, Err: err}
	}
	l.answered.Store(s.clock.Now().UnixNano())
	if reply.Kind != "" {
		return nil, &Error{Op: req.Kind, Host: l.host, Kind: reply.Kind, Err: errors.New(reply.Message)}
	}
	return reply.Body, nil
}

// link returns an open connection to a host.
func (s *Service) link(ctx context.Context, host quetzalhook.HostID) (*link, error) {
	address := s.addressOf(host)
	if address == "" {
		return nil, errors.New("its address is not known")
	}
	s.mu.Lock()
	l := s.links[host]
	if s.closed {
		s.mu.Unlock()
		return nil, errors.New("closed")
	}
	if l != nil && l.address != address {
		old := l
		s.wg.Go(func() { s.drop(old, "the host has another address") })
		l = nil
	}
	if l == nil {
		l = &link{host: host, address: address, ready: make(chan struct{})}
		s.links[host] = l
		s.wg.Go(func() { s.maintain(l) })
	}
	s.mu.Unlock()
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-l.ready:
		return l, l.err
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

// drop closes a link; the next call opens a new one.
func (s *Service) drop(l *link, reason string) {
	s.mu.Lock()
	if s.links[l.host] == l {
		delete(s.links, l.host)
	}
	s.mu.Unlock()
	<-l.ready
	if l.conn != nil {
		_ = l.conn.CloseWithError(0, reason)
	}
}

// maintain opens a link, pings it while it shows no sign of life and closes
// it when a ping stays without an answer or no call uses it any more.
func (s *Service) maintain(l *link) {
	transport, err := s.open(l)
	if err != nil {
		s.log.WithError(err).WithField("peer", l.host).Debug("connection not opened")
		s.drop(l, "not opened")
		return
	}
	defer closeTransport(transport)
	reason := s.watch(l)
	if s.ctx.Err() == nil {
		s.log.WithField("peer", l.host).WithField("reason", reason).Info("connection closed")
	}
	s.drop(l, reason)
}

// open makes the connection of a link and marks the link as ready.
func (s *Service) open(l *link) (*quic.Transport, error) {
	defer close(l.ready)
	ctx, cancel := context.WithTimeout(s.ctx, handshakeTimeout)
	defer cancel()
	to, err := net.ResolveUDPAddr("udp", l.address)
	if err != nil {
		l.err = errors.Wrap(err, "resolve address")
		return nil, l.err
	}
	transport, err := bind(":0")
	if err != nil {
		l.err = err
		return nil, err
	}
	l.conn, l.err = transport.Dial(ctx, to, s.identity.config(l.host), quicConfig())
	if l.err != nil {
		closeTransport(transport)
		return nil, l.err
	}
	now := s.clock.Now().UnixNano()
	l.answered.Store(now)
	l.used.Store(now)
	return transport, nil
}

// watch returns the reason to close the link when there is one.
func (s *Service) watch(l *link) string {
	timer := time.NewTimer(pingInterval)
	defer timer.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return "closed"
		case <-l.conn.Context().Done():
			return "closed by the other side"
		case <-timer.C:
		}
		now := s.clock.Now().UnixNano()
		if time.Duration(now-l.used.Load()) > unusedTimeout {
			return "not used"
		}
		quiet := time.Duration(now - l.answered.Load())
		if quiet >= pingInterval {
			if err := s.ping(l); err != nil {
				return "no answer to a ping"
			}
			quiet = 0
		}
		// Not a fixed tick: that would add up to a second to the detection.
		timer.Reset(pingInterval - quiet)
	}
}

func (s *Service) ping(l *link) error {
	ctx, cancel := context.WithTimeout(s.ctx, pingTimeout)
	defer cancel()
	stream, err := l.conn.OpenStreamSync(ctx)
	if err != nil {
		return err
	}
	_, err = s.exchange(ctx, l, stream, request{Kind: pingKind})
	return err
}
