package trial

import (
	"fmt"
	"math/rand/v2"
	"time"

	"quetzalhook"
	"quetzalhook/internal/state/invariant"
)

// Config describes the load and the hosts of a run.
type Config struct {
	Workload Workload
	Seed     uint64
	Hosts    int
	// Duration is the time during which requests arrive. The run goes on until all
	// requests have ended, but for at most maxDrainTime.
	Duration time.Duration
	// Limits are the customer limits that are passed to every policy.
	Limits map[quetzalhook.CustomerID]quetzalhook.CustomerLimit
}

// Run simulates one policy under one condition. policy is the name in the
// Result.
func Run(cfg Config, row Row, policy string, build Constructor) Result {
	return runSimulation(newSimulation(cfg, row, build), policy)
}

// runSimulation schedules the arrivals, the periodic calls and the fault, runs
// the simulation and returns its result.
func runSimulation(s *simulation, policy string) Result {
	for _, h := range s.hosts {
		h.policy.SetLimits(s.clock(), s.cfg.Limits)
		h.setUpstreams(s.listed)
	}
	for _, r := range s.requests {
		s.schedule(r.arrived, func() { r.host.submit(r) })
	}
	for i, h := range s.hosts {
		offset := time.Duration(i) * tickPeriod / time.Duration(len(s.hosts))
		s.scheduleEvery(offset, tickPeriod, h.tick)
		s.scheduleEvery(offset+time.Duration(i)*gossipPeriod/time.Duration(len(s.hosts)), gossipPeriod, h.gossip)
	}
	for i, e := range s.engines {
		if e.Kind == quetzalhook.KindEngine {
			s.scheduleEvery(time.Duration(i)*reportPeriod/time.Duration(len(s.engines)), reportPeriod, func() { s.sendReport(e) })
		}
	}
	if s.row.fault != nil {
		s.row.fault(s)
	}
	s.runEvents()
	s.checkMustFinish()
	return measure(s, policy)
}

// newSimulation returns a simulation with its engines, hosts and requests.
func newSimulation(cfg Config, row Row, build Constructor) *simulation {
	sim := &simulation{
		cfg: cfg, row: row, byID: make(map[quetzalhook.UpstreamID]*engine), reportDelay: defaultReportDelay,
		listed: cfg.Workload.upstreams(), rng: rand.New(rand.NewPCG(cfg.Seed, 7)), registry: invariant.New(nil),
		ruleCounts: make(ruleCounts),
	}
	for i, u := range sim.listed {
		e := &engine{
			Upstream: u, sim: sim, speed: 1, up: true, cache: newLRU(cacheTokens),
			rng: rand.New(rand.NewPCG(cfg.Seed, 1000+uint64(i))),
		}
		sim.engines = append(sim.engines, e)
		sim.byID[u.ID] = e
	}
	for i := range cfg.Hosts {
		region := cfg.Workload.Regions[i%len(cfg.Workload.Regions)]
		h := &host{
			sim: sim, id: quetzalhook.HostID(fmt.Sprintf("host-%d", i)), region: region,
			peers: make(map[quetzalhook.HostID]peerState), open: make(map[quetzalhook.RequestID]*request),
			leavingSince: make(map[quetzalhook.UpstreamID]time.Duration),
		}
		h.policy = build(Env{
			Host: h.id, Hosts: cfg.Hosts, Region: region, Seed: cfg.Seed + uint64(i), Invariants: sim.registry,
			Rules: sim.ruleCounts,
		})
		sim.hosts = append(sim.hosts, h)
	}
	sim.requests = generate(cfg, row, sim.hosts)
	sim.unfinished = len(sim.requests)
	return sim
}

// sendReport sends a load report of e to all hosts; it arrives after
// reportDelay.
func (s *simulation) sendReport(e *engine) {
	if !e.up || e.silent && !e.reportsWhileSilent {
		return
	}
	l := e.takeReport()
	taken := s.now
	s.scheduleAfter(s.reportDelay, func() {
		l.Age = s.now - taken
		for _, h := range s.hosts {
			h.observeLoad(l)
		}
	})
}

// check checks an invariant and adds the virtual time to the details.
func (s *simulation) check(name string, ok bool, details ...any) {
	s.registry.Check(name, ok, append(details, "at", s.now)...)
}

// checkMustFinish checks after a run that all requests of must-finish classes
// were served.
func (s *simulation) checkMustFinish() {
	for _, r := range s.requests {
		if r.Class.MustFinish() {
			finished := r.done && r.refused == ""
			s.check(invariant.NoStarvation, finished, "request", r.ID, "class", r.Class.Name(), "received", r.received,
				"refused", r.refused)
		}
	}
}
