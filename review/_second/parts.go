package main

import (
	"container/list"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"quetzalhook/platform/standin"
)

const (
	partHosts   = 3
	partEngines = 18
	// kvCapacity is the memory of an engine in tokens, as on the users' sites.
	kvCapacity = 477_344
	// promptParts is the number of parts of a prompt, and partTokens the tokens of each.
	// The header section stays below max_header_bytes, which is 16,384 on the users' sites.
	promptParts  = 1400
	partTokens   = 8
	partClients  = 70
	partInterval = time.Second
	partPeriod   = 98 * time.Second
	// prefillRate is the number of prompt tokens that an engine processes in a ms.
	prefillRate = 37.9
	// maxListed bounds the entries of a list of cached parts.
	maxListed = 65_536
)

// cachingEngine is an engine with a KV cache, whose least recently used parts yield.
type cachingEngine struct {
	id     string
	record *record

	mu     sync.Mutex
	parts  map[string]*list.Element
	lru    *list.List // of string, the most recently used first
	number int64
}

func newCachingEngine(id string, r *record) *cachingEngine {
	return &cachingEngine{id: id, record: r, parts: make(map[string]*list.Element), lru: list.New()}
}

// read adds the parts of a prompt to the cache and returns how many were not there.
func (e *cachingEngine) read(parts []string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	missing := 0
	for _, p := range parts {
		if at := e.parts[p]; at != nil {
			e.lru.MoveToFront(at)
			continue
		}
		missing++
		e.parts[p] = e.lru.PushFront(p)
	}
	for e.lru.Len()*partTokens > kvCapacity {
		last := e.lru.Back()
		delete(e.parts, last.Value.(string))
		e.lru.Remove(last)
	}
	return missing
}

// list writes the cached parts, as a call of the users' pages returns them.
func (e *cachingEngine) list(w io.Writer) {
	e.mu.Lock()
	var b strings.Builder
	b.WriteString(`{"epoch":1,"next":1,"held":[`)
	n := 0
	for at := e.lru.Front(); at != nil && n < maxListed; at = at.Next() {
		if n > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `["",%q,%d,%q]`, at.Value, partTokens, model)
		n++
	}
	e.mu.Unlock()
	b.WriteString("]}")
	_, _ = io.WriteString(w, b.String())
}

// ServeHTTP implements http.Handler.
func (e *cachingEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/quetzalhook/kv-list":
		e.list(w)
		return
	case "/quetzalhook/report":
		_, _ = io.WriteString(w, `{"stage":"both"}`)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("Quetzalhook-Request-Id")
	w.Header().Set("Quetzalhook-Request-Id", id)
	if expected := r.Header.Get("Quetzalhook-Expect-Instance"); expected != "" && expected != e.id {
		w.Header().Set("Quetzalhook-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var parts []string
	for entry := range strings.SplitSeq(r.Header.Get("Quetzalhook-Prefix-Hash"), ",") {
		hash, _, _ := strings.Cut(entry, ":")
		parts = append(parts, hash)
	}
	e.record.count("requests run")
	missing := e.read(parts)
	time.Sleep(time.Duration(float64(missing*partTokens)/prefillRate*float64(time.Millisecond)) + 10*time.Millisecond)
	w.Header().Set("Quetzalhook-Response-Seal", "seal-"+id)
	w.Header().Set("Quetzalhook-Server-Load", "1,0,64")
	w.Header().Set("Content-Type", "text/event-stream")
	for n := 1; n <= 4; n++ {
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, id)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(5 * time.Millisecond)
	}
}

// checkParts lets many callers send prompts that list many small parts, and checks the
// memory of the hosts. Without the disruption, the callers share a few prompts.
func checkParts(ctx context.Context, r *record, trouble bool) (string, error) {
	s, err := newSystem(r, standin.NewDutyServer(func(standin.DutyCall) {}))
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return "", err
	}
	for i := range partEngines {
		id := fmt.Sprintf("i-%d", i)
		if _, err := s.addUpstream(id, engines, zones[i%len(zones)], []string{model}, newCachingEngine(id, r)); err != nil {
			return "", err
		}
	}
	if err := s.configure(1, nil); err != nil {
		return "", err
	}
	if err := s.setCapacity(kvCapacity); err != nil {
		return "", err
	}
	for i := range partHosts {
		if err := s.addHost(i, partHosts, s.platform); err != nil {
			return "", err
		}
	}
	if err := s.awaitReady(ctx); err != nil {
		return "", err
	}
	time.Sleep(2 * stableWindow)
	ctx, cancel := context.WithTimeout(ctx, partPeriod)
	defer cancel()
	var clients sync.WaitGroup
	var next atomic.Int64
	for i := range partClients {
		clients.Go(func() { askWithParts(ctx, r, s.hosts[i%len(s.hosts)], &next, trouble) })
	}
	done := make(chan struct{})
	go func() {
		clients.Wait()
		close(done)
	}()
	broken, err := s.watchMemory(done)
	cancel()
	<-done
	return broken, err
}

// setCapacity sets the memory of the engines in the configuration.
func (s *system) setCapacity(tokens int) error {
	ctx := context.Background()
	o, err := s.memory.Get(ctx, "config/main")
	if err != nil {
		return err
	}
	var config map[string]any
	if err := json.Unmarshal(o.Value, &config); err != nil {
		return err
	}
	services, _ := config["services"].([]any)
	first, _ := services[0].(map[string]any)
	engine, _ := first["engine"].(map[string]any)
	engine["kv_capacity"], engine["slots"] = tokens, 64
	config["version"] = 2
	value, err := json.Marshal(config)
	if err != nil {
		return err
	}
	_, err = s.memory.Put(ctx, "config/main", value, o.Version)
	return err
}

// askWithParts sends the requests of one caller.
func askWithParts(ctx context.Context, r *record, h *host, next *atomic.Int64, trouble bool) {
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer c.CloseIdleConnections()
	for ctx.Err() == nil {
		n := next.Add(1)
		prompt := n
		if !trouble {
			prompt = n % 20
		}
		var parts strings.Builder
		for p := range int64(promptParts) {
			fmt.Fprintf(&parts, ",%08x:%d", prompt*promptParts+p, partTokens)
		}
		r.count("requests sent to " + h.name)
		status := askOnce(ctx, c, h, "p-"+strconv.FormatInt(n, 10), parts.String()[1:])
		r.count(fmt.Sprintf("requests answered %d", status))
		if !sleep(ctx, partInterval) {
			return
		}
	}
}

// askOnce sends a streamed request with the given parts and returns its status; 0 if
// there was no answer.
func askOnce(ctx context.Context, c *http.Client, h *host, id, parts string) int {
	ctx, cancel := context.WithTimeout(ctx, 15*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.address()+"/ask/1", strings.NewReader("prompt"))
	if err != nil {
		return 0
	}
	req.Host, req.GetBody = serviceHost, nil
	for name, value := range map[string]string{
		"Quetzalhook-Request-Id": id, "Quetzalhook-Request-Deadline": "15000", "Api-Key": apiKey, "Quetzalhook-Model": model,
		"Quetzalhook-Token-Usage": fmt.Sprintf("%d,12", promptParts*partTokens), "Quetzalhook-Prefix-Hash": parts,
	} {
		req.Header.Set(name, value)
	}
	resp, err := c.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}
