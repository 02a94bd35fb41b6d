// Package connection sends requests to upstreams over its own pool of HTTP/1.1
// connections.
//
// It is used instead of http.Transport because the outcome of a request that may
// run only once must be known exactly. The package never retries a request, and its
// errors tell whether any byte of the request may have been sent. It recognizes
// responses to earlier requests that arrive on a reused connection, and accepts a
// response before the upstream has read a long body. It uses net/http to write
// headers and to parse responses, which package response has validated.
package connection

import (
	"cmp"
	"crypto/tls"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds the opening of a connection. It allows for two round trips
	// of 24 ms between regions and delays on a busy host. It is shorter than the
	// time after which TCP resends a lost SYN packet, at least 1 s, because another
	// upstream is then the better choice.
	dialTimeout = 400 * time.Millisecond
	// handshakeTimeout bounds the TLS handshake with a host.
	handshakeTimeout = time.Second
	// keepAliveIdle, keepAliveInterval and keepAliveCount close a connection about
	// 3 s after the last packet from the peer.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// userTimeout bounds how long sent data may remain unacknowledged.
	userTimeout = 2500 * time.Millisecond
)

// NewDialer returns a dialer whose connections detect an unresponsive peer by TCP
// keep-alive probes and TCP_USER_TIMEOUT.
func NewDialer() *net.Dialer {
	return &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, c syscall.RawConn) error {
			var err error
			controlErr := c.Control(func(fd uintptr) {
				err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
			})
			if controlErr != nil {
				return controlErr
			}
			return err
		},
	}
}

// isIdle reports whether an unused connection can be reused: it is open and no data
// has arrived on it.
func isIdle(c net.Conn) bool {
	_, err := peek(c)
	return err == unix.EAGAIN || err == unix.EWOULDBLOCK
}

// HasInput reports whether data has arrived on a connection that nobody has read.
// Another goroutine may be reading from the connection.
func HasInput(c net.Conn) bool {
	n, err := peek(c)
	return err == nil && n > 0
}

// peek returns the number of bytes, at most 1, that a read would return now. It
// returns EAGAIN if the read would block, or if the connection cannot tell.
func peek(c net.Conn) (int, error) {
	if t, isTLS := c.(*tls.Conn); isTLS {
		c = t.NetConn()
	}
	sc, ok := c.(syscall.Conn)
	if !ok {
		return 0, unix.EAGAIN
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, err
	}
	var buffer [1]byte
	n, peekErr := 0, error(nil)
	err = raw.Control(func(fd uintptr) {
		n, _, peekErr = unix.Recvfrom(int(fd), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return n, cmp.Or(err, peekErr)
}
