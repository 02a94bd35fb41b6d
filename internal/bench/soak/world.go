// Package soak runs the real programs as separate processes on one machine
// while faults are injected from outside them, and checks what callers and
// upstreams see.
//
// Hosts of the users' platform are the processes; store, duties, engines and
// plain services are played by platform/standin in the process of the soak.
// Proxies on loopback stand in all connections between them, but for those
// between hosts. All that happens to a run follows from its seed; what the
// operating system makes of it differs from run to run.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"quetzalhook"
	"quetzalhook/internal/platform/memory"
	"quetzalhook/internal/state/timing"
	"quetzalhook/platform/standin"
)

// Settings describe a run.
type Settings struct {
	Seed uint64
	// Program is the path of the quetzalhook program.
	Program string
	// Directory gets the settings and the logs of the hosts.
	Directory string
	Hosts     int
	Callers   int
	// Length is how long faults are injected.
	Length time.Duration
}

const (
	engineCount  = 5
	serviceCount = 3
	engineGroup  = "engines"
	serviceGroup = "desk"
	hostName     = "soak.example"
	// startLimit is how long all hosts may take to become ready.
	startLimit = 15 * time.Second
	// finalLoad is how long requests are counted after recoverBound.
	finalLoad = 3 * time.Second
)

// upstream is an upstream in the process of the soak.
type upstream struct {
	entry  standin.UpstreamRecord
	player *standin.Upstream
	proxy  *Proxy
	server *http.Server
}

// World is one run.
type World struct {
	settings Settings
	network  string // first three parts of all IP addresses
	zones    map[quetzalhook.Zone]quetzalhook.Region
	memory   *memory.Store
	store    *standin.Store
	duties   *standin.DutyServer
	engines  *standin.StoppedStreams
	ledger   *Ledger
	hosts    []*host
	servers  []*http.Server
	next     int // number of the next address for an upstream
	wg       sync.WaitGroup
	// configuring keeps changes of the configuration apart.
	configuring sync.Mutex

	mu        sync.Mutex
	random    *rand.Rand
	upstreams []*upstream
	busy      map[*host]bool // that a fault starts and stops
	trouble   time.Time      // until when something unplanned disturbs the run
	thaws     map[quetzalhook.HostID]time.Time
	config    standin.Configuration
	rotating  string // the key that the next configuration withdraws
	sent      int
	served    int
}

// Result is what a run found.
type Result struct {
	Script       []string
	Checked      map[Check]int
	Violations   []Violation
	Sent, Served int
}

// Run plays one run. The directory keeps the logs.
func Run(ctx context.Context, s Settings) (Result, error) {
	w := &World{
		settings: s, memory: memory.New(), engines: standin.NewStoppedStreams(), random: rand.New(rand.NewPCG(s.Seed, 1)), busy: make(map[*host]bool),
		zones: map[quetzalhook.Zone]quetzalhook.Region{"z-a": "r-a", "z-b": "r-b", "z-c": "r-c"},
		thaws: make(map[quetzalhook.HostID]time.Time),
		// Runs on one machine use addresses of their own.
		network: fmt.Sprintf("127.%d.%d.", 1+os.Getpid()%200, 1+s.Seed%250),
	}
	w.ledger = NewLedger(w.isCalm, w.thawedAt)
	script := draw(w.random, s.Length)
	var result Result
	for _, f := range script {
		result.Script = append(result.Script, f.String())
	}
	defer w.close()
	if err := w.setUp(ctx); err != nil {
		return result, err
	}
	w.play(ctx, script)
	result.Checked, result.Violations = w.ledger.Results()
	w.mu.Lock()
	defer w.mu.Unlock()
	result.Sent, result.Served = w.sent, w.served
	return result, nil
}

// setUp starts everything and waits until all hosts take requests.
func (w *World) setUp(ctx context.Context) error {
	w.store, w.duties = standin.NewStore(w.memory), standin.NewDutyServer(w.dutyCalled)
	storeAddress, err := w.serve(w.network+"250:0", w.store)
	if err != nil {
		return err
	}
	dutiesAddress, err := w.serve(w.network+"251:0", w.duties)
	if err != nil {
		return err
	}
	for i := range engineCount + serviceCount {
		if err := w.addUpstream(i, i < engineCount); err != nil {
			return err
		}
	}
	if err := w.configure(); err != nil {
		return err
	}
	for i := range w.settings.Hosts {
		if err := w.addHost(i, storeAddress, dutiesAddress); err != nil {
			return err
		}
	}
	for _, h := range w.hosts {
		if err := h.start(w.unexpected); err != nil {
			return err
		}
	}
	return w.awaitReady(ctx)
}

// serve serves a handler on an address and returns the one that was taken.
func (w *World) serve(address string, handler http.Handler) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", &Error{Op: "listen", Kind: ErrorSetup, Err: err}
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	w.servers = append(w.servers, server)
	w.wg.Go(func() { _ = server.Serve(l) }) // ends with Close
	return l.Addr().String(), nil
}

func (w *World) zoneOf(i int) quetzalhook.Zone {
	return []quetzalhook.Zone{"z-a", "z-b", "z-c"}[i%3]
}

func (w *World) addHost(i int, store, duties string) error {
	h := &host{
		name: quetzalhook.HostID(fmt.Sprintf("host-%d", i)), ip: w.network + strconv.Itoa(1+i), zone: w.zoneOf(i), program: w.settings.Program,
	}
	h.settings = w.settings.Directory + "/" + string(h.name) + ".yaml"
	h.log = logPath(w.settings.Directory, h.name)
	var err error
	if h.callers, err = NewProxy(h.ip+":9001", net.JoinHostPort(h.ip, strconv.Itoa(callersPort))); err != nil {
		return err
	}
	if h.store, err = NewProxy(h.ip+":9002", store); err != nil {
		return err
	}
	if h.duties, err = NewProxy(h.ip+":9003", duties); err != nil {
		return err
	}
	w.hosts = append(w.hosts, h)
	return h.writeSettings(w.zones, w.seeds())
}

