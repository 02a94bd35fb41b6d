// Command trial plays one case of the review: it starts the hosts as processes, with
// stand-ins for the platform, the workers and the callers, and checks one rule.
//
// It exits with status 1 if the rule was broken, 0 if it held, and 2 if the case could
// not run.
package main

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	engines     = 18
	desks       = 3
	engineSlots = 64
	deskSlots   = 6
)

// trial is one run of a case.
type trial struct {
	*system
	*clients
	trouble bool
	workers []*worker
	models  []string

	mu      sync.Mutex
	crashes []time.Time
	reached []time.Time // arrivals at workers of requests with the deadly part
}

// cases maps the names of the cases to functions that report whether the rule held.
var cases = map[string]func(*trial) (bool, error){
	"seal":   (*trial).seal,
	"memory": (*trial).memory,
	"parts":  func(t *trial) (bool, error) { return t.deadlyPart(manyParts) },
	"bursts": func(t *trial) (bool, error) { return t.deadlyPart(atOnce) },
	"watch":  (*trial).watch,
	// One more fault, which is not among the five cases.
	"models": func(t *trial) (bool, error) { return t.deadlyPart(manyModels) },
	// A control that holds: three parts, one model, one request a second.
	"plain": func(t *trial) (bool, error) { return t.deadlyPart(plain) },
}

func main() {
	name := flag.String("case", "", "name of the case")
	trouble := flag.Bool("trouble", true, "with the disruption")
	out := flag.String("out", "record.txt", "file for the record")
	program := flag.String("program", "target/quetzalhook", "program of the hosts")
	flag.Parse()
	held, err := play(*name, *trouble, *out, *program)
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "trial:", err)
		os.Exit(2)
	case !held:
		os.Exit(1)
	}
}

func play(name string, trouble bool, out, program string) (bool, error) {
	run := cases[name]
	if run == nil {
		return false, fmt.Errorf("no case %q", name)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 115*time.Second)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	file, err := os.Create(out)
	if err != nil {
		return false, err
	}
	defer func() { _ = file.Close() }()
	dir, err := os.MkdirTemp("", "trial")
	if err != nil {
		return false, err
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println(dir)
	}
	r := &recorder{start: time.Now(), out: bufio.NewWriter(file)}
	defer r.flush()
	s := newSystem(ctx, r, program, dir)
	defer s.close()
	t := &trial{system: s, trouble: trouble, models: []string{"m"}}
	if name == "models" {
		t.models = []string{"m1", "m2", "m3", "m4", "m5", "m6"}
	}
	return run(t)
}

// begin starts everything but the traffic.
func (t *trial) begin(events int, configure func(*worker)) error {
	t.clients = newClients(t.system, events)
	for i := range engines + desks {
		w := &worker{
			system: t.system, id: fmt.Sprintf("i-%02d", i), service: "order-desk", zone: engineZones[i%3], slots: deskSlots,
			firstEvent: 60 * time.Millisecond, onRequest: func(*worker, string, []string) {}, onCrash: func(*worker) {}, backIn: 3 * time.Second,
		}
		if i < engines {
			w.service, w.models, w.slots = "model-pool", t.models, engineSlots
			w.firstEvent, w.events, w.eventPause = 100*time.Millisecond, events, 15*time.Millisecond
		}
		if configure != nil {
			configure(w)
		}
		if err := w.start(); err != nil {
			return err
		}
		t.workers = append(t.workers, w)
	}
	if err := t.put("config/main", configuration(7, "key-8")); err != nil {
		return err
	}
	if err := t.startHosts(); err != nil {
		return err
	}
	go t.follow()
	pause(t.system.ctx, 8*time.Second) // all hosts know each other
	return nil
}

