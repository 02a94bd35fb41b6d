package quarantine

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"quetzalhook"
)

// String returns the part in the form HASH@MODEL, with a hexadecimal hash.
func (p Part) String() string { return strconv.FormatUint(p.Hash, 16) + "@" + string(p.Model) }

// MarshalText implements encoding.TextMarshaler.
func (p Part) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (p *Part) UnmarshalText(text []byte) error {
	hash, model, ok := strings.Cut(string(text), "@")
	n, err := strconv.ParseUint(hash, 16, 64)
	if !ok || err != nil {
		return &Error{Op: "decode", Kind: ErrorInvalid, Text: string(text)}
	}
	p.Hash, p.Model = n, quetzalhook.Model(model)
	return nil
}

// Facts is what one table knows, in a form that others can merge. Times are
// relative to the moment at which the facts are sent.
type Facts struct {
	Crashes     []CrashFact `cbor:"1,keyasint,omitempty"`
	Quarantines []Fact      `cbor:"2,keyasint,omitempty"`
}

// CrashFact is the crash of an engine.
type CrashFact struct {
	Run            EngineRun     `cbor:"1,keyasint"`
	Age            time.Duration `cbor:"2,keyasint"`
	AnsweredBefore []Part        `cbor:"4,keyasint,omitempty"`
	AnsweredAfter  []Part        `cbor:"5,keyasint,omitempty"`
	Requests       []RequestFact `cbor:"6,keyasint"` // key 3 was their encoding in an earlier version
}

// RequestFact is a request that a crash implicates. ID stays the same if parts are left
// out.
type RequestFact struct {
	_      struct{} `cbor:",toarray"`
	ID     uint64
	Model  quetzalhook.Model
	Hashes []uint64
}

// newRequestFact encodes a request; all its parts name the same model.
func newRequestFact(r implicated) RequestFact {
	f := RequestFact{ID: r.id, Hashes: make([]uint64, len(r.parts))}
	for i, p := range r.parts {
		f.Model, f.Hashes[i] = p.Model, p.Hash
	}
	return f
}

func (f RequestFact) implicated() implicated {
	r := implicated{id: f.ID, parts: make([]Part, len(f.Hashes))}
	for i, h := range f.Hashes {
		r.parts[i] = Part{Model: f.Model, Hash: h}
	}
	return r
}

// maxCount bounds Fact.Count. The duration of a quarantine grows up to a far smaller
// count.
const maxCount = 1 << 20

// Fact is a quarantine; Left is negative if it has expired.
type Fact struct {
	Parts   []Part        `cbor:"1,keyasint" json:"parts"`
	Cleared []Part        `cbor:"2,keyasint,omitempty" json:"cleared,omitempty"`
	Count   int           `cbor:"3,keyasint" json:"count"`
	Age     time.Duration `cbor:"4,keyasint" json:"-"`
	Left    time.Duration `cbor:"5,keyasint" json:"-"`
}

// Key identifies the quarantine among all others.
func (f Fact) Key() string { return key(f.Parts) }

// IsEmpty reports whether there are no facts.
func (f Facts) IsEmpty() bool { return len(f.Crashes) == 0 && len(f.Quarantines) == 0 }

// Digests maps the key of each fact of a table to a hash of the fact without its times.
type Digests map[uint64]uint64

// Facts returns all facts of the table.
func (t *Table) Facts(now time.Time) Facts { return t.FactsExcept(now, nil) }

// FactsExcept returns the facts of the table that another one with the given digests
// lacks in whole or in part.
func (t *Table) FactsExcept(now time.Time, known Digests) Facts {
	var f Facts
	lacks := func(key, digest uint64) bool {
		have, ok := known[key]
		return !ok || have != digest
	}
	for _, c := range t.crashesByTime() {
		if !lacks(c.digest()) {
			continue
		}
		requests := make([]RequestFact, len(c.requests))
		for i, r := range c.requests {
			requests[i] = newRequestFact(r)
		}
		f.Crashes = append(f.Crashes, CrashFact{
			Run: c.run, Age: now.Sub(c.at), Requests: requests, AnsweredBefore: c.answeredBefore.list(), AnsweredAfter: c.answeredAfter.list(),
		})
	}
	for k, q := range t.quarantines {
		if !lacks(q.digest(k)) {
			continue
		}
		f.Quarantines = append(f.Quarantines, Fact{
			Parts: q.parts, Cleared: q.cleared.list(), Count: q.count, Age: now.Sub(q.since), Left: q.until.Sub(now),
		})
	}
	slices.SortFunc(f.Quarantines, func(a, b Fact) int { return strings.Compare(a.Key(), b.Key()) })
	return f
}

