package main

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"quetzalhook"
	"quetzalhook/internal/platform/memory"
	"quetzalhook/platform/standin"
)

// Figures of a small deployment, as in the settings of the users' pages.
const (
	memoryMB     = 284
	maxFDs       = 4100
	leaseMS      = 3000
	stableWindow = 4 * time.Second
	grace        = 8 * time.Second
	windowS      = 5
	callersPort  = 8227
	readyPort    = 8220
	serviceHost  = "review.example"
	engines      = "model-pool"
	desk         = "order-desk"
	model        = "m"
	tenant       = "dealers"
	apiKey       = "n2ctnfzs989anu6wsjnb"
	peerSecret   = "quetzalhook-hosts-of-one-deployment"
	startTimeout = 20 * time.Second
)

var zones = []quetzalhook.Zone{"addis-a", "mekelle-a", "hawassa-a"}

// system is a deployment of host processes with its stand-ins.
type system struct {
	record    *record
	directory string
	network   string // the first three parts of all addresses
	memory    *memory.Store
	store     *standin.Store
	stopped   *standin.StoppedStreams
	hosts     []*host
	servers   []*http.Server
	storeAt   string
	platform  string
	wg        sync.WaitGroup
}

// host is one host process.
type host struct {
	name     string
	ip       string
	zone     quetzalhook.Zone
	settings string
	platform string // address of the platform, or of a proxy to it
	log      *os.File
	command  *exec.Cmd
	exited   chan struct{}
}

func (h *host) address() string { return net.JoinHostPort(h.ip, strconv.Itoa(callersPort)) }

func newSystem(r *record, duties http.Handler) (*system, error) {
	directory, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s := &system{record: r, directory: directory, memory: memory.New(), stopped: standin.NewStoppedStreams()}
	s.store = standin.NewStore(s.memory)
	if s.network, err = freeNetwork(); err != nil {
		return s, err
	}
	if s.storeAt, err = s.serve("250", s.store); err != nil {
		return s, err
	}
	s.platform, err = s.serve("251", duties)
	return s, err
}

// freeNetwork returns a part of the loopback range in which the ports of the first host
// are free.
func freeNetwork() (string, error) {
	for i := range 100 {
		network := fmt.Sprintf("127.%d.%d.", 1+(os.Getpid()+i)%200, 1+i)
		l, err := net.Listen("tcp", network+"1:"+strconv.Itoa(callersPort))
		if err == nil {
			return network, l.Close()
		}
	}
	return "", errors.New("no free loopback addresses")
}

// serve serves HTTP on a free port and returns the address.
func (s *system) serve(last string, handler http.Handler) (string, error) {
	l, err := net.Listen("tcp", s.network+last+":0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute, ConnContext: standin.ConnContext}
	s.servers = append(s.servers, server)
	s.wg.Go(func() { _ = server.Serve(standin.Listener{Listener: l}) })
	return l.Addr().String(), nil
}

// addUpstream serves and registers an upstream in a zone.
func (s *system) addUpstream(id, service string, zone quetzalhook.Zone, models []string, handler http.Handler) (standin.UpstreamRecord, error) {
	address, err := s.serve("252", handler)
	if err != nil {
		return standin.UpstreamRecord{}, err
	}
	r := standin.UpstreamRecord{
		ID: quetzalhook.UpstreamID(id), Service: service, Address: address, Zone: string(zone), Models: models, StartedMS: time.Now().UnixMilli(),
	}
	return r, r.Put(s.memory)
}

// addHost writes the settings of a host, as the platform renders them from
// deploy/host.yaml, and starts it.
func (s *system) addHost(i, of int, platform string) error {
	zone := zones[i%len(zones)]
	h := &host{name: fmt.Sprintf("front-%s-%d", zone, 1+i/len(zones)), ip: s.network + strconv.Itoa(1+i), zone: zone, platform: platform}
	var seeds, regions []string
	for j := range min(of, 3) {
		seeds = append(seeds, fmt.Sprintf("%q", s.network+strconv.Itoa(1+j)+":8229"))
	}
	for _, z := range zones {
		regions = append(regions, fmt.Sprintf("%q:%q", z, strings.TrimSuffix(string(z), "-a")))
	}
	h.settings = filepath.Join(s.directory, h.name+".yaml")
	text := fmt.Sprintf(`host: %q
zone: %q
region: %q
zones: {%s}
listen:
  callers: %q
  ready: "%s:%d"
  directory: "%s:8224"
inner-ports: [7340,7355]
metrics-port: 9464
seeds: [%s]
store: %q
platform: %q
processor-share: 0.4
processors: 1
memory-mb: %d
stop-s: %g
answer-life-s: 5
lease-ms: %d
leave-ms: 2500
apply-ms: 2500
stall-s: 2
usage-window-s: %d
usage-due-s: 10
retry-ratio: 0.2
retry-slack: 52
retry-window-s: 10
quarantine-s: 600
`, h.name, zone, strings.TrimSuffix(string(zone), "-a"), strings.Join(regions, ","), h.address(), h.ip, readyPort, h.ip,
		strings.Join(seeds, ","), s.storeAt, platform, memoryMB, grace.Seconds(), leaseMS, windowS)
	if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
		return err
	}
	s.hosts = append(s.hosts, h)
	return s.start(h)
}

