// Package soak runs entry hosts as separate processes on one machine, injects
// faults from outside the processes, and checks what callers and upstreams
// observe.
//
// The store, the service that accepts duty calls, the engines and the plain
// services are stand-ins of platform/standin in the process of the test.
// Loopback proxies forward all connections, except those between hosts and those
// to the directory and readiness ports. The seed of a run determines its load
// and its faults, but not the scheduling by the operating system, which differs
// from run to run.
package soak

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"quetzalhook"
	"quetzalhook/internal/platform/memory"
	"quetzalhook/internal/state/timing"
	"quetzalhook/platform/standin"
)

// Settings configure a run.
type Settings struct {
	Seed uint64
	// Program is the path of the quetzalhook program. Runs with partitions build their own.
	Program string
	// Older is the path of the program of an older build, which the hosts of OlderHosts run.
	Older      string
	OlderHosts OlderHosts
	// Directory receives the settings files and the logs of the hosts.
	Directory string
	Hosts     int
	Callers   int
	// Length is the time during which faults are injected.
	Length time.Duration
	// Kinds lists the kinds of faults to inject, as NAME or NAME/VARIANT; all if
	// empty.
	Kinds []string
	// Builds makes engines have builds, adds changes of them to the script, and makes
	// callers take up streams.
	Builds bool
	// Zones is the number of availability zones; 0 means 3.
	Zones int
	// Routes, if not 0, makes configurations move, add and remove routes, and is the number
	// of further routes of all configurations but the first.
	Routes int
	// LinkMbps limits the calls that each host receives, and the answers to them, to this
	// rate in Mbit/s; 0 for no limit.
	LinkMbps float64
	// coldS and coldPerS are the time in seconds for which upstreams are cold after their
	// start, and the rate that they take then; 0 for none.
	coldS, coldPerS float64
	// afterSplit starts the load and the script only once the parts of the builds are stored.
	afterSplit bool
	// script replaces the script that the seed determines. Its kinds are in Kinds, too.
	script []fault
}

const (
	// Numbers of upstreams of each service: at least these, and one for so many callers.
	minEngines, callersPerEngine   = 5, 10
	minServices, callersPerService = 3, 20

	// upstreamNumber is the last part of the IP address of the upstreams.
	upstreamNumber = "253"

	engineGroup  = "engines"
	serviceGroup = "desk"
	// archiveGroup is a second plain service, of runs with changing routes.
	archiveGroup = "archive"
	hostName     = "soak.example"
	// startTimeout bounds the time until all hosts are ready.
	startTimeout = 15 * time.Second
	// recoveryWindow is the time during which requests are counted for CheckRecovery,
	// from recoverBound after the last fault on.
	recoveryWindow = 3 * time.Second
)

// upstream is a stand-in upstream with its entry in the store and its proxy.
type upstream struct {
	entry   standin.UpstreamRecord
	handler *standin.Upstream
	proxy   *Proxy
	server  *http.Server

	// mu serializes writes of the record, and protects the state of entry.
	mu                   sync.Mutex
	isCrashed, isRemoved bool
}

// system is the system under test of one run: the host processes, and the
// stand-ins and proxies around them.
type system struct {
	settings       Settings
	network        string // first three parts of all IP addresses
	zones          map[quetzalhook.Zone]quetzalhook.Region
	memory         *memory.Store
	store          *standin.Store
	duties         *standin.DutyServer
	stoppedStreams *standin.StoppedStreams
	checker        *Checker
	onArrival      func(standin.Arrival)
	hosts          []*host
	servers        []*http.Server
	nextUpstream   int // number of the next upstream, from which its ID and port follow
	wg             sync.WaitGroup
	groups         atomic.Int64 // number of groups of callers that faults have added
	// configureMu serializes changes of the configuration.
	configureMu sync.Mutex
	// awayMu is locked while the store is away before it returns from a copy, and locked for
	// reading by those that write to it.
	awayMu sync.RWMutex
	// restoreMu serializes returns of the store from copies; returnedAt is the last one.
	restoreMu  sync.Mutex
	returnedAt time.Time
	// buildMu serializes changes of the engines' builds.
	buildMu     sync.Mutex
	latestBuild int // number of the newest build

	mu             sync.Mutex
	random         *rand.Rand
	upstreams      []*upstream
	allUpstreams   []*upstream                      // also those that were replaced
	claimed        map[*host]bool                   // hosts that a fault is stopping and starting
	disturbedUntil time.Time                        // end of the last unplanned fault, other than of the store
	storeUntil     time.Time                        // end of the last fault of the store
	resumed        map[quetzalhook.HostID]time.Time // when a host was last resumed after a pause
	config         standin.Configuration
	rotatingKey    string // key that the next configuration withdraws
	takeUps        TakeUps
	sent           int // requests since the last reset of both counters
	sentDuring     int // requests before that reset
	servedDuring   int
	served         int
}

