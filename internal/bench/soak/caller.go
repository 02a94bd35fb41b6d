package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"quetzalhook"
	"quetzalhook/internal/state/timing"
	"quetzalhook/platform/standin"
)

const (
	// meanThinkTime is the mean time a caller waits between two requests.
	meanThinkTime = 150 * time.Millisecond
	// avoidTime is the time for which a caller avoids a host after a failure.
	avoidTime = 2 * time.Second
	// listTimeout bounds the request for the list of hosts.
	listTimeout = time.Second
	// promptGroups is the number of prompt groups; the requests of a group share
	// prompt parts.
	promptGroups = 8
	// maxRest is the longest time for which callers use an idle connection, as the
	// users' do.
	maxRest = idleTimeout * 4 / 5
)

// caller sends one request at a time and reuses its connections.
type caller struct {
	sys         *system
	name        string
	random      *rand.Rand
	client      *http.Client
	sticky      bool // uses one host until a request to it fails
	ttlFactor   int  // keeps a list of hosts for this multiple of its TTL
	hosts       []string
	listExpires time.Time
	avoidUntil  map[string]time.Time
	lastAddress string
	serial      int
	rests       bool // leaves its connections idle for long between two requests
	direct      bool // connects to hosts without a proxy
	mix         requestMix
}

// requestMix selects the requests of a caller: percentiles from which they are drawn,
// and the percentage of streams, and of orders without a key, that are long.
type requestMix struct{ from, to, long int }

var (
	mixOfAll   = requestMix{from: 0, to: 100, long: 5}
	mixOfPlain = requestMix{from: 50, to: 100}           // no streams
	mixOfLong  = requestMix{from: 70, to: 80, long: 100} // orders without a key
)

func newCaller(s *system, i int) *caller {
	random := rand.New(rand.NewPCG(s.settings.Seed, uint64(100+i)))
	return &caller{
		sys: s, name: fmt.Sprintf("c%d", i), random: random, client: newClient(), sticky: i%3 == 0, rests: i%4 == 3, mix: mixOfAll, ttlFactor: 1 + 2*(i%2), avoidUntil: make(map[string]time.Time),
	}
}

// newClient returns a client with a connection pool of its own.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, IdleConnTimeout: maxRest, MaxIdleConnsPerHost: 1,
	}}
}

func (c *caller) run(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for timing.Sleep(ctx, c.thinkTime()) {
		h := c.chooseHost(ctx)
		if h == nil {
			continue
		}
		c.send(ctx, h)
	}
}

func (c *caller) thinkTime() time.Duration {
	if c.rests {
		return time.Duration(c.random.Int64N(int64(maxRest)))
	}
	return time.Duration(c.random.ExpFloat64() * float64(meanThinkTime))
}

// chooseHost returns the host for the next request, or nil if none is usable. It
// fetches the list of hosts again when the last one has expired.
func (c *caller) chooseHost(ctx context.Context) *host {
	s := c.sys
	if time.Now().After(c.listExpires) {
		source := s.hosts[c.random.IntN(len(s.hosts))]
		listCtx, cancel := context.WithTimeout(ctx, listTimeout)
		list, ttl, err := standin.FetchHosts(listCtx, c.client, net.JoinHostPort(source.ip, strconv.Itoa(directoryPort)), string(s.zones[source.zone]), string(source.zone))
		cancel()
		if err == nil && len(list) > 0 {
			c.hosts, c.listExpires = list, time.Now().Add(ttl*time.Duration(c.ttlFactor))
		}
	}
	if c.sticky && slices.Contains(c.hosts, c.lastAddress) && time.Now().After(c.avoidUntil[c.lastAddress]) {
		return c.hostByAddress(c.lastAddress)
	}
	var usable []string
	for _, address := range c.hosts {
		if time.Now().After(c.avoidUntil[address]) {
			usable = append(usable, address)
		}
	}
	if len(usable) == 0 {
		return nil
	}
	c.lastAddress = usable[c.random.IntN(len(usable))]
	return c.hostByAddress(c.lastAddress)
}

func (c *caller) hostByAddress(address string) *host {
	ip, _, _ := strings.Cut(address, ":")
	for _, h := range c.sys.hosts {
		if h.ip == ip {
			return h
		}
	}
	return nil
}

func (c *caller) addressOf(h *host) string {
	if c.direct {
		return net.JoinHostPort(h.ip, strconv.Itoa(callersPort))
	}
	return h.callers.Address()
}

