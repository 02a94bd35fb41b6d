package host

import (
	"cmp"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"quetzalhook"
	"quetzalhook/internal/fleet/division"
	"quetzalhook/internal/fleet/quota"
	"quetzalhook/internal/record/routing"
	"quetzalhook/internal/traffic/throttle"
	"quetzalhook/internal/traffic/warmup"
)

// coldLimits keeps the requests to upstreams that have just started within their bound.
// Its fields are nil if the settings set no bound.
type coldLimits struct {
	starts            *warmup.Tracker
	places            *quota.Places
	engines, services *throttle.Cold
}

// assembleColdLimits creates the components that limit requests to cold upstreams.
func (h *Host) assembleColdLimits() {
	if h.settings.ColdOver <= 0 && h.settings.ColdSlack <= 0 {
		return
	}
	// The clock of the host counts from the boot of the machine.
	wall := time.Now().Round(0).Add(h.started.Sub(h.clock.Now()))
	h.cold.starts = warmup.New(warmup.WithReport(h.logStart), warmup.WithStarted(h.started, wall))
	h.cold.places = quota.New(h.settings.Host, h.started)
	h.cold.engines = throttle.NewCold(h.cold.starts, h.enginePlace)
	h.cold.services = throttle.NewCold(h.cold.starts, h.cold.places.OfService)
	h.meter.Publish("upstreams-cold", func() any { return h.cold.starts.Cold(h.clock.Now()) })
}

// startsOrNil returns the starts of upstreams as an interface that is nil if they are
// not followed.
func (h *Host) startsOrNil() quetzalhook.Starts {
	if h.cold.starts == nil {
		return nil
	}
	return h.cold.starts
}

// observeStarts takes a new list of upstreams.
func (h *Host) observeStarts(table *routing.Table, list []quetzalhook.Upstream) {
	if h.cold.starts == nil {
		return
	}
	h.cold.starts.Update(h.clock.Now(), list, func(service string) warmup.Setting {
		s := table.Service(service)
		if s == nil || s.ColdRate <= 0 {
			return warmup.Setting{}
		}
		return warmup.Setting{Time: s.ColdTime, Bound: s.ColdRate*h.settings.ColdOver + h.settings.ColdSlack}
	})
	listed := func(id quetzalhook.UpstreamID) bool {
		_, ok := slices.BinarySearchFunc(list, id, func(u quetzalhook.Upstream, id quetzalhook.UpstreamID) int {
			return cmp.Compare(u.ID, id)
		})
		return ok
	}
	h.cold.engines.Retain(listed)
	h.cold.services.Retain(listed)
}

// observePlaces takes the current view of the fleet. It is called with each heartbeat,
// so that a view that has just changed is not taken for an old one.
func (h *Host) observePlaces() {
	if h.cold.places == nil {
		return
	}
	h.cold.places.Observe(h.clock.Now(), h.fleetView())
}

// fleetView returns all hosts that exist and do not stop, also silent ones, and those of
// them that have the most processor time; see Host.leader.
func (h *Host) fleetView() quota.View {
	v := quota.View{Groups: h.engineDispatcher.Groups()}
	most := 0.0
	add := func(id quetzalhook.HostID, processors float64) {
		v.Hosts = append(v.Hosts, id)
		if processors > most {
			most, v.Leaders = processors, nil
		}
		if processors == most {
			v.Leaders = append(v.Leaders, id)
		}
	}
	if !h.draining.Load() {
		add(h.settings.Host, h.settings.ProcessorShare*h.settings.Processors)
	}
	for _, m := range h.members.Members() {
		if !m.Draining {
			add(m.Host, m.Processors)
		}
	}
	slices.Sort(v.Hosts)
	slices.Sort(v.Leaders)
	return v
}

// enginePlace returns the place of this host among those that may send to a cold engine.
func (h *Host) enginePlace(now time.Time, id quetzalhook.UpstreamID) int {
	return h.cold.places.OfEngine(now, func(groups int) string { return leaderKey(division.GroupAmong(id, groups)) })
}

// logStart logs that an upstream counts as cold.
func (h *Host) logStart(c warmup.Change) {
	h.log.WithFields(logrus.Fields{"upstream": c.Upstream, "cause": c.Cause, "cold-ms": c.For.Milliseconds()}).Info("upstream counts as cold")
}
