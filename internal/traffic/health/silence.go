package health

import "time"

const (
	// silenceLimit and singleSilenceLimit are how long an upstream may produce
	// no token while several streams, or a single one, wait for one. At 50
	// tokens/s, 400 ms are 20 tokens.
	silenceLimit       = 400 * time.Millisecond
	singleSilenceLimit = time.Second
	// pauseLimit is the longest expected time between two checks. If it is
	// exceeded, the host itself was paused, and tokens that arrived meanwhile may
	// not have been read.
	pauseLimit = 500 * time.Millisecond
)

// waitLimit returns how long the stream may be without a token: least or, if
// that is longer, stallFactor times the expected wait. Before the first token
// that is the predicted time to it, afterwards the nominal gap between tokens.
func (m *Monitor) waitLimit(s *Stream, least time.Duration) time.Duration {
	expected := s.expectedTTFT
	if s.tokens > 0 {
		expected = time.Duration(float64(time.Second) / s.target.nominalRate)
	}
	return max(least, time.Duration(m.stallFactor*float64(expected)))
}

// isStalled reports whether at least half of the streams, or maxFailures of
// them, got no token for longer than their limit.
func (m *Monitor) isStalled(now time.Time, t *Target) bool {
	if t.isService {
		return false
	}
	n := 0
	for s := range t.streams {
		if now.Sub(s.lastProgress) > m.waitLimit(s, m.stallTime) {
			n++
		}
	}
	return n > 0 && (2*n >= len(t.streams) || n >= m.maxFailures)
}

// isSilent reports whether the upstream produced no token on any stream for the
// silence limit although streams wait for one. It detects a silent upstream
// sooner than isStalled, because a token on any stream shows that the upstream
// works.
func (m *Monitor) isSilent(now time.Time, t *Target) bool {
	if t.isService {
		return false
	}
	waiting, lastOutput := 0, t.lastToken
	for s := range t.streams {
		if s.tokens == 0 && now.Sub(s.started) <= m.waitLimit(s, 0) {
			continue // its first token is not due yet
		}
		waiting++
		if s.lastProgress.After(lastOutput) {
			lastOutput = s.lastProgress
		}
	}
	limit := silenceLimit
	if waiting == 1 {
		limit = singleSilenceLimit
	}
	return waiting > 0 && now.Sub(lastOutput) > limit
}

// ejectIfUnanswered ejects the upstream of a cancelled stream that waited too
// long for its first token, if the upstream produced no token on any other
// stream meanwhile. Urgent requests are cancelled before isStalled detects a
// stall. If the ejection waited for a second cancelled request, each host would
// lose one more request.
func (m *Monitor) ejectIfUnanswered(now time.Time, s *Stream) {
	t := s.target
	waited := now.Sub(s.started)
	if t.isService || s.tokens > 0 || waited < m.waitLimit(s, silenceLimit) || t.lastToken.After(s.started) {
		return
	}
	m.eject(now, t)
}

// discountPause moves the recorded times of all streams forward by the time
// that the host was paused, so that the pause does not count as silence.
func (m *Monitor) discountPause(gap time.Duration) {
	for _, t := range m.order {
		t.lastToken = t.lastToken.Add(gap)
		for s := range t.streams {
			s.started, s.lastProgress = s.started.Add(gap), s.lastProgress.Add(gap)
		}
	}
}
