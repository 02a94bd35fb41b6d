// Package health finds upstreams that should get no work: stragglers by token
// rate, silent streams, and repeated failures. It ejects them, but never more
// than a fraction of the upstreams of a model in a zone, and lets them return
// through probes of one live request at a time.
package health

import (
	"math"
	"sort"
	"strings"
	"time"

	"quetzalhook"
	"quetzalhook/internal/state/chart"
)

// State is the health of one upstream as seen by this host.
type State uint8

const (
	// Healthy upstreams take work without limit.
	Healthy State = iota
	// Suspect upstreams would be ejected but for the cap; they take one
	// request at a time until one succeeds.
	Suspect
	// Ejected upstreams take no work, and their streams should move.
	Ejected
	// Probing upstreams take one request at a time, which decides whether they
	// return.
	Probing
	// Gone upstreams are not in the platform's list any more.
	Gone
)

const (
	// rateWindow is the shortest span over which a stream's rate is measured;
	// at 50 tokens/s it holds 12 tokens.
	rateWindow = 250 * time.Millisecond
	// rateGain weighs a new sample of an upstream's rate.
	rateGain = 0.3
	// rateMemory is how long an upstream's rate counts without a new sample.
	rateMemory = 5 * time.Second
	// minSamples is the number of samples before an upstream is judged.
	minSamples = 3
	// minPeers is the number of measured upstreams that make a median.
	minPeers = 3
	// probeTokens is the least output of a probe that proves a rate.
	probeTokens = 8
	// maxEjection bounds the doubling of the ejection time.
	maxEjection = 60 * time.Second
	// checkInterval is the least time between two rounds of checks.
	checkInterval = 50 * time.Millisecond
)

// settings are the thresholds of a Monitor.
type settings struct {
	slowRatio  float64
	failures   int
	cap        float64
	ejection   time.Duration
	stall      time.Duration
	stallScale float64
	invariants quetzalhook.Invariants
}

// Option sets a threshold of a Monitor.
type Option func(*settings)

// WithSlowRatio sets the fraction of the median token rate below which an
// upstream is a straggler.
func WithSlowRatio(f float64) Option { return func(s *settings) { s.slowRatio = f } }

// WithCap sets the largest ejected fraction of a model's upstreams in a zone.
func WithCap(f float64) Option { return func(s *settings) { s.cap = f } }

// WithStall sets the least time without a token after which a stream is
// silent.
func WithStall(d time.Duration) Option { return func(s *settings) { s.stall = d } }

// WithEjection sets the duration of the first ejection; it doubles with every
// failed probe.
func WithEjection(d time.Duration) Option { return func(s *settings) { s.ejection = d } }

// WithInvariants sets where transitions are counted.
func WithInvariants(i quetzalhook.Invariants) Option {
	return func(s *settings) { s.invariants = i }
}

// Monitor judges upstreams. It is pure: no I/O, goroutine or clock.
type Monitor struct {
	settings
	targets map[quetzalhook.UpstreamID]*Target
	groups  map[groupKey]*group
	order   []*Target
	checked time.Time
	medians map[string]float64
	chart   *chart.Chart
}

// group is the set of upstreams over which the ejected fraction is capped.
type group struct {
	size, out int
}

type groupKey struct {
	model string
	zone  quetzalhook.Zone
}

// Target is the health record of one upstream.
type Target struct {
	id      quetzalhook.UpstreamID
	kind    string   // of upstreams whose token rates are comparable
	groups  []*group // one for each model
	nominal float64
	service bool // answers whole, so that tokens tell nothing

	state     State
	until     time.Time // end of an ejection
	ejections int
	failures  int // consecutive

	lastToken time.Time // of any stream

	rate    float64 // smoothed token rate of one stream over nominal
	samples int
	sampled time.Time
	streams map[*Stream]struct{}
}

// Stream follows one running request.
type Stream struct {
	target  *Target
	started time.Time
	expect  time.Duration // predicted time to the first token
	last    time.Time     // last token, or start
	tokens  int
	winAt   time.Time
	winN    int
}

// New returns a monitor without upstreams.
func New(opts ...Option) *Monitor {
	m := &Monitor{
		settings: settings{
			slowRatio: 0.4, failures: 3, cap: 0.5,
			ejection: 5 * time.Second, stall: 2 * time.Second, stallScale: 4,
		},
		targets: make(map[quetzalhook.UpstreamID]*Target),
		medians: make(map[string]float64),
		chart:   upstreamChart(),
	}
	for _, opt := range opts {
		opt(&m.settings)
	}
	return m
}

