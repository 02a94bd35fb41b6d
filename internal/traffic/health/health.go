// Package health detects upstreams that should receive no requests: those with
// a low token rate, without output on their streams, or with repeated failures.
// It ejects them, but never more than a fraction of the upstreams of a model in
// a zone. After the ejection time an upstream is probed with one live request at
// a time, and returns to service if the request succeeds.
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
	// Healthy upstreams take requests; the monitor sets no limit.
	Healthy State = iota
	// Suspect upstreams would be ejected if the cap allowed it; they take one
	// request at a time until one succeeds.
	Suspect
	// Ejected upstreams take no requests, and their streams should be moved to
	// other upstreams.
	Ejected
	// Probing upstreams take one request at a time, whose result decides whether
	// they become healthy or are ejected again.
	Probing
	// Gone upstreams are not in the platform's list any more.
	Gone
)

const (
	// rateWindow is the shortest span over which a stream's rate is measured;
	// at 50 tokens/s it holds 12 tokens.
	rateWindow = 250 * time.Millisecond
	// rateSmoothing is the weight of a new sample in an upstream's smoothed
	// rate.
	rateSmoothing = 0.3
	// maxRateAge is how long an upstream's rate is used after its last sample.
	maxRateAge = 5 * time.Second
	// minSamples is the least number of samples of a rate that is used.
	minSamples = 3
	// minMeasured is the least number of upstreams with a recent rate from which
	// a median is computed.
	minMeasured = 3
	// probeTokens is the least output of a probe, in tokens, for its rate to
	// decide the probe.
	probeTokens = 8
	// maxEjectionTime bounds the ejection time, which doubles with every further
	// ejection before the upstream returns to service.
	maxEjectionTime = 60 * time.Second
	// checkInterval is the shortest time between two evaluations of all
	// upstreams.
	checkInterval = 50 * time.Millisecond
)

// settings are the thresholds of a Monitor.
type settings struct {
	slowRatio    float64
	maxFailures  int
	cap          float64
	ejectionTime time.Duration
	stallTime    time.Duration
	stallFactor  float64
	invariants   quetzalhook.Invariants
}

// Option sets a threshold of a Monitor.
type Option func(*settings)

// WithSlowRatio sets the fraction of the median token rate below which an
// upstream is a straggler.
func WithSlowRatio(f float64) Option { return func(s *settings) { s.slowRatio = f } }

// WithCap sets the largest fraction of a model's upstreams in a zone that may be
// ejected or probed at once.
func WithCap(f float64) Option { return func(s *settings) { s.cap = f } }

// WithStall sets the least time without a token after which a stream counts as
// stalled.
func WithStall(d time.Duration) Option { return func(s *settings) { s.stallTime = d } }

// WithEjection sets the duration of the first ejection; it doubles with every
// failed probe.
func WithEjection(d time.Duration) Option { return func(s *settings) { s.ejectionTime = d } }

// WithInvariants sets where checks of state transitions are counted.
func WithInvariants(i quetzalhook.Invariants) Option {
	return func(s *settings) { s.invariants = i }
}

// Monitor tracks the health of upstreams and ejects those that fail. It is
// pure: no I/O, goroutine or clock.
type Monitor struct {
	settings
	targets   map[quetzalhook.UpstreamID]*Target
	groups    map[groupKey]*group
	order     []*Target
	checkedAt time.Time
	medians   map[string]float64
	chart     *chart.Chart
}

// group is the set of upstreams over which the ejected fraction is capped.
type group struct {
	size, outOfService int
}

type groupKey struct {
	model string
	zone  quetzalhook.Zone
}

// Target is the health record of one upstream.
type Target struct {
	id          quetzalhook.UpstreamID
	modelSet    string   // names of the models served; rates are compared between equal sets
	groups      []*group // one for each model, or one for a service
	nominalRate float64
	isService   bool // does not stream tokens, so that it has no token rate

	state        State
	ejectedUntil time.Time // end of an ejection
	ejections    int
	failures     int // consecutive

	lastToken time.Time // of any stream on the upstream

	rate      float64 // smoothed token rate of one stream, relative to nominal
	samples   int     // number of samples in rate
	sampledAt time.Time
	streams   map[*Stream]struct{}
}

// Stream follows one running request.
type Stream struct {
	target       *Target
	started      time.Time
	expectedTTFT time.Duration // predicted time to the first token
	lastProgress time.Time     // last token, or start
	tokens       int
	windowStart  time.Time
	windowTokens int
}