// configuration returns a version of the configuration in which customer two has the
// given keys.
func configuration(version int, keys ...string) map[string]any {
	route := func(name, prefix, kind, service string, priority, timeout, target, gap int) map[string]any {
		return map[string]any{
			"name": name, "host": "trial.example", "path_prefix": prefix, "kind": kind, "service": service, "priority": priority,
			"timeout_ms": timeout, "target_latency_ms": target, "gap_aim_ms": gap, "max_attempts": 1, "sticky": kind == "streaming",
		}
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("defect-ask", "/ask/", "streaming", "model-pool", 0, 15000, 500, 250),
			route("spec-review", "/review/", "streaming", "model-pool", 2, 12000, 2500, 1000),
			route("order-place", "/order/", "unsafe", "order-desk", 2, 3000, 300, 0),
		},
		"services": []any{
			map[string]any{
				"name": "model-pool", "health_path": "/health", "max_connections": 360,
				"engine": map[string]any{"slots": engineSlots, "kv_capacity": 477344, "token_kv_bytes": 36864, "link_mbps": 10000, "stride": 3, "moves": false},
			},
			map[string]any{"name": "order-desk", "health_path": "/health", "max_connections": 96},
		},
		"limits": map[string]any{"max_header_bytes": 32768, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 30000},
		"tenants": []any{
			map[string]any{"name": "one", "api_keys": []string{"key-of-one"}},
			map[string]any{"name": "two", "api_keys": append([]string{"other-key-of-two"}, keys...)},
		},
	}
}

// soundTraffic sends sound requests until the given time: streams of 20 callers'
// prompts, and orders.
func (t *trial) soundTraffic(until time.Time) {
	for n := 0; time.Now().Before(until) && t.system.ctx.Err() == nil; n++ {
		switch {
		case n%5 == 4:
			t.send(call{path: "/order/2f", timeout: 3 * time.Second})
		default:
			t.send(call{path: "/ask/2f", model: t.models[n%len(t.models)], timeout: 15 * time.Second, prefix: fmt.Sprintf("%s,%x:660", sharedPart(n), rand.Uint64())})
		}
		pause(t.system.ctx, 25*time.Millisecond)
	}
}

// sharedPart returns the first prompt part of the nth sound prompt.
func sharedPart(n int) string { return fmt.Sprintf("%x:800", 0xa000+n%20) }

// Figures of the disruption by workers in trouble.
const (
	badAnswers = 450 // of 1000 answers of all model workers
	badLength  = 4 * time.Second
	badPause   = 8 * time.Second
	badTimes   = 5
	endsLimit  = 3
	hostsLimit = 2
)

// memory checks that workers which send heads without end make no process of the
// system end.
func (t *trial) memory() (bool, error) {
	t.hostZones = engineZones // three hosts, so that a few processor cores suffice
	t.seeds = []int{1, 2, 3}
	if err := t.begin(40, nil); err != nil {
		return false, err
	}
	go t.enforceMemory()
	until := time.Now().Add(badTimes * (badLength + badPause))
	go t.soundTraffic(until)
	for range badTimes {
		pause(t.system.ctx, badPause)
		for _, w := range t.workers[:engines] {
			if t.trouble {
				w.endless.Store(badAnswers)
			}
		}
		pause(t.system.ctx, badLength)
		for _, w := range t.workers[:engines] {
			w.endless.Store(0)
		}
	}
	pause(t.system.ctx, 2*time.Second)
	often := 0
	for _, h := range t.hosts {
		h.mu.Lock()
		n, peak := len(h.killedAt), h.peakKB/1024
		h.mu.Unlock()
		t.line("host %s: over its memory %d times, most since its last start %d MB", h.name, n, peak)
		if n >= endsLimit {
			often++
		}
	}
	t.line("requests: %d sent, %d served, %d without a complete answer", t.sent.Load(), t.served.Load(), t.lostSince(time.Time{}))
	t.line("hosts that ended %d times or more: %d; the rule allows %d", endsLimit, often, hostsLimit-1)
	return often < hostsLimit, nil
}

// variant selects how requests with a deadly part come.
type variant int

const (
	manyParts  variant = iota // the deadly part is the 18th of 19
	atOnce                    // six requests come at once
	manyModels                // each request names another model
	plain                     // none of these
)

