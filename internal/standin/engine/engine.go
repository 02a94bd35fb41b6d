// Package engine simulates a model engine over HTTP for tests, the demo and
// load runs. It implements continuous batching in real time, request
// priorities, a prefix cache of limited size with cache events, resumption of
// partial answers, delayed load reports and orders to load a model. Faults can be
// injected at run time.
//
// The text of an answer is computed from the prompt, so a client can check that
// it received the answer to its own request, complete and with each token once.
package engine

import (
	"context"
	"net/http"
	"sync"
	"time"

	"quetzalhook/internal/standin/socket"
)

// Defaults of the options of New.
const (
	defaultSlots       = 8
	defaultTokenRate   = 100.0
	defaultPrefillRate = 20000.0
	defaultBatchSlope  = 0.5
	defaultCacheTokens = 1 << 17

	// snapshotInterval is the time between two snapshots of the load, which
	// GET /load returns.
	snapshotInterval = 50 * time.Millisecond
	// maxSnapshots limits the stored snapshots and thereby the report lag to
	// maxSnapshots * snapshotInterval (30 s).
	maxSnapshots = 600
)

// Engine is one simulated engine. It is safe for concurrent use.
type Engine struct {
	slots         int
	tokenRate     float64
	prefillRate   float64
	batchSlope    float64
	cacheTokens   int
	checksFencing bool
	models        []string

	socket *socket.Server
	wake   chan struct{}
	cancel context.CancelFunc
	group  sync.WaitGroup

	mu               sync.Mutex
	arrivals         int64
	waiting          []*stream
	running          []*stream
	prefillBusyUntil time.Time // when the prefill of all admitted prompts ends
	cache            *cache
	faults           Faults
	leavingSince     time.Time   // when Faults.Leaving was set
	lateArrivals     []time.Time // chat requests since leavingSince
	orders           []Order
	loaded           []string // models loaded by orders, in addition to models
	maxFencing       uint64
	snapshots        []loadReport
	recentTokens     rateWindow
	stats            Stats
}

// Stats counts requests and tokens since the engine was created.
type Stats struct {
	Requests        int64 `json:"requests"`
	Finished        int64 `json:"finished"`
	Cancelled       int64 `json:"cancelled"`
	GeneratedTokens int64 `json:"generated-tokens"`
	PrefillTokens   int64 `json:"prefill-tokens"`
}

// Option sets a property of an Engine.
type Option func(*Engine)

// WithSlots sets the number of requests in the batch at once.
func WithSlots(n int) Option { return func(e *Engine) { e.slots = max(n, 1) } }

// WithTokenRate sets the decode rate, in tokens/s, of a request that is alone in
// the batch.
func WithTokenRate(r float64) Option { return func(e *Engine) { e.tokenRate = r } }

// WithPrefillRate sets the prefill rate of the engine in prompt tokens/s. Prompts
// are prefilled one after another.
func WithPrefillRate(r float64) Option { return func(e *Engine) { e.prefillRate = r } }

// WithBatchSlope sets the fraction by which a decode step takes longer with a
// full batch than with one request.
func WithBatchSlope(f float64) Option { return func(e *Engine) { e.batchSlope = f } }

// WithCacheTokens sets the capacity of the prefix cache in tokens.
func WithCacheTokens(n int) Option { return func(e *Engine) { e.cacheTokens = n } }

// WithFencing makes the engine refuse orders whose fencing token is below the
// highest one received.
func WithFencing() Option { return func(e *Engine) { e.checksFencing = true } }

// WithModels sets the models that the engine serves; without it, the engine
// accepts any model.
func WithModels(models ...string) Option { return func(e *Engine) { e.models = models } }

