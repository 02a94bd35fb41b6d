package host

import (
	"context"
	"sync"
	"time"

	"quetzalhook/internal/entry/gateway"
	"quetzalhook/internal/entry/setting"
	"quetzalhook/internal/state/timing"
)

const (
	// maxTTLFactor is the longest time for which callers use a list of hosts, in units
	// of its TTL. Some callers use a list for longer than its TTL.
	maxTTLFactor = 3
	// stopMargin is the time between the end of a planned stop and the time at which
	// the platform kills the process.
	stopMargin = 700 * time.Millisecond
	// awayMargin is subtracted from the time that callers need to change to other
	// hosts. It allows for the time from the signal to the start of the stop, and for
	// the way of a request.
	awayMargin = 250 * time.Millisecond
)

// stopTimes returns the times of a stop that starts now, and how long its listener
// stays open. None of them depends on the store.
func stopTimes(start time.Time, s setting.Host) (gateway.Stop, time.Duration) {
	limit := setting.Seconds(s.StopS) - stopMargin
	open := min(maxTTLFactor*listTTL(s), limit/2)
	return gateway.Stop{Start: start, Away: start.Add(max(open-awayMargin, 0)), End: start.Add(limit)}, open
}

// Stop shuts the host down gracefully: it sends callers to other hosts, completes the
// requests in progress, releases the lease meanwhile, and then closes everything. It
// returns an error if requests are still open when the time for a stop has passed or
// ctx ends.
func (h *Host) Stop(ctx context.Context) error {
	times, open := stopTimes(h.clock.Now(), h.settings)
	limit := times.End.Sub(times.Start)
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	h.draining.Store(true)
	h.gateway.Drain(times)
	h.log.WithField("open", h.gateway.Open()).WithField("limit-ms", limit.Milliseconds()).Info("host stopping; callers are sent to other hosts")
	// Callers continue to use this host until they replace their cached list of hosts.
	timing.Sleep(ctx, open)
	left := h.leaveStore(ctx)
	if err := h.callerListener.Drain(ctx.Done()); err != nil {
		h.log.WithError(err).Warn("connections may be reset while the listener closes")
	}
	var peers sync.WaitGroup
	peers.Go(func() { h.drainPeers(ctx) })
	err := h.gateway.CloseConns(ctx)
	peers.Wait()
	h.log.WithField("open", h.gateway.Open()).WithField("ms", h.clock.Now().Sub(times.Start).Milliseconds()).Info("host stopped")
	select {
	case <-left:
	case <-ctx.Done():
	}
	h.members.Leave()
	h.Close()
	return err
}

// leaveStore releases the lease and removes this host from the store's list of hosts,
// until ctx ends. The returned channel is closed afterwards.
func (h *Host) leaveStore(ctx context.Context) <-chan struct{} {
	var calls sync.WaitGroup
	calls.Go(func() {
		if err := h.dutyLease.Leave(ctx); err != nil {
			h.log.WithError(err).Warn("lease of the duties not released; it expires at the end of its term")
		}
	})
	calls.Go(func() {
		if err := h.registry.Leave(ctx); err != nil {
			h.log.WithError(err).Warn("host not deregistered")
		}
	})
	left := make(chan struct{})
	h.wg.Go(func() {
		calls.Wait()
		close(left)
	})
	return left
}

// Close stops all components immediately, without completing requests, and waits
// for their goroutines.
func (h *Host) Close() {
	h.cancel()
	for _, s := range h.servers {
		_ = s.Close()
	}
	_ = h.gateway.Close()
	_ = h.callerMemory.Close()
	_ = h.registry.Close()
	_ = h.splitWriter.Close()
	_ = h.follower.Close()
	_ = h.isolator.Close()
	_ = h.engineDispatcher.Close()
	_ = h.usageCounter.Close()
	_ = h.members.Close()
	_ = h.peers.Close()
	_ = h.pool.Close()
	h.wg.Wait()
}