// deadlyPart checks that requests with a part that crashes workers no longer reach
// workers after the fifth crash.
func (t *trial) deadlyPart(v variant) (bool, error) {
	const deadly = "dead"
	err := t.begin(40, func(w *worker) {
		w.isDeadly = func(parts []string) bool { return slices.Contains(parts, deadly) }
		w.onRequest = func(_ *worker, id string, parts []string) {
			if slices.Contains(parts, deadly) {
				t.mu.Lock()
				t.reached = append(t.reached, time.Now())
				n := len(t.reached)
				t.mu.Unlock()
				t.line("worker %s is reached by request %s with the deadly part, the %d. so far", w.id, id, n)
			}
		}
		w.onCrash = func(*worker) {
			t.mu.Lock()
			defer t.mu.Unlock()
			t.crashes = append(t.crashes, time.Now())
		}
	})
	if err != nil {
		return false, err
	}
	const length = 40 * time.Second
	until := time.Now().Add(length)
	go t.soundTraffic(until)
	pause(t.system.ctx, 5*time.Second)
	for n := 0; time.Now().Before(until.Add(-5*time.Second)) && t.system.ctx.Err() == nil; {
		burst, gap := 1, time.Second
		if v == atOnce {
			burst, gap = 6, 6*time.Second
		}
		for range burst {
			if v == manyParts {
				// A sound request shares the other parts.
				t.send(call{path: "/review/2f", model: t.models[0], timeout: 12 * time.Second, prefix: t.prefix(v, n, "")})
				pause(t.system.ctx, gap/2)
			}
			t.send(call{path: "/review/2f", model: t.models[n%len(t.models)], timeout: 12 * time.Second, prefix: t.prefix(v, n, deadly), note: " (with the part in question)", odd: true})
			n++
		}
		if v == manyParts {
			gap /= 2
		}
		pause(t.system.ctx, gap)
	}
	pause(t.system.ctx, time.Until(until)+2*time.Second)
	t.mu.Lock()
	defer t.mu.Unlock()
	after, lost := 0, 0
	if len(t.crashes) >= 5 {
		lost = t.lostSince(t.crashes[4].Add(stableWindow))
		for _, at := range t.reached {
			if at.After(t.crashes[4].Add(stableWindow)) {
				after++
			}
		}
	}
	t.line("crashes: %d; requests with the deadly part that reached workers: %d, of them %d later than %v after the fifth crash", len(t.crashes), len(t.reached), after, stableWindow)
	t.line("requests: %d sent, %d served; sound ones that got no complete answer since then: %d", t.sent.Load(), t.served.Load(), lost)
	return after <= 3, nil
}

// historyParts is the number of prompt parts between the first part and the deadly one.
const historyParts = 16

// prefix returns the prompt of the nth request with the deadly part, or of a sound one
// that shares its other parts if deadly is empty.
func (t *trial) prefix(v variant, n int, deadly string) string {
	if !t.trouble && deadly != "" {
		deadly = "beef"
	}
	text := sharedPart(n)
	if v == manyParts {
		for i := range historyParts {
			text += fmt.Sprintf(",%x:40", 0xc0000+n*historyParts+i)
		}
	}
	if deadly != "" {
		text += "," + deadly + ":200"
	}
	return fmt.Sprintf("%s,%x:250", text, rand.Uint64())
}

const (
	garbledWorkers = 1  // of 3: under a share of 0.6
	garbledAnswers = 50 // of 1000
)

// seal checks that a caller gets no success without the seal of a worker, although a
// worker in trouble sends bytes that are no answer in the protocol.
func (t *trial) seal() (bool, error) {
	err := t.begin(40, func(w *worker) {
		w.keepAlive = time.Second
	})
	if err != nil {
		return false, err
	}
	until := time.Now().Add(sealTimes * (sealLength + sealPause))
	go t.orders(until)
	for range sealTimes {
		pause(t.system.ctx, sealPause)
		for _, w := range t.workers[engines : engines+garbledWorkers] {
			if t.trouble {
				w.garbled.Store(garbledAnswers)
			}
		}
		pause(t.system.ctx, sealLength)
		for _, w := range t.workers[engines:] {
			w.garbled.Store(0)
		}
	}
	pause(t.system.ctx, 4*time.Second)
	t.line("requests: %d sent, %d served, %d successes without a seal", t.sent.Load(), t.served.Load(), t.unsealed.Load())
	return t.unsealed.Load() == 0, nil
}

