// Package response rejects invalid HTTP/1 responses of other programs.
//
// net/http accepts many malformed responses, and which ones depends on the version of Go.
// A Conn therefore validates the bytes of each header section by RFC 9112 before net/http
// parses them. It rejects what the RFC forbids senders to send, even where it lets
// recipients repair the message, because the sender is at fault in unknown ways.
package response

import (
	"cmp"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
)

// Conn is a client connection that validates the responses read from it. After an invalid
// header section, all reads fail.
//
// The kernel reports a connection reset once, to the reader or to the writer. If the writer
// gets it, the reader sees EOF, which would make a response without a length look complete.
// A Conn returns an error to the reader in both cases.
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

// NewConn returns a Conn that uses c. Invalid responses are added to counts, which may be
// nil.
func NewConn(c net.Conn, counts *Counts) *Conn {
	return &Conn{Conn: c, counts: counts, header: header{part: body}}
}

// ExpectHeader declares that the next bytes are the start of a response. The caller has
// already read those in buffered.
func (c *Conn) ExpectHeader(buffered []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.header, c.started = header{line: c.header.line[:0]}, len(buffered) > 0
	if _, err := c.header.check(buffered); err != nil {
		c.fail(err)
	}
}

// Err returns the error of an invalid header section, or nil.
func (c *Conn) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err == nil {
		return nil
	}
	return c.err
}

// CheckTrailer returns an error if a trailer section, as parsed by net/http, has an invalid
// field name.
func (c *Conn) CheckTrailer(trailer http.Header) error {
	for name, values := range trailer {
		if len(values) > 0 && strings.ContainsFunc(name, func(r rune) bool { return r > 0x7f || !isToken(byte(r)) }) {
			c.counts.add(ErrorField)
			return &Error{Op: "trailer", Kind: ErrorField, Detail: "invalid character in a field name of the trailer", Line: name[:min(len(name), maxKept)]}
		}
	}
	return nil
}

// Read implements io.Reader.
func (c *Conn) Read(p []byte) (int, error) {
	if err := c.Err(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if n == 0 && err == io.EOF {
		return 0, c.endError()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	valid, invalid := c.header.check(p[:n])
	if invalid != nil {
		c.fail(invalid)
		if !c.started {
			// net/http would retry some requests if it could not read the first byte.
			valid = max(valid, 1)
		}
		return valid, c.err
	}
	c.started = c.started || n > 0
	return n, err
}

// endError returns the error of a read at EOF. Within a body, it waits for a write in
// progress, because the kernel may have reported a reset to that write.
func (c *Conn) endError() error {
	c.mu.Lock()
	inHeader := c.header.part != body
	c.mu.Unlock()
	if inHeader {
		return io.EOF
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	switch {
	case c.writeErr == nil:
		return io.EOF
	case errors.Is(c.writeErr, net.ErrClosed): // closed by this process
		return c.writeErr
	}
	c.counts.add(ErrorReset)
	return &Error{Op: "body", Kind: ErrorReset, Detail: "connection reset while the request was being sent", Err: c.writeErr}
}

// Write implements io.Writer.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	c.writeErr = cmp.Or(c.writeErr, err)
	return n, err
}

// WriteBuffers writes all buffers as one write and removes them from b.
func (c *Conn) WriteBuffers(b *net.Buffers) error {
	c.writing.Lock()
	defer c.writing.Unlock()
	_, err := b.WriteTo(c.Conn)
	c.writeErr = cmp.Or(c.writeErr, err)
	return err
}

// fail records the first error and counts it. The caller holds c.mu.
func (c *Conn) fail(err *Error) {
	if c.err == nil {
		c.err = err
		c.counts.add(err.Kind)
	}
}
