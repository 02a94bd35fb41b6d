package trial

import (
	"fmt"
	"math/rand/v2"
	"time"

	"quetzalhook"
	"quetzalhook/internal/state/invariant"
)

// Config describes a comparison.
type Config struct {
	Workload Workload
	Seed     uint64
	Hosts    int
	// Duration is how long requests arrive; the run goes on until all ended.
	Duration time.Duration
	// Limits are given to every policy.
	Limits map[quetzalhook.CustomerID]quetzalhook.CustomerLimit
}

// Run runs one policy under one condition.
func Run(cfg Config, row Row, policy string, build Constructor) Result {
	return runWorld(newWorld(cfg, row, build), policy)
}

func runWorld(w *world, policy string) Result {
	for _, h := range w.hosts {
		h.policy.SetLimits(w.clock(), w.cfg.Limits)
		h.setUpstreams(w.listed)
	}
	for _, r := range w.requests {
		w.at(r.arrived, func() { r.host.submit(r) })
	}
	for i, h := range w.hosts {
		offset := time.Duration(i) * tickPeriod / time.Duration(len(w.hosts))
		w.every(offset, tickPeriod, h.tick)
		w.every(offset+time.Duration(i)*gossipPeriod/time.Duration(len(w.hosts)), gossipPeriod, h.gossip)
	}
	for i, e := range w.engines {
		if e.Kind == quetzalhook.KindEngine {
			w.every(time.Duration(i)*reportPeriod/time.Duration(len(w.engines)), reportPeriod, func() { w.publish(e) })
		}
	}
	if w.row.fault != nil {
		w.row.fault(w)
	}
	w.loop()
	w.checkEnd()
	return measure(w, policy)
}

func newWorld(cfg Config, row Row, build Constructor) *world {
	w := &world{
		cfg: cfg, row: row, byID: make(map[quetzalhook.UpstreamID]*engine), lag: reportLag,
		listed: cfg.Workload.upstreams(), rng: rand.New(rand.NewPCG(cfg.Seed, 7)), registry: invariant.New(nil),
		rules: make(rules),
	}
	for i, u := range w.listed {
		e := &engine{
			Upstream: u, w: w, speed: 1, up: true, cache: newLRU(cacheTokens),
			rng: rand.New(rand.NewPCG(cfg.Seed, 1000+uint64(i))),
		}
		w.engines = append(w.engines, e)
		w.byID[u.ID] = e
	}
	for i := range cfg.Hosts {
		region := cfg.Workload.Regions[i%len(cfg.Workload.Regions)]
		h := &host{
			w: w, id: quetzalhook.HostID(fmt.Sprintf("host-%d", i)), region: region,
			peers: make(map[quetzalhook.HostID]peerState), live: make(map[quetzalhook.RequestID]*request),
			leavingSince: make(map[quetzalhook.UpstreamID]time.Duration),
		}
		h.policy = build(Env{
			Host: h.id, Hosts: cfg.Hosts, Region: region, Seed: cfg.Seed + uint64(i), Invariants: w.registry,
			Rules: w.rules,
		})
		w.hosts = append(w.hosts, h)
	}
	w.requests = generate(cfg, row, w.hosts)
	w.open = len(w.requests)
	return w
}

// publish sends a load report of e to all hosts; it arrives after the lag.
func (w *world) publish(e *engine) {
	if !e.up || e.silent && !e.reports {
		return
	}
	l := e.report()
	taken := w.now
	w.after(w.lag, func() {
		l.Age = w.now - taken
		for _, h := range w.hosts {
			h.observe(l)
		}
	})
}

func (w *world) check(name string, ok bool, details ...any) {
	w.registry.Check(name, ok, append(details, "at", w.now)...)
}

// checkEnd checks what must hold when the run is over.
func (w *world) checkEnd() {
	for _, r := range w.requests {
		if r.Class.MustFinish() {
			finished := r.done && r.refused == ""
			w.check(invariant.NoStarvation, finished, "request", r.ID, "class", r.Class.Name(), "received", r.received,
				"refused", r.refused)
		}
	}
}