// send sends a random request to h and records its response. It waits as long as
// Retry-After asks for, up to a third of the request's timeout.
func (c *caller) send(ctx context.Context, h *host) {
	s := c.sys
	c.serial++
	customer := customers[c.random.IntN(len(customers))]
	call := standin.Call{
		ID: quetzalhook.RequestID(fmt.Sprintf("%s-%d", c.name, c.serial)), Host: hostName, Method: http.MethodPost,
		Body: fmt.Sprintf("body of %s %d", c.name, c.serial), Key: stableKey(customer), Timeout: 2500 * time.Millisecond,
	}
	repeatable := false
	switch n := c.mix.from + c.random.IntN(c.mix.to-c.mix.from); {
	case n < 30:
		call.Path, call.Stream, call.Timeout = "/chat/x?y=1", true, streamTimeout
	case n < 50:
		call.Path, call.Stream, call.Timeout, repeatable = "/draft/x", true, streamTimeout, true
	case n < 70:
		call.Path = "/order/x"
	case n < 80:
		customer, call.Key, call.Path = "", "", "/open/x"
		if c.random.IntN(100) < c.mix.long {
			call.ID, call.Timeout = call.ID+standin.LongSuffix, longTimeout
		}
	default:
		call.Path, call.Method, call.Body, repeatable = "/lookup/x?q=a%20b", http.MethodGet, "", true
	}
	if call.Stream && c.random.IntN(100) < c.mix.long {
		call.ID, call.Timeout = call.ID+standin.LongSuffix, longTimeout
	}
	call.PromptGroup = c.random.IntN(promptGroups)
	sent := time.Now()
	s.checker.RequestSent(sent, h.name, customer, repeatable, call)
	res := call.Send(ctx, c.client, c.addressOf(h))
	if ctx.Err() != nil {
		return
	}
	s.checker.ResponseReceived(time.Now(), call.ID, res, h.plannedWork(s.isUndisturbed(sent, call.Key != "")))
	served := res.Status == http.StatusOK && res.Complete
	s.countRequest(served)
	if !c.direct { // those go to hosts that may have closed their listener
		s.checker.FirstTryEnded(sent, h.name, served, h.undisturbedSince(sent))
	}
	if s.settings.Builds && call.Stream {
		s.checker.EventsReceived(call.ID, call.ID, res)
		if repeatable && isBroken(res) {
			c.takeUp(ctx, call, customer, res)
			return
		}
	}
	if res.Status == 0 || !res.Complete {
		c.avoidUntil[c.lastAddress] = time.Now().Add(avoidTime)
	}
	if res.RetryAfter > 0 {
		timing.Sleep(ctx, min(res.RetryAfter, call.Timeout/3))
	}
}

// A crowd is a number of callers that send at the moment at which a host closes
// their idle connections.
const (
	crowdSize  = 150
	crowdDelay = 2 * time.Millisecond // of their requests, at most
)

// noticedConn calls onEnd when the peer closes the connection.
type noticedConn struct {
	net.Conn
	onEnd func()
}

func (c noticedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil && !errors.Is(err, net.ErrClosed) {
		c.onEnd()
	}
	return n, err
}

// gather opens the connections of a crowd to h and calls begin. Half of the callers
// send a request once the host has closed the first of their connections, the
// others at any time until then or, if begin is nil, at the end of the idle
// timeout. gather returns when all requests have ended.
func (s *system) gather(h *host, begin func()) {
	number := int(s.groups.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), idleTimeout+stopLimit)
	defer cancel()
	closing := make(chan struct{})
	var once sync.Once
	var opened, ended sync.WaitGroup
	start := make(chan struct{})
	for i := range crowdSize {
		c := newCaller(s, number*crowdSize+i)
		c.name, c.direct, c.mix = fmt.Sprintf("crowd-%d-%d", number, i), true, mixOfPlain
		transport, rest := c.client.Transport.(*http.Transport), maxRest
		if begin == nil {
			transport.IdleConnTimeout, rest = 2*idleTimeout, idleTimeout+time.Duration(c.random.Int64N(int64(crowdDelay)))-crowdDelay/2
		}
		switch {
		case i%2 != 0:
			transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := new(net.Dialer).DialContext(ctx, network, address)
				return noticedConn{conn, func() { once.Do(func() { close(closing) }) }}, err
			}
		case begin != nil:
			rest = time.Duration(c.random.Int64N(int64(rest)))
		}
		opened.Add(1)
		ended.Go(func() {
			defer c.client.CloseIdleConnections()
			if resp, err := c.client.Get("http://" + c.addressOf(h)); err == nil { // has no route
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
			restEnd := time.After(rest)
			opened.Done()
			<-start
			select {
			case <-closing:
				time.Sleep(time.Duration(c.random.Int64N(int64(crowdDelay))))
			case <-restEnd:
			}
			c.send(ctx, h)
		})
	}
	opened.Wait()
	if begin != nil {
		begin()
	}
	close(start)
	ended.Wait()
}

