package configuration

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"strconv"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"quetzalhook"
)

const (
	// maxStoreAttempts is how many times Plan and Confirm attempt a store operation
	// whose answer is lost or which conflicts with a change by another process.
	maxStoreAttempts = 5
	// maxDifferenceLines limits the difference that is stored with a plan, so
	// that the encoded plan stays below the store's limit for the size of values.
	maxDifferenceLines = 1000
)

// Planner stores plans and confirms them. It is safe for concurrent use, and
// several processes may use planners on the same store at once.
type Planner struct {
	store quetzalhook.Store
	clock quetzalhook.Clock
	log   logrus.FieldLogger

	inlineLimit  int
	keptVersions int64

	mu    sync.Mutex // guards cache
	cache *shardCache
}

// PlannerOption sets an optional property of a Planner.
type PlannerOption func(*Planner)

// WithInlineLimit sets the size in bytes above which an encoded document is
// split into shards.
func WithInlineLimit(n int) PlannerOption {
	return func(p *Planner) { p.inlineLimit = n }
}

// WithKeptVersions sets how many versions before the one in force are kept in
// the store.
func WithKeptVersions(n int64) PlannerOption {
	return func(p *Planner) { p.keptVersions = n }
}

// NewPlanner returns a planner that works on store.
func NewPlanner(store quetzalhook.Store, clock quetzalhook.Clock, log logrus.FieldLogger, opts ...PlannerOption) *Planner {
	p := &Planner{
		store: store, clock: clock, log: log, inlineLimit: inlineLimit, keptVersions: defaultKeptVersions, cache: newShardCache(),
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Plan validates a document and stores it as a plan that is based on the version
// in force. The returned plan lists the differences from that version. The
// configuration does not change until Confirm is called.
func (p *Planner) Plan(ctx context.Context, d *Document) (Plan, error) {
	if err := d.Validate(); err != nil {
		return Plan{}, err
	}
	begin := p.clock.Now()
	head, _, base, err := p.current(ctx)
	if err != nil {
		return Plan{}, err
	}
	manifest, shards, err := encodeDocument(d, p.inlineLimit)
	if err != nil {
		return Plan{}, err
	}
	known := make(map[Hash]bool, len(head.Manifest.Shards))
	for _, h := range head.Manifest.Shards {
		known[h] = true
	}
	for h, value := range shards {
		if known[h] {
			continue
		}
		if err := p.touch(ctx, shardPrefix+h.String(), value); err != nil {
			return Plan{}, err
		}
	}
	plan := Plan{ID: newID(), Base: head.Number, Manifest: manifest, Difference: Difference(base, d)}
	if n := len(plan.Difference); n > maxDifferenceLines {
		plan.Difference = append(plan.Difference[:maxDifferenceLines], strconv.Itoa(n-maxDifferenceLines)+" more changes")
	}
	value, err := cbor.Marshal(plan)
	if err != nil {
		return Plan{}, &Error{Op: "plan", Kind: ErrorInvalid, Err: err}
	}
	if err := p.create(ctx, planPrefix+plan.ID, value); err != nil {
		return Plan{}, err
	}
	p.log.WithFields(logrus.Fields{
		"plan": plan.ID, "base": plan.Base, "changes": len(plan.Difference), "took": p.clock.Now().Sub(begin).Round(time.Millisecond),
	}).Info("configuration plan stored")
	return plan, nil
}

// Confirm makes a plan the version in force and returns the number of that
// version. It fails with ErrorConflict if the version that the plan is based on
// is no longer in force. Confirm is idempotent: for a plan that was confirmed
// before, it only returns the number of its version.
func (p *Planner) Confirm(ctx context.Context, id string) (int64, error) {
	o, err := p.store.Get(ctx, planPrefix+id)
	if err != nil {
		return 0, storeError("confirm", err)
	}
	var plan Plan
	if err := cbor.Unmarshal(o.Value, &plan); err != nil {
		return 0, &Error{Op: "confirm", Kind: ErrorCorrupt, Err: err}
	}
	next := Head{Plan: id, Manifest: plan.Manifest}
	for range maxStoreAttempts {
		var done bool
		if next.Number, done, err = p.advanceHead(ctx, plan.Base, next); err != nil {
			return 0, err
		}
		if done {
			if err := p.writeVersionRecord(ctx, next); err != nil {
				p.log.WithError(err).Warn("version record not written; the next confirm will write it")
			}
			p.log.WithFields(logrus.Fields{"plan": id, "version": next.Number}).Info("configuration confirmed")
			if next.Number%max(p.keptVersions, 1) == 0 {
				if err := p.Clean(ctx); err != nil {
					p.log.WithError(err).Warn("old versions not deleted")
				}
			}
			return next.Number, nil
		}
	}
	return 0, &Error{Op: "confirm", Kind: ErrorUnavailable, Err: errors.New("could not determine whether the plan was confirmed; repeat the confirm")}
}

// advanceHead tries once to store next, which follows the version base, as the head, and
// reports whether it is or was in force, and under which number. If it returns false without
// an error, the outcome is unknown and Confirm has to try again.
func (p *Planner) advanceHead(ctx context.Context, base int64, next Head) (int64, bool, error) {
	head, version, err := readHead(ctx, p.store)
	next.Number = numberAfter(base, p.store.Era())
	switch {
	case err != nil:
		return 0, false, err
	case head.Plan == next.Plan:
		return head.Number, true, nil
	case head.Number > base:
		number, err := p.wasConfirmed(ctx, base, next, head)
		return number, err == nil, err
	case head.Number < base:
		return 0, false, nil // a stale read: the plan is based on a later version than the one read
	}
	if err := p.writeVersionRecord(ctx, head); err != nil {
		return 0, false, err
	}
	value, err := cbor.Marshal(next)
	if err != nil {
		return 0, false, &Error{Op: "confirm", Kind: ErrorInvalid, Err: err}
	}
	_, err = p.store.Put(ctx, headKey, value, version)
	switch quetzalhook.StoreKind(err, quetzalhook.StoreUnavailable) {
	case "", quetzalhook.StoreUnknown, quetzalhook.StoreConflict:
		// On an error, the plan ID in the head that the next attempt reads shows
		// whether this write or another one took effect.
		return next.Number, err == nil, nil
	default:
		return 0, false, storeError("confirm", err)
	}
}

// eraNumberBits is the width of the part of a version number that grows within an era of the
// store.
const eraNumberBits = 20

// numberAfter returns the number of the version after base. Numbers of versions that the store
// has lost must not be given out again: hosts that know such a version would not read another
// one with its number. The store loses fewer versions in an era than that era has numbers.
func numberAfter(base, era int64) int64 {
	if era > 1 {
		base = max(base, quetzalhook.EraNumber(era)<<eraNumberBits)
	}
	return base + 1
}

// writeVersionRecord stores the version record of a head. Confirm writes the
// record of a version before it replaces the head by the next version, so that
// the records show which plan became which version.
func (p *Planner) writeVersionRecord(ctx context.Context, head Head) error {
	if head.Number == 0 {
		return nil
	}
	value, err := cbor.Marshal(head)
	if err != nil {
		return &Error{Op: "confirm", Kind: ErrorInvalid, Err: err}
	}
	return p.create(ctx, versionKey(head.Number), value)
}

// wasConfirmed returns the number under which next was in force before the later version in
// head replaced it. It returns ErrorConflict if another plan has that number.
func (p *Planner) wasConfirmed(ctx context.Context, base int64, next, head Head) (int64, error) {
	conflict := &Error{Op: "confirm", Kind: ErrorConflict, Err: errors.Errorf(
		"the plan was made from version %d, version %d is in force; make a new plan", base, head.Number)}
	number := next.Number
	if head.Number < number { // of an earlier era
		number = numberAfter(base, 0)
	}
	if head.Number == number {
		return 0, conflict
	}
	o, err := p.store.Get(ctx, versionKey(number))
	if err != nil {
		return 0, storeError("confirm", err)
	}
	var recorded Head
	if err := cbor.Unmarshal(o.Value, &recorded); err != nil {
		return 0, &Error{Op: "confirm", Kind: ErrorCorrupt, Err: err}
	}
	if recorded.Plan != next.Plan {
		return 0, conflict
	}
	return number, nil
}

// Current returns the number of the version in force and its document. Before
// the first confirm it returns 0 and an empty document.
func (p *Planner) Current(ctx context.Context) (int64, *Document, error) {
	head, _, d, err := p.current(ctx)
	return head.Number, d, err
}

// current returns the head, its store version and its document. It reads from the
// store only the shards that are not in the cache.
func (p *Planner) current(ctx context.Context) (Head, quetzalhook.Version, *Document, error) {
	head, version, err := readHead(ctx, p.store)
	if err != nil || head.Number == 0 {
		return head, version, &Document{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range p.cache.missing(head.Manifest) {
		o, err := p.store.Get(ctx, shardPrefix+h.String())
		if err != nil {
			return head, version, nil, storeError("read shard", err)
		}
		if err := p.cache.add(h, o.Value); err != nil {
			return head, version, nil, err
		}
	}
	p.cache.retainOnly(head.Manifest)
	d, err := p.cache.assemble(head.Manifest)
	return head, version, d, err
}

// create writes a value whose key determines its content. An existing key counts
// as success: another process or an earlier attempt, whose answer was lost, has
// written the same value.
func (p *Planner) create(ctx context.Context, key string, value []byte) error {
	var err error
	for range maxStoreAttempts {
		_, err = p.store.Put(ctx, key, value, 0)
		switch quetzalhook.StoreKind(err, quetzalhook.StoreUnavailable) {
		case "", quetzalhook.StoreConflict:
			return nil
		case quetzalhook.StoreUnknown:
		default:
			return storeError("write", err)
		}
	}
	return storeError("write", err)
}

func versionKey(n int64) string { return versionPrefix + strconv.FormatInt(n, 10) }

// newID returns a random plan ID. The ID in the head also shows Confirm whether
// its own write took effect.
func newID() string {
	var b [12]byte
	_, _ = rand.Read(b[:]) // never fails, as documented
	return hex.EncodeToString(b[:])
}

// readHead returns the stored head and its store version; both are zero values
// before the first confirm.
func readHead(ctx context.Context, store quetzalhook.Store) (Head, quetzalhook.Version, error) {
	var head Head
	o, err := store.Get(ctx, headKey)
	if quetzalhook.StoreKind(err, quetzalhook.StoreUnavailable) == quetzalhook.StoreNotFound {
		return head, 0, nil
	}
	if err != nil {
		return head, 0, storeError("read head", err)
	}
	if err := cbor.Unmarshal(o.Value, &head); err != nil {
		return head, 0, &Error{Op: "read head", Kind: ErrorCorrupt, Err: err}
	}
	return head, o.Version, nil
}

// storeError converts an error of the store to an *Error.
func storeError(op string, err error) error {
	kind := ErrorUnavailable
	if quetzalhook.StoreKind(err, quetzalhook.StoreUnavailable) == quetzalhook.StoreNotFound {
		kind = ErrorNotFound
	}
	return &Error{Op: op, Kind: kind, Err: err}
}
