package caller

import (
	"bytes"
	"container/list"
	"errors"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"quetzalhook/internal/entry/budget"
)

const (
	// WriteTime is how long a caller may read nothing of what is sent to it. With 5 s,
	// callers were cut off that began to read while the engine's tokens still filled
	// the socket buffers, which takes seconds.
	WriteTime = 15 * time.Second
	// writePiece is the part of a write that must be taken in WriteTime.
	writePiece = 16 << 10
	// maxClosing is the part of the connections, as 1/maxClosing, that may be closing
	// in favour of new ones.
	maxClosing = 8
	// maxTries bounds the idle connections that are looked at for each new one. One in
	// whose buffer a request has just arrived is not closed.
	maxTries = 4

	// headFree is the memory of a header section that is part of ConnectionMemory. More
	// is reserved in steps of headStep.
	headFree = 8 << 10
	headStep = 16 << 10
	// headLineMemory and headByteFactor give the memory of a header section: as text,
	// parsed, and as copies for upstreams. A line becomes an entry of a map.
	headLineMemory = 400
	headByteFactor = 3
	// headSlop is what a read may take beyond the header section: the buffer of the
	// server. handshakeBytes are those of a TLS handshake.
	headSlop       = 4 << 10
	handshakeBytes = 16 << 10
)

// Reasons for which connections are closed, besides those of package budget.
const (
	reasonLimit     = "too-many"
	reasonRefused   = "not-accepted"
	reasonHeader    = "header-too-long"
	reasonSlowHead  = "header-too-slow"
	reasonUnread    = "unread"
	reasonNoRequest = "no-request"
)

// errAborted is returned by reads from a connection that is being closed. The server
// answers nothing to an error of a read.
var errAborted = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("closed by the host")}

var headEnd = []byte("\r\n\r\n")

// head counts the header section that a connection is sending.
type head struct {
	reading  atomic.Bool // what arrives is a header section
	bytes    int
	memory   int64
	reserved int64
	claim    *Holding // nil while headFree suffices
}

// restart begins the next header section, and returns the memory of the last one.
func (h *head) restart() {
	h.release()
	h.bytes, h.memory, h.reserved, h.claim = 0, 0, 0, nil
	h.reading.Store(true)
}

// release returns the memory.
func (h *head) release() {
	if h.claim != nil {
		h.claim.Close()
	}
}

// complete ends the header section. Its memory is held until restart.
func (h *head) complete() {
	h.reading.Store(false)
	if h.claim != nil {
		h.claim.complete()
	}
}

// listener accepts connections for a Conns.
type listener struct {
	net.Listener
	conns *Conns
}

// Listen returns a listener that bounds the number of connections and what is read from
// and written to each.
func (cs *Conns) Listen(l net.Listener) net.Listener { return &listener{Listener: l, conns: cs} }

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := l.conns.newConn(raw)
		if l.conns.admit() {
			return c, nil
		}
		l.conns.count(reasonRefused)
		_ = raw.Close()
	}
}

// admit reports whether another connection is accepted. When there are too many, it
// closes the one that has been without a request for the longest time: first one that
// has sent nothing, then one that is kept, then one whose header section is arriving.
func (cs *Conns) admit() bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if cs.max > 0 && cs.open-cs.closing >= cs.max {
		if cs.closing >= max(cs.max/maxClosing, 1) || !cs.evict() {
			return false
		}
	}
	cs.open++
	return true
}

// evict closes one connection without a request. cs.mu must be locked.
func (cs *Conns) evict() bool {
	tries := 0
	for _, waiting := range []struct {
		list  *list.List
		force bool
	}{{cs.fresh, false}, {cs.idle, false}, {cs.heading, true}} {
		for e := waiting.list.Front(); e != nil && tries < maxTries; e = e.Next() {
			tries++
			c := e.Value.(*Conn)
			if c.evicted || !c.tryEvict(waiting.force) {
				continue
			}
			c.evicted = true
			cs.closing++
			cs.enqueue(c, nil)
			cs.count(reasonLimit)
			return true
		}
		tries = 0
	}
	return false
}

// tryEvict closes the connection, unless a request is there and force is false.
func (c *Conn) tryEvict(force bool) bool {
	if force {
		c.abort()
		return true
	}
	if !c.mu.TryLock() {
		return false // its state is changing
	}
	defer c.mu.Unlock()
	return (c.state == http.StateIdle || c.state == http.StateNew) && c.expire()
}

