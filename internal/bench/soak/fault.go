package soak

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"quetzalhook/internal/platform/memory"
	"quetzalhook/platform/standin"
)

// fault is one entry of a script: a fault to inject into a target at a given
// time after the start of the load, for a given duration.
type fault struct {
	at       time.Duration
	kind     string
	target   int
	duration time.Duration
	variant  string
}

func (f fault) String() string {
	return strings.TrimSpace(fmt.Sprintf("%v %s %d %v %s", f.at, f.kind, f.target, f.duration, f.variant))
}

// faultKind describes a kind of fault: how often scripts contain it, for how
// long, and in which variants. The function inject returns when the fault is
// over.
type faultKind struct {
	name string
	// planned marks maintenance work, which must not cut off any request. About a
	// third of the scripts consist of such faults only.
	planned bool
	// store marks faults of the store only.
	store bool
	// records marks kinds whose function inject records the disturbance.
	records     bool
	weight      int
	minDuration time.Duration
	maxDuration time.Duration
	variants    []string
	inject      func(s *system, f fault)
}

// kinds returns all kinds of faults that a script can contain.
func kinds() []faultKind {
	modes := []string{string(ModeDelay), string(ModeReset), string(ModeBlackhole), string(ModeCutTo), string(ModeCutFrom), string(ModeCut)}
	link := func(proxy func(*host) *Proxy) func(*system, fault) {
		return func(s *system, f fault) { s.disturbHostLink(s.host(f), proxy(s.host(f)), f) }
	}
	return []faultKind{
		{name: "pause", weight: 3, minDuration: 50 * time.Millisecond, maxDuration: 6 * time.Second, inject: (*system).pauseHost},
		{name: "kill", weight: 3, minDuration: 100 * time.Millisecond, maxDuration: 2 * time.Second, inject: (*system).killHost},
		{name: "herd", weight: 1, minDuration: 100 * time.Millisecond, maxDuration: time.Second, inject: (*system).killMost},
		{name: "stop", planned: true, weight: 4, minDuration: 100 * time.Millisecond, maxDuration: time.Second, variants: []string{"", "crowd", "late", "hangup", "configure"}, inject: (*system).stopHost},
		{name: "idle", planned: true, weight: 1, inject: func(s *system, f fault) { s.gather(s.host(f), nil) }},
		{name: "rolling", planned: true, weight: 1, minDuration: 100 * time.Millisecond, maxDuration: time.Second, inject: (*system).stopAll},
		{name: "rolling-outage", store: true, weight: 1, minDuration: 100 * time.Millisecond, maxDuration: time.Second, inject: (*system).stopAllInOutage},
		{name: "stop-kill", weight: 1, minDuration: 100 * time.Millisecond, maxDuration: 7 * time.Second, inject: (*system).killStopping},
		{name: "odd-entry", planned: true, weight: 2, minDuration: 100 * time.Millisecond, maxDuration: 5 * time.Second, variants: standin.OddVariants, inject: (*system).putOddEntry},
		{name: "hangup", planned: true, weight: 1, inject: (*system).reloadHost},
		{name: "configure", planned: true, weight: 4, inject: (*system).changeConfiguration},
		{name: "leave", planned: true, weight: 2, inject: (*system).leaveUpstream},
		{name: "crash", weight: 1, inject: (*system).crashUpstream},
		{name: "callers", weight: 2, minDuration: 100 * time.Millisecond, maxDuration: 5 * time.Second, variants: modes, inject: link(func(h *host) *Proxy { return h.callers })},
		{name: "store-link", weight: 3, minDuration: 500 * time.Millisecond, maxDuration: 9 * time.Second, variants: modes, inject: link(func(h *host) *Proxy { return h.store })},
		{name: "duty-link", weight: 1, minDuration: 500 * time.Millisecond, maxDuration: 6 * time.Second, variants: modes, inject: link(func(h *host) *Proxy { return h.duties })},
		{name: "upstream-link", weight: 2, minDuration: 100 * time.Millisecond, maxDuration: 4 * time.Second, variants: modes, inject: (*system).disturbUpstreamLink},
		{name: "upstream", weight: 5, minDuration: 500 * time.Millisecond, maxDuration: 5 * time.Second, variants: slices.Sorted(maps.Keys(upstreamFaults)), inject: (*system).injectUpstreamFault},
		{name: "store", store: true, weight: 2, minDuration: 500 * time.Millisecond, maxDuration: 9 * time.Second, variants: []string{"refuse", "busy", "silent", "reset", "slow", "lost", "late"}, inject: (*system).injectStoreFault},
		{name: "duties-down", weight: 1, minDuration: 500 * time.Millisecond, maxDuration: 6 * time.Second, inject: (*system).stopDuties},
	}
}

