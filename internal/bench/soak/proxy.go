package soak

import (
	"errors"
	"net"
	"sync"
	"time"
)

// Mode is how a proxy treats what passes through it.
type Mode string

const (
	// ModePass passes everything on.
	ModePass Mode = "pass"
	// ModeDelay passes everything on after a delay.
	ModeDelay Mode = "delay"
	// ModeReset resets the open connections once, and passes new ones on.
	ModeReset Mode = "reset"
	// ModeForget keeps the open connections silent for good, and passes new ones
	// on.
	ModeForget Mode = "forget"
	// ModeCutTo holds back what goes to the target.
	ModeCutTo Mode = "cut-to"
	// ModeCutFrom holds back what comes from the target.
	ModeCutFrom Mode = "cut-from"
	// ModeCut holds back both.
	ModeCut Mode = "cut"
)

// proxyDelay is what ModeDelay adds to each piece of data.
const proxyDelay = 120 * time.Millisecond

// Proxy passes connections on to a target and disturbs them.
type Proxy struct {
	target   string
	listener net.Listener
	wg       sync.WaitGroup

	mu      sync.Mutex
	mode    Mode
	changed chan struct{} // closed when mode changes
	conns   map[*pair]struct{}
	closed  bool
}

// pair is a connection with its continuation.
type pair struct {
	in, out net.Conn
	silent  bool // for good
}

// NewProxy listens on address for connections to target.
func NewProxy(address, target string) (*Proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &Error{Op: "proxy", Kind: ErrorSetup, Err: err}
	}
	p := &Proxy{target: target, listener: l, mode: ModePass, changed: make(chan struct{}), conns: make(map[*pair]struct{})}
	p.wg.Go(p.accept)
	return p, nil
}

// Address returns the address to connect to.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

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
	case ModeForget:
		for c := range p.conns {
			c.silent = true
		}
		m = ModePass
	}
	p.mode = m
	close(p.changed)
	p.changed = make(chan struct{})
}

// Close ends all connections and waits.
func (p *Proxy) Close() error {
	err := p.listener.Close()
	p.mu.Lock()
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

func (c *pair) reset() {
	for _, side := range []net.Conn{c.in, c.out} {
		if t, ok := side.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // makes Close reset the connection
		}
		_ = side.Close()
	}
}

func (p *Proxy) accept() {
	for {
		in, err := p.listener.Accept()
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
		(&pair{in: in, out: in}).reset()
		return
	}
	c := &pair{in: in, out: out}
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		c.reset()
		return
	}
	p.conns[c] = struct{}{}
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

// copy passes data on in one direction until an end; cut is the mode that holds
// it back.
func (p *Proxy) copy(c *pair, to, from net.Conn, cut Mode) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if !p.mayPass(c, cut) {
				return
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				c.reset()
				return
			}
		}
		if err != nil {
			if !p.mayPass(c, cut) {
				return
			}
			if t, ok := to.(*net.TCPConn); ok && !isReset(err) {
				_ = t.CloseWrite() // fails on a connection that is closed already
				return
			}
			c.reset()
			return
		}
	}
}

// isReset reports whether the end of a connection was no regular one.
func isReset(err error) bool {
	var e *net.OpError
	return errors.As(err, &e)
}

// mayPass waits while the mode holds data back, and reports false if the proxy
// closed meanwhile.
func (p *Proxy) mayPass(c *pair, cut Mode) bool {
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
