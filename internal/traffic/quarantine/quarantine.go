// Package quarantine finds parts of prompts that crash the engines that begin to
// answer them, so that requests with these parts can be refused.
//
// A crash implicates the requests whose answers were to begin, or had just begun, on
// the engine.
// A part is put in quarantine after several crashes, at different times, that
// implicate requests with it, if no request with it was answered since the first
// of them. A part that was answered before needs more crashes. A crash that a
// quarantine explains counts against no other part. Parts that occur together in
// all these requests, so that they cannot be told apart, are put in quarantine
// together: only requests with all of them are refused, and a part that is
// answered without the others leaves the quarantine.
//
// A Table holds the facts and the quarantines that follow from them. Facts of
// several hosts can be merged in any order and more than once. The package does no
// I/O and reads no clock; callers pass a time that never decreases.
package quarantine

import (
	"cmp"
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"quetzalhook"
)

const (
	// minCrashes is the number of crashes after which a part is put in quarantine,
	// and minCrashesAnswered that for a part that was answered before the first of
	// them.
	minCrashes         = 3
	minCrashesAnswered = 5
	// minShare is the share of all crashes that must implicate a part since the first
	// that does, and minShareUnanswered that while engines answer hardly any request.
	minShare           = 0.3
	minShareUnanswered = 0.6
	// crashSeparation is the time between two crashes below which both may have one
	// cause, such as the loss of a rack, so that they count as one.
	crashSeparation = 250 * time.Millisecond
	// DefaultDuration is how long a first quarantine lasts unless WithDuration sets
	// another time. Each further one of the same parts lasts twice as long.
	DefaultDuration = 10 * time.Minute
	// MaxDuration is the longest duration of a quarantine.
	MaxDuration = time.Hour
	// retention is how long a crash is kept, and an expired quarantine, which a
	// single crash renews.
	retention = time.Hour
	// These bounds limit the memory of a table and the size of its facts.
	maxCrashes      = 128
	maxRequests     = 32    // for each crash
	maxRequestParts = 2048  // of each request; see Table.sample
	maxCrashParts   = 4096  // of all requests of a crash
	maxTotalParts   = 16384 // of all crashes; see Table.trim
	maxQuarantines  = 64
)

// Part is a part of prompts to a model, or to any model if that is empty. What is known
// of a part for one model is known for any model too, so that requests which name a
// different model each time do not divide the evidence.
type Part struct {
	_     struct{} `cbor:",toarray"`
	Model quetzalhook.Model
	Hash  uint64
}

func compareParts(a, b Part) int {
	return cmp.Or(strings.Compare(string(a.Model), string(b.Model)), cmp.Compare(a.Hash, b.Hash))
}

// ofAnyModel returns the part without its model.
func (p Part) ofAnyModel() Part { return Part{Hash: p.Hash} }

// isIn reports whether a request has the part.
func (p Part) isIn(request []Part) bool {
	return slices.ContainsFunc(request, func(o Part) bool { return o.Hash == p.Hash && (p.Model == "" || o.Model == p.Model) })
}

// SharedParts returns the parts of a request that other requests may have in
// common.
func SharedParts(r quetzalhook.Request) []Part {
	shared := quetzalhook.SharedParts(r.Parts)
	parts := make([]Part, 0, len(shared))
	for _, p := range shared {
		parts = append(parts, Part{Model: r.Model, Hash: p.Hash})
	}
	return parts
}

// EngineRun identifies an engine from one start to its end.
type EngineRun struct {
	_        struct{} `cbor:",toarray"`
	Upstream quetzalhook.UpstreamID
	Started  int64
}

// partSet is a set of parts.
type partSet map[Part]struct{}

func (s partSet) has(p Part) bool { _, ok := s[p]; return ok }

// addAll adds parts and reports whether one of them is new.
func (s partSet) addAll(parts []Part) bool {
	before := len(s)
	for _, p := range parts {
		s[p] = struct{}{}
	}
	return len(s) > before
}

func (s partSet) list() []Part {
	list := make([]Part, 0, len(s))
	for p := range s {
		list = append(list, p)
	}
	slices.SortFunc(list, compareParts)
	return list
}

// crash is the crash of an engine.
type crash struct {
	run      EngineRun
	at       time.Time
	requests []implicated
	// counts holds the number of implicated requests with each part.
	counts map[Part]int
	// answeredBefore and answeredAfter hold the parts of requests that were answered
	// before and after the crash.
	answeredBefore, answeredAfter partSet
	answersSeen                   int64 // by this host before the crash became known
}

