// Package probe polls upstreams for load reports and cache events and passes them
// to an observer as quetzalhook.Load.
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
	"quetzalhook/internal/platform/intake"
)

const (
	defaultInterval = 250 * time.Millisecond
	// With many upstreams, the interval of each is intervalPerUpstream times their
	// number, so that a host makes at most 100 polls/s. The interval is at most
	// maxInterval, since older reports are of little use for placement.
	intervalPerUpstream = 10 * time.Millisecond
	maxInterval         = 2 * time.Second
	// pollTimeout bounds one poll.
	pollTimeout = time.Second
	// maxBackoff bounds the interval of an upstream whose polls fail.
	maxBackoff = 5 * time.Second
)

// Prober polls each upstream in a separate goroutine, so that a slow upstream does
// not delay the others.
type Prober struct {
	pool            *relay.Pool
	observe         func(quetzalhook.Load)
	interval        time.Duration // shortest time between two polls of one upstream
	currentInterval atomic.Int64  // a time.Duration, from the number of upstreams

	mu      sync.Mutex
	pollers map[quetzalhook.UpstreamID]context.CancelFunc
	wg      sync.WaitGroup
	closed  bool
}

// Option sets one property of a Prober.
type Option func(*Prober)

// WithInterval sets the shortest time between two polls of one upstream, which
// applies while there are few upstreams. The default is 250 ms.
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

// Set replaces the list of upstreams to poll. Upstreams in state gone are not
// polled.
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
	p.currentInterval.Store(int64(p.pollInterval(len(wanted))))
	for id := range wanted {
		if p.pollers[id] == nil {
			ctx, cancel := context.WithCancel(context.Background())
			p.pollers[id] = cancel
			p.wg.Go(func() { p.poll(ctx, id) })
		}
	}
}

// pollInterval returns the time between two polls of one upstream if there are n.
func (p *Prober) pollInterval(n int) time.Duration {
	return max(p.interval, min(time.Duration(n)*intervalPerUpstream, maxInterval))
}

// Close stops all polling and waits for the goroutines to end.
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

// poll polls one upstream until ctx ends. The first poll is delayed by a random part
// of the interval, so that hosts that start at the same time do not poll at the same
// time.
func (p *Prober) poll(ctx context.Context, id quetzalhook.UpstreamID) {
	wait := rand.N(time.Duration(p.currentInterval.Load()))
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
		wait = time.Duration(p.currentInterval.Load())
		p.observe(load)
	}
}

// reader reads the load reports and cache events of one upstream.
type reader struct {
	pool     *relay.Pool
	id       quetzalhook.UpstreamID
	sequence int64 // of the last cache event read
	noEvents bool  // the upstream does not provide cache events
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

// read returns one load report with the cache events since the last one.
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

// readEvents adds new cache events to load. If sequence numbers are missing, it sets
// load.PrefixGap, because events were lost.
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

// appendHashes appends hashes given as hexadecimal text and skips invalid ones.
func appendHashes(list []uint64, texts []string) []uint64 {
	for _, text := range texts {
		if h, err := strconv.ParseUint(text, 16, 64); err == nil {
			list = append(list, h)
		}
	}
	return list
}

// maxReport bounds a response of an upstream, in bytes.
const maxReport = 4 << 20

// get requests a path of the upstream and decodes the JSON response into result. It
// returns the HTTP status, or 0 if there is no response.
func (r *reader) get(ctx context.Context, path string, result any) (int, error) {
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
	body, err := intake.ReadAll(resp.Body, maxReport)
	if err != nil {
		return resp.StatusCode, errors.WithStack(err)
	}
	return resp.StatusCode, errors.WithStack(json.Unmarshal(body, result))
}