// Result holds the faults, checks and violations of a run. Sent and Served count
// the requests during recoveryWindow.
type Result struct {
	Script       []string
	Checked      map[Check]int
	Violations   []Violation
	Sent, Served int
	// SentDuring and ServedDuring count them until recoverBound after the last fault.
	SentDuring, ServedDuring int
	// Failed counts the failures of each check, of which Violations keeps the first.
	Failed map[Check]int
	// TakeUps counts the requests that took up a stream.
	TakeUps TakeUps
	// Partitions counts the first tries during each partition.
	Partitions []PartitionCounts
}

// Run starts the hosts and stand-ins, injects the faults that the seed
// determines under load, and returns the result of the checks. It leaves the
// hosts' logs in cfg.Directory.
func Run(ctx context.Context, cfg Settings) (Result, error) {
	s := &system{
		settings: cfg, memory: memory.New(), stoppedStreams: standin.NewStoppedStreams(), random: rand.New(rand.NewPCG(cfg.Seed, 1)), claimed: make(map[*host]bool),
		zones:   zones(cfg.Zones),
		resumed: make(map[quetzalhook.HostID]time.Time),
		network: networkOf(cfg.Seed),
	}
	if s.hasRestores() {
		s.memory = memory.New(memory.WithEras())
	}
	s.checker = NewChecker(s.isHostUndisturbed, s.resumedAt)
	s.checker.notices.hasReset = s.hasHostReset
	s.onArrival = s.checker.RequestStarted
	script := addNotices(generateScript(s.random, cfg.Length, cfg.Kinds), cfg.Seed, cfg.Length, cfg.Kinds)
	script = addHostile(script, cfg.Seed, cfg.Length, cfg.Kinds)
	if cfg.Builds {
		script = addBuilds(script, cfg.Seed, cfg.Length, cfg.Kinds)
	}
	script = addPartitions(script, cfg.Seed, cfg.Length, cfg.Kinds)
	script = addRestores(script, cfg.Seed, cfg.Length, cfg.Kinds)
	if cfg.script != nil {
		script = cfg.script
	}
	if len(script) == 0 {
		return Result{}, &Error{Op: "faults", Kind: ErrorScript, Err: fmt.Errorf("no fault of the kinds %q within %v", cfg.Kinds, cfg.Length)}
	}
	var result Result
	for _, f := range script {
		result.Script = append(result.Script, f.String())
	}
	if s.hasPartitions() && cfg.Older != "" {
		return result, &Error{Op: "build", Kind: ErrorScript, Err: errors.New("hosts of an older build cannot be partitioned")}
	}
	if s.hasPartitions() {
		directory, err := os.MkdirTemp("", "soak-build-")
		if err != nil {
			return result, &Error{Op: "build", Kind: ErrorSetup, Err: err}
		}
		defer func() { _ = os.RemoveAll(directory) }()
		if s.settings.Program, err = buildRedirected(ctx, directory); err != nil {
			return result, err
		}
	}
	defer s.close()
	if err := s.setUp(ctx); err != nil {
		return result, err
	}
	whileRunning, endRun := context.WithCancel(ctx)
	s.wg.Go(func() { timing.Every(whileRunning, memoryInterval, s.checkMemory) })
	s.runScript(ctx, script)
	endRun()
	result.Checked, result.Violations = s.checker.Results()
	s.mu.Lock()
	defer s.mu.Unlock()
	result.Sent, result.Served, result.SentDuring, result.ServedDuring = s.sent, s.served, s.sentDuring, s.servedDuring
	result.Failed, result.TakeUps = s.checker.Failed(), s.takeUps
	result.Partitions = s.checker.Partitions()
	return result, nil
}

// networkOf returns the first three parts of the IP addresses of a run. Concurrent
// runs on one machine, also with the same seed, need different ones.
func networkOf(seed uint64) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.", 1+pid%200, 1+(seed+uint64(pid/200))%250)
}

