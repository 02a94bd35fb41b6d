package lease

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"quetzalhook"
)

// DefaultSettle is how long the platform must show a newer incarnation of a
// host before the old one counts as dead. It covers a request that the old
// process left in the network.
const DefaultSettle = time.Minute

// process is one incarnation of a host.
type process struct {
	host        quetzalhook.HostID
	incarnation quetzalhook.Incarnation
}

// Deaths tells which senders of open intents are known to be dead. A host
// that is merely missing from the platform's list may be paused; only a newer
// incarnation of it is proof. Not safe for concurrent use.
type Deaths struct {
	hosts  quetzalhook.HostLister
	clock  quetzalhook.Clock
	settle time.Duration
	since  map[process]time.Time // when a newer incarnation was first seen
}

// NewDeaths returns an observer of the platform's list of hosts.
func NewDeaths(hosts quetzalhook.HostLister, clock quetzalhook.Clock, settle time.Duration) *Deaths {
	return &Deaths{hosts: hosts, clock: clock, settle: settle}
}

// Observe reads the platform's list for the senders of the open intents.
func (d *Deaths) Observe(ctx context.Context, open []Intent) error {
	list, err := d.hosts.Hosts(ctx)
	if err != nil {
		return errors.Wrap(err, "list hosts")
	}
	now := d.clock.Now()
	newer := make(map[process]time.Time)
	for _, i := range open {
		p := process{i.Host, i.Incarnation}
		for _, h := range list {
			if h.Host != p.host || h.Incarnation <= p.incarnation {
				continue
			}
			newer[p] = now
			if since, ok := d.since[p]; ok {
				newer[p] = since
			}
		}
	}
	d.since = newer
	return nil
}

// IsDead reports whether the process that wrote the intent is known to be dead.
func (d *Deaths) IsDead(i Intent) bool {
	since, ok := d.since[process{i.Host, i.Incarnation}]
	return ok && d.clock.Now().Sub(since) >= d.settle
}
