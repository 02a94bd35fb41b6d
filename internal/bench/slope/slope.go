// Package slope runs several hosts in one process on loopback and measures the
// resource use of a host: processor time, heap, heartbeats and platform calls,
// idle and under load. Runs with different numbers of hosts, upstreams and
// customers show by how much the resource use grows with each number, its slope;
// docs/CAPACITY.md extrapolates from these slopes.
//
// The simulated platform and engines run in the same process, so the measured
// processor time is an upper bound.
package slope

import (
	"context"
	"runtime"
	"syscall"
	"time"

	"quetzalhook/internal/state/timing"

	"github.com/pkg/errors"
)

// Limits of the settings of one run.
const (
	maxHosts     = 64
	maxUpstreams = 10_000
	maxCustomers = 17_000
	maxWindow    = time.Minute
	maxRate      = 100.0
	maxTokens    = 2000
	startTimeout = 60 * time.Second
)

// Settings describe one run.
type Settings struct {
	Hosts     int
	Zones     int
	Upstreams int
	Customers int
	// Settle is the pause between the start of all hosts and the first
	// measurement.
	Settle time.Duration
	// Window is the duration of each of the two measurements.
	Window time.Duration
	// Rate is the rate in requests/s to each host during the second measurement;
	// 0 omits that measurement.
	Rate float64
	// Tokens is the length of each answer in tokens.
	Tokens int
}

// Validate returns an error that names the first setting that is out of range,
// or nil.
func (s Settings) Validate() error {
	switch {
	case s.Hosts < 1 || s.Hosts > maxHosts:
		return errors.Errorf("hosts %d is not from 1 to %d", s.Hosts, maxHosts)
	case s.Zones < 1 || s.Zones > s.Hosts:
		return errors.Errorf("zones %d is not from 1 to the number of hosts", s.Zones)
	case s.Upstreams < 1 || s.Upstreams > maxUpstreams:
		return errors.Errorf("upstreams %d is not from 1 to %d", s.Upstreams, maxUpstreams)
	case s.Customers < 1 || s.Customers > maxCustomers:
		return errors.Errorf("customers %d is not from 1 to %d", s.Customers, maxCustomers)
	case s.Window < time.Second || s.Window > maxWindow || s.Settle < 0 || s.Settle > maxWindow:
		return errors.Errorf("window %s or settle time %s is out of range: the window must be at least 1s, the settle time not negative, and both at most %s", s.Window, s.Settle, maxWindow)
	case s.Tokens < 1 || s.Tokens > maxTokens:
		return errors.Errorf("tokens %d is not from 1 to %d", s.Tokens, maxTokens)
	case s.Rate < 0 || s.Rate > maxRate:
		return errors.Errorf("rate %g is not from 0 to %g", s.Rate, maxRate)
	}
	return nil
}

// Row is the result of one measurement. The first six fields describe the run;
// the other fields are means for one host.
type Row struct {
	Phase      string  `json:"phase"`
	Hosts      int     `json:"hosts"`
	Zones      int     `json:"zones"`
	Upstreams  int     `json:"upstreams"`
	Customers  int     `json:"customers"`
	Tokens     int     `json:"tokens"`      // of each answer
	CPU        float64 `json:"cpu-percent"` // of one core, including the simulated platform and engines
	Heap       float64 `json:"heap-mb"`     // growth since before the hosts started, after garbage collection
	Goroutines float64 `json:"goroutines"`
	Members    float64 `json:"members"`              // other hosts that the host knows
	Datagrams  float64 `json:"datagrams-per-second"` // sent heartbeat datagrams
	Bytes      float64 `json:"bytes-per-second"`     // of sent heartbeat datagrams
	Requests   float64 `json:"requests-per-second"`  // answered chat requests
	Failed     float64 `json:"failed-per-second"`
	Polls      float64 `json:"polls-per-second"` // HTTP requests to the engines other than chat
	// PlatformCalls is the rate of platform calls by kind in calls/s. PlatformBytes is
	// the rate of their response bytes in bytes/s.
	PlatformCalls map[string]float64 `json:"platform-calls"`
	PlatformBytes float64            `json:"platform-bytes-per-second"`
	// Watches is the number of open watches, as the mean of the counts at the
	// start and the end of the measurement.
	Watches float64 `json:"open-watches"`
}

// Run starts the hosts, measures them idle and, if Rate is not 0, under load,
// and stops them.
func Run(ctx context.Context, s Settings) ([]Row, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, 2*startTimeout+s.Settle+2*s.Window)
	defer cancel()
	f, err := newFleet(s)
	if err != nil {
		return nil, err
	}
	defer f.close()
	heapBefore := heapBytes()
	if err := f.start(ctx); err != nil {
		return nil, err
	}
	if !timing.Sleep(ctx, s.Settle) {
		return nil, ctx.Err()
	}
	idle, err := f.measure(ctx, "idle", heapBefore)
	if err != nil || s.Rate == 0 {
		return []Row{idle}, err
	}
	loaded, stop := context.WithCancel(ctx)
	wait := f.startLoad(loaded)
	defer wait()
	defer stop()
	if !timing.Sleep(ctx, time.Second) {
		return nil, ctx.Err()
	}
	busy, err := f.measure(ctx, "load", heapBefore)
	return []Row{idle, busy}, err
}

// measure takes a snapshot at the start and the end of Settings.Window and
// returns the rates between them.
func (f *fleet) measure(ctx context.Context, phase string, heapBefore uint64) (Row, error) {
	begin := f.snapshot()
	timing.Sleep(ctx, f.settings.Window)
	end := f.snapshot()
	seconds, hosts := end.at.Sub(begin.at).Seconds(), float64(f.settings.Hosts)
	perHost := func(a, b int64) float64 { return float64(b-a) / seconds / hosts }
	row := Row{
		Phase: phase, Hosts: f.settings.Hosts, Zones: f.settings.Zones,
		Upstreams: f.settings.Upstreams, Customers: f.settings.Customers, Tokens: f.settings.Tokens,
		CPU:        100 * (end.cpu - begin.cpu).Seconds() / seconds / hosts,
		Goroutines: float64(runtime.NumGoroutine()) / hosts,
		Members:    float64(end.members) / hosts,
		Datagrams:  perHost(begin.datagrams, end.datagrams), Bytes: perHost(begin.bytes, end.bytes),
		Requests: perHost(begin.served, end.served), Failed: perHost(begin.failed, end.failed),
		Polls: perHost(begin.polls, end.polls), PlatformCalls: make(map[string]float64),
		PlatformBytes: perHost(begin.platformBytes, end.platformBytes),
		Watches:       float64(begin.watches+end.watches) / 2 / hosts,
	}
	for kind, n := range end.calls {
		row.PlatformCalls[kind] = perHost(begin.calls[kind], n)
	}
	row.Heap = max(float64(heapBytes())-float64(heapBefore), 0) / hosts / (1 << 20)
	return row, ctx.Err()
}

// heapBytes runs a garbage collection and returns the size of the heap in bytes.
func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// cpuTime returns the user and system time of the process.
func cpuTime() time.Duration {
	var r syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &r) != nil {
		return 0
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}
