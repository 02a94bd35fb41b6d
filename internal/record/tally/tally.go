// Package tally counts the requests of each customer that start running, in
// short windows, and keeps the counts when hosts fail.
//
// Each incarnation of a host counts its own requests. Its counts never decrease
// and are merged by maximum, so replicas may arrive late, twice or out of order. A
// host sends changed counts to two others several times a second. The host that
// reports a window collects from all hosts their own counts and their
// replicas. A killed host loses what it counted since its last replica.
//
// Hosts also keep the counts that were sent in reports. The store may come back from an older
// copy, which lacks them.
package tally

import (
	"context"
	"slices"
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

	// replicas is the number of other hosts that hold a host's counts.
	replicas = 2
	// replicaInterval is the time between two replications. A killed host loses
	// about what it counts in this time at most: with 8 hosts and windows of 5 s,
	// 1 in 100 requests of the window.
	replicaInterval = 400 * time.Millisecond
	// callTimeout limits a replication or a collection: its calls to all other hosts
	// run at the same time.
	callTimeout = 800 * time.Millisecond
	// keptWindows is the number of windows before the current one that are kept.
	keptWindows = 8
	// maxSilence is how long a host may be silent and still be called.
	maxSilence = 1500 * time.Millisecond
)

// Window identifies a window by its number. Window 0 starts at the Unix epoch.
type Window int64

// Source is the incarnation of a host that counted the requests.
type Source struct {
	Host        quetzalhook.HostID      `cbor:"1,keyasint"`
	Incarnation quetzalhook.Incarnation `cbor:"2,keyasint"`
}

// Counts holds the number of requests of each customer.
type Counts map[quetzalhook.CustomerID]int64

func (c Counts) merge(other Counts) {
	for id, n := range other {
		c[id] = max(c[id], n)
	}
}

// windows holds the counts of one source by window.
type windows map[Window]Counts

// counts returns the counts of a window and adds the window if necessary.
func (w windows) counts(window Window) Counts {
	if w[window] == nil {
		w[window] = make(Counts)
	}
	return w[window]
}

// Counter counts the requests of one host. It is safe for concurrent use.
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
	sources map[Source]windows // own counts and replicas
	changed bool               // own counts have changed since the last replication
	sent    map[Window][]Counts
	// era is that of the store, and eraSince the time at which this process first saw it. It
	// is of the monotonic clock: that of clock is corrected.
	era      int64
	eraSince time.Time
}

// New returns a counter for windows of the given length and registers its
// handlers with peers.
func New(self Source, zone quetzalhook.Zone, peers quetzalhook.Peers, clock *calendar.Clock, length time.Duration, log logrus.FieldLogger) *Counter {
	c := &Counter{
		self: self, zone: zone, peers: peers, clock: clock, length: length, log: log,
		sources: map[Source]windows{self: make(windows)}, sent: make(map[Window][]Counts),
	}
	peers.Handle(replicaKind, c.handleReplica)
	peers.Handle(collectKind, c.handleCollect)
	peers.Handle(sentKind, c.handleSent)
	return c
}

// At returns the window that contains t.
func (c *Counter) At(t time.Time) Window { return Window(t.UnixNano() / int64(c.length)) }

// End returns when a window ends.
func (c *Counter) End(w Window) time.Time { return time.Unix(0, int64(w+1)*int64(c.length)) }

// Add counts a request of a customer that starts running now.
func (c *Counter) Add(customer quetzalhook.CustomerID) {
	w := c.At(c.clock.Now())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sources[c.self].counts(w)[customer]++
	c.changed = true
}

// Start sends replicas in the background until Close.
func (c *Counter) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	c.wg.Go(func() { timing.Every(ctx, replicaInterval, func() { c.replicate(ctx) }) })
}

// Close sends a last replica and stops the background work.
func (c *Counter) Close() error {
	if c.cancel == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	c.replicate(ctx)
	c.cancel()
	c.wg.Wait()
	return nil
}

// replicaMessage carries the counts of one source in its latest windows.
type replicaMessage struct {
	Source  Source  `cbor:"1,keyasint"`
	Windows windows `cbor:"2,keyasint"`
}

// replicate sends the own counts of the current and the previous window to two
// other hosts if they have changed.
func (c *Counter) replicate(ctx context.Context) {
	now := c.clock.Now()
	current := c.At(now)
	c.mu.Lock()
	c.dropOldWindows(current)
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
	body, err := cbor.Marshal(replicaMessage{Source: c.self, Windows: latest})
	c.mu.Unlock()
	if err != nil {
		c.log.WithError(err).Error("cannot encode request counts")
		return
	}
	var wg sync.WaitGroup
	for _, to := range c.choosePeers() {
		wg.Go(func() {
			if err := c.sendReplica(ctx, to, body); err != nil {
				c.mu.Lock()
				c.changed = true // the next replication sends the counts again
				c.mu.Unlock()
				c.log.WithError(err).WithField("peer", to).Debug("cannot send request counts to another host")
			}
		})
	}
	wg.Wait()
}

