package trial

import (
	"time"

	"quetzalhook"
)

const (
	burstStart    = 20 * time.Second
	burstDuration = 10 * time.Second
	faultStart    = 22 * time.Second
	// reclaimNotice is how long before a reclaim the platform announces it.
	reclaimNotice      = 4 * time.Second
	crashDuration      = 15 * time.Second
	laggingReportDelay = 2 * time.Second
	stragglerSpeed     = 0.1
)

// Row is one condition under which policies are compared. It is a row of the
// table of results.
type Row struct {
	Name string
	// Burst is the arrival rate of urgent requests during the burst, as a multiple
	// of the rate that all engines can serve; 0 means no burst.
	Burst float64
	// Load multiplies the arrival rates of all classes; values below 1 count as
	// 1.
	Load float64
	// Skewed sends all requests of the burst to one host.
	Skewed bool
	// Fits reports whether the capacity that remains during the fault and the burst
	// is enough for the urgent requests alone. If so, the attainment target applies
	// to the whole run.
	Fits bool
	// fault schedules the fault of the condition; nil means no fault.
	fault func(*simulation)
}

// Rows returns all conditions.
func Rows() []Row {
	return []Row{
		{Name: "calm", Fits: true},
		{Name: "overload", Load: 2},
		{Name: "burst-fits", Burst: 0.8, Fits: true},
		{Name: "burst-one-host", Burst: 0.5, Skewed: true, Fits: true},
		{Name: "burst", Burst: 3},
		{Name: "lagging-reports", Burst: 0.8, Fits: true, fault: lagReports},
		{Name: "straggler", Fits: true, fault: slowEngine},
		{Name: "silent", Fits: true, fault: silenceEngine},
		{Name: "silent-streams", Fits: true, fault: silenceStreams},
		{Name: "crash", Fits: true, fault: crash},
		{Name: "reclaim-fits", Burst: 0.6, Fits: true, fault: reclaimWithNotice},
		{Name: "three-faults", Burst: 0.6, Fits: true, fault: threeFaults},
		{Name: "reclaim", Burst: 3, fault: reclaimWithNotice},
		{Name: "reclaim-sudden", Burst: 3, fault: reclaimWithoutNotice},
	}
}

// threeFaults combines late load reports, a slow engine and a crash.
func threeFaults(s *simulation) {
	lagReports(s)
	slowEngine(s)
	crash(s)
}

// lagReports delays all load reports for the whole run.
func lagReports(s *simulation) { s.reportDelay = laggingReportDelay }

// slowEngine slows one engine down until the end of the run.
func slowEngine(s *simulation) {
	s.schedule(faultStart, func() { s.engines[3].speed = stragglerSpeed })
}

// silenceEngine makes an engine accept requests and never answer, until the end
// of the run. The engine sends no load reports either.
func silenceEngine(s *simulation) {
	s.schedule(faultStart, func() { s.engines[5].silent = true })
}

// silenceStreams is like silenceEngine, but the engine still sends load reports.
func silenceStreams(s *simulation) {
	s.schedule(faultStart, func() { s.engines[5].silent, s.engines[5].reportsWhileSilent = true, true })
}

// crash crashes one engine and restarts it after crashDuration.
func crash(s *simulation) {
	s.schedule(faultStart, func() {
		e := s.engines[4]
		e.crash()
		s.scheduleAfter(crashDuration, e.restart)
	})
}

// reclaimWithNotice announces the reclaim of all cheap upstreams of the first
// zone and stops them after reclaimNotice.
func reclaimWithNotice(s *simulation) {
	s.schedule(faultStart, func() {
		for _, e := range s.cheapInFirstZone() {
			e.leaving = true
			s.setListedState(e.ID, quetzalhook.UpstreamLeaving)
			s.scheduleAfter(reclaimNotice, func() {
				e.crash()
				s.setListedState(e.ID, quetzalhook.UpstreamGone)
			})
		}
	})
}

// reclaimWithoutNotice stops all cheap upstreams of the first zone at once.
func reclaimWithoutNotice(s *simulation) {
	s.schedule(faultStart, func() {
		for _, e := range s.cheapInFirstZone() {
			e.crash()
			s.setListedState(e.ID, quetzalhook.UpstreamGone)
		}
	})
}

func (s *simulation) cheapInFirstZone() []*engine {
	var list []*engine
	for _, e := range s.engines {
		if e.Cheap && e.Zone == s.engines[0].Zone {
			list = append(list, e)
		}
	}
	return list
}

// setListedState changes the state of an upstream in the platform's list. The
// hosts see the change after listDelay.
func (s *simulation) setListedState(id quetzalhook.UpstreamID, state quetzalhook.UpstreamState) {
	s.scheduleAfter(listDelay, func() {
		for i := range s.listed {
			if s.listed[i].ID == id {
				s.listed[i].State = state
			}
		}
		for _, h := range s.hosts {
			h.setUpstreams(s.listed)
		}
	})
}