// abort ends a connection whose request is not complete.
func (c *Conn) abort() {
	c.aborted.Store(true)
	_ = c.Conn.SetReadDeadline(time.Unix(0, 0)) // fails only if the connection is closed
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if c.aborted.Load() {
		return 0, errAborted
	}
	n, err := c.Conn.Read(p)
	if n > 0 && c.head.reading.Load() {
		if err := c.countHead(p[:n]); err != nil {
			return 0, err
		}
	}
	if err != nil && c.aborted.Load() {
		err = errAborted
	}
	return n, err
}

// countHead counts bytes of a header section. A short one that arrives at once, as most
// do, costs no lock.
func (c *Conn) countHead(p []byte) error {
	h := &c.head
	first := h.bytes == 0
	h.bytes += len(p)
	h.memory += int64(headByteFactor*len(p) + headLineMemory*bytes.Count(p, headEnd[1:2]))
	if first && h.memory <= headFree && bytes.Contains(p, headEnd) {
		return nil
	}
	limits := c.conns.currentLimits()
	if first {
		c.conns.mu.Lock()
		if c.list != nil {
			c.conns.enqueue(c, c.conns.heading)
		}
		c.conns.mu.Unlock()
	}
	counted := h.bytes - headSlop // the limit may be the largest number
	if c.tls != nil {
		counted -= handshakeBytes
	}
	if counted > limits.HeaderBytes {
		return c.refuse(http.StatusRequestHeaderFieldsTooLarge, reasonHeader)
	}
	if c.conns.memory == nil {
		return nil
	}
	for h.memory-headFree > h.reserved {
		if h.claim == nil {
			h.claim = c.conns.memory.Open("", 0)
			h.claim.arrive(c.abort)
		}
		h.claim.received(len(p))
		if err := h.claim.Reserve(nil, budget.Headers, headStep); err != nil {
			return c.refuse(http.StatusServiceUnavailable, string(budget.NoMemory))
		}
		h.reserved += headStep
	}
	return nil
}

// refuse answers a request whose header section is not read to its end, and makes the
// server close the connection.
func (c *Conn) refuse(status int, reason string) error {
	c.conns.count(reason)
	if c.tls == nil {
		retry := ""
		if status == http.StatusServiceUnavailable {
			retry = "Retry-After: " + strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64) + "\r\n"
		}
		_ = c.Conn.SetWriteDeadline(time.Now().Add(WriteTime))
		_, _ = c.Conn.Write([]byte("HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n" + retry + "Content-Length: 0\r\nConnection: close\r\n\r\n"))
	}
	c.abort()
	return errAborted
}

// Write implements net.Conn. It fails if the caller takes nothing for WriteTime.
func (c *Conn) Write(p []byte) (int, error) {
	written := 0
	for {
		end := time.Now().Add(WriteTime)
		set := c.writeEnd.Load()
		if set != 0 && set < end.UnixNano() {
			end = time.Unix(0, set)
		}
		if err := c.Conn.SetWriteDeadline(end); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(p[:min(len(p), writePiece)])
		written += n
		p = p[n:]
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.conns.count(reasonUnread)
		}
		if err != nil || len(p) == 0 {
			return written, err
		}
	}
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// SetWriteDeadline implements net.Conn. It bounds the writes in addition to WriteTime,
// and ends one that waits.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	if t.IsZero() {
		c.writeEnd.Store(0)
		return nil
	}
	c.writeEnd.Store(t.UnixNano())
	return c.Conn.SetWriteDeadline(t)
}

// CloseWrite closes the direction to the caller, as the server does after a refusal.
func (c *Conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.closeOnce.Do(func() {
		c.conns.mu.Lock()
		defer c.conns.mu.Unlock()
		c.conns.open--
		if c.evicted {
			c.conns.closing--
		}
	})
	return c.Conn.Close()
}

// step closes the connections whose header section or first byte has not arrived in
// time.
func (cs *Conns) step(now time.Time) {
	limits := cs.currentLimits()
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for e := cs.heading.Front(); e != nil; e = cs.heading.Front() {
		c := e.Value.(*Conn)
		if now.Sub(c.queued) < limits.HeaderTime {
			break
		}
		cs.enqueue(c, nil)
		cs.count(reasonSlowHead)
		c.abort()
	}
	for e := cs.fresh.Front(); e != nil; e = cs.fresh.Front() {
		c := e.Value.(*Conn)
		if now.Sub(c.queued) < limits.IdleTime || !c.tryEvict(false) {
			break
		}
		cs.enqueue(c, nil)
		cs.count(reasonNoRequest)
	}
}

// Open returns the number of open connections.
func (cs *Conns) Open() int {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cs.open
}

func (cs *Conns) count(reason string) {
	if cs.memory != nil {
		cs.memory.count(reason)
	}
}
