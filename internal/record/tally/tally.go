// Package tally counts the requests of each customer that begin to run, in
// short windows, and keeps the counts when hosts fail.
//
// Each incarnation of a host counts its own requests. Totals only grow, so that
// every copy may arrive late, twice or out of order: they merge by maximum. A
// host sends its changes to two others several times a second. Whoever reports
// a window collects the totals and the copies from all hosts; a killed host
// loses what it counted since its last copy.
package tally

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"quetzalhook"
	"quetzalhook/internal/fleet/rendezvous"
	"quetzalhook/internal/state/calendar"
	"quetzalhook/internal/state/timing"
)

const (
	replicaKind = "tally-replica"
	collectKind = "tally-collect"

	// replicas is the number of other hosts that hold a host's totals.
	replicas = 2
	// replicaInterval is the time between two copies: a killed host loses at most
	// what it counted in it, 1 in 100 of a window of 5 s of 8 hosts.
	replicaInterval = 400 * time.Millisecond
	// callLimit bounds one call of another host.
	callLimit = 800 * time.Millisecond
	// keptWindows is the number of windows that are remembered.
	keptWindows = 8
	// silenceLimit is the longest silence of a host that gets copies.
	silenceLimit = 1500 * time.Millisecond
)

// Window numbers the windows since the start of 1970.
type Window int64

// Source is the incarnation of a host that counted.
type Source struct {
	Host        quetzalhook.HostID      `cbor:"1,keyasint"`
	Incarnation quetzalhook.Incarnation `cbor:"2,keyasint"`
}

// Counts holds the requests of each customer.
type Counts map[quetzalhook.CustomerID]int64

func (c Counts) merge(other Counts) {
	for id, n := range other {
		c[id] = max(c[id], n)
	}
}

// windows holds the counts of one source.
type windows map[Window]Counts

func (w windows) counts(window Window) Counts {
	if w[window] == nil {
		w[window] = make(Counts)
	}
	return w[window]
}

// Counter counts on one host. It is safe for concurrent use.
type Counter struct {
	self   Source
	zone   quetzalhook.Zone
	peers  quetzalhook.Peers
	clock  *calendar.Clock
	length time.Duration
	log    logrus.FieldLogger

	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu      sync.Mutex
	sources map[Source]windows // own and copies
	changed bool               // since the last copy
}

// New returns a counter and registers its handlers with peers. Windows have the
// given length.
func New(self Source, zone quetzalhook.Zone, peers quetzalhook.Peers, clock *calendar.Clock, length time.Duration, log logrus.FieldLogger) *Counter {
	c := &Counter{
		self: self, zone: zone, peers: peers, clock: clock, length: length, log: log,
		sources: map[Source]windows{self: make(windows)},
	}
	peers.Handle(replicaKind, c.handleReplica)
	peers.Handle(collectKind, c.handleCollect)
	return c
}

// At returns the window that contains t.
func (c *Counter) At(t time.Time) Window { return Window(t.UnixNano() / int64(c.length)) }

// End returns when a window ends.
func (c *Counter) End(w Window) time.Time { return time.Unix(0, int64(w+1)*int64(c.length)) }

// Add counts a request of a customer that begins to run now.
func (c *Counter) Add(customer quetzalhook.CustomerID) {
	w := c.At(c.clock.Now())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sources[c.self].counts(w)[customer]++
	c.changed = true
}

// Start sends copies in the background until Close.
func (c *Counter) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	c.wg.Go(func() { timing.Every(ctx, replicaInterval, func() { c.replicate(ctx) }) })
}

// Close sends a last copy and stops.
func (c *Counter) Close() error {
	if c.cancel == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), callLimit)
	defer cancel()
	c.replicate(ctx)
	c.cancel()
	c.wg.Wait()
	return nil
}

// copies is the message with the latest windows of one source.
type copies struct {
	Source  Source  `cbor:"1,keyasint"`
	Windows windows `cbor:"2,keyasint"`
}

// replicate sends the current and the last window to two other hosts.
func (c *Counter) replicate(ctx context.Context) {
	now := c.clock.Now()
	current := c.At(now)
	c.mu.Lock()
	c.forget(current)
	if !c.changed {
		c.mu.Unlock()
		return
	}
	c.changed = false
	latest := make(windows)
	for w := current - 1; w <= current; w++ {
		if counts := c.sources[c.self][w]; counts != nil {
			latest[w] = counts
		}
	}
	body, err := cbor.Marshal(copies{Source: c.self, Windows: latest})
	c.mu.Unlock()
	if err != nil {
		c.log.WithError(err).Error("counts not encoded")
		return
	}
	var wg sync.WaitGroup
	for _, to := range c.choose() {
		wg.Go(func() {
			if err := c.send(ctx, to, body); err != nil {
				c.mu.Lock()
				c.changed = true // the next copy holds the same totals
				c.mu.Unlock()
				c.log.WithError(err).WithField("peer", to).Debug("copy of counts not sent")
			}
		})
	}
	wg.Wait()
}

