// Package probe polls the load reports and cache events of upstreams and
// passes them on as quetzalhook.Load.
package probe

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"quetzalhook"
	"quetzalhook/internal/entry/relay"
)

const (
	defaultInterval = 250 * time.Millisecond
	// With many upstreams in view, each is polled every intervalPerUpstream for
	// each of them, so that a host makes at most 100 polls/s, up to maxInterval.
	// An older report would be of little use for placement.
	intervalPerUpstream = 10 * time.Millisecond
	maxInterval         = 2 * time.Second
	// pollTimeout bounds one poll; a slow upstream must not delay the others.
	pollTimeout = time.Second
	// maxBackoff bounds the interval for an upstream that does not answer.
	maxBackoff = 5 * time.Second
)

// Prober polls every upstream in a goroutine of its own.
type Prober struct {
	pool     *relay.Pool
	observe  func(quetzalhook.Load)
	interval time.Duration
	wait     atomic.Int64 // time between two polls of one upstream, from its number

	mu      sync.Mutex
	pollers map[quetzalhook.UpstreamID]context.CancelFunc
	wg      sync.WaitGroup
	closed  bool
}

// Option sets one property of a Prober.
type Option func(*Prober)

// WithInterval sets the time between two polls of one upstream while few are
// in view; the default is 250 ms.
func WithInterval(d time.Duration) Option {
	return func(p *Prober) { p.interval = d }
}

// New returns a prober that passes every report to observe.
func New(pool *relay.Pool, observe func(quetzalhook.Load), opts ...Option) *Prober {
	p := &Prober{pool: pool, observe: observe, interval: defaultInterval, pollers: make(map[quetzalhook.UpstreamID]context.CancelFunc)}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Set starts and stops polling so that exactly the given upstreams that are
// not gone are polled.
func (p *Prober) Set(upstreams []quetzalhook.Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	wanted := make(map[quetzalhook.UpstreamID]bool, len(upstreams))
	for _, u := range upstreams {
		if u.State != quetzalhook.UpstreamGone {
			wanted[u.ID] = true
		}
	}
	for id, cancel := range p.pollers {
		if !wanted[id] {
			cancel()
			delete(p.pollers, id)
		}
	}
	p.wait.Store(int64(p.every(len(wanted))))
	for id := range wanted {
		if p.pollers[id] == nil {
			ctx, cancel := context.WithCancel(context.Background())
			p.pollers[id] = cancel
			p.wg.Go(func() { p.poll(ctx, id) })
		}
	}
}

// every returns the time between two polls of one of n upstreams.
func (p *Prober) every(n int) time.Duration {
	return max(p.interval, min(time.Duration(n)*intervalPerUpstream, maxInterval))
}

// Close stops all polling and waits for it.
func (p *Prober) Close() error {
	p.mu.Lock()
	p.closed = true
	for _, cancel := range p.pollers {
		cancel()
	}
	p.mu.Unlock()
	p.wg.Wait()
	return nil
}

// poll asks one upstream until ctx ends. The first poll is spread over an
// interval, so that hosts that start together do not poll together.
func (p *Prober) poll(ctx context.Context, id quetzalhook.UpstreamID) {
	wait := rand.N(time.Duration(p.wait.Load()))
	reader := &reader{pool: p.pool, id: id}
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		load, err := reader.read(ctx)
		if err != nil {
			wait = min(max(wait, p.interval)*2, maxBackoff)
			continue
		}
		wait = time.Duration(p.wait.Load())
		p.observe(load)
	}
}

// reader reads reports and cache events of one upstream.
type reader struct {
	pool     *relay.Pool
	id       quetzalhook.UpstreamID
	sequence int64
	noEvents bool
}

type loadReport struct {
	Running int     `json:"running"`
	Waiting int     `json:"waiting"`
	Rate    float64 `json:"tokens-per-second"`
	Leaving bool    `json:"leaving"`
	AgeMS   int64   `json:"age-ms"`
}

type cacheEvents struct {
	Events []struct {
		Seq     int64    `json:"seq"`
		Stored  []string `json:"stored"`
		Evicted []string `json:"evicted"`
	} `json:"events"`
}

func (r *reader) read(ctx context.Context) (quetzalhook.Load, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	var report loadReport
	if _, err := r.get(ctx, "/load", &report); err != nil {
		return quetzalhook.Load{}, err
	}
	load := quetzalhook.Load{
		Upstream: r.id, Running: report.Running, Waiting: report.Waiting, TokenRate: report.Rate,
		Age: time.Duration(report.AgeMS) * time.Millisecond, Leaving: report.Leaving,
	}
	return load, r.readEvents(ctx, &load)
}

// readEvents adds cache events; a jump in their sequence marks a gap.
func (r *reader) readEvents(ctx context.Context, load *quetzalhook.Load) error {
	if r.noEvents {
		return nil
	}
	var events cacheEvents
	status, err := r.get(ctx, fmt.Sprintf("/cache-events?after=%d", r.sequence), &events)
	if status == http.StatusNotFound {
		r.noEvents = true
		return nil
	}
	if err != nil {
		return err
	}
	for _, e := range events.Events {
		load.PrefixGap = load.PrefixGap || e.Seq != r.sequence+1
		r.sequence = e.Seq
		load.Prefixes = appendHashes(load.Prefixes, e.Stored)
		load.Evicted = appendHashes(load.Evicted, e.Evicted)
	}
	return nil
}

func appendHashes(list []uint64, texts []string) []uint64 {
	for _, text := range texts {
		if h, err := strconv.ParseUint(text, 16, 64); err == nil {
			list = append(list, h)
		}
	}
	return list
}

func (r *reader) get(ctx context.Context, path string, into any) (int, error) {
	client, base, ok := r.pool.Client(r.id)
	if !ok {
		return 0, errors.New("upstream is not configured")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+path, nil)
	if err != nil {
		return 0, errors.WithStack(err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, errors.WithStack(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return resp.StatusCode, errors.New(resp.Status)
	}
	return resp.StatusCode, errors.WithStack(json.NewDecoder(resp.Body).Decode(into))
}
