package dispatcher

import (
	"maps"
	"slices"
	"sync"

	"github.com/sirupsen/logrus"

	"quetzalhook"
	"quetzalhook/internal/fleet/division"
	"quetzalhook/internal/traffic/schedule"
)

// groups divides the engines into groups and keeps a scheduler for each group
// that this host uses or that other hosts call it for.
type groups struct {
	clock quetzalhook.Clock
	log   logrus.FieldLogger
	// options returns the options of a group's scheduler.
	options func(group int) []schedule.Option

	mu         sync.Mutex
	division   division.Division
	engines    map[int][]quetzalhook.Upstream // by group
	schedulers map[int]*groupScheduler
}

func newGroups(clock quetzalhook.Clock, log logrus.FieldLogger, options func(group int) []schedule.Option) *groups {
	return &groups{clock: clock, log: log, options: options, schedulers: make(map[int]*groupScheduler)}
}

// setUpstreams replaces the engines and assigns them to groups.
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
		group := g.division.GroupOf(u.ID)
		g.engines[group] = append(g.engines[group], u)
	}
	schedulers := maps.Clone(g.schedulers)
	engines := g.engines
	g.mu.Unlock()
	if count != before {
		g.log.WithField("groups", count).WithField("before", before).WithField("engines", ready).Info("engines divided anew")
	}
	for group, s := range schedulers {
		s.setUpstreams(engines[group])
	}
}

// choose returns the home group for a request of a host, and the group to use
// while the home group is busy. The home of a request whose scope is restricted is a
// group with an engine in it, if there is one.
func (g *groups) choose(host quetzalhook.HostID, position float64, r quetzalhook.Request) (home, second int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	home = g.division.Home(position, r.Parts)
	scope := r.Scope()
	if count := g.division.Groups(); scope.IsRestricted() && count > 1 {
		for i := range count {
			if group := (home + i) % count; serves(g.engines[group], r) {
				home = group
				break
			}
		}
	}
	return home, g.division.Second(host, home)
}

// serves reports whether one of the engines is ready for a request, as far as its
// service, its model and its scope go.
func serves(engines []quetzalhook.Upstream, r quetzalhook.Request) bool {
	scope := r.Scope()
	return slices.ContainsFunc(engines, func(u quetzalhook.Upstream) bool {
		return u.State == quetzalhook.UpstreamReady && !u.Evacuated && u.Service == r.Service && scope.Allows(u.Region, u.Build) && slices.Contains(u.Models, r.Model)
	})
}

// count returns the number of groups.
func (g *groups) count() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.division.Groups()
}

// groupOf returns the group of an engine.
func (g *groups) groupOf(id quetzalhook.UpstreamID) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.division.GroupOf(id)
}

// scheduler returns the scheduler of a group and creates it on first use.
func (g *groups) scheduler(group int) *groupScheduler {
	g.mu.Lock()
	s := g.schedulers[group]
	if s != nil {
		g.mu.Unlock()
		return s
	}
	s = newGroupScheduler(g.clock, g.log, g.options(group))
	g.schedulers[group] = s
	engines := g.engines[group]
	g.mu.Unlock()
	s.setUpstreams(engines)
	return s
}

// cancel removes a request that has no decision yet from all schedulers.
func (g *groups) cancel(id quetzalhook.RequestID) {
	for _, s := range g.list() {
		s.end(id, quetzalhook.AttemptEnd{End: quetzalhook.EndCallerGone})
	}
}

// list returns all schedulers.
func (g *groups) list() []*groupScheduler {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Collect(maps.Values(g.schedulers))
}

// takeReliefs returns and removes the decisions to take requests of a host away.
func (g *groups) takeReliefs(host quetzalhook.HostID) (list []schedule.Relief) {
	for _, s := range g.list() {
		list = append(list, s.takeReliefs(host)...)
	}
	return list
}

// tick runs the periodic work of all schedulers.
func (g *groups) tick(self quetzalhook.HostID) {
	for _, s := range g.list() {
		s.tick(self)
	}
}
