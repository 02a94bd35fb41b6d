package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"quetzalhook"
	"quetzalhook/platform/standin"
)

const (
	leaderHosts = 6
	// namedLimit is the Server-Limit of each engine, and limitEngines their number.
	namedLimit   = 25.0
	limitEngines = 2
	// limitWindow, limitFactor, limitSlack and toldDelay are those of the rule LIMIT.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	toldDelay   = 500 * time.Millisecond
	// askInterval and draftInterval are the times between two requests to each host.
	askInterval   = time.Second / 70
	draftInterval = 250 * time.Millisecond
	askTimeout    = 2 * time.Second
	drafts        = "draft-pool" // a second service with one engine
	leaderPeriod  = 40 * time.Second
	// lostAfter is when the only engine of drafts is lost for good, and entryLife how much
	// later the store drops its entry: three check-in intervals.
	lostAfter = 12 * time.Second
	entryLife = 3600 * time.Millisecond
)

// limits records what reaches the engines that name a limit.
type limits struct {
	record *record

	mu       sync.Mutex
	named    map[string]time.Time   // when an engine first named its limit
	told     map[string]time.Time   // when a host first passed on such an answer
	arrivals map[string][]time.Time // that count, by engine
	sentTo   map[string]string      // host of each request
	worst    int
	broken   string
}

// arrive records a request that reaches an engine.
func (l *limits) arrive(engine, id string) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	first, ok := l.named[engine]
	if !ok {
		l.named[engine] = now
		return
	}
	told, ok := l.told[l.sentTo[id]]
	if !ok || now.Sub(told) < toldDelay || now.Sub(first) < stableWindow {
		return
	}
	list := slices.DeleteFunc(append(l.arrivals[engine], now), func(at time.Time) bool { return now.Sub(at) > limitWindow })
	l.arrivals[engine] = list
	l.worst = max(l.worst, len(list))
	if most := limitFactor*namedLimit*limitWindow.Seconds() + limitSlack; float64(len(list)) > most && l.broken == "" {
		l.broken = fmt.Sprintf("LIMIT: %s names Server-Limit %g and gets %d requests in %v; allowed %g", engine, namedLimit, len(list), limitWindow, most)
		l.record.add("%s", l.broken)
	}
}

// passedOn records an answer with a limit that a host has passed on.
func (l *limits) passedOn(host string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.told[host]; !ok {
		l.told[host] = time.Now()
		l.record.add("%s has passed on the first answer with Server-Limit", host)
	}
}

// send records which host a request is sent to.
func (l *limits) send(id, host string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sentTo[id] = host
}

// engine is a small engine that names a limit, or none if limits is nil.
func engine(id string, r *record, l *limits) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		switch req.URL.Path {
		case "/quetzalhook/kv-list":
			_, _ = io.WriteString(w, `{"epoch":1,"next":0,"held":[]}`)
			return
		case "/quetzalhook/report":
			_, _ = io.WriteString(w, `{"stage":"both"}`)
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		request := req.Header.Get("Quetzalhook-Request-Id")
		w.Header().Set("Quetzalhook-Request-Id", request)
		if expected := req.Header.Get("Quetzalhook-Expect-Instance"); expected != "" && expected != id {
			w.Header().Set("Quetzalhook-Not-Executed", "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		r.count("requests run by " + id)
		if l != nil {
			l.arrive(id, request)
			w.Header().Set("Server-Limit", strconv.FormatFloat(namedLimit, 'f', -1, 64))
		}
		w.Header().Set("Quetzalhook-Response-Seal", "seal-"+request)
		w.Header().Set("Quetzalhook-Server-Load", "1,0,16")
		w.Header().Set("Content-Type", "text/event-stream")
		for n := 1; n <= 4; n++ {
			time.Sleep(10 * time.Millisecond)
			fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, request)
			_ = http.NewResponseController(w).Flush()
		}
	})
}

