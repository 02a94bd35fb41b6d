package dispatcher

import (
	"maps"
	"slices"
	"sync"

	"github.com/sirupsen/logrus"

	"quetzalhook"
	"quetzalhook/internal/fleet/division"
)

// groups are the groups of engines that this host knows, with a desk for each
// that it uses or that others ask it about.
type groups struct {
	clock quetzalhook.Clock
	log   logrus.FieldLogger

	mu       sync.Mutex
	division division.Division
	engines  map[int][]quetzalhook.Upstream // by group
	desks    map[int]*desk
}

func newGroups(clock quetzalhook.Clock, log logrus.FieldLogger) *groups {
	return &groups{clock: clock, log: log, desks: make(map[int]*desk)}
}

// setUpstreams replaces the engines and divides them.
func (g *groups) setUpstreams(list []quetzalhook.Upstream) {
	ready := 0
	for _, u := range list {
		if u.State == quetzalhook.UpstreamReady {
			ready++
		}
	}
	g.mu.Lock()
	before := g.division.Groups()
	g.division = g.division.Resize(ready)
	count := g.division.Groups()
	g.engines = make(map[int][]quetzalhook.Upstream, count)
	for _, u := range list {
		group := g.division.Of(u.ID)
		g.engines[group] = append(g.engines[group], u)
	}
	desks := maps.Clone(g.desks)
	engines := g.engines
	g.mu.Unlock()
	if count != before {
		g.log.WithField("groups", count).WithField("before", before).WithField("engines", ready).Info("engines divided anew")
	}
	for group, d := range desks {
		d.setUpstreams(engines[group])
	}
}

// choose returns the group for a request of a host, and the one that is used
// while that is busy.
func (g *groups) choose(host quetzalhook.HostID, position float64, prompt []quetzalhook.PromptPart) (home, second int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	home = g.division.Home(position, prompt)
	return home, g.division.Second(host, home)
}

// count returns the number of groups.
func (g *groups) count() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.division.Groups()
}

// of returns the group of an engine.
func (g *groups) of(id quetzalhook.UpstreamID) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.division.Of(id)
}

// desk returns the desk of a group.
func (g *groups) desk(group int) *desk {
	g.mu.Lock()
	d := g.desks[group]
	if d != nil {
		g.mu.Unlock()
		return d
	}
	d = newDesk(g.clock, g.log)
	g.desks[group] = d
	engines := g.engines[group]
	g.mu.Unlock()
	d.setUpstreams(engines)
	return d
}

// forget ends a request that has no decision yet.
func (g *groups) forget(id quetzalhook.RequestID) {
	for _, d := range g.list() {
		d.end(id, quetzalhook.AttemptEnd{End: quetzalhook.EndCallerGone})
	}
}

// list returns all desks.
func (g *groups) list() []*desk {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Collect(maps.Values(g.desks))
}

// tick does the periodic work of all desks.
func (g *groups) tick(self quetzalhook.HostID) {
	for _, d := range g.list() {
		d.tick(self)
	}
}
