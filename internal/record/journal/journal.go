// Package journal ensures that a call that must not be repeated is executed at
// most once, whichever host the caller contacts and however often it retries.
//
// Before a host sends the first byte of such a call, it claims the customer,
// route and idempotency key in a shard object of the store, by a conditional
// update. A claim is identified by a nonce, belongs to one attempt and is never
// transferred: only the attempt that made the claim may send the call. The
// response is stored with the claim for replay. While a claim has no outcome,
// later calls with its key get the result Unknown and are not executed.
//
// For each shard, one preferred host commits many claims in one write; the
// other hosts forward their claims to it. The choice of the preferred host
// affects only the number of writes: correctness depends only on the version of
// the shard object.
package journal

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"quetzalhook"
	"quetzalhook/internal/state/invariant"
)

const (
	defaultShards = 16
	// defaultInterval limits the write rate: 16 shards make at most 320 writes a
	// second, within the several hundred that the store accepts.
	defaultInterval    = 50 * time.Millisecond
	defaultTimeout     = 2 * time.Second
	defaultRetention   = 24 * time.Hour
	defaultInlineLimit = 1024
	defaultMaxBatch    = 1000
	// epochsPerRetention is the number of epochs in a retention period. With more
	// epochs, expired entries are removed sooner after the period. An epoch ends only
	// when one host has observed it for its whole length; short epochs therefore end
	// even if every host runs only briefly.
	epochsPerRetention = 24
)

// Call identifies a call that must not be repeated.
type Call struct {
	Customer quetzalhook.CustomerID
	Route    string
	// Key is the caller's idempotency key.
	Key string
	// Fingerprint is a hash of the request's content; see Fingerprint.
	Fingerprint [sha256.Size]byte
}

// Fingerprint returns a hash of a request's content. The length of each part is
// hashed too, so that moving bytes between parts changes the hash.
func Fingerprint(parts ...[]byte) [sha256.Size]byte {
	h := sha256.New()
	for _, p := range parts {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(p)))
		_, _ = h.Write(n[:])
		_, _ = h.Write(p)
	}
	return [sha256.Size]byte(h.Sum(nil))
}

// ResultKind states how a call must be handled.
type ResultKind string

const (
	// Claimed means that this attempt may send the call, once.
	Claimed ResultKind = "claimed"
	// Replay means that the call has been executed and Response is its response.
	Replay ResultKind = "replay"
	// Unknown means that an earlier attempt may have executed the call or may
	// still be executing it.
	Unknown ResultKind = "unknown"
	// Mismatch means that the key was used for another request before.
	Mismatch ResultKind = "mismatch"
)

// Claim is the right of one attempt to send a call.
type Claim struct {
	shard int
	key   digest
	nonce digest
}

// Result is returned by Journal.Claim.
type Result struct {
	Kind     ResultKind
	Claim    Claim  // for Claimed
	Response []byte // for Replay
}

// Journal claims calls and stores their outcomes for one host. It is safe for
// concurrent use.
type Journal struct {
	store       quetzalhook.Store
	clock       quetzalhook.Clock
	peers       quetzalhook.Peers
	inv         quetzalhook.Invariants
	host        quetzalhook.HostID
	incarnation quetzalhook.Incarnation

	shards      int
	interval    time.Duration
	timeout     time.Duration
	retention   atomic.Int64 // nanoseconds
	inlineLimit int
	maxBatch    int
	newNonce    func() digest
	isDead      func(quetzalhook.HostID, quetzalhook.Incarnation) bool

	counters counters

	committers []*committer
	ctx        context.Context
	cancel     context.CancelFunc
	wg         sync.WaitGroup

	mu         sync.Mutex
	closed     bool
	openClaims map[digest]digest // nonces of the claims whose calls this host may execute, by key
}

// Option sets an optional property of a Journal.
type Option func(*Journal)

// WithShards sets the number of shard objects. All hosts must agree, and the
// number must not change while claims are retained.
func WithShards(n int) Option { return func(j *Journal) { j.shards = n } }

// WithInterval sets the minimum time between two writes of a shard by its
// preferred host.
func WithInterval(d time.Duration) Option { return func(j *Journal) { j.interval = d } }

// WithTimeout limits the time to commit one claim or outcome.
func WithTimeout(d time.Duration) Option { return func(j *Journal) { j.timeout = d } }

// WithRetention sets the minimum time for which a finished key is remembered.
func WithRetention(d time.Duration) Option { return func(j *Journal) { j.SetRetention(d) } }

// WithInlineLimit sets the size in bytes above which a response is stored in an
// object of its own.
func WithInlineLimit(n int) Option { return func(j *Journal) { j.inlineLimit = n } }

// WithMaxBatch sets the maximum number of operations in one write; 1 disables
// group commit.
func WithMaxBatch(n int) Option { return func(j *Journal) { j.maxBatch = n } }

// WithDeadCheck sets the function that reports whether an incarnation of a host
// is known to be dead. Claims of a dead incarnation that have no outcome may be
// removed after the retention period.
func WithDeadCheck(f func(quetzalhook.HostID, quetzalhook.Incarnation) bool) Option {
	return func(j *Journal) { j.isDead = f }
}

