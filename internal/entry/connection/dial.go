// Package connection sends requests to upstreams over HTTP/1.1 connections
// that it pools itself.
//
// It exists beside http.Transport because the outcome of a request that may
// run only once must be known exactly. It never sends a request again, it
// tells whether any byte may have left, it recognises answers to earlier
// requests that arrive on a reused connection, and it lets an upstream answer
// before it has read a long body. Requests are written with, and answers are
// parsed by, net/http.
package connection

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds the opening of a connection: two round trips of 24 ms
	// between regions, with room for a busy host. A lost opening packet is sent
	// again only after a second or more, when another upstream is the better
	// choice.
	dialTimeout = 400 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount close a connection
	// that went silent about three seconds after its last sign of life.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// userTimeout bounds how long sent data may stay without acknowledgement.
	userTimeout = 2500 * time.Millisecond
)

// Dialer returns a dialer whose connections notice that the other side is
// silent.
func Dialer() *net.Dialer {
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

// isIdle reports whether nothing has arrived on an unused connection. An end
// or unexpected bytes make it unusable.
func isIdle(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	var buffer [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		idle = err == unix.EAGAIN || err == unix.EWOULDBLOCK
		return true
	})
	return err == nil && idle
}