// implicated is a request whose answer was to begin, or had just begun, when its engine
// crashed.
type implicated struct {
	id    uint64 // hash of all its shared parts
	parts []Part // those that are kept
}

func newImplicated(parts []Part) implicated {
	return implicated{id: xxhash.Sum64String(key(parts)), parts: parts}
}

// implicates reports whether a request with the part is implicated.
func (c *crash) implicates(p Part) bool { return c.counts[p] > 0 }

// count adds the parts of a request to counts.
func (c *crash) count(request []Part) {
	for _, p := range request {
		c.counts[p]++
		if p.Model != "" {
			c.counts[p.ofAnyModel()]++
		}
	}
}

// keep removes the parts of all requests for which kept returns false.
func (c *crash) keep(kept func(Part) bool) {
	clear(c.counts)
	for i, r := range c.requests {
		c.requests[i].parts = slices.DeleteFunc(slices.Clone(r.parts), func(p Part) bool { return !kept(p) })
		c.count(c.requests[i].parts)
	}
}

// size returns the number of parts of all requests.
func (c *crash) size() int {
	n := 0
	for _, r := range c.requests {
		n += len(r.parts)
	}
	return n
}

// Quarantine is a set of parts; requests with all of them are refused.
type Quarantine struct {
	parts   []Part // when it was imposed
	cleared partSet
	count   int // quarantines of these parts so far, including this one
	since   time.Time
	until   time.Time
}

// Parts returns the parts without those that were answered since.
func (q *Quarantine) Parts() []Part {
	return slices.DeleteFunc(slices.Clone(q.parts), q.cleared.has)
}

// Count returns how often the parts have been put in quarantine.
func (q *Quarantine) Count() int { return q.count }

// Until returns the end of the quarantine.
func (q *Quarantine) Until() time.Time { return q.until }

// isLifted reports whether all parts were answered.
func (q *Quarantine) isLifted() bool { return len(q.Parts()) == 0 }

// explains reports whether a request that a crash implicates has all parts of the
// quarantine.
func (q *Quarantine) explains(c *crash) bool {
	return slices.ContainsFunc(c.requests, func(r implicated) bool { return q.matches(r.parts) })
}

// isActive reports whether requests with the parts are refused.
func (q *Quarantine) isActive(now time.Time) bool { return now.Before(q.until) && !q.isLifted() }

// matches reports whether a request has all parts of the quarantine.
func (q *Quarantine) matches(request []Part) bool {
	left := 0
	for _, p := range q.parts {
		if q.cleared.has(p) {
			continue
		}
		if left++; !p.isIn(request) {
			return false
		}
	}
	return left > 0
}

// key identifies a quarantine by the parts with which it was imposed.
func key(parts []Part) string {
	var b strings.Builder
	for _, p := range parts {
		b.WriteString(p.String())
		b.WriteByte(',')
	}
	return b.String()
}

// Table holds the crashes and quarantines that a host knows. It is not safe for
// concurrent use.
type Table struct {
	duration    time.Duration
	crashes     map[EngineRun]*crash
	quarantines map[string]*Quarantine
	suspicions  []*Suspicion
	watched     partSet // parts in crashes and quarantines
	answered    recentParts
	answers     int64 // requests of this host that were answered
	imposed     []*Quarantine
}

// Option sets one property of a Table.
type Option func(*Table)

// WithDuration sets how long a first quarantine lasts; 0 means DefaultDuration.
func WithDuration(d time.Duration) Option {
	return func(t *Table) {
		if d > 0 {
			t.duration = min(d, MaxDuration)
		}
	}
}

