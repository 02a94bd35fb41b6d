package scenario

import (
	"context"
	"fmt"
	"sort"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"quetzalhook"
	"quetzalhook/internal/bench/workload"
	"quetzalhook/internal/platform/memory"
	"quetzalhook/internal/standin/engine"
	"quetzalhook/internal/state/timing"
)

// Names of the faults.
const (
	FaultBurst            = "burst"
	FaultPlatformOutage   = "platform-outage"
	FaultLostAnswer       = "lost-answer"
	FaultLaggingReports   = "lagging-reports"
	FaultStraggler        = "straggler"
	FaultEngineCrash      = "engine-crash"
	FaultZoneReclaim      = "zone-reclaim"
	FaultKeyWithdrawal    = "key-withdrawal"
	FaultHostKill         = "host-kill"
	FaultHostStop         = "host-stop"
	FaultSilentConnection = "silent-connection"
	FaultOperatorsRace    = "operators-race"
)

const (
	stragglerFactor = 10.0
	reportLagMS     = 2000
	eventGap        = 5
	lostAnswers     = 3
	reclaimNotice   = 2 * time.Second
)

// faultStep starts, changes or ends a fault when a fraction of the run has passed.
type faultStep struct {
	at     float64 // fraction of the run
	inject func(context.Context, *system) error
}

// schedules holds the steps of each fault. Where possible, different faults
// affect different engines and hosts, so that combined faults do not cancel each
// other.
var schedules = map[string][]faultStep{
	FaultBurst: {},
	FaultPlatformOutage: {
		{0.30, storeFaults(func(f *memory.Faults) { f.Outage = true })},
		{0.60, storeFaults(func(f *memory.Faults) { f.Outage = false })},
	},
	FaultLostAnswer: {
		{0.10, loseAnswers}, {0.25, loseAnswers}, {0.40, loseAnswers}, {0.55, loseAnswers}, {0.70, loseAnswers}, {0.85, loseAnswers},
	},
	FaultLaggingReports: {
		{0, engineFaults(0, zones*enginesPerZone, func(f *engine.Faults) {
			f.ReportLagMS, f.EventLagMS, f.EventGap = reportLagMS, reportLagMS, eventGap
		})},
	},
	FaultStraggler: {
		{0.25, engineFaults(0, 2, func(f *engine.Faults) { f.Straggler = stragglerFactor })},
		{0.75, engineFaults(0, 2, func(f *engine.Faults) { f.Straggler = 1 })},
	},
	FaultEngineCrash: {
		{0.25, engineFaults(2, 3, func(f *engine.Faults) { f.Crash = true })},
		{0.45, engineFaults(7, 8, func(f *engine.Faults) { f.Crash = true })},
		{0.65, engineFaults(2, 3, func(f *engine.Faults) { f.Crash = false })},
	},
	FaultZoneReclaim: {
		{0.35, reclaimZone(1, reclaimNotice)},
		{0.65, reclaimZone(2, 0)},
	},
	FaultKeyWithdrawal: {{0.40, withdrawKey}},
	FaultHostKill: {
		{0.35, func(_ context.Context, s *system) error { return s.hosts[1].kill() }},
		{0.60, func(ctx context.Context, s *system) error { return s.hosts[1].start(ctx) }},
	},
	FaultHostStop: {
		{0.40, stopHost(4)},
		{0.75, func(ctx context.Context, s *system) error { return s.hosts[4].start(ctx) }},
	},
	FaultSilentConnection: {
		{0.30, engineFaults(8, 11, func(f *engine.Faults) { f.Silent = true })},
		{0.50, silenceConnections},
		{0.70, engineFaults(12, 15, func(f *engine.Faults) { f.Silent = true })},
	},
	FaultOperatorsRace: {{0.30, raceOperators}, {0.65, raceOperators}},
}

