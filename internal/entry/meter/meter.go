// Package meter keeps a host's metrics: counters and histograms for each
// customer and class, published through one expvar map for each host.
//
// Histograms of customers are kept for the customers seen most recently, so
// that memory does not grow with the number of customers.
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
	lowest  = 1       // ms
	highest = 600_000 // ms
	// digits is the precision of a histogram; one histogram of this range
	// takes about 2 KB.
	digits = 1
	// maxSeries bounds the pairs of customer and class that are kept: two
	// histograms each, about 16 MB in all.
	maxSeries = 4096
)

// Result is one finished request.
type Result struct {
	Customer quetzalhook.CustomerID
	Class    quetzalhook.Class
	// FirstToken is the time to the first token, or to the whole response of
	// a service.
	FirstToken time.Duration
	// Gap is the mean time between tokens.
	Gap    time.Duration
	Tokens int
}

// key names one series; an empty customer stands for all.
type key struct {
	customer quetzalhook.CustomerID
	class    quetzalhook.ClassName
}

type series struct {
	key        key
	served     int64
	inTarget   int64
	refused    int64
	tokens     int64
	firstToken *hdrhistogram.Histogram
	gap        *hdrhistogram.Histogram
	element    *list.Element
}

// Meter holds the metrics of one host. It is safe for concurrent use.
type Meter struct {
	vars *expvar.Map

	mu     sync.Mutex
	series map[key]*series
	recent *list.List
}

// New returns an empty meter.
func New() *Meter {
	m := &Meter{vars: new(expvar.Map).Init(), series: make(map[key]*series), recent: list.New()}
	m.Publish("requests", func() any { return m.Snapshot() })
	return m
}

// Publish adds a variable to the host's map.
func (m *Meter) Publish(name string, f func() any) { m.vars.Set(name, expvar.Func(f)) }

// Add adds to a counter of the host's map.
func (m *Meter) Add(name string, n int64) { m.vars.Add(name, n) }

// Handler serves the host's map in the format of expvar.
func (m *Meter) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json; charset=utf-8")
		_, _ = w.Write([]byte(m.vars.String()))
	})
}

// Served records a complete answer.
func (m *Meter) Served(r Result) {
	met := inTarget(r)
	m.update(r.Customer, r.Class.Name(), func(s *series) {
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

// Refused records a refusal or a failed request.
func (m *Meter) Refused(customer quetzalhook.CustomerID, class quetzalhook.ClassName) {
	m.update(customer, class, func(s *series) { s.refused++ })
}

func inTarget(r Result) bool {
	ttft, gap := r.Class.TTFTTarget(), r.Class.GapTarget()
	return (ttft == 0 || r.FirstToken <= ttft) && (gap == 0 || r.Gap <= gap)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Milliseconds(), lowest), highest))
}

// update changes the series of the customer and that of all customers.
func (m *Meter) update(customer quetzalhook.CustomerID, class quetzalhook.ClassName, f func(*series)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f(m.get(key{class: class}))
	f(m.get(key{customer: customer, class: class}))
}

func (m *Meter) get(k key) *series {
	s := m.series[k]
	if s == nil {
		s = &series{
			key:        k,
			firstToken: hdrhistogram.New(lowest, highest, digits),
			gap:        hdrhistogram.New(lowest, highest, digits),
		}
		m.series[k] = s
		if k.customer != "" {
			s.element = m.recent.PushFront(s)
			m.evict()
		}
	} else if s.element != nil {
		m.recent.MoveToFront(s.element)
	}
	return s
}

func (m *Meter) evict() {
	for m.recent.Len() > maxSeries {
		oldest := m.recent.Back()
		m.recent.Remove(oldest)
		delete(m.series, oldest.Value.(*series).key)
	}
}

// Row is the published form of one series. Times are in milliseconds.
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

// Quantiles summarises a histogram in milliseconds.
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

// MarshalJSON implements json.Marshaler with the host's whole map.
func (m *Meter) MarshalJSON() ([]byte, error) { return json.RawMessage(m.vars.String()).MarshalJSON() }