// New returns an empty table.
func New(opts ...Option) *Table {
	t := &Table{
		duration: DefaultDuration, crashes: make(map[EngineRun]*crash), quarantines: make(map[string]*Quarantine),
		watched: make(partSet), answered: newRecentParts(),
	}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// Match returns a quarantine that is in force and whose parts a request has.
func (t *Table) Match(now time.Time, request []Part) (*Quarantine, bool) {
	if len(t.quarantines) == 0 {
		return nil, false
	}
	for _, q := range t.quarantines {
		if q.isActive(now) && q.matches(request) {
			return q, true
		}
	}
	return nil, false
}

// Active returns the quarantines in force, in the order of their ends.
func (t *Table) Active(now time.Time) []*Quarantine {
	var list []*Quarantine
	for _, q := range t.quarantines {
		if q.isActive(now) {
			list = append(list, q)
		}
	}
	slices.SortFunc(list, func(a, b *Quarantine) int {
		return cmp.Or(a.until.Compare(b.until), strings.Compare(key(a.parts), key(b.parts)))
	})
	return list
}

// Crashes returns the number of crashes that are kept.
func (t *Table) Crashes() int { return len(t.crashes) }

// HasCrashed reports whether a crash of the engine is known.
func (t *Table) HasCrashed(run EngineRun) bool { return t.crashes[run] != nil }

// TakeImposed returns the quarantines that were imposed or extended since the last
// call.
func (t *Table) TakeImposed() []*Quarantine {
	list := t.imposed
	t.imposed = nil
	return list
}

// AddAnswer records that an engine answered a request with the parts. It reports
// whether that changes a fact that other hosts should know.
func (t *Table) AddAnswer(now time.Time, request []Part) bool {
	t.answers++
	changed := false
	for _, p := range request {
		changed = t.addAnsweredPart(now, p) || changed
		if p.Model != "" {
			changed = t.addAnsweredPart(now, p.ofAnyModel()) || changed
		}
	}
	return changed
}

func (t *Table) addAnsweredPart(now time.Time, p Part) bool {
	t.answered.add(p, now)
	return t.watched.has(p) && t.clear(now, p)
}

// clear records that a watched part was answered at a given time.
func (t *Table) clear(at time.Time, p Part) bool {
	changed := false
	for _, c := range t.crashes {
		if c.at.Before(at) && c.implicates(p) {
			changed = c.answeredAfter.addAll([]Part{p}) || changed
		}
	}
	for _, q := range t.quarantines {
		if q.since.Before(at) && slices.Contains(q.parts, p) {
			changed = q.cleared.addAll([]Part{p}) || changed
		}
	}
	if changed {
		t.updateSuspicions()
	}
	return changed
}

// AddCrash records that an engine has crashed at a given time, and the shared parts
// of the implicated requests.
func (t *Table) AddCrash(now time.Time, run EngineRun, at time.Time, requests ...[]Part) {
	var list []implicated
	for _, r := range requests {
		if len(r) > 0 {
			list = append(list, newImplicated(r))
		}
	}
	t.mergeCrash(now, run, at, list)
	t.update(now)
}

// mergeCrash adds a crash, or requests to a known one. It reports whether that
// changed anything.
func (t *Table) mergeCrash(now time.Time, run EngineRun, at time.Time, requests []implicated) bool {
	if len(requests) == 0 || now.Sub(at) > retention {
		return false
	}
	c := t.crashes[run]
	if c == nil {
		if len(t.crashes) >= maxCrashes && at.Before(t.crashesByTime()[0].at) {
			return false
		}
		c = &crash{run: run, at: at, counts: make(map[Part]int), answeredBefore: make(partSet), answeredAfter: make(partSet), answersSeen: t.answers}
		t.crashes[run] = c
	}
	changed := false
	for _, r := range requests {
		if len(c.requests) >= maxRequests || slices.ContainsFunc(c.requests, func(o implicated) bool { return o.id == r.id }) {
			continue
		}
		r.parts = t.sample(run, r.parts, min(maxRequestParts, maxCrashParts-c.size()))
		c.requests = append(c.requests, r)
		c.count(r.parts)
		changed = true
	}
	if changed {
		for p := range c.counts {
			t.watched[p] = struct{}{}
			switch answeredAt, ok := t.answered.last(p); {
			case ok && answeredAt.After(c.at):
				c.answeredAfter.addAll([]Part{p})
			case ok:
				c.answeredBefore.addAll([]Part{p})
			}
		}
	}
	return changed
}

// sample returns n parts of a request to an engine that has crashed. It prefers parts
// that were not answered lately, and chooses differently for each crash: a part is kept
// in some crashes wherever it stands in the prompt.
func (t *Table) sample(run EngineRun, request []Part, n int) []Part {
	if len(request) <= n || n <= 0 {
		return request[:min(len(request), max(n, 0))]
	}
	type ranked struct {
		part     Part
		answered int
		rank     uint64
	}
	salt := binary.BigEndian.AppendUint64([]byte(run.Upstream), uint64(run.Started))
	list := make([]ranked, len(request))
	for i, p := range request {
		list[i] = ranked{part: p, rank: xxhash.Sum64(binary.BigEndian.AppendUint64(salt, p.Hash))}
		if _, ok := t.answered.last(p); ok {
			list[i].answered = 1
		}
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.answered, b.answered), cmp.Compare(a.rank, b.rank))
	})
	sampled := make([]Part, n)
	for i := range sampled {
		sampled[i] = list[i].part
	}
	return sampled
}

