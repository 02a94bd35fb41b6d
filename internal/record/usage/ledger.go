package usage

import "quetzalhook"

// linesPerPart bounds the lines of one object. At up to 120 bytes a line it
// stays under the store's limit of 1 MB.
const linesPerPart = 5000

// ledger holds the totals of one source in one window.
type ledger struct {
	used map[Key]*cell
	// order numbers the keys by first use; the part of a key is its number
	// divided by linesPerPart.
	order []Key
	final bool // the source uses the window no more
	// stored is the sequence up to which the store has the changes.
	stored      uint64
	finalStored bool
	announced   bool // a flush has passed since finalStored
	// versions holds the versions of the ledger's objects in the store.
	versions map[string]quetzalhook.Version
}

type cell struct {
	amount  Amount
	changed uint64 // sequence of the last change
}

func newLedger() *ledger {
	return &ledger{used: make(map[Key]*cell), versions: make(map[string]quetzalhook.Version)}
}

func (l *ledger) cell(k Key) *cell {
	c := l.used[k]
	if c == nil {
		c = &cell{}
		l.used[k] = c
		l.order = append(l.order, k)
	}
	return c
}

// merge takes totals that are at least as old, by maximum.
func (l *ledger) merge(lines []Line, seq uint64) {
	for _, line := range lines {
		c := l.cell(line.Key)
		if merged := c.amount.Max(line.Amount); merged != c.amount {
			c.amount, c.changed = merged, seq
		}
	}
}

// since returns the lines that changed after seq.
func (l *ledger) since(seq uint64) []Line {
	var lines []Line
	for _, k := range l.order {
		if c := l.used[k]; c.changed > seq {
			lines = append(lines, Line{Key: k, Amount: c.amount})
		}
	}
	return lines
}

// part returns all lines of one part and whether any changed after seq.
func (l *ledger) part(n int, seq uint64) (lines []Line, changed bool) {
	for _, k := range l.order[n*linesPerPart : min((n+1)*linesPerPart, len(l.order))] {
		c := l.used[k]
		lines = append(lines, Line{Key: k, Amount: c.amount})
		changed = changed || c.changed > seq
	}
	return lines, changed
}

func (l *ledger) parts() int { return (len(l.order) + linesPerPart - 1) / linesPerPart }

// clean reports whether the store has all changes.
func (l *ledger) clean() bool { return len(l.since(l.stored)) == 0 }
