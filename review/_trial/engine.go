package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// worker is a stand-in for a model worker or, without models, a worker of the order
// service. Its fields are set before start.
type worker struct {
	*system
	id, service, zone string
	models            []string
	slots             int
	firstEvent        time.Duration
	events            int
	eventPause        time.Duration
	// onRequest is called when a request reaches the worker.
	onRequest func(w *worker, id string, parts []string)
	// isDeadly reports whether the worker crashes as it begins to answer.
	isDeadly func(parts []string) bool
	onCrash  func(w *worker)
	backIn   time.Duration

	// endless is the share of answers, in thousandths, that are heads without end.
	endless atomic.Int64
	// garbled is the share of answers, in thousandths, that are no answers in the
	// protocol.
	garbled atomic.Int64
	// keepAlive is the time after which an idle connection is closed; 0 for none.
	keepAlive time.Duration
	running   atomic.Int64
	address   string
	mu        sync.Mutex
	born      int64
	server    *http.Server
	down      bool
}

func (w *worker) record() map[string]any {
	models := make([]map[string]any, 0, len(w.models))
	for _, m := range w.models {
		models = append(models, map[string]any{"name": m, "version": 1, "adapters": []string{}})
	}
	return map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": w.slots, "state": "ready",
		"cold_remaining_ms": 0, "seq": 1, "born": w.born, "models": models, "stage": "both",
	}
}

// start opens the listener and registers the worker in the store.
func (w *worker) start() error {
	if w.address == "" {
		w.address = w.network + "252:0"
	}
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: w, IdleTimeout: w.keepAlive}
	w.mu.Lock()
	w.address, w.born, w.server, w.down = l.Addr().String(), time.Now().UnixMilli(), server, false
	record := w.record()
	w.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	return w.put("servers/"+w.id, record)
}

// crash ends the worker, which is back after some seconds.
func (w *worker) crash() {
	w.mu.Lock()
	if w.down {
		w.mu.Unlock()
		return
	}
	w.down = true
	server := w.server
	w.mu.Unlock()
	w.onCrash(w)
	w.line("worker %s crashed", w.id)
	_ = server.Close()
	time.AfterFunc(w.backIn, func() {
		for w.ctx.Err() == nil && w.start() != nil {
			time.Sleep(100 * time.Millisecond)
		}
		w.line("worker %s is back", w.id)
	})
}

// endlessHead sends header lines until the caller closes.
func (w *worker) endlessHead(rw http.ResponseWriter) {
	conn, buffer, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	_, _ = io.WriteString(buffer, "HTTP/1.1 200 OK\r\n")
	line := []byte(strings.Repeat("a:\n", 1000))
	for w.ctx.Err() == nil {
		if _, err := buffer.Write(line); err != nil {
			return
		}
	}
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if rand.Int64N(1000) < w.endless.Load() {
		w.line("worker %s answers %s %s with a head without end", w.id, r.Method, r.URL.Path)
		w.endlessHead(rw)
		return
	}
	w.mu.Lock()
	born := w.born
	w.mu.Unlock()
	switch r.URL.Path {
	case "/health":
		rw.Header().Set("Quetzalhook-Instance-Id", w.id)
		return
	case "/quetzalhook/report":
		rw.Header().Set("Content-Type", "application/json")
		fmt.Fprintf(rw, `{"stage":"both","models":[],"busy":false,"seq":1,"waiting":0,"running":%d,"kv_used":0,"kv_total":477344,"handles":0,"born":%d}`, w.running.Load(), born)
		return
	case "/quetzalhook/kv-list":
		rw.Header().Set("Content-Type", "application/json")
		fmt.Fprintf(rw, `{"epoch":1,"next":0,"held":[],"born":%d}`, born)
		return
	}
	if strings.HasPrefix(r.URL.Path, "/quetzalhook/") {
		rw.WriteHeader(http.StatusNotFound)
		return
	}
	w.request(rw, r)
}

func (w *worker) request(rw http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("Quetzalhook-Request-Id")
	h := rw.Header()
	h.Set("Quetzalhook-Request-Id", id)
	if expected := r.Header.Get("Quetzalhook-Expect-Instance"); expected != "" && expected != w.id {
		h.Set("Quetzalhook-Not-Executed", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var parts []string
	for entry := range strings.SplitSeq(r.Header.Get("Quetzalhook-Prefix-Hash"), ",") {
		part, _, _ := strings.Cut(entry, ":")
		parts = append(parts, part)
	}
	w.onRequest(w, id, parts)
	running := w.running.Add(1)
	defer w.running.Add(-1)
	h.Set("Quetzalhook-Server-Load", fmt.Sprintf("%d,0,%d", running, w.slots))
	if int(running) > w.slots {
		h.Set("Quetzalhook-Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.line("worker %s runs %s", w.id, id)
	if !pause(r.Context(), w.firstEvent) {
		return
	}
	if w.isDeadly != nil && w.isDeadly(parts) {
		w.crash()
		panic(http.ErrAbortHandler)
	}
	if rand.Int64N(1000) < w.garbled.Load() {
		w.line("worker %s sends bytes that are no answer to %s", w.id, id)
		w.garble(rw)
		return
	}
	if w.keepAlive > 0 {
		h.Set("Keep-Alive", fmt.Sprintf("timeout=%d", int(w.keepAlive.Seconds())))
	}
	h.Set("Quetzalhook-Response-Seal", "seal."+w.id+"."+id)
	if len(w.models) == 0 {
		h.Set("Content-Length", strconv.Itoa(len(id)))
		_, _ = io.WriteString(rw, id)
		return
	}
	h.Set("Content-Type", "text/event-stream")
	h.Set("Quetzalhook-Weight-Versions", "1")
	control := http.NewResponseController(rw)
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := last + 1; n <= w.events; n++ {
		_, err := fmt.Fprintf(rw, "id: %d\ndata: %s\n\n", n, id)
		if err = errors.Join(err, control.Flush()); err != nil || !pause(r.Context(), w.eventPause) {
			return
		}
	}
}

func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// garble sends what is no answer in the protocol: it has neither the ID of a request
// nor a seal.
func (w *worker) garble(rw http.ResponseWriter) {
	conn, buffer, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	const page = "<html><body>It works!</body></html>"
	_, _ = fmt.Fprintf(buffer, "HTTP/1.1 200 OK\r\nContent-Type: text/html\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", len(page), page)
	_ = buffer.Flush()
}