const (
	sealLength = 6500 * time.Millisecond
	sealPause  = 3 * time.Second
	sealTimes  = 9
)

// orders sends the site's requests for the order service until the given time, 18 a
// second.
func (t *trial) orders(until time.Time) {
	for time.Now().Before(until) && t.system.ctx.Err() == nil {
		t.send(call{path: "/order/2f", timeout: 3 * time.Second})
		pause(t.system.ctx, 55*time.Millisecond)
	}
}

const (
	applyBound    = 2500 * time.Millisecond // config_apply_ms
	watchRounds   = 9
	probeInterval = 50 * time.Millisecond
	probeTime     = 4 * time.Second
)

// watch checks that a key that is taken away no longer works after config_apply_ms,
// while half of the hosts, the ones that watch the store, have just been killed.
func (t *trial) watch() (bool, error) {
	// The seeds are the hosts that do not watch the store: by their names, those with
	// the numbers 3, 4 and 6 do.
	t.seeds = []int{1, 2, 5}
	if err := t.begin(40, nil); err != nil {
		return false, err
	}
	go t.orders(time.Now().Add(105 * time.Second))
	late := 0
	for version := 8; version < 8+watchRounds && t.system.ctx.Err() == nil; version++ {
		n, err := t.takeKeyAway(version)
		if err != nil {
			return false, err
		}
		late += n
	}
	t.line("requests with a key that were sent later than %v after the confirmation and ran: %d", applyBound, late)
	return late == 0, nil
}

// takeKeyAway kills the hosts that watch the store, takes a key away while no host
// watches it, and returns the number of requests with the key that ran too late.
func (t *trial) takeKeyAway(version int) (int, error) {
	pause(t.system.ctx, 4*time.Second)
	var watching, others []*host
	for _, h := range t.hosts {
		if time.Since(time.Unix(0, h.watchedAt.Load())) < 1500*time.Millisecond {
			watching = append(watching, h)
		} else {
			others = append(others, h)
		}
	}
	if len(watching) != 3 {
		return 0, fmt.Errorf("%d hosts watch the store, not 3", len(watching))
	}
	if t.trouble {
		for _, h := range watching {
			h.kill()
		}
		pause(t.system.ctx, restartDelay/2)
		for _, h := range watching {
			for !h.isReady() && t.system.ctx.Err() == nil {
				time.Sleep(10 * time.Millisecond)
			}
		}
		ready := time.Now()
		pause(t.system.ctx, 400*time.Millisecond)
		for t.watches.Load() > 0 && time.Since(ready) < 4*time.Second {
			time.Sleep(5 * time.Millisecond)
		}
		t.line("the killed hosts are ready for %d ms; open watches: %d", time.Since(ready).Milliseconds(), t.watches.Load())
	}
	if err := t.put("config/main", configuration(version, fmt.Sprint("key-", version+1))); err != nil {
		return 0, err
	}
	confirmed := time.Now()
	key := fmt.Sprint("key-", version)
	t.line("version %d is confirmed: it takes %s away", version, key)
	var mu sync.Mutex
	late, last := 0, time.Duration(0)
	var probes sync.WaitGroup
	for time.Since(confirmed) < probeTime {
		for _, h := range others {
			sent := time.Since(confirmed)
			probes.Go(func() {
				id := fmt.Sprintf("%016x", rand.Uint64())
				result, ok, _ := t.do(id, fmt.Sprintf("%s:%d", h.ip, callersPort), call{path: "/order/2f", timeout: 3 * time.Second, key: key})
				t.line("request %s with %s, sent to %s %d ms after the confirmation: %s", id, key, h.name, sent.Milliseconds(), result)
				mu.Lock()
				defer mu.Unlock()
				if ok {
					last = max(last, sent)
				}
				if ok && sent > applyBound {
					late++
				}
			})
		}
		pause(t.system.ctx, probeInterval)
	}
	probes.Wait()
	t.line("last request with %s that ran: sent %d ms after the confirmation", key, last.Milliseconds())
	return late, nil
}