// Faults returns the names of all faults in alphabetical order.
func Faults() []string {
	names := make([]string, 0, len(schedules))
	for name := range schedules {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// addBursts adds the bursts of FaultBurst to a workload: one with six times the
// rate of its most urgent class, and later one with eight times the rate of its
// least urgent class.
func addBursts(w workload.Workload) workload.Workload {
	urgent, last := w.Classes[0].Name, w.Classes[len(w.Classes)-1].Name
	w.Bursts = append(append([]workload.Burst(nil), w.Bursts...),
		workload.Burst{Class: urgent, From: 0.20, To: 0.28, Factor: 6},
		workload.Burst{Class: last, From: 0.50, To: 0.60, Factor: 8},
	)
	return w
}

// injectFaults runs the steps of all faults at their times and returns when all
// have ended. When ctx ends, the remaining steps are dropped.
func (s *system) injectFaults(ctx context.Context, begin time.Time) {
	var group sync.WaitGroup
	for _, name := range s.settings.Faults {
		for _, next := range schedules[name] {
			group.Go(func() {
				at := time.Duration(next.at * float64(s.settings.Duration))
				if !timing.Sleep(ctx, time.Until(begin.Add(at))) {
					return
				}
				log := s.log.WithFields(logrus.Fields{"fault": name, "at": at})
				if err := next.inject(ctx, s); err != nil {
					log.WithError(err).Error("fault step failed")
					s.mu.Lock()
					s.failedSteps = append(s.failedSteps, fmt.Sprintf("%s at %s: %v", name, at, err))
					s.mu.Unlock()
					return
				}
				log.Info("fault step done")
			})
		}
	}
	group.Wait()
}

// storeFaults returns a step that changes the faults of the platform's store.
func storeFaults(change func(*memory.Faults)) func(context.Context, *system) error {
	return func(_ context.Context, s *system) error {
		s.mu.Lock()
		defer s.mu.Unlock()
		f := s.backend.cloud.Store().Faults()
		change(&f)
		s.backend.cloud.Store().SetFaults(f)
		return nil
	}
}

// loseAnswers makes the platform lose the responses of the next order and of the
// next writes to its store.
func loseAnswers(ctx context.Context, s *system) error {
	s.backend.cloud.LoseOrderAnswers(1)
	return storeFaults(func(f *memory.Faults) { f.LoseAnswers += lostAnswers })(ctx, s)
}

// engineFaults returns a step that changes the faults of the engines with the
// numbers from first to last-1.
func engineFaults(first, last int, change func(*engine.Faults)) func(context.Context, *system) error {
	return func(_ context.Context, s *system) error {
		return s.setEngineFaults(s.backend.engines[first:last], change)
	}
}

func (s *system) setEngineFaults(list []engineStandin, change func(*engine.Faults)) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range list {
		f := e.Faults()
		change(&f)
		if err := e.SetFaults(f); err != nil {
			return err
		}
	}
	return nil
}

// reclaimZone returns a step in which the platform reclaims the cheap engines of
// zone number zone. If notice is positive, they are listed as leaving for that
// long before they stop.
func reclaimZone(zone int, notice time.Duration) func(context.Context, *system) error {
	return func(ctx context.Context, s *system) error {
		cheap := s.backend.cheapEngines(zone)
		if notice > 0 {
			s.setUpstreamStates(cheap, quetzalhook.UpstreamLeaving)
			if err := s.setEngineFaults(cheap, func(f *engine.Faults) { f.Leaving = true }); err != nil {
				return err
			}
			timing.Sleep(ctx, notice)
		}
		s.setUpstreamStates(cheap, quetzalhook.UpstreamGone)
		return s.setEngineFaults(cheap, func(f *engine.Faults) { f.Crash = true })
	}
}

func (s *system) setUpstreamStates(list []engineStandin, state quetzalhook.UpstreamState) {
	for _, e := range list {
		s.backend.cloud.SetUpstreamState(quetzalhook.UpstreamID(e.upstream.Name), state)
	}
}

// silenceConnections makes the open connections of one service and of the
// platform stop responding, without closing them.
func silenceConnections(_ context.Context, s *system) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	svc := s.backend.services[0]
	f := svc.Faults()
	f.Silent = true
	s.backend.platform.Silence()
	return svc.SetFaults(f)
}
