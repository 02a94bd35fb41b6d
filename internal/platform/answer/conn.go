// Package answer refuses malformed HTTP/1 answers of other programs, before anything
// else interprets them.
//
// net/http is liberal in what it accepts, and what it accepts depends on the version of
// Go. A Conn therefore checks the bytes of each header section by RFC 9112. It refuses
// what the RFC forbids senders to send, also where it lets recipients repair it, since a
// repaired answer is not what the sender meant.
package answer

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
)

// Conn is the client's end of a connection on which answers arrive. Between
// ExpectHeader and the end of a header section, it checks the bytes that are read. An
// error in them ends the connection for its reader.
//
// The kernel reports a reset once, to the reader or to the writer. If the writer gets it,
// the reader sees a regular end, at which an answer without a length would look complete.
// The reader of a Conn gets an error in both cases.
type Conn struct {
	net.Conn
	counts *Counts

	writing  sync.Mutex
	writeErr error // of the first failed write; guarded by writing

	mu      sync.Mutex
	header  header
	started bool // a part of the header section was read
	err     *Error
}

// NewConn returns a Conn that reads from c. Refused answers are added to counts, which
// may be nil.
func NewConn(c net.Conn, counts *Counts) *Conn {
	return &Conn{Conn: c, counts: counts, header: header{part: body}}
}

// ExpectHeader states that the next bytes are the header section of an answer. Those in
// buffered were read before.
func (c *Conn) ExpectHeader(buffered []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.header, c.started = header{line: c.header.line[:0]}, len(buffered) > 0
	if _, err := c.header.check(buffered); err != nil {
		c.refuse(err)
	}
}

// Refused returns why an answer was refused, or nil.
func (c *Conn) Refused() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err == nil {
		return nil
	}
	return c.err
}

// CheckTrailer returns an error if a trailer, as net/http has parsed it, has a name that no
// field may have.
func (c *Conn) CheckTrailer(trailer http.Header) error {
	for name, values := range trailer {
		if len(values) > 0 && strings.ContainsFunc(name, func(r rune) bool { return r > 0x7f || !isToken(byte(r)) }) {
			c.counts.add(ErrorField)
			return &Error{Op: "trailer", Kind: ErrorField, Detail: "the name of a field in the trailer holds a byte that no name may hold", Line: name[:min(len(name), maxKept)]}
		}
	}
	return nil
}

// Read implements io.Reader.
func (c *Conn) Read(p []byte) (int, error) {
	if err := c.Refused(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if n == 0 && err == io.EOF {
		return 0, c.endError()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	sound, refused := c.header.check(p[:n])
	if refused != nil {
		c.refuse(refused)
		if !c.started {
			// net/http repeats some requests if the read of the first byte fails.
			sound = max(sound, 1)
		}
		return sound, c.err
	}
	c.started = c.started || n > 0
	return n, err
}

// endError returns the error of a read at the end of the connection. In a body, it waits
// for a write in progress, which may be the one that the kernel tells of a reset.
func (c *Conn) endError() error {
	c.mu.Lock()
	inHeader := c.header.part != body
	c.mu.Unlock()
	if inHeader {
		return io.EOF
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.writeErr == nil {
		return io.EOF
	}
	c.counts.add(ErrorReset)
	return &Error{Op: "body", Kind: ErrorReset, Detail: "the connection was reset while the request was being sent", Err: c.writeErr}
}

// Write implements io.Writer.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// WriteBuffers writes all buffers and removes them from b.
func (c *Conn) WriteBuffers(b *net.Buffers) error {
	c.writing.Lock()
	defer c.writing.Unlock()
	_, err := b.WriteTo(c.Conn)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return err
}

// refuse records an error and counts it. The caller holds c.mu.
func (c *Conn) refuse(err *Error) {
	if c.err == nil {
		c.err = err
		c.counts.add(err.Kind)
	}
}
