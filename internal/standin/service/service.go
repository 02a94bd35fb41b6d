// Package service is a stand-in for an ordinary service whose calls must not
// be repeated, such as bookings and orders. It counts how often each order
// ran and can delay, cross or lose its answers after the effect.
package service

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"quetzalhook/internal/standin/socket"
)

// Service is one service process. It is safe for concurrent use.
type Service struct {
	orderField string
	socket     *socket.Server

	mu      sync.Mutex
	faults  Faults
	records map[string]*record
	calls   int
	partner *call // waits for another call to swap answers with
}

// record is what the service keeps of one order.
type record struct {
	Runs   int    `json:"runs"`
	Status string `json:"status"`
}

// answer is the body of every response.
type answer struct {
	Order  string `json:"order-id"`
	Status string `json:"status"`
	Runs   int    `json:"runs"`
}

// call is a request whose answer may be swapped.
type call struct {
	answer  answer
	request string // X-Request-Id
	swapped chan *call
}

// Faults selects how the service misbehaves. The zero value is a healthy
// service. POST /faults takes the same fields; absent ones stay as they are.
type Faults struct {
	// DelayMS delays every call, before the effect, in milliseconds.
	DelayMS int64 `json:"delay-ms"`
	// LateEvery delays every n-th answer by LateMS after the effect; 0 delays
	// none.
	LateEvery int   `json:"late-every"`
	LateMS    int64 `json:"late-ms"`
	// Crossed swaps the answers of concurrent calls in pairs.
	Crossed bool `json:"crossed"`
	// CrashAfterEffect is the number of further calls whose connection is
	// closed after the effect, without an answer.
	CrashAfterEffect int `json:"crash-after-effect"`
	// Crash closes all connections and refuses new ones until it is unset.
	Crash bool `json:"crash"`
	// Silent makes the connections open now stop answering for good. It acts
	// once and does not stay set.
	Silent bool `json:"silent"`
}

// crossWait is how long a call waits for another one to swap answers with.
const crossWait = 200 * time.Millisecond

// Option sets a property of a Service.
type Option func(*Service)

// WithOrderField sets the body field that identifies an order.
func WithOrderField(name string) Option { return func(s *Service) { s.orderField = name } }

// New returns a service.
func New(opts ...Option) *Service {
	s := &Service{orderField: "order-id", records: make(map[string]*record)}
	for _, opt := range opts {
		opt(s)
	}
	mux := http.NewServeMux()
	for _, route := range []string{"/bookings", "/orders"} {
		mux.HandleFunc("POST "+route, s.create)
		mux.HandleFunc("GET "+route+"/{id}", s.status)
	}
	mux.HandleFunc("GET /records", s.serveRecords)
	mux.HandleFunc("POST /faults", s.serveFaults)
	s.socket = socket.New(mux)
	return s
}

// Handler returns the HTTP interface for a listener of the caller. A crash
// then closes connections but not the listener.
func (s *Service) Handler() http.Handler { return s.socket }

// Listen serves on address, such as 127.0.0.1:0, and returns the address in
// use.
func (s *Service) Listen(address string) (string, error) { return s.socket.Listen(address) }

// Close closes all connections.
func (s *Service) Close() error { return s.socket.Close() }

// SetFaults replaces the active faults.
func (s *Service) SetFaults(f Faults) error {
	silent := f.Silent
	f.Silent = false
	s.mu.Lock()
	s.faults = f
	s.mu.Unlock()
	if silent {
		s.socket.Silence()
	}
	if f.Crash {
		s.socket.Crash()
		return nil
	}
	return s.socket.Restart()
}

// Faults returns the active faults.
func (s *Service) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Runs returns how often each order ran.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make(map[string]int, len(s.records))
	for id, r := range s.records {
		runs[id] = r.Runs
	}
	return runs
}

// Requests returns how many requests came with each X-Request-Id.
func (s *Service) Requests() map[string]int { return s.socket.Runs() }

// WatchSecrets adds caller keys that no request may carry.
func (s *Service) WatchSecrets(keys ...string) { s.socket.WatchSecrets(keys...) }

