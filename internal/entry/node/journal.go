package node

import (
	"context"
	"encoding/hex"
	"errors"
	"sync"

	"quetzalhook"
	"quetzalhook/internal/entry/front"
	"quetzalhook/internal/record/journal"
)

// callJournal adapts a journal.Journal to quetzalhook.CallJournal. It keeps the claims
// of the calls in progress.
type callJournal struct {
	journal *journal.Journal

	mu     sync.Mutex
	claims map[string]journal.Claim // by operation ID
}

func newCallJournal(j *journal.Journal) *callJournal {
	return &callJournal{journal: j, claims: make(map[string]journal.Claim)}
}

var journalStates = map[journal.ResultKind]quetzalhook.JournalState{
	journal.Claimed:  quetzalhook.JournalClaimed,
	journal.Replay:   quetzalhook.JournalReplay,
	journal.Unknown:  quetzalhook.JournalUnknown,
	journal.Mismatch: quetzalhook.JournalMismatch,
}

// journalError adapts a *journal.Error to front.JournalError.
type journalError struct{ cause *journal.Error }

// Outcome implements front.JournalError.
func (f journalError) Outcome() quetzalhook.Outcome { return f.cause.Outcome }

// Error implements error.
func (f journalError) Error() string { return f.cause.Error() }

// Unwrap returns the cause.
func (f journalError) Unwrap() error { return f.cause }

var _ front.JournalError = journalError{}

// Claim implements quetzalhook.CallJournal.
func (c *callJournal) Claim(ctx context.Context, call quetzalhook.JournalCall) (quetzalhook.JournalClaim, error) {
	result, err := c.journal.Claim(ctx, journal.Call{
		Customer: call.Customer, Route: call.Route, Key: call.Key, Fingerprint: journal.Fingerprint(call.Fingerprint),
	})
	if err != nil {
		return quetzalhook.JournalClaim{}, wrapError(err)
	}
	claim := quetzalhook.JournalClaim{State: journalStates[result.Kind], Response: result.Response}
	if result.Kind == journal.Claimed {
		claim.ID = operationID(call)
		c.add(claim.ID, result.Claim)
	}
	return claim, nil
}

// operationID returns the ID that identifies a call to the service. It is a hash, so
// that it does not reveal the caller's idempotency key.
func operationID(call quetzalhook.JournalCall) string {
	sum := journal.Fingerprint([]byte(call.Customer), []byte(call.Route), []byte(call.Key))
	return hex.EncodeToString(sum[:16])
}

// wrapError converts a *journal.Error in err's chain to a journalError and returns
// any other error unchanged.
func wrapError(err error) error {
	var e *journal.Error
	if errors.As(err, &e) {
		return journalError{e}
	}
	return err
}

// add adds the claim of a call in progress.
func (c *callJournal) add(id string, claim journal.Claim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.claims[id] = claim
}

// remove removes a claim and returns it.
func (c *callJournal) remove(id string) journal.Claim {
	c.mu.Lock()
	defer c.mu.Unlock()
	claim := c.claims[id]
	delete(c.claims, id)
	return claim
}

// Finish implements quetzalhook.CallJournal.
func (c *callJournal) Finish(ctx context.Context, claim quetzalhook.JournalClaim, response []byte) error {
	return c.journal.Finish(ctx, c.remove(claim.ID), response)
}

// Release implements quetzalhook.CallJournal.
func (c *callJournal) Release(ctx context.Context, claim quetzalhook.JournalClaim) error {
	return c.journal.Release(ctx, c.remove(claim.ID))
}

// Abandon implements quetzalhook.CallJournal.
func (c *callJournal) Abandon(claim quetzalhook.JournalClaim) { c.journal.Abandon(c.remove(claim.ID)) }