// SetUpstreams replaces the upstreams; records of those that stay are kept.
func (m *Monitor) SetUpstreams(upstreams []quetzalhook.Upstream) {
	old := m.targets
	m.targets = make(map[quetzalhook.UpstreamID]*Target, len(upstreams))
	m.groups = make(map[groupKey]*group)
	m.order = m.order[:0]
	for _, u := range upstreams {
		if u.State == quetzalhook.UpstreamGone {
			continue
		}
		t := old[u.ID]
		if t == nil {
			t = &Target{id: u.ID, streams: make(map[*Stream]struct{})}
		}
		t.nominal, t.service = max(u.TokenRate, 1), u.Kind == quetzalhook.KindService
		t.groups = t.groups[:0]
		names := served(u)
		t.kind = strings.Join(names, " ")
		for _, name := range names {
			t.groups = append(t.groups, m.join(groupKey{model: name, zone: u.Zone}))
		}
		m.targets[u.ID] = t
		m.order = append(m.order, t)
	}
	for id, t := range old {
		if m.targets[id] == nil {
			m.move(t, eventLose)
		}
	}
	m.recap()
}

// join returns the group of a key with one upstream more.
func (m *Monitor) join(key groupKey) *group {
	g := m.groups[key]
	if g == nil {
		g = &group{}
		m.groups[key] = g
	}
	g.size++
	return g
}

// recap counts the ejected upstreams of each group again and makes those over
// the cap Suspect.
func (m *Monitor) recap() {
	for _, t := range m.order {
		if t.isOut() && !m.takeOut(t) {
			m.move(t, eventSuspect)
		}
	}
}

// takeOut counts t as out, or returns false if the cap of a group is reached.
func (m *Monitor) takeOut(t *Target) bool {
	for _, g := range t.groups {
		if g.out >= m.maxOut(g) {
			return false
		}
	}
	for _, g := range t.groups {
		g.out++
	}
	return true
}

func (t *Target) isOut() bool { return t.state == Ejected || t.state == Probing }

// served returns the models of an engine, or the name of a service.
func served(u quetzalhook.Upstream) []string {
	if u.Kind == quetzalhook.KindService {
		return []string{"service " + u.Service}
	}
	names := make([]string, 0, len(u.Models))
	for _, m := range u.Models {
		names = append(names, string(m))
	}
	return names
}

// maxOut is the number of upstreams of a group that may be out at once. A
// group of two may lose one; the only upstream of a group is never ejected.
func (m *Monitor) maxOut(g *group) int {
	if g.size <= 1 {
		return 0
	}
	return max(1, int(m.cap*float64(g.size)))
}

// UnderCap reports whether no group has more upstreams out than its cap.
func (m *Monitor) UnderCap() bool {
	out := make(map[*group]int, len(m.groups))
	for _, t := range m.order {
		if t.isOut() {
			for _, g := range t.groups {
				out[g]++
			}
		}
	}
	for g, n := range out {
		if n > m.maxOut(g) || n != g.out {
			return false
		}
	}
	return true
}

// Target returns the record of an upstream, or nil.
func (m *Monitor) Target(u quetzalhook.UpstreamID) *Target { return m.targets[u] }

// State returns the upstream's health.
func (t *Target) State() State { return t.state }

// Running returns the number of streams on the upstream.
func (t *Target) Running() int { return len(t.streams) }

// Limit returns how many requests the upstream may have at once.
func (t *Target) Limit() int {
	switch t.state {
	case Ejected:
		return 0
	case Suspect, Probing:
		return 1
	}
	return math.MaxInt
}

// Speed returns the upstream's token rate relative to nominal, or 1 if it is
// not known.
func (t *Target) Speed(now time.Time) float64 {
	if t.samples < minSamples || now.Sub(t.sampled) > rateMemory {
		return 1
	}
	return t.rate
}

// Started follows a new request on t, whose first token is expected after
// expect.
func (m *Monitor) Started(now time.Time, t *Target, expect time.Duration) *Stream {
	s := &Stream{target: t, started: now, last: now, winAt: now, expect: expect}
	t.streams[s] = struct{}{}
	return s
}

