package speed

import (
	"math"
	"time"
)

const (
	// memory is the time after which an observation of a kind counts 1/e. A kind does
	// not change while its upstreams run; the time is short enough to follow another
	// mix of requests.
	memory = 30 * time.Second
	// heldWeight is the weight that age alone does not take from a line, so that what
	// was learnt outlives a pause in the traffic.
	heldWeight = 24.0
	// maxDeviation bounds one observation to a multiple or a fraction of what the line
	// predicts. An upstream that is 5 times slower for seconds, or a request that was
	// behind unknown ones, then moves the line little, while a kind that is far from
	// the prior is still approached in a few steps.
	maxDeviation = 2.5
	// priorWeight is the weight of each of the two points of the prior.
	priorWeight = 4.0
)

// line is a straight line fitted to weighted observations by least squares, with a
// prior of two points. The zero value without a prior must not be used.
type line struct {
	prior                 sums
	seen                  sums
	at                    time.Time
	intercept, slope      float64
	minSlope, minAtOrigin float64
}

// sums are the weighted sums that determine a line.
type sums struct{ n, x, y, xx, xy float64 }

func (s *sums) add(x, y, weight float64) {
	s.n += weight
	s.x += weight * x
	s.y += weight * y
	s.xx += weight * x * x
	s.xy += weight * x * y
}

func (s *sums) scale(by float64) {
	s.n, s.x, s.y, s.xx, s.xy = s.n*by, s.x*by, s.y*by, s.xx*by, s.xy*by
}

// newLine returns a line whose prior passes through (0, intercept) and (x, intercept
// + slope*x). The fit keeps at least 1% of the slope, and minAtOrigin at x = 0.
func newLine(intercept, slope, x, minAtOrigin float64) line {
	l := line{intercept: intercept, slope: slope, minSlope: slope / 100, minAtOrigin: minAtOrigin}
	l.prior.add(0, intercept, priorWeight)
	l.prior.add(x, intercept+slope*x, priorWeight)
	return l
}

// value returns the height of the line at x.
func (l *line) value(x float64) float64 { return l.intercept + l.slope*x }

// observe adds an observation.
func (l *line) observe(now time.Time, x, y, weight float64) {
	if !l.at.IsZero() && l.seen.n > heldWeight {
		decay := math.Exp(-float64(now.Sub(l.at)) / float64(memory))
		l.seen.scale(max(decay, heldWeight/l.seen.n))
	}
	l.at = now
	if p := l.value(x); p > 0 {
		y = min(max(y, p/maxDeviation), p*maxDeviation)
	}
	l.seen.add(x, y, weight)
	l.fit()
}

func (l *line) fit() {
	s := l.prior
	s.n, s.x, s.y, s.xx, s.xy = s.n+l.seen.n, s.x+l.seen.x, s.y+l.seen.y, s.xx+l.seen.xx, s.xy+l.seen.xy
	// The prior has two different points, so that the determinant is positive.
	l.slope = max((s.n*s.xy-s.x*s.y)/(s.n*s.xx-s.x*s.x), l.minSlope)
	l.intercept = max((s.y-l.slope*s.x)/s.n, l.minAtOrigin)
}
