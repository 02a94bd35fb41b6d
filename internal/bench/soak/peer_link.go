package soak

import (
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"
)

const (
	// maxLinkWait is the longest time that a datagram waits for a link. Further ones are lost.
	maxLinkWait = 250 * time.Millisecond
	// datagramOverhead is the size of the headers of UDP and IP.
	datagramOverhead = 28
	maxDatagramSize  = 2 << 10
	// linkQueue bounds the number of datagrams that wait.
	linkQueue = 4096
	// linkBuffer is the size of a socket's receive buffer. A socket must not lose what comes
	// at once.
	linkBuffer = 1 << 20
)

// Link forwards the datagrams between a host and its clients at a limited rate in each
// direction.
type Link struct {
	target         netip.AddrPort
	conn           *net.UDPConn
	toHost, toPeer *pacer
	wg             sync.WaitGroup

	mu      sync.Mutex
	clients map[netip.AddrPort]*net.UDPConn // sockets that face the host, by client
	closed  bool
}

// NewLink returns a link that receives on address and forwards datagrams to target.
func NewLink(address, target string, mbps float64) (*Link, error) {
	to, err := netip.ParseAddrPort(target)
	if err != nil {
		return nil, &Error{Op: "link", Kind: ErrorSetup, Err: err}
	}
	on, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, &Error{Op: "link", Kind: ErrorSetup, Err: err}
	}
	conn, err := net.ListenUDP("udp4", on)
	if err != nil {
		return nil, &Error{Op: "link", Kind: ErrorSetup, Err: err}
	}
	_ = conn.SetReadBuffer(linkBuffer) // the system may set less
	l := &Link{target: to, conn: conn, toHost: newPacer(mbps), toPeer: newPacer(mbps), clients: make(map[netip.AddrPort]*net.UDPConn)}
	l.wg.Go(l.toHost.run)
	l.wg.Go(l.toPeer.run)
	l.wg.Go(l.receive)
	return l, nil
}

// Address returns the address for clients.
func (l *Link) Address() string { return l.conn.LocalAddr().String() }

// Close closes all sockets and waits until the goroutines of the link have ended.
func (l *Link) Close() error {
	l.mu.Lock()
	l.closed = true
	err := l.conn.Close()
	for _, c := range l.clients {
		_ = c.Close()
	}
	l.mu.Unlock()
	l.toHost.stop()
	l.toPeer.stop()
	l.wg.Wait()
	return err
}

// receive forwards the datagrams of clients to the host.
func (l *Link) receive() {
	buffer := make([]byte, maxDatagramSize)
	for {
		n, from, err := l.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		if c := l.client(from); c != nil {
			l.toHost.send(buffer[:n], func(data []byte) { _, _ = c.Write(data) }) // the host may be down
		}
	}
}

// client returns the socket for the datagrams of a client, or nil if there is none.
func (l *Link) client(from netip.AddrPort) *net.UDPConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.clients[from]
	if c != nil || l.closed {
		return c
	}
	c, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(l.target))
	if err != nil {
		return nil
	}
	_ = c.SetReadBuffer(linkBuffer)
	l.clients[from] = c
	l.wg.Go(func() { l.answer(c, from) })
	return c
}

// answer forwards the datagrams of the host to a client.
func (l *Link) answer(c *net.UDPConn, to netip.AddrPort) {
	buffer := make([]byte, maxDatagramSize)
	for {
		n, err := c.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // the host refuses datagrams while it is down
		}
		l.toPeer.send(buffer[:n], func(data []byte) { _, _ = l.conn.WriteToUDPAddrPort(data, to) })
	}
}

// pacer sends datagrams one after another at a limited rate.
type pacer struct {
	perByte time.Duration
	queue   chan pacedDatagram
	done    chan struct{}

	mu   sync.Mutex
	free time.Time // when all waiting datagrams are sent
}

type pacedDatagram struct {
	data []byte
	at   time.Time
	send func([]byte)
}

func newPacer(mbps float64) *pacer {
	return &pacer{perByte: time.Duration(8e3 / mbps), queue: make(chan pacedDatagram, linkQueue), done: make(chan struct{})}
}

// send queues a copy of data, or drops it if the link is full.
func (p *pacer) send(data []byte, send func([]byte)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if p.free.Before(now) {
		p.free = now
	}
	if p.free.Sub(now) > maxLinkWait {
		return
	}
	at := p.free.Add(time.Duration(len(data)+datagramOverhead) * p.perByte)
	select {
	case p.queue <- pacedDatagram{data: append([]byte(nil), data...), at: at, send: send}:
		p.free = at
	default:
	}
}

// run sends the queued datagrams until stop is called.
func (p *pacer) run() {
	for {
		select {
		case <-p.done:
			return
		case d := <-p.queue:
			time.Sleep(time.Until(d.at))
			d.send(d.data)
		}
	}
}

func (p *pacer) stop() { close(p.done) }
