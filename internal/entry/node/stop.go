package node

import (
	"context"

	"quetzalhook/internal/state/chart"
	"quetzalhook/internal/state/invariant"
	"quetzalhook/internal/state/timing"
)

// Events of the host's state chart.
const (
	eventReady = chart.Event("ready")
	eventLeave = chart.Event("leave-list")
	eventDrain = chart.Event("drain")
	eventIdle  = chart.Event("idle")
	eventKill  = chart.Event("kill")
)

// Stop shuts the host down without cutting a request: it leaves the lists of
// hosts, serves callers that kept an older list for its lifetime, closes
// connections as their requests end, and waits for every request. If ctx
// ends first, the requests that are left are cut and Stop returns its error.
func (n *Node) Stop(ctx context.Context) error {
	var err error
	n.stopped.Do(func() { err = n.stop(ctx) })
	return err
}

func (n *Node) stop(ctx context.Context) error {
	n.log.Info("host leaves the list")
	_ = n.machine.Fire(eventLeave)
	n.draining.Store(true)
	timing.Sleep(ctx, n.settings.HostsLifetime+drainNotice)
	n.log.WithField("open", n.front.Open()).Info("host drains")
	_ = n.machine.Fire(eventDrain)
	n.front.Drain()
	err := n.server.Shutdown(ctx)
	if err == nil {
		err = n.broker.Wait(ctx)
	}
	open := n.front.Open()
	n.inv.Check(invariant.GracefulStop, err == nil && open == 0, "open", open, "error", err)
	_ = n.machine.Fire(eventIdle)
	n.close(ctx)
	n.log.WithField("error", err).Info("host stopped")
	return err
}

// Kill ends the host at once, as a crash would, but waits for its
// goroutines. Nothing is flushed and no role is released.
func (n *Node) Kill() {
	n.stopped.Do(func() {
		_ = n.machine.Fire(eventKill)
		_ = n.fleet.Close()
		n.store.Close()
		_ = n.provider.Close()
		_ = n.server.Close()
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		n.close(ctx)
	})
}

// close ends all parts. Each Close waits for its goroutines. The others hear
// of a planned stop last, since until then this host may still need them.
func (n *Node) close(ctx context.Context) {
	n.cancel()
	_ = n.server.Close()
	n.records.close(ctx)
	n.fleet.leave()
	_ = n.fleet.Close()
	_ = n.prober.Close()
	_ = n.broker.Close()
	_ = n.pool.Close()
	n.store.Close()
	_ = n.provider.Close()
	n.wg.Wait()
}
