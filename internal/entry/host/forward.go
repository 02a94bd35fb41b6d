package host

import (
	"context"
	"crypto/tls"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"quetzalhook"
	"quetzalhook/internal/entry/caller"
	"quetzalhook/internal/entry/connection"
	"quetzalhook/internal/entry/gateway"
	"quetzalhook/internal/state/timing"
)

const (
	// otherZoneCost and otherRegionCost are what a hop to another zone or region costs, in
	// open requests, and otherCellCost that to a host whose state is known late.
	otherZoneCost   = 1
	otherRegionCost = 8
	otherCellCost   = 4
	// drainingCost exceeds all other costs: a stopping host takes requests only until
	// callers know other hosts.
	drainingCost = 1 << 20
	// unreachedTime is how long a host is avoided to which a request could not be sent.
	unreachedTime = time.Second
	// relistenInterval is the time until a listener that has failed is opened again.
	relistenInterval = time.Second
	// maxPeerHeader bounds the header section of a forwarded request.
	maxPeerHeader = maxHeaderBytes + 4<<10
)

// peerChoice chooses the hosts to which this one forwards requests. It implements
// gateway.Peers.
type peerChoice struct {
	zone      quetzalhook.Zone
	region    quetzalhook.Region
	members   func() []quetzalhook.Member
	clientTLS func(quetzalhook.HostID) *tls.Config
	clock     quetzalhook.Clock

	mu        sync.Mutex
	open      map[quetzalhook.HostID]int // forwarded requests
	unreached map[quetzalhook.HostID]time.Time
}

func newPeerChoice(zone quetzalhook.Zone, region quetzalhook.Region, members func() []quetzalhook.Member, clientTLS func(quetzalhook.HostID) *tls.Config, clock quetzalhook.Clock) *peerChoice {
	return &peerChoice{
		zone: zone, region: region, members: members, clientTLS: clientTLS, clock: clock,
		open: make(map[quetzalhook.HostID]int), unreached: make(map[quetzalhook.HostID]time.Time),
	}
}

// Next implements gateway.Peers. It returns the host with the fewest open requests of this
// host, with a preference for near ones, and a stopping one only if there is no other.
func (p *peerChoice) Next(allowed quetzalhook.Regions, tried []quetzalhook.HostID) (gateway.Peer, bool) {
	members, now := p.members(), p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	var best *quetzalhook.Member
	lowest := 0.0
	for i := range members {
		m := &members[i]
		if !p.isEligible(now, m, allowed, tried) {
			continue
		}
		cost := float64(p.open[m.Host]) + rand.Float64()
		switch {
		case m.Zone == p.zone:
		case m.Region == p.region:
			cost += otherZoneCost
		default:
			cost += otherRegionCost
		}
		if m.Distant {
			cost += otherCellCost
		}
		if m.Draining {
			cost += drainingCost
		}
		if best == nil || cost < lowest {
			best, lowest = m, cost
		}
	}
	if best == nil {
		return gateway.Peer{}, false
	}
	host := best.Host
	p.open[host]++
	return gateway.Peer{
		Host:   host,
		Target: connection.Target{ID: quetzalhook.UpstreamID("host " + host), Address: best.PeerAddress, Started: int64(best.Incarnation), TLS: p.clientTLS(host)},
		End:    func(reached bool) { p.end(host, reached) },
	}, true
}

// isEligible reports whether a host can serve a forwarded request. The caller holds p.mu.
func (p *peerChoice) isEligible(now time.Time, m *quetzalhook.Member, allowed quetzalhook.Regions, tried []quetzalhook.HostID) bool {
	if m.Unready || m.CutOff || m.PeerAddress == "" || !m.IsAlive(maxSilence) || !allowed.Allows(m.Region) {
		return false
	}
	for _, id := range tried {
		if id == m.Host {
			return false
		}
	}
	at, ok := p.unreached[m.Host]
	return !ok || now.Sub(at) >= unreachedTime
}

// end records the end of a forwarded request.
func (p *peerChoice) end(host quetzalhook.HostID, reached bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[host]--; p.open[host] <= 0 {
		delete(p.open, host)
	}
	if reached {
		delete(p.unreached, host)
		return
	}
	now := p.clock.Now()
	for id, at := range p.unreached {
		if now.Sub(at) >= unreachedTime {
			delete(p.unreached, id)
		}
	}
	p.unreached[host] = now
}

// servePeers serves the requests that other hosts forward, until the server is closed. Only
// hosts that know the secret can connect. Without its listener the host serves its callers.
func (h *Host) servePeers(ctx context.Context) {
	h.peerServer = &http.Server{Handler: h.gateway.PeerHandler(), ReadHeaderTimeout: longHeaderTimeout, MaxHeaderBytes: maxPeerHeader, ErrorLog: log.New(io.Discard, "", 0)}
	conns := caller.NewConns(func() caller.Limits {
		return caller.Limits{HeaderBytes: maxPeerHeader, HeaderTime: requestTimeout, IdleTime: smallIdleTimeout}
	}, caller.WithMemory(h.callerMemory, h.plan.Other))
	conns.Attach(h.peerServer)
	h.servers = append(h.servers, h.peerServer)
	h.wg.Go(func() {
		for {
			l, err := net.Listen("tcp", h.settings.Peer(h.settings.IP()))
			if err == nil {
				err = h.peerServer.Serve(tls.NewListener(conns.Listen(l), h.peers.ServerTLS()))
			}
			if errors.Is(err, http.ErrServerClosed) {
				return
			}
			h.log.WithError(err).Error("listener for forwarded requests failed")
			if !timing.Sleep(ctx, relistenInterval) {
				return
			}
		}
	})
}

// drainPeers ends the listener for forwarded requests, and waits for those in progress
// until ctx ends.
func (h *Host) drainPeers(ctx context.Context) {
	ctx, cancel := caller.BeforeEnd(ctx)
	defer cancel()
	if err := h.peerServer.Shutdown(ctx); err != nil {
		h.log.WithError(err).Warn("forwarded requests are ended")
	}
}
