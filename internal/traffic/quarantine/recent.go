package quarantine

import "time"

// recentParts holds the time at which parts were last answered, for the most recent
// ones: at least generationSize and at most twice as many.
type recentParts struct {
	current, previous map[Part]time.Time
}

const generationSize = 4096

func newRecentParts() recentParts {
	return recentParts{current: make(map[Part]time.Time), previous: make(map[Part]time.Time)}
}

func (p *recentParts) add(part Part, at time.Time) {
	if _, ok := p.current[part]; !ok && len(p.current) >= generationSize {
		p.previous, p.current = p.current, make(map[Part]time.Time)
	}
	p.current[part] = at
}

func (p *recentParts) last(part Part) (time.Time, bool) {
	if at, ok := p.current[part]; ok {
		return at, true
	}
	at, ok := p.previous[part]
	return at, ok
}
