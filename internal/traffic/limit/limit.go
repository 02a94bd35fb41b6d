// Package limit bounds each customer's rate of work and concurrency over all
// hosts.
//
// Every host keeps a token bucket for each customer seen recently and debits
// its own use and the cumulative use that the other hosts report by gossip.
// A host that does not hear some of the others refills its buckets at the
// fraction of the rate that belongs to the hosts it hears, itself included;
// see Limiter.MaxExcess for the bound on what the hosts together can admit
// beyond the limit.
package limit

import (
	"time"

	"quetzalhook"
)

const (
	// SilentAfter is the age of a peer's last message from which the host
	// counts it as silent. It is several heartbeats of 250 ms, so that single
	// lost datagrams change nothing.
	SilentAfter = 3 * time.Second
	// heardAfter is how long a silent peer must be heard again before it
	// counts, so that a flapping link does not change the share every second.
	heardAfter = 2 * time.Second
	// forgetAfter is how long a customer without requests is kept.
	forgetAfter = time.Minute
	// recent is the time constant of the use that divides concurrency.
	recent = 10 * time.Second
	// idleShare is the part of recent use that counts as spread evenly over
	// all hosts, so that a host without use of a customer can start.
	idleShare = 0.02
)

// Limiter keeps the limits of one host.
type Limiter struct {
	hosts  int
	silent time.Duration // SilentAfter, but for tests
	limits map[quetzalhook.CustomerID]quetzalhook.CustomerLimit
	states map[quetzalhook.CustomerID]*state
	order  []*state // every state once, swept round by round
	sweep  int
	peers  map[quetzalhook.HostID]*peer
	heard  int       // hosts heard, this one included
	last   time.Time // of the latest ObservePeers
}

// state is one customer seen recently by this host or a peer.
type state struct {
	id      quetzalhook.CustomerID
	limit   quetzalhook.CustomerLimit
	level   float64 // tokens in the bucket, negative after too low predictions
	filled  time.Time
	used    float64 // this host's cumulative work, never falls
	refund  float64 // returned work that later work uses up before used grows
	running int
	active  time.Time // last use on this host or a peer
	own     float64   // this host's recent use, decayed since faded
	all     float64   // all hosts' recent use
	faded   time.Time
}

// peer is another host.
type peer struct {
	id     quetzalhook.HostID
	seen   map[quetzalhook.CustomerID]float64
	silent bool
	since  time.Time // when it became silent
	back   time.Time // when a silent peer was heard again, or zero
}

// New returns a limiter for one of hosts hosts.
func New(hosts int) *Limiter {
	return &Limiter{
		hosts:  max(hosts, 1),
		silent: SilentAfter,
		states: make(map[quetzalhook.CustomerID]*state),
		peers:  make(map[quetzalhook.HostID]*peer),
		heard:  1,
	}
}

// SetLimits replaces the limits of all customers.
func (l *Limiter) SetLimits(now time.Time, limits map[quetzalhook.CustomerID]quetzalhook.CustomerLimit) {
	l.limits = limits
	for _, s := range l.order {
		l.fill(now, s)
		wasUnlimited := s.limit.WorkRate == 0
		s.limit = limits[s.id]
		if wasUnlimited {
			s.level = l.burst(s)
		}
		s.level = min(s.level, l.burst(s))
	}
}

// Share returns the fraction of the limits that this host and the hosts it
// hears may use.
func (l *Limiter) Share() float64 {
	return float64(l.heard) / float64(max(l.hosts, len(l.peers)+1))
}

// Admit charges predicted work in tokens to the customer, or returns false
// and the time after which a try may succeed.
func (l *Limiter) Admit(now time.Time, id quetzalhook.CustomerID, work float64) (bool, time.Duration) {
	s := l.state(now, id)
	s.active = now
	if s.limit.WorkRate > 0 {
		// Work above the burst is admitted from a full bucket.
		if short := min(work, l.burst(s)) - s.level; short > 0 {
			return false, time.Duration(short / (s.limit.WorkRate * l.Share()) * float64(time.Second))
		}
	}
	l.charge(now, s, work)
	return true, 0
}

// Correct charges or returns the difference between work and its prediction.
func (l *Limiter) Correct(now time.Time, id quetzalhook.CustomerID, delta float64) {
	l.charge(now, l.state(now, id), delta)
}

func (l *Limiter) charge(now time.Time, s *state, work float64) {
	l.fade(now, s)
	s.level -= work
	s.refund -= work
	if s.refund < 0 {
		s.used -= s.refund
		s.refund = 0
	}
	s.own = max(s.own+work, 0)
	s.all = max(s.all+work, 0)
}

// Acquire takes one of the customer's running requests on this host, or
// returns false.
func (l *Limiter) Acquire(now time.Time, id quetzalhook.CustomerID) bool {
	s := l.state(now, id)
	if s.limit.Concurrency > 0 && s.running >= l.concurrency(now, s) {
		return false
	}
	s.running++
	return true
}

