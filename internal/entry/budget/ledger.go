// Package budget decides on the memory that a host holds for its callers: how much
// there is, who waits for it, who is refused, and which connection is closed first. It
// has no I/O, no goroutine and no clock. Package caller carries out what it decides.
//
// The load condition of all decisions is that what is asked for exceeds the memory of
// the plan, or a customer's share of it. Before that, everything is granted.
package budget

import (
	"slices"
	"time"
)

// Purpose is what memory is held for.
type Purpose uint8

// Purposes of memory.
const (
	Headers  Purpose = iota // header sections
	Bodies                  // bodies, while they arrive and until the end of the request
	Requests                // what a request takes in addition, until its end
	Purposes
)

// String returns the name of the purpose in the metrics.
func (p Purpose) String() string { return [...]string{"headers", "bodies", "requests"}[p] }

const (
	// EvictAfter is the time without a byte after which a claim may be evicted for another one
	// that needs its memory. Round trips take at most 100 ms.
	EvictAfter = time.Second
	// MaxPause is the longest time without a byte of a body, also if memory is free.
	MaxPause = 10 * time.Second
	// MaxWait is the longest time for which a request waits for memory.
	MaxWait = time.Second
	// waitShare is the largest share of the time that the caller waits.
	waitShare = 8
	// minRate is the rate in bytes/s below which a body may be evicted for others once it has
	// been arriving for EvictAfter. A body of 4 MB arrives within 64 s at this rate.
	minRate = 64 << 10
	// ownerShare is the part of the memory that one customer may hold, as 1/ownerShare.
	ownerShare = 2
	// smallShare is the part of the memory that only claims of up to smallClaim bytes
	// may take, as 1/smallShare, so that large bodies do not keep small requests out.
	smallShare = 8
	smallClaim = 64 << 10
)

// Reason is why a claim ends early.
type Reason string

// Reasons for the end of a claim.
const (
	NoMemory Reason = "no-memory" // waited, or gave way to another claim
	Stalled  Reason = "stalled"   // no byte for MaxPause
	TooSlow  Reason = "too-slow"  // not complete when the time of its caller was over
)

// Claim is the memory that is held for one request, or for one header section.
type Claim struct {
	// Holder is the value that an Effect returns with the claim.
	Holder any

	owner    string // customer; "" if no share applies
	patience time.Duration
	number   uint64 // in order of Open
	held     [Purposes]int64
	total    int64

	arriving int // index in Ledger.arriving + 1; 0 if nothing arrives
	began    time.Time
	last     time.Time // when the last byte arrived, or the claim last had to wait
	received int64
	waited   time.Duration

	waiting bool
	purpose Purpose // that it waits for
	want    int64
	since   time.Time // when it began to wait
	ended   Reason
}

// Held returns the bytes that the claim holds.
func (c *Claim) Held() int64 { return c.total }

// Ended returns why the claim was ended, or "".
func (c *Claim) Ended() Reason { return c.ended }

// Verdict is the answer to a request for memory.
type Verdict uint8

// Verdicts. After Wait, an Effect tells the outcome.
const (
	Granted Verdict = iota
	Wait
	Refused
)

// Effect is a decision that concerns a claim other than that of the call: its memory
// was granted or, with a reason, it must end.
type Effect struct {
	Claim  *Claim
	Reason Reason // "" if the memory was granted
}

// Ledger keeps count of the memory. It is not safe for concurrent use.
type Ledger struct {
	limit    int64
	used     [Purposes]int64
	total    int64
	ending   int64 // held by claims that were ended and are not closed
	owners   map[string]int64
	arriving []*Claim
	waiting  []*Claim // by number
	lastOpen uint64
	effects  []Effect
	ends     map[Reason]int64
}

// NewLedger returns a ledger for limit bytes.
func NewLedger(limit int64) *Ledger {
	return &Ledger{limit: limit, owners: make(map[string]int64), ends: make(map[Reason]int64)}
}

// Limit returns the bytes that may be held.
func (l *Ledger) Limit() int64 { return l.limit }

// Used returns the bytes held for a purpose.
func (l *Ledger) Used(p Purpose) int64 { return l.used[p] }

// Total returns the bytes held.
func (l *Ledger) Total() int64 { return l.total }

// Waiting returns the number of claims that wait.
func (l *Ledger) Waiting() int { return len(l.waiting) }

