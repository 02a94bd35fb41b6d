// Package engine is a stand-in for a model engine: continuous batching in
// real time, a prefix cache in limited memory, priorities, resume, lagging
// load reports, cache events and orders, with faults that tests switch on.
//
// The answer is a function of the prompt, so that a client can verify that it
// received its own answer, whole, with each token once.
package engine

import (
	"context"
	"net/http"
	"sync"
	"time"

	"quetzalhook/internal/standin/socket"
)

// Defaults of an engine.
const (
	defaultSlots       = 8
	defaultTokenRate   = 100.0
	defaultPrefillRate = 20000.0
	defaultBatchSlope  = 0.5
	defaultCacheTokens = 1 << 17

	// reportPeriod is the time between two snapshots for GET /load.
	reportPeriod = 50 * time.Millisecond
	// maxReports bounds the kept snapshots, and so the longest report lag.
	maxReports = 600
)

// Engine is one engine. It is safe for concurrent use.
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

	mu        sync.Mutex
	arrivals  int64
	waiting   []*stream
	running   []*stream
	prefilled time.Time // when the prefills admitted so far end
	cache     *cache
	faults    Faults
	left      time.Time // when the engine began to leave
	late      []time.Time
	orders    []Order
	loaded    []string // models loaded by orders
	fencing   uint64
	reports   []report
	recent    rateWindow
	stats     Stats
}

// Stats counts what the engine did since it was created.
type Stats struct {
	Requests        int64 `json:"requests"`
	Finished        int64 `json:"finished"`
	Cancelled       int64 `json:"cancelled"`
	GeneratedTokens int64 `json:"generated-tokens"`
	PrefillTokens   int64 `json:"prefill-tokens"`
}

// Option sets a property of an Engine.
type Option func(*Engine)

// WithSlots sets the number of requests that run at once.
func WithSlots(n int) Option { return func(e *Engine) { e.slots = max(n, 1) } }

// WithTokenRate sets the tokens/s of a stream that runs alone.
func WithTokenRate(r float64) Option { return func(e *Engine) { e.tokenRate = r } }

// WithPrefillRate sets the prompt tokens/s, shared by all prompts.
func WithPrefillRate(r float64) Option { return func(e *Engine) { e.prefillRate = r } }

// WithBatchSlope sets by which fraction a decode step is longer with a full
// batch than with one stream.
func WithBatchSlope(f float64) Option { return func(e *Engine) { e.batchSlope = f } }

// WithCacheTokens sets the memory of the prefix cache in tokens.
func WithCacheTokens(n int) Option { return func(e *Engine) { e.cacheTokens = n } }

// WithFencing makes the engine refuse orders with an old fencing number.
func WithFencing() Option { return func(e *Engine) { e.checksFencing = true } }

// WithModels sets the models that the engine serves; without it, any.
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
	e.group.Go(func() { e.sample(ctx) })
	return e
}

// Handler returns the HTTP interface for a listener of the caller. A crash
// then closes connections but not the listener.
func (e *Engine) Handler() http.Handler { return e.socket }

// Listen serves on address, such as 127.0.0.1:0, and returns the address in
// use.
func (e *Engine) Listen(address string) (string, error) { return e.socket.Listen(address) }

// Close stops the engine and closes its connections.
func (e *Engine) Close() error {
	err := e.socket.Close()
	e.cancel()
	e.group.Wait()
	return err
}

// Stats returns the counts so far.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stats
}

// Runs returns how many requests came with each X-Request-Id.
func (e *Engine) Runs() map[string]int { return e.socket.Runs() }

// WatchSecrets adds caller keys that no request may carry.
func (e *Engine) WatchSecrets(keys ...string) { e.socket.WatchSecrets(keys...) }

// SawSecret returns how many requests carried key in any header, query,
// trailer or body, and false if the key was not watched.
func (e *Engine) SawSecret(key string) (int, bool) { return e.socket.SawSecret(key) }

// LateArrivals returns the number of chat requests that arrived more than
// grace after the engine began to leave.
func (e *Engine) LateArrivals(grace time.Duration) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, t := range e.late {
		if t.Sub(e.left) > grace {
			n++
		}
	}
	return n
}

// report is one snapshot for GET /load.
type report struct {
	at      time.Time
	Running int     `json:"running"`
	Waiting int     `json:"waiting"`
	Slots   int     `json:"slots"`
	Rate    float64 `json:"tokens-per-second"`
	Leaving bool    `json:"leaving"`
	AgeMS   int64   `json:"age-ms"`
}

// snapshot returns the present load. The caller holds e.mu.
func (e *Engine) snapshot(now time.Time) report {
	return report{
		at: now, Running: len(e.running), Waiting: len(e.waiting), Slots: e.slots,
		Rate: e.recent.rate(now), Leaving: e.faults.Leaving,
	}
}

// sample keeps snapshots for lagging reports.
func (e *Engine) sample(ctx context.Context) {
	ticker := time.NewTicker(reportPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			e.mu.Lock()
			e.reports = append(e.reports, e.snapshot(now))
			if len(e.reports) > maxReports {
				e.reports = e.reports[len(e.reports)-maxReports:]
			}
			e.mu.Unlock()
		}
	}
}

// load returns the load as reported now: the newest snapshot that is at least
// as old as the report lag.
func (e *Engine) load(now time.Time) report {
	e.mu.Lock()
	defer e.mu.Unlock()
	lag := milliseconds(e.faults.ReportLagMS)
	if lag <= 0 || len(e.reports) == 0 {
		return e.snapshot(now)
	}
	r := e.reports[0]
	for _, next := range e.reports {
		if now.Sub(next.at) < lag {
			break
		}
		r = next
	}
	r.AgeMS = now.Sub(r.at).Milliseconds()
	return r
}
