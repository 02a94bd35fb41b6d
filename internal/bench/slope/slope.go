// Package slope runs entry hosts in one process on loopback and measures what
// each of them costs: processor time, heap, heartbeats and platform calls, idle
// and under load. Runs with different numbers of hosts, upstreams and customers
// give the slopes from which docs/CAPACITY.md extrapolates.
//
// The stand-ins of the platform and the engines run in the same process, so
// that the processor time is an upper bound.
package slope

import (
	"context"
	"runtime"
	"syscall"
	"time"

	"quetzalhook/internal/state/timing"

	"github.com/pkg/errors"
)

// Limits of one run.
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
	// Settle is the time between the last start and the first measurement.
	Settle time.Duration
	// Window is the length of each of the two measurements.
	Window time.Duration
	// Rate is the requests/s sent to each host in the second measurement; 0
	// leaves it out.
	Rate float64
	// Tokens is the length of an answer.
	Tokens int
}

// Validate returns an error that names a wrong setting, or nil.
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
		return errors.Errorf("window %s and settle time %s are not up to %s", s.Window, s.Settle, maxWindow)
	case s.Tokens < 1 || s.Tokens > maxTokens:
		return errors.Errorf("tokens %d is not from 1 to %d", s.Tokens, maxTokens)
	case s.Rate < 0 || s.Rate > maxRate:
		return errors.Errorf("rate %g is not from 0 to %g", s.Rate, maxRate)
	}
	return nil
}

// Row is one measurement; all figures but the first six are for one host.
type Row struct {
	Phase     string  `json:"phase"`
	Hosts     int     `json:"hosts"`
	Zones     int     `json:"zones"`
	Upstreams int     `json:"upstreams"`
	Customers int     `json:"customers"`
	Tokens    int     `json:"tokens"`      // of an answer
	CPU       float64 `json:"cpu-percent"` // of a core, with the stand-ins' part
	Heap      float64 `json:"heap-mb"`     // after a collection, over that before the hosts started
	Routines  float64 `json:"goroutines"`
	Members   float64 `json:"members"`              // other hosts that are known
	Datagrams float64 `json:"datagrams-per-second"` // heartbeats sent
	Bytes     float64 `json:"bytes-per-second"`     // of heartbeats sent
	Requests  float64 `json:"requests-per-second"`  // answered by chat
	Failed    float64 `json:"failed-per-second"`
	Polls     float64 `json:"polls-per-second"` // HTTP calls that the engines answered, without chat
	// Calls are calls of the platform by kind in calls/s, PlatformBytes the
	// bytes of their answers in bytes/s.
	Calls         map[string]float64 `json:"platform-calls"`
	PlatformBytes float64            `json:"platform-bytes-per-second"`
	// Watches is the mean number of open watches.
	Watches float64 `json:"open-watches"`
}

// Run starts the hosts, measures them idle and, with a rate, under load, and
// stops them.
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
	before := heap()
	if err := f.start(ctx); err != nil {
		return nil, err
	}
	if !timing.Sleep(ctx, s.Settle) {
		return nil, ctx.Err()
	}
	idle, err := f.measure(ctx, "idle", before)
	if err != nil || s.Rate == 0 {
		return []Row{idle}, err
	}
	loaded, stop := context.WithCancel(ctx)
	wait := f.load(loaded)
	defer wait()
	defer stop()
	if !timing.Sleep(ctx, time.Second) {
		return nil, ctx.Err()
	}
	busy, err := f.measure(ctx, "load", before)
	return []Row{idle, busy}, err
}

// measure takes the difference between two snapshots.
func (f *fleet) measure(ctx context.Context, phase string, heapBefore uint64) (Row, error) {
	begin := f.snapshot()
	timing.Sleep(ctx, f.settings.Window)
	end := f.snapshot()
	seconds, hosts := end.at.Sub(begin.at).Seconds(), float64(f.settings.Hosts)
	per := func(a, b int64) float64 { return float64(b-a) / seconds / hosts }
	row := Row{
		Phase: phase, Hosts: f.settings.Hosts, Zones: f.settings.Zones,
		Upstreams: f.settings.Upstreams, Customers: f.settings.Customers, Tokens: f.settings.Tokens,
		CPU:       100 * (end.cpu - begin.cpu).Seconds() / seconds / hosts,
		Routines:  float64(runtime.NumGoroutine()) / hosts,
		Members:   float64(end.members) / hosts,
		Datagrams: per(begin.datagrams, end.datagrams), Bytes: per(begin.bytes, end.bytes),
		Requests: per(begin.served, end.served), Failed: per(begin.failed, end.failed),
		Polls: per(begin.polls, end.polls), Calls: make(map[string]float64),
		PlatformBytes: per(begin.platformBytes, end.platformBytes),
		Watches:       float64(begin.watches+end.watches) / 2 / hosts,
	}
	for kind, n := range end.calls {
		row.Calls[kind] = per(begin.calls[kind], n)
	}
	row.Heap = max(float64(heap())-float64(heapBefore), 0) / hosts / (1 << 20)
	return row, ctx.Err()
}

// heap returns the bytes in use after a collection.
func heap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// processorTime returns the user and system time of the process.
func processorTime() time.Duration {
	var r syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &r) != nil {
		return 0
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}
