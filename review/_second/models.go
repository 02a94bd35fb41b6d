package main

import (
	"context"
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
	modelHosts   = 3
	modelEngines = 6
	// modelClients is the number of connections of the client, and modelRequests the
	// number of requests that it sends in all.
	modelClients  = 45
	modelRequests = 150_000
	modelPause    = 24 * time.Millisecond
	// modelBytes is the length of the name in each request. The header section stays
	// below max_header_bytes, which is 16,384 on the users' sites.
	modelBytes  = 14_000
	modelPeriod = 100 * time.Second
)

// checkModels lets a client that the system's owners do not control ask for a model that
// no engine has, by another name in each request, and checks the memory of the hosts.
// Without the disruption, the name is the same in all requests.
func checkModels(ctx context.Context, r *record, trouble bool) (string, error) {
	duties := standin.NewDutyServer(func(standin.DutyCall) {})
	s, err := newSystem(r, duties)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return "", err
	}
	for i := range modelEngines + len(zones) {
		id, service, models := fmt.Sprintf("i-%d", i), engines, []string{model}
		if i >= modelEngines {
			service, models = desk, nil
		}
		u := standin.NewUpstream(quetzalhook.UpstreamID(id), models != nil, s.stopped, func(standin.Arrival) { r.count("requests run") }, func(standin.Arrival, time.Time) {})
		if _, err := s.addUpstream(id, service, zones[i%len(zones)], models, u); err != nil {
			return "", err
		}
	}
	if err := s.configure(1, nil); err != nil {
		return "", err
	}
	for i := range modelHosts {
		if err := s.addHost(i, modelHosts, s.platform); err != nil {
			return "", err
		}
	}
	if err := s.awaitReady(ctx); err != nil {
		return "", err
	}
	time.Sleep(stableWindow)
	ctx, cancel := context.WithTimeout(ctx, modelPeriod)
	defer cancel()
	var clients sync.WaitGroup
	for i := range modelClients {
		clients.Go(func() { askForModels(ctx, r, s.hosts[i%len(s.hosts)], i, trouble) })
	}
	clients.Go(func() { askOrdinarily(ctx, r, s.hosts) })
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

const (
	// faultMachines is the number of machines, and faultEnds that of the ends on each, from
	// which the rule is broken: a tenth of the machines, two at least, and three times.
	faultMachines = 2
	faultEnds     = 3
	restartDelay  = 500 * time.Millisecond
)

// watchMemory acts as the platform does: it kills each host that takes more memory than
// its settings allow, and starts it again. It returns how the rule was broken, as soon as
// it is; empty if it is not until done is closed.
func (s *system) watchMemory(done <-chan struct{}) (string, error) {
	last := time.Now()
	ends := make(map[string]int)
	for {
		select {
		case <-done:
			s.record.add("processes that ended by themselves, by machine: %v", ends)
			return "", nil
		case <-time.After(100 * time.Millisecond):
		}
		var text []string
		for _, h := range s.hosts {
			mb := h.residentMB()
			text = append(text, fmt.Sprintf("%s %.0f MB", h.name, mb))
			if mb <= memoryMB && !h.hasExited() {
				continue
			}
			ends[h.name]++
			s.record.add("%s takes %.0f MB of memory, over memory_mb = %d, and is killed (%d times now)", h.name, mb, memoryMB, ends[h.name])
			if broken := tooManyEnds(ends); broken != "" {
				return broken, nil
			}
			_ = h.command.Process.Kill()
			<-h.exited
			time.Sleep(restartDelay)
			if err := s.start(h); err != nil {
				return "", err
			}
		}
		if time.Since(last) >= 2*time.Second {
			last = time.Now()
			s.record.add("resident memory: %s", strings.Join(text, ", "))
		}
	}
}

// tooManyEnds returns how the rule is broken; empty if it is not.
func tooManyEnds(ends map[string]int) string {
	machines := 0
	for _, n := range ends {
		if n >= faultEnds {
			machines++
		}
	}
	if machines < faultMachines {
		return ""
	}
	return fmt.Sprintf("Fault: on %d machines processes have ended %d times, since they took more than memory_mb = %d (all: %v)", machines, faultEnds, memoryMB, ends)
}

// askForModels sends the requests of one connection.
func askForModels(ctx context.Context, r *record, h *host, client int, trouble bool) {
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer c.CloseIdleConnections()
	for n := 0; ctx.Err() == nil && n < modelRequests/modelClients; n++ {
		name := "assistant-" + strings.Repeat("x", modelBytes)
		if trouble {
			name = fmt.Sprintf("assistant-%d-%d-%s", client, n, strings.Repeat("x", modelBytes))
		}
		r.count("requests for a model that no engine has, sent to " + h.name)
		status := ask(ctx, c, h, fmt.Sprintf("x-%d-%d", client, n), name)
		r.count(fmt.Sprintf("requests for a model that no engine has, answered %d", status))
		time.Sleep(modelPause)
	}
}

// askOrdinarily sends a request for the engines' model twice a second.
func askOrdinarily(ctx context.Context, r *record, hosts []*host) {
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer c.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		r.count("ordinary requests sent")
		status := ask(ctx, c, hosts[n%len(hosts)], fmt.Sprintf("o-%d", n), model)
		r.count(fmt.Sprintf("ordinary requests answered %d", status))
		time.Sleep(500 * time.Millisecond)
	}
}

// ask sends a streamed request and returns its status; 0 if there was no answer.
func ask(ctx context.Context, c *http.Client, h *host, id, name string) int {
	ctx, cancel := context.WithTimeout(ctx, 15*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.address()+"/ask/1", strings.NewReader("prompt"))
	if err != nil {
		return 0
	}
	req.Host, req.GetBody = serviceHost, nil
	for name, value := range map[string]string{
		"Quetzalhook-Request-Id": id, "Quetzalhook-Request-Deadline": "15000", "Api-Key": apiKey, "Quetzalhook-Model": name,
		"Quetzalhook-Token-Usage": "1460,80", "Quetzalhook-Prefix-Hash": "5c1e07a2:800,91bd3f06:410,e4402b7d:250",
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