// sendReplica sends a replica to another host, which replies with its time of
// day. That time plus half of the round trip is passed to c.clock, which compares
// it with its own.
func (c *Counter) sendReplica(ctx context.Context, to quetzalhook.HostID, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
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

// choosePeers returns the hosts to which this host sends its counts: two in other
// zones. If there are too few, it adds hosts in the same zone.
func (c *Counter) choosePeers() []quetzalhook.HostID {
	var ownZone, otherZones []quetzalhook.HostID
	for _, m := range c.peers.Members() {
		switch {
		case m.Draining || !m.IsAlive(maxSilence):
		case m.Zone == c.zone:
			ownZone = append(ownZone, m.Host)
		default:
			otherZones = append(otherZones, m.Host)
		}
	}
	key := "tally/" + string(c.self.Host)
	ranked := append(rendezvous.Rank(key, otherZones), rendezvous.Rank(key, ownZone)...)
	return ranked[:min(replicas, len(ranked))]
}

// dropOldWindows removes the windows older than keptWindows, and other sources
// that have none left. The caller holds c.mu.
func (c *Counter) dropOldWindows(current Window) {
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
	for w := range c.sent {
		if w < current-keptWindows {
			delete(c.sent, w)
		}
	}
}

// handleReplica merges the counts received from another host and replies with the
// time of day.
func (c *Counter) handleReplica(_ context.Context, _ quetzalhook.HostID, body []byte) ([]byte, error) {
	var m replicaMessage
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

// sourceCounts holds the counts of one source in one window. The other fields are set for
// the source of the host that answers; hosts of earlier builds omit them.
type sourceCounts struct {
	Source Source `cbor:"1,keyasint"`
	Counts Counts `cbor:"2,keyasint"`
	// Sent holds the counts that are known as sent for the window.
	Sent []Counts `cbor:"3,keyasint,omitempty"`
	// Era is the era of the store, and EraAge the time since the host first saw it.
	Era    int64         `cbor:"4,keyasint,omitempty"`
	EraAge time.Duration `cbor:"5,keyasint,omitempty"`
}

// handleCollect replies with all counts that this host has for a window.
func (c *Counter) handleCollect(_ context.Context, _ quetzalhook.HostID, body []byte) ([]byte, error) {
	var w Window
	if err := cbor.Unmarshal(body, &w); err != nil {
		return nil, &Error{Op: "collect", Kind: ErrorProtocol, Err: err}
	}
	return cbor.Marshal(c.localCounts(w))
}

// localCounts returns a copy of all counts that this host has for a window: its
// own and the replicas of other hosts. The own ones are first.
func (c *Counter) localCounts(w Window) []sourceCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	own := sourceCounts{Source: c.self, Counts: make(Counts), Sent: slices.Clone(c.sent[w])}
	own.Counts.merge(c.sources[c.self][w])
	own.Era, own.EraAge = c.eraAge()
	list := []sourceCounts{own}
	for s, ws := range c.sources {
		if counts := ws[w]; s != c.self && counts != nil {
			copied := make(Counts, len(counts))
			copied.merge(counts)
			list = append(list, sourceCounts{Source: s, Counts: copied})
		}
	}
	return list
}

// Collected is what the hosts know of a window.
type Collected struct {
	Counts  Counts               // summed over all sources
	Missing []quetzalhook.HostID // hosts that are alive but did not answer
	// Sent holds the counts that are known as sent, more than one if the hosts do not agree.
	Sent []Counts
	// EraAge is the longest time for which a host has known the era that this one observed
	// last.
	EraAge time.Duration
}

// Collect returns what all hosts know of a window.
func (c *Counter) Collect(ctx context.Context, w Window) (Collected, error) {
	body, err := cbor.Marshal(w)
	if err != nil {
		return Collected{}, &Error{Op: "collect", Kind: ErrorProtocol, Err: err}
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var mu sync.Mutex
	result := Collected{Counts: make(Counts)}
	sources := make(map[Source]Counts)
	own := c.localCounts(w)
	mergeAll := func(list []sourceCounts) {
		mu.Lock()
		defer mu.Unlock()
		for _, s := range list {
			if sources[s.Source] == nil {
				sources[s.Source] = make(Counts)
			}
			sources[s.Source].merge(s.Counts)
			result.Sent = addSent(result.Sent, s.Sent)
			if s.Era == own[0].Era {
				result.EraAge = max(result.EraAge, s.EraAge)
			}
		}
	}
	mergeAll(own)
	var wg sync.WaitGroup
	for _, m := range c.peers.Members() {
		if !m.IsAlive(maxSilence) {
			continue
		}
		wg.Go(func() {
			var list []sourceCounts
			reply, err := c.peers.Call(ctx, m.Host, collectKind, body)
			if err == nil {
				err = cbor.Unmarshal(reply, &list)
			}
			if err != nil {
				c.log.WithError(err).WithField("peer", m.Host).WithField("window", w).Info("cannot collect request counts of a host")
				mu.Lock()
				result.Missing = append(result.Missing, m.Host)
				mu.Unlock()
				return
			}
			mergeAll(list)
		})
	}
	wg.Wait()
	for _, counts := range sources {
		for id, n := range counts {
			result.Counts[id] += n
		}
	}
	return result, nil
}

// ErrorKind classifies the errors of this package.
type ErrorKind string

// ErrorProtocol reports a message that cannot be decoded or encoded.
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
