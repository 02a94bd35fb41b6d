package engine

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// Order is a received order to the engine, accepted or not. The field load-model
// of its body names a model to load.
type Order struct {
	Fencing  uint64          `json:"fencing"`
	Body     json.RawMessage `json:"body"`
	Accepted bool            `json:"accepted"`
	At       time.Time       `json:"at"`
}

// Orders returns all received orders, oldest first.
func (e *Engine) Orders() []Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Order(nil), e.orders...)
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	fencing, err := strconv.ParseUint(r.Header.Get("Fencing-Token"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, "Fencing-Token is missing or not a number")
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil || !json.Valid(body) {
		writeError(w, http.StatusBadRequest, "body is not JSON")
		return
	}
	e.mu.Lock()
	highest := e.maxFencing
	accepted := !e.checksFencing || fencing >= highest
	e.maxFencing = max(highest, fencing)
	e.orders = append(e.orders, Order{Fencing: fencing, Body: body, Accepted: accepted, At: time.Now()})
	if accepted {
		e.loadModel(body)
	}
	e.mu.Unlock()
	if !accepted {
		writeError(w, http.StatusConflict, fmt.Sprintf("fencing token %d is lower than %d, the highest received", fencing, highest))
		return
	}
	writeJSON(w, http.StatusOK, map[string]bool{"accepted": true})
}

// loadModel loads the model that the body of an order names, if any. The caller
// holds e.mu.
func (e *Engine) loadModel(body []byte) {
	var order struct {
		Model string `json:"load-model"`
	}
	if json.Unmarshal(body, &order) != nil || order.Model == "" || slices.Contains(e.loaded, order.Model) {
		return
	}
	e.loaded = append(e.loaded, order.Model)
}

type modelItem struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

// serveModels lists the models set by WithModels and those loaded by orders.
func (e *Engine) serveModels(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	names := append(slices.Clone(e.models), e.loaded...)
	e.mu.Unlock()
	items := make([]modelItem, 0, len(names))
	for _, name := range names {
		items = append(items, modelItem{ID: name, Object: "model"})
	}
	writeJSON(w, http.StatusOK, map[string]any{"object": "list", "data": items})
}

func (e *Engine) serveOrders(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, map[string]any{"orders": e.Orders()})
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.reportedLoad(time.Now()))
}

// cacheEvent is one element of the body of GET /cache-events. The hashes are those
// of PrefixHashes, in hexadecimal.
type cacheEvent struct {
	Seq     int64    `json:"seq"`
	Stored  []string `json:"stored,omitempty"`
	Evicted []string `json:"evicted,omitempty"`
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil && r.URL.Query().Has("after") {
		writeError(w, http.StatusBadRequest, "after is not a number")
		return
	}
	e.mu.Lock()
	events := e.cache.eventsAfter(time.Now(), after, milliseconds(e.faults.EventLagMS))
	e.mu.Unlock()
	list := make([]cacheEvent, 0, len(events))
	for _, ev := range events {
		list = append(list, cacheEvent{Seq: ev.seq, Stored: hex(ev.stored), Evicted: hex(ev.evicted)})
	}
	writeJSON(w, http.StatusOK, map[string]any{"events": list})
}

func hex(hashes []uint64) []string {
	var list []string
	for _, h := range hashes {
		list = append(list, strconv.FormatUint(h, 16))
	}
	return list
}

// records is the body of GET /records.
type records struct {
	Stats Stats          `json:"stats"`
	Runs  map[string]int `json:"runs"`
}

func (e *Engine) serveRecords(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, records{Stats: e.Stats(), Runs: e.RequestCounts()})
}

func (e *Engine) serveFaults(w http.ResponseWriter, r *http.Request) {
	f := e.Faults()
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		writeError(w, http.StatusBadRequest, "invalid JSON: "+err.Error())
		return
	}
	writeJSON(w, http.StatusOK, f)
	// Send the response first: Faults.Crash closes this connection too.
	_ = http.NewResponseController(w).Flush()
	_ = e.SetFaults(f)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func writeError(w http.ResponseWriter, status int, message string) {
	writeJSON(w, status, map[string]any{"error": map[string]string{"message": message}})
}
