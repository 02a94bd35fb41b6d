// Package quota decides which hosts may send to an upstream that takes few requests.
//
// A host must not exceed the bound of an upstream together with hosts that it cannot
// reach, or whose requests it does not know. The place of a host therefore follows from
// a hash and from the hosts that exist, not from those that seem to be alive: hosts that
// are cut off from each other still count each other, until the platform lists them no
// more. A host that is lost keeps its place for that time, and its part is not used.
//
// Hosts learn at different times that a host was added or has gone. A host takes a
// better place only after its view has been unchanged for long enough that all others
// have it too, and a worse one at once.
//
// The package does no I/O and reads no clock.
package quota

import (
	"slices"
	"sync"
	"time"

	"quetzalhook"
	"quetzalhook/internal/fleet/rendezvous"
)

const (
	// holdTime is how long a place of an earlier view binds if it was worse. It covers
	// the time in which the cells of a fleet learn of each other's hosts, which
	// heartbeats carry four times a second and summaries once a second.
	holdTime = 3 * time.Second
	// minSettleTime and settleTimePerHost are the time after the start of a host for
	// which it has no place, since it does not know all hosts yet, or not all know it.
	// A fleet of 300 hosts needs six seconds until all agree.
	minSettleTime     = time.Second
	settleTimePerHost = 5 * time.Second / 300
	maxSettleTime     = 10 * time.Second
)

// NoPlace is the place of a host that may not send.
const NoPlace = 1 << 30

// View is what a host knows of the fleet.
type View struct {
	// Hosts are all hosts that exist and do not stop, and Leaders those of them that
	// may schedule engines. Both are sorted.
	Hosts, Leaders []quetzalhook.HostID
	// Groups is the number of groups of engines.
	Groups int
}

// equal reports whether two views are the same.
func (v View) equal(o View) bool {
	return v.Groups == o.Groups && slices.Equal(v.Hosts, o.Hosts) && slices.Equal(v.Leaders, o.Leaders)
}

// datedView is a view and when it was replaced.
type datedView struct {
	View
	endedAt time.Time
	places  map[string]int // of this host, by key
}

// place returns the place of a host among others for a key.
func (v datedView) place(key string, host quetzalhook.HostID, among []quetzalhook.HostID) int {
	place, known := v.places[key]
	if !known {
		if place = rendezvous.Place(key, host, among); place < 0 {
			place = NoPlace
		}
		v.places[key] = place
	}
	return place
}

// Places holds the places of one host. It is safe for concurrent use.
type Places struct {
	host    quetzalhook.HostID
	started time.Time

	mu    sync.Mutex
	views []datedView // the current one last
}

// New returns the places of a host that was started at a time.
func New(host quetzalhook.HostID, started time.Time) *Places {
	return &Places{host: host, started: started}
}

// Observe takes the current view.
func (p *Places) Observe(now time.Time, v View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.views = slices.DeleteFunc(p.views, func(d datedView) bool { return !d.endedAt.IsZero() && now.Sub(d.endedAt) >= holdTime })
	if last := len(p.views) - 1; last >= 0 {
		if p.views[last].equal(v) {
			return
		}
		p.views[last].endedAt = now
	}
	p.views = append(p.views, datedView{View: v, places: make(map[string]int)})
}

// OfService returns the place of the host for an upstream of a plain service.
func (p *Places) OfService(now time.Time, id quetzalhook.UpstreamID) int {
	key := "cold-" + string(id)
	return p.worst(now, func(v datedView) int { return v.place(key, p.host, v.Hosts) })
}

// OfEngine returns the place of the host for an engine. The hosts have the order in
// which they become leaders of the engine's group: leaderKey returns its key if there
// are the given number of groups.
func (p *Places) OfEngine(now time.Time, leaderKey func(groups int) string) int {
	return p.worst(now, func(v datedView) int { return v.place(leaderKey(v.Groups), p.host, v.Leaders) })
}

// worst returns the worst place in the views of the last holdTime.
func (p *Places) worst(now time.Time, place func(datedView) int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.views) == 0 || now.Sub(p.started) < settleTime(len(p.views[len(p.views)-1].Hosts)) {
		return NoPlace
	}
	worst := 0
	for _, v := range p.views {
		worst = max(worst, place(v))
	}
	return worst
}

// settleTime returns how long a started host has no place.
func settleTime(hosts int) time.Duration {
	return min(minSettleTime+time.Duration(hosts)*settleTimePerHost, maxSettleTime)
}