// New starts an engine.
func New(opts ...Option) *Engine {
	e := &Engine{
		slots:       defaultSlots,
		tokenRate:   defaultTokenRate,
		prefillRate: defaultPrefillRate,
		batchSlope:  defaultBatchSlope,
		cacheTokens: defaultCacheTokens,
		wake:        make(chan struct{}, 1),
	}
	for _, opt := range opts {
		opt(e)
	}
	e.cache = newCache(e.cacheTokens / BlockTokens)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.serveChat)
	mux.HandleFunc("GET /load", e.serveLoad)
	mux.HandleFunc("GET /cache-events", e.serveCacheEvents)
	mux.HandleFunc("POST /orders", e.serveOrder)
	mux.HandleFunc("GET /orders", e.serveOrders)
	mux.HandleFunc("GET /v1/models", e.serveModels)
	mux.HandleFunc("GET /records", e.serveRecords)
	mux.HandleFunc("POST /faults", e.serveFaults)
	e.socket = socket.New(mux)
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	e.group.Go(func() { e.run(ctx) })
	e.group.Go(func() { e.recordSnapshots(ctx) })
	return e
}

// Handler returns the HTTP handler, for callers that open the listener
// themselves. Faults.Crash then aborts requests but does not close that listener.
func (e *Engine) Handler() http.Handler { return e.socket }

// Listen opens a listener on address, such as 127.0.0.1:0, serves on it and
// returns its actual address.
func (e *Engine) Listen(address string) (string, error) { return e.socket.Listen(address) }

// Close stops the engine and closes its connections.
func (e *Engine) Close() error {
	err := e.socket.Close()
	e.cancel()
	e.group.Wait()
	return err
}

// Stats returns the current counts.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stats
}

// RequestCounts returns the number of POST requests by X-Request-Id.
func (e *Engine) RequestCounts() map[string]int { return e.socket.RequestCounts() }

// WatchSecrets adds caller keys to look for in requests; a caller's key must not
// be forwarded to an upstream.
func (e *Engine) WatchSecrets(keys ...string) { e.socket.WatchSecrets(keys...) }

// SawSecret returns the number of requests that contained key in a header, query,
// trailer or body, and whether the key is watched.
func (e *Engine) SawSecret(key string) (int, bool) { return e.socket.SawSecret(key) }

// LateArrivals returns the number of chat requests that arrived more than
// grace after Faults.Leaving was set.
func (e *Engine) LateArrivals(grace time.Duration) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, t := range e.lateArrivals {
		if t.Sub(e.leavingSince) > grace {
			n++
		}
	}
	return n
}

// loadReport is a snapshot of the load and the body of GET /load.
type loadReport struct {
	at      time.Time
	Running int     `json:"running"`
	Waiting int     `json:"waiting"`
	Slots   int     `json:"slots"`
	Rate    float64 `json:"tokens-per-second"`
	Leaving bool    `json:"leaving"`
	AgeMS   int64   `json:"age-ms"`
}

// snapshot returns the current load. The caller holds e.mu.
func (e *Engine) snapshot(now time.Time) loadReport {
	return loadReport{
		at: now, Running: len(e.running), Waiting: len(e.waiting), Slots: e.slots,
		Rate: e.recentTokens.rate(now), Leaving: e.faults.Leaving,
	}
}

// recordSnapshots stores a snapshot of the load every snapshotInterval until ctx
// ends. reportedLoad selects one of them.
func (e *Engine) recordSnapshots(ctx context.Context) {
	ticker := time.NewTicker(snapshotInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			e.mu.Lock()
			e.snapshots = append(e.snapshots, e.snapshot(now))
			if len(e.snapshots) > maxSnapshots {
				e.snapshots = e.snapshots[len(e.snapshots)-maxSnapshots:]
			}
			e.mu.Unlock()
		}
	}
}

// reportedLoad returns the load that GET /load reports now: the current load if
// there is no report lag or no snapshot yet, otherwise the newest snapshot that is
// at least as old as the lag, or the oldest snapshot if none is.
func (e *Engine) reportedLoad(now time.Time) loadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	lag := milliseconds(e.faults.ReportLagMS)
	if lag <= 0 || len(e.snapshots) == 0 {
		return e.snapshot(now)
	}
	r := e.snapshots[0]
	for _, next := range e.snapshots {
		if now.Sub(next.at) < lag {
			break
		}
		r = next
	}
	r.AgeMS = now.Sub(r.at).Milliseconds()
	return r
}