// setUp starts the stand-ins and the hosts and waits until all hosts are ready.
func (s *system) setUp(ctx context.Context) error {
	s.store, s.duties = standin.NewStore(s.memory), standin.NewDutyServer(s.recordDuty)
	storeAddress, err := s.serve(s.network+"250:0", s.store)
	if err != nil {
		return err
	}
	dutiesAddress, err := s.serve(s.network+"251:0", s.duties)
	if err != nil {
		return err
	}
	engines := max(minEngines, s.settings.Callers/callersPerEngine)
	services := slices.Repeat([]string{engineGroup}, engines)
	for _, name := range s.plainServices() {
		services = append(services, slices.Repeat([]string{name}, max(minServices, s.settings.Callers/callersPerService))...)
	}
	for i, service := range services {
		if err := s.addUpstream(i, service, s.firstBuild(i, service == engineGroup)); err != nil {
			return err
		}
	}
	if err := s.configure(); err != nil {
		return err
	}
	for i := range s.settings.Hosts {
		if err := s.addHost(i, storeAddress, dutiesAddress); err != nil {
			return err
		}
	}
	for _, u := range s.upstreams {
		if err := s.addLinks(u); err != nil {
			return err
		}
	}
	for _, h := range s.hosts {
		if err := h.start(s.reportExit); err != nil {
			return err
		}
	}
	if err := s.awaitReady(ctx); err != nil {
		return err
	}
	if s.settings.afterSplit {
		return s.awaitSplit(ctx)
	}
	if s.settings.Routes > 0 {
		timing.Sleep(ctx, stableWindow) // bounds of the configuration do not hold before
	}
	return nil
}

// serve serves HTTP on address, whose port may be 0, and returns the address
// with the port that was chosen.
func (s *system) serve(address string, handler http.Handler) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", &Error{Op: "listen", Kind: ErrorSetup, Err: err}
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute, ConnContext: standin.ConnContext}
	s.servers = append(s.servers, server)
	s.wg.Go(func() { _ = server.Serve(standin.Listener{Listener: l}) }) // ends when the server is closed
	return l.Addr().String(), nil
}

const (
	defaultZones = 3
	maxRegions   = 3
)

// zones returns n zones in up to maxRegions regions.
func zones(n int) map[quetzalhook.Zone]quetzalhook.Region {
	list := make(map[quetzalhook.Zone]quetzalhook.Region)
	for i := range cmp.Or(n, defaultZones) {
		list[zoneName(i)] = quetzalhook.Region(fmt.Sprintf("r-%c", 'a'+i%maxRegions))
	}
	return list
}

func zoneName(i int) quetzalhook.Zone { return quetzalhook.Zone(fmt.Sprintf("z-%c", 'a'+i)) }

func (s *system) zoneOf(i int) quetzalhook.Zone { return zoneName(i % len(s.zones)) }

// plainServices returns the names of the plain services.
func (s *system) plainServices() []string {
	if s.settings.Routes > 0 {
		return changingServices
	}
	return []string{serviceGroup}
}

func (s *system) addHost(i int, store, duties string) error {
	h := &host{
		name: quetzalhook.HostID(fmt.Sprintf("host-%d", i)), ip: s.network + strconv.Itoa(1+i), zone: s.zoneOf(i), program: s.settings.Program,
		older: s.settings.Older, olderStarts: s.settings.OlderHosts.starts(i),
	}
	h.env = []string{redirectFrom + "=" + s.network + upstreamNumber, redirectTo + "=" + h.ip}
	h.settings = s.settings.Directory + "/" + string(h.name) + ".yaml"
	h.log = logPath(s.settings.Directory, h.name)
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
	if s.settings.LinkMbps > 0 {
		if h.link, err = NewLink(h.ip+":9004", net.JoinHostPort(h.ip, strconv.Itoa(firstInnerPort+1)), s.settings.LinkMbps); err != nil {
			return err
		}
	}
	s.hosts = append(s.hosts, h)
	return h.writeSettings(s.zones, s.seeds())
}

// seeds returns the peer addresses of the first three hosts, through which a
// host joins the others.
func (s *system) seeds() []string {
	var seeds []string
	for i := range min(3, s.settings.Hosts) {
		seeds = append(seeds, fmt.Sprintf("%s%d:8229", s.network, 1+i))
	}
	return seeds
}

func (s *system) addUpstream(i int, service string, build quetzalhook.Build) error {
	u := &upstream{entry: standin.UpstreamRecord{
		ID: quetzalhook.UpstreamID(fmt.Sprintf("u-%d", s.nextUpstream)), Service: service, Zone: string(s.zoneOf(i)), StartedMS: time.Now().UnixMilli(), Build: build,
	}}
	engine := service == engineGroup
	if engine {
		u.entry.Models = []string{"m"}
	}
	s.checker.UpstreamAdded(u.entry.ID, service)
	u.handler = standin.NewUpstream(u.entry.ID, engine, s.stoppedStreams, s.onArrival, s.checker.RequestEnded)
	u.handler.SetContact(s.checker.RequestReached)
	u.handler.SetBuild(build)
	address, err := s.serve(s.network+"252:0", u.handler)
	if err != nil {
		return err
	}
	u.server = s.servers[len(s.servers)-1]
	if u.proxy, err = NewProxy(fmt.Sprintf("%s%s:%d", s.network, upstreamNumber, 10000+s.nextUpstream), address); err != nil {
		return err
	}
	s.nextUpstream++
	u.entry.Address = u.proxy.Address()
	s.upstreams, s.allUpstreams = append(s.upstreams, u), append(s.allUpstreams, u)
	if err := s.addLinks(u); err != nil {
		return err
	}
	return s.register(u)
}

