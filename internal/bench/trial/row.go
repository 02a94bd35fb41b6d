package trial

import (
	"time"

	"quetzalhook"
)

const (
	burstStart  = 20 * time.Second
	burstLength = 10 * time.Second
	faultStart  = 22 * time.Second
	// reclaimNotice is what the platform gives before it takes cheap upstreams.
	reclaimNotice = 4 * time.Second
	crashLength   = 15 * time.Second
	laggingReport = 2 * time.Second
	straggling    = 0.1
)

// Row is one condition under which policies are compared.
type Row struct {
	Name string
	// Burst is the urgent arrival rate during the burst, as a multiple of what
	// all engines can serve; 0 means no burst.
	Burst float64
	// Load multiplies the arrivals of all classes; 0 stands for 1.
	Load float64
	// Skewed sends the burst's requests to a single host.
	Skewed bool
	// Fits reports whether urgent work alone fits the remaining capacity, so
	// that the attainment target applies to the whole run.
	Fits  bool
	fault func(*world)
}

// Rows returns all conditions.
func Rows() []Row {
	return []Row{
		{Name: "calm", Fits: true},
		{Name: "overload", Load: 2},
		{Name: "burst-fits", Burst: 0.8, Fits: true},
		{Name: "burst-one-host", Burst: 0.5, Skewed: true, Fits: true},
		{Name: "burst", Burst: 3},
		{Name: "lagging-reports", Burst: 0.8, Fits: true, fault: lag},
		{Name: "straggler", Fits: true, fault: straggle},
		{Name: "silent", Fits: true, fault: silence},
		{Name: "silent-streams", Fits: true, fault: silenceStreams},
		{Name: "crash", Fits: true, fault: crash},
		{Name: "reclaim-fits", Burst: 0.6, Fits: true, fault: reclaim},
		{Name: "three-faults", Burst: 0.6, Fits: true, fault: threeFaults},
		{Name: "reclaim", Burst: 3, fault: reclaim},
		{Name: "reclaim-sudden", Burst: 3, fault: reclaimSudden},
	}
}

// threeFaults combines lagging reports, a straggler and a crash.
func threeFaults(w *world) {
	lag(w)
	straggle(w)
	crash(w)
}

func lag(w *world) { w.lag = laggingReport }

func straggle(w *world) {
	w.at(faultStart, func() { w.engines[3].speed = straggling })
}

// silence makes an engine accept requests and answer nothing, for ever; it
// sends no load reports either.
func silence(w *world) {
	w.at(faultStart, func() { w.engines[5].silent = true })
}

// silenceStreams is the same with load reports that go on.
func silenceStreams(w *world) {
	w.at(faultStart, func() { w.engines[5].silent, w.engines[5].reports = true, true })
}

func crash(w *world) {
	w.at(faultStart, func() {
		e := w.engines[4]
		e.crash()
		w.after(crashLength, e.restart)
	})
}

// reclaim takes all cheap upstreams of the first zone after notice.
func reclaim(w *world) {
	w.at(faultStart, func() {
		for _, e := range w.cheapInFirstZone() {
			e.leaving = true
			w.list(e.ID, quetzalhook.UpstreamLeaving)
			w.after(reclaimNotice, func() {
				e.crash()
				w.list(e.ID, quetzalhook.UpstreamGone)
			})
		}
	})
}

func reclaimSudden(w *world) {
	w.at(faultStart, func() {
		for _, e := range w.cheapInFirstZone() {
			e.crash()
			w.list(e.ID, quetzalhook.UpstreamGone)
		}
	})
}

func (w *world) cheapInFirstZone() []*engine {
	var list []*engine
	for _, e := range w.engines {
		if e.Cheap && e.Zone == w.engines[0].Zone {
			list = append(list, e)
		}
	}
	return list
}

// list changes an upstream in the platform's list, which hosts see later.
func (w *world) list(id quetzalhook.UpstreamID, state quetzalhook.UpstreamState) {
	w.after(listLag, func() {
		for i := range w.listed {
			if w.listed[i].ID == id {
				w.listed[i].State = state
			}
		}
		for _, h := range w.hosts {
			h.setUpstreams(w.listed)
		}
	})
}
