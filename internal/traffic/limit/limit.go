// Package limit bounds each customer's rate of work and concurrency over all
// hosts.
//
// Every host keeps a token bucket for each customer with recent requests. It
// debits its own use and the cumulative use that the other hosts report by
// gossip. A host that receives no gossip from some of the others refills its
// buckets with only a fraction of the rate: the number of hosts that it hears
// from, itself included, divided by the number of all hosts. MaxExcess documents
// how much work the hosts together can admit beyond the limit.
package limit

import (
	"time"

	"quetzalhook"
)

const (
	// SilentAfter is the age of a peer's last message at which the peer starts
	// to count as silent. It spans several heartbeats of 250 ms, so that the
	// loss of single datagrams has no effect.
	SilentAfter = 3 * time.Second
	// rejoinAfter is how long a silent peer must be heard again before it
	// counts as heard, so that an unstable link does not change the share
	// every second.
	rejoinAfter = 2 * time.Second
	// stateRetention is how long the state of a customer without use on any host
	// is kept.
	stateRetention = time.Minute
	// recentUseTime is the time constant with which recent use decays.
	// Concurrency is divided between hosts by recent use.
	recentUseTime = 10 * time.Second
	// idleShare is the weight of an equal share for every host in the division
	// of concurrency, relative to recent use. It lets a host that has not
	// served a customer recently start requests of that customer.
	idleShare = 0.02
)

// Limiter tracks the use of all customers on one host and enforces their
// limits.
type Limiter struct {
	hosts        int           // configured number of hosts
	silentAfter  time.Duration // SilentAfter, except in tests
	limits       map[quetzalhook.CustomerID]quetzalhook.CustomerLimit
	states       map[quetzalhook.CustomerID]*customerState
	stateList    []*customerState // all values of states; Tick examines a part of them at a time
	sweepPos     int              // index in stateList at which the next Tick continues
	peers        map[quetzalhook.HostID]*peer
	heardHosts   int       // number of hosts heard, this one included
	lastObserved time.Time // time of the latest ObservePeers
}

// customerState is the state of one customer with recent use on this host or a
// peer.
type customerState struct {
	id        quetzalhook.CustomerID
	limit     quetzalhook.CustomerLimit
	level     float64   // tokens in the bucket; negative if use exceeded its prediction
	filledAt  time.Time // when the bucket was last filled
	used      float64   // this host's cumulative work; never decreases
	refund    float64   // refunded work that later work consumes before used grows
	running   int       // running requests on this host
	lastUsed  time.Time // last use on this host or a peer
	ownRecent float64   // this host's recent use as of decayedAt
	allRecent float64   // recent use on all hosts as of decayedAt
	decayedAt time.Time // when the recent use was last decayed
}

// peer is the state of another host.
type peer struct {
	id          quetzalhook.HostID
	reported    map[quetzalhook.CustomerID]float64 // cumulative use that the peer last reported, already debited
	silent      bool
	silentSince time.Time // when it became silent
	heardAgain  time.Time // when the silent peer was heard again, or zero
}

// New returns a Limiter for one of the given number of hosts.
func New(hosts int) *Limiter {
	return &Limiter{
		hosts:       max(hosts, 1),
		silentAfter: SilentAfter,
		states:      make(map[quetzalhook.CustomerID]*customerState),
		peers:       make(map[quetzalhook.HostID]*peer),
		heardHosts:  1,
	}
}

// SetLimits replaces the limits of all customers.
func (l *Limiter) SetLimits(now time.Time, limits map[quetzalhook.CustomerID]quetzalhook.CustomerLimit) {
	l.limits = limits
	for _, s := range l.stateList {
		l.fill(now, s)
		wasUnlimited := s.limit.WorkRate == 0
		s.limit = limits[s.id]
		if wasUnlimited {
			s.level = l.burst(s)
		}
		s.level = min(s.level, l.burst(s))
	}
}

// Share returns the fraction of the limits that this host and the hosts that
// it hears may use together.
func (l *Limiter) Share() float64 {
	return float64(l.heardHosts) / float64(max(l.hosts, len(l.peers)+1))
}

// Admit charges predicted work in tokens to the customer. If the work exceeds
// the limit, it returns false and the time after which another try may
// succeed.
func (l *Limiter) Admit(now time.Time, id quetzalhook.CustomerID, work float64) (bool, time.Duration) {
	s := l.state(now, id)
	s.lastUsed = now
	if s.limit.WorkRate > 0 {
		// Work larger than the burst is admitted if the bucket is full.
		if short := min(work, l.burst(s)) - s.level; short > 0 {
			return false, time.Duration(short / (s.limit.WorkRate * l.Share()) * float64(time.Second))
		}
	}
	l.charge(now, s, work)
	return true, 0
}

// Correct charges the difference between the actual and the predicted work; a
// negative delta is a refund.
func (l *Limiter) Correct(now time.Time, id quetzalhook.CustomerID, delta float64) {
	l.charge(now, l.state(now, id), delta)
}

// charge takes work out of the customer's bucket and adds it to its use;
// negative work is a refund.
func (l *Limiter) charge(now time.Time, s *customerState, work float64) {
	l.decay(now, s)
	s.level -= work
	s.refund -= work
	if s.refund < 0 {
		s.used -= s.refund
		s.refund = 0
	}
	s.ownRecent = max(s.ownRecent+work, 0)
	s.allRecent = max(s.allRecent+work, 0)
}

// Acquire counts one more running request of the customer on this host. It
// returns false if the customer's concurrency on this host is used up.
func (l *Limiter) Acquire(now time.Time, id quetzalhook.CustomerID) bool {
	s := l.state(now, id)
	if s.limit.Concurrency > 0 && s.running >= l.concurrency(now, s) {
		return false
	}
	s.running++
	return true
}

