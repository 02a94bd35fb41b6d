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
	// minBackoff is the pause after the first failed try to commit a batch. The
	// pause doubles with each further failure, up to maxBackoff.
	minBackoff = 2 * time.Millisecond
	maxBackoff = 200 * time.Millisecond
	// maxUnavailableTries is the number of consecutive tries for which the store
	// was unavailable after which it counts as down. The last of them is made about
	// 15 ms after the first.
	maxUnavailableTries = 4
	// unprovableBase is recorded as the base version of a write that cannot be
	// proven to have had no effect. No shard reaches a higher version.
	unprovableBase = quetzalhook.Version(1<<63 - 1)
)

var errStale = errors.New("stale read: the store returned an older version than before")

// pending is an operation that has no answer yet.
type pending struct {
	op     operation
	remote bool // received from another host; must not be forwarded again
	answer chan answer

	mu sync.Mutex
	// inFlight is set while a write or a call that contains the operation is in
	// progress.
	inFlight bool
	// cancelled is set when cancel has reported the operation as absent. Later
	// writes then leave it out.
	cancelled bool
	// uncertainBase is the highest base version of the writes of the operation
	// whose answers were lost, or -1 if there are none. A shard with a higher version
	// that does not contain the operation proves that these writes had no effect.
	uncertainBase quetzalhook.Version
}

func newPending(op operation, remote bool) *pending {
	return &pending{op: op, remote: remote, answer: make(chan answer, 1), uncertainBase: -1}
}

// beginSend reports whether the operation may be sent, that is, whether it was
// not cancelled, and if so marks it as in flight.
func (p *pending) beginSend() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inFlight = !p.cancelled
	return p.inFlight
}

// endSend records the end of a write or call. If its answer was lost, base is
// the version that it would have replaced, otherwise -1.
func (p *pending) endSend(base quetzalhook.Version) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inFlight = false
	p.uncertainBase = max(p.uncertainBase, base)
}

// recordAbsence records that the current shard has the given version and does
// not contain the operation. Writes with a lower base version then had no
// effect.
func (p *pending) recordAbsence(version quetzalhook.Version) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if version > p.uncertainBase {
		p.uncertainBase = -1
	}
}

// cancel is called when the wait for an answer ends without one. It returns
// statusAbsent if the operation is provably absent from the shard, and then
// keeps it out of later writes; otherwise it returns statusUnknown.
func (p *pending) cancel() status {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inFlight || p.uncertainBase >= 0 {
		return statusUnknown
	}
	p.cancelled = true
	return statusAbsent
}

// committer commits the operations of one shard, one batch at a time, directly
// or through the preferred host.
type committer struct {
	j     *Journal
	shard int
	key   string

	mu        sync.Mutex
	queue     []*pending
	draining  bool
	preferred quetzalhook.HostID
	rankedAt  time.Time

	// The fields below are used only by the goroutine that drains the queue.
	cached        *shard // last value read or written; nil if the shard must be read again
	version       quetzalhook.Version
	newestVersion quetzalhook.Version // highest version seen
	epoch         uint32
	epochSeenAt   time.Time // when epoch was first seen, on this host's clock
	lastWrite     time.Time
	forwardAfter  time.Time // no forwarding before this time
}

// submit queues an operation and waits for its answer.
func (j *Journal) submit(ctx context.Context, shard int, op operation) answer {
	ctx, cancel := context.WithTimeout(ctx, j.timeout)
	defer cancel()
	p := newPending(op, false)
	if !j.committers[shard].enqueue(p) {
		return answer{Status: statusAbsent}
	}
	return p.wait(ctx)
}

// wait returns the answer, or what is known about the operation when ctx ends.
func (p *pending) wait(ctx context.Context) answer {
	select {
	case a := <-p.answer:
		return a
	case <-ctx.Done():
	}
	v := p.cancel()
	select {
	case a := <-p.answer: // the answer arrived while ctx ended
		return a
	default:
		return answer{Status: v}
	}
}

