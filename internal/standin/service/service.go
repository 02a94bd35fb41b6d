// Package service simulates an ordinary HTTP service with operations that must not
// be repeated, such as bookings and orders. It counts how often each order was
// executed. After the execution it can delay a response, swap it with that of
// another call, or close the connection without one.
package service

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"quetzalhook/internal/standin/socket"
)

// Service is one simulated service. It is safe for concurrent use.
type Service struct {
	orderField string
	socket     *socket.Server

	mu          sync.Mutex
	faults      Faults
	records     map[string]*record
	calls       int
	pendingSwap *call // call that waits for another call to swap responses with
}

// record counts the executions of one order.
type record struct {
	Runs   int    `json:"runs"`
	Status string `json:"status"`
}

// answer is the body of a successful response.
type answer struct {
	Order  string `json:"order-id"`
	Status string `json:"status"`
	Runs   int    `json:"runs"`
}

// call is an executed request whose response may be swapped.
type call struct {
	answer  answer
	request string // X-Request-Id
	swapped chan *call
}

// Faults are the faults that the service simulates. The zero value is a healthy
// service. POST /faults accepts the same fields; absent ones keep their value.
type Faults struct {
	// DelayMS delays every call before it is executed, in milliseconds.
	DelayMS int64 `json:"delay-ms"`
	// LateEvery delays every n-th response by LateMS after the execution; 0
	// delays none.
	LateEvery int   `json:"late-every"`
	LateMS    int64 `json:"late-ms"`
	// Crossed swaps the responses of concurrent calls in pairs.
	Crossed bool `json:"crossed"`
	// CrashAfterEffect is the number of calls still to be executed without a
	// response: their connection is closed instead.
	CrashAfterEffect int `json:"crash-after-effect"`
	// Crash closes all connections and refuses new ones until it is reset.
	Crash bool `json:"crash"`
	// Silent makes all open connections that have sent a request stop responding
	// permanently. It applies once and is not stored.
	Silent bool `json:"silent"`
}

// swapTimeout is how long a call waits for another call to swap responses with.
const swapTimeout = 200 * time.Millisecond

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
		mux.HandleFunc("POST "+route, s.serveCreate)
		mux.HandleFunc("GET "+route+"/{id}", s.serveStatus)
	}
	mux.HandleFunc("GET /records", s.serveRecords)
	mux.HandleFunc("POST /faults", s.serveFaults)
	s.socket = socket.New(mux)
	return s
}

// Handler returns the HTTP handler, for callers that open the listener
// themselves. Faults.Crash then aborts requests but does not close that listener.
func (s *Service) Handler() http.Handler { return s.socket }

// Listen opens a listener on address, such as 127.0.0.1:0, serves on it and
// returns its actual address.
func (s *Service) Listen(address string) (string, error) { return s.socket.Listen(address) }

// Close closes the listener and all connections.
func (s *Service) Close() error { return s.socket.Close() }

// SetFaults replaces all active faults. It restarts a crashed service unless
// f.Crash is set.
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

// Runs returns the number of executions by order id.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make(map[string]int, len(s.records))
	for id, r := range s.records {
		runs[id] = r.Runs
	}
	return runs
}

// RequestCounts returns the number of POST requests by X-Request-Id.
func (s *Service) RequestCounts() map[string]int { return s.socket.RequestCounts() }

// WatchSecrets adds caller keys to look for in requests; a caller's key must not
// be forwarded to an upstream.
func (s *Service) WatchSecrets(keys ...string) { s.socket.WatchSecrets(keys...) }

// SawSecret returns the number of requests that contained key in a header, query,
// trailer or body, and whether the key is watched.
func (s *Service) SawSecret(key string) (int, bool) { return s.socket.SawSecret(key) }

func (s *Service) serveCreate(w http.ResponseWriter, r *http.Request) {
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
	if !delayCall(r, s.Faults().DelayMS) {
		return
	}
	c, crash, late := s.execute(id, r.Header.Get("X-Request-Id"))
	if crash {
		panic(http.ErrAbortHandler)
	}
	if !delayCall(r, late) {
		return
	}
	c = s.swapAnswer(c)
	if c.request != "" {
		w.Header().Set("X-Request-Id", c.request)
	}
	writeJSON(w, http.StatusCreated, c.answer)
}

// execute counts an execution of order id. It returns the call with its response,
// whether to close the connection instead of responding, and the delay of the
// response in milliseconds.
func (s *Service) execute(id, request string) (c *call, crash bool, late int64) {
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

// swapAnswer returns the call whose response is to be sent in place of that of c.
// It returns c without Faults.Crossed, or if no other call arrives within
// swapTimeout.
func (s *Service) swapAnswer(c *call) *call {
	s.mu.Lock()
	if !s.faults.Crossed {
		s.mu.Unlock()
		return c
	}
	if p := s.pendingSwap; p != nil {
		s.pendingSwap = nil
		s.mu.Unlock()
		p.swapped <- c
		return p
	}
	s.pendingSwap = c
	s.mu.Unlock()
	timer := time.NewTimer(swapTimeout)
	defer timer.Stop()
	select {
	case other := <-c.swapped:
		return other
	case <-timer.C:
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pendingSwap == c {
		s.pendingSwap = nil
		return c
	}
	return <-c.swapped
}

func (s *Service) serveStatus(w http.ResponseWriter, r *http.Request) {
	if !delayCall(r, s.Faults().DelayMS) {
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

// delayCall waits for ms milliseconds and returns false if the client disconnected
// meanwhile.
func delayCall(r *http.Request, ms int64) bool {
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

// serveRecords returns the executions by order id and the POST requests by
// X-Request-Id.
func (s *Service) serveRecords(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, map[string]any{"orders": s.Runs(), "runs": s.RequestCounts()})
}

func (s *Service) serveFaults(w http.ResponseWriter, r *http.Request) {
	f := s.Faults()
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		writeError(w, http.StatusBadRequest, "invalid JSON: "+err.Error())
		return
	}
	writeJSON(w, http.StatusOK, f)
	// Send the response first: Faults.Crash closes this connection too.
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
