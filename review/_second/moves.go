package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"quetzalhook"
	"quetzalhook/platform/standin"
)

const (
	moveHosts   = 3
	moveStreams = 4 // on each host
	// moveEvents are the least and the most events of a stream, 8 ms apart: streams that
	// end within the grace of a stop that begins a second after them.
	minMoveEvents, maxMoveEvents = 450, 620
	// stopAfter is when the machine gets SIGTERM, and leaveAfter how much later the engine
	// announces that it leaves.
	stopAfter  = time.Second
	leaveAfter = 300 * time.Millisecond
	// pauseFor is the Retry-After of the other engine.
	pauseFor = 1500 * time.Millisecond
)

// stream is one request of checkMoves.
type stream struct {
	id   string
	runs atomic.Int64
	sent time.Time
}

// checkMoves stops a machine as planned while one engine leaves as planned and the other
// one turns requests away for a while, and checks that no stream is cut. Without the
// disruption, the other engine takes what is moved to it.
func checkMoves(ctx context.Context, r *record, trouble bool) (string, error) {
	s, err := newSystem(r, standin.NewDutyServer(func(standin.DutyCall) {}))
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return "", err
	}
	var mu sync.Mutex
	streams := make(map[string]*stream)
	arrived := func(a standin.Arrival) {
		mu.Lock()
		defer mu.Unlock()
		r.add("%s runs %s (moved: %v)", a.Upstream, a.ID, a.Moved)
		if x := streams[string(a.ID)]; x != nil {
			x.runs.Add(1)
		}
	}
	ended := func(a standin.Arrival, _ time.Time) { r.add("%s no longer works on %s", a.Upstream, a.ID) }
	source := standin.NewUpstream("i-source", true, s.stopped, arrived, ended)
	other := standin.NewUpstream("i-other", true, s.stopped, arrived, ended)
	other.SetContact(func(c standin.Contact) { r.add("%s reaches %s; Retry-After: %v", c.ID, c.Upstream, c.Pause) })
	entry, err := s.addUpstream("i-source", engines, zones[0], []string{model}, source)
	if err != nil {
		return "", err
	}
	if err := s.configure(1, nil); err != nil {
		return "", err
	}
	for i := range moveHosts {
		if err := s.addHost(i, moveHosts, s.platform); err != nil {
			return "", err
		}
	}
	if err := s.awaitReady(ctx); err != nil {
		return "", err
	}
	time.Sleep(2 * stableWindow)
	stopping := s.hosts[1]
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: moveStreams}}
	defer client.CloseIdleConnections()
	// The connections have had a request before.
	for i := range moveStreams {
		_ = call("warm-"+fmt.Sprint(i)).Send(ctx, client, stopping.address())
	}
	var open sync.WaitGroup
	var lost []string
	for n := 0; len(streams) < moveStreams; n++ {
		id := fmt.Sprintf("m-%d%s", n, standin.LongSuffix)
		if events := standin.EventCount(quetzalhook.RequestID(id)); events < minMoveEvents || events > maxMoveEvents {
			continue
		}
		x := &stream{id: id, sent: time.Now()}
		mu.Lock()
		streams[id] = x
		mu.Unlock()
		open.Go(func() {
			res := call(id).Send(ctx, client, stopping.address())
			r.add("%s, sent %v before, is answered %d, complete: %v, mismatch: %q, error: %v", id, time.Since(x.sent).Round(time.Millisecond), res.Status, res.Complete, res.Mismatch, res.Err)
			if !res.Complete && x.runs.Load() > 0 {
				mu.Lock()
				lost = append(lost, id)
				mu.Unlock()
			}
		})
	}
	time.Sleep(stopAfter)
	if _, err := s.addUpstream("i-other", engines, zones[1], []string{model}, other); err != nil {
		return "", err
	}
	time.Sleep(stopAfter)
	_ = stopping.command.Process.Signal(syscall.SIGTERM)
	r.add("%s gets SIGTERM", stopping.name)
	time.Sleep(leaveAfter)
	if trouble {
		other.SetPause(1, pauseFor)
		r.add("i-other turns requests away with 503 and Retry-After %v", pauseFor)
	}
	entry.Leaving = true
	if err := entry.Put(s.memory); err != nil {
		return "", err
	}
	r.add("i-source announces that it leaves")
	open.Wait()
	if len(lost) > 0 {
		return fmt.Sprintf("LOST: %d of %d streams that an engine was running ended without a complete answer around the SIGTERM of their machine: %s", len(lost), moveStreams, strings.Join(lost, " ")), nil
	}
	return "", nil
}

// call returns a streamed request.
func call(id string) standin.Call {
	return standin.Call{
		ID: quetzalhook.RequestID(id), Host: serviceHost, Method: http.MethodPost, Path: "/ask/1", Body: "prompt", Key: apiKey,
		Timeout: 15 * time.Second, Stream: true,
	}
}