// checkLeaders loses the only engine of one service for good, while the engines of
// another are in need and name a limit, and checks the limit.
func checkLeaders(ctx context.Context, r *record, trouble bool) (string, error) {
	s, err := newSystem(r, standin.NewDutyServer(func(standin.DutyCall) {}))
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return "", err
	}
	l := &limits{record: r, named: make(map[string]time.Time), told: make(map[string]time.Time), arrivals: make(map[string][]time.Time), sentTo: make(map[string]string)}
	for i := range limitEngines {
		id := fmt.Sprintf("i-%d", i)
		if _, err := s.addUpstream(id, engines, zones[i], []string{model}, engine(id, r, l)); err != nil {
			return "", err
		}
	}
	lone, err := s.addUpstream("i-draft", drafts, zones[2], []string{model}, engine("i-draft", r, nil))
	if err != nil {
		return "", err
	}
	loneServer := s.servers[len(s.servers)-1]
	if err := s.configure(1, nil); err != nil {
		return "", err
	}
	if err := s.addDrafts(); err != nil {
		return "", err
	}
	for i := range leaderHosts {
		if err := s.addHost(i, leaderHosts, s.platform); err != nil {
			return "", err
		}
	}
	if err := s.awaitReady(ctx); err != nil {
		return "", err
	}
	time.Sleep(stableWindow)
	ctx, cancel := context.WithTimeout(ctx, leaderPeriod)
	defer cancel()
	var clients sync.WaitGroup
	for _, h := range s.hosts {
		clients.Go(func() { l.load(ctx, h, "/ask/1", askInterval) })
		clients.Go(func() { l.load(ctx, h, "/draft/1", draftInterval) })
	}
	if trouble {
		clients.Go(func() {
			if !sleep(ctx, lostAfter) {
				return
			}
			_ = loneServer.Close()
			r.add("the only engine of %s is lost for good", drafts)
			if sleep(ctx, entryLife) {
				_ = lone.Remove(s.memory)
				r.add("the store has dropped its entry")
			}
		})
	}
	clients.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	r.add("most requests that reached an engine in %v: %d", limitWindow, l.worst)
	return l.broken, nil
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// addDrafts adds the second service of engines and its route to the configuration.
func (s *system) addDrafts() error {
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
	config["services"] = append(services, map[string]any{"name": drafts, "health_path": "/health", "max_connections": 360, "engine": first["engine"]})
	routes, _ := config["routes"].([]any)
	config["routes"] = append(routes, map[string]any{
		"name": "draft", "host": serviceHost, "path_prefix": "/draft/", "kind": "streaming", "service": drafts, "timeout_ms": 6000,
		"target_latency_ms": 800, "max_attempts": 1, "priority": 1,
	})
	config["version"] = 2
	value, err := json.Marshal(config)
	if err != nil {
		return err
	}
	_, err = s.memory.Put(ctx, "config/main", value, o.Version)
	return err
}

// load sends requests to a host at an interval until ctx ends, and waits for the answers.
func (l *limits) load(ctx context.Context, h *host, path string, interval time.Duration) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	defer client.CloseIdleConnections()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	var open sync.WaitGroup
	defer open.Wait()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		id := quetzalhook.RequestID(fmt.Sprintf("%s%s-%d", h.name, strings.ReplaceAll(path, "/", "-"), n))
		l.send(string(id), h.name)
		l.record.count(fmt.Sprintf("requests to %s sent to %s", path, h.name))
		open.Go(func() {
			status, limited := send(client, h, path, string(id))
			l.record.count(fmt.Sprintf("requests to %s answered %d", path, status))
			if limited {
				l.passedOn(h.name)
			}
		})
	}
}

// send sends a streamed request. It returns the status, 0 if there was no answer, and
// whether the answer names a limit.
func send(client *http.Client, h *host, path, id string) (status int, limited bool) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.address()+path, strings.NewReader("prompt"))
	if err != nil {
		return 0, false
	}
	req.Host, req.GetBody = serviceHost, nil
	for name, value := range map[string]string{
		"Quetzalhook-Request-Id": id, "Quetzalhook-Request-Deadline": strconv.FormatInt(askTimeout.Milliseconds(), 10), "Api-Key": apiKey,
		"Quetzalhook-Model": model, "Quetzalhook-Token-Usage": "1460,12", "Quetzalhook-Prefix-Hash": "5c1e07a2:800,91bd3f06:410,e4402b7d:250",
	} {
		req.Header.Set(name, value)
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, false
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, resp.Header.Get("Server-Limit") != ""
}
