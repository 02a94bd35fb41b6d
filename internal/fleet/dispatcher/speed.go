package dispatcher

import (
	"github.com/sirupsen/logrus"

	"quetzalhook/internal/traffic/schedule"
	"quetzalhook/internal/traffic/speed"
)

// noCalls stands for the estimates of plain services on a host without them.
type noCalls struct{}

func (noCalls) TakeSpeeds() []speed.Report  { return nil }
func (noCalls) ReturnSpeeds([]speed.Report) {}
func (noCalls) AddSpeeds([]speed.Report)    {}
func (noCalls) Speeds() []speed.Report      { return nil }
func (noCalls) SetSpeeds([]speed.Report)    {}

// Speeds returns the estimates of the speed of the engines in all groups that this host
// uses.
func (d *Dispatcher) Speeds() schedule.Speeds {
	var all schedule.Speeds
	for _, s := range d.groups.list() {
		list := s.knownSpeeds()
		all.Kinds = append(all.Kinds, list.Kinds...)
		all.Engines = append(all.Engines, list.Engines...)
	}
	all.Engines = speed.Largest(all.Engines)
	return all
}

// logSpeeds logs the estimate of each kind of engine in the groups that this host
// leads, and the engines that differ most from their kind.
func (d *Dispatcher) logSpeeds() {
	for group := range d.groups.count() {
		if d.settings.Leader(group) != d.settings.Host {
			continue
		}
		list := d.groups.scheduler(group).knownSpeeds()
		for _, k := range list.Kinds {
			d.log.WithFields(logrus.Fields{
				"group": group, "service": k.Service, "scale": k.Scale,
			}).Info("speed of a kind of engine")
		}
		for _, r := range list.Engines[:min(len(list.Engines), maxLoggedEngines)] {
			d.log.WithFields(logrus.Fields{"group": group, "upstream": r.Upstream, "factor": r.Ratio}).Info("engine of another speed")
		}
	}
}

// maxLoggedEngines bounds the engines that logSpeeds names for each group.
const maxLoggedEngines = 8