// targetNumbers is the number of distinct target numbers in a script. It exceeds
// the numbers of hosts and upstreams, which are selected modulo their counts.
const targetNumbers = 1000

// generateScript returns the faults of a run, in the order of their times. They
// come alone, overlapping, or in series of 2 to 4 on consecutive targets. If only
// is not empty, it lists the kinds to use, as NAME or NAME/VARIANT.
func generateScript(random *rand.Rand, duration time.Duration, only []string) []fault {
	all := kinds()
	if len(only) > 0 {
		if all = selectKinds(all, only); len(all) == 0 {
			return nil
		}
	} else if random.IntN(3) == 0 {
		all = slices.DeleteFunc(all, func(k faultKind) bool { return !k.planned })
	}
	total := 0
	for _, k := range all {
		total += k.weight
	}
	pick := func() faultKind {
		n := random.IntN(total)
		for _, k := range all {
			if n -= k.weight; n < 0 {
				return k
			}
		}
		return all[0]
	}
	between := func(a, b time.Duration) time.Duration { return a + time.Duration(random.Float64()*float64(b-a)) }
	var script []fault
	for at := between(0, 2*time.Second); at < duration; {
		k := pick()
		f := fault{at: at, kind: k.name, target: random.IntN(targetNumbers), duration: between(k.minDuration, k.maxDuration)}
		if len(k.variants) > 0 {
			f.variant = k.variants[random.IntN(len(k.variants))]
		}
		series := 1
		if random.IntN(4) == 0 {
			series = 2 + random.IntN(3)
		}
		for range series {
			script = append(script, f)
			f.at += between(50*time.Millisecond, 1500*time.Millisecond)
			f.target++
		}
		at += between(100*time.Millisecond, 3*time.Second)
	}
	slices.SortStableFunc(script, func(a, b fault) int { return int(a.at - b.at) })
	return script
}

// selectKinds returns those of the kinds, and of their variants, that only lists.
func selectKinds(all []faultKind, only []string) []faultKind {
	var selected []faultKind
	for _, k := range all {
		if !slices.Contains(only, k.name) {
			k.variants = slices.DeleteFunc(slices.Clone(k.variants), func(v string) bool { return !slices.Contains(only, k.name+"/"+v) })
			if len(k.variants) == 0 {
				continue
			}
		}
		selected = append(selected, k)
	}
	return selected
}

func (s *system) host(f fault) *host { return s.hosts[f.target%len(s.hosts)] }

// withDisturbance injects a fault by calling begin, and ends it by calling end
// after the given duration. The hosts count as disturbed meanwhile.
func (s *system) withDisturbance(hosts []*host, begin, end func(), duration time.Duration) {
	until := time.Now().Add(duration)
	for _, h := range hosts {
		h.disturb(until)
	}
	begin()
	time.Sleep(duration)
	end()
	for _, h := range hosts {
		h.disturb(time.Now())
	}
}

func (s *system) pauseHost(f fault) {
	h := s.host(f)
	s.withDisturbance([]*host{h}, func() { h.signal(syscall.SIGSTOP) }, func() {
		h.signal(syscall.SIGCONT)
		s.recordResume(h)
	}, f.duration)
}

func (s *system) killHost(f fault) { s.killAll([]*host{s.host(f)}, f.duration) }