// seeds returns the addresses of the first hosts.
func (w *World) seeds() []string {
	var seeds []string
	for i := range min(3, w.settings.Hosts) {
		seeds = append(seeds, fmt.Sprintf("%s%d:8229", w.network, 1+i))
	}
	return seeds
}

func (w *World) addUpstream(i int, engine bool) error {
	u := &upstream{entry: standin.UpstreamRecord{
		ID: quetzalhook.UpstreamID(fmt.Sprintf("u-%d", w.next)), Service: serviceGroup, Zone: string(w.zoneOf(i)), StartedMS: time.Now().UnixMilli(),
	}}
	if engine {
		u.entry.Service, u.entry.Models = engineGroup, []string{"m"}
	}
	u.player = standin.NewUpstream(u.entry.ID, engine, w.engines, w.ledger.Ran)
	address, err := w.serve(w.network+"252:0", u.player)
	if err != nil {
		return err
	}
	u.server = w.servers[len(w.servers)-1]
	if u.proxy, err = NewProxy(fmt.Sprintf("%s253:%d", w.network, 10000+w.next), address); err != nil {
		return err
	}
	w.next++
	u.entry.Address = u.proxy.Address()
	w.upstreams = append(w.upstreams, u)
	return u.entry.Put(w.memory)
}

// awaitReady waits until all hosts take requests.
func (w *World) awaitReady(ctx context.Context) error {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	end := time.Now().Add(startLimit)
	for _, h := range w.hosts {
		for {
			resp, err := client.Get("http://" + net.JoinHostPort(h.ip, strconv.Itoa(readyPort)) + "/quetzalhook/ready")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if ctx.Err() != nil || time.Now().After(end) {
				return &Error{Op: "start", Kind: ErrorSetup, Err: fmt.Errorf("%s is not ready: %v", h.name, err)}
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// play runs load and faults.
func (w *World) play(ctx context.Context, script []fault) {
	loadCtx, stopLoad := context.WithCancel(ctx)
	var load sync.WaitGroup
	for i := range w.settings.Callers {
		load.Go(func() { newCaller(w, i).run(loadCtx) })
	}
	for i := range w.hosts {
		load.Go(func() { newProber(w, i).run(loadCtx) })
	}
	begin := time.Now()
	var faults sync.WaitGroup
	byName := make(map[string]kindOfFault)
	for _, k := range kinds() {
		byName[k.name] = k
	}
	for _, f := range script {
		if !timing.Sleep(ctx, time.Until(begin.Add(f.at))) {
			break
		}
		k := byName[f.kind]
		if !k.planned {
			w.troubled(time.Now().Add(f.length))
		}
		faults.Go(func() {
			k.do(w, f)
			if !k.planned {
				w.troubled(time.Now())
			}
		})
	}
	faults.Wait()
	timing.Sleep(ctx, recoverBound)
	w.mu.Lock()
	w.sent, w.served = 0, 0 // what is sent from now on counts towards recovery
	w.mu.Unlock()
	timing.Sleep(ctx, finalLoad)
	stopLoad()
	load.Wait()
	w.mu.Lock()
	sent, served := w.sent, w.served
	w.mu.Unlock()
	if ctx.Err() == nil && float64(served) < recoverShare*float64(sent) {
		w.ledger.Fail(CheckRecovery, "%d of %d requests served", served, sent)
	}
}

func (w *World) troubled(until time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if until.After(w.trouble) {
		w.trouble = until
	}
}

// isAlone reports whether nothing unplanned happened from stableWindow before
// a time until now.
func (w *World) isAlone(since time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.trouble.Add(stableWindow).Before(since)
}

func (w *World) isCalm(name quetzalhook.HostID, since time.Time) bool {
	h := w.named(name)
	return h != nil && h.calmSince(since)
}

func (w *World) named(name quetzalhook.HostID) *host {
	for _, h := range w.hosts {
		if h.name == name {
			return h
		}
	}
	return nil
}

func (w *World) thaw(h *host) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.thaws[h.name] = time.Now()
}

func (w *World) thawedAt(name quetzalhook.HostID) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.thaws[name]
}

// claim takes hosts that no other fault starts and stops.
func (w *World) claim(hosts []*host) []*host {
	w.mu.Lock()
	defer w.mu.Unlock()
	var taken []*host
	for _, h := range hosts {
		if !w.busy[h] {
			w.busy[h] = true
			taken = append(taken, h)
		}
	}
	return taken
}

func (w *World) release(hosts []*host) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, h := range hosts {
		delete(w.busy, h)
	}
}

func (w *World) unexpected(h *host, err error) {
	w.ledger.Fail(CheckProcess, "%s ended by itself: %v", h.name, err)
}

func (w *World) dutyCalled(d standin.Duty) {
	w.mu.Lock()
	disturbed := time.Since(w.trouble) < thawSlack
	w.mu.Unlock()
	w.ledger.Duty(d, disturbed)
}

func (w *World) upstream(i int) *upstream {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.upstreams[i%len(w.upstreams)]
}

func (w *World) close() {
	for _, h := range w.hosts {
		h.close()
	}
	w.store.Close()
	for _, u := range w.upstreams {
		_ = u.proxy.Close()
	}
	for _, s := range w.servers {
		_ = s.Close()
	}
	w.wg.Wait()
}