// New returns a monitor without upstreams.
func New(opts ...Option) *Monitor {
	m := &Monitor{
		settings: settings{
			slowRatio: 0.4, maxFailures: 3, cap: 0.5,
			ejectionTime: 5 * time.Second, stallTime: 2 * time.Second, stallFactor: 4,
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
		t.nominalRate, t.isService = max(u.TokenRate, 1), u.Kind == quetzalhook.KindService
		t.groups = t.groups[:0]
		names := servedNames(u)
		t.modelSet = strings.Join(names, " ")
		for _, name := range names {
			t.groups = append(t.groups, m.addToGroup(groupKey{model: name, zone: u.Zone}))
		}
		m.targets[u.ID] = t
		m.order = append(m.order, t)
	}
	for id, t := range old {
		if m.targets[id] == nil {
			m.transition(t, eventLose)
		}
	}
	m.applyCap()
}

// addToGroup adds one upstream to the size of the group of a key and returns
// the group.
func (m *Monitor) addToGroup(key groupKey) *group {
	g := m.groups[key]
	if g == nil {
		g = &group{}
		m.groups[key] = g
	}
	g.size++
	return g
}

// applyCap recounts the upstreams of each group that are out of service, and
// makes those over the cap Suspect.
func (m *Monitor) applyCap() {
	for _, t := range m.order {
		if t.isOutOfService() && !m.countOutOfService(t) {
			m.transition(t, eventSuspect)
		}
	}
}

// countOutOfService counts t as out of service in its groups, or returns false
// if the cap of one is reached.
func (m *Monitor) countOutOfService(t *Target) bool {
	for _, g := range t.groups {
		if g.outOfService >= m.maxOutOfService(g) {
			return false
		}
	}
	for _, g := range t.groups {
		g.outOfService++
	}
	return true
}

func (t *Target) isOutOfService() bool { return t.state == Ejected || t.state == Probing }

// servedNames returns the models of an engine, or the name of a service.
func servedNames(u quetzalhook.Upstream) []string {
	if u.Kind == quetzalhook.KindService {
		return []string{"service " + u.Service}
	}
	names := make([]string, 0, len(u.Models))
	for _, m := range u.Models {
		names = append(names, string(m))
	}
	return names
}

// maxOutOfService is the number of upstreams of a group that may be out of
// service at once. In a group of two one may be ejected; the only upstream of a
// group never is.
func (m *Monitor) maxOutOfService(g *group) int {
	if g.size <= 1 {
		return 0
	}
	return max(1, int(m.cap*float64(g.size)))
}

// UnderCap reports whether no group has more upstreams out of service than its
// cap allows, and whether the counts of the groups are correct.
func (m *Monitor) UnderCap() bool {
	outOfService := make(map[*group]int, len(m.groups))
	for _, t := range m.order {
		if t.isOutOfService() {
			for _, g := range t.groups {
				outOfService[g]++
			}
		}
	}
	for g, n := range outOfService {
		if n > m.maxOutOfService(g) || n != g.outOfService {
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
	if t.samples < minSamples || now.Sub(t.sampledAt) > maxRateAge {
		return 1
	}
	return t.rate
}

// Started starts to track a new request on t; expectedTTFT is the predicted
// time to its first token.
func (m *Monitor) Started(now time.Time, t *Target, expectedTTFT time.Duration) *Stream {
	s := &Stream{target: t, started: now, lastProgress: now, windowStart: now, expectedTTFT: expectedTTFT}
	t.streams[s] = struct{}{}
	return s
}

// Progress records that a stream has produced n tokens so far.
func (m *Monitor) Progress(now time.Time, s *Stream, n int) {
	if n <= s.tokens {
		return
	}
	s.lastProgress, s.target.lastToken = now, now
	if s.tokens == 0 {
		// The first token ends prefill; rates are measured from here on.
		s.tokens, s.windowStart, s.windowTokens = n, now, n
		return
	}
	s.tokens = n
	if d := now.Sub(s.windowStart); d >= rateWindow {
		s.target.addSample(now, float64(n-s.windowTokens)/d.Seconds())
		s.windowStart, s.windowTokens = now, n
	}
}

func (t *Target) addSample(now time.Time, rate float64) {
	ratio := rate / t.nominalRate
	if t.samples == 0 || now.Sub(t.sampledAt) > maxRateAge {
		t.rate, t.samples = ratio, 0
	}
	t.rate += rateSmoothing * (ratio - t.rate)
	t.samples++
	t.sampledAt = now
}

// Ended records the end of a stream.
func (m *Monitor) Ended(now time.Time, s *Stream, end quetzalhook.End) {
	t := s.target
	delete(t.streams, s)
	switch end {
	case quetzalhook.EndFinished:
		m.recordSuccess(t)
	case quetzalhook.EndBroken, quetzalhook.EndNotSent:
		m.recordFailure(now, t)
	default:
		m.ejectIfUnanswered(now, s)
	}
}

func (m *Monitor) recordSuccess(t *Target) {
	t.failures = 0
	switch t.state {
	case Suspect:
		m.transition(t, eventRecover)
	case Probing:
		m.restore(t)
	}
}

// restore returns a probed upstream to service.
func (m *Monitor) restore(t *Target) {
	m.transition(t, eventRecover)
	t.failures, t.ejections = 0, 0
	for _, g := range t.groups {
		g.outOfService--
	}
}

// recordFailure counts a failure; a probe that fails ejects at once.
func (m *Monitor) recordFailure(now time.Time, t *Target) {
	t.failures++
	if t.state == Probing || t.failures >= m.maxFailures {
		m.eject(now, t)
	}
}

// eject makes t Ejected, or Suspect if the cap is reached.
func (m *Monitor) eject(now time.Time, t *Target) {
	if t.state == Gone {
		return // streams may end after their upstream has gone
	}
	if !t.isOutOfService() && !m.countOutOfService(t) {
		m.transition(t, eventSuspect)
		return
	}
	if t.state == Ejected {
		return
	}
	d := min(m.ejectionTime<<min(t.ejections, 10), maxEjectionTime)
	m.transition(t, eventEject)
	t.ejectedUntil = now.Add(d)
	t.ejections++
	t.samples = 0
}

// isSlow reports whether t is a straggler: its rate is below slowRatio times the
// median of the upstreams with the same models.
func (m *Monitor) isSlow(now time.Time, t *Target) bool {
	median, ok := m.medians[t.modelSet]
	return ok && t.samples >= minSamples && now.Sub(t.sampledAt) <= maxRateAge &&
		t.rate < m.slowRatio*median
}

// Check evaluates all upstreams and changes their states; it does nothing
// within checkInterval of the last call.
func (m *Monitor) Check(now time.Time) {
	gap := now.Sub(m.checkedAt)
	if gap < checkInterval {
		return
	}
	if !m.checkedAt.IsZero() && gap > pauseLimit {
		m.discountPause(gap)
	}
	m.checkedAt = now
	m.updateMedians(now)
	for _, t := range m.order {
		m.evaluate(now, t)
	}
}

// updateMedians computes the median rate of every set of models with enough
// upstreams that have a recent rate.
func (m *Monitor) updateMedians(now time.Time) {
	rates := make(map[string][]float64)
	for _, t := range m.order {
		if t.samples >= minSamples && now.Sub(t.sampledAt) <= maxRateAge {
			rates[t.modelSet] = append(rates[t.modelSet], t.rate)
		}
	}
	clear(m.medians)
	for k, r := range rates {
		if len(r) >= minMeasured {
			sort.Float64s(r)
			m.medians[k] = r[len(r)/2]
		}
	}
}

// evaluate ejects t if it is stalled, silent or slow. It starts probing after
// the ejection time, once no stream is left, and ends it if the probe's rate is
// not slow.
func (m *Monitor) evaluate(now time.Time, t *Target) {
	if t.state == Ejected {
		if !now.Before(t.ejectedUntil) && len(t.streams) == 0 {
			m.transition(t, eventProbe)
		}
		return
	}
	switch {
	case m.isStalled(now, t), m.isSilent(now, t), m.isSlow(now, t):
		m.eject(now, t)
	case t.state == Probing && t.samples >= minSamples && m.hasProbeOutput(t):
		m.restore(t)
	}
}

// hasProbeOutput reports whether a probe has enough output for its rate to
// count.
func (m *Monitor) hasProbeOutput(t *Target) bool {
	for s := range t.streams {
		if s.tokens >= probeTokens {
			return true
		}
	}
	return false
}
