package soak

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// Mode says how a proxy treats connections and their data.
type Mode string

const (
	// ModePass forwards all data.
	ModePass Mode = "pass"
	// ModeDelay forwards all data after proxyDelay.
	ModeDelay Mode = "delay"
	// ModeReset resets the open connections once, and forwards new ones.
	ModeReset Mode = "reset"
	// ModeBlackhole stops forwarding on the open connections for good without
	// closing them, as a firewall that has lost their state, and forwards new ones.
	ModeBlackhole Mode = "forget"
	// ModeCutTo holds back data on the way to the target.
	ModeCutTo Mode = "cut-to"
	// ModeCutFrom holds back data from the target.
	ModeCutFrom Mode = "cut-from"
	// ModeCut holds back data in both directions.
	ModeCut Mode = "cut"
)

// proxyDelay is the delay of each read under ModeDelay.
const proxyDelay = 120 * time.Millisecond

// Proxy forwards TCP connections to a target and injects network faults.
type Proxy struct {
	target  string
	address string
	wg      sync.WaitGroup

	mu        sync.Mutex
	listener  net.Listener
	mode      Mode
	changed   chan struct{} // closed when mode changes
	conns     map[*proxiedConn]struct{}
	partition Partition // empty for none
	closed    bool
}

// proxiedConn is an accepted connection with the one to the target.
type proxiedConn struct {
	in, out net.Conn
	silent  bool // no data is forwarded any more
}

// NewProxy returns a proxy that listens on address and forwards connections to
// target.
func NewProxy(address, target string) (*Proxy, error) {
	l, err := listen(address)
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, address: l.Addr().String(), listener: l, mode: ModePass, changed: make(chan struct{}), conns: make(map[*proxiedConn]struct{})}
	p.wg.Go(func() { p.accept(l) })
	return p, nil
}

// listen listens on address, without MPTCP, whose sockets take no filters.
func listen(address string) (net.Listener, error) {
	var cfg net.ListenConfig
	cfg.SetMultipathTCP(false)
	l, err := cfg.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, &Error{Op: "proxy", Kind: ErrorSetup, Err: err}
	}
	return l, nil
}

// Address returns the address to connect to.
func (p *Proxy) Address() string { return p.address }

// Set changes the mode.
func (p *Proxy) Set(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch m {
	case ModeReset:
		for c := range p.conns {
			c.reset()
		}
		m = ModePass
	case ModeBlackhole:
		for c := range p.conns {
			c.silent = true
		}
		m = ModePass
	}
	p.setMode(m)
}

// setMode changes the mode. The caller must hold p.mu.
func (p *Proxy) setMode(m Mode) {
	p.mode = m
	close(p.changed)
	p.changed = make(chan struct{})
}

// Close resets all connections and waits until their goroutines have ended.
func (p *Proxy) Close() error {
	p.mu.Lock()
	err := p.listener.Close()
	p.closed = true
	close(p.changed)
	p.changed = make(chan struct{})
	for c := range p.conns {
		c.reset()
	}
	p.mu.Unlock()
	p.wg.Wait()
	return err
}

func (c *proxiedConn) reset() {
	for _, side := range []net.Conn{c.in, c.out} {
		if t, ok := side.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // makes Close reset the connection
		}
		_ = side.Close()
	}
}

func (p *Proxy) accept(l net.Listener) {
	for {
		in, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		p.wg.Go(func() { p.serve(in) })
	}
}

func (p *Proxy) serve(in net.Conn) {
	out, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		(&proxiedConn{in: in, out: in}).reset()
		return
	}
	c := &proxiedConn{in: in, out: out}
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		c.reset()
		return
	}
	p.conns[c] = struct{}{}
	p.joinPartition(c)
	p.mu.Unlock()
	var copies sync.WaitGroup
	copies.Go(func() { p.copy(c, c.out, c.in, ModeCutTo) })
	copies.Go(func() { p.copy(c, c.in, c.out, ModeCutFrom) })
	copies.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
	_ = in.Close()
	_ = out.Close()
}

// copy forwards data in one direction until the connection ends; cut is the mode
// that holds this direction back.
func (p *Proxy) copy(c *proxiedConn, to, from net.Conn, cut Mode) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if !p.awaitPass(c, cut) {
				return
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				c.reset()
				return
			}
		}
		if err != nil {
			if !p.awaitPass(c, cut) {
				return
			}
			if t, ok := to.(*net.TCPConn); ok && !isNetworkError(err) {
				_ = t.CloseWrite() // fails if the connection is closed already
				return
			}
			c.reset()
			return
		}
	}
}

// isNetworkError reports whether err is a network error, and not the normal end
// of a connection.
func isNetworkError(err error) bool {
	var e *net.OpError
	return errors.As(err, &e)
}

// awaitPass waits while the mode holds data back, and returns false if the proxy
// is closed.
func (p *Proxy) awaitPass(c *proxiedConn, cut Mode) bool {
	for {
		p.mu.Lock()
		mode, changed, closed, silent := p.mode, p.changed, p.closed, c.silent
		p.mu.Unlock()
		switch {
		case closed:
			return false
		case silent || mode == cut || mode == ModeCut:
			<-changed
		case mode == ModeDelay:
			time.Sleep(proxyDelay)
			return true
		default:
			return true
		}
	}
}