// Ends returns the number of claims that were ended early, by reason.
func (l *Ledger) Ends(r Reason) int64 { return l.ends[r] }

// Effects returns the decisions since the last call.
func (l *Ledger) Effects() []Effect {
	e := l.effects
	l.effects = nil
	return e
}

// Open adds a claim of a customer, or of nobody with "". Its caller waits for patience;
// 0 means that this is not known.
func (l *Ledger) Open(c *Claim, owner string, patience time.Duration) {
	l.lastOpen++
	c.owner, c.patience, c.number = owner, patience, l.lastOpen
}

// Arrive says that what the claim is for begins to arrive. Until Complete, the claim
// may be evicted for others.
func (l *Ledger) Arrive(c *Claim, now time.Time) {
	if c.arriving == 0 {
		l.arriving = append(l.arriving, c)
		c.arriving = len(l.arriving)
		c.began, c.last, c.received, c.waited = now, now, 0, 0
	}
}

// Received says that n bytes have arrived.
func (l *Ledger) Received(c *Claim, n int64, now time.Time) {
	c.received += n
	c.last = now
}

// Complete says that everything has arrived: the claim is no longer evicted. It returns
// false if it was ended before.
func (l *Ledger) Complete(c *Claim) bool {
	l.stopArriving(c)
	return c.ended == ""
}

func (l *Ledger) stopArriving(c *Claim) {
	if c.arriving == 0 {
		return
	}
	last := len(l.arriving) - 1
	moved := l.arriving[last]
	l.arriving[c.arriving-1], moved.arriving = moved, c.arriving
	l.arriving[last], l.arriving = nil, l.arriving[:last]
	c.arriving = 0
}

// Reserve asks for n bytes more.
func (l *Ledger) Reserve(c *Claim, p Purpose, n int64, now time.Time) Verdict {
	if c.ended != "" || c.total+n > l.limit { // no end of another claim would help
		return Refused
	}
	if l.fits(c, n) {
		l.take(c, p, n)
		return Granted
	}
	c.waiting, c.purpose, c.want, c.since = true, p, n, now
	at, _ := slices.BinarySearchFunc(l.waiting, c.number, func(w *Claim, number uint64) int {
		return int(int64(w.number) - int64(number))
	})
	l.waiting = slices.Insert(l.waiting, at, c)
	l.makeRoom(now)
	return Wait
}

// Release returns n of the bytes that the claim holds for a purpose.
func (l *Ledger) Release(c *Claim, p Purpose, n int64, now time.Time) {
	l.give(c, p, n)
	l.settle(now)
}

// Close ends a claim and returns all that it holds. Only the first call has an effect.
func (l *Ledger) Close(c *Claim, now time.Time) {
	l.stopArriving(c)
	l.stopWaiting(c, now)
	for p, n := range c.held {
		l.give(c, Purpose(p), n)
	}
	l.settle(now)
}

// Step ends the claims that have waited for too long, or whose bytes do not arrive. It
// must be called several times in EvictAfter.
func (l *Ledger) Step(now time.Time) {
	for _, c := range slices.Clone(l.waiting) {
		if now.Sub(c.since) >= c.maxWait() {
			l.end(c, NoMemory, now)
		}
	}
	for _, c := range slices.Clone(l.arriving) {
		switch {
		case c.waiting || c.ended != "":
		case now.Sub(c.last) >= MaxPause:
			l.end(c, Stalled, now)
		case c.patience > 0 && now.Sub(c.began) >= c.patience:
			l.end(c, TooSlow, now)
		}
	}
	l.settle(now)
}

// maxWait returns how long the claim may wait for memory.
func (c *Claim) maxWait() time.Duration {
	if c.patience > 0 {
		return min(MaxWait, c.patience/waitShare)
	}
	return MaxWait
}

// fits reports whether n bytes more are within the limit, and within the share of the
// customer unless it has no other claim.
func (l *Ledger) fits(c *Claim, n int64) bool {
	limit := l.limit
	if c.total+n > smallClaim && l.total > c.total {
		limit -= l.limit / smallShare
	}
	return l.total+n <= limit && l.inShare(c, n)
}

func (l *Ledger) inShare(c *Claim, n int64) bool {
	held := l.owners[c.owner]
	return c.owner == "" || held == c.total || held+n <= l.limit/ownerShare
}