// enqueue adds operations to the queue and starts drain if necessary. It
// returns false if the journal is closed.
func (c *committer) enqueue(p ...*pending) bool {
	c.j.mu.Lock()
	defer c.j.mu.Unlock()
	if c.j.closed {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queue = append(c.queue, p...)
	if !c.draining {
		c.draining = true
		c.j.wg.Go(c.drain)
	}
	return true
}

// drain forwards or commits batches until the queue is empty. Operations that
// arrive while a batch is being processed form the next batch.
func (c *committer) drain() {
	for {
		preferred := c.preferredHost()
		forward := preferred != c.j.host && !c.j.clock.Now().Before(c.forwardAfter)
		if wait := c.lastWrite.Add(c.j.interval).Sub(c.j.clock.Now()); wait > 0 && !forward {
			timing.Sleep(c.j.ctx, wait)
		}
		batch := c.nextBatch()
		if len(batch) == 0 {
			return
		}
		if forward {
			batch = c.forward(preferred, batch)
		}
		if len(batch) > 0 {
			c.commit(batch)
		}
	}
}

// nextBatch removes up to maxBatch operations from the queue. If the queue is
// empty, drain has to return: the next enqueue starts it again.
func (c *committer) nextBatch() []*pending {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := min(len(c.queue), c.j.maxBatch)
	batch := c.queue[:n:n]
	c.queue = c.queue[n:]
	c.draining = n > 0
	return batch
}

// commit writes a batch directly to the store and retries until the timeout.
// While the store is down, operations that are provably absent are answered
// after a few tries, so that callers soon learn that their call was not
// executed. The others stay in the batch until the timeout, because a later read
// may prove that they are absent.
func (c *committer) commit(batch []*pending) {
	ctx, cancel := context.WithTimeout(c.j.ctx, c.j.timeout)
	defer cancel()
	unavailable := 0
	for pause := minBackoff; len(batch) > 0; pause = min(2*pause, maxBackoff) {
		err := c.tryCommit(ctx, batch)
		if err == nil {
			return
		}
		if unavailable++; quetzalhook.StoreKind(err, quetzalhook.StoreUnknown) != quetzalhook.StoreUnavailable {
			unavailable = 0
		}
		if unavailable >= maxUnavailableTries {
			batch = answerAbsent(batch)
		}
		if !timing.Sleep(ctx, pause) {
			break
		}
	}
	c.cached = nil
	for _, p := range answerAbsent(batch) {
		p.answer <- answer{Status: statusUnknown}
	}
}

// answerAbsent answers the operations that are provably absent with
// statusAbsent and returns the others.
func answerAbsent(batch []*pending) []*pending {
	var rest []*pending
	for _, p := range batch {
		if p.cancel() == statusAbsent {
			p.answer <- answer{Status: statusAbsent}
		} else {
			rest = append(rest, p)
		}
	}
	return rest
}

// tryCommit applies a batch to the cached shard, writes the shard if it has
// changed, and answers the operations. If it returns an error, no operation has
// been answered.
func (c *committer) tryCommit(ctx context.Context, batch []*pending) error {
	if c.cached == nil {
		if err := c.load(ctx, batch); err != nil {
			return err
		}
	}
	c.reloadIfOutdated(ctx, batch)
	changed := c.advanceEpoch()
	answers := make([]answer, len(batch))
	var written []*pending
	for i, p := range batch {
		if !p.beginSend() {
			continue // cancelled; nobody reads the answer
		}
		var opChanged bool
		if answers[i], opChanged = c.cached.apply(&p.op); opChanged {
			changed, written = true, append(written, p)
		} else {
			p.endSend(-1)
		}
	}
	if changed {
		if err := c.write(ctx, written); err != nil {
			return err
		}
	}
	for i, p := range batch {
		if answers[i].Status != 0 {
			p.answer <- answers[i]
		}
	}
	return nil
}

// reloadIfOutdated reads the shard again if the cached one may lack a change that
// another host has written: the outcome of a claim for a key that the batch claims,
// or the claim of a call that the batch finishes or releases. A host writes
// directly while it cannot call the preferred host. If the store does not answer,
// the cached shard stays in use; what it lacks is then reported as unknown.
func (c *committer) reloadIfOutdated(ctx context.Context, batch []*pending) {
	for _, p := range batch {
		if c.mayLack(&p.op) {
			_ = c.load(ctx, batch)
			return
		}
	}
}

// mayLack reports whether the cached shard may lack a change that op depends on.
func (c *committer) mayLack(op *operation) bool {
	e := c.cached.find(op.Key)
	if op.Action == actionClaim {
		return e != nil && !e.Done && e.Nonce != op.Nonce
	}
	return e == nil || e.Nonce != op.Nonce
}

// write stores the cached shard. If that fails, it discards the cached shard,
// which contains changes that the store may not have.
func (c *committer) write(ctx context.Context, written []*pending) error {
	value, err := c.cached.encode()
	var version quetzalhook.Version
	if err == nil {
		c.lastWrite = c.j.clock.Now()
		version, err = c.j.store.Put(ctx, c.key, value, c.version)
	}
	if err == nil {
		c.version, c.newestVersion = version, version
		c.j.counters.writes.Add(1)
		c.j.counters.operations.Add(int64(len(written)))
		c.observeEpoch()
		return nil
	}
	base := quetzalhook.Version(-1)
	if quetzalhook.StoreKind(err, quetzalhook.StoreUnknown) == quetzalhook.StoreUnknown {
		base = c.version
	}
	for _, p := range written {
		p.endSend(base)
	}
	c.cached = nil
	return err
}

// load reads the shard into the cache and records which operations of the batch
// it does not contain.
func (c *committer) load(ctx context.Context, batch []*pending) error {
	s, version, err := c.fetch(ctx)
	if err != nil {
		return err
	}
	// The store may have come back from a copy that is older than the shard.
	isLost := version == 0 && c.j.store.Era() > c.newestVersion.Era()
	if version < c.newestVersion && !isLost {
		return errStale
	}
	c.cached, c.version, c.newestVersion = s, version, version
	for _, p := range batch {
		if e := s.find(p.op.Key); e == nil || e.Nonce != p.op.Nonce {
			p.recordAbsence(version)
		}
	}
	return nil
}

func (c *committer) fetch(ctx context.Context) (*shard, quetzalhook.Version, error) {
	o, err := c.j.store.Get(ctx, c.key)
	if quetzalhook.StoreKind(err, quetzalhook.StoreUnknown) == quetzalhook.StoreNotFound {
		return newShard(), 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	s, err := decodeShard(o.Value)
	return s, o.Version, errors.Wrapf(err, "decode %s", c.key)
}

// advanceEpoch starts the next epoch and removes expired entries if this host
// has seen the current epoch unchanged for epochLength by its own clock. It
// reports whether it did. Expired entries with a response in an object of its
// own are left to Compact. Epochs measure age without comparing the clocks of
// two hosts: an epoch may last longer than epochLength, but never shorter.
func (c *committer) advanceEpoch() bool {
	c.observeEpoch()
	if c.j.clock.Now().Sub(c.epochSeenAt) < c.j.epochLength() {
		return false
	}
	c.cached.Epoch++
	var expired []digest
	for i := range c.cached.Entries {
		if e := &c.cached.Entries[i]; !e.Stored && c.cached.expired(e, c.j.isDead) {
			expired = append(expired, e.Key)
		}
	}
	for _, key := range expired {
		c.cached.remove(key)
	}
	return true
}

// observeEpoch records when this host first saw the current epoch.
func (c *committer) observeEpoch() {
	if c.epochSeenAt.IsZero() || c.cached.Epoch != c.epoch {
		c.epoch, c.epochSeenAt = c.cached.Epoch, c.j.clock.Now()
	}
}