// countCrashes returns the number of crashes that implicate each part.
func countCrashes(list []*crash) map[Part]int {
	crashes := make(map[Part]int)
	for _, c := range list {
		for p := range c.counts {
			crashes[p]++
		}
	}
	return crashes
}

// trim removes parts of the oldest crashes while there are more than maxTotalParts: a
// part that only one crash implicates is no evidence yet.
func (t *Table) trim() {
	total := 0
	for _, c := range t.crashes {
		total += c.size()
	}
	if total <= maxTotalParts {
		return
	}
	oldestFirst := t.crashesByTime()
	crashes := countCrashes(oldestFirst)
	inSeveral := func(p Part) bool { return crashes[p.ofAnyModel()] > 1 }
	none := func(Part) bool { return false }
	for _, kept := range []func(Part) bool{inSeveral, none} {
		for _, c := range oldestFirst {
			if total <= maxTotalParts {
				return
			}
			total -= c.size()
			c.keep(kept)
			total += c.size()
		}
	}
}

// update extends expired quarantines that a later crash confirms, imposes those
// that follow from the crashes, and removes what is too old.
func (t *Table) update(now time.Time) {
	t.Expire(now)
	for _, q := range t.quarantines {
		if now.Before(q.until) {
			continue
		}
		for _, c := range t.crashes {
			if c.at.After(q.until) && q.explains(c) && !slices.ContainsFunc(q.Parts(), c.answeredAfter.has) {
				t.impose(now, q.parts, q.cleared)
				break
			}
		}
	}
	for s := t.mostSuspect(t.isExplained, t.isProven); s != nil; s = t.mostSuspect(t.isExplained, t.isProven) {
		t.impose(now, t.indistinguishable(s), make(partSet))
	}
	t.Expire(now)
	t.updateSuspicions()
}

// impose puts parts in quarantine, once more if they were before. Cleared are those
// of them that were answered since.
func (t *Table) impose(now time.Time, parts []Part, cleared partSet) {
	count := 1
	if old := t.quarantines[key(parts)]; old != nil {
		count = old.count + 1
	}
	duration := t.duration
	for n := 1; n < count && duration < MaxDuration; n++ {
		duration *= 2
	}
	q := &Quarantine{parts: parts, cleared: cleared, count: count, since: now, until: now.Add(min(duration, MaxDuration))}
	t.quarantines[key(parts)] = q
	t.imposed = append(t.imposed, q)
}

// Expire removes crashes and quarantines that are too old or too many.
func (t *Table) Expire(now time.Time) {
	for run, c := range t.crashes {
		if now.Sub(c.at) > retention {
			delete(t.crashes, run)
		}
	}
	for k, q := range t.quarantines {
		if now.Sub(q.until) > retention {
			delete(t.quarantines, k)
		}
	}
	for len(t.crashes) > maxCrashes {
		oldest := t.crashesByTime()[0]
		delete(t.crashes, oldest.run)
	}
	for len(t.quarantines) > maxQuarantines {
		delete(t.quarantines, key(t.firstToEnd().parts))
	}
	t.trim()
	clear(t.watched)
	for _, c := range t.crashes {
		for p := range c.counts {
			t.watched[p] = struct{}{}
		}
	}
	for _, q := range t.quarantines {
		t.watched.addAll(q.parts)
	}
}

// firstToEnd returns the quarantine that ends first.
func (t *Table) firstToEnd() *Quarantine {
	var first *Quarantine
	for _, q := range t.quarantines {
		if first == nil || q.until.Before(first.until) {
			first = q
		}
	}
	return first
}

func (t *Table) crashesByTime() []*crash {
	list := make([]*crash, 0, len(t.crashes))
	for _, c := range t.crashes {
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b *crash) int {
		return cmp.Or(a.at.Compare(b.at), strings.Compare(string(a.run.Upstream), string(b.run.Upstream)))
	})
	return list
}
