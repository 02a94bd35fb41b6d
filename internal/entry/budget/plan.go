package budget

import (
	"quetzalhook/internal/platform/intake"
)

const (
	// reservedFDs is the number of descriptors that are kept for files, listeners, and
	// the connections to the store and the platform.
	reservedFDs = 200
	// callerFDs and upstreamFDs are the shares of the other descriptors. A request needs
	// one of each; callers also keep idle connections. The rest is for connections that
	// are being closed and for the other listeners.
	callerFDs   = 0.5
	upstreamFDs = 0.35
	// otherFDs is the share of each of the other listeners.
	otherFDs = 0.03
	// otherListeners is the number of listeners that serve no callers' requests: directory,
	// readiness, metrics and that for forwarded requests.
	otherListeners = 4
	// defaultFDs is assumed if the number of descriptors is not known. It is so large
	// that the memory bounds the connections: a deployment that does not tell its limit
	// must not lose connections that it has served so far.
	defaultFDs = 16 << 10
	// minConnections lets a process with very few descriptors serve.
	minConnections = 16

	// ConnectionMemory is what an open connection takes without a request: buffers of
	// 4 KB in each direction, a stack of 8 KB, and a header section of usual length.
	ConnectionMemory = 20 << 10
	// TLSConnectionMemory is the same with TLS and HTTP/2.
	TLSConnectionMemory = 96 << 10
	// connectionShare is the largest share of the memory for callers that goes to open
	// connections.
	connectionShare = 0.4
	// minMemory lets a process whose memory is set far too small serve a request of the
	// largest size.
	minMemory = 12 << 20
)

// Plan divides the memory and the descriptors of a process.
type Plan struct {
	// Memory is the memory in bytes for header sections, bodies and requests.
	Memory int64
	// Connections is the number of connections that callers may have open, and Upstream
	// the number of those to upstreams.
	Connections, Upstream int
	// Other is the number of connections to each listener that serves no callers.
	Other int
}

// NewPlan returns the plan of a process with so many bytes and descriptors, whose
// callers may use TLS; 0 means that a number is not known.
func NewPlan(memory int64, fds int, tls bool) Plan {
	if memory <= 0 {
		memory = intake.DefaultMemory
	}
	if fds <= 0 {
		fds = defaultFDs
	}
	connection := int64(ConnectionMemory)
	if tls {
		connection = TLSConnectionMemory
	}
	free := float64(max(fds-reservedFDs, fds/4))
	own := int64(intake.CallerShare * float64(memory))
	p := Plan{
		Connections: max(int(min(callerFDs*free, connectionShare*float64(own)/float64(connection))), minConnections),
		Upstream:    max(int(upstreamFDs*free), minConnections),
		Other:       max(int(otherFDs*free), minConnections/2),
	}
	p.Memory = max(own-int64(p.Connections)*connection-int64(otherListeners*p.Other)*ConnectionMemory, minMemory)
	return p
}
