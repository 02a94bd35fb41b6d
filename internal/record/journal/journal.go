// Package journal makes sure that a call that may not be repeated runs at
// most once, whichever host the caller asks and however often.
//
// Before the first byte of such a call goes out, a host claims its customer,
// route and idempotency key in a shard object of the store, by conditional
// update. A claim names one attempt by a nonce and is never transferred: only
// the attempt that made it may send. The response is stored with the claim for
// replay. A claim without outcome is answered as unknown and never run again.
//
// One preferred host for each shard commits many claims in one write; the
// others send it theirs. Which host is preferred affects the number of writes
// only: safety depends on the version of the shard object alone.
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
	// defaultInterval bounds the writes: 16 shards make at most 320 a second,
	// within the several hundred that the store takes.
	defaultInterval  = 50 * time.Millisecond
	defaultTimeout   = 2 * time.Second
	defaultRetention = 24 * time.Hour
	defaultInline    = 1024
	defaultBatch     = 1000
	// retentionParts is the number of epochs in a retention period. More parts
	// keep entries less beyond the period but survive shorter host lifetimes.
	retentionParts = 24
)

// Call identifies a call that may not be repeated.
type Call struct {
	Customer quetzalhook.CustomerID
	Route    string
	// Key is the caller's idempotency key.
	Key string
	// Fingerprint identifies the request's content; see Fingerprint.
	Fingerprint [sha256.Size]byte
}

// Fingerprint returns the fingerprint of a request's content. Parts are
// separated, so that moving bytes between them changes it.
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

// ResultKind tells what to do with a call.
type ResultKind string

const (
	// Claimed means that this attempt may send the call, once.
	Claimed ResultKind = "claimed"
	// Replay means that the call has run and Response is its response.
	Replay ResultKind = "replay"
	// Unknown means that an earlier attempt may be running or may have run.
	Unknown ResultKind = "unknown"
	// Mismatch means that the key was used for another request.
	Mismatch ResultKind = "mismatch"
)

// Claim is the right of one attempt to send a call.
type Claim struct {
	shard int
	key   digest
	nonce digest
}

// Result is the answer to a Claim.
type Result struct {
	Kind     ResultKind
	Claim    Claim  // for Claimed
	Response []byte // for Replay
}

// Journal is one host's access to the claims. It is safe for concurrent use.
type Journal struct {
	store       quetzalhook.Store
	clock       quetzalhook.Clock
	peers       quetzalhook.Peers
	inv         quetzalhook.Invariants
	host        quetzalhook.HostID
	incarnation quetzalhook.Incarnation

	shards    int
	interval  time.Duration
	timeout   time.Duration
	retention atomic.Int64 // nanoseconds
	inline    int
	batch     int
	newNonce  func() digest
	dead      func(quetzalhook.HostID, quetzalhook.Incarnation) bool

	counters counters

	lanes  []*lane
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu     sync.Mutex
	closed bool
	open   map[digest]digest // key to nonce of claims that this host may run
}

// Option sets an optional property of a Journal.
type Option func(*Journal)

// WithShards sets the number of shard objects. All hosts must agree, and the
// number must not change while claims are retained.
func WithShards(n int) Option { return func(j *Journal) { j.shards = n } }

// WithInterval sets the shortest time between two writes of a shard by its
// preferred host.
func WithInterval(d time.Duration) Option { return func(j *Journal) { j.interval = d } }

// WithTimeout bounds one claim or outcome.
func WithTimeout(d time.Duration) Option { return func(j *Journal) { j.timeout = d } }

// WithRetention sets how long a finished key is remembered at least.
func WithRetention(d time.Duration) Option { return func(j *Journal) { j.SetRetention(d) } }

// WithInline sets the size in bytes above which a response gets an object of
// its own.
func WithInline(n int) Option { return func(j *Journal) { j.inline = n } }

// WithBatch sets the largest number of operations in one write; 1 turns group
// commit off.
func WithBatch(n int) Option { return func(j *Journal) { j.batch = n } }

// WithDead sets how to tell that an incarnation of a host is known to be dead,
// so that its claims without outcome may be forgotten after the retention.
func WithDead(f func(quetzalhook.HostID, quetzalhook.Incarnation) bool) Option {
	return func(j *Journal) { j.dead = f }
}

