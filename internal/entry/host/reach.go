package host

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"quetzalhook"
	"quetzalhook/internal/entry/connection"
	"quetzalhook/internal/state/timing"
)

// reachInterval is the time between two connections that a host without paths to upstreams
// tries to open.
const reachInterval = time.Second

// recordDial records whether a connection to an upstream could be opened.
func (h *Host) recordDial(t connection.Target, err error) {
	now := h.clock.Now()
	if err != nil {
		h.reach.Failed(now, t.ID, t.Started)
		return
	}
	wasCutOff := h.reach.IsCutOff()
	h.reach.Opened(now, t.ID)
	if wasCutOff {
		h.log.WithField("upstream", t.ID).Info("host reaches upstreams again")
	}
}

// checkReach checks whether this host reaches upstreams when that is in doubt, until ctx
// ends.
func (h *Host) checkReach(ctx context.Context) {
	for {
		if h.reach.IsCutOff() {
			if !timing.Sleep(ctx, reachInterval) {
				return
			}
		} else {
			select {
			case <-h.reach.Due():
			case <-ctx.Done():
				return
			}
		}
		now := h.clock.Now()
		checked := h.reach.Check(now, h.follower.Upstreams())
		if len(checked) > 0 && !h.openAny(ctx, checked) && ctx.Err() == nil && h.reach.Conclude(now) {
			h.log.WithFields(logrus.Fields{"tried": len(checked), "ms": h.clock.Now().Sub(now).Milliseconds()}).Warn("host reaches no upstreams")
		}
	}
}

// batchSize is the number of connections that a check opens at the same time.
const batchSize = 6

// openAny opens connections to the upstreams of a list, for later requests, until one of a
// batch is open. It reports whether one is, or was not tried since there are enough.
func (h *Host) openAny(ctx context.Context, list []quetzalhook.Upstream) bool {
	for batch := range slices.Chunk(list, batchSize) {
		if h.openBatch(ctx, batch) {
			return true
		}
	}
	return false
}

// openBatch is openAny for upstreams that are tried at the same time.
func (h *Host) openBatch(ctx context.Context, list []quetzalhook.Upstream) bool {
	var opened sync.WaitGroup
	results := make([]error, len(list))
	for i, u := range list {
		opened.Go(func() {
			results[i] = h.pool.Open(ctx, connection.Target{ID: u.ID, Address: u.Address, Started: u.Started})
		})
	}
	opened.Wait()
	for _, err := range results {
		var e *connection.Error
		if err == nil || errors.As(err, &e) && e.Kind == connection.ErrorLimit {
			return true
		}
	}
	return false
}
