package quarantine

import (
	"math"
	"slices"
)

// suspect is a part with the crashes that no quarantine explains and since which it
// was not answered.
type suspect struct {
	part    Part
	crashes []*crash // in the order of time
	// evidence is the number of crashes; of several at the same time it counts the
	// share that implicate the part.
	evidence float64
	groups   int // groups of crashes that implicate the part
	// groupsSince and crashesSince are the numbers of all groups and crashes since the
	// first that implicates the part.
	groupsSince, crashesSince int
	requests                  int  // implicated requests with the part
	answered                  bool // before one of the crashes
}

// groupCrashes groups crashes, which are in the order of time, by crashSeparation.
func groupCrashes(crashes []*crash) [][]*crash {
	var groups [][]*crash
	for _, c := range crashes {
		if last := len(groups) - 1; last >= 0 && c.at.Sub(groups[last][0].at) < crashSeparation {
			groups[last] = append(groups[last], c)
		} else {
			groups = append(groups, []*crash{c})
		}
	}
	return groups
}

// mostSuspect returns the part that is most likely the cause of the crashes that are
// not explained, among those that qualify, or nil if there is none.
// A part that was never answered goes before one that was, then the part with most
// evidence, and then that with fewest requests, which explains the crashes most
// precisely.
func (t *Table) mostSuspect(isExplained func(*crash) bool, qualifies func(*suspect) bool) *suspect {
	crashes := slices.DeleteFunc(t.crashesByTime(), isExplained)
	groups := groupCrashes(crashes)
	suspects, counts := make(map[Part]*suspect), countCrashes(crashes)
	before := 0 // crashes of the groups before
	for i, group := range groups {
		for _, c := range group {
			for p, requests := range c.counts {
				if counts[p] < minCrashes || c.answeredAfter.has(p) {
					continue
				}
				s := suspects[p]
				if s == nil {
					s = &suspect{part: p, groupsSince: len(groups) - i, crashesSince: len(crashes) - before}
					suspects[p] = s
				}
				if last := len(s.crashes) - 1; last < 0 || !slices.Contains(group, s.crashes[last]) {
					s.groups++
				}
				s.crashes = append(s.crashes, c)
				s.evidence += 1 / float64(len(group))
				s.requests += requests
				s.answered = s.answered || c.answeredBefore.has(p)
			}
		}
		before += len(group)
	}
	var best *suspect
	for _, s := range suspects {
		if qualifies(s) && (best == nil || s.precedes(best)) {
			best = s
		}
	}
	return best
}

// isExplained reports whether a crash has a request that matches a quarantine.
func (t *Table) isExplained(c *crash) bool {
	for _, q := range t.quarantines {
		if q.explains(c) {
			return true
		}
	}
	return false
}

// isProven reports whether there is enough evidence against a part. If many crashes do not
// implicate the part, or the engines answer hardly any request, the cause is rather
// in the engines.
func (t *Table) isProven(s *suspect) bool {
	need := float64(minCrashes)
	if s.answered {
		need = minCrashesAnswered
	}
	share := float64(s.groups) / float64(s.groupsSince)
	if s.evidence < need-evidenceTolerance || share < minShare {
		return false
	}
	return float64(t.answers-s.crashes[0].answersSeen) >= need || !s.answered && share >= minShareUnanswered
}

// evidenceTolerance allows for rounding in sums of fractions.
const evidenceTolerance = 1e-6

func (s *suspect) precedes(o *suspect) bool {
	if s.answered != o.answered {
		return !s.answered
	}
	if math.Abs(s.evidence-o.evidence) > evidenceTolerance {
		return s.evidence > o.evidence
	}
	if s.requests != o.requests {
		return s.requests < o.requests
	}
	return compareParts(s.part, o.part) < 0
}

// indistinguishable returns the part of a suspect and the parts that occur in all
// its requests and about whose answers no more is known. A part that occurs with one
// model only is meant for this model.
func (t *Table) indistinguishable(s *suspect) []Part {
	var common partSet
	for _, c := range s.crashes {
		for _, r := range c.requests {
			if !s.part.isIn(r.parts) {
				continue
			}
			if common == nil {
				common = make(partSet)
				common.addAll(r.parts)
				for _, p := range r.parts {
					common.addAll([]Part{p.ofAnyModel()})
				}
			}
			for p := range common {
				if !p.isIn(r.parts) || c.answeredAfter.has(p) || c.answeredBefore.has(p) && !s.answered {
					delete(common, p)
				}
			}
		}
	}
	common.addAll([]Part{s.part})
	for p := range common {
		if p.Model != "" {
			delete(common, p.ofAnyModel())
		}
	}
	return common.list()
}
