package main

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// clients sends requests as the callers of the site do: they ask the hosts which of
// them to use, and send each request to one of these.
type clients struct {
	*system
	http   *http.Client
	events int // of a complete stream

	mu        sync.Mutex
	addresses []string
	ids       atomic.Int64
	sent      atomic.Int64
	served    atomic.Int64
	unsealed  atomic.Int64 // successes without a seal
	lostMu    sync.Mutex
	lost      []time.Time // when sound requests ended without a complete answer
	wg        sync.WaitGroup
}

func newClients(s *system, events int) *clients {
	return &clients{system: s, events: events, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100, IdleConnTimeout: 2 * time.Second}}}
}

// follow keeps the list of hosts to use.
func (c *clients) follow() {
	client := http.Client{Timeout: time.Second}
	for c.ctx.Err() == nil {
		for _, i := range rand.Perm(len(c.hosts)) {
			var answer struct {
				Addresses []string `json:"addresses"`
			}
			resp, err := client.Get(fmt.Sprintf("http://%s:%d/quetzalhook/resolve?name=trial.example&region=addis&zone=addis-a", c.hosts[i].ip, directory))
			if err != nil {
				continue
			}
			err = json.NewDecoder(resp.Body).Decode(&answer)
			_ = resp.Body.Close()
			if err == nil && len(answer.Addresses) > 0 {
				c.mu.Lock()
				c.addresses = answer.Addresses
				c.mu.Unlock()
				break
			}
		}
		pause(c.ctx, time.Second)
	}
}

func (c *clients) pick() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.addresses) == 0 {
		return fmt.Sprintf("%s:%d", c.hosts[0].ip, callersPort)
	}
	return c.addresses[rand.IntN(len(c.addresses))]
}

// call is one request.
type call struct {
	path    string
	model   string
	prefix  string // prompt parts; empty for the order service
	timeout time.Duration
	note    string
	key     string // empty for that of customer one
	odd     bool   // not counted among the sound requests that are lost
}

// send sends a request in the background.
func (c *clients) send(r call) {
	id := fmt.Sprintf("%08x%08x", c.ids.Add(1), rand.Uint32())
	address := c.pick()
	c.sent.Add(1)
	c.wg.Go(func() {
		c.line("request %s%s sent to %s", id, r.note, address)
		result, ok, isLost := c.do(id, address, r)
		if ok {
			c.served.Add(1)
		}
		if isLost && !r.odd {
			c.lostMu.Lock()
			c.lost = append(c.lost, time.Now())
			c.lostMu.Unlock()
		}
		c.line("request %s%s: %s", id, r.note, result)
	})
}

// do sends a request and returns what came of it: whether it was served, and whether it
// ended without a complete answer.
func (c *clients) do(id, address string, r call) (result string, ok, isLost bool) {
	ctx, cancel := context.WithTimeout(c.ctx, r.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+r.path, strings.NewReader(strings.Repeat("b", 600)))
	if err != nil {
		return err.Error(), false, false
	}
	req.Host, req.GetBody = "trial.example", nil
	req.Header.Set("Quetzalhook-Request-Id", id)
	req.Header.Set("Quetzalhook-Request-Deadline", fmt.Sprint(r.timeout.Milliseconds()))
	req.Header.Set("Api-Key", cmp.Or(r.key, "key-of-one"))
	if r.prefix != "" {
		req.Header.Set("Quetzalhook-Model", r.model)
		req.Header.Set("Quetzalhook-Token-Usage", "1460,120")
		req.Header.Set("Quetzalhook-Prefix-Hash", r.prefix)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return "no answer: " + err.Error(), false, c.ctx.Err() == nil
	}
	defer resp.Body.Close()
	body := bufio.NewReader(resp.Body)
	n, size := 0, 0
	for {
		line, err := body.ReadString('\n')
		size += len(line)
		if strings.HasPrefix(line, "id: ") {
			n++
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			return fmt.Sprintf("%d, broken off after %d events: %v", resp.StatusCode, n, err), false, c.ctx.Err() == nil
		}
	}
	if resp.StatusCode/100 == 2 && resp.Header.Get("Quetzalhook-Response-Seal") == "" {
		c.unsealed.Add(1)
		return fmt.Sprintf("%d without a seal, a complete body of %d bytes, headers %v", resp.StatusCode, size, resp.Header), false, false
	}
	ok = resp.StatusCode == http.StatusOK && (r.prefix == "" || n == c.events)
	return fmt.Sprintf("%d, %d events", resp.StatusCode, n), ok, false
}

// lostSince returns the number of sound requests that ended without a complete answer
// after the given time.
func (c *clients) lostSince(from time.Time) int {
	c.lostMu.Lock()
	defer c.lostMu.Unlock()
	n := 0
	for _, at := range c.lost {
		if at.After(from) {
			n++
		}
	}
	return n
}
