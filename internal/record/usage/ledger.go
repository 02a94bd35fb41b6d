package usage

import "quetzalhook"

// linesPerPart is the maximum number of lines in one part of a ledger, which is
// stored as one object. At up to 120 bytes a line, the object stays below the
// store's limit of 1 MB.
const linesPerPart = 5000

// ledger holds the totals of one source in one window.
type ledger struct {
	totals map[Key]*total
	// keys lists the keys in the order of their first use. Each linesPerPart of them
	// form a part.
	keys  []Key
	final bool // the source adds no more usage to the window
	// storedSeq is the sequence number up to which the store has the changes.
	storedSeq         uint64
	finalStored       bool // the store has a record that marks the window as final
	flushedAfterFinal bool // a flush has begun since finalStored was set
	// versions holds the store versions of the objects of the ledger, by key.
	versions map[string]quetzalhook.Version
}

// total is the total of one key.
type total struct {
	amount     Amount
	changedSeq uint64 // sequence number of the last change
}

func newLedger() *ledger {
	return &ledger{totals: make(map[Key]*total), versions: make(map[string]quetzalhook.Version)}
}

// forgetStored makes the ledger be written again if some of it was written in an era of the
// store before the given one: the store may have come back from a copy that lacks it.
func (l *ledger) forgetStored(era int64) {
	for _, v := range l.versions {
		if v.Era() < era {
			clear(l.versions)
			l.storedSeq, l.finalStored, l.flushedAfterFinal = 0, false, false
			return
		}
	}
}

// total returns the total of a key and adds the key if necessary.
func (l *ledger) total(k Key) *total {
	t := l.totals[k]
	if t == nil {
		t = &total{}
		l.totals[k] = t
		l.keys = append(l.keys, k)
	}
	return t
}

// merge merges lines of the source by maximum, so that older copies change
// nothing. It marks changed totals with seq.
func (l *ledger) merge(lines []Line, seq uint64) {
	for _, line := range lines {
		t := l.total(line.Key)
		if merged := t.amount.Max(line.Amount); merged != t.amount {
			t.amount, t.changedSeq = merged, seq
		}
	}
}

// changedSince returns the lines that changed after seq.
func (l *ledger) changedSince(seq uint64) []Line {
	var lines []Line
	for _, k := range l.keys {
		if t := l.totals[k]; t.changedSeq > seq {
			lines = append(lines, Line{Key: k, Amount: t.amount})
		}
	}
	return lines
}

// part returns all lines of part n and whether any of them changed after seq.
func (l *ledger) part(n int, seq uint64) (lines []Line, changed bool) {
	for _, k := range l.keys[n*linesPerPart : min((n+1)*linesPerPart, len(l.keys))] {
		t := l.totals[k]
		lines = append(lines, Line{Key: k, Amount: t.amount})
		changed = changed || t.changedSeq > seq
	}
	return lines, changed
}

func (l *ledger) partCount() int { return (len(l.keys) + linesPerPart - 1) / linesPerPart }

// isStored reports whether the store has all changes.
func (l *ledger) isStored() bool { return len(l.changedSince(l.storedSeq)) == 0 }