// New returns a journal and registers with peers its handler of operations that
// other hosts forward. If peers is nil, the host commits its own claims.
func New(host quetzalhook.HostID, incarnation quetzalhook.Incarnation, store quetzalhook.Store,
	clock quetzalhook.Clock, peers quetzalhook.Peers, inv quetzalhook.Invariants, opts ...Option,
) *Journal {
	j := &Journal{
		store: store, clock: clock, peers: peers, inv: inv, host: host, incarnation: incarnation,
		shards: defaultShards, interval: defaultInterval, timeout: defaultTimeout,
		inlineLimit: defaultInlineLimit, maxBatch: defaultMaxBatch,
		newNonce: randomNonce, isDead: func(quetzalhook.HostID, quetzalhook.Incarnation) bool { return false },
		openClaims: make(map[digest]digest),
	}
	j.SetRetention(defaultRetention)
	for _, opt := range opts {
		opt(j)
	}
	j.ctx, j.cancel = context.WithCancel(context.Background())
	for i := range j.shards {
		j.committers = append(j.committers, &committer{j: j, shard: i, key: fmt.Sprintf("journal/%04d", i)})
	}
	if peers != nil {
		peers.Handle(forwardKind, j.handleForwarded)
	}
	return j
}

// SetRetention sets the minimum time for which a finished key is remembered. A
// shorter retention also applies to keys that are already remembered; 0 leaves
// the value unchanged.
func (j *Journal) SetRetention(d time.Duration) {
	if d > 0 {
		j.retention.Store(int64(d))
	}
}

// epochLength returns the minimum length of an epoch; see
// committer.advanceEpoch.
func (j *Journal) epochLength() time.Duration {
	return time.Duration(j.retention.Load()) / epochsPerRetention
}

func randomNonce() digest {
	var d digest
	_, _ = rand.Read(d[:]) // never fails, see crypto/rand
	return d
}

// Claim requests the right to send a call. If it returns an *Error, the Outcome
// of the error states whether the caller may be told that this attempt was not
// executed.
func (j *Journal) Claim(ctx context.Context, c Call) (Result, error) {
	key := digest(shorten(Fingerprint([]byte(c.Customer), []byte(c.Route), []byte(c.Key))))
	claim := Claim{shard: int(xxhash.Sum64(key[:]) % uint64(j.shards)), key: key, nonce: j.newNonce()}
	a := j.submit(ctx, claim.shard, operation{
		Action: actionClaim, Key: key, Nonce: claim.nonce, Fingerprint: shorten(c.Fingerprint),
		Host: j.host, Incarnation: j.incarnation,
	})
	if int(a.Status) < len(j.counters.statuses) {
		j.counters.statuses[a.Status].Add(1)
	}
	switch a.Status {
	case statusDone:
		j.recordClaim(claim)
		return Result{Kind: Claimed, Claim: claim}, nil
	case statusReplay:
		return j.replayResult(ctx, a)
	case statusMismatch:
		return Result{Kind: Mismatch}, nil
	case statusOpen:
		return Result{Kind: Unknown}, nil
	}
	return Result{}, j.claimError(claim, a.Status)
}

// shorten truncates a SHA-256 hash to a digest.
func shorten(full [sha256.Size]byte) digest { return digest(full[:len(digest{})]) }

// recordClaim adds a claim to the open claims of this host and checks that no
// other claim for the same key is open.
func (j *Journal) recordClaim(c Claim) {
	j.mu.Lock()
	defer j.mu.Unlock()
	other, taken := j.openClaims[c.key]
	j.inv.Check(invariant.AtMostOnce, !taken, "host", j.host, "key", hex.EncodeToString(c.key[:]),
		"claim", hex.EncodeToString(c.nonce[:]), "other", hex.EncodeToString(other[:]))
	j.openClaims[c.key] = c.nonce
}

// removeClaim removes a claim from the open claims of this host.
func (j *Journal) removeClaim(c Claim) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.openClaims[c.key] == c.nonce {
		delete(j.openClaims, c.key)
	}
}

// isOpen reports whether this host may execute the call of a claim.
func (j *Journal) isOpen(c Claim) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.openClaims[c.key] == c.nonce
}

// claimError returns the error for a claim that was refused or whose result is
// unknown. This attempt does not send the call in either case, but the outcome is
// not-run only if the claim is provably absent from the store.
func (j *Journal) claimError(c Claim, v status) error {
	e := &Error{Op: "claim", Kind: KindStore, Outcome: quetzalhook.OutcomeUnknown}
	switch v {
	case statusAbsent:
		e.Outcome = quetzalhook.OutcomeNotRun
	case statusFull:
		e.Kind, e.Outcome = KindFull, quetzalhook.OutcomeNotRun
	}
	if e.Outcome == quetzalhook.OutcomeNotRun {
		j.inv.Check(invariant.TrueRefusal, !j.isOpen(c), "host", j.host, "key", hex.EncodeToString(c.key[:]))
	}
	return e
}

// replayResult returns the stored response of an earlier claim.
func (j *Journal) replayResult(ctx context.Context, a answer) (Result, error) {
	if !a.Stored {
		return Result{Kind: Replay, Response: a.Response}, nil
	}
	o, err := j.store.Get(ctx, responseKey(a.Nonce))
	if err != nil {
		return Result{}, &Error{Op: "replay", Kind: KindStore, Outcome: quetzalhook.OutcomeUnknown, Err: err}
	}
	return Result{Kind: Replay, Response: o.Value}, nil
}

// Close stops the journal and waits for its goroutines. Pending operations that
// are provably absent from the store end as not-run, the others with an unknown
// outcome.
func (j *Journal) Close() error {
	j.mu.Lock()
	j.closed = true
	j.mu.Unlock()
	j.cancel()
	j.wg.Wait()
	return nil
}