// Release returns what Acquire took.
func (l *Limiter) Release(now time.Time, id quetzalhook.CustomerID) {
	l.state(now, id).running--
}

// concurrency returns this host's part of the customer's concurrency: of the
// share of the hosts heard, in proportion to its part of their recent use. It
// is at least 1.
func (l *Limiter) concurrency(now time.Time, s *state) int {
	total := float64(s.limit.Concurrency) * l.Share()
	hosts := float64(l.heard)
	l.fade(now, s)
	if s.all < 1 {
		return max(int(total/hosts), 1)
	}
	own := min(s.own/s.all, 1)
	return max(int(total*(own+idleShare)/(1+idleShare*hosts)+0.5), 1)
}

// Used returns the cumulative work of each limited customer seen recently,
// for Demand.Used.
func (l *Limiter) Used() map[quetzalhook.CustomerID]float64 {
	used := make(map[quetzalhook.CustomerID]float64, len(l.order))
	for _, s := range l.order {
		if s.used > 0 {
			used[s.id] = s.used
		}
	}
	return used
}

// Len returns the number of customers with state.
func (l *Limiter) Len() int { return len(l.order) }

// state returns the customer's state with its bucket filled up to now.
func (l *Limiter) state(now time.Time, id quetzalhook.CustomerID) *state {
	s := l.states[id]
	if s == nil {
		s = &state{id: id, limit: l.limits[id], filled: now, faded: now, active: now}
		s.level = l.burst(s)
		l.states[id] = s
		l.order = append(l.order, s)
	}
	l.fill(now, s)
	return s
}

// burst returns the size of the customer's bucket.
func (l *Limiter) burst(s *state) float64 {
	return s.limit.WorkBurst * l.Share()
}

func (l *Limiter) fill(now time.Time, s *state) {
	d := now.Sub(s.filled).Seconds()
	s.filled = now
	s.level = min(s.level+d*s.limit.WorkRate*l.Share(), l.burst(s))
}

// fade decays the recent use.
func (l *Limiter) fade(now time.Time, s *state) {
	if d := now.Sub(s.faded); d > 0 {
		f := max(1-d.Seconds()/recent.Seconds(), 0)
		s.own, s.all, s.faded = s.own*f, s.all*f, now
	}
}

// sweepCount is the number of states that one Tick examines.
const sweepCount = 64

// Tick counts all peers as silent if ObservePeers was not called for
// SilentAfter, and forgets customers that were not seen for a while and have
// a full bucket, so that nothing is lost with them.
func (l *Limiter) Tick(now time.Time) {
	if now.Sub(l.last) >= l.silent {
		for _, p := range l.peers {
			p.mute(now)
		}
		l.setHeard(now, 1)
	}
	for range min(sweepCount, len(l.order)) {
		l.sweep %= len(l.order)
		s := l.order[l.sweep]
		l.fill(now, s)
		full := s.limit.WorkRate == 0 || s.level >= l.burst(s)
		if s.running > 0 || !full || now.Sub(s.active) < forgetAfter {
			l.sweep++
			continue
		}
		delete(l.states, s.id)
		last := len(l.order) - 1
		l.order[l.sweep] = l.order[last]
		l.order[last] = nil
		l.order = l.order[:last]
		if last == 0 {
			return
		}
	}
}

// MaxExcess returns the most work in tokens that the hosts together admit in
// any period beyond WorkBurst + WorkRate x period:
//
//	(hosts - 1) x (WorkBurst + WorkRate x staleness) + hosts x max(0, largest - WorkBurst / hosts)
//
// Hosts is the number of hosts that admit the customer, staleness the age of
// the oldest use that one of them has not heard, largest the most predicted
// work of one request, which a bucket of one share of the burst admits when
// full. While all hosts hear each other, staleness is the
// gossip interval plus its delay. After a cut it grows to SilentAfter; from
// then on each side refills only its share, so that the excess stops growing,
// and after the cut heals it is debited. The bound holds while hearing is
// mutual and transitive: hosts that are dead or split into sides. If two hosts
// do not hear each other but both hear a third, both may use the third's
// share; the excess then grows by at most WorkRate x ((hosts+1)^2 / (4 x hosts) - 1)
// while that lasts. Work that was predicted too low is debited when its tokens
// arrive and is not part of the bound.
func MaxExcess(limit quetzalhook.CustomerLimit, hosts int, staleness time.Duration, largest float64) float64 {
	return float64(hosts-1)*(limit.WorkBurst+limit.WorkRate*staleness.Seconds()) +
		float64(hosts)*max(0, largest-limit.WorkBurst/float64(hosts))
}

// MaxConcurrencyExcess returns the most requests over the limit that the
// hosts together run. In the worst case every host had all of the recent use
// when it last heard the others: (hosts - 1) x concurrency. While the
// reported use is current at most one for each host remains, because parts
// are rounded and every host may run one.
func MaxConcurrencyExcess(limit quetzalhook.CustomerLimit, hosts int, current bool) int {
	if current {
		return hosts
	}
	return (hosts - 1) * max(limit.Concurrency, 1)
}