// start starts the process of a host by the command of the deploy file.
func (s *system) start(h *host) error {
	var err error
	if h.log == nil {
		if h.log, err = os.Create(filepath.Join(s.directory, h.name+".log")); err != nil {
			return err
		}
	}
	c := exec.Command("target/quetzalhook", "host")
	c.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "QUETZALHOOK_NODE_FILE=" + h.settings, "QUETZALHOOK_PEER_SECRET=" + peerSecret,
		"QUETZALHOOK_MAX_FDS=" + strconv.Itoa(maxFDs), "QUETZALHOOK_CONTRACTS=base,drain,config,cost,retry,recover,engine,stream,tenants,leader,platform",
	}
	c.Stdout, c.Stderr = h.log, h.log
	if err := c.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	h.command, h.exited = c, exited
	go func() {
		_ = c.Wait()
		close(exited)
	}()
	s.record.add("%s: process started", h.name)
	return nil
}

// hasExited reports whether the process of a host has ended.
func (h *host) hasExited() bool {
	select {
	case <-h.exited:
		return true
	default:
		return false
	}
}

// awaitReady waits until all hosts are ready.
func (s *system) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, h := range s.hosts {
		for !h.isReady(ctx) {
			if ctx.Err() != nil {
				return fmt.Errorf("%s is not ready", h.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (h *host) isReady(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/quetzalhook/ready", h.ip, readyPort), nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// residentMB returns the resident memory of the process in MB.
func (h *host) residentMB() float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.ParseFloat(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 64)
			return kb / 1024
		}
	}
	return 0
}

// configure writes the operator's configuration.
func (s *system) configure(version int64, change func(*standin.Configuration)) error {
	c := standin.Configuration{
		Version: version, Host: serviceHost, EngineService: engines, PlainService: desk, IdleTimeout: 15 * time.Second, BodyBytes: 4 << 20,
		Keys: map[string][]string{tenant: {apiKey}},
		Routes: []standin.Route{
			{Name: "ask", Prefix: "/ask/", Service: engines, Kind: "streaming", Timeout: 15 * time.Second, LatencyTarget: 500 * time.Millisecond, Attempts: 1},
			{Name: "order", Prefix: "/order/", Service: desk, Kind: "unsafe", Timeout: 1500 * time.Millisecond, LatencyTarget: 300 * time.Millisecond, Attempts: 1, Priority: 2},
		},
	}
	for _, z := range zones {
		c.Zones = append(c.Zones, string(z))
	}
	if change != nil {
		change(&c)
	}
	return c.Put(s.memory)
}

// close ends everything that was started.
func (s *system) close() {
	for _, h := range s.hosts {
		if h.command != nil {
			_ = h.command.Process.Kill()
			<-h.exited
		}
		if h.log != nil {
			_ = h.log.Close()
		}
	}
	s.store.Close()
	for _, server := range s.servers {
		_ = server.Close()
	}
	s.wg.Wait()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.directory)
	}
}

// record is what a case writes to record.txt.
type record struct {
	begin time.Time

	mu     sync.Mutex
	file   *os.File
	counts map[string]int
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{begin: time.Now(), file: f, counts: make(map[string]int)}, err
}

// add writes one line.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%7.3f s  %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, args...))
}

// count counts an event, which close writes.
func (r *record) count(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[name]++
}

func (r *record) close() {
	for _, name := range slices.Sorted(maps.Keys(r.counts)) {
		r.add("total: %6d %s", r.counts[name], name)
	}
	_ = r.file.Close()
}