// send sends a copy and learns the other host's time of day.
func (c *Counter) send(ctx context.Context, to quetzalhook.HostID, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	begin := c.clock.Now()
	reply, err := c.peers.Call(ctx, to, replicaKind, body)
	if err != nil {
		return err
	}
	var nanoseconds int64
	if err := cbor.Unmarshal(reply, &nanoseconds); err != nil {
		return err
	}
	half := c.clock.Now().Sub(begin) / 2
	c.clock.Observe(to, time.Unix(0, nanoseconds).Add(half))
	return nil
}

// choose returns the hosts that hold this host's totals: two of those in other
// zones if there are enough.
func (c *Counter) choose() []quetzalhook.HostID {
	var near, far []quetzalhook.HostID
	for _, m := range c.peers.Members() {
		switch {
		case m.Draining || !m.IsAlive(silenceLimit):
		case m.Zone == c.zone:
			near = append(near, m.Host)
		default:
			far = append(far, m.Host)
		}
	}
	key := "tally/" + string(c.self.Host)
	ranked := append(rendezvous.Rank(key, far), rendezvous.Rank(key, near)...)
	return ranked[:min(replicas, len(ranked))]
}

// forget drops old windows and sources without any. The caller holds c.mu.
func (c *Counter) forget(current Window) {
	for s, ws := range c.sources {
		for w := range ws {
			if w < current-keptWindows {
				delete(ws, w)
			}
		}
		if len(ws) == 0 && s != c.self {
			delete(c.sources, s)
		}
	}
}

func (c *Counter) handleReplica(_ context.Context, _ quetzalhook.HostID, body []byte) ([]byte, error) {
	var m copies
	if err := cbor.Unmarshal(body, &m); err != nil {
		return nil, &Error{Op: "replica", Kind: ErrorProtocol, Err: err}
	}
	c.mu.Lock()
	if c.sources[m.Source] == nil {
		c.sources[m.Source] = make(windows)
	}
	for w, counts := range m.Windows {
		c.sources[m.Source].counts(w).merge(counts)
	}
	c.mu.Unlock()
	return cbor.Marshal(c.clock.Now().UnixNano())
}

// held is what a host knows of one source in one window.
type held struct {
	Source Source `cbor:"1,keyasint"`
	Counts Counts `cbor:"2,keyasint"`
}

func (c *Counter) handleCollect(_ context.Context, _ quetzalhook.HostID, body []byte) ([]byte, error) {
	var w Window
	if err := cbor.Unmarshal(body, &w); err != nil {
		return nil, &Error{Op: "collect", Kind: ErrorProtocol, Err: err}
	}
	return cbor.Marshal(c.holds(w))
}

// holds returns what this host knows of a window.
func (c *Counter) holds(w Window) []held {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []held
	for s, ws := range c.sources {
		if counts := ws[w]; counts != nil {
			copied := make(Counts, len(counts))
			copied.merge(counts)
			list = append(list, held{Source: s, Counts: copied})
		}
	}
	return list
}

// Collect returns the sum over all hosts of a window, and the hosts that are
// heard but did not answer.
func (c *Counter) Collect(ctx context.Context, w Window) (Counts, []quetzalhook.HostID, error) {
	body, err := cbor.Marshal(w)
	if err != nil {
		return nil, nil, &Error{Op: "collect", Kind: ErrorProtocol, Err: err}
	}
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	var mu sync.Mutex
	var missing []quetzalhook.HostID
	sources := make(map[Source]Counts)
	take := func(list []held) {
		mu.Lock()
		defer mu.Unlock()
		for _, h := range list {
			if sources[h.Source] == nil {
				sources[h.Source] = make(Counts)
			}
			sources[h.Source].merge(h.Counts)
		}
	}
	take(c.holds(w))
	var wg sync.WaitGroup
	for _, m := range c.peers.Members() {
		if !m.IsAlive(silenceLimit) {
			continue
		}
		wg.Go(func() {
			var list []held
			reply, err := c.peers.Call(ctx, m.Host, collectKind, body)
			if err == nil {
				err = cbor.Unmarshal(reply, &list)
			}
			if err != nil {
				c.log.WithError(err).WithField("peer", m.Host).WithField("window", w).Info("counts of a host not collected")
				mu.Lock()
				missing = append(missing, m.Host)
				mu.Unlock()
				return
			}
			take(list)
		})
	}
	wg.Wait()
	sum := make(Counts)
	for _, counts := range sources {
		for id, n := range counts {
			sum[id] += n
		}
	}
	return sum, missing, nil
}

// ErrorKind classifies the failures of this package.
type ErrorKind string

// ErrorProtocol reports a message that cannot be read or written.
const ErrorProtocol ErrorKind = "protocol"

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error implements error.
func (e *Error) Error() string {
	return "tally: " + e.Op + ": " + string(e.Kind) + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
