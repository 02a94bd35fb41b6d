package health

import "time"

const (
	// quiet and quietAlone are how long an upstream may produce no token while
	// several streams, or a single one, wait for one. At 50 tokens/s 400 ms are
	// 20 tokens.
	quiet      = 400 * time.Millisecond
	quietAlone = time.Second
	// pauseLimit is the time between two checks after which the host itself
	// was paused: tokens may wait unread.
	pauseLimit = 500 * time.Millisecond
)

// limit returns how long the stream may be without a token: the stall time
// or, if that is longer, a multiple of what was expected, which is the
// predicted first token before it and the nominal gap after it.
func (m *Monitor) limit(s *Stream, least time.Duration) time.Duration {
	expect := s.expect
	if s.tokens > 0 {
		expect = time.Duration(float64(time.Second) / s.target.nominal)
	}
	return max(least, time.Duration(m.stallScale*float64(expect)))
}

// isStalled reports whether half of the streams, or several, are without a
// token for the stall time.
func (m *Monitor) isStalled(now time.Time, t *Target) bool {
	if t.service {
		return false
	}
	n := 0
	for s := range t.streams {
		if now.Sub(s.last) > m.limit(s, m.stall) {
			n++
		}
	}
	return n > 0 && (2*n >= len(t.streams) || n >= m.failures)
}

// isSilent reports whether the upstream produced no token for a while although
// streams wait for one. It finds a silent upstream sooner than isStalled,
// because streams that work show that the upstream does.
func (m *Monitor) isSilent(now time.Time, t *Target) bool {
	if t.service {
		return false
	}
	waiting, since := 0, t.lastToken
	for s := range t.streams {
		if s.tokens == 0 && now.Sub(s.started) <= m.limit(s, 0) {
			continue // its first token is not due
		}
		waiting++
		if s.last.After(since) {
			since = s.last
		}
	}
	patience := quiet
	if waiting == 1 {
		patience = quietAlone
	}
	return waiting > 0 && now.Sub(since) > patience
}

// giveUp ejects an upstream when a stream is cancelled that waited for a first
// token past its time, and the upstream gave no token to any other meanwhile.
// Urgent requests are given up before a stall shows; waiting for a second one
// cost each host one more.
func (m *Monitor) giveUp(now time.Time, s *Stream) {
	t := s.target
	waited := now.Sub(s.started)
	if t.service || s.tokens > 0 || waited < m.limit(s, quiet) || t.lastToken.After(s.started) {
		return
	}
	m.eject(now, t)
}

// forgive moves the clocks of all streams by the time that the host was
// paused.
func (m *Monitor) forgive(gap time.Duration) {
	for _, t := range m.order {
		t.lastToken = t.lastToken.Add(gap)
		for s := range t.streams {
			s.started, s.last = s.started.Add(gap), s.last.Add(gap)
		}
	}
}
