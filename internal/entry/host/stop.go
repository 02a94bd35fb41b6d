package host

import (
	"context"
	"time"

	"quetzalhook/internal/entry/setting"
	"quetzalhook/internal/state/timing"
)

const (
	// keptAnswers is how often the stated life some callers keep an answer.
	keptAnswers = 3
	// stopMargin is left between the end of a planned stop and the time at which
	// the platform ends the process.
	stopMargin = 700 * time.Millisecond
)

// Stop ends the host as planned: callers are sent elsewhere, requests in
// progress are finished.
func (h *Host) Stop(ctx context.Context) error {
	begin := h.clock.Now()
	limit := setting.Seconds(h.settings.StopS) - stopMargin
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	h.draining.Store(true)
	h.gateway.Drain()
	h.log.WithField("open", h.gateway.Open()).WithField("limit-ms", limit.Milliseconds()).Info("host stops; callers are sent elsewhere")
	// Callers go on to use this host until their answers have expired.
	timing.Sleep(ctx, min(keptAnswers*answerLife(h.settings), limit/2))
	if err := h.duty.Close(); err != nil {
		h.log.WithError(err).Warn("duty not released; its lease ends with its term")
	}
	if err := h.registry.Leave(ctx); err != nil {
		h.log.WithError(err).Warn("host stays registered")
	}
	err := h.callers.Shutdown(ctx)
	h.log.WithField("open", h.gateway.Open()).WithField("ms", h.clock.Now().Sub(begin).Milliseconds()).Info("host stopped")
	h.members.Leave()
	h.Close()
	return err
}

// Close ends everything at once and waits.
func (h *Host) Close() {
	h.cancel()
	for _, s := range h.servers {
		_ = s.Close()
	}
	_ = h.gateway.Close()
	_ = h.registry.Close()
	_ = h.follower.Close()
	_ = h.engines.Close()
	_ = h.counter.Close()
	_ = h.members.Close()
	_ = h.peers.Close()
	_ = h.pool.Close()
	h.wg.Wait()
}