// SawSecret returns how many requests carried key in any header, query,
// trailer or body, and false if the key was not watched.
func (s *Service) SawSecret(key string) (int, bool) { return s.socket.SawSecret(key) }

func (s *Service) create(w http.ResponseWriter, r *http.Request) {
	var body map[string]any
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		writeError(w, http.StatusBadRequest, "invalid JSON: "+err.Error())
		return
	}
	id, _ := body[s.orderField].(string)
	if id == "" {
		writeError(w, http.StatusBadRequest, "field "+s.orderField+" is missing")
		return
	}
	if !wait(r, s.Faults().DelayMS) {
		return
	}
	c, crash, late := s.effect(id, r.Header.Get("X-Request-Id"))
	if crash {
		panic(http.ErrAbortHandler)
	}
	if !wait(r, late) {
		return
	}
	c = s.cross(c)
	if c.request != "" {
		w.Header().Set("X-Request-Id", c.request)
	}
	writeJSON(w, http.StatusCreated, c.answer)
}

// effect runs the order and returns the call with its answer, whether to
// crash, and the delay of the answer in milliseconds.
func (s *Service) effect(id, request string) (c *call, crash bool, late int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rec := s.records[id]
	if rec == nil {
		rec = &record{Status: "taken"}
		s.records[id] = rec
	}
	rec.Runs++
	s.calls++
	if s.faults.CrashAfterEffect > 0 {
		s.faults.CrashAfterEffect--
		crash = true
	}
	if s.faults.LateEvery > 0 && s.calls%s.faults.LateEvery == 0 {
		late = s.faults.LateMS
	}
	c = &call{
		answer:  answer{Order: id, Status: rec.Status, Runs: rec.Runs},
		request: request,
		swapped: make(chan *call, 1),
	}
	return c, crash, late
}

// cross returns the call whose answer is to be sent in place of c's.
func (s *Service) cross(c *call) *call {
	s.mu.Lock()
	if !s.faults.Crossed {
		s.mu.Unlock()
		return c
	}
	if p := s.partner; p != nil {
		s.partner = nil
		s.mu.Unlock()
		p.swapped <- c
		return p
	}
	s.partner = c
	s.mu.Unlock()
	timer := time.NewTimer(crossWait)
	defer timer.Stop()
	select {
	case other := <-c.swapped:
		return other
	case <-timer.C:
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.partner == c {
		s.partner = nil
		return c
	}
	return <-c.swapped
}

func (s *Service) status(w http.ResponseWriter, r *http.Request) {
	if !wait(r, s.Faults().DelayMS) {
		return
	}
	id := r.PathValue("id")
	s.mu.Lock()
	a := answer{Order: id, Status: "unknown"}
	if rec := s.records[id]; rec != nil {
		a.Status, a.Runs = rec.Status, rec.Runs
	}
	s.mu.Unlock()
	code := http.StatusOK
	if a.Runs == 0 {
		code = http.StatusNotFound
	}
	writeJSON(w, code, a)
}

// wait delays a call and returns false if the client went away.
func wait(r *http.Request, ms int64) bool {
	if ms <= 0 {
		return true
	}
	timer := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer timer.Stop()
	select {
	case <-r.Context().Done():
		return false
	case <-timer.C:
		return true
	}
}

// serveRecords returns the runs by order and the requests by X-Request-Id.
func (s *Service) serveRecords(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, map[string]any{"orders": s.Runs(), "runs": s.Requests()})
}

func (s *Service) serveFaults(w http.ResponseWriter, r *http.Request) {
	f := s.Faults()
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		writeError(w, http.StatusBadRequest, "invalid JSON: "+err.Error())
		return
	}
	writeJSON(w, http.StatusOK, f)
	// A crash would cut off the answer.
	_ = http.NewResponseController(w).Flush()
	_ = s.SetFaults(f)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func writeError(w http.ResponseWriter, status int, message string) {
	writeJSON(w, status, map[string]any{"error": map[string]string{"message": message}})
}
