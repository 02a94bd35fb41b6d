package journal

import (
	"context"
	"encoding/hex"
	"time"

	"github.com/pkg/errors"

	"quetzalhook"
	"quetzalhook/internal/state/invariant"
	"quetzalhook/internal/state/timing"
)

// retryDelay is the pause between two tries to store an outcome.
const retryDelay = 100 * time.Millisecond

// compactInterval is the longest time between two looks for expired keys, so
// that a shorter retention takes effect soon.
const compactInterval = 10 * time.Minute

func responseKey(nonce digest) string {
	return "journal/response/" + hex.EncodeToString(nonce[:])
}

// Finish stores the response of a claimed call for replay. It repeats until
// the response is stored or ctx ends; without a stored response, later calls
// with the key are answered as unknown.
func (j *Journal) Finish(ctx context.Context, c Claim, response []byte) error {
	op := operation{Action: actionFinish, Key: c.key, Nonce: c.nonce, Response: response}
	if len(response) > j.inline {
		if err := j.storeResponse(ctx, c, response); err != nil {
			return err
		}
		op.Response, op.Stored = nil, true
	}
	return j.end(ctx, c, op)
}

// Release gives up a claim whose call was provably not sent, so that the
// caller may try again with the same key.
func (j *Journal) Release(ctx context.Context, c Claim) error {
	return j.end(ctx, c, operation{Action: actionRelease, Key: c.key, Nonce: c.nonce})
}

// Abandon ends a claim whose outcome this host will never know. Later calls
// with the key are answered as unknown.
func (j *Journal) Abandon(c Claim) { j.forget(c) }

func (j *Journal) end(ctx context.Context, c Claim, op operation) error {
	j.forget(c)
	for {
		a := j.submit(ctx, c.shard, op)
		if a.Verdict == verdictDone || a.Verdict == verdictOther {
			return j.checkEnd(c, op.Action, a.Verdict)
		}
		if a.Verdict == verdictFull {
			return &Error{Op: "finish", Kind: KindFull, Outcome: quetzalhook.OutcomeUnknown}
		}
		if !timing.Sleep(ctx, retryDelay) || j.ctx.Err() != nil {
			return &Error{Op: "finish", Kind: KindStore, Outcome: quetzalhook.OutcomeUnknown, Err: ctx.Err()}
		}
	}
}

// checkEnd checks that the claim that the host ran was the one in the journal
// all the time. Otherwise another attempt may have run the same call.
func (j *Journal) checkEnd(c Claim, a action, v verdict) error {
	if a != actionFinish {
		return nil
	}
	j.inv.Check(invariant.AtMostOnce, v == verdictDone, "host", j.host,
		"key", hex.EncodeToString(c.key[:]), "claim", hex.EncodeToString(c.nonce[:]))
	if v == verdictOther {
		return &Error{Op: "finish", Kind: KindNotClaimed, Outcome: quetzalhook.OutcomeUnknown}
	}
	return nil
}

// storeResponse writes a large response to an object of its own. The key is
// unique to the claim, so an existing object is an earlier try of this write.
func (j *Journal) storeResponse(ctx context.Context, c Claim, response []byte) error {
	for {
		_, err := j.store.Put(ctx, responseKey(c.nonce), response, 0)
		switch quetzalhook.StoreKind(err, quetzalhook.StoreUnknown) {
		case "", quetzalhook.StoreConflict:
			return nil
		case quetzalhook.StoreTooLarge:
			return &Error{Op: "finish", Kind: KindTooLarge, Outcome: quetzalhook.OutcomeUnknown, Err: err}
		}
		if !timing.Sleep(ctx, retryDelay) {
			return &Error{Op: "finish", Kind: KindStore, Outcome: quetzalhook.OutcomeUnknown, Err: err}
		}
	}
}

// Compact removes expired claims whose responses are objects of their own,
// from the shards that this host is preferred for. Other expired claims leave
// with the next write of their shard.
func (j *Journal) Compact(ctx context.Context) error {
	for _, l := range j.lanes {
		if preferred := l.preferredHost(); preferred != j.host {
			continue
		}
		if err := l.compact(ctx); err != nil {
			return errors.Wrapf(err, "compact %s", l.key)
		}
	}
	return nil
}

// compact deletes a response before the claim that names it, so that no
// response stays behind without a claim.
func (l *lane) compact(ctx context.Context) error {
	s, _, err := l.fetch(ctx)
	if err != nil {
		return err
	}
	for i := range s.Entries {
		e := &s.Entries[i]
		if !e.Stored || !s.expired(e, l.j.dead) {
			continue
		}
		if err := l.deleteResponse(ctx, e.Nonce); err != nil {
			return err
		}
		l.j.submit(ctx, l.shard, operation{Action: actionDrop, Key: e.Key, Nonce: e.Nonce})
	}
	return nil
}

func (l *lane) deleteResponse(ctx context.Context, nonce digest) error {
	o, err := l.j.store.Get(ctx, responseKey(nonce))
	if err == nil {
		err = l.j.store.Delete(ctx, o.Key, o.Version)
	}
	if quetzalhook.StoreKind(err, quetzalhook.StoreUnknown) == quetzalhook.StoreNotFound {
		return nil
	}
	return err
}

// Start runs Compact in the background until Close.
func (j *Journal) Start() {
	j.wg.Go(func() {
		for timing.Sleep(j.ctx, min(j.part(), compactInterval)) {
			_ = j.Compact(j.ctx) // the next round repeats what failed
		}
	})
}