func (l *Ledger) take(c *Claim, p Purpose, n int64) {
	c.held[p] += n
	c.total += n
	l.used[p] += n
	l.total += n
	if c.owner != "" {
		l.owners[c.owner] += n
	}
}

func (l *Ledger) give(c *Claim, p Purpose, n int64) {
	c.held[p] -= n
	c.total -= n
	l.used[p] -= n
	l.total -= n
	if c.ended != "" {
		l.ending -= n
	}
	if c.owner == "" {
		return
	}
	if l.owners[c.owner] -= n; l.owners[c.owner] == 0 {
		delete(l.owners, c.owner)
	}
}

func (l *Ledger) stopWaiting(c *Claim, now time.Time) {
	if !c.waiting {
		return
	}
	c.waiting = false
	c.waited += now.Sub(c.since)
	c.last = now
	l.waiting = slices.DeleteFunc(l.waiting, func(w *Claim) bool { return w == c })
}

// end makes a claim end. What it holds is returned by Close.
func (l *Ledger) end(c *Claim, r Reason, now time.Time) {
	if c.ended != "" {
		return
	}
	l.stopWaiting(c, now)
	c.ended = r
	l.ending += c.total
	l.ends[r]++
	l.effects = append(l.effects, Effect{c, r})
}

// settle grants the memory that is free to those who wait, in order, and makes room for
// the first that it does not suffice for.
func (l *Ledger) settle(now time.Time) {
	if len(l.waiting) == 0 {
		return
	}
	for _, c := range slices.Clone(l.waiting) {
		if l.fits(c, c.want) {
			l.stopWaiting(c, now)
			l.take(c, c.purpose, c.want)
			l.effects = append(l.effects, Effect{Claim: c})
		}
	}
	l.makeRoom(now)
}

// makeRoom ends claims in favour of the first that waits, and of the first of each
// customer that waits for its share. Only those do so: a claim that was granted after
// another would be ended for it at once.
func (l *Ledger) makeRoom(now time.Time) {
	blocked := false
	var owners []string
	for _, c := range slices.Clone(l.waiting) {
		if !c.waiting {
			continue // ended for another
		}
		owner := ""
		if !l.inShare(c, c.want) {
			owner = c.owner
			if slices.Contains(owners, owner) {
				continue
			}
			owners = append(owners, owner)
		} else if blocked {
			continue
		} else {
			blocked = true
		}
		l.endFor(c, owner, now)
	}
}

// endFor ends claims until those that are ending hold what c waits for. With an owner,
// only claims of that customer help.
func (l *Ledger) endFor(c *Claim, owner string, now time.Time) {
	for l.ending < c.want {
		var victim *Claim
		for _, v := range l.arriving {
			if v != c && v.ended == "" && v.total > 0 && (owner == "" || v.owner == owner) && v.isEvictedFor(c, now) &&
				(victim == nil || v.isEvictedBefore(victim, now)) {
				victim = v
			}
		}
		if victim == nil {
			return
		}
		l.end(victim, NoMemory, now)
	}
}

// rank tells how early a claim is evicted: 0 without progress, 1 with little, 2 otherwise.
func (c *Claim) rank(now time.Time) int {
	switch {
	case c.waiting:
		return 2
	case now.Sub(c.last) >= EvictAfter:
		return 0
	case now.Sub(c.began)-c.waited >= EvictAfter && c.rate(now) < minRate:
		return 1
	}
	return 2
}

// rate returns the bytes that arrived in a second, without the time for memory.
func (c *Claim) rate(now time.Time) float64 {
	return float64(c.received) / max(now.Sub(c.began)-c.waited, time.Millisecond).Seconds()
}

// isEvictedFor reports whether c may be evicted for w, which waits: it is without progress, or
// with little, or it came later.
func (c *Claim) isEvictedFor(w *Claim, now time.Time) bool {
	return c.rank(now) < 2 || c.number > w.number
}

// isEvictedBefore reports whether c is evicted before v.
func (c *Claim) isEvictedBefore(v *Claim, now time.Time) bool {
	a, b := c.rank(now), v.rank(now)
	switch {
	case a != b:
		return a < b
	case a == 0:
		return c.last.Before(v.last)
	case a == 1:
		return c.rate(now) < v.rate(now)
	}
	return c.number > v.number
}
