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
	// storeAttempts bounds how often one step of a plan or confirm is tried
	// after a lost answer or a concurrent change.
	storeAttempts = 5
	// maxDifferenceLines bounds the stored difference of a plan, so that its
	// value stays under the size limit of the store.
	maxDifferenceLines = 1000
)

// Planner makes and confirms plans. It is safe for concurrent use, also by
// several processes at once.
type Planner struct {
	store quetzalhook.Store
	clock quetzalhook.Clock
	log   logrus.FieldLogger

	inlineLimit int
	keep        int64

	mu    sync.Mutex // guards cache
	cache *shardCache
}

// PlannerOption changes a Planner.
type PlannerOption func(*Planner)

// WithInlineLimit sets the size in bytes from which documents are split.
func WithInlineLimit(n int) PlannerOption {
	return func(p *Planner) { p.inlineLimit = n }
}

// WithKeptVersions sets how many versions before the one in force are kept.
func WithKeptVersions(n int64) PlannerOption {
	return func(p *Planner) { p.keep = n }
}

// NewPlanner returns a planner over the store.
func NewPlanner(store quetzalhook.Store, clock quetzalhook.Clock, log logrus.FieldLogger, opts ...PlannerOption) *Planner {
	p := &Planner{
		store: store, clock: clock, log: log, inlineLimit: inlineLimit, keep: keptVersions, cache: newShardCache(),
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Plan validates a document, stores it as a plan against the version in force
// and returns the plan with its difference. Nothing takes effect before
// Confirm.
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
	}).Info("configuration planned")
	return plan, nil
}

// Confirm puts a plan in force and returns its version number. It fails with
// ErrorConflict if the plan's base is not in force any more. It may be
// repeated: a plan that is already in force, or was, is not applied again.
func (p *Planner) Confirm(ctx context.Context, id string) (int64, error) {
	o, err := p.store.Get(ctx, planPrefix+id)
	if err != nil {
		return 0, storeFailure("confirm", err)
	}
	var plan Plan
	if err := cbor.Unmarshal(o.Value, &plan); err != nil {
		return 0, &Error{Op: "confirm", Kind: ErrorCorrupt, Err: err}
	}
	next := Head{Number: plan.Base + 1, Plan: id, Manifest: plan.Manifest}
	value, err := cbor.Marshal(next)
	if err != nil {
		return 0, &Error{Op: "confirm", Kind: ErrorInvalid, Err: err}
	}
	for range storeAttempts {
		done, err := p.move(ctx, next, value)
		if err != nil {
			return 0, err
		}
		if done {
			if err := p.record(ctx, next); err != nil {
				p.log.WithError(err).Warn("version record left to the next confirm")
			}
			p.log.WithFields(logrus.Fields{"plan": id, "version": next.Number}).Info("configuration confirmed")
			if next.Number%max(p.keep, 1) == 0 {
				if err := p.Clean(ctx); err != nil {
					p.log.WithError(err).Warn("old versions not deleted")
				}
			}
			return next.Number, nil
		}
	}
	return 0, &Error{Op: "confirm", Kind: ErrorUnavailable, Err: errors.New("the store's answers do not agree; repeat the confirm")}
}

// move tries once to make next the head. It reports false without an error
// if the outcome has to be read again.
func (p *Planner) move(ctx context.Context, next Head, value []byte) (bool, error) {
	head, version, err := readHead(ctx, p.store)
	switch {
	case err != nil:
		return false, err
	case head.Plan == next.Plan:
		return true, nil
	case head.Number >= next.Number:
		return p.wasConfirmed(ctx, next, head)
	case head.Number < next.Number-1:
		return false, nil // a stale read: the plan was made from a later version
	}
	if err := p.record(ctx, head); err != nil {
		return false, err
	}
	_, err = p.store.Put(ctx, headKey, value, version)
	switch quetzalhook.StoreKind(err, quetzalhook.StoreUnavailable) {
	case "", quetzalhook.StoreUnknown, quetzalhook.StoreConflict:
		// The next read tells by the plan's id whose change took effect.
		return err == nil, nil
	default:
		return false, storeFailure("confirm", err)
	}
}

