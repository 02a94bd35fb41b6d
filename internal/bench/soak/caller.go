package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"quetzalhook"
	"quetzalhook/internal/state/timing"
	"quetzalhook/platform/standin"
)

const (
	// thinkTime is the mean pause of a caller between two requests.
	thinkTime = 150 * time.Millisecond
	// avoidTime is how long a caller does not use an address that failed it.
	avoidTime = 2 * time.Second
	// askLimit bounds the question which hosts to use.
	askLimit = time.Second
	// promptSubjects is the number of shared parts of prompts.
	promptSubjects = 8
)

// caller sends one request after the other on connections that it keeps.
type caller struct {
	world    *World
	name     string
	random   *rand.Rand
	client   *http.Client
	sticky   bool // it uses a host until the host fails it
	keeps    int  // how many times longer than allowed it keeps the list of hosts
	hosts    []string
	until    time.Time
	avoid    map[string]time.Time
	previous string
	serial   int
}

func newCaller(w *World, i int) *caller {
	random := rand.New(rand.NewPCG(w.settings.Seed, uint64(100+i)))
	return &caller{
		world: w, name: fmt.Sprintf("c%d", i), random: random, client: newClient(), sticky: i%3 == 0, keeps: 1 + 2*(i%2), avoid: make(map[string]time.Time),
	}
}

// newClient returns a client with connections of its own, which it keeps.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, IdleConnTimeout: 16 * time.Second,
	}}
}

func (c *caller) run(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for timing.Sleep(ctx, time.Duration(c.random.ExpFloat64()*float64(thinkTime))) {
		h := c.choose(ctx)
		if h == nil {
			continue
		}
		c.send(ctx, h)
	}
}

// choose returns the host for the next request, or nil.
func (c *caller) choose(ctx context.Context) *host {
	w := c.world
	if time.Now().After(c.until) {
		asked := w.hosts[c.random.IntN(len(w.hosts))]
		askCtx, cancel := context.WithTimeout(ctx, askLimit)
		list, life, err := standin.Hosts(askCtx, c.client, net.JoinHostPort(asked.ip, strconv.Itoa(directoryPort)), string(w.zones[asked.zone]), string(asked.zone))
		cancel()
		if err == nil && len(list) > 0 {
			c.hosts, c.until = list, time.Now().Add(life*time.Duration(c.keeps))
		}
	}
	if c.sticky && c.previous != "" && time.Now().After(c.avoid[c.previous]) {
		return c.byAddress(c.previous)
	}
	var usable []string
	for _, address := range c.hosts {
		if time.Now().After(c.avoid[address]) {
			usable = append(usable, address)
		}
	}
	if len(usable) == 0 {
		return nil
	}
	c.previous = usable[c.random.IntN(len(usable))]
	return c.byAddress(c.previous)
}

func (c *caller) byAddress(address string) *host {
	ip, _, _ := strings.Cut(address, ":")
	for _, h := range c.world.hosts {
		if h.ip == ip {
			return h
		}
	}
	return nil
}

// send sends one request and notes what comes of it.
func (c *caller) send(ctx context.Context, h *host) {
	w := c.world
	c.serial++
	customer := customers[c.random.IntN(len(customers))]
	call := standin.Call{
		ID: quetzalhook.RequestID(fmt.Sprintf("%s-%d", c.name, c.serial)), Host: hostName, Method: http.MethodPost,
		Body: fmt.Sprintf("body of %s %d", c.name, c.serial), Key: stableKey(customer), Timeout: 2500 * time.Millisecond,
	}
	repeatable := false
	switch n := c.random.IntN(10); {
	case n < 3:
		call.Path, call.Stream, call.Timeout = "/chat/x?y=1", true, 6*time.Second
	case n < 5:
		call.Path, call.Stream, call.Timeout, repeatable = "/draft/x", true, 6*time.Second, true
	case n < 8:
		call.Path = "/order/x"
	default:
		call.Path, call.Method, call.Body, repeatable = "/lookup/x?q=a%20b", http.MethodGet, "", true
	}
	call.PromptGroup = c.random.IntN(promptSubjects)
	sent := time.Now()
	w.ledger.Sent(sent, h.name, customer, repeatable, call)
	a := call.Send(ctx, c.client, h.callers.Address())
	if ctx.Err() != nil {
		return
	}
	_, stopped := h.state()
	w.ledger.Answered(time.Now(), call.ID, a, Stop{At: stopped, Alone: w.isAlone(sent)})
	w.count(a.Status == http.StatusOK && a.Complete)
	if a.Status == 0 || !a.Complete {
		c.avoid[c.previous] = time.Now().Add(avoidTime)
	}
	if a.RetryAfter > 0 {
		timing.Sleep(ctx, min(a.RetryAfter, call.Timeout/3))
	}
}

func (w *World) count(served bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sent++
	if served {
		w.served++
	}
}

// prober asks one host which configuration and which keys are in force.
type prober struct {
	world  *World
	host   *host
	random *rand.Rand
	client *http.Client
	serial int
}

const (
	probeInterval = 200 * time.Millisecond
	// probedVersions is the number of the last configurations that are asked for.
	probedVersions = 3
)

func newProber(w *World, i int) *prober {
	return &prober{world: w, host: w.hosts[i], random: rand.New(rand.NewPCG(w.settings.Seed, uint64(1000+i))), client: newClient()}
}

func (p *prober) run(ctx context.Context) {
	defer p.client.CloseIdleConnections()
	for timing.Sleep(ctx, probeInterval) {
		p.probeVersion(ctx)
		p.probeKey(ctx)
	}
}

func (p *prober) probeVersion(ctx context.Context) {
	w := p.world
	w.mu.Lock()
	number := max(w.config.Version-int64(p.random.IntN(probedVersions)), 1)
	w.mu.Unlock()
	status, sent, boot := p.send(ctx, standin.Call{Method: http.MethodGet, Path: markerPath(number)}, "")
	after, _ := p.host.state()
	if boot != after {
		return
	}
	switch status {
	case http.StatusOK, http.StatusInternalServerError, http.StatusBadGateway, http.StatusGatewayTimeout:
		w.ledger.Served(sent, time.Now(), p.host.name, boot, number, true)
	case http.StatusNotFound:
		w.ledger.Served(sent, time.Now(), p.host.name, boot, number, false)
	}
}

// probeKey sends a request with a key that was withdrawn or is about to be.
func (p *prober) probeKey(ctx context.Context) {
	w := p.world
	w.mu.Lock()
	number := max(w.config.Version-int64(p.random.IntN(probedVersions)), 1)
	w.mu.Unlock()
	key := fmt.Sprintf("rotating-%d", number)
	status, sent, _ := p.send(ctx, standin.Call{Method: http.MethodGet, Path: "/lookup/key", Key: key}, customers[0])
	if status == http.StatusOK {
		w.ledger.KeyWorked(sent, p.host.name, key)
	}
}

// send sends a probe and returns the status, when it was sent, and in which
// boot of the host.
func (p *prober) send(ctx context.Context, c standin.Call, customer string) (status int, sent time.Time, boot int) {
	p.serial++
	c.ID, c.Host, c.Timeout = quetzalhook.RequestID(fmt.Sprintf("probe-%s-%d", p.host.name, p.serial)), hostName, time.Second
	boot, _ = p.host.state()
	sent = time.Now()
	p.world.ledger.Sent(sent, p.host.name, customer, true, c)
	return c.Send(ctx, p.client, p.host.callers.Address()).Status, sent, boot
}
