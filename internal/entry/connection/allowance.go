package connection

import (
	"io"
	"math"
	"net"

	"quetzalhook/internal/platform/intake"
)

const (
	// shortHeader is the size of a response header, in bytes, for which no memory is
	// reserved. Headers are seldom longer.
	shortHeader = 4 << 10
	// longHeaderMemory is reserved for a longer one.
	longHeaderMemory = intake.HeaderFactor * maxResponseHeader
)

// allowance reads from a connection. It bounds the bytes of a response header, and the
// memory that the longer headers on all connections take. Reads beyond return io.EOF.
type allowance struct {
	conn     net.Conn
	left     int64
	budget   *intake.Budget
	reserved bool // memory for a long header, until release
	long     bool // the current header is over shortHeader
}

// limitHeader bounds the bytes that are read until the next call of unlimit.
func (a *allowance) limitHeader() { a.left, a.long = shortHeader, false }

// unlimit ends the limit on bytes.
func (a *allowance) unlimit() { a.left = math.MaxInt64 }

// isUsedUp reports whether no more bytes of the header may be read.
func (a *allowance) isUsedUp() bool { return a.left <= 0 }

// release returns the memory of a long header.
func (a *allowance) release() {
	if a.reserved {
		a.budget.Release(longHeaderMemory)
		a.reserved = false
	}
}

// Read implements io.Reader.
func (a *allowance) Read(p []byte) (int, error) {
	if a.left <= 0 && !a.long && (a.reserved || a.budget.TryReserve(longHeaderMemory)) {
		a.reserved, a.long, a.left = true, true, maxResponseHeader-shortHeader
	}
	if a.left <= 0 {
		return 0, io.EOF
	}
	n, err := a.conn.Read(p[:min(int64(len(p)), a.left)])
	a.left -= int64(n)
	return n, err
}