// record stores the version record of a head. Since the record of a version
// is complete before the head moves on from it, a later confirm can tell from
// the records which plan made each version.
func (p *Planner) record(ctx context.Context, head Head) error {
	if head.Number == 0 {
		return nil
	}
	value, err := cbor.Marshal(head)
	if err != nil {
		return &Error{Op: "confirm", Kind: ErrorInvalid, Err: err}
	}
	return p.create(ctx, versionKey(head.Number), value)
}

// wasConfirmed reports whether next was in force before head replaced it.
func (p *Planner) wasConfirmed(ctx context.Context, next, head Head) (bool, error) {
	conflict := &Error{Op: "confirm", Kind: ErrorConflict, Err: errors.Errorf(
		"the plan was made from version %d, version %d is in force; make a new plan", next.Number-1, head.Number)}
	if head.Number == next.Number {
		return false, conflict
	}
	o, err := p.store.Get(ctx, versionKey(next.Number))
	if err != nil {
		return false, storeFailure("confirm", err)
	}
	var made Head
	if err := cbor.Unmarshal(o.Value, &made); err != nil {
		return false, &Error{Op: "confirm", Kind: ErrorCorrupt, Err: err}
	}
	if made.Plan != next.Plan {
		return false, conflict
	}
	return true, nil
}

// Current returns the version in force and its document; version 0 and an
// empty document before the first confirm.
func (p *Planner) Current(ctx context.Context) (int64, *Document, error) {
	head, _, d, err := p.current(ctx)
	return head.Number, d, err
}

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
			return head, version, nil, storeFailure("read shard", err)
		}
		if err := p.cache.add(h, o.Value); err != nil {
			return head, version, nil, err
		}
	}
	p.cache.keep(head.Manifest)
	d, err := p.cache.assemble(head.Manifest)
	return head, version, d, err
}

// create writes a value whose key determines its content. An existing value
// and a lost answer that turns out to have taken effect count as success.
func (p *Planner) create(ctx context.Context, key string, value []byte) error {
	var err error
	for range storeAttempts {
		_, err = p.store.Put(ctx, key, value, 0)
		switch quetzalhook.StoreKind(err, quetzalhook.StoreUnavailable) {
		case "", quetzalhook.StoreConflict:
			return nil
		case quetzalhook.StoreUnknown:
		default:
			return storeFailure("write", err)
		}
	}
	return storeFailure("write", err)
}

func versionKey(n int64) string { return versionPrefix + strconv.FormatInt(n, 10) }

// newID returns a random plan id; it also is the nonce by which a confirm
// recognises its own change.
func newID() string {
	var b [12]byte
	_, _ = rand.Read(b[:]) // never fails, as documented
	return hex.EncodeToString(b[:])
}

// readHead returns the stored head and its store version, both 0 before the
// first confirm.
func readHead(ctx context.Context, store quetzalhook.Store) (Head, quetzalhook.Version, error) {
	var head Head
	o, err := store.Get(ctx, headKey)
	if quetzalhook.StoreKind(err, quetzalhook.StoreUnavailable) == quetzalhook.StoreNotFound {
		return head, 0, nil
	}
	if err != nil {
		return head, 0, storeFailure("read head", err)
	}
	if err := cbor.Unmarshal(o.Value, &head); err != nil {
		return head, 0, &Error{Op: "read head", Kind: ErrorCorrupt, Err: err}
	}
	return head, o.Version, nil
}

func storeFailure(op string, err error) error {
	kind := ErrorUnavailable
	if quetzalhook.StoreKind(err, quetzalhook.StoreUnavailable) == quetzalhook.StoreNotFound {
		kind = ErrorNotFound
	}
	return &Error{Op: op, Kind: kind, Err: err}
}
