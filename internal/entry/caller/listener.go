// Package caller holds the listener for callers and their connections. It closes both
// without cutting off a request. http.Server.Shutdown drops a request that is read
// after its start without an answer.
package caller

import (
	"cmp"
	"context"
	"errors"
	"math"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// maxQueueDrain bounds the time in which a closing listener accepts connections, in
// case the kernel lets more of them in.
const maxQueueDrain = 500 * time.Millisecond

// dropOpening is a socket filter that drops the packets which open a connection. The
// caller's kernel repeats them, and is refused once the listener is closed.
var dropOpening = []unix.SockFilter{
	{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: 13},         // flags in the TCP header
	{Code: unix.BPF_JMP | unix.BPF_JSET | unix.BPF_K, K: 2, Jf: 1}, // SYN
	{Code: unix.BPF_RET | unix.BPF_K, K: 0},
	{Code: unix.BPF_RET | unix.BPF_K, K: math.MaxUint32},
}

// Listener is a TCP listener that can be closed without resetting the
// connections that the kernel has accepted but the process has not: callers may
// have sent requests on them already.
type Listener struct {
	*net.TCPListener
	drainEnd atomic.Pointer[time.Time] // nil until Drain is called
	once     sync.Once
	closed   chan struct{} // closed together with the listener
}

// Listen opens a Listener. It does not offer MPTCP, whose sockets take no filter.
func Listen(ctx context.Context, address string) (*Listener, error) {
	var cfg net.ListenConfig
	cfg.SetMultipathTCP(false)
	l, err := cfg.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &Listener{TCPListener: l.(*net.TCPListener), closed: make(chan struct{})}, nil
}

// Accept implements net.Listener. While the listener is draining, it returns the
// remaining connections, and then closes the listener and returns net.ErrClosed.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	end := l.drainEnd.Load()
	if end == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
		return c, err
	}
	if time.Now().Before(*end) {
		if c, err = l.acceptQueued(); c != nil {
			return c, nil
		}
	}
	return nil, errors.Join(net.ErrClosed, err, l.Close())
}

// acceptQueued returns a connection from the kernel's queue, or nil if the queue is
// empty. A deadline does not tell: it may pass before the queue is looked at.
func (l *Listener) acceptQueued() (net.Conn, error) {
	raw, err := l.SyscallConn()
	if err != nil {
		return nil, err
	}
	fd, acceptErr := -1, error(nil)
	err = raw.Control(func(listener uintptr) {
		fd, _, acceptErr = unix.Accept4(int(listener), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
	})
	if err != nil || acceptErr == unix.EAGAIN {
		return nil, err
	}
	if acceptErr != nil {
		return nil, acceptErr
	}
	file := os.NewFile(uintptr(fd), "connection")
	defer func() { _ = file.Close() }() // FileConn uses a duplicate of its own
	return net.FileConn(file)
}

// Close implements net.Listener. Only the first call has an effect.
func (l *Listener) Close() error {
	var err error
	l.once.Do(func() {
		err = l.TCPListener.Close()
		close(l.closed)
	})
	return err
}

// Drain lets no further connection into the queue, makes Accept return the remaining
// ones and close the listener, and waits until it has done so or done is closed. An
// error tells that the kernel still let connections in, of which some may be reset.
func (l *Listener) Drain(done <-chan struct{}) error {
	filterErr := l.dropOpening()
	end := time.Now().Add(maxQueueDrain)
	l.drainEnd.Store(&end)
	_ = l.SetDeadline(time.Now()) // wakes a waiting Accept; a closed listener needs none
	select {
	case <-l.closed:
	case <-done:
	}
	return filterErr
}

func (l *Listener) dropOpening() error {
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	program := unix.SockFprog{Len: uint16(len(dropOpening)), Filter: &dropOpening[0]}
	var filterErr error
	err = raw.Control(func(fd uintptr) {
		filterErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program)
	})
	return cmp.Or(err, filterErr)
}
