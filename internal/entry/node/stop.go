package node

import (
	"context"

	"quetzalhook/internal/entry/caller"
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

// Stop shuts the host down gracefully, without interrupting requests. The other hosts
// stop listing it, and it continues to serve callers until their cached lists of hosts
// expire. Then it closes each connection when its request ends and waits for all
// requests. Shortly before the deadline of ctx it ends those that remain, so that their
// callers get an error response unless a response has begun, and returns an error.
func (n *Node) Stop(ctx context.Context) error {
	var err error
	n.stopOnce.Do(func() { err = n.stop(ctx) })
	return err
}

// stop implements Stop without the guard against repeated calls.
func (n *Node) stop(ctx context.Context) error {
	n.log.Info("host stopping; removed from the list of hosts")
	_ = n.machine.Fire(eventLeave)
	n.draining.Store(true)
	serve, cancel := caller.BeforeEnd(ctx)
	defer cancel()
	timing.Sleep(serve, n.settings.HostsLifetime+drainNotice)
	n.log.WithField("open", n.front.Open()).Info("host draining")
	_ = n.machine.Fire(eventDrain)
	n.front.Drain()
	if err := n.tcpListener.Drain(ctx.Done()); err != nil {
		n.log.WithError(err).Warn("connections may be reset while the listener closes")
	}
	err := n.awaitRequests(serve)
	if err != nil {
		n.front.End()
		_ = n.awaitRequests(ctx) // what is left is cut
	}
	open := n.front.Open()
	n.inv.Check(invariant.GracefulStop, err == nil && open == 0, "open", open, "error", err)
	_ = n.machine.Fire(eventIdle)
	n.close(ctx)
	n.log.WithField("error", err).Info("host stopped")
	return err
}

// awaitRequests closes all connections of callers once they have no request. It returns
// an error if ctx ends first.
func (n *Node) awaitRequests(ctx context.Context) error {
	if err := n.callers.Close(ctx); err != nil {
		return err
	}
	if err := n.server.Shutdown(ctx); err != nil { // the connections of HTTP/2
		return err
	}
	return n.broker.Wait(ctx)
}

// Kill stops the host immediately, like a crash: it stores nothing and releases no
// lease. Unlike a crash, it waits for the goroutines of the host.
func (n *Node) Kill() {
	n.stopOnce.Do(func() {
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

// close closes all components and waits for their goroutines. It tells the other hosts
// of the stop only after the records are closed, since closing them may need calls to
// the other hosts.
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
	_ = n.memory.Close()
	n.wg.Wait()
}
