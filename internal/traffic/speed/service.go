package speed

import (
	"math"
	"time"

	"quetzalhook"
)

const (
	// priorCallMs is the prior of the time of a call to a plain service on an idle
	// upstream. On one with all slots in use it is twice as long.
	priorCallMs = 60.0
	// callMs is the weight of one call in the factor of an upstream. It is a third of
	// the time of a usual call, because calls differ in size: after ten calls, an
	// upstream counts half as what was observed and half as an average one.
	callMs = 20.0
	// MaxTold bounds the upstreams of which a host tells the leader at once.
	MaxTold = 16
)

// Service is the estimate for the calls of one plain service.
type Service struct {
	time line // ms of a call by load per slot
	mean mean
}

// NewService returns the prior.
func NewService() *Service {
	return &Service{time: newLine(priorCallMs, priorCallMs, 1, priorCallMs/1000)}
}

// Call returns the time of a call in ms on an average upstream with a load per slot.
func (s *Service) Call(load float64) float64 { return s.time.value(load) }

// Instance is the estimate of one upstream of a plain service: a factor on the times of
// its service, from the calls of this host and of others.
type Instance struct {
	service *Service
	own     factor
	remote  factor // observed by other hosts
	// pending is what this host has observed since its last report to other hosts.
	pendingObserved, pendingExpected float64
}

// NewInstance returns the estimate of an upstream that is as fast as its service. A
// restarted upstream, or another one at its address, needs a new estimate.
func NewInstance(service *Service) Instance {
	f := factor{mean: &service.mean, prior: 1}
	return Instance{service: service, own: f, remote: f}
}

// Factor returns how much longer calls take than on an average upstream.
func (i *Instance) Factor(now time.Time) float64 {
	i.own.decay(now)
	i.remote.decay(now)
	all := factor{mean: i.own.mean, prior: 1, observed: i.own.observed + i.remote.observed, expected: i.own.expected + i.remote.expected}
	return all.ratio() * i.own.smoothedWorkTime(now)
}

// ObserveWorkTime records the work time that the upstream reports; see
// quetzalhook.Verdict.
func (i *Instance) ObserveWorkTime(now time.Time, workTime float64) {
	i.own.observeWorkTime(now, workTime)
}

// ObserveCall records the time in ms of a call that began at a load per slot.
func (i *Instance) ObserveCall(now time.Time, load, ms float64) {
	if ms <= 0 {
		return
	}
	ms /= i.own.smoothedWorkTime(now)
	ratio := min(ms/i.service.Call(load), maxRatio)
	i.own.observe(now, callMs*ratio, callMs)
	i.pendingObserved, i.pendingExpected = i.pendingObserved+callMs*ratio, i.pendingExpected+callMs
	i.service.time.observe(now, load, ms, 1)
}

// ObserveUnanswered records that a call got no answer in the given time in ms. It
// counts if the call should have had one.
func (i *Instance) ObserveUnanswered(now time.Time, load, ms float64) {
	ratio := min(ms/i.service.Call(load), maxRatio)
	if ratio > i.Factor(now) {
		ratio /= i.own.smoothedWorkTime(now)
		i.own.observe(now, callMs*ratio, callMs)
		i.pendingObserved, i.pendingExpected = i.pendingObserved+callMs*ratio, i.pendingExpected+callMs
	}
}

// Take returns what this host has observed since the last call, or false if that is
// nothing.
func (i *Instance) Take() (ratio, weight float32, ok bool) {
	if i.pendingExpected <= 0 {
		return 0, 0, false
	}
	ratio, weight = float32(i.pendingObserved/i.pendingExpected), float32(i.pendingExpected)
	i.pendingObserved, i.pendingExpected = 0, 0
	return ratio, weight, true
}

// Return puts back what Take returned, so that the next Take returns it too.
func (i *Instance) Return(r Report) {
	i.pendingObserved += float64(r.Ratio) * float64(r.Weight)
	i.pendingExpected += float64(r.Weight)
}

// Add adds what another host has observed since its last report.
func (i *Instance) Add(now time.Time, r Report) {
	if isSound(r.Ratio, r.Weight) {
		weight := min(float64(r.Weight), maxLearntMs)
		i.remote.add(now, min(float64(r.Ratio), maxRatio)*weight, weight)
	}
}

// Set replaces what other hosts have observed by the sum of all hosts' observations.
func (i *Instance) Set(now time.Time, r Report) {
	if isSound(r.Ratio, r.Weight) {
		i.remote.observed, i.remote.expected = 0, 0
		i.remote.add(now, float64(min(r.Ratio, maxRatio)*r.Weight), float64(r.Weight))
	}
}

// Report returns the sum of all hosts' observations that this host knows, or false if
// it is not worth a report.
func (i *Instance) Report(now time.Time) (ratio, weight float32, ok bool) {
	i.own.decay(now)
	i.remote.decay(now)
	expected := i.own.expected + i.remote.expected
	if expected < minReportMs {
		return 0, 0, false
	}
	r := (i.own.observed + i.remote.observed) / expected
	return float32(r), float32(expected), math.Abs(math.Log(r/i.service.mean.ratio())) > math.Log(minReportRatio)
}

// Calls shares the estimates of plain services between hosts.
type Calls interface {
	// TakeSpeeds returns what this host has observed since the last call.
	TakeSpeeds() []Report
	// ReturnSpeeds puts back what TakeSpeeds returned, if no other host got it.
	ReturnSpeeds([]Report)
	// AddSpeeds adds what another host returned from TakeSpeeds.
	AddSpeeds([]Report)
	// Speeds returns the upstreams that differ from their service, by all that this
	// host knows.
	Speeds() []Report
	// SetSpeeds takes over what another host returned from Speeds.
	SetSpeeds([]Report)
}

// NewReport returns a report of an upstream.
func NewReport(u quetzalhook.Upstream, ratio, weight float32) Report {
	return Report{Upstream: u.ID, Started: u.Started, Ratio: ratio, Weight: weight}
}