// New returns a journal. Without peers (nil) every host commits its own
// claims. New registers the handler of claims from other hosts.
func New(host quetzalhook.HostID, incarnation quetzalhook.Incarnation, store quetzalhook.Store,
	clock quetzalhook.Clock, peers quetzalhook.Peers, inv quetzalhook.Invariants, opts ...Option,
) *Journal {
	j := &Journal{
		store: store, clock: clock, peers: peers, inv: inv, host: host, incarnation: incarnation,
		shards: defaultShards, interval: defaultInterval, timeout: defaultTimeout,
		inline: defaultInline, batch: defaultBatch,
		newNonce: randomNonce, dead: func(quetzalhook.HostID, quetzalhook.Incarnation) bool { return false },
		open: make(map[digest]digest),
	}
	j.SetRetention(defaultRetention)
	for _, opt := range opts {
		opt(j)
	}
	j.ctx, j.cancel = context.WithCancel(context.Background())
	for i := range j.shards {
		j.lanes = append(j.lanes, &lane{j: j, shard: i, key: fmt.Sprintf("journal/%04d", i)})
	}
	if peers != nil {
		peers.Handle(peerKind, j.handle)
	}
	return j
}

// SetRetention sets how long a finished key is remembered at least. A shorter
// retention holds for the keys that are remembered already too; 0 leaves the
// value as it is.
func (j *Journal) SetRetention(d time.Duration) {
	if d > 0 {
		j.retention.Store(int64(d))
	}
}

// part returns the length of one epoch.
func (j *Journal) part() time.Duration { return time.Duration(j.retention.Load()) / retentionParts }

func randomNonce() digest {
	var d digest
	_, _ = rand.Read(d[:]) // never fails, see crypto/rand
	return d
}

// Claim asks for the right to send a call. An *Error tells by its Outcome
// whether the caller may be told that this attempt did not run.
func (j *Journal) Claim(ctx context.Context, c Call) (Result, error) {
	key := digest(sum(Fingerprint([]byte(c.Customer), []byte(c.Route), []byte(c.Key))))
	claim := Claim{shard: int(xxhash.Sum64(key[:]) % uint64(j.shards)), key: key, nonce: j.newNonce()}
	a := j.submit(ctx, claim.shard, operation{
		Action: actionClaim, Key: key, Nonce: claim.nonce, Fingerprint: sum(c.Fingerprint),
		Host: j.host, Incarnation: j.incarnation,
	})
	if int(a.Verdict) < len(j.counters.verdicts) {
		j.counters.verdicts[a.Verdict].Add(1)
	}
	switch a.Verdict {
	case verdictDone:
		j.note(claim)
		return Result{Kind: Claimed, Claim: claim}, nil
	case verdictReplay:
		return j.replay(ctx, a)
	case verdictMismatch:
		return Result{Kind: Mismatch}, nil
	case verdictOpen:
		return Result{Kind: Unknown}, nil
	}
	return Result{}, j.refuse(claim, a.Verdict)
}

func sum(full [sha256.Size]byte) digest { return digest(full[:len(digest{})]) }

// note records a claim of this host and checks that it holds no other claim
// for the same key.
func (j *Journal) note(c Claim) {
	j.mu.Lock()
	defer j.mu.Unlock()
	other, taken := j.open[c.key]
	j.inv.Check(invariant.AtMostOnce, !taken, "host", j.host, "key", hex.EncodeToString(c.key[:]),
		"claim", hex.EncodeToString(c.nonce[:]), "other", hex.EncodeToString(other[:]))
	j.open[c.key] = c.nonce
}

// forget ends a claim of this host.
func (j *Journal) forget(c Claim) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.open[c.key] == c.nonce {
		delete(j.open, c.key)
	}
}

// holds reports whether this host may run a claim.
func (j *Journal) holds(c Claim) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.open[c.key] == c.nonce
}

// refuse turns a claim that was not granted into an error. The attempt sends
// nothing in either case; only a claim that is provably absent is not-run.
func (j *Journal) refuse(c Claim, v verdict) error {
	e := &Error{Op: "claim", Kind: KindStore, Outcome: quetzalhook.OutcomeUnknown}
	switch v {
	case verdictAbsent:
		e.Outcome = quetzalhook.OutcomeNotRun
	case verdictFull:
		e.Kind, e.Outcome = KindFull, quetzalhook.OutcomeNotRun
	}
	if e.Outcome == quetzalhook.OutcomeNotRun {
		j.inv.Check(invariant.TrueRefusal, !j.holds(c), "host", j.host, "key", hex.EncodeToString(c.key[:]))
	}
	return e
}

// replay returns the response of an earlier claim.
func (j *Journal) replay(ctx context.Context, a answer) (Result, error) {
	if !a.Stored {
		return Result{Kind: Replay, Response: a.Response}, nil
	}
	o, err := j.store.Get(ctx, responseKey(a.Nonce))
	if err != nil {
		return Result{}, &Error{Op: "replay", Kind: KindStore, Outcome: quetzalhook.OutcomeUnknown, Err: err}
	}
	return Result{Kind: Replay, Response: o.Value}, nil
}

// Close stops the journal and waits. Operations that have not been answered
// end with an unknown outcome.
func (j *Journal) Close() error {
	j.mu.Lock()
	j.closed = true
	j.mu.Unlock()
	j.cancel()
	j.wg.Wait()
	return nil
}
