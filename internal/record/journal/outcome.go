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

// retryPause is the pause between two tries to store an outcome.
const retryPause = 100 * time.Millisecond

// compactInterval is the maximum time between two runs of Compact, so that a
// shorter retention takes effect soon.
const compactInterval = 10 * time.Minute

// responseKey returns the key of the object for a response that is not stored in
// the shard.
func responseKey(nonce digest) string {
	return "journal/response/" + hex.EncodeToString(nonce[:])
}

// Finish stores the response of a claimed call for replay. It retries until the
// response is stored or ctx ends. Without a stored response, later calls with
// the key get the result Unknown.
func (j *Journal) Finish(ctx context.Context, c Claim, response []byte) error {
	op := operation{Action: actionFinish, Key: c.key, Nonce: c.nonce, Response: response}
	if len(response) > j.inlineLimit {
		if err := j.storeResponse(ctx, c, response); err != nil {
			return err
		}
		op.Response, op.Stored = nil, true
	}
	return j.endClaim(ctx, c, op)
}

// Release removes a claim whose call was provably not sent, so that the caller
// may try again with the same key.
func (j *Journal) Release(ctx context.Context, c Claim) error {
	return j.endClaim(ctx, c, operation{Action: actionRelease, Key: c.key, Nonce: c.nonce})
}

// Abandon ends a claim whose outcome this host will never know. Later calls
// with the key get the result Unknown.
func (j *Journal) Abandon(c Claim) { j.removeClaim(c) }

// endClaim removes a claim from the open claims of this host and commits op. It
// retries until op is committed or refused, ctx ends or the journal is closed.
func (j *Journal) endClaim(ctx context.Context, c Claim, op operation) error {
	j.removeClaim(c)
	for {
		a := j.submit(ctx, c.shard, op)
		if a.Status == statusDone || a.Status == statusNotClaimed {
			return j.checkFinish(c, op.Action, a.Status)
		}
		if a.Status == statusFull {
			return &Error{Op: "finish", Kind: KindFull, Outcome: quetzalhook.OutcomeUnknown}
		}
		if !timing.Sleep(ctx, retryPause) || j.ctx.Err() != nil {
			return &Error{Op: "finish", Kind: KindStore, Outcome: quetzalhook.OutcomeUnknown, Err: ctx.Err()}
		}
	}
}

// checkFinish checks that the claim of a finished call was still in the
// journal. Otherwise another attempt may have executed the same call.
func (j *Journal) checkFinish(c Claim, a action, v status) error {
	if a != actionFinish {
		return nil
	}
	j.inv.Check(invariant.AtMostOnce, v == statusDone, "host", j.host,
		"key", hex.EncodeToString(c.key[:]), "claim", hex.EncodeToString(c.nonce[:]))
	if v == statusNotClaimed {
		return &Error{Op: "finish", Kind: KindNotClaimed, Outcome: quetzalhook.OutcomeUnknown}
	}
	return nil
}

// storeResponse writes a large response to an object of its own. The object key
// is unique to the claim, so an existing object was written by an earlier try.
func (j *Journal) storeResponse(ctx context.Context, c Claim, response []byte) error {
	for {
		_, err := j.store.Put(ctx, responseKey(c.nonce), response, 0)
		switch quetzalhook.StoreKind(err, quetzalhook.StoreUnknown) {
		case "", quetzalhook.StoreConflict:
			return nil
		case quetzalhook.StoreTooLarge:
			return &Error{Op: "finish", Kind: KindTooLarge, Outcome: quetzalhook.OutcomeUnknown, Err: err}
		}
		if !timing.Sleep(ctx, retryPause) {
			return &Error{Op: "finish", Kind: KindStore, Outcome: quetzalhook.OutcomeUnknown, Err: err}
		}
	}
}

// Compact removes expired claims whose responses are objects of their own, from
// the shards for which this host is the preferred host. Other expired claims are
// removed when the next epoch of their shard starts.
func (j *Journal) Compact(ctx context.Context) error {
	for _, c := range j.committers {
		if preferred := c.preferredHost(); preferred != j.host {
			continue
		}
		if err := c.compact(ctx); err != nil {
			return errors.Wrapf(err, "compact %s", c.key)
		}
	}
	return nil
}

// compact removes the expired claims of one shard whose responses are objects of
// their own. It deletes a response before the claim that refers to it, so that
// no response remains without a claim.
func (c *committer) compact(ctx context.Context) error {
	s, _, err := c.fetch(ctx)
	if err != nil {
		return err
	}
	for i := range s.Entries {
		e := &s.Entries[i]
		if !e.Stored || !s.expired(e, c.j.isDead) {
			continue
		}
		if err := c.deleteResponse(ctx, e.Nonce); err != nil {
			return err
		}
		c.j.submit(ctx, c.shard, operation{Action: actionDrop, Key: e.Key, Nonce: e.Nonce})
	}
	return nil
}

func (c *committer) deleteResponse(ctx context.Context, nonce digest) error {
	o, err := c.j.store.Get(ctx, responseKey(nonce))
	if err == nil {
		err = c.j.store.Delete(ctx, o.Key, o.Version)
	}
	if quetzalhook.StoreKind(err, quetzalhook.StoreUnknown) == quetzalhook.StoreNotFound {
		return nil
	}
	return err
}

// Start runs Compact in the background until Close.
func (j *Journal) Start() {
	j.wg.Go(func() {
		for timing.Sleep(j.ctx, min(j.epochLength(), compactInterval)) {
			_ = j.Compact(j.ctx) // the next run retries what failed
		}
	})
}
