package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"quetzalhook"
	"quetzalhook/platform/standin"
)

const (
	pathHosts    = 3
	pathRequests = 60
	catalogue    = "catalogue" // a second plain service
	shopPrefix   = "/shop/"
	orderPrefix  = "/shop/order/"
)

// checkPaths lets a caller ask for items whose names contain a slash, which it sends as
// %2F, and checks which service runs the requests. Without the disruption, the names
// contain no slash.
func checkPaths(ctx context.Context, r *record, trouble bool) (string, error) {
	s, err := newSystem(r, standin.NewDutyServer(func(standin.DutyCall) {}))
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return "", err
	}
	var mu sync.Mutex
	ranAt := make(map[string]string) // service by path as received
	for i := range 2 * len(zones) {
		id, service := fmt.Sprintf("i-%d", i), desk
		if i%2 == 1 {
			service = catalogue
		}
		u := standin.NewUpstream(quetzalhook.UpstreamID(id), false, s.stopped, func(a standin.Arrival) {
			mu.Lock()
			defer mu.Unlock()
			ranAt[a.Path] = service
			r.add("%s of service %s runs %s %s (request %s)", a.Upstream, service, a.Method, a.Path, a.ID)
		}, func(standin.Arrival, time.Time) {})
		if _, err := s.addUpstream(id, service, zones[i/2], nil, u); err != nil {
			return "", err
		}
	}
	if err := s.configure(1, nil); err != nil {
		return "", err
	}
	if err := s.addShop(); err != nil {
		return "", err
	}
	for i := range pathHosts {
		if err := s.addHost(i, pathHosts, s.platform); err != nil {
			return "", err
		}
	}
	if err := s.awaitReady(ctx); err != nil {
		return "", err
	}
	time.Sleep(2 * stableWindow)
	client := &http.Client{Timeout: 5 * time.Second}
	defer client.CloseIdleConnections()
	wrong := 0
	first := ""
	for n := range pathRequests {
		path := fmt.Sprintf("/shop/order-%d", n)
		if trouble {
			path = fmt.Sprintf("/shop/order%%2F%d", n)
		}
		status, err := get(client, s.hosts[n%len(s.hosts)], path, fmt.Sprintf("g-%d", n))
		mu.Lock()
		service := ranAt[path]
		mu.Unlock()
		r.add("GET %s is answered %d (error: %v)", path, status, err)
		want := serviceFor(path)
		if service != "" && service != want {
			wrong++
			if first == "" {
				first = fmt.Sprintf("GET %s is run by %s; the longest prefix that begins the path is %s, which is routed to %s", path, service, shopPrefix, want)
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	if wrong > 0 {
		return fmt.Sprintf("ROUTE: %s (%d of %d requests)", first, wrong, pathRequests), nil
	}
	return "", nil
}

// serviceFor returns the service of the route with the longest prefix of a path.
func serviceFor(path string) string {
	if strings.HasPrefix(path, orderPrefix) {
		return desk
	}
	return catalogue
}

// addShop adds the service and the routes of the shop to the configuration.
func (s *system) addShop() error {
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
	config["services"] = append(services, map[string]any{"name": catalogue, "health_path": "/health", "max_connections": 96})
	routes, _ := config["routes"].([]any)
	for prefix, service := range map[string]string{shopPrefix: catalogue, orderPrefix: desk} {
		kind := "safe"
		if service == desk {
			kind = "unsafe"
		}
		routes = append(routes, map[string]any{
			"name": "shop-" + service, "host": serviceHost, "path_prefix": prefix, "kind": kind, "service": service, "timeout_ms": 1500,
			"target_latency_ms": 300, "max_attempts": 1, "priority": 2,
		})
	}
	config["routes"], config["version"] = routes, 2
	value, err := json.Marshal(config)
	if err != nil {
		return err
	}
	_, err = s.memory.Put(ctx, "config/main", value, o.Version)
	return err
}

// get sends a GET request with a path as written.
func get(client *http.Client, h *host, path, id string) (int, error) {
	req, err := http.NewRequest(http.MethodGet, "http://"+h.address()+path, nil)
	if err != nil {
		return 0, err
	}
	req.Host = serviceHost
	req.Header.Set("Quetzalhook-Request-Id", id)
	req.Header.Set("Quetzalhook-Request-Deadline", "3000")
	req.Header.Set("Api-Key", apiKey)
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}