// lateCallers is the number of callers of sendLate.
const lateCallers = 5

// sendLate sends long requests to h at any time within the time of a stop, as
// callers do that have no other list of hosts. It returns when they have ended.
func (s *system) sendLate(h *host) {
	number := int(s.groups.Add(1))
	var ended sync.WaitGroup
	for i := range lateCallers {
		c := newCaller(s, number*lateCallers+i)
		c.name, c.direct, c.mix = fmt.Sprintf("late-%d-%d", number, i), true, mixOfLong
		ended.Go(func() {
			defer c.client.CloseIdleConnections()
			time.Sleep(time.Duration(c.random.Int64N(int64(stopLimit))))
			c.send(context.Background(), h)
		})
	}
	ended.Wait()
}

func (s *system) countRequest(served bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent++
	if served {
		s.served++
	}
}

// prober probes which configuration and which keys one host has in force.
type prober struct {
	sys    *system
	host   *host
	random *rand.Rand
	client *http.Client
	serial int
	lastID quetzalhook.RequestID // of the last request
}

const (
	probeInterval = 200 * time.Millisecond
	// probedVersions is the number of latest configurations that are probed.
	probedVersions = 3
)

func newProber(s *system, i int) *prober {
	return &prober{sys: s, host: s.hosts[i], random: rand.New(rand.NewPCG(s.settings.Seed, uint64(1000+i))), client: newClient()}
}

func (p *prober) run(ctx context.Context) {
	defer p.client.CloseIdleConnections()
	for timing.Sleep(ctx, probeInterval) {
		p.probeVersion(ctx)
		p.probeKey(ctx)
		if p.sys.settings.Routes > 0 {
			p.probeRoute(ctx)
		}
	}
}

// probeVersion requests the marker route of one of the latest configurations. Any
// response of the upstream, also an error, shows that the host has the route in
// force; a 404 shows that it does not.
func (p *prober) probeVersion(ctx context.Context) {
	s := p.sys
	s.mu.Lock()
	number := max(s.config.Version-int64(p.random.IntN(probedVersions)), 1)
	s.mu.Unlock()
	status, sent, boot := p.send(ctx, standin.Call{Method: http.MethodGet, Path: markerPath(number)}, "")
	if boot != p.host.starts() {
		return
	}
	switch status {
	case http.StatusOK, http.StatusInternalServerError, http.StatusBadGateway, http.StatusGatewayTimeout:
		s.checker.RouteProbed(sent, time.Now(), p.host.name, boot, number, true)
	case http.StatusNotFound:
		s.checker.RouteProbed(sent, time.Now(), p.host.name, boot, number, false)
	}
}

// probeKey sends a request with one of the latest rotating keys. The newest of
// them is valid; the others are withdrawn.
func (p *prober) probeKey(ctx context.Context) {
	s := p.sys
	s.mu.Lock()
	number := max(s.config.Version-int64(p.random.IntN(probedVersions)), 1)
	s.mu.Unlock()
	key := fmt.Sprintf("rotating-%d", number)
	status, sent, _ := p.send(ctx, standin.Call{Method: http.MethodGet, Path: "/lookup/key", Key: key}, customers[0])
	if status == http.StatusOK {
		s.checker.KeyAccepted(sent, p.host.name, key)
	}
}

// send sends a probe and returns the status, the time of sending, and the number
// of starts of the host at that time.
func (p *prober) send(ctx context.Context, c standin.Call, customer string) (status int, sent time.Time, boot int) {
	p.serial++
	c.ID, c.Host, c.Timeout = quetzalhook.RequestID(fmt.Sprintf("probe-%s-%d", p.host.name, p.serial)), hostName, time.Second
	p.lastID, boot = c.ID, p.host.starts()
	sent = time.Now()
	p.sys.checker.RequestSent(sent, p.host.name, customer, true, c)
	return c.Send(ctx, p.client, p.host.callers.Address()).Status, sent, boot
}