// killMost kills two thirds of the hosts at the same moment.
func (s *system) killMost(f fault) {
	n := max(len(s.hosts)*2/3, 1)
	var hosts []*host
	for i := range n {
		hosts = append(hosts, s.hosts[(f.target+i)%len(s.hosts)])
	}
	s.killAll(hosts, f.duration)
}

func (s *system) killAll(hosts []*host, down time.Duration) {
	hosts = s.claim(hosts)
	s.withDisturbance(hosts, func() {
		for _, h := range hosts {
			h.signal(syscall.SIGKILL)
		}
	}, func() { s.restart(hosts) }, down)
}

// restart waits until the processes of the hosts have exited, starts them
// again, and releases the hosts. A process that does not exit in time is killed.
func (s *system) restart(hosts []*host) {
	for _, h := range hosts {
		if !h.wait(stopLimit + 2*time.Second) {
			h.signal(syscall.SIGKILL)
			h.wait(stopLimit)
		}
		if err := h.start(s.reportExit); err != nil {
			s.checker.Fail(CheckProcess, "%s: %v", h.name, err)
		}
	}
	s.release(hosts)
}

// stopHost stops a host with SIGTERM and starts it again. It checks the time that
// the stop takes, unless the host is disturbed meanwhile, for example paused.
func (s *system) stopHost(f fault) {
	for _, h := range s.claim([]*host{s.host(f)}) {
		begin := time.Now()
		var during sync.WaitGroup
		switch f.variant {
		case "crowd":
			gathered := make(chan struct{})
			during.Go(func() {
				s.gather(h, func() {
					begin = time.Now()
					h.signal(syscall.SIGTERM)
					close(gathered)
				})
			})
			<-gathered
		case "late":
			during.Go(func() { s.sendLate(h) })
			h.signal(syscall.SIGTERM)
		case "hangup", "configure":
			during.Go(func() {
				for range 3 {
					time.Sleep(f.duration)
					if f.variant == "hangup" {
						s.reload(h)
					} else {
						s.changeConfiguration(f)
					}
				}
			})
			fallthrough
		default:
			h.signal(syscall.SIGTERM)
		}
		if !h.wait(stopLimit) && h.undisturbedSince(begin) {
			s.checker.Fail(CheckGracefulStop, "%s is still running %v after SIGTERM", h.name, stopLimit)
			h.signal(syscall.SIGQUIT) // writes its goroutines to its log
		}
		time.Sleep(f.duration)
		during.Wait()
		h.disturb(time.Now())
		s.restart([]*host{h})
	}
}

// stopAll stops the hosts one after another, each soon after the one before, so
// that the stops overlap.
func (s *system) stopAll(f fault) {
	var stops sync.WaitGroup
	for i := range s.hosts {
		stops.Go(func() { s.stopHost(fault{target: f.target + i, duration: f.duration, variant: f.variant}) })
		time.Sleep(f.duration)
	}
	stops.Wait()
}

// stopAllInOutage stops the hosts one after another while the store is silent, so
// that callers have no list without them.
func (s *system) stopAllInOutage(f fault) {
	var outage sync.WaitGroup
	outage.Go(func() { s.injectStoreFault(fault{duration: stopLimit, variant: "silent"}) })
	f.variant = "late"
	s.stopAll(f)
	outage.Wait()
}

// killStopping kills a host in the middle of its planned stop.
func (s *system) killStopping(f fault) {
	for _, h := range s.claim([]*host{s.host(f)}) {
		h.signal(syscall.SIGTERM)
		h.wait(f.duration)
		s.withDisturbance([]*host{h}, func() { h.signal(syscall.SIGKILL) }, func() { s.restart([]*host{h}) }, 0)
	}
}

// reloadHost rewrites the settings file of a host and sends SIGHUP, so that the
// host reloads it.
func (s *system) reloadHost(f fault) { s.reload(s.host(f)) }

func (s *system) reload(h *host) {
	if err := h.writeSettings(s.zones, s.seeds()); err != nil {
		s.checker.Fail(CheckProcess, "%s: %v", h.name, err)
		return
	}
	h.signal(syscall.SIGHUP)
}

