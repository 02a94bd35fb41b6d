package controller

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"quetzalhook"
	"quetzalhook/internal/fleet/lease"
)

// process is one incarnation of a host.
type process struct {
	host        quetzalhook.HostID
	incarnation quetzalhook.Incarnation
}

// resolve closes open intents whose effect the platform shows or whose sender
// is known to be dead. Without open intents it makes no call.
func (c *Controller) resolve(ctx context.Context) error {
	open := c.lease.Open()
	if len(open) == 0 {
		return nil
	}
	effects, err := c.platform.Orders(ctx)
	if err != nil {
		return errors.Wrap(err, "list orders")
	}
	if err := c.observeHosts(ctx, open); err != nil {
		return err
	}
	now := c.clock.Now()
	resolved := func(i lease.Intent) bool {
		return i.Target == Target && (slices.Contains(effects, i.ID) || c.isDead(now, i))
	}
	if !slices.ContainsFunc(open, resolved) {
		return nil
	}
	return c.lease.Resolve(ctx, resolved)
}

// observeHosts notes since when the platform shows a newer incarnation of a
// host with open intents. A host that is merely missing from the list may be
// paused and is not known to be dead.
func (c *Controller) observeHosts(ctx context.Context, open []lease.Intent) error {
	list, err := c.hosts.Hosts(ctx)
	if err != nil {
		return errors.Wrap(err, "list hosts")
	}
	now := c.clock.Now()
	newer := make(map[process]time.Time)
	for _, i := range open {
		p := process{i.Host, i.Incarnation}
		for _, h := range list {
			if h.Host != p.host || h.Incarnation <= p.incarnation {
				continue
			}
			newer[p] = now
			if since, ok := c.replaced[p]; ok {
				newer[p] = since
			}
		}
	}
	c.replaced = newer
	return nil
}

func (c *Controller) isDead(now time.Time, i lease.Intent) bool {
	since, ok := c.replaced[process{i.Host, i.Incarnation}]
	return ok && now.Sub(since) >= c.settle
}
