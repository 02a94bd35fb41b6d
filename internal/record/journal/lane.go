package journal

import (
	"context"
	"sync"
	"time"

	"quetzalhook/internal/state/timing"

	"github.com/pkg/errors"

	"quetzalhook"
)

const (
	// minBackoff is the first pause after a failed try; it doubles each time.
	minBackoff = 2 * time.Millisecond
	maxBackoff = 200 * time.Millisecond
	// triesWhileDown is the number of refused tries after which the store
	// counts as down, about 15 ms after the first.
	triesWhileDown = 4
	// neverAbsent is the base of a write that cannot be proven absent.
	neverAbsent = quetzalhook.Version(1<<63 - 1)
)

var errStale = errors.New("stale read")

// pending is an operation that waits for its answer.
type pending struct {
	op     operation
	remote bool // came from another host and is not sent on
	answer chan answer

	mu sync.Mutex
	// inFlight is set while a write or a call with the operation is under way.
	inFlight bool
	// gone is set when the caller was told that the operation is absent; it is
	// then left out of later writes.
	gone bool
	// written is the base of the newest write with the operation whose answer
	// was lost, or -1. A version above it without the operation proves that
	// the write had no effect.
	written quetzalhook.Version
}

func newPending(op operation, remote bool) *pending {
	return &pending{op: op, remote: remote, answer: make(chan answer, 1), written: -1}
}

// depart notes that the operation leaves this host and reports whether it may.
func (p *pending) depart() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inFlight = !p.gone
	return p.inFlight
}

// arrive notes the end of a write or call. If its answer was lost, base is
// the version that it would have replaced, else -1.
func (p *pending) arrive(base quetzalhook.Version) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inFlight = false
	p.written = max(p.written, base)
}

// disprove notes that version is current and does not contain the operation.
func (p *pending) disprove(version quetzalhook.Version) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if version > p.written {
		p.written = -1
	}
}

// abandon ends the wait for an answer and tells what is known.
func (p *pending) abandon() verdict {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inFlight || p.written >= 0 {
		return verdictLost
	}
	p.gone = true
	return verdictAbsent
}

// lane commits the operations of one shard, one batch at a time.
type lane struct {
	j     *Journal
	shard int
	key   string

	mu        sync.Mutex
	queue     []*pending
	draining  bool
	preferred quetzalhook.HostID
	rankedAt  time.Time

	// The fields below belong to the goroutine that drains the queue.
	doc       *shard // nil if it must be read again
	version   quetzalhook.Version
	newest    quetzalhook.Version // highest version seen
	epoch     uint32
	epochAt   time.Time // when epoch was first seen, on this host's clock
	lastWrite time.Time
	avoid     time.Time // no forwarding before this time
}

// submit queues an operation and waits for its answer.
func (j *Journal) submit(ctx context.Context, shard int, op operation) answer {
	ctx, cancel := context.WithTimeout(ctx, j.timeout)
	defer cancel()
	p := newPending(op, false)
	if !j.lanes[shard].enqueue(p) {
		return answer{Verdict: verdictAbsent}
	}
	return p.wait(ctx)
}

func (p *pending) wait(ctx context.Context) answer {
	select {
	case a := <-p.answer:
		return a
	case <-ctx.Done():
	}
	v := p.abandon()
	select {
	case a := <-p.answer: // answered while ctx ended
		return a
	default:
		return answer{Verdict: v}
	}
}