// disturbHostLink sets the proxy p of host h to the mode of the fault.
func (s *system) disturbHostLink(h *host, p *Proxy, f fault) {
	s.withDisturbance([]*host{h}, func() { p.Set(Mode(f.variant)) }, func() { p.Set(ModePass) }, f.duration)
}

// disturbUpstreamLink sets the proxy of an upstream to the mode of the fault.
func (s *system) disturbUpstreamLink(f fault) {
	u := s.upstream(f.target)
	s.checker.UpstreamCut(u.entry.ID)
	s.withDisturbance(s.hosts, func() { u.proxy.Set(Mode(f.variant)) }, func() { u.proxy.Set(ModePass) }, f.duration)
}

// injectUpstreamFault makes an upstream, or all for every second target, mishandle
// a fraction of the requests. An engine leaves during faults of moves, so that there
// are some.
func (s *system) injectUpstreamFault(f fault) {
	set := func(faults standin.UpstreamFaults) func() {
		return func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			for i, u := range s.upstreams {
				if i == f.target%len(s.upstreams) || f.target%2 == 0 {
					u.handler.SetFaults(faults)
				}
			}
		}
	}
	var leave sync.WaitGroup
	s.withDisturbance(nil, func() {
		set(upstreamFaults[f.variant])()
		if strings.HasPrefix(f.variant, "move-") {
			leave.Go(func() { s.leaveUpstream(fault{target: s.engineFrom(f.target)}) })
		}
	}, func() {
		f.target = 0
		set(standin.UpstreamFaults{})()
	}, f.duration)
	leave.Wait()
}

// engineFrom returns the number of the first engine from upstream number i on.
func (s *system) engineFrom(i int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.upstreams[i%len(s.upstreams)].entry.Service != engineGroup {
		i++
	}
	return i
}

// upstreamFaults holds the faults of upstreams by variant.
var upstreamFaults = map[string]standin.UpstreamFaults{
	"fail": {Fail: 0.3}, "lose": {Lose: 0.3}, "extra": {Extra: 0.3}, "page": {Page: 0.3}, "endless": {Endless: 0.5}, "cut": {Cut: 0.3}, "refuse": {Refuse: 0.5},
	"refuse-twice": {Refuse: 0.5, Twice: 0.5}, "refuse-again": {Refuse: 0.5, Again: 0.5}, "twice": {Twice: 0.3}, "again": {Again: 0.3},
	"error-head": {ErrorHead: 0.5}, "error-head-cut": {ErrorHead: 0.5, Cut: 0.5}, "unnoticed": {Unnoticed: 300 * time.Millisecond, Stall: 0.3},
	"move-slow": {MoveSlow: 0.7}, "move-lost": {MoveLost: 0.5}, "move-refuse": {MoveRefuse: 0.7},
}

// injectStoreFault injects a fault into all calls of the store or, for the
// variants lost and late, into writes of leases.
func (s *system) injectStoreFault(f fault) {
	set := func(faults standin.StoreFaults, memoryFaults memory.Faults) {
		s.store.SetFaults(faults)
		s.memory.SetFaults(memoryFaults)
	}
	leaseFaults := memory.Faults{LosePrefix: "lease/"}
	var faults standin.StoreFaults
	switch f.variant {
	case "refuse":
		faults.Status = http.StatusServiceUnavailable
	case "busy":
		faults.Status = http.StatusTooManyRequests
	case "silent":
		faults.Silent = true
	case "reset":
		faults.Reset = true
	case "slow":
		faults.Delay = 240 * time.Millisecond
	case "lost":
		leaseFaults.LoseAnswers = 10
	case "late":
		leaseFaults.LateChanges, leaseFaults.LateBy = 3, 2*time.Second
	}
	s.withDisturbance(s.hosts, func() { set(faults, leaseFaults) }, func() { set(standin.StoreFaults{}, memory.Faults{}) }, f.duration)
}

// stopDuties makes all duty calls fail.
func (s *system) stopDuties(f fault) {
	s.withDisturbance(nil, func() { s.duties.SetDown(true) }, func() { s.duties.SetDown(false) }, f.duration)
}
