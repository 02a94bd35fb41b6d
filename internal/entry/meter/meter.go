// Package meter keeps the metrics of a host: counters and histograms for each
// customer and class. They are published through one expvar map for each host.
//
// Metrics are kept only for the most recently seen customers, so that memory does
// not grow with the number of customers.
package meter

import (
	"container/list"
	"encoding/json"
	"expvar"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"quetzalhook"
)

const (
	minMS = 1       // lower bound of histograms
	maxMS = 600_000 // upper bound of histograms
	// significantDigits is the precision of a histogram. With one digit, a
	// histogram of this range takes about 2 KB.
	significantDigits = 1
	// maxSeries bounds the number of series of single customers. Each has two
	// histograms, so that all take about 16 MB.
	maxSeries = 4096
)

// Result describes a completed request.
type Result struct {
	Customer quetzalhook.CustomerID
	Class    quetzalhook.Class
	// FirstToken is the time to the first token or, for a plain service, to the
	// complete response.
	FirstToken time.Duration
	// Gap is the mean time between tokens.
	Gap    time.Duration
	Tokens int
}

// key identifies a series. An empty customer identifies the series of all
// customers.
type key struct {
	customer quetzalhook.CustomerID
	class    quetzalhook.ClassName
}

// series holds the metrics of one class, of a customer or of all customers.
type series struct {
	key        key
	served     int64
	inTarget   int64
	refused    int64
	tokens     int64
	firstToken *hdrhistogram.Histogram
	gap        *hdrhistogram.Histogram
	element    *list.Element // in Meter.lru; nil for all customers
}

// Meter holds the metrics of one host. It is safe for concurrent use.
type Meter struct {
	vars *expvar.Map

	mu     sync.Mutex
	series map[key]*series
	lru    *list.List // series of customers, the most recently used first
}

// New returns an empty meter.
func New() *Meter {
	m := &Meter{vars: new(expvar.Map).Init(), series: make(map[key]*series), lru: list.New()}
	m.Publish("requests", func() any { return m.Snapshot() })
	return m
}

// Publish adds a variable to the expvar map; f returns its current value.
func (m *Meter) Publish(name string, f func() any) { m.vars.Set(name, expvar.Func(f)) }

// Add adds n to a counter of the expvar map.
func (m *Meter) Add(name string, n int64) { m.vars.Add(name, n) }

// Handler returns a handler that serves the expvar map as JSON.
func (m *Meter) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json; charset=utf-8")
		_, _ = w.Write([]byte(m.vars.String()))
	})
}

// Served records a request that got a complete response.
func (m *Meter) Served(r Result) {
	met := inTarget(r)
	m.updateSeries(r.Customer, r.Class.Name(), func(s *series) {
		s.served++
		s.tokens += int64(r.Tokens)
		if met {
			s.inTarget++
		}
		record(s.firstToken, r.FirstToken)
		if r.Gap > 0 {
			record(s.gap, r.Gap)
		}
	})
}

// Refused records a request that was refused or failed.
func (m *Meter) Refused(customer quetzalhook.CustomerID, class quetzalhook.ClassName) {
	m.updateSeries(customer, class, func(s *series) { s.refused++ })
}

// inTarget reports whether the request met the latency targets of its class.
func inTarget(r Result) bool {
	ttft, gap := r.Class.TTFTTarget(), r.Class.GapTarget()
	return (ttft == 0 || r.FirstToken <= ttft) && (gap == 0 || r.Gap <= gap)
}

// record adds a duration to a histogram, limited to the histogram's range.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Milliseconds(), minMS), maxMS))
}

// updateSeries applies f to the series of the customer and to that of all customers.
func (m *Meter) updateSeries(customer quetzalhook.CustomerID, class quetzalhook.ClassName, f func(*series)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f(m.getSeries(key{class: class}))
	f(m.getSeries(key{customer: customer, class: class}))
}

// getSeries returns a series, which it creates if needed, and marks it as used. The
// caller holds m.mu.
func (m *Meter) getSeries(k key) *series {
	s := m.series[k]
	if s == nil {
		s = &series{
			key:        k,
			firstToken: hdrhistogram.New(minMS, maxMS, significantDigits),
			gap:        hdrhistogram.New(minMS, maxMS, significantDigits),
		}
		m.series[k] = s
		if k.customer != "" {
			s.element = m.lru.PushFront(s)
			m.evict()
		}
	} else if s.element != nil {
		m.lru.MoveToFront(s.element)
	}
	return s
}

// evict removes the least recently used series of customers beyond maxSeries.
func (m *Meter) evict() {
	for m.lru.Len() > maxSeries {
		oldest := m.lru.Back()
		m.lru.Remove(oldest)
		delete(m.series, oldest.Value.(*series).key)
	}
}

// Row is the JSON form of a series. Times are in milliseconds.
type Row struct {
	Customer   quetzalhook.CustomerID `json:"customer,omitempty"`
	Class      quetzalhook.ClassName  `json:"class"`
	Served     int64                  `json:"served"`
	InTarget   int64                  `json:"in-target"`
	Refused    int64                  `json:"refused"`
	Tokens     int64                  `json:"tokens"`
	FirstToken Quantiles              `json:"ttft-ms"`
	Gap        Quantiles              `json:"gap-ms"`
}

// Quantiles holds quantiles and the maximum of a histogram, in milliseconds.
type Quantiles struct {
	P50 int64 `json:"p50"`
	P95 int64 `json:"p95"`
	P99 int64 `json:"p99"`
	Max int64 `json:"max"`
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	return Quantiles{P50: h.ValueAtQuantile(50), P95: h.ValueAtQuantile(95), P99: h.ValueAtQuantile(99), Max: h.Max()}
}

// Snapshot returns all series.
func (m *Meter) Snapshot() []Row {
	m.mu.Lock()
	defer m.mu.Unlock()
	rows := make([]Row, 0, len(m.series))
	for k, s := range m.series {
		rows = append(rows, Row{
			Customer: k.customer, Class: k.class, Served: s.served, InTarget: s.inTarget, Refused: s.refused,
			Tokens: s.tokens, FirstToken: quantiles(s.firstToken), Gap: quantiles(s.gap),
		})
	}
	return rows
}

// MarshalJSON implements json.Marshaler. It returns the whole expvar map.
func (m *Meter) MarshalJSON() ([]byte, error) { return json.RawMessage(m.vars.String()).MarshalJSON() }
