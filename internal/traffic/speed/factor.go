package speed

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"quetzalhook"
)

const (
	// factorHalfLife is the time in which an observed ratio loses half of its weight.
	// Slowdowns last for seconds.
	factorHalfLife = 3 * time.Second
	// shrinkMs is the weight of the service's average in the factor of an upstream:
	// with few observations an upstream counts as an average one.
	shrinkMs = 200.0
	// enginePrior is the factor of an engine without observations, against the
	// average. At a low load, engines that have not been used for a while would
	// otherwise not be tried again, since others hold the cached prompts.
	enginePrior = 0.8
	// An observation that is off the factor by changeRatio shows a change of the machine,
	// and takes weight from the older ones: all of it within changeMs of the time of the
	// upstream. With the half-life alone, an engine would be avoided for 6 s after a
	// slowdown of the same length.
	changeRatio = 2.0
	changeMs    = 1500.0
	// maxRatio bounds one observed time to a multiple of the expected one.
	maxRatio = 8.0
	// workTimeHalfLife is the time in which a work time that an upstream has reported
	// loses half of its weight. It changes many times a second, so that it describes the
	// next requests only for a moment.
	workTimeHalfLife = time.Second
	// workTimeGain is the weight of one reported work time in the smoothed one.
	workTimeGain = 0.3
	// factorInterval is how long a computed factor is used, because placement needs it
	// for every upstream and request.
	factorInterval = 20 * time.Millisecond
)

// factor is how much longer work takes on one upstream than on an average one of its
// service: the observed part and the work time that the upstream reports. The observed
// part is the ratio of two sums; a mean of ratios would be ruled by short times, in
// which the noise is large.
type factor struct {
	observed, expected float64 // sums of times in ms, by age
	at                 time.Time
	mean               *mean
	// prior is the factor without observations, as a multiple of the mean.
	prior float64

	workTime   float64   // logarithm
	workTimeAt time.Time // zero if none was reported

	cached   float64
	cachedAt time.Time
}

// decay reduces the weight of the observed times by age.
func (f *factor) decay(now time.Time) {
	if f.expected > 0 {
		d := math.Exp2(-float64(now.Sub(f.at)) / float64(factorHalfLife))
		f.observed, f.expected = f.observed*d, f.expected*d
	}
	f.at = now
}

// observe records an observed time in ms and the one expected on an average upstream.
func (f *factor) observe(now time.Time, observed, expected float64) {
	if expected <= 0 {
		return
	}
	f.add(now, min(max(observed, 0), maxRatio*expected), expected)
	f.mean.observe(observed, expected)
}

// add adds to the sums without a change of the mean.
func (f *factor) add(now time.Time, observed, expected float64) {
	f.decay(now)
	f.observed, f.expected = f.observed+observed, f.expected+expected
	f.cachedAt = time.Time{}
}

// forget reduces the weight of the observed times if an observation from a time in ms
// of the upstream shows that its machine has changed.
func (f *factor) forget(ratio, ms float64) {
	if now := f.ratio(); ratio > now*changeRatio || ratio < now/changeRatio {
		keep := 1 - min(ms/changeMs, 1)
		f.observed, f.expected = f.observed*keep, f.expected*keep
	}
}

// ratio returns the observed part of the factor.
func (f *factor) ratio() float64 {
	return (f.observed + shrinkMs*f.unknown()) / (f.expected + shrinkMs)
}

// unknown returns the observed part for an upstream without observations.
func (f *factor) unknown() float64 { return f.prior * f.mean.ratio() }

// mean is the mean factor of the upstreams of a service. It is near 1, but if an
// upstream without observations counted as 1 while the others are at 0.95, it would get
// no requests at a low load.
type mean struct{ observed, expected float64 }

// meanMs is the time over which the mean is taken.
const meanMs = 20_000.0

func (m *mean) observe(observed, expected float64) {
	m.observed += min(max(observed, expected/maxDeviation), expected*maxDeviation)
	m.expected += expected
	if m.expected > meanMs {
		m.observed, m.expected = m.observed*meanMs/m.expected, meanMs
	}
}

func (m *mean) ratio() float64 { return (m.observed + shrinkMs) / (m.expected + shrinkMs) }

// observeWorkTime records the work time that the upstream reports; 0 is none.
func (f *factor) observeWorkTime(now time.Time, workTime float64) {
	if !(workTime > 0) {
		return
	}
	gain := workTimeGain
	if f.workTimeAt.IsZero() || now.Sub(f.workTimeAt) > workTimeHalfLife {
		gain = 1
	}
	f.workTime += gain * (math.Log(workTime) - f.workTime)
	f.workTimeAt, f.cachedAt = now, time.Time{}
}

// smoothedWorkTime returns the smoothed work time that the upstream has reported, 1
// without a fresh one.
func (f *factor) smoothedWorkTime(now time.Time) float64 {
	if f.workTimeAt.IsZero() {
		return 1
	}
	return math.Exp(f.workTime * math.Exp2(-float64(now.Sub(f.workTimeAt))/float64(workTimeHalfLife)))
}

// value returns the factor.
func (f *factor) value(now time.Time) float64 {
	if f.expected == 0 && f.workTimeAt.IsZero() {
		return f.unknown()
	}
	if f.cachedAt.IsZero() || now.Sub(f.cachedAt) > factorInterval {
		f.decay(now)
		f.cached, f.cachedAt = f.ratio()*f.smoothedWorkTime(now), now
	}
	return f.cached
}

// Report is the factor of an upstream that hosts exchange, without the work time that the
// upstream reports.
type Report struct {
	_        struct{} `cbor:",toarray"`
	Upstream quetzalhook.UpstreamID
	Started  int64
	Ratio    float32
	Weight   float32
}

const (
	// minReportRatio is how far a factor must be from 1, and minReportMs the time on
	// which it must rest, to be reported to other hosts.
	minReportRatio = 1.15
	minReportMs    = 200.0
	// maxLearntMs bounds the weight of the report of another host, so that own observations
	// soon outweigh it.
	maxLearntMs = 1000.0
	// MaxReports bounds the upstreams that one message names.
	MaxReports = 32
)

// report returns what other hosts need to know, or false if that is nothing.
func (f *factor) report(now time.Time) (ratio, weight float32, ok bool) {
	f.decay(now)
	if f.expected < minReportMs {
		return 0, 0, false
	}
	return float32(f.observed / f.expected), float32(f.expected), math.Abs(math.Log(f.ratio()/f.mean.ratio())) > math.Log(minReportRatio)
}

// learn takes over the factor that another host has observed, with what its weight
// exceeds that of the own observations. A second report thus adds nothing.
func (f *factor) learn(now time.Time, ratio, weight float32) {
	if !isSound(ratio, 1) || !(weight > 0) {
		return
	}
	f.decay(now)
	if more := min(float64(weight), maxLearntMs) - f.expected; more > 0 {
		f.add(now, min(float64(ratio), maxRatio)*more, more)
	}
}

// Largest sorts reports, those that differ most from 1 first, and cuts them to
// MaxReports.
func Largest(list []Report) []Report {
	slices.SortFunc(list, func(a, b Report) int {
		if c := cmp.Compare(b.deviation(), a.deviation()); c != 0 {
			return c
		}
		return strings.Compare(string(a.Upstream), string(b.Upstream))
	})
	return list[:min(len(list), MaxReports)]
}

func (r Report) deviation() float64 { return math.Abs(math.Log(float64(r.Ratio))) }
