package lease

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"quetzalhook"
)

// DefaultSettle is how long the platform must list a newer incarnation of a
// host before the old one counts as dead. The delay allows for requests of the
// old process that are still in the network.
const DefaultSettle = time.Minute

// process identifies one incarnation of a host.
type process struct {
	host        quetzalhook.HostID
	incarnation quetzalhook.Incarnation
}

// DeathDetector detects which processes that wrote open intents are dead. A host
// that is only missing from the platform's list may be paused; a process counts
// as dead only when a newer incarnation of its host is listed. DeathDetector is
// not safe for concurrent use.
type DeathDetector struct {
	hosts      quetzalhook.HostLister
	clock      quetzalhook.Clock
	settle     time.Duration
	newerSince map[process]time.Time // when a newer incarnation was first listed
}

// NewDeathDetector returns a detector that reads the platform's list of hosts and
// treats a process as dead once a newer incarnation has been listed for the
// duration settle.
func NewDeathDetector(hosts quetzalhook.HostLister, clock quetzalhook.Clock, settle time.Duration) *DeathDetector {
	return &DeathDetector{hosts: hosts, clock: clock, settle: settle}
}

// Observe reads the platform's list of hosts and records which processes that
// wrote the given open intents have been replaced by a newer incarnation.
func (d *DeathDetector) Observe(ctx context.Context, open []Intent) error {
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
			if newerSince, ok := d.newerSince[p]; ok {
				newer[p] = newerSince
			}
		}
	}
	d.newerSince = newer
	return nil
}

// IsDead reports whether, as of the last Observe, the process that wrote the
// intent is known to be dead.
func (d *DeathDetector) IsDead(i Intent) bool {
	newerSince, ok := d.newerSince[process{i.Host, i.Incarnation}]
	return ok && d.clock.Now().Sub(newerSince) >= d.settle
}
