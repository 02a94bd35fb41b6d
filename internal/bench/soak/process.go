package soak

import (
	"maps"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/goccy/go-yaml"

	"quetzalhook"
	"quetzalhook/internal/entry/setting"
)

// Ports of a host. They are the same for all hosts, since each has an IP address
// of its own.
const (
	callersPort    = 8227
	readyPort      = 8220
	directoryPort  = 8224
	firstInnerPort = 7340
	lastInnerPort  = 7342
)

// host is a host process with the proxies of its connections.
type host struct {
	name     quetzalhook.HostID
	ip       string
	zone     quetzalhook.Zone
	program  string
	older    string // program of an older build, which runs in the first olderStarts starts
	settings string // path
	log      string // path
	// callers proxies connections from callers to the host, store and duties those
	// from the host to the platform.
	callers, store, duties *Proxy
	env                    []string // of the process, beside that of this one
	// link limits the rate of the calls that other hosts make; nil for no limit.
	link *Link

	mu           sync.Mutex
	command      *exec.Cmd
	exited       chan struct{} // closed when the process has ended
	boot         int           // number of starts so far
	olderStarts  int
	exitExpected bool // a signal that ends the process was sent
	// disturbedUntil is the end of the last disturbance; it may lie in the future.
	disturbedUntil time.Time
	// stopped is when SIGTERM was last sent, and reloaded when SIGHUP was.
	stopped, reloaded time.Time
	// resetAt is when the process was last started or resumed.
	resetAt  time.Time
	isFrozen bool
	// links proxies connections to the upstreams, in runs with partitions.
	links     map[quetzalhook.UpstreamID]*Proxy
	partition Partition // from all upstreams; empty for none
}

// hostMemoryMB is the memory limit of a host in MB.
const hostMemoryMB = 256

// peerSecret authenticates the hosts of a run to each other.
const peerSecret = "hosts-of-a-soak"

// writeSettings writes the file from which the host reads its settings.
func (h *host) writeSettings(zones map[quetzalhook.Zone]quetzalhook.Region, seeds []string) error {
	s := setting.Host{
		Host: h.name, Zone: h.zone, Region: zones[h.zone], Zones: zones, InnerPorts: []int{firstInnerPort, lastInnerPort}, Seeds: seeds,
		Store: h.store.Address(), Platform: h.duties.Address(), ProcessorShare: 1, Processors: 1, MemoryMB: hostMemoryMB,
		StopS: stopLimit.Seconds(), AnswerLifeS: 5, LeaseMS: 3000, LeaveMS: float64(leavingBound.Milliseconds()), ApplyMS: 2500, UsageWindowS: 5, UsageDueS: 10,
		RetryRatio: 0.2, RetrySlack: 50, RetryWindowS: 10, EvacuateMS: 5000, ColdOver: 1.5, ColdSlack: 5,
	}
	s.Listen.Callers = net.JoinHostPort(h.ip, strconv.Itoa(callersPort))
	s.Listen.Ready = net.JoinHostPort(h.ip, strconv.Itoa(readyPort))
	s.Listen.Directory = net.JoinHostPort(h.ip, strconv.Itoa(directoryPort))
	if h.link != nil {
		s.PeerAdvertise = h.link.Address()
	}
	data, err := yaml.Marshal(s)
	if err != nil {
		return &Error{Op: "settings", Kind: ErrorSetup, Err: err}
	}
	if err := os.WriteFile(h.settings, data, 0o600); err != nil {
		return &Error{Op: "settings", Kind: ErrorSetup, Err: err}
	}
	return nil
}

// start starts the process. It calls onExit if the process exits although signal
// has sent neither SIGTERM nor SIGKILL.
func (h *host) start(onExit func(h *host, err error)) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	out, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return &Error{Op: "start", Kind: ErrorSetup, Err: err}
	}
	program := h.program
	if h.boot < h.olderStarts {
		program = h.older
	}
	c := exec.Command(program, "host", "--settings", h.settings, "--peer-secret", peerSecret)
	c.Stdout, c.Stderr, c.Env = out, out, append(os.Environ(), h.env...)
	if err := c.Start(); err != nil {
		_ = out.Close()
		return &Error{Op: "start", Kind: ErrorSetup, Err: err}
	}
	exited := make(chan struct{})
	h.command, h.exited, h.exitExpected = c, exited, false
	h.boot++
	h.resetAt = time.Now()
	if now := time.Now(); now.After(h.disturbedUntil) {
		h.disturbedUntil = now
	}
	go func() {
		err := c.Wait()
		_ = out.Close()
		h.mu.Lock()
		exitExpected := h.exitExpected
		h.mu.Unlock()
		close(exited)
		if !exitExpected {
			onExit(h, err)
		}
	}()
	return nil
}

// signal sends a signal to the process, and records those that end it.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.command == nil {
		return
	}
	switch s {
	case syscall.SIGKILL:
		h.exitExpected = true
	case syscall.SIGTERM:
		if !h.exitExpected {
			h.stopped = time.Now()
		}
		h.exitExpected = true
	case syscall.SIGHUP:
		h.reloaded = time.Now()
	case syscall.SIGSTOP:
		h.isFrozen = true
	case syscall.SIGCONT:
		h.isFrozen, h.resetAt = false, time.Now()
	}
	_ = h.command.Process.Signal(s) // fails if the process has exited already
}

// wait reports whether the process exits within limit.
func (h *host) wait(limit time.Duration) bool {
	h.mu.Lock()
	exited := h.exited
	h.mu.Unlock()
	select {
	case <-exited:
		return true
	case <-time.After(limit):
		return false
	}
}

// disturb records a disturbance of the host that lasts until the given time.
func (h *host) disturb(until time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if until.After(h.disturbedUntil) {
		h.disturbedUntil = until
	}
}

// undisturbedSince reports whether the last disturbance of the host ended more
// than stableWindow before t. A planned stop counts as a disturbance only at the
// moment when the host is started again.
func (h *host) undisturbedSince(t time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.disturbedUntil.Add(stableWindow).Before(t)
}

// starts returns the number of starts.
func (h *host) starts() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.boot
}

func (h *host) plannedWork(undisturbed bool) PlannedWork {
	h.mu.Lock()
	defer h.mu.Unlock()
	return PlannedWork{Stop: h.stopped, Reload: h.reloaded, Undisturbed: undisturbed}
}

func (h *host) close() {
	h.signal(syscall.SIGKILL)
	h.signal(syscall.SIGCONT)
	if h.command != nil {
		h.wait(stopLimit)
	}
	for _, p := range slices.AppendSeq([]*Proxy{h.callers, h.store, h.duties}, maps.Values(h.links)) {
		_ = p.Close()
	}
	if h.link != nil {
		_ = h.link.Close()
	}
}

func logPath(directory string, name quetzalhook.HostID) string {
	return filepath.Join(directory, string(name)+".log")
}