// enqueue adds operations, or reports false if the journal is closed.
func (l *lane) enqueue(p ...*pending) bool {
	l.j.mu.Lock()
	defer l.j.mu.Unlock()
	if l.j.closed {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue = append(l.queue, p...)
	if !l.draining {
		l.draining = true
		l.j.wg.Go(l.drain)
	}
	return true
}

// drain works until the queue is empty. Operations that arrive while a batch
// is under way form the next one.
func (l *lane) drain() {
	for {
		to := l.preferredHost()
		forward := to != l.j.host && !l.j.clock.Now().Before(l.avoid)
		if wait := l.lastWrite.Add(l.j.interval).Sub(l.j.clock.Now()); wait > 0 && !forward {
			timing.Sleep(l.j.ctx, wait)
		}
		batch := l.take()
		if len(batch) == 0 {
			return
		}
		if forward {
			batch = l.forward(to, batch)
		}
		if len(batch) > 0 {
			l.commit(batch)
		}
	}
}

func (l *lane) take() []*pending {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := min(len(l.queue), l.j.batch)
	batch := l.queue[:n:n]
	l.queue = l.queue[n:]
	l.draining = n > 0
	return batch
}

// commit writes a batch directly. While the store is down, operations that
// are provably absent are answered after a few tries, so that callers hear
// soon that their call did not run; the others wait for proof until the
// timeout.
func (l *lane) commit(batch []*pending) {
	ctx, cancel := context.WithTimeout(l.j.ctx, l.j.timeout)
	defer cancel()
	down := 0
	for pause := minBackoff; len(batch) > 0; pause = min(2*pause, maxBackoff) {
		err := l.attempt(ctx, batch)
		if err == nil {
			return
		}
		if down++; quetzalhook.StoreKind(err, quetzalhook.StoreUnknown) != quetzalhook.StoreUnavailable {
			down = 0
		}
		if down >= triesWhileDown {
			batch = answerAbsent(batch)
		}
		if !timing.Sleep(ctx, pause) {
			break
		}
	}
	l.doc = nil
	for _, p := range answerAbsent(batch) {
		p.answer <- answer{Verdict: verdictLost}
	}
}

// answerAbsent answers the operations that are provably absent and returns
// the others.
func answerAbsent(batch []*pending) []*pending {
	var rest []*pending
	for _, p := range batch {
		if p.abandon() == verdictAbsent {
			p.answer <- answer{Verdict: verdictAbsent}
		} else {
			rest = append(rest, p)
		}
	}
	return rest
}

// attempt applies a batch to the newest known value, writes it and answers
// the operations. After an error they are not answered.
func (l *lane) attempt(ctx context.Context, batch []*pending) error {
	if l.doc == nil {
		if err := l.load(ctx, batch); err != nil {
			return err
		}
	}
	l.refresh(ctx, batch)
	changed := l.advance()
	answers := make([]answer, len(batch))
	var written []*pending
	for i, p := range batch {
		if !p.depart() {
			continue // its caller has left; nobody reads the answer
		}
		var touched bool
		if answers[i], touched = l.doc.apply(&p.op); touched {
			changed, written = true, append(written, p)
		} else {
			p.arrive(-1)
		}
	}
	if changed {
		if err := l.write(ctx, written); err != nil {
			return err
		}
	}
	for i, p := range batch {
		if answers[i].Verdict != 0 {
			p.answer <- answers[i]
		}
	}
	return nil
}

// refresh reads the shard again if a claim would be answered as open, because
// another host may have stored the outcome. Without an answer of the store the
// value in memory is still right that the key is taken.
func (l *lane) refresh(ctx context.Context, batch []*pending) {
	for _, p := range batch {
		e := l.doc.find(p.op.Key)
		if p.op.Action == actionClaim && e != nil && !e.Done && e.Nonce != p.op.Nonce {
			_ = l.load(ctx, batch)
			return
		}
	}
}

// write puts the changed value. If it does not succeed, the value in memory
// is dropped, because it holds changes that the store may not have.
func (l *lane) write(ctx context.Context, written []*pending) error {
	value, err := l.doc.encode()
	var version quetzalhook.Version
	if err == nil {
		l.lastWrite = l.j.clock.Now()
		version, err = l.j.store.Put(ctx, l.key, value, l.version)
	}
	if err == nil {
		l.version, l.newest = version, version
		l.j.counters.writes.Add(1)
		l.j.counters.operation.Add(int64(len(written)))
		l.observeEpoch()
		return nil
	}
	base := quetzalhook.Version(-1)
	if quetzalhook.StoreKind(err, quetzalhook.StoreUnknown) == quetzalhook.StoreUnknown {
		base = l.version
	}
	for _, p := range written {
		p.arrive(base)
	}
	l.doc = nil
	return err
}

// load reads the shard.
func (l *lane) load(ctx context.Context, batch []*pending) error {
	s, version, err := l.fetch(ctx)
	if err != nil {
		return err
	}
	if version < l.newest {
		return errStale
	}
	l.doc, l.version, l.newest = s, version, version
	for _, p := range batch {
		if e := s.find(p.op.Key); e == nil || e.Nonce != p.op.Nonce {
			p.disprove(version)
		}
	}
	return nil
}

func (l *lane) fetch(ctx context.Context) (*shard, quetzalhook.Version, error) {
	o, err := l.j.store.Get(ctx, l.key)
	if quetzalhook.StoreKind(err, quetzalhook.StoreUnknown) == quetzalhook.StoreNotFound {
		return newShard(), 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	s, err := decodeShard(o.Value)
	return s, o.Version, errors.Wrapf(err, "decode %s", l.key)
}

// advance moves the epoch when this host has seen it unchanged for its part
// of the retention period, on its own clock, and drops what has expired.
// Epochs measure age without comparing the clocks of two hosts: an epoch may
// last longer than its part, never shorter.
func (l *lane) advance() bool {
	l.observeEpoch()
	if l.j.clock.Now().Sub(l.epochAt) < l.j.part() {
		return false
	}
	l.doc.Epoch++
	var gone []digest
	for i := range l.doc.Entries {
		if e := &l.doc.Entries[i]; !e.Stored && l.doc.expired(e, l.j.dead) {
			gone = append(gone, e.Key)
		}
	}
	for _, key := range gone {
		l.doc.remove(key)
	}
	return true
}

// observeEpoch notes when the epoch was first seen.
func (l *lane) observeEpoch() {
	if l.epochAt.IsZero() || l.doc.Epoch != l.epoch {
		l.epoch, l.epochAt = l.doc.Epoch, l.j.clock.Now()
	}
}