// Progress records that a stream has n tokens.
func (m *Monitor) Progress(now time.Time, s *Stream, n int) {
	if n <= s.tokens {
		return
	}
	s.last, s.target.lastToken = now, now
	if s.tokens == 0 {
		// The first token ends prefill; rates are measured from here on.
		s.tokens, s.winAt, s.winN = n, now, n
		return
	}
	s.tokens = n
	if d := now.Sub(s.winAt); d >= rateWindow {
		s.target.sample(now, float64(n-s.winN)/d.Seconds())
		s.winAt, s.winN = now, n
	}
}

func (t *Target) sample(now time.Time, rate float64) {
	ratio := rate / t.nominal
	if t.samples == 0 || now.Sub(t.sampled) > rateMemory {
		t.rate, t.samples = ratio, 0
	}
	t.rate += rateGain * (ratio - t.rate)
	t.samples++
	t.sampled = now
}

// Ended records the end of a stream.
func (m *Monitor) Ended(now time.Time, s *Stream, end quetzalhook.End) {
	t := s.target
	delete(t.streams, s)
	switch end {
	case quetzalhook.EndFinished:
		m.succeed(t)
	case quetzalhook.EndBroken, quetzalhook.EndNotSent:
		m.fail(now, t)
	default:
		m.giveUp(now, s)
	}
}

func (m *Monitor) succeed(t *Target) {
	t.failures = 0
	switch t.state {
	case Suspect:
		m.move(t, eventRecover)
	case Probing:
		m.restore(t)
	}
}

func (m *Monitor) restore(t *Target) {
	m.move(t, eventRecover)
	t.failures, t.ejections = 0, 0
	for _, g := range t.groups {
		g.out--
	}
}

// fail counts a failure; a probe that fails ejects at once.
func (m *Monitor) fail(now time.Time, t *Target) {
	t.failures++
	if t.state == Probing || t.failures >= m.failures {
		m.eject(now, t)
	}
}

// eject takes t out of service, or marks it Suspect if the cap is reached.
func (m *Monitor) eject(now time.Time, t *Target) {
	if t.state == Gone {
		return // streams may end after their upstream has gone
	}
	if !t.isOut() && !m.takeOut(t) {
		m.move(t, eventSuspect)
		return
	}
	if t.state == Ejected {
		return
	}
	d := min(m.ejection<<min(t.ejections, 10), maxEjection)
	m.move(t, eventEject)
	t.until = now.Add(d)
	t.ejections++
	t.samples = 0
}

// isSlow compares t with the median of its kind.
func (m *Monitor) isSlow(now time.Time, t *Target) bool {
	median, ok := m.medians[t.kind]
	return ok && t.samples >= minSamples && now.Sub(t.sampled) <= rateMemory &&
		t.rate < m.slowRatio*median
}

// Check judges all upstreams; it does nothing if the last call is recent.
func (m *Monitor) Check(now time.Time) {
	gap := now.Sub(m.checked)
	if gap < checkInterval {
		return
	}
	if !m.checked.IsZero() && gap > pauseLimit {
		m.forgive(gap)
	}
	m.checked = now
	m.measure(now)
	for _, t := range m.order {
		m.judge(now, t)
	}
}

// measure computes the median rate of every kind that has enough upstreams
// with a recent rate.
func (m *Monitor) measure(now time.Time) {
	rates := make(map[string][]float64)
	for _, t := range m.order {
		if t.samples >= minSamples && now.Sub(t.sampled) <= rateMemory {
			rates[t.kind] = append(rates[t.kind], t.rate)
		}
	}
	clear(m.medians)
	for k, r := range rates {
		if len(r) >= minPeers {
			sort.Float64s(r)
			m.medians[k] = r[len(r)/2]
		}
	}
}

func (m *Monitor) judge(now time.Time, t *Target) {
	if t.state == Ejected {
		if !now.Before(t.until) && len(t.streams) == 0 {
			m.move(t, eventProbe)
		}
		return
	}
	switch {
	case m.isStalled(now, t), m.isSilent(now, t), m.isSlow(now, t):
		m.eject(now, t)
	case t.state == Probing && t.samples >= minSamples && m.probed(t):
		m.restore(t)
	}
}

// probed reports whether a probe has enough output to prove a rate.
func (m *Monitor) probed(t *Target) bool {
	for s := range t.streams {
		if s.tokens >= probeTokens {
			return true
		}
	}
	return false
}