// Digests returns the digests of all facts.
func (t *Table) Digests() Digests {
	d := make(Digests, len(t.crashes)+len(t.quarantines))
	for _, c := range t.crashes {
		k, digest := c.digest()
		d[k] = digest
	}
	for k, q := range t.quarantines {
		k, digest := q.digest(k)
		d[k] = digest
	}
	return d
}

// Sum returns a hash of all facts. Two tables with the same one have nothing new for
// each other.
func (d Digests) Sum() uint64 {
	var sum uint64 // does not depend on the order of the facts
	for _, digest := range d {
		sum += digest
	}
	return sum
}

// digest returns the key of the crash and a hash of what is known of it.
func (c *crash) digest() (k, sum uint64) {
	id := string(c.run.Upstream) + "\x00" + strconv.FormatInt(c.run.Started, 10)
	for _, r := range c.requests {
		sum += hashFact("request", id+"\x00"+strconv.FormatUint(r.id, 16), nil)
	}
	sum += hashFact("before", id, c.answeredBefore.list()) + hashFact("after", id, c.answeredAfter.list())
	return hashFact("crash", id, nil), sum
}

// digest returns the key of the quarantine, which has the name k in its table, and a
// hash of what is known of it.
func (q *Quarantine) digest(k string) (key, sum uint64) {
	return hashFact("quarantined", k, nil), hashFact("quarantine", k+"\x00"+strconv.Itoa(q.count), q.cleared.list())
}

func hashFact(kind, id string, parts []Part) uint64 {
	return xxhash.Sum64String(kind + "\x00" + id + "\x00" + key(parts))
}

// Merge adds the facts of another table and reports whether one of them was new.
// The time of a known crash and the end of a known quarantine stay: with the delay
// of each message they would move on and on.
func (t *Table) Merge(now time.Time, f Facts) bool {
	changed := false
	for _, c := range f.Crashes {
		if c.Age < 0 {
			continue
		}
		requests := make([]implicated, len(c.Requests))
		for i, r := range c.Requests {
			requests[i] = r.implicated()
		}
		changed = t.mergeCrash(now, c.Run, now.Add(-c.Age), requests) || changed
		if known := t.crashes[c.Run]; known != nil {
			changed = known.answeredBefore.addAll(c.AnsweredBefore) || changed
			changed = known.answeredAfter.addAll(c.AnsweredAfter) || changed
		}
	}
	for _, q := range f.Quarantines {
		changed = t.mergeQuarantine(now, q) || changed
	}
	if changed {
		t.update(now)
	}
	return changed
}

func (t *Table) mergeQuarantine(now time.Time, f Fact) bool {
	if len(f.Parts) == 0 || len(f.Parts) > maxRequestParts || f.Left > MaxDuration || f.Left < -retention || f.Age < 0 || f.Count < 1 || f.Count > maxCount {
		return false
	}
	q := t.quarantines[f.Key()]
	if q == nil && len(t.quarantines) >= maxQuarantines && now.Add(f.Left).Before(t.firstToEnd().until) {
		return false
	}
	switch {
	case q == nil || q.count < f.Count:
		q = &Quarantine{parts: f.Parts, cleared: make(partSet), count: f.Count, since: now.Add(-f.Age), until: now.Add(f.Left)}
		t.quarantines[f.Key()] = q
		q.cleared.addAll(f.Cleared)
		for _, p := range f.Parts {
			if at, ok := t.answered.last(p); ok && at.After(q.since) {
				q.cleared.addAll([]Part{p})
			}
		}
		if q.isActive(now) {
			t.imposed = append(t.imposed, q)
		}
		return true
	case q.count > f.Count:
		return false
	}
	return q.cleared.addAll(f.Cleared)
}

// ErrorKind classifies the errors of this package.
type ErrorKind string

// ErrorInvalid reports text that is not a part.
const ErrorInvalid ErrorKind = "invalid"

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind ErrorKind
	Text string
}

// Error implements error.
func (e *Error) Error() string {
	return "quarantine: " + e.Op + ": " + string(e.Kind) + ": " + strconv.Quote(e.Text) + " is not of the form HASH@MODEL"
}