// Release reverses one successful Acquire.
func (l *Limiter) Release(now time.Time, id quetzalhook.CustomerID) {
	l.state(now, id).running--
}

// concurrency returns how many requests of the customer this host may run, at
// least 1. The hosts heard, this one included, divide their share of the
// customer's limit by recent use, plus idleShare for each host; without recent
// use they divide it equally.
func (l *Limiter) concurrency(now time.Time, s *customerState) int {
	total := float64(s.limit.Concurrency) * l.Share()
	hosts := float64(l.heardHosts)
	l.decay(now, s)
	if s.allRecent < 1 {
		return max(int(total/hosts), 1)
	}
	own := min(s.ownRecent/s.allRecent, 1)
	return max(int(total*(own+idleShare)/(1+idleShare*hosts)+0.5), 1)
}

// Used returns the cumulative work on this host of each customer whose state is
// kept, for Demand.Used.
func (l *Limiter) Used() map[quetzalhook.CustomerID]float64 {
	used := make(map[quetzalhook.CustomerID]float64, len(l.stateList))
	for _, s := range l.stateList {
		if s.used > 0 {
			used[s.id] = s.used
		}
	}
	return used
}

// Len returns the number of customers whose state is kept.
func (l *Limiter) Len() int { return len(l.stateList) }

// state returns the customer's state, creating it if needed, with its bucket
// refilled up to now.
func (l *Limiter) state(now time.Time, id quetzalhook.CustomerID) *customerState {
	s := l.states[id]
	if s == nil {
		s = &customerState{id: id, limit: l.limits[id], filledAt: now, decayedAt: now, lastUsed: now}
		s.level = l.burst(s)
		l.states[id] = s
		l.stateList = append(l.stateList, s)
	}
	l.fill(now, s)
	return s
}

// burst returns the capacity of the customer's bucket on this host.
func (l *Limiter) burst(s *customerState) float64 {
	return s.limit.WorkBurst * l.Share()
}

// fill refills the customer's bucket up to now.
func (l *Limiter) fill(now time.Time, s *customerState) {
	d := now.Sub(s.filledAt).Seconds()
	s.filledAt = now
	s.level = min(s.level+d*s.limit.WorkRate*l.Share(), l.burst(s))
}

// decay reduces the recent use for the time since decayedAt. Its linear steps
// approximate an exponential decay.
func (l *Limiter) decay(now time.Time, s *customerState) {
	if d := now.Sub(s.decayedAt); d > 0 {
		f := max(1-d.Seconds()/recentUseTime.Seconds(), 0)
		s.ownRecent, s.allRecent, s.decayedAt = s.ownRecent*f, s.allRecent*f, now
	}
}

// sweepCount is the number of customer states that one Tick examines.
const sweepCount = 64

// Tick marks all peers as silent if ObservePeers was not called for
// SilentAfter. It also removes the state of customers that have had no use for
// stateRetention, have no running requests and whose bucket is full, so that no
// debt is lost with the state.
func (l *Limiter) Tick(now time.Time) {
	if now.Sub(l.lastObserved) >= l.silentAfter {
		for _, p := range l.peers {
			p.markSilent(now)
		}
		l.setHeard(now, 1)
	}
	for range min(sweepCount, len(l.stateList)) {
		l.sweepPos %= len(l.stateList)
		s := l.stateList[l.sweepPos]
		l.fill(now, s)
		full := s.limit.WorkRate == 0 || s.level >= l.burst(s)
		if s.running > 0 || !full || now.Sub(s.lastUsed) < stateRetention {
			l.sweepPos++
			continue
		}
		delete(l.states, s.id)
		last := len(l.stateList) - 1
		l.stateList[l.sweepPos] = l.stateList[last]
		l.stateList[last] = nil
		l.stateList = l.stateList[:last]
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
// The parameter hosts is the number of hosts that admit the customer's
// requests. The staleness is the age of the oldest use on one host that another
// one has not yet received. The parameter largest is the largest predicted work
// of one request: a full bucket, which holds one host's share of the burst,
// admits it even if it is larger.
//
// While all hosts hear each other, staleness is the gossip interval plus its
// delay. In a network partition it grows to SilentAfter. From then on each side
// refills only its share, so that the excess stops growing, and when the
// partition heals the excess is debited.
//
// The bound holds while hearing is mutual and transitive, as it is when hosts
// fail or the network splits into separate sides. If two hosts do not hear each other but both hear
// a third, both may use the share of the third; the excess then grows by at most
// WorkRate x ((hosts+1)^2 / (4 x hosts) - 1) while that lasts. Work beyond its
// prediction is debited when its tokens arrive and is not part of the bound.
func MaxExcess(limit quetzalhook.CustomerLimit, hosts int, staleness time.Duration, largest float64) float64 {
	return float64(hosts-1)*(limit.WorkBurst+limit.WorkRate*staleness.Seconds()) +
		float64(hosts)*max(0, largest-limit.WorkBurst/float64(hosts))
}

// MaxConcurrencyExcess returns the largest number of requests beyond the limit
// that the hosts together run. In the worst case every host had all of the
// recent use when it last heard the others: (hosts - 1) x concurrency. While
// the reported use is current, the excess is at most one request for each
// host, because the parts are rounded and every host may run one.
func MaxConcurrencyExcess(limit quetzalhook.CustomerLimit, hosts int, current bool) int {
	if current {
		return hosts
	}
	return (hosts - 1) * max(limit.Concurrency, 1)
}