// awaitReady polls the readiness endpoint of each host until all are ready or
// startTimeout has passed.
func (s *system) awaitReady(ctx context.Context) error {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	end := time.Now().Add(startTimeout)
	for _, h := range s.hosts {
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

// runScript runs the callers and probers, injects the faults of the script, and
// checks that requests are served again after the last fault.
func (s *system) runScript(ctx context.Context, script []fault) {
	loadCtx, stopLoad := context.WithCancel(ctx)
	var load sync.WaitGroup
	for i := range s.settings.Callers {
		load.Go(func() { newCaller(s, i).run(loadCtx) })
	}
	for i := range s.hosts {
		load.Go(func() { newProber(s, i).run(loadCtx) })
	}
	begin := time.Now()
	var faults sync.WaitGroup
	byName := make(map[string]faultKind)
	for _, k := range slices.Concat(kinds(), noticeKinds(), hostileKinds(), buildKinds(), partitionKinds(), restoreKinds()) {
		byName[k.name] = k
	}
	for _, f := range script {
		if !timing.Sleep(ctx, time.Until(begin.Add(f.at))) {
			break
		}
		k := byName[f.kind]
		faults.Go(func() { s.injectFault(k, f) })
	}
	faults.Wait()
	timing.Sleep(ctx, recoverBound)
	s.mu.Lock()
	s.sentDuring, s.servedDuring = s.sent, s.served
	s.sent, s.served = 0, 0 // CheckRecovery counts the requests that end from now on
	s.mu.Unlock()
	timing.Sleep(ctx, recoveryWindow)
	stopLoad()
	load.Wait()
	s.checker.CheckPartitions()
	s.mu.Lock()
	sent, served := s.sent, s.served
	s.mu.Unlock()
	if ctx.Err() == nil && float64(served) < minServedShare*float64(sent) {
		s.checker.Fail(CheckRecovery, "%d of %d requests served", served, sent)
	}
}

// injectFault injects a fault of kind k and records the disturbance.
func (s *system) injectFault(k faultKind, f fault) {
	if k.records {
		k.inject(s, f)
		return
	}
	s.disturb(k, time.Now().Add(f.duration))
	k.inject(s, f)
	s.disturb(k, time.Now())
}

// disturb records that a fault of kind k is active until the given time, unless it
// is planned.
func (s *system) disturb(k faultKind, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	end := &s.disturbedUntil
	if k.store {
		end = &s.storeUntil
	}
	if !k.planned && until.After(*end) {
		*end = until
	}
}

// isUndisturbed reports whether the last unplanned fault ended more than
// stableWindow before since. Requests that are not keyed must not suffer from
// faults of the store.
func (s *system) isUndisturbed(since time.Time, keyed bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.disturbedUntil.Add(stableWindow).Before(since) && (!keyed || s.storeUntil.Add(stableWindow).Before(since))
}

func (s *system) isHostUndisturbed(name quetzalhook.HostID, since time.Time) bool {
	h := s.hostByName(name)
	return h != nil && h.undisturbedSince(since)
}

func (s *system) hostByName(name quetzalhook.HostID) *host {
	for _, h := range s.hosts {
		if h.name == name {
			return h
		}
	}
	return nil
}

func (s *system) recordResume(h *host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resumed[h.name] = time.Now()
}

func (s *system) resumedAt(name quetzalhook.HostID) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.resumed[name]
}

// claim reserves those of the hosts that no other fault is stopping or starting,
// and returns them.
func (s *system) claim(hosts []*host) []*host {
	s.mu.Lock()
	defer s.mu.Unlock()
	var taken []*host
	for _, h := range hosts {
		if !s.claimed[h] {
			s.claimed[h] = true
			taken = append(taken, h)
		}
	}
	return taken
}

func (s *system) release(hosts []*host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range hosts {
		delete(s.claimed, h)
	}
}

func (s *system) reportExit(h *host, err error) {
	s.checker.Fail(CheckProcess, "%s exited unexpectedly: %v", h.name, err)
}

func (s *system) recordDuty(d standin.DutyCall) {
	s.mu.Lock()
	disturbed := time.Since(s.disturbedUntil) < resumeSlack || time.Since(s.storeUntil) < resumeSlack
	s.mu.Unlock()
	s.checker.DutyCalled(d, disturbed)
}

func (s *system) upstream(i int) *upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.upstreams[i%len(s.upstreams)]
}

func (s *system) close() {
	for _, h := range s.hosts {
		h.close()
	}
	s.store.Close()
	for _, u := range s.upstreams {
		_ = u.proxy.Close()
	}
	for _, server := range s.servers {
		_ = server.Close()
	}
	s.wg.Wait()
}
