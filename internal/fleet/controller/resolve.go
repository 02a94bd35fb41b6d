package controller

import (
	"context"
	"slices"

	"github.com/pkg/errors"

	"quetzalhook/internal/fleet/lease"
)

// resolve closes the open intents whose order has taken effect according to the
// platform, or whose sender is known to be dead. Without open intents it makes no
// call.
func (c *Controller) resolve(ctx context.Context) error {
	open := c.lease.OpenIntents()
	if len(open) == 0 {
		return nil
	}
	applied, err := c.platform.Orders(ctx)
	if err != nil {
		return errors.Wrap(err, "list orders")
	}
	if err := c.deaths.Observe(ctx, open); err != nil {
		return err
	}
	resolved := func(i lease.Intent) bool {
		// If another process sent its order more than once, a later copy may still
		// arrive.
		seen := slices.Contains(applied, i.ID) && (i.Sends == 1 || c.lease.IsOwn(i))
		return i.Target == Target && (seen || c.deaths.IsDead(i))
	}
	if !slices.ContainsFunc(open, resolved) {
		return nil
	}
	return c.lease.Resolve(ctx, resolved)
}
